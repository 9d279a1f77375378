"""Subcommands for on-call work on a cell that runs on the platform."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec
import urllib3

from ..exceptions import PimentomillError
from ..jobs import JobTable, KeyedRecord, decode_job_record, job_of_key
from ..platform import load_node_file, read_newest
from ..replica import LEADER_KEY, LeaderRecord
from ..telemetry import burn_report, render_burn

__all__ = ["BurnCommand", "CellCommand", "CheckNodeCommand"]

METRICS_TIMEOUT_S = 3.0
StoreAddress = Annotated[
    str, cappa.Arg(short="-s", long="--store", help="IP address and port of the store.")
]


def _read_stream(store: str, stream: str) -> list[KeyedRecord]:
    try:
        return asyncio.run(read_newest(store, stream))
    except PimentomillError as exc:
        raise cappa.Exit(f"the store can't be read: {exc}", code=1) from exc


def format_leader(records: list[KeyedRecord]) -> list[str]:
    """Return the newest sign of the leader."""
    for record in records:
        if record.key == LEADER_KEY:
            leader = msgspec.msgpack.decode(record.value, type=LeaderRecord)
            return [msgspec.json.encode(leader).decode()]
    return ["no leader on record"]


def format_jobs(records: list[KeyedRecord]) -> list[str]:
    """Return a line a job: name, state, queue, team."""
    table = JobTable()
    for record in records:
        table.apply(record.key, record.value)
    return [
        f"{entry.accepted_.job} {entry.state.value:<9} "
        f"{entry.accepted_.queue.name} {entry.accepted_.team}"
        for entry in table.iter_accepted()
    ]


def format_job_records(records: list[KeyedRecord], job: str) -> list[str]:
    """Return all records of a job, one a line."""
    return [
        msgspec.json.encode(decode_job_record(record.value)).decode()
        for record in records
        if record.value and job_of_key(record.key) == job
    ]


@cappa.command(name="leader", help="Show who leads the cell.")
@dataclass
class LeaderCommand:
    """Show the leader's newest sign."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print it."""
        print("\n".join(format_leader(_read_stream(self.store, "work"))))


@cappa.command(name="jobs", help="List the jobs that the store keeps.")
@dataclass
class JobsCommand:
    """List all jobs."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print them."""
        print("\n".join(format_jobs(_read_stream(self.store, "work"))))


@cappa.command(name="job", help="Show all records of a job.")
@dataclass
class JobCommand:
    """Show one job."""

    store: StoreAddress
    job: Annotated[str, cappa.Arg(help="Name of the job.")]

    def __call__(self) -> None:
        """Print its records."""
        lines = format_job_records(_read_stream(self.store, "work"), self.job)
        if not lines:
            raise cappa.Exit(f"the store keeps no job {self.job}", code=1)
        print("\n".join(lines))


@cappa.command(name="workers", help="List the workers as they register themselves.")
@dataclass
class WorkersCommand:
    """List all workers."""

    store: StoreAddress

    def __call__(self) -> None:
        """Print their entries."""
        for record in _read_stream(self.store, "workers"):
            print(record.key, record.value.decode(errors="replace"))


@cappa.command(name="cell", help="Look at a cell on the platform.")
@dataclass
class CellCommand:
    """Commands that read the platform's store and change nothing."""

    command: cappa.Subcommands[
        LeaderCommand | JobsCommand | JobCommand | WorkersCommand
    ]


@cappa.command(name="check-node", help="Check the settings file of the platform.")
@dataclass
class CheckNodeCommand:
    """Check a settings file."""

    path: Annotated[str, cappa.Arg(help="TOML settings file.")]

    def __call__(self) -> None:
        """Print what is wrong, or that it is fine."""
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


@cappa.command(name="burn", help="Report service-level burn from entries' metrics.")
@dataclass
class BurnCommand:
    """Report the share of jobs in time, and the error budget left."""

    urls: Annotated[list[str], cappa.Arg(help="Metrics address of each entry.")]
    target: Annotated[float, cappa.Arg(long="--target")] = field(default=0.95)

    def __call__(self) -> None:
        """Print the report."""
        if not 0 < self.target < 1:
            raise cappa.Exit(f"--target: {self.target} is not between 0 and 1", code=1)
        texts = [
            _fetch_metrics(url, urllib3.PoolManager().request) for url in self.urls
        ]
        print(render_burn(burn_report(texts, self.target)))
