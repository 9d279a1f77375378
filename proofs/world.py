"""Discrete-event simulation of entry cores, the log and workers."""

import heapq
import random
from collections.abc import Callable
from itertools import count

import msgspec

from pimentomill.journal import Instance, InstanceKind, InstanceState
from pimentomill.settings import (
    AddressSettings,
    CallerSettings,
    EntrySettings,
    GroupSettings,
    LeaseSettings,
    SnapshotSettings,
)
from pimentomill.standins import LogModel, WorkerModel
from pimentomill.utils import GroupName, InstanceId, ManualClock, Resources
from proofs.clocks import SkewedClock
from proofs.faults import ActiveFaults, FaultPlan
from proofs.sim_entry import SimEntry
from proofs.sim_worker import SimWorker

__all__ = ["World", "WorldShape"]

MAX_SKEW_MS = 1_000_000
MAX_DRIFT_PPM = 2_000
FAST_DELAY_RANGE_MS = (1, 15)
SLOW_DELAY_RANGE_MS = (500, 4_000)


class WorldShape(msgspec.Struct, frozen=True):
    """Size and timing of a simulated cell."""

    entries: int = 3
    groups: int = 3
    workers_per_group: int = 2
    capacity: Resources = Resources(8_000, 16_000, 2)
    leases: LeaseSettings = LeaseSettings(
        ownership_ms=4_000,
        renew_ms=1_000,
        margin_ms=300,
        task_ms=20_000,
        command_ms=1_000,
        report_ms=1_000,
    )
    retained_records: int = 400
    snapshot_every: int = 40
    workers_check_epochs: bool = False


class World:
    """Run entries and workers against a simulated log and network.

    Parameters
    ----------
    seed : int
        Seed of the random number generator; a run is deterministic for a seed.
    shape : WorldShape
        Size and timing.
    plan : FaultPlan
        Probabilities of message and append faults.

    Attributes
    ----------
    clock_ : ManualClock
        Simulated time.
    entries_ : dict
        Running entries by name.
    workers_ : dict
        Workers by id.
    """

    def __init__(self, seed: int, shape: WorldShape, plan: FaultPlan) -> None:
        self.seed = seed
        self.shape = shape
        self.plan = plan
        self.rng = random.Random(seed)
        self.clock_ = ManualClock()
        self.log_ = LogModel(shape.retained_records)
        self.faults_ = ActiveFaults()
        self.trace_: list[str] = []
        self.steps_ = 0
        self.start_callbacks: list[Callable] = []
        self._event_queue: list = []
        self._sequence = count()
        self._incarnations = count(1)
        self.entries_: dict[str, SimEntry] = {}
        self.workers_: dict[InstanceId, SimWorker] = {}
        self._add_workers()
        for index in range(shape.entries):
            self.add_entry(f"entry-{index + 1}")

    def _add_workers(self) -> None:
        for index in range(self.shape.groups * self.shape.workers_per_group):
            id = InstanceId(f"worker-{index + 1}")
            rack = self._rack_of_group(index % self.shape.groups)
            model = WorkerModel(
                id,
                self.shape.capacity,
                self.make_skewed_clock(),
                checks_epochs=self.shape.workers_check_epochs,
                checks_capacity=False,
            )
            self.workers_[id] = SimWorker(self, model, rack)

    @staticmethod
    def _rack_of_group(group: int) -> str:
        return f"dc{group % 2 + 1}/r{group + 1}"

    @property
    def groups(self) -> list[GroupName]:
        """Names of all groups."""
        return [GroupName(f"g{i + 1}") for i in range(self.shape.groups)]

    def make_skewed_clock(self) -> SkewedClock:
        """Return a clock with a random offset and drift."""
        offset = self.rng.randrange(MAX_SKEW_MS)
        drift = self.rng.randint(-MAX_DRIFT_PPM, MAX_DRIFT_PPM)
        return SkewedClock(self.clock_, offset, drift)

    def make_settings(self, name: str) -> EntrySettings:
        """Return the settings of an entry, whose name is also its address."""
        groups = [
            GroupSettings(name=group, racks=[self._rack_of_group(i)])
            for i, group in enumerate(self.groups)
        ]
        return EntrySettings(
            name=name,
            data_centre="dc1",
            callers=CallerSettings(host=name, port=1),
            control=AddressSettings(host=name, port=2),
            peers=AddressSettings(host=name, port=3),
            platform_url="http://127.0.0.1:1",
            groups=groups,
            leases=self.shape.leases,
            snapshots=SnapshotSettings(
                every_records=self.shape.snapshot_every, every_ms=15_000
            ),
        )

    def add_entry(self, name: str) -> SimEntry:
        """Start an entry as a new incarnation."""
        entry = SimEntry(self, name, next(self._incarnations))
        self.entries_[name] = entry
        entry.start()
        return entry

    def kill_entry(self, name: str) -> None:
        """End an entry without a graceful stop."""
        self.entries_.pop(name).is_dead = True

    # Events.

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in milliseconds."""
        due = self.clock_.now() + max(delay_ms, 0)
        heapq.heappush(self._event_queue, (due, next(self._sequence), action))

    def step(self) -> None:
        """Advance to the next event and run it."""
        due, _, action = heapq.heappop(self._event_queue)
        if due > self.clock_.now():
            self.clock_.advance(due - self.clock_.now())
        self.steps_ += 1
        action()

    def run_until(self, true_ms: int, after_step: Callable[[], None]) -> None:
        """Run all events up to a simulated time."""
        while self._event_queue and self._event_queue[0][0] <= true_ms:
            self.step()
            after_step()
        if true_ms > self.clock_.now():
            self.clock_.advance(true_ms - self.clock_.now())

    # Network.

    def draw_message_delay_ms(self) -> int:
        """Draw the delivery time of a message in milliseconds."""
        return self.rng.randint(*FAST_DELAY_RANGE_MS)

    def draw_log_delay_ms(self) -> int:
        """Draw the one-way delay of a call to the log in milliseconds."""
        bounds = (
            SLOW_DELAY_RANGE_MS if self.faults_.is_log_slow else FAST_DELAY_RANGE_MS
        )
        return self.rng.randint(*bounds)

    def can_reach_log(self, entry: str) -> bool:
        """Return whether an entry can reach the log now."""
        return (
            not self.faults_.is_log_down
            and entry not in self.faults_.disconnected_entries
        )

    def draw_fault(self, probability: float, kind: str) -> bool:
        """Draw whether a fault occurs, and count it if so."""
        if self.rng.random() >= probability:
            return False
        self.faults_.counts[kind] += 1
        return True

    def deliver(self, action: Callable[[], None]) -> bool:
        """Deliver a message, subject to loss, delay and duplication.

        Returns
        -------
        bool
            False if the message is lost.
        """
        if self.draw_fault(self.plan.message_loss, "lost message"):
            return False
        delay = self.draw_message_delay_ms()
        if self.draw_fault(self.plan.message_delay, "late message"):
            delay = self.rng.randint(0, self.plan.max_delay_ms)
        self.schedule(delay, action)
        if self.draw_fault(self.plan.message_duplication, "repeated message"):
            self.schedule(self.rng.randint(0, self.plan.max_delay_ms), action)
        return True

    def list_instances(self) -> list[Instance]:
        """Return the platform's list of instances."""
        return [
            Instance(
                id=id,
                kind=InstanceKind.WORKER,
                state=InstanceState.LIVE,
                address=id,
                rack=worker.rack,
            )
            for id, worker in self.workers_.items()
        ]

    def add_trace_line(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace_.append(f"{self.clock_.now():>8} {text}")
