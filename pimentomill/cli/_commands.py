"""Command-line program and its main subcommands."""

import signal
import sys
import threading
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated

import cappa

from ..entry import EntryDaemon
from ..exceptions import PimentomillError
from ..settings import (
    BackendSettings,
    EntrySettings,
    PlatformSettings,
    WorkerSettings,
    load_settings,
)
from ..standins import BackendStandIn, PlatformStandIn, WorkerStandIn
from ..telemetry import start_logging
from ..utils import SystemClock, new_id
from ._cell import BurnCommand, CellCommand, CheckNodeCommand, LossesCommand
from ._client import EntryClient, read_key

__all__ = ["Pimentomill", "main"]

EXIT_REJECTED = 1
EXIT_FAILED = 70
TEAM_KEY_VARIABLE = "PIMENTOMILL_KEY"
OPERATOR_KEY_VARIABLE = "PIMENTOMILL_OPERATOR_KEY"

SettingsPath = Annotated[str, cappa.Arg(help="JSON settings file.")]
EntryUrl = Annotated[
    str, cappa.Arg(short="-u", long="--url", help="Base URL of an entry.")
]
CaFile = Annotated[
    str, cappa.Arg(long="--ca-file", help="CA certificates to trust, PEM.")
]


def _run_until_signal(daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT."""
    stopping = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stopping.set())
    start_logging()
    daemon.start()
    wait = getattr(daemon, "wait", None)
    while not stopping.wait(0.2):
        if wait is not None and wait(0):
            print("the entry has failed; see its log", file=sys.stderr)
            raise cappa.Exit(code=EXIT_FAILED)
    daemon.stop()


@cappa.command(name="entry", help="Run an entry.")
@dataclass
class EntryCommand:
    """Run an entry until SIGTERM or SIGINT."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Load the settings and run the entry."""
        _run_until_signal(EntryDaemon(load_settings(self.settings, EntrySettings)))


@cappa.command(name="platform-stand-in", help="Run a stand-in of the platform.")
@dataclass
class PlatformCommand:
    """Run a stand-in of the platform until SIGTERM or SIGINT."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Load the settings and run the stand-in."""
        cfg = load_settings(self.settings, PlatformSettings)
        _run_until_signal(PlatformStandIn(cfg, SystemClock()))


@cappa.command(name="worker-stand-in", help="Run a stand-in of a worker.")
@dataclass
class WorkerCommand:
    """Run a stand-in of a worker until SIGTERM or SIGINT."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Load the settings and run the stand-in."""
        cfg = load_settings(self.settings, WorkerSettings)
        _run_until_signal(WorkerStandIn(cfg, SystemClock()))


@cappa.command(name="backend-stand-in", help="Run a stand-in of a backend server.")
@dataclass
class BackendCommand:
    """Run a stand-in of a backend server until SIGTERM or SIGINT."""

    settings: SettingsPath

    def __call__(self) -> None:
        """Load the settings and run the stand-in."""
        cfg = load_settings(self.settings, BackendSettings)
        _run_until_signal(BackendStandIn(cfg))


class SettingsKind(Enum):
    """Process that a settings file configures."""

    ENTRY = "entry"
    PLATFORM = "platform"
    WORKER = "worker"
    BACKEND = "backend"


SETTINGS_CLASSES = {
    SettingsKind.ENTRY: EntrySettings,
    SettingsKind.PLATFORM: PlatformSettings,
    SettingsKind.WORKER: WorkerSettings,
    SettingsKind.BACKEND: BackendSettings,
}


@cappa.command(name="check", help="Validate a settings file.")
@dataclass
class CheckCommand:
    """Validate a settings file."""

    kind: Annotated[SettingsKind, cappa.Arg(help="Process that the file configures.")]
    settings: SettingsPath

    def __call__(self) -> None:
        """Load the settings, and print that they are valid."""
        load_settings(self.settings, SETTINGS_CLASSES[self.kind])
        print(f"{self.settings}: good settings of {self.kind.value}")


@cappa.command(
    name="submit",
    help=f"Submit a job. The team's key is read from {TEAM_KEY_VARIABLE}.",
)
@dataclass
class SubmitCommand:
    """Submit a job from a JSON file."""

    url: EntryUrl
    job: Annotated[str, cappa.Arg(help="JSON file of the job, '-' for stdin.")]
    key: Annotated[
        str,
        cappa.Arg(
            long="--idempotency-key", help="Submissions with the same key are one job."
        ),
    ] = ""
    ca_file: CaFile = ""

    def __call__(self) -> None:
        """Submit the job and print the entry's response."""
        is_stdin = self.job == "-"
        body = sys.stdin.buffer.read() if is_stdin else _read_bytes(self.job)
        client = EntryClient(self.url, read_key(TEAM_KEY_VARIABLE), self.ca_file)
        headers = {"Idempotency-Key": self.key or new_id("cli")}
        print(client.call("POST", "/v1/jobs", body, headers).decode())


@cappa.command(
    name="job",
    help=f"Show a job. The team's key is read from {TEAM_KEY_VARIABLE}.",
)
@dataclass
class JobCommand:
    """Show or cancel a job."""

    url: EntryUrl
    id: Annotated[str, cappa.Arg(help="Id of the job.")]
    cancel: Annotated[bool, cappa.Arg(long="--cancel", help="Cancel the job.")] = False
    ca_file: CaFile = ""

    def __call__(self) -> None:
        """Show or cancel the job, and print the response."""
        client = EntryClient(self.url, read_key(TEAM_KEY_VARIABLE), self.ca_file)
        method = "DELETE" if self.cancel else "GET"
        print(client.call(method, f"/v1/jobs/{self.id}").decode())


@cappa.command(
    name="do",
    help=(
        "Execute a statement of the operators' language. The operator's key is "
        f"read from {OPERATOR_KEY_VARIABLE}."
    ),
)
@dataclass
class DoCommand:
    """Execute a statement."""

    url: EntryUrl
    statement: Annotated[list[str], cappa.Arg(help="Words of the statement.")]
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print the response as JSON.")
    ] = False
    ca_file: CaFile = ""

    def __call__(self) -> None:
        """Execute the statement and print the response."""
        client = EntryClient(self.url, read_key(OPERATOR_KEY_VARIABLE), self.ca_file)
        accept = "application/json" if self.json else "text/plain"
        body = " ".join(self.statement).encode()
        response = client.call("POST", "/v1/commands", body, {"Accept": accept})
        print(response.decode().rstrip("\n"))


def _read_bytes(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise PimentomillError(f"can't read {path}: {exc.strerror}") from exc


@cappa.command(
    name="pimentomill",
    help="Cluster scheduler for services, batch jobs and gangs that share a cell.",
)
@dataclass
class Pimentomill:
    """Command-line program."""

    command: cappa.Subcommands[
        EntryCommand
        | PlatformCommand
        | WorkerCommand
        | BackendCommand
        | CheckCommand
        | SubmitCommand
        | JobCommand
        | DoCommand
        | CellCommand
        | CheckNodeCommand
        | BurnCommand
        | LossesCommand
    ]


def main(argv: list[str] | None = None) -> None:
    """Run the command-line program.

    Parameters
    ----------
    argv : list of str or None, default=None
        Arguments; None for those of the process.

    Raises
    ------
    SystemExit
        With status 0 on success, 1 if the command was rejected, 2 for invalid
        arguments and 70 if a daemon failed.
    """
    try:
        cappa.invoke(Pimentomill, argv=argv)
    except PimentomillError as exc:
        print(f"pimentomill: {exc}", file=sys.stderr)
        raise SystemExit(EXIT_REJECTED) from exc
