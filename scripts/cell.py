"""Local cell of separate processes on the loopback interface, for demos and tests."""

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
"""Maximum extension of a timeout for time without a CPU; 105 s have occurred."""
NS_PER_S = 1_000_000_000
STOP_TIMEOUT_S = 20.0
HTTP_TIMEOUT_S = 15.0
FIRST_PORT = 20_000
PORT_BLOCK_COUNT = 40
PORTS_PER_BLOCK = 300


class CellShape(msgspec.Struct, kw_only=True):
    """Size and settings of a local cell."""

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
    """Block of TCP ports that is reserved for this process until it ends.

    Notes
    -----
    A port is allocated long before its process listens on it, so checking that it
    is free does not keep other processes from taking it. An abstract Unix socket
    locks the block; the kernel releases it however the process ends.
    """

    def __init__(self) -> None:
        self._lock_socket = socket.socket(socket.AF_UNIX)
        self._ports = cycle(range(PORTS_PER_BLOCK))
        self._first = FIRST_PORT + self._lock_block() * PORTS_PER_BLOCK

    def _lock_block(self) -> int:
        """Lock a block that no other process holds, and return its number."""
        for offset in range(PORT_BLOCK_COUNT):
            block = (os.getpid() + offset) % PORT_BLOCK_COUNT
            try:
                self._lock_socket.bind(f"\0pimentomill-ports-{block}")
            except OSError:
                continue
            return block
        raise OSError(f"all {PORT_BLOCK_COUNT} port blocks are in use")

    def next_port(self) -> int:
        """Return the next port of the block, which may be in use."""
        return self._first + next(self._ports)


@cache
def get_port_block() -> PortBlock:
    """Return the port block of this process."""
    return PortBlock()


def find_free_port() -> int:
    """Return a free TCP port outside the range of outgoing connections."""
    while True:
        port = get_port_block().next_port()
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Process:
    """Process of a cell, started from a settings file."""

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
        """Return how long each thread has been runnable but waiting for a CPU.

        Returns
        -------
        dict
            Seconds by path of the thread's ``schedstat`` file; empty if the
            process is not running.
        """
        if not self.is_running():
            return {}
        waits_s = {}
        for path in Path(f"/proc/{self.pid}/task").glob("*/schedstat"):
            try:
                _, waited_ns, _ = path.read_text().split()
            except OSError:
                # The thread has ended meanwhile.
                continue
            waits_s[str(path)] = int(waited_ns) / NS_PER_S
        return waits_s

    def start(self) -> None:
        """Write the settings file and start the process."""
        path = self.folder / f"{self.name}.json"
        path.write_bytes(msgspec.json.encode(self.settings))
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", "pimentomill.cli", self.command, str(path)],
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, signum: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running():
            os.kill(self.pid, signum)

    def stop(self) -> int:
        """Stop the process, by force after a timeout, and return its exit code."""
        self.send_signal(signal.SIGTERM)
        try:
            return self._child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._child.kill()
            return self._child.wait()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self._child.wait()


class LocalCell:
    """Start, use and stop a local cell.

    Parameters
    ----------
    shape : CellShape
        Size and settings.
    """

    def __init__(self, shape: CellShape) -> None:
        self.shape = shape
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        # The server may close an idle connection just as it is reused.
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
        """Kill all running processes and delete the cell's folder."""
        processes = [*self.entries, *self.workers, *self.backends, self.platform]
        for process in processes:
            if process.is_running():
                process.send_signal(signal.SIGCONT)
                process.kill()
        self._folder.cleanup()

    def stop(self) -> dict[str, int]:
        """Stop all processes gracefully and return their exit codes by name."""
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
            Returns whether the condition holds.
        description : str
            What is waited for, for the error message.
        timeout_s : float
            Timeout in seconds. Time in which a thread of the cell waits for a
            CPU does not count, up to `MAX_CPU_WAIT_S`.

        Raises
        ------
        TimeoutError
            If the condition does not hold before the timeout.
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
        raise TimeoutError(f"timed out waiting for {description}\n{self.log_tail()}")

    def cpu_wait_s(self) -> float:
        """Return how long the cell has been delayed by threads waiting for a CPU.

        Returns
        -------
        float
            Total seconds over all calls; between two calls, the longest wait of
            a single thread counts.
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
        """Copy the logs of all processes, which `close` deletes.

        Parameters
        ----------
        folder : Path
            Parent folder of the copies.

        Returns
        -------
        Path
            New folder with the copies.
        """
        folder.mkdir(parents=True, exist_ok=True)
        destination = Path(tempfile.mkdtemp(prefix="logs-", dir=folder))
        for process in [*self.entries, *self.workers, *self.backends, self.platform]:
            if process.log_path.exists():
                shutil.copy(process.log_path, destination)
        return destination

    def log_tail(self) -> str:
        """Return the last 2000 characters of each entry's log."""
        tails = []
        for process in self.entries:
            if process.log_path.exists():
                tails.append(process.name + ": " + process.log_path.read_text()[-2000:])
        return "\n".join(tails)

    def _is_platform_ready(self) -> bool:
        return self._get_status("GET", self.platform_url + "/v1/instances") == 200

    def are_entries_ready(self) -> bool:
        """Return whether all entries are ready for requests."""
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
        """Return the base URL of an entry for callers."""
        return f"http://127.0.0.1:{self.entries[entry].settings['callers']['port']}"

    def control_url(self, entry: int) -> str:
        """Return the base URL of an entry's control interface."""
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
        """Send an HTTP request to an entry, authorized by a key."""
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
        """Execute an operator's statement and return the decoded answer and status."""
        response = self.call(
            "POST", "/v1/commands", OPERATOR_KEY, statement.encode(), entry
        )
        answer = msgspec.json.decode(response.data)
        answer["status"] = response.status
        return answer

    def submit(
        self, key: str, submission: dict, idempotency_key: str, entry: int = 0
    ) -> urllib3.BaseHTTPResponse:
        """Submit a job."""
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
        """Send a request to a service, and retry it as the interface prescribes.

        Returns
        -------
        urllib3.BaseHTTPResponse
            First response other than 503, which says that the request was not
            run and when to retry.

        Raises
        ------
        TimeoutError
            If there is no such response before the timeout.
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
        """Return a job as an entry reports it."""
        response = self.call("GET", f"/v1/jobs/{job_id}", key, entry=entry)
        return msgspec.json.decode(response.data)

    def wait_for_state(
        self, key: str, job_id: str, state: str, entry: int = 0, timeout_s: float = 20.0
    ) -> dict:
        """Wait until a job reaches a state, and return the job."""
        job: dict = {}

        def is_reached() -> bool:
            job.update(self.get_job(key, job_id, entry))
            return job.get("state") == state

        self.wait_for(is_reached, f"{job_id} to be {state}, it is {job}", timeout_s)
        return job

    def explain(self, job_id: str, entry: int = 0) -> str:
        """Return the explanation of a job's placement as text."""
        return self.execute(f"why {job_id}", entry)["text"]
