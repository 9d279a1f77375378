"""Time from a published change to its being in force at all entries."""

import threading
import time

from benchmarks.measure import percentile, report
from scripts.cell import CellShape, SmallCell

__all__ = ["run"]

SHAPE = CellShape(entries=8, workers=2, backends=0, groups=2)
CHANGES = 40
KEYS = 10
BOUND_S = 4.0
GIVE_UP_S = 10.0
UNAUTHORIZED = 401


def wait_at_all(cell: SmallCell, is_in_force) -> list[float]:
    """Return the seconds until a condition holds, for each entry."""
    started = time.monotonic()
    spans = [GIVE_UP_S] * len(cell.entries)

    def watch(entry: int) -> None:
        while time.monotonic() < started + GIVE_UP_S:
            if is_in_force(entry):
                spans[entry] = time.monotonic() - started
                return

    threads = [
        threading.Thread(target=watch, args=(i,)) for i in range(len(cell.entries))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return spans


def measure_changes(cell: SmallCell) -> None:
    """Change a team's share and print when all entries have it."""
    version = cell.operate("create team kiln share 1 limit cpu 1 memory 1")["data"]
    spans = []
    for number in range(CHANGES):
        statement = f"set team kiln share {number + 2} expecting {version['version']}"
        version = cell.operate(statement, number % len(cell.entries))["data"]

        def is_in_force(entry: int, share: int = number + 2) -> bool:
            teams = cell.operate("show teams", entry)["data"]
            return bool(teams) and teams[0]["share"] == share

        spans.append(max(wait_at_all(cell, is_in_force)))
    for name, fraction in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
        value = percentile(spans, fraction)
        report(f"change in force at 8 entries, {name}", value, "s", BOUND_S)


def measure_withdrawals(cell: SmallCell) -> None:
    """Withdraw keys and print how long any entry still took them."""
    spans = []
    for number in range(KEYS):
        data = cell.operate("give key to kiln")["data"]
        key = data["key"]
        wait_at_all(cell, lambda entry, key=key: not is_refused(cell, key, entry))
        cell.operate(f"withdraw key {data['key_id']}", number % len(cell.entries))
        refused = wait_at_all(cell, lambda e, key=key: is_refused(cell, key, e))
        spans.append(max(refused))
    report("withdrawn key refused at 8 entries, max", max(spans), "s", BOUND_S)


def is_refused(cell: SmallCell, key: str, entry: int) -> bool:
    """Return whether an entry refuses a key."""
    path = "/v1/requests/none@g1"
    return cell.call("GET", path, key, entry=entry).status == UNAUTHORIZED


def run() -> None:
    """Run all measures of this module."""
    with SmallCell(SHAPE) as cell:
        measure_changes(cell)
        measure_withdrawals(cell)
