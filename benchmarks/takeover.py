"""Simulated time without placement in a group, by kind of failure."""

from collections.abc import Callable

from benchmarks.measure import percentile, report
from pimentomill.settings import LeaseSettings
from proofs.faults import FaultPlan
from proofs.world import World, WorldShape

__all__ = ["run"]

SEEDS = range(1, 8)
WORLD_SHAPE = WorldShape(
    entries=4, groups=4, workers_per_group=1, leases=LeaseSettings()
)
NO_MESSAGE_FAULTS = FaultPlan(0, 0, 0, 0, 0, 0)
WARM_UP_MS = 30_000
OBSERVATION_MS = 100_000
FREEZE_MS = 30_000
OUTAGE_MS = 60_000
CRASH_DELAY_MS = 20_000
GROUP = "g1"


def is_served(world: World) -> bool:
    """Return whether an entry may place tasks of the group now."""
    for entry in world.entries_.values():
        holder = entry.core.holders_.get(GROUP)
        is_acting = holder is not None and holder.is_acting
        if is_acting and not entry.is_frozen and entry.core.guard_.is_valid():
            return True
    return False


def find_holder(world: World):
    """Return the entry that holds the group."""
    return next(e for e in world.entries_.values() if GROUP in e.core.holders_)


def measure_lost_s(seed: int, fault: Callable[[World], None]) -> float:
    """Return the seconds without placement after a fault."""
    world = World(seed, WORLD_SHAPE, NO_MESSAGE_FAULTS)
    world.run_until(WARM_UP_MS, lambda: None)
    lost_ms = 0
    checked_at = world.clock_.now()

    def add_lost_time() -> None:
        nonlocal lost_ms, checked_at
        now = world.clock_.now()
        if not is_served(world):
            lost_ms += now - checked_at
        checked_at = now

    fault(world)
    world.run_until(WARM_UP_MS + OBSERVATION_MS, add_lost_time)
    return lost_ms / 1_000


def crash(world: World) -> None:
    """Kill the holder."""
    world.kill_entry(find_holder(world).name)


def stop(world: World) -> None:
    """Stop the holder gracefully."""
    find_holder(world).core.begin_stop()


def freeze(world: World) -> None:
    """Freeze the holder for 30 s."""
    entry = find_holder(world)
    entry.freeze()
    world.schedule(FREEZE_MS, entry.resume)


def disconnect(world: World) -> None:
    """Disconnect the holder from the log for 60 s."""
    name = find_holder(world).name
    world.faults_.disconnected_entries.add(name)
    world.schedule(OUTAGE_MS, lambda: world.faults_.disconnected_entries.discard(name))


def start_outage(world: World) -> None:
    """Make the log unavailable for 60 s."""
    world.faults_.is_log_down = True

    def end() -> None:
        world.faults_.is_log_down = False

    world.schedule(OUTAGE_MS, end)


def start_outage_with_crash(world: World) -> None:
    """Make the log unavailable for 60 s, and kill the holder meanwhile."""
    name = find_holder(world).name
    start_outage(world)
    world.schedule(CRASH_DELAY_MS, lambda: world.kill_entry(name))


FAULTS = {
    "crash": crash,
    "graceful stop": stop,
    "freeze of 30 s": freeze,
    "holder cut from the log for 60 s": disconnect,
    "log outage of 60 s": start_outage,
    "log outage of 60 s with a crash": start_outage_with_crash,
}


def run() -> None:
    """Run the benchmarks of this module."""
    for name, fault in FAULTS.items():
        lost_s = [measure_lost_s(seed, fault) for seed in SEEDS]
        report(f"placement lost, {name}, p50", percentile(lost_s, 0.5), "s a group")
        report(f"placement lost, {name}, max", max(lost_s), "s a group")
