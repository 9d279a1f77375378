"""Explanation of what the leader does with a job."""

import os
from pathlib import Path

import msgspec

from ..catalog import Catalog, EvacuationRequest
from ..control import Explanation, ReplayedCell, explain_job
from ..exceptions import ValidationError
from ..jobs import Accepted, JobTable, KeyedRecord, accepted_key, encode_record
from ..platform import decode_job, decode_rule, decode_worker
from ..usage import USAGE_KEY
from ..utils import JobId

__all__ = ["explain", "render_explanation"]

NEW_JOB = JobId("f" * 16)
"""Name under which a job from a file is replayed."""
NOT_SUBMITTED = "not submitted"
ADMISSION_UNKNOWN = (
    "the job is taken to be accepted: the load by which entries reject is not in the "
    "store"
)


def explain(
    work: list[KeyedRecord],
    rules: list[KeyedRecord],
    workers: list[KeyedRecord],
    job: str,
    queue: str,
    team: str,
    wall_ms: int,
) -> Explanation:
    """Explain what the leader does with a job.

    Parameters
    ----------
    work, rules, workers : list of KeyedRecord
        Newest records of the three streams.
    job : str
        Name of a stored job, or the path of a file with a job as callers submit it.
    queue, team : str
        Queue and team of a job from a file.
    wall_ms : int
        Time of the read in milliseconds since 1970.

    Raises
    ------
    ValidationError
        If the job, its queue, the settings or the usage record are missing or invalid;
        the message names the field.
    """
    table = JobTable()
    for record in work:
        table.apply(record.key, record.value)
    catalog, evacuated = _decode_rules(rules)
    name, state = _find_job(table, catalog, job, queue, team, wall_ms)
    infos = [decode_worker(record.key, record.value) for record in workers]
    usage = next((record.value for record in work if record.key == USAGE_KEY), b"")
    known = [info for info in infos if info is not None]
    cell = ReplayedCell(table, catalog, known, usage, wall_ms, evacuated)
    try:
        found = explain_job(cell, name, state)
    except ValueError as exc:
        raise ValidationError(f"usage record: {exc}") from exc
    if state == NOT_SUBMITTED:
        found.assumptions = [*found.assumptions, ADMISSION_UNKNOWN]
    return found


def _decode_rules(rules: list[KeyedRecord]) -> tuple[Catalog, frozenset[str]]:
    """Return the settings of operators and the evacuated data centres."""
    found = [decode_rule(record.key, record.value) for record in rules]
    catalogs = [item for item in found if isinstance(item, Catalog)]
    if not catalogs:
        raise ValidationError("the store has no valid settings of operators")
    requests = [item for item in found if isinstance(item, EvacuationRequest)]
    evacuated = {item.data_centre for item in requests if item.is_active}
    return catalogs[-1], frozenset(evacuated)


def _find_job(
    table: JobTable, catalog: Catalog, job: str, queue: str, team: str, wall_ms: int
) -> tuple[JobId, str]:
    """Return the job's name and state, after adding a job from a file."""
    entry = table.find(JobId(job))
    if entry is not None:
        return JobId(job), entry.state.value
    if not os.path.exists(job):
        raise ValidationError(f"{job}: neither a stored job nor a file")
    if queue not in catalog.queues:
        raise ValidationError(f"--queue: {queue!r} is not a queue of this cell")
    if team and team not in catalog.teams:
        raise ValidationError(f"--team: {team!r} is not a team of this cell")
    try:
        spec = decode_job(Path(job).read_bytes())
    except OSError as exc:
        raise ValidationError(f"{job}: {exc.strerror}") from exc
    except ValidationError as exc:
        raise ValidationError(f"{job}: {exc}") from exc
    accepted = Accepted(NEW_JOB, catalog.queues[queue], team, spec, wall_ms)
    table.apply(accepted_key(NEW_JOB), encode_record(accepted))
    return NEW_JOB, NOT_SUBMITTED


def render_explanation(found: Explanation, as_json: bool) -> str:
    """Return an explanation as text or JSON."""
    if as_json:
        return msgspec.json.encode(found).decode()
    name = found.job if found.state != NOT_SUBMITTED else "this job"
    lines = [f"{name} in {found.queue}, team {found.team or '(none)'}: {found.state}"]
    for step in found.steps:
        lines.append(
            f"step {step.step}: place {step.place} of {step.waiting_steps} in its pool"
            f" ({step.place_without_past_use} without past use)"
            f"{', beyond the share of its team' if step.is_beyond_share else ''}"
        )
        lines += [
            f"  task {index} starts on {worker}"
            for index, worker in step.workers.items()
        ]
        lines += [
            f"  waits: {cause}: {count}" for cause, count in step.waits_for.items()
        ]
    for label, value in (
        ("start", found.start_in_ms),
        ("end", found.end_in_ms),
    ):
        text = "not predicted" if value is None else f"in {value / 1000:.1f} s"
        lines.append(f"predicted {label}: {text}")
    if found.past_use_factor is not None:
        lines.append(
            f"past use: factor {found.past_use_factor:.2f} on the team's weight, "
            f"record {found.usage_age_ms / 1000:.1f} s old"
        )
    lines += [f"assumed: {text}" for text in found.assumptions]
    return "\n".join(lines)
