"""Execution of operator statements."""

from concurrent.futures import TimeoutError as FutureTimeoutError
from functools import singledispatchmethod
from typing import Any

import msgspec

from .. import __version__
from ..admission import make_key
from ..cell import (
    CellRecord,
    CellState,
    EvacuationSet,
    KeyIssued,
    KeyRevoked,
    QueueSet,
    Team,
    TeamRemoved,
    TeamSet,
    WorkerDrainSet,
    total_allotted,
)
from ..exceptions import AppendUnknownError, NotFoundError, ValidationError
from ..holder import JobAnswer
from ..query import (
    CancelJob,
    CloseQueue,
    Condition,
    CreateTeam,
    Field,
    GiveKey,
    OpenQueue,
    Operator,
    RemoveTeam,
    SetEvacuation,
    SetTeam,
    SetWorkerDrain,
    ShowJob,
    ShowJobs,
    ShowList,
    Statement,
    Why,
    WithdrawKey,
    format_table,
)
from ..utils import KeyId, Offset, TeamName, check_name, check_positive, new_id
from ._actor import CoreHandle
from ._jobs import JobService
from ._peers import HolderDirectory

__all__ = ["OperatorService", "StatementResult"]

CHANGE_TIMEOUT_S = 6.0
ABSENT_VERSION = Offset(-1)


class StatementResult(msgspec.Struct):
    """Answer to an operator statement.

    Parameters
    ----------
    text : str
        Answer in readable form.
    data : object
        The same answer in machine-readable form.
    """

    text: str
    data: Any


class OperatorService:
    """Execute statements of the operator language.

    Parameters
    ----------
    core : CoreHandle
        The core of this entry.
    directory : HolderDirectory
        Access to the holders.
    jobs : JobService
        Access to jobs.
    """

    def __init__(
        self, core: CoreHandle, directory: HolderDirectory, jobs: JobService
    ) -> None:
        self.core = core
        self.directory = directory
        self.jobs = jobs

    @singledispatchmethod
    def execute(self, statement: Statement) -> StatementResult:
        """Execute a statement.

        Parameters
        ----------
        statement : Statement
            A parsed statement.

        Returns
        -------
        StatementResult
            The answer; a change is durable when this returns.

        Raises
        ------
        ConflictError
            If the object has changed since the expected version.
        AppendUnknownError
            If the change may or may not take effect.
        """
        raise TypeError(f"statement must be a Statement, got {statement!r}")

    def _change(self, record: CellRecord) -> Offset:
        fut = self.core.ask(lambda core: core.change_cell(record))
        try:
            return fut.result(CHANGE_TIMEOUT_S).offset
        except FutureTimeoutError as exc:
            raise AppendUnknownError(
                "the log has not confirmed the change; show the object to see "
                "whether it took effect"
            ) from exc

    # Changes.

    @execute.register
    def _(self, statement: CreateTeam) -> StatementResult:
        check_name("team", statement.team)
        check_positive("share", statement.share)
        record = TeamSet(
            statement.team, statement.share, statement.limit, ABSENT_VERSION
        )
        version = self._change(record)
        return _change_answer(f"team {statement.team} created", version)

    @execute.register
    def _(self, statement: SetTeam) -> StatementResult:
        team = self.directory.look_up(lambda cell: _find_team(cell, statement.team))
        if statement.share is None and statement.limit is None:
            raise ValidationError("set team must change the share or the limit")
        share = team.share if statement.share is None else statement.share
        check_positive("share", share)
        limit = team.limit if statement.limit is None else statement.limit
        record = TeamSet(statement.team, share, limit, statement.expected)
        return _change_answer(f"team {statement.team} changed", self._change(record))

    @execute.register
    def _(self, statement: RemoveTeam) -> StatementResult:
        record = TeamRemoved(statement.team, statement.expected)
        return _change_answer(f"team {statement.team} removed", self._change(record))

    @execute.register
    def _(self, statement: GiveKey) -> StatementResult:
        key_id = KeyId(new_id("k"))
        key, digest = make_key(key_id)
        record = KeyIssued(key_id, statement.team, digest, statement.label)
        version = self._change(record)
        text = f"key {key_id} given to {statement.team}; it is shown only now:\n{key}"
        data = {"key_id": key_id, "key": key, "version": version}
        return StatementResult(text, data)

    @execute.register
    def _(self, statement: WithdrawKey) -> StatementResult:
        version = self._change(KeyRevoked(statement.key))
        return _change_answer(f"key {statement.key} withdrawn", version)

    @execute.register
    def _(self, statement: OpenQueue) -> StatementResult:
        check_name("queue", statement.queue)
        record = QueueSet(statement.queue, statement.team, True, ABSENT_VERSION)
        return _change_answer(f"queue {statement.queue} opened", self._change(record))

    @execute.register
    def _(self, statement: CloseQueue) -> StatementResult:
        team = self.directory.look_up(
            lambda cell: _find_queue_team(cell, statement.queue)
        )
        record = QueueSet(statement.queue, team, False, statement.expected)
        return _change_answer(f"queue {statement.queue} closed", self._change(record))

    @execute.register
    def _(self, statement: SetWorkerDrain) -> StatementResult:
        expected = statement.expected
        if expected is None:
            drain_status = self.directory.current_cell().workers.get(statement.worker)
            expected = drain_status.version if drain_status else ABSENT_VERSION
        record = WorkerDrainSet(statement.worker, statement.drained, expected)
        version = self._change(record)
        action = "drained" if statement.drained else "takes work again"
        return _change_answer(f"worker {statement.worker} {action}", version)

    @execute.register
    def _(self, statement: SetEvacuation) -> StatementResult:
        name = statement.data_centre
        expected = statement.expected
        if expected is None:
            status = self.directory.current_cell().data_centres.get(name)
            expected = status.version if status else ABSENT_VERSION
        version = self._change(EvacuationSet(name, statement.evacuated, expected))
        action = "evacuated" if statement.evacuated else "takes work again"
        return _change_answer(f"data centre {name} {action}", version)

    @execute.register
    def _(self, statement: CancelJob) -> StatementResult:
        self.jobs.cancel(statement.job)
        text = f"job {statement.job} cancelled"
        return StatementResult(text, {"job": statement.job})

    # Queries.

    @execute.register
    def _(self, statement: ShowJob) -> StatementResult:
        job = self.jobs.find(statement.job)
        return StatementResult(_format_job(job), job)

    @execute.register
    def _(self, statement: Why) -> StatementResult:
        job = self.jobs.find(statement.job)
        lines = [f"job {job.id} is {job.state.value}"]
        if job.waits_for:
            lines.append(f"it waits for {job.waits_for}")
        for task in job.tasks:
            if task.worker:
                lines.append(f"task {task.index} on {task.worker}: {task.reason}")
        return StatementResult("\n".join(lines), job)

    @execute.register
    def _(self, statement: ShowJobs) -> StatementResult:
        jobs, unresponsive = self.directory.list_jobs()
        matching = [
            job for job in jobs if all(_matches(job, c) for c in statement.conditions)
        ]
        matching.sort(key=lambda job: (job.submitted_at, job.id))
        rows = [_job_row(job) for job in matching]
        header = ["job", "team", "kind", "state", "runs on", "waits for"]
        text = format_table(header, rows) + _unresponsive_note(unresponsive)
        return StatementResult(text, {"jobs": matching, "silent_entries": unresponsive})

    @execute.register
    def _(self, statement: ShowList) -> StatementResult:
        return getattr(self, f"_show_{statement.subject.value}")()

    def _show_teams(self) -> StatementResult:
        cell = self.directory.cell()
        teams = sorted(cell.teams.values(), key=lambda team: team.name)
        rows = [
            [
                team.name,
                str(team.share),
                team.limit.describe(),
                total_allotted(cell, team.name).describe(),
                str(team.version),
            ]
            for team in teams
        ]
        header = ["team", "share", "limit", "given out to groups", "version"]
        return StatementResult(format_table(header, rows), teams)

    def _show_keys(self) -> StatementResult:
        keys = sorted(self.directory.cell().keys.values(), key=lambda key: key.id)
        rows = [[key.id, key.team, key.label] for key in keys]
        data = [{"id": k.id, "team": k.team, "label": k.label} for k in keys]
        return StatementResult(format_table(["key", "team", "label"], rows), data)

    def _show_queues(self) -> StatementResult:
        queues = sorted(self.directory.cell().queues.values(), key=lambda q: q.name)
        rows = [[q.name, q.team, str(q.version)] for q in queues]
        return StatementResult(format_table(["queue", "team", "version"], rows), queues)

    def _show_entries(self) -> StatementResult:
        cell = self.directory.cell()
        members = sorted(cell.members.values(), key=lambda member: member.name)
        rows = [
            [m.name, m.data_centre, m.caller_address, ", ".join(cell.groups_of(m.id))]
            for m in members
        ]
        header = ["entry", "data centre", "address", "groups"]
        return StatementResult(format_table(header, rows), members)

    def _show_groups(self) -> StatementResult:
        cell = self.directory.cell()
        names = {m.id: m.name for m in cell.members.values()}
        groups = sorted(cell.groups.items())
        rows = [
            [group, names.get(own.holder, "nobody"), str(own.epoch)]
            for group, own in groups
        ]
        return StatementResult(format_table(["group", "holder", "epoch"], rows), groups)

    def _show_workers(self) -> StatementResult:
        workers, unresponsive = self.directory.list_workers()
        workers.sort(key=lambda worker: worker.id)
        drain_statuses = self.directory.cell().workers
        rows = []
        for w in workers:
            flags = [
                name
                for name, is_set in (
                    ("drained", w.is_drained),
                    ("evacuated", w.is_evacuated),
                    ("leaving", w.is_leaving),
                    ("parked", w.is_parked),
                )
                if is_set
            ]
            version = (
                str(drain_statuses[w.id].version) if w.id in drain_statuses else "-"
            )
            state = ", ".join([w.health, *flags])
            rows.append(
                [
                    w.id,
                    w.group,
                    w.rack,
                    state,
                    str(w.tasks),
                    w.committed.describe(),
                    w.capacity.describe(),
                    version,
                ]
            )
        header = [
            "worker",
            "group",
            "rack",
            "state",
            "tasks",
            "in use",
            "capacity",
            "version",
        ]
        text = format_table(header, rows) + _unresponsive_note(unresponsive)
        return StatementResult(
            text, {"workers": workers, "silent_entries": unresponsive}
        )

    def _show_version(self) -> StatementResult:
        offset = self.directory.cell().next_offset
        text = f"pimentomill {__version__}, configuration read up to {offset}"
        return StatementResult(text, {"program": __version__, "offset": offset})


def _find_team(cell: CellState, name: TeamName) -> Team:
    if name not in cell.teams:
        raise NotFoundError(f"there is no team {name}")
    return cell.teams[name]


def _find_queue_team(cell: CellState, name: str) -> TeamName:
    if name not in cell.queues:
        raise NotFoundError(f"there is no queue {name}")
    return cell.queues[name].team


def _change_answer(summary: str, version: Offset) -> StatementResult:
    return StatementResult(f"{summary}, version {version}", {"version": version})


def _unresponsive_note(unresponsive: list[str]) -> str:
    if not unresponsive:
        return ""
    return f"\nno answer from {', '.join(unresponsive)}: their groups are missing above"


def _field_values(job: JobAnswer, field: Field) -> list[str]:
    values = {
        Field.TEAM: [job.team],
        Field.STATE: [job.state.value],
        Field.KIND: [job.kind],
        Field.WORKER: [task.worker for task in job.tasks],
        Field.URGENT: [str(job.urgent).lower()],
        Field.GROUP: [job.group],
    }
    return values[field]


def _matches(job: JobAnswer, condition: Condition) -> bool:
    found = condition.value in _field_values(job, condition.field)
    return found == (condition.operator is Operator.EQUAL)


def _job_row(job: JobAnswer) -> list[str]:
    workers = sorted({task.worker for task in job.tasks if task.worker})
    return [
        job.id,
        job.team,
        job.kind,
        job.state.value,
        ", ".join(workers) or "-",
        job.waits_for or "-",
    ]


def _format_job(job: JobAnswer) -> str:
    lines = [
        f"job {job.id}: {job.kind} of {job.team}, {job.state.value}, "
        f"{job.spec.resources.describe()} a task"
    ]
    if job.waits_for:
        lines.append(f"waits for {job.waits_for}")
    rows = [
        [
            str(task.index),
            task.state,
            str(task.attempt),
            task.worker or "-",
            task.outcome.value if task.outcome else "-",
            task.reason or "-",
        ]
        for task in job.tasks
    ]
    header = ["task", "state", "attempt", "worker", "last outcome", "why there"]
    return "\n".join([*lines, format_table(header, rows)])
