"""Subcommands that inspect a cell on the platform."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
import urllib3

from ..catalog import EvacuationRequest
from ..exceptions import PimentomillError, ValidationError
from ..jobs import JobTable, KeyedRecord, decode_job_record, job_of_key
from ..platform import decode_rule, load_node_file, read_newest
from ..replica import LEADER_KEY, LeaderRecord
from ..telemetry import compute_burn, compute_losses, render_burn, render_losses
from ._explain import explain, render_explanation
from ._teams import format_teams

__all__ = ["BurnCommand", "CellCommand", "CheckNodeCommand", "LossesCommand"]

METRICS_TIMEOUT_S = 3.0
EXIT_WAITS = 3
EXIT_ENDED = 4
NANOSECONDS_PER_MS = 1_000_000
StoreAddress = Annotated[
    str, cappa.Arg(short="-s", long="--store", help="IP address and port of the store.")
]


def _read_stream(store: str, stream: str) -> list[KeyedRecord]:
    try:
        return asyncio.run(read_newest(store, stream))
    except PimentomillError as exc:
        raise cappa.Exit(f"the store can't be read: {exc}", code=1) from exc


def format_leader(records: list[KeyedRecord]) -> list[str]:
    """Return the leader's latest record as JSON."""
    for record in records:
        if record.key == LEADER_KEY:
            leader = msgspec.msgpack.decode(record.value, type=LeaderRecord)
            return [msgspec.json.encode(leader).decode()]
    return ["no leader on record"]


def format_jobs(records: list[KeyedRecord]) -> list[str]:
    """Return one line per job: name, state, queue and team."""
    table = JobTable()
    for record in records:
        table.apply(record.key, record.value)
    return [
        f"{entry.accepted_.job} {entry.state.value:<9} "
        f"{entry.accepted_.queue.name} {entry.accepted_.team}"
        for entry in table.iter_accepted()
    ]


def format_job_records(records: list[KeyedRecord], job: str) -> list[str]:
    """Return all records of a job as JSON, one per line."""
    return [
        msgspec.json.encode(decode_job_record(record.value)).decode()
        for record in records
        if record.value and job_of_key(record.key) == job
    ]


@cappa.command(name="leader", help="Show the leader of the cell.")
@dataclass
class LeaderCommand:
    """Show the leader's latest record."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print the record."""
        print("\n".join(format_leader(_read_stream(self.store, "work"))))


@cappa.command(name="jobs", help="List the jobs in the store.")
@dataclass
class JobsCommand:
    """List all jobs."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print the jobs."""
        print("\n".join(format_jobs(_read_stream(self.store, "work"))))


@cappa.command(name="job", help="Show all records of a job.")
@dataclass
class JobCommand:
    """Show the records of one job."""

    store: StoreAddress
    job: Annotated[str, cappa.Arg(help="Name of the job.")]

    def __call__(self) -> None:
        """Print the records of the job."""
        lines = format_job_records(_read_stream(self.store, "work"), self.job)
        if not lines:
            raise cappa.Exit(f"the store keeps no job {self.job}", code=1)
        print("\n".join(lines))


@cappa.command(name="workers", help="List the workers as registered in the store.")
@dataclass
class WorkersCommand:
    """List the registered workers."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print the record of each worker."""
        for record in _read_stream(self.store, "workers"):
            print(record.key, record.value.decode(errors="replace"))


def format_evacuations(records: list[KeyedRecord]) -> list[str]:
    """Return one line per evacuated data centre."""
    requests = [decode_rule(record.key, record.value) for record in records]
    lines = [
        f"{request.data_centre} evacuated"
        for request in requests
        if isinstance(request, EvacuationRequest) and request.is_active
    ]
    return sorted(lines) or ["no data centre is evacuated"]


@cappa.command(name="evacuations", help="List the evacuated data centres.")
@dataclass
class EvacuationsCommand:
    """List the evacuated data centres as recorded in the store."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print the data centres."""
        print("\n".join(format_evacuations(_read_stream(self.store, "rules"))))


@cappa.command(name="teams", help="Show the current and past usage of each team.")
@dataclass
class TeamsCommand:
    """Show the usage of all teams as the leader last recorded it."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print the teams, the one that past use favours most first."""
        records = _read_stream(self.store, "work")
        try:
            lines = format_teams(records, time.time_ns() // NANOSECONDS_PER_MS)
        except ValueError as exc:
            raise cappa.Exit(f"the usage record is invalid: {exc}", code=1) from exc
        print("\n".join(lines))


@cappa.command(
    name="explain",
    help=(
        "Predict what the leader does with a job. Exit code 0: it runs or would start "
        "now; 3: it would wait; 4: it has ended; 1: an error."
    ),
)
@dataclass
class ExplainCommand:
    """Run the leader's planner on the records of the store; nothing is sent."""

    store: StoreAddress
    job: Annotated[str, cappa.Arg(help="Name of a stored job, or a file with a job.")]
    queue: Annotated[str, cappa.Arg(long="--queue", help="Queue of a new job.")] = ""
    team: Annotated[str, cappa.Arg(long="--team", help="Team of a new job.")] = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self) -> None:
        """Print the explanation."""
        streams = [_read_stream(self.store, s) for s in ("work", "rules", "workers")]
        wall_ms = time.time_ns() // NANOSECONDS_PER_MS
        try:
            found = explain(*streams, self.job, self.queue, self.team, wall_ms)
        except ValidationError as exc:
            raise cappa.Exit(str(exc), code=1) from exc
        print(render_explanation(found, self.json))
        if found.has_ended:
            raise cappa.Exit(code=EXIT_ENDED)
        if found.start_in_ms != 0:
            raise cappa.Exit(code=EXIT_WAITS)


@cappa.command(name="cell", help="Inspect a cell on the platform.")
@dataclass
class CellCommand:
    """Read-only commands on the platform's store."""

    command: cappa.Subcommands[
        LeaderCommand
        | JobsCommand
        | JobCommand
        | WorkersCommand
        | EvacuationsCommand
        | TeamsCommand
        | ExplainCommand
    ]


@cappa.command(name="check-node", help="Validate a settings file of the platform.")
@dataclass
class CheckNodeCommand:
    """Validate a settings file of the platform."""

    path: Annotated[str, cappa.Arg(help="TOML settings file.")]

    def __call__(self) -> None:
        """Print the first error, or that the settings are valid."""
        try:
            cfg = load_node_file(self.path)
        except PimentomillError as exc:
            raise cappa.Exit(str(exc), code=1) from exc
        print(f"{cfg.node} in {cfg.zone}: settings are valid")


def _fetch_metrics(url: str, send_request: Callable) -> str:
    try:
        response = send_request("GET", url, timeout=METRICS_TIMEOUT_S)
    except urllib3.exceptions.HTTPError as exc:
        raise cappa.Exit(f"{url} can't be read: {exc}", code=1) from exc
    if response.status != 200:
        raise cappa.Exit(f"{url} answers {response.status}", code=1)
    return response.data.decode()


@cappa.command(
    name="burn", help="Report error budget burn from the metrics of entries."
)
@dataclass
class BurnCommand:
    """Report the share of jobs in time and the remaining error budget."""

    urls: Annotated[list[str], cappa.Arg(help="URL of the metrics of each entry.")]
    target: Annotated[float, cappa.Arg(long="--target")] = field(default=0.95)

    def __call__(self) -> None:
        """Print the report."""
        if not 0 < self.target < 1:
            raise cappa.Exit(f"--target: {self.target} is not between 0 and 1", code=1)
        texts = [
            _fetch_metrics(url, urllib3.PoolManager().request) for url in self.urls
        ]
        print(render_burn(compute_burn(texts, self.target)))


@cappa.command(name="losses", help="Report from logs why jobs missed objectives.")
@dataclass
class LossesCommand:
    """Report the late jobs of each queue by their main cause."""

    paths: Annotated[list[Path], cappa.Arg(help="Log files of the entries.")]

    def __call__(self) -> None:
        """Print the report."""
        try:
            lines = itertools.chain.from_iterable(
                path.read_text(errors="replace").splitlines() for path in self.paths
            )
            print(render_losses(compute_losses(lines)))
        except OSError as exc:
            raise cappa.Exit(f"{exc.filename}: {exc.strerror}", code=1) from exc
