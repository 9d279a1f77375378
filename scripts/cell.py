"""A small cell of separate processes on loopback, for demonstrations and tests."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from functools import cache
from http import HTTPStatus
from itertools import cycle
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from pimentomill.admission import digest_of

__all__ = ["CellShape", "LocalCell"]

OPERATOR_KEY = "demo-operator-key"
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
MAX_CPU_WAIT_S = 300.0
"""Longest wait for a processor that a limit leaves out; 105 s were seen."""
NS_PER_S = 1_000_000_000
STOP_TIMEOUT_S = 20.0
HTTP_TIMEOUT_S = 15.0
FIRST_PORT = 20_000
PORT_BLOCK_COUNT = 40
PORTS_PER_BLOCK = 300


class CellShape(msgspec.Struct, kw_only=True):
    """Size of a small cell."""

    entries: int = 2
    workers: int = 4
    backends: int = 2
    groups: int = 2
    processors: int = 16
    memory_mb: int = 32_000
    accelerators: int = 0
    leases: dict[str, int] = {}
    appends_per_second: int = 500


class PortBlock:
    """Ports that only this process hands out, until it ends.

    Notes
    -----
    A port is handed out long before its process listens, so that looking whether it
    is free does not keep others from it. A Unix socket without a file stands for the
    block; the kernel takes it back from a process that ends in any way.
    """

    def __init__(self) -> None:
        self._lock_socket = socket.socket(socket.AF_UNIX)
        self._ports = cycle(range(PORTS_PER_BLOCK))
        self._first = FIRST_PORT + self._lock_block() * PORTS_PER_BLOCK

    def _lock_block(self) -> int:
        """Claim a block that no other process has, and return its number."""
        for offset in range(PORT_BLOCK_COUNT):
            block = (os.getpid() + offset) % PORT_BLOCK_COUNT
            try:
                self._lock_socket.bind(f"\0pimentomill-ports-{block}")
            except OSError:
                continue
            return block
        raise OSError(f"all {PORT_BLOCK_COUNT} blocks of ports are taken")

    def next_port(self) -> int:
        """Return the next port of the block, free or not."""
        return self._first + next(self._ports)


@cache
def get_port_block() -> PortBlock:
    """Return the block of this process."""
    return PortBlock()


def find_free_port() -> int:
    """Return a TCP port that is free and that no outgoing connection takes."""
    while True:
        port = get_port_block().next_port()
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Process:
    """One process of the cell, started from a settings file."""

    def __init__(self, name: str, command: str, settings: dict, folder: Path) -> None:
        self.name = name
        self.command = command
        self.settings = settings
        self.folder = folder
        self.log_path = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._child.pid

    def cpu_waits_s(self) -> dict[str, float]:
        """Return how long each thread was ready to run without a processor.

        Returns
        -------
        dict
            Seconds by path of the thread's figures; empty if it does not run.
        """
        if not self.is_running():
            return {}
        waits_s = {}
        for path in Path(f"/proc/{self.pid}/task").glob("*/schedstat"):
            try:
                _, waited_ns, _ = path.read_text().split()
            except OSError:
                # The thread has ended since.
                continue
            waits_s[str(path)] = int(waited_ns) / NS_PER_S
        return waits_s

    def start(self) -> None:
        """Start it."""
        path = self.folder / f"{self.name}.json"
        path.write_bytes(msgspec.json.encode(self.settings))
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "pimentomill.cli", self.command, str(path)],
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Return whether it runs."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, signum: int) -> None:
        """Send it a signal."""
        if self.is_running():
            os.kill(self.pid, signum)

    def stop(self) -> int:
        """Stop it gracefully and return its exit code."""
        self.send_signal(signal.SIGTERM)
        try:
            return self._child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._child.kill()
            return self._child.wait()

    def kill(self) -> None:
        """Kill it at once."""
        self.send_signal(signal.SIGKILL)
        self._child.wait()


class LocalCell:
    """Start, use and stop a small cell.

    Parameters
    ----------
    shape : CellShape
        Its size.
    """

    def __init__(self, shape: CellShape) -> None:
        self.shape = shape
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        # A kept connection may be closed by its server just as it is used again.
        self.headers = {"Connection": "close"}
        self._thread_waits_s: dict[str, float] = {}
        self._total_cpu_wait_s = 0.0
        self._folder = tempfile.TemporaryDirectory(prefix="pimentomill-")
        folder = Path(self._folder.name)
        port = find_free_port()
        self.platform_url = f"http://127.0.0.1:{port}"
        self.platform = self._make_platform(port, folder)
        self.entries = [self._make_entry(i, folder) for i in range(shape.entries)]
        self.workers = [self._make_worker(i, folder) for i in range(shape.workers)]
        self.backends = [self._make_backend(i, folder) for i in range(shape.backends)]

    def _make_platform(self, port: int, folder: Path) -> Process:
        settings = {
            "listen": {"port": port},
            "list_lag_ms": 200,
            "appends_per_second": self.shape.appends_per_second,
        }
        return Process("platform", "platform-stand-in", settings, folder)

    def _rack_of(self, index: int) -> str:
        group = index % self.shape.groups
        return f"dc{group % 3 + 1}/r{group + 1}"

    def _make_entry(self, index: int, folder: Path) -> Process:
        groups = [
            {"name": f"g{i + 1}", "racks": [self._rack_of(i)]}
            for i in range(self.shape.groups)
        ]
        settings: dict[str, Any] = {
            "name": f"entry-{index + 1}",
            "data_centre": f"dc{index % 3 + 1}",
            "callers": {"port": find_free_port()},
            "control": {"port": find_free_port()},
            "peers": {"port": find_free_port()},
            "platform_url": self.platform_url,
            "groups": groups,
            "operator_key_digests": [digest_of(OPERATOR_KEY)],
            "leases": self.shape.leases,
        }
        return Process(f"entry-{index + 1}", "entry", settings, folder)

    def _make_worker(self, index: int, folder: Path) -> Process:
        settings = {
            "name": f"worker-{index + 1}",
            "listen": {"port": find_free_port()},
            "rack": self._rack_of(index),
            "platform_url": self.platform_url,
            "processors": self.shape.processors,
            "memory_mb": self.shape.memory_mb,
            "accelerators": self.shape.accelerators,
        }
        return Process(f"worker-{index + 1}", "worker-stand-in", settings, folder)

    def _make_backend(self, index: int, folder: Path) -> Process:
        settings = {
            "name": f"backend-{index + 1}",
            "listen": {"port": find_free_port()},
            "rack": self._rack_of(index),
            "platform_url": self.platform_url,
            "service": "planting",
        }
        return Process(f"backend-{index + 1}", "backend-stand-in", settings, folder)

    def __enter__(self) -> "LocalCell":
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_) -> None:
        self.close()

    def start(self) -> None:
        """Start all processes and wait until the cell is ready."""
        self.platform.start()
        self.wait_for(self._is_platform_ready, "the platform")
        for process in [*self.workers, *self.backends, *self.entries]:
            process.start()
        self.wait_for(self.are_entries_ready, "the entries")
        self.wait_for(self._are_workers_live, "the workers")

    def close(self) -> None:
        """End what still runs."""
        processes = [*self.entries, *self.workers, *self.backends, self.platform]
        for process in processes:
            if process.is_running():
                process.send_signal(signal.SIGCONT)
                process.kill()
        self._folder.cleanup()

    def stop(self) -> dict[str, int]:
        """Stop all processes gracefully; return exit codes by name."""
        codes = {}
        for process in [*self.entries, *self.backends, *self.workers, self.platform]:
            codes[process.name] = process.stop()
        return codes

    def wait_for(
        self, condition, description: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds.

        Parameters
        ----------
        condition : callable
            Returns whether it holds.
        what : str
            What is waited for.
        within_s : float
            Limit in seconds. Time in which a thread of the cell waited for a
            processor is left out, up to `STARVED_AT_MOST_S`.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        deadline = time.monotonic() + timeout_s
        initial_wait_s = self.cpu_wait_s()
        extension_s = 0.0
        while time.monotonic() < deadline + extension_s:
            if condition():
                return
            time.sleep(POLL_INTERVAL_S)
            waited_s = self.cpu_wait_s() - initial_wait_s
            extension_s = min(waited_s, MAX_CPU_WAIT_S)
        raise TimeoutError(f"{description} not in time\n{self.log_tail()}")

    def cpu_wait_s(self) -> float:
        """Return how long the cell was held up by threads without a processor.

        Returns
        -------
        float
            Seconds in total over the calls so far; from one call to the next
            the longest wait of a single thread counts.
        """
        previous = self._thread_waits_s
        self._thread_waits_s = {}
        for process in [*self.entries, *self.workers, *self.backends, self.platform]:
            self._thread_waits_s.update(process.cpu_waits_s())
        increments = [
            wait - previous.get(path, 0.0)
            for path, wait in self._thread_waits_s.items()
        ]
        self._total_cpu_wait_s += max(increments, default=0.0)
        return self._total_cpu_wait_s

    def copy_logs(self, folder: Path) -> Path:
        """Copy the logs of all processes, so that they outlast the cell.

        Parameters
        ----------
        folder : Path
            Where to make a folder for them.

        Returns
        -------
        Path
            Folder that holds the copies.
        """
        folder.mkdir(parents=True, exist_ok=True)
        destination = Path(tempfile.mkdtemp(prefix="logs-", dir=folder))
        for process in [*self.entries, *self.workers, *self.backends, self.platform]:
            if process.log_path.exists():
                shutil.copy(process.log_path, destination)
        return destination

    def log_tail(self) -> str:
        """Return the ends of the entries' logs."""
        tails = []
        for process in self.entries:
            if process.log_path.exists():
                tails.append(process.name + ": " + process.log_path.read_text()[-2000:])
        return "\n".join(tails)

    def _is_platform_ready(self) -> bool:
        return self._get_status("GET", self.platform_url + "/v1/instances") == 200

    def are_entries_ready(self) -> bool:
        """Return whether all entries take requests."""
        return all(
            self._get_status("GET", self.caller_url(i) + "/readyz") == 200
            for i in range(len(self.entries))
        )

    def _are_workers_live(self) -> bool:
        data = self.execute("show workers").get("data", {"workers": []})
        live = [w for w in data["workers"] if w["health"] == "live"]
        return len(live) == self.shape.workers

    def _get_status(self, method: str, url: str) -> int:
        try:
            return self.http.request(method, url, timeout=HTTP_TIMEOUT_S).status
        except urllib3.exceptions.HTTPError:
            return 0

    def caller_url(self, entry: int) -> str:
        """Return the callers' address of an entry."""
        return f"http://127.0.0.1:{self.entries[entry].settings['callers']['port']}"

    def control_url(self, entry: int) -> str:
        """Return the control address of an entry."""
        return f"http://127.0.0.1:{self.entries[entry].settings['control']['port']}"

    def call(
        self,
        method: str,
        path: str,
        key: str,
        body: bytes = b"",
        entry: int = 0,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Call an entry with a key."""
        all_headers = {
            "Authorization": f"Bearer {key}",
            **self.headers,
            **(headers or {}),
        }
        return self.http.request(
            method,
            self.caller_url(entry) + path,
            body=body,
            headers=all_headers,
            timeout=HTTP_TIMEOUT_S,
        )

    def execute(self, statement: str, entry: int = 0) -> dict:
        """Carry out an operator's statement and return the JSON answer."""
        response = self.call(
            "POST", "/v1/commands", OPERATOR_KEY, statement.encode(), entry
        )
        answer = msgspec.json.decode(response.data)
        answer["status"] = response.status
        return answer

    def submit(
        self, key: str, submission: dict, idempotency_key: str, entry: int = 0
    ) -> urllib3.BaseHTTPResponse:
        """Hand in a job."""
        return self.call(
            "POST",
            "/v1/jobs",
            key,
            msgspec.json.encode(submission),
            entry,
            {"Idempotency-Key": idempotency_key},
        )

    def request(
        self,
        key: str,
        service: str,
        body: bytes,
        headers: dict[str, str],
        entry: int = 0,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to a service, as a caller that keeps to the interface.

        Returns
        -------
        urllib3.BaseHTTPResponse
            The first answer that does not say that the request was surely not
            run and when to come back.

        Raises
        ------
        TimeoutError
            If there is none in time.
        """
        path = f"/v1/services/{service}/requests"
        responses = []

        def is_final() -> bool:
            responses.append(self.call("POST", path, key, body, entry, headers))
            if responses[-1].status != HTTPStatus.SERVICE_UNAVAILABLE:
                return True
            time.sleep(float(responses[-1].headers["Retry-After"]))
            return False

        self.wait_for(is_final, f"an answer of {service}")
        return responses[-1]

    def get_job(self, key: str, job_id: str, entry: int = 0) -> dict:
        """Return a job."""
        response = self.call("GET", f"/v1/jobs/{job_id}", key, entry=entry)
        return msgspec.json.decode(response.data)

    def wait_for_state(
        self, key: str, job_id: str, state: str, entry: int = 0, timeout_s: float = 20.0
    ) -> dict:
        """Wait until a job has a state, and return it."""
        job: dict = {}

        def is_reached() -> bool:
            job.update(self.get_job(key, job_id, entry))
            return job.get("state") == state

        self.wait_for(is_reached, f"{job_id} {state}, it is {job}", timeout_s)
        return job

    def explain(self, job_id: str, entry: int = 0) -> str:
        """Return what runs where and why, as text."""
        return self.execute(f"why {job_id}", entry)["text"]
