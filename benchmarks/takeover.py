"""Placement time that a group loses at each kind of failure, in simulated time."""

from collections.abc import Callable

from benchmarks.measure import percentile, report
from pimentomill.settings import LeaseSettings
from proofs.faults import FaultPlan
from proofs.world import World, WorldShape

__all__ = ["run"]

SEEDS = range(1, 8)
SHAPE = WorldShape(entries=4, groups=4, workers_per_group=1, leases=LeaseSettings())
NO_MESSAGE_FAULTS = FaultPlan(0, 0, 0, 0, 0, 0)
WARM_UP_MS = 30_000
WATCH_MS = 100_000
FREEZE_MS = 30_000
OUTAGE_MS = 60_000
CRASH_INSIDE_MS = 20_000
GROUP = "g1"


def is_served(world: World) -> bool:
    """Return whether an entry may place work for the group now."""
    for entry in world.entries_.values():
        holder = entry.core.holders_.get(GROUP)
        acts = holder is not None and holder.is_acting
        if acts and not entry.is_frozen and entry.core.guard_.is_valid():
            return True
    return False


def holder_of(world: World):
    """Return the entry that holds the group."""
    return next(e for e in world.entries_.values() if GROUP in e.core.holders_)


def lost_seconds(seed: int, fault: Callable[[World], None]) -> float:
    """Return the seconds without placement after a fault."""
    world = World(seed, SHAPE, NO_MESSAGE_FAULTS)
    world.run_until(WARM_UP_MS, lambda: None)
    lost = 0
    seen_at = world.clock_.now()

    def watch() -> None:
        nonlocal lost, seen_at
        now = world.clock_.now()
        if not is_served(world):
            lost += now - seen_at
        seen_at = now

    fault(world)
    world.run_until(WARM_UP_MS + WATCH_MS, watch)
    return lost / 1_000


def crash(world: World) -> None:
    """Kill the holder."""
    world.kill_entry(holder_of(world).name)


def stop(world: World) -> None:
    """Stop the holder gracefully."""
    holder_of(world).core.begin_stop()


def freeze(world: World) -> None:
    """Pause the holder for 30 s."""
    entry = holder_of(world)
    entry.freeze()
    world.schedule(FREEZE_MS, entry.resume)


def cut(world: World) -> None:
    """Cut the holder off the log for 60 s."""
    name = holder_of(world).name
    world.faults_.disconnected_entries.add(name)
    world.schedule(OUTAGE_MS, lambda: world.faults_.disconnected_entries.discard(name))


def outage(world: World) -> None:
    """Take the log away for 60 s."""
    world.faults_.is_log_down = True

    def end() -> None:
        world.faults_.is_log_down = False

    world.schedule(OUTAGE_MS, end)


def outage_with_crash(world: World) -> None:
    """Take the log away for 60 s, and kill the holder meanwhile."""
    name = holder_of(world).name
    outage(world)
    world.schedule(CRASH_INSIDE_MS, lambda: world.kill_entry(name))


FAULTS = {
    "crash": crash,
    "graceful stop": stop,
    "freeze of 30 s": freeze,
    "holder cut from the log for 60 s": cut,
    "log outage of 60 s": outage,
    "log outage of 60 s with a crash": outage_with_crash,
}


def run() -> None:
    """Run all measures of this module."""
    for name, fault in FAULTS.items():
        spans = [lost_seconds(seed, fault) for seed in SEEDS]
        report(f"placement lost, {name}, p50", percentile(spans, 0.5), "s a group")
        report(f"placement lost, {name}, max", max(spans), "s a group")
