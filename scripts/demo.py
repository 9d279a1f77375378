"""Demo: a local cell runs each kind of job, step by step."""

import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from scripts.cell import CellShape, LocalCell

__all__ = ["main"]

SHAPE = CellShape(entries=3, workers=6, backends=2, groups=3, accelerators=2)
LOG_FOLDER = Path("run")
REVOCATION_BOUND_S = 4.0


class DemoError(Exception):
    """A step of the demo has an unexpected result."""


def print_line(text: str) -> None:
    """Print text and flush the output."""
    print(text, flush=True)


def require(condition: bool, message: str) -> None:
    """Raise a DemoError unless a condition holds."""
    if not condition:
        raise DemoError(message)


def decode_body(response) -> dict:
    """Return the decoded JSON body of a response."""
    return msgspec.json.decode(response.data)


class Demo:
    """Steps of the demo.

    Parameters
    ----------
    cell : LocalCell
        Cell that is ready for requests.
    """

    def __init__(self, cell: LocalCell) -> None:
        self.cell = cell
        self.key = ""
        self.key_id = ""

    def steps(self) -> list[Callable[[], None]]:
        """Return the steps in order."""
        return [
            self.show_cell,
            self.create_team,
            self.run_batch,
            self.run_gang,
            self.run_service,
            self.send_requests,
            self.reject_oversized_job,
            self.race_changes,
            self.revoke_key,
        ]

    def show_cell(self) -> None:
        """Show entries, groups and workers."""
        for subject in ("entries", "groups", "workers"):
            print_line(self.cell.execute(f"show {subject}")["text"] + "\n")

    def create_team(self) -> None:
        """Create a team and issue a key for it."""
        statement = "create team planting share 20 limit cpu 64 memory 128GB"
        print_line("> " + statement)
        print_line(self.cell.execute(statement + " accelerators 8")["text"])
        data = self.cell.execute('give key to planting label "demo"')["data"]
        self.key, self.key_id = data["key"], data["key_id"]
        print_line(f"key {self.key_id} given")

    def _submit_job(self, name: str, spec: dict, entry: int) -> str:
        response = self.cell.submit(self.key, {"spec": spec}, name, entry)
        require(response.status == 202, f"{name}: {response.status} {response.data}")
        return decode_body(response)["id"]

    def _run_job(self, name: str, spec: dict, state: str, entry: int) -> str:
        job_id = self._submit_job(name, spec, entry)
        other = (entry + 1) % self.cell.shape.entries
        self.cell.wait_for_state(self.key, job_id, state, other)
        print_line(
            f"\n{name}, submitted at entry {entry + 1}, queried at entry {other + 1}:"
        )
        print_line(self.cell.explain(job_id, other))
        return job_id

    def run_batch(self) -> None:
        """Run a batch job of several tasks."""
        spec = {
            "kind": "batch",
            "tasks": 4,
            "resources": [2000, 1000, 0],
            "command": ["sleep", "0.3"],
        }
        self._run_job("batch run", spec, "succeeded", 0)

    def run_gang(self) -> None:
        """Run a gang job, whose tasks start together."""
        spec = {
            "kind": "gang",
            "tasks": 3,
            "resources": [4000, 1000, 1],
            "command": ["sleep", "0.3"],
        }
        self._run_job("gang", spec, "succeeded", 1)

    def run_service(self) -> None:
        """Run a service, then cancel it."""
        spec = {
            "kind": "service",
            "replicas": 2,
            "resources": [1000, 500, 0],
            "command": ["serve"],
        }
        job_id = self._run_job("service", spec, "running", 2)
        response = self.cell.call("DELETE", f"/v1/jobs/{job_id}", self.key)
        require(response.status == 202, f"cancel: {response.status}")
        self.cell.wait_for_state(self.key, job_id, "cancelled", 1)
        print_line("cancelled at entry 1, seen at entry 2")

    def send_requests(self) -> None:
        """Send an idempotent request, then a non-idempotent one twice."""
        headers = {"Pimentomill-Idempotent": "true"}
        response = self.cell.request(self.key, "planting", b"row 7", headers)
        require(
            response.data == b"row 7", f"request: {response.status} {response.data}"
        )
        print_line(f"\nrequest answered with {response.status}")
        headers = {"Idempotency-Key": "order-1"}
        first = self.cell.request(self.key, "planting", b"40 plugs", headers)
        second = self.cell.request(self.key, "planting", b"40 plugs", headers, 1)
        require(first.status == 200, f"order: {first.status} {first.data}")
        require(second.status == 409, f"repeat: {second.status} {second.data}")
        print_line(
            f"order answered; the repeat at entry 2: {decode_body(second)['message']}"
        )

    def reject_oversized_job(self) -> None:
        """Submit a job that no worker is large enough to run.

        An entry rejects the job once it knows all groups; before that, it accepts
        the job and reports why it is waiting.
        """
        spec = {"kind": "batch", "resources": [900_000, 1000, 0]}
        responses = []

        def is_rejected() -> bool:
            name = f"too-large-{len(responses)}"
            responses.append(self.cell.submit(self.key, {"spec": spec}, name))
            return responses[-1].status == 422

        self.cell.wait_for(is_rejected, "the rejection of an oversized task")
        print_line(f"oversized task: {decode_body(responses[-1])['message']}")

    def race_changes(self) -> None:
        """Let two operators change the same version of a team."""
        teams = self.cell.execute("show teams")["data"]
        version = teams[0]["version"]
        first = self.cell.execute(f"set team planting share 30 expecting {version}", 0)
        second = self.cell.execute(f"set team planting share 5 expecting {version}", 1)
        require(first["status"] == 200, f"first operator: {first}")
        require(second["status"] == 409, f"second operator: {second}")
        print_line(f"second operator: {second['message']}")

    def revoke_key(self) -> None:
        """Revoke the key and show that every entry rejects it."""
        print_line(f"\n> withdraw key {self.key_id}")
        self.cell.execute(f"withdraw key {self.key_id}")
        revoked_at = time.monotonic()
        spec = {"kind": "batch", "resources": [1000, 100, 0]}
        for entry in range(self.cell.shape.entries):
            self._wait_until_rejected(spec, entry)
        seconds = time.monotonic() - revoked_at
        require(
            seconds < REVOCATION_BOUND_S, f"key rejected only after {seconds:.1f} s"
        )
        print_line(f"key rejected at all entries within {seconds:.2f} s")

    def _wait_until_rejected(self, spec: dict, entry: int) -> None:
        def is_rejected() -> bool:
            name = f"late-{time.monotonic_ns()}"
            return self.cell.submit(self.key, {"spec": spec}, name, entry).status == 401

        self.cell.wait_for(is_rejected, f"rejection of the key at entry {entry + 1}")


def run_demo(cell: LocalCell) -> None:
    """Run all steps and stop the cell gracefully."""
    for step in Demo(cell).steps():
        step()
    codes = cell.stop()
    require(not any(codes.values()), f"exit codes {codes}")
    print_line("all processes stopped gracefully")


def main() -> int:
    """Run the demo and return the exit code."""
    started = time.monotonic()
    cell = LocalCell(SHAPE)
    try:
        cell.start()
        run_demo(cell)
    except Exception as exc:
        log_folder = str(cell.copy_logs(LOG_FOLDER))
        summary = {"demo": "failed", "why": repr(exc), "logs": log_folder}
        print_line(msgspec.json.encode(summary).decode())
        return 1
    finally:
        cell.close()
    seconds = round(time.monotonic() - started, 1)
    summary = {"demo": "ok", "entries": SHAPE.entries, "seconds": seconds}
    print_line(msgspec.json.encode(summary).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
