"""Time until a configuration change is in force at all entries."""

import threading
import time

from benchmarks.measure import percentile, report
from scripts.cell import CellShape, LocalCell

__all__ = ["run"]

SHAPE = CellShape(entries=8, workers=2, backends=0, groups=2)
CHANGE_COUNT = 40
KEY_COUNT = 10
BOUND_S = 4.0
TIMEOUT_S = 10.0
UNAUTHORIZED = 401


def time_at_all_entries(cell: LocalCell, is_in_force) -> list[float]:
    """Return the seconds until a condition holds, or the timeout, for each entry."""
    started = time.monotonic()
    durations_s = [TIMEOUT_S] * len(cell.entries)

    def watch(entry: int) -> None:
        while time.monotonic() < started + TIMEOUT_S:
            if is_in_force(entry):
                durations_s[entry] = time.monotonic() - started
                return

    threads = [
        threading.Thread(target=watch, args=(i,)) for i in range(len(cell.entries))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return durations_s


def measure_changes(cell: LocalCell) -> None:
    """Report the time until a changed team share is in force at all entries."""
    version = cell.execute("create team kiln share 1 limit cpu 1 memory 1")["data"]
    durations_s = []
    for number in range(CHANGE_COUNT):
        statement = f"set team kiln share {number + 2} expecting {version['version']}"
        version = cell.execute(statement, number % len(cell.entries))["data"]

        def is_in_force(entry: int, share: int = number + 2) -> bool:
            teams = cell.execute("show teams", entry)["data"]
            return bool(teams) and teams[0]["share"] == share

        durations_s.append(max(time_at_all_entries(cell, is_in_force)))
    for name, fraction in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        value = percentile(durations_s, fraction)
        report(f"change in force at 8 entries, {name}", value, "s", BOUND_S)


def measure_revocations(cell: LocalCell) -> None:
    """Report the longest time until all entries reject a revoked key."""
    durations_s = []
    for number in range(KEY_COUNT):
        data = cell.execute("give key to kiln")["data"]
        key = data["key"]
        time_at_all_entries(
            cell, lambda entry, key=key: not is_rejected(cell, key, entry)
        )
        cell.execute(f"withdraw key {data['key_id']}", number % len(cell.entries))
        rejected_after_s = time_at_all_entries(
            cell, lambda e, key=key: is_rejected(cell, key, e)
        )
        durations_s.append(max(rejected_after_s))
    report("withdrawn key refused at 8 entries, max", max(durations_s), "s", BOUND_S)


def is_rejected(cell: LocalCell, key: str, entry: int) -> bool:
    """Return whether an entry rejects a key."""
    path = "/v1/requests/none@g1"
    return cell.call("GET", path, key, entry=entry).status == UNAUTHORIZED


def run() -> None:
    """Run the benchmarks of this module."""
    with LocalCell(SHAPE) as cell:
        measure_changes(cell)
        measure_revocations(cell)
