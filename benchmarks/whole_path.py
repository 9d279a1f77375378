"""Latency from submission to start on an idle local cell, and usage of entries."""

import threading
import time

import msgspec

from benchmarks.measure import percentile, report
from benchmarks.processes import Usage, read_entry_usage
from scripts.cell import CellShape, LocalCell

__all__ = ["run"]

SUBMISSION_COUNT = 500
LOAD_SHAPE = CellShape(entries=8, workers=16, backends=0, groups=8, memory_mb=64_000)
IDLE_SHAPE = CellShape(entries=3, workers=6, backends=0, groups=3)
IDLE_S = 15.0
LOAD_S = 20.0
STARTS_PER_S = 71
CPU_BOUND_PERCENT = 4.9
MEMORY_BOUND_MB = 64.0
TRAFFIC_BOUND_KB_PER_S = 8.0
APPENDS_PER_S_BOUND = 200.0
CLIENT_COUNT = 8
SUBMISSION = {
    "spec": {
        "kind": "batch",
        "resources": [100, 50, 0],
        "command": ["sleep", "0.1"],
    }
}


def create_team(cell: LocalCell) -> str:
    """Create a team with ample limits and return a key."""
    cell.execute("create team planting share 20 limit cpu 4000 memory 4000GB")
    return cell.execute("give key to planting")["data"]["key"]


def read_start_times(cell: LocalCell) -> dict[str, int]:
    """Return the wall-clock time of each job's first start in milliseconds."""
    starts: dict[str, int] = {}
    for worker in cell.workers:
        port = worker.settings["listen"]["port"]
        response = cell.http.request("GET", f"http://127.0.0.1:{port}/v1/started")
        for job, _, _, at in msgspec.json.decode(response.data):
            starts[job] = min(at, starts.get(job, at))
    return starts


def measure_latency(cell: LocalCell, key: str) -> None:
    """Submit jobs one after the other and report the time to their starts."""
    submitted_at = {}
    for index in range(SUBMISSION_COUNT):
        at = time.time() * 1000
        response = cell.submit(
            key, SUBMISSION, f"l-{index}", index % cell.shape.entries
        )
        submitted_at[msgspec.json.decode(response.data)["id"]] = at
    time.sleep(2)
    starts = read_start_times(cell)
    waits_ms = [starts[job] - at for job, at in submitted_at.items() if job in starts]
    report("hand-ins that started", len(waits_ms), f"of {SUBMISSION_COUNT}")
    report("hand-in to start, median", percentile(waits_ms, 0.5), "ms")
    report("hand-in to start, p99", percentile(waits_ms, 0.99), "ms")


def report_usage(
    label: str, before: list[Usage], after: list[Usage], duration_s: float
):
    """Report the highest CPU usage, memory and traffic of any entry."""
    pairs = list(zip(before, after, strict=True))
    cpu = max((b.cpu_s - a.cpu_s) / duration_s * 100 for a, b in pairs)
    sent = max((b.sent - a.sent) / duration_s / 1000 for a, b in pairs)
    received = max((b.received - a.received) / duration_s / 1000 for a, b in pairs)
    memory = max(b.resident_mb for b in after)
    report(f"entry {label}, cpu", cpu, "% of a core", CPU_BOUND_PERCENT)
    report(f"entry {label}, resident memory", memory, "MB", MEMORY_BOUND_MB)
    report(f"entry {label}, control sent", sent, "KB/s", TRAFFIC_BOUND_KB_PER_S)
    report(f"entry {label}, control received", received, "KB/s", TRAFFIC_BOUND_KB_PER_S)


def offer_load(cell: LocalCell, key: str, rate: float, duration_s: float) -> int:
    """Submit jobs at a rate from several threads; return the number accepted."""
    accepted = []

    def client(number: int) -> None:
        due = time.monotonic() + number / rate
        end = due + duration_s
        count = 0
        while due < end:
            time.sleep(max(due - time.monotonic(), 0))
            name = f"c{number}-{count}-{rate}"
            response = cell.submit(
                key, SUBMISSION, name, (number + count) % len(cell.entries)
            )
            accepted.append(response.status == 202)
            count += 1
            due += CLIENT_COUNT / rate

    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENT_COUNT)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(accepted)


def count_appends(cell: LocalCell) -> int:
    """Return the number of appends to the log so far."""
    response = cell.http.request("GET", cell.platform_url + "/v1/stats")
    return msgspec.json.decode(response.data)["appends"]


def measure_load(cell: LocalCell, key: str) -> None:
    """Submit jobs at the peak start rate and report the usage of the entries."""
    before, appends_before = read_entry_usage(cell), count_appends(cell)
    started_at = time.monotonic()
    accepted = offer_load(cell, key, STARTS_PER_S, LOAD_S)
    duration_s = time.monotonic() - started_at
    after, appends_after = read_entry_usage(cell), count_appends(cell)
    time.sleep(2)
    report("hand-ins accepted under load", accepted / duration_s, "1/s")
    report("jobs started under load", len(read_start_times(cell)) / duration_s, "1/s")
    rate = (appends_after - appends_before) / duration_s
    report("log appends at 71 starts/s", rate, "1/s", APPENDS_PER_S_BOUND)
    report_usage(f"of {cell.shape.entries} at 71 starts/s", before, after, duration_s)


def run() -> None:
    """Run the benchmarks of this module."""
    with LocalCell(IDLE_SHAPE) as cell:
        cell.headers = {}
        before = read_entry_usage(cell)
        time.sleep(IDLE_S)
        report_usage("idle", before, read_entry_usage(cell), IDLE_S)
        measure_latency(cell, create_team(cell))
    with LocalCell(LOAD_SHAPE) as cell:
        cell.headers = {}
        measure_load(cell, create_team(cell))
