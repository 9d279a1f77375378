"""Which waiting task starts on which worker."""

import heapq
import math
from collections.abc import Iterable
from typing import NamedTuple

from ..fleet import Worker
from ..jobs import StepKey, WorkerId
from ..utils import ZERO, Instant, Resources, dominant_fraction
from ._order import Prospect, prospect
from ._quota import QuotaBook
from ._state import StepRun

__all__ = ["Placement", "Plan", "Planner"]

WIDE_SHARE = 0.5
"""A task that takes more of a worker is hard to place once the worker is shared."""
MAX_SUSPICION = 3
"""Failures in a row beyond which one more changes nothing."""
SLOW = 1.15
"""Slowness from which a worker comes second for urgent tasks: kinds differ by 1.3."""
FULLER_WEIGHT = 0.3
"""Weight of the free room against the angle: large tasks need whole workers."""
MAX_RESERVED = 2
"""Workers kept free for one step; more would idle more room than the step needs."""


class Placement(NamedTuple):
    """A task of a step is to start on a worker.

    The ticket is empty if the queue has no policy of its own.
    """

    step: StepRun
    index: int
    worker: Worker
    ticket: str


class Plan:
    """Result of one pass.

    Attributes
    ----------
    placements : list of Placement
        What to start; members of a gang follow one another.
    want_tickets : list of tuple of StepRun and list of WorkerId
        Steps that would have room on workers for which a ticket is missing.
    kept_for : dict of WorkerId to StepKey
        Workers that are kept free, and for which step.
    """

    def __init__(self) -> None:
        self.placements: list[Placement] = []
        self.want_tickets: list[tuple[StepRun, list[WorkerId]]] = []
        self.kept_for: dict[WorkerId, StepKey] = {}


class _Room:
    """Capacity of a worker that the pass has not given away."""

    __slots__ = (
        "acc",
        "cpu",
        "id",
        "is_slow",
        "is_suspect",
        "is_trusted",
        "kept_for",
        "mem",
        "others",
        "per_step",
        "suspicion",
        "taken",
        "worker",
    )

    def __init__(self, worker: Worker, is_trusted: bool) -> None:
        free = worker.free
        self.worker = worker
        self.is_trusted = is_trusted
        self.is_suspect = worker.is_suspect
        self.is_slow = worker.slowness > SLOW
        self.suspicion = min(worker.failures_in_row, MAX_SUSPICION)
        self.id = worker.info.worker
        self.cpu = free.cpu_milli
        self.mem = free.memory_mb
        self.acc = free.accelerators
        self.per_step: dict = {}
        self.kept_for: StepKey | None = None
        self.others = ZERO
        self.taken = 0

    def fits(self, step: StepRun) -> bool:
        need = step.spec.reserved
        if (
            need.cpu_milli > self.cpu
            or need.memory_mb > self.mem
            or need.accelerators > self.acc
        ):
            return False
        if self.is_suspect and self.taken and self.is_trusted:
            return False
        return self.kept_for in (None, step.key) or need.fits_in(self.others)

    def keep(self, step: StepRun) -> None:
        """Let other steps use only what the step leaves of the empty worker."""
        own = sum(task.step_key == step.key for task in self.worker.attempts)
        others = self.worker.used - step.spec.reserved * own
        capacity = self.worker.info.capacity
        self.others = capacity - step.spec.reserved - others
        self.kept_for = step.key

    def take(self, step: StepRun) -> None:
        need = step.spec.reserved
        self.taken += 1
        if self.kept_for not in (None, step.key):
            self.others = self.others - need
        self.cpu -= need.cpu_milli
        self.mem -= need.memory_mb
        self.acc -= need.accelerators

    def give(self, step: StepRun) -> None:
        need = step.spec.reserved
        self.taken -= 1
        if self.kept_for not in (None, step.key):
            self.others = self.others + need
        self.cpu += need.cpu_milli
        self.mem += need.memory_mb
        self.acc += need.accelerators


class Planner:
    """Places waiting tasks where capacity exists.

    Parameters
    ----------
    quotas : QuotaBook
        Limits of teams.
    """

    def __init__(self, quotas: QuotaBook) -> None:
        self.quotas = quotas

    def plan(
        self, now: Instant, steps: Iterable[StepRun], workers: Iterable[Worker]
    ) -> Plan:
        """Return what to start now.

        Parameters
        ----------
        now : Instant
            Time.
        steps : iterable of StepRun
            Steps with waiting tasks, the most urgent first.
        workers : iterable of Worker
            All workers.

        Returns
        -------
        Plan
            Placements that together respect capacity and limits.
        """
        return _Pass(self.quotas, now, workers).run(steps)


class _Pass:
    def __init__(self, quotas: QuotaBook, now: Instant, workers) -> None:
        self.quotas = quotas
        self.now = now
        self.rooms: dict[str, list[_Room]] = {}
        for worker in workers:
            if worker.is_open():
                room = _Room(worker, worker.can_start(now))
                self.rooms.setdefault(worker.info.service, []).append(room)
        self.planned: dict[str, Resources] = {}
        self.out = Plan()

    def run(self, steps: Iterable[StepRun]) -> Plan:
        for step in steps:
            rooms = self.rooms.get(step.job.queue.service)
            if rooms:
                self._place_step(step, rooms)
        return self.out

    def _place_step(self, step: StepRun, rooms: list[_Room]) -> None:
        suited = _suited(step, rooms)
        rooms = [room for room in suited if room.is_trusted]
        if not rooms and step.is_impatient(self.now):
            rooms = suited
        if step.spec.gang:
            blocked = self._place_gang(step, rooms)
        else:
            blocked = self._place_tasks(step, rooms)
        if blocked:
            self._reserve(step, rooms, blocked)

    def _place_tasks(self, step: StepRun, rooms: list[_Room]) -> int:
        """Place what fits and return how many tasks are left for want of room."""
        left = 0
        lacking: set[WorkerId] = set()
        ranking = _Ranking(self, step, rooms)
        for index in sorted(step.waiting):
            if not self._within_limit(step):
                break
            if index in step.failed_runs:
                room = self._best(step, self._sound(step, index, rooms), index)
            else:
                room = ranking.best()
            if room is None:
                left += 1
                break
            ticket = self._ticket(step, room.id)
            self._occupy(step, room)
            ranking.offer(room)
            if ticket is None:
                lacking.add(room.id)
                continue
            self.out.placements.append(Placement(step, index, room.worker, ticket))
        if lacking:
            self.out.want_tickets.append((step, sorted(lacking)))
        return left

    def _sound(self, step: StepRun, index: int, rooms: list[_Room]) -> list[_Room]:
        """Leave out workers that failed last if the task can't afford a failure."""
        failed = len(step.failed_runs.get(index, ()))
        if not failed or failed + 1 < step.job.queue.max_attempts:
            return rooms
        sound = [room for room in rooms if not room.worker.failed_lately(self.now)]
        if not sound and step.is_impatient(self.now):
            return rooms
        return sound

    def _place_gang(self, step: StepRun, rooms: list[_Room]) -> int:
        """Place all tasks or none and return how many lack room."""
        if not step.waiting or step.active:
            return 0
        groups = [rooms]
        if step.spec.rack_sensitive:
            racks: dict[str, list[_Room]] = {}
            for room in rooms:
                racks.setdefault(room.worker.info.rack, []).append(room)
            groups = [*racks.values(), rooms]
        for group in groups:
            chosen = self._fit_gang(step, group)
            if chosen is not None:
                self._start_gang(step, chosen)
                return 0
        return step.spec.count

    def _fit_gang(self, step: StepRun, rooms: list[_Room]) -> list[_Room] | None:
        chosen: list[_Room] = []
        before = self.planned.get(step.job.accepted.team, ZERO)
        for _ in range(step.spec.count):
            room = self._best(step, rooms, 0) if self._within_limit(step) else None
            if room is None:
                for taken in chosen:
                    taken.give(step)
                    taken.per_step[step.key] -= 1
                self.planned[step.job.accepted.team] = before
                return None
            self._occupy(step, room)
            chosen.append(room)
        return chosen

    def _start_gang(self, step: StepRun, chosen: list[_Room]) -> None:
        tickets = [self._ticket(step, room.id) for room in chosen]
        if None in tickets:
            wanted = sorted({room.id for room in chosen})
            self.out.want_tickets.append((step, wanted))
            return
        for index, (room, ticket) in enumerate(zip(chosen, tickets, strict=True)):
            placement = Placement(step, index, room.worker, ticket)
            self.out.placements.append(placement)

    def _best(self, step: StepRun, rooms: list[_Room], index: int):
        """Return the room that the task fits into most tightly."""
        last = step.last_workers.get(index) if step.failed_runs else None
        best = None
        best_score = None
        for room in rooms:
            if not self.admits(step, room):
                continue
            score = self.score(step, room, last)
            if best_score is None or score < best_score:
                best, best_score = room, score
        return best

    def admits(self, step: StepRun, room: _Room) -> bool:
        """Return whether one more task of a step may go into a room."""
        if not room.fits(step):
            return False
        most = step.spec.max_per_worker
        return not most or self._count(step, room) < most

    def score(self, step: StepRun, room: _Room, last: WorkerId | None) -> tuple:
        spec = step.spec
        info = room.worker.info
        far = bool(spec.data_rack) and info.rack != spec.data_rack
        # A task that failed on a worker is better tried on another one.
        again = room.id == last
        suspect = room.suspicion
        if spec.fills:
            return (suspect, again, far, self._tail_tasks(room), -room.cpu)
        misfit = _misfit(spec.need, room)
        urgent = step.job.queue.priority == 0
        ticketless = (
            step.job.queue.advice is not None and self._ticket(step, room.id) is None
        )
        # Kinds of workers differ in speed; only urgent work is that sensitive.
        slow = urgent and room.is_slow
        return (suspect, again, far, slow, ticketless, misfit)

    @staticmethod
    def _tail_tasks(room: _Room) -> int:
        return sum(attempt.load > 0 for attempt in room.worker.attempts.values())

    def _count(self, step: StepRun, room: _Room) -> int:
        count = room.per_step.get(step.key)
        if count is None:
            count = sum(task.step_key == step.key for task in room.worker.attempts)
            room.per_step[step.key] = count
        return count

    def _occupy(self, step: StepRun, room: _Room) -> None:
        room.take(step)
        room.per_step[step.key] = self._count(step, room) + 1
        team = step.job.accepted.team
        self.planned[team] = self.planned.get(team, ZERO) + step.spec.need

    def _within_limit(self, step: StepRun) -> bool:
        team = step.job.accepted.team
        planned = self.planned.get(team, ZERO)
        return self.quotas.allows(team, step.spec.need, planned)

    def _ticket(self, step: StepRun, worker: WorkerId) -> str | None:
        if step.job.queue.advice is None:
            return ""
        ticket = step.tickets.get(worker)
        if ticket is None or ticket.valid_until <= self.now:
            return None
        return ticket.text

    def _reserve(self, step: StepRun, rooms: list[_Room], blocked: int) -> None:
        """Keep workers free of later steps for tasks that take most of one."""
        if step.job.over_share or not _could_fit(step, rooms):
            return
        if prospect(step, self.now) is Prospect.TOO_LATE:
            return
        need = step.spec.reserved
        wide = []
        for room in rooms:
            capacity = room.worker.info.capacity
            if room.kept_for is not None:
                continue
            if (
                need.fits_in(capacity)
                and dominant_fraction(need, capacity) > WIDE_SHARE
            ):
                wide.append(room)
        wide.sort(key=lambda room: (-room.acc, -room.cpu))
        for room in wide[: min(blocked, MAX_RESERVED)]:
            room.keep(step)
            self.out.kept_for[room.id] = step.key


class _Ranking:
    """The rooms for the tasks of a step that never failed, the best first.

    Such tasks are alike, and a task placed changes one room only: so all rooms are
    scored once a step, and the one that was taken again.
    """

    def __init__(self, plan: _Pass, step: StepRun, rooms: list[_Room]) -> None:
        self.plan = plan
        self.step = step
        self._order = {room.id: number for number, room in enumerate(rooms)}
        self._heap: list[tuple] = []
        self._rooms = rooms

    def best(self) -> _Room | None:
        """Return the best room, None if no task fits any more."""
        if self._rooms:
            self._heap = [entry for room in self._rooms if (entry := self._enter(room))]
            heapq.heapify(self._heap)
            self._rooms = []
        while self._heap:
            score, _, room = self._heap[0]
            entry = self._enter(room)
            if entry is not None and entry[0] == score:
                return room
            if entry is None:
                heapq.heappop(self._heap)
            else:
                heapq.heapreplace(self._heap, entry)
        return None

    def offer(self, room: _Room) -> None:
        """Score a room again whose free capacity has changed."""
        entry = None if self._rooms else self._enter(room)
        if entry is not None:
            heapq.heappush(self._heap, entry)

    def _enter(self, room: _Room) -> tuple | None:
        if not self.plan.admits(self.step, room):
            return None
        score = self.plan.score(self.step, room, None)
        return score, self._order.get(room.id, len(self._order)), room


def _suited(step: StepRun, rooms: list[_Room]) -> list[_Room]:
    """Return the rooms that a step's labels and policy admit."""
    if step.spec.required_label or step.job.queue.advice is None:
        return [room for room in rooms if step.may_use(room.worker.info)]
    return [room for room in rooms if room.id in step.allowed]


def _misfit(need: Resources, room: _Room) -> float:
    """Return how badly a task matches what is free on a worker.

    The angle between need and free room decides, so that no resource is used up
    while others lie idle; of two workers that match, the fuller one is taken.
    """
    capacity = room.worker.info.capacity
    pairs = (
        (need.cpu_milli, room.cpu, capacity.cpu_milli),
        (need.memory_mb, room.mem, capacity.memory_mb),
        (need.accelerators, room.acc, capacity.accelerators),
    )
    dot = wanted = free = total = 0.0
    for want, have, whole in pairs:
        if whole:
            a, b = want / whole, have / whole
            dot += a * b
            wanted += a * a
            free += b * b
            total += b
    if not wanted or not free:
        return FULLER_WEIGHT * total
    return FULLER_WEIGHT * total - dot / math.sqrt(wanted * free)


def _could_fit(step: StepRun, rooms: list[_Room]) -> bool:
    """Return whether the step could be placed if the workers were empty.

    A step that fits nowhere would keep its workers idle for good.
    """
    wanted = step.spec.count if step.spec.gang else 1
    for room in rooms:
        wanted -= _copies(step, room.worker.info.capacity)
        if wanted <= 0:
            return True
    return False


def _copies(step: StepRun, capacity: Resources) -> int:
    need = step.spec.reserved
    pairs = (
        (need.cpu_milli, capacity.cpu_milli),
        (need.memory_mb, capacity.memory_mb),
        (need.accelerators, capacity.accelerators),
    )
    copies = min((have // want for want, have in pairs if want), default=1)
    limit = step.spec.max_per_worker
    return min(copies, limit) if limit else copies
