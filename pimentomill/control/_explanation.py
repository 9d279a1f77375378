"""Prediction of what the leader does with a job, from the store's records alone.

It runs the leader's own order and planner on the replayed state. Runs on workers are
not in the store, so tasks of jobs that are recorded as running are placed first.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..catalog import Catalog
from ..dispatch import Plan, Planner, StepRun, Ticket, order_steps
from ..fleet import EndKind, RunEnd, Worker, WorkerInfo, WorkerReport
from ..jobs import Accepted, JobState, JobTable, StepKey, WorkerId
from ..usage import UsageLedger, decode_usage
from ..utils import ZERO, Epoch, Instant, JobId, ManualClock
from ._diagnosis import waiting_causes
from ._leader_state import LeaderState

__all__ = ["Explanation", "ReplayedCell", "explain_job"]

MAX_PASSES = 2000
"""Passes of the planner after which no start is predicted; bounds a call's time."""
MAX_USAGE_AGE_MS = 60_000
"""Age of a usage record from which past use is taken to be switched off: a leader
writes one every 15 s."""
NEVER_MS = 1 << 60
ASSUMED_TICKET = "assumed"
NO_FULL_POOLS: frozenset[str] = frozenset()
"""With the feature `admission`, which is taken to be off, full pools count."""


class ReplayedCell(NamedTuple):
    """State of the cell as read from the store.

    Parameters
    ----------
    table : JobTable
        All jobs.
    catalog : Catalog
        Settings of the operators.
    workers : list of WorkerInfo
        Registered workers.
    usage_record : bytes
        Record of past use, empty if there is none.
    wall_ms : int
        Time of the read in milliseconds since 1970.
    evacuated : frozenset of str
        Evacuated data centres.
    """

    table: JobTable
    catalog: Catalog
    workers: list[WorkerInfo]
    usage_record: bytes
    wall_ms: int
    evacuated: frozenset[str] = frozenset()


class StepExplanation(msgspec.Struct):
    """What the first pass of the planner does with one ready step.

    Parameters
    ----------
    step : int
        Index of the step in its job.
    is_beyond_share : bool
        Whether the job lies beyond its team's share.
    place, waiting_steps : int
        Place among the waiting steps of its pool, from 1, and their number.
    place_without_past_use : int
        The same if past use did not count.
    workers : dict of int to str
        Worker of each task that would start now.
    waits_for : dict
        If tasks remain waiting: number of workers by cause, and `limit`.
    """

    step: int
    is_beyond_share: bool
    place: int
    waiting_steps: int
    place_without_past_use: int
    workers: dict[int, str]
    waits_for: dict[str, int | str]


class Explanation(msgspec.Struct):
    """Prediction for one job.

    Parameters
    ----------
    job, queue, team : str
        Job, its queue and its team.
    state : str
        Recorded state, `not submitted` for a job from a file.
    has_ended : bool
        Whether the job is final, so that nothing is predicted.
    starts_now : bool
        Whether a task would start in the next pass.
    steps : list of StepExplanation
        Steps that are ready now.
    start_in_ms, end_in_ms : int or None
        Predicted milliseconds until the first start and the end by declared durations,
        None if there is no prediction.
    past_use_factor : float or None
        Factor on the team's weight, None if past use does not count.
    usage_age_ms : int or None
        Age of the usage record in milliseconds.
    assumptions : list of str
        What is not in the store, and what was assumed for it.
    """

    job: str
    queue: str
    team: str
    state: str
    has_ended: bool = False
    starts_now: bool = False
    steps: list[StepExplanation] = []
    start_in_ms: int | None = None
    end_in_ms: int | None = None
    past_use_factor: float | None = None
    usage_age_ms: int | None = None
    assumptions: list[str] = []


def explain_job(cell: ReplayedCell, job: JobId, state: str) -> Explanation:
    """Predict what the leader does with a job.

    Nothing is sent or stored.

    Parameters
    ----------
    cell : ReplayedCell
        State of the cell, which contains the job.
    job : JobId
        Job.
    state : str
        State to show.
    """
    accepted: Accepted = cell.table.find(job).accepted_
    found = Explanation(job, accepted.queue.name, accepted.team, state)
    entry = cell.table.find(job)
    if entry.state.is_final:
        found.has_ended = True
        return found
    simulation = _Simulation(cell, found)
    simulation.place_running_jobs()
    simulation.run(job)
    return found


class _Simulation:
    """The leader's planning passes, with runs that take their declared durations."""

    def __init__(self, cell: ReplayedCell, found: Explanation) -> None:
        self.cell = cell
        self.found = found
        self.clock = ManualClock(cell.wall_ms)
        self.state = LeaderState(
            Epoch(1), self.clock, cell.table.find, usage=self._restore_usage()
        )
        self.state.set_catalog(cell.catalog)
        self.state.set_evacuated(cell.evacuated)
        for info in cell.workers:
            self.state.sync_worker(info).is_reachable = True
        capacity = sum((info.capacity for info in cell.workers), ZERO)
        self.state.usage.set_capacity(capacity, self.clock.now())
        entries = list(cell.table.iter_accepted())
        # The records are all that is known, so shares are judged by them here.
        self.state.shares.by_records = True
        self.state.replay_shares(entries)
        for entry in entries:
            self.state.sync_job(entry.accepted_.job, entry, inherited=True)
        self.state.inheritance.end_survey([])
        self._open_due_occurrences()
        self.planner = Planner(self.state.quotas)
        self.ends: list[tuple[int, int, Worker, RunEnd]] = []
        self._sequence = itertools.count()
        self._end_numbers: Counter[WorkerId] = Counter()
        self._note("a worker that is silent or has failed is taken to be usable")
        self._note("the features of the scheduling settings are off, except past use")

    def _note(self, text: str) -> None:
        if text not in self.found.assumptions:
            self.found.assumptions = [*self.found.assumptions, text]

    def _restore_usage(self) -> UsageLedger:
        if not self.cell.usage_record:
            return UsageLedger()
        record = decode_usage(self.cell.usage_record)
        self.found.usage_age_ms = self.cell.wall_ms - record.at_ms
        if self.found.usage_age_ms > MAX_USAGE_AGE_MS:
            self._note("past use does not count, as its record is old")
            return UsageLedger()
        ledger = UsageLedger(record.half_life_s)
        ledger.restore(self.cell.usage_record, self.clock.now())
        return ledger

    # Passes

    def place_running_jobs(self) -> None:
        """Place the tasks of jobs that are recorded as running."""
        steps = [
            step
            for step in self.state.ready_steps()
            if step.job.state is JobState.RUNNING
        ]
        if steps:
            self._note(
                f"runs on workers are unknown: all unfinished tasks of {len(steps)} "
                f"ready steps of running jobs are placed first and begin now"
            )
            self._plan(order_steps(steps, self.clock.now()))

    def run(self, job: JobId) -> None:
        """Explain the first pass and predict the start and the end of a job."""
        began_ms = self.clock.now()
        self._explain_first_pass(job)
        for _ in range(MAX_PASSES):
            run = self.state.jobs.get(job)
            if self.found.start_in_ms is None and _has_started(run):
                self.found.start_in_ms = self.clock.now() - began_ms
            if run is None or run.state.is_final:
                self.found.end_in_ms = self.clock.now() - began_ms
                return
            if not self._advance():
                return
            self._plan(self._order())
        self._note(f"the prediction stops after {MAX_PASSES} passes")

    def _explain_first_pass(self, job: JobId) -> None:
        now = self.clock.now()
        ordered = self._order()
        ready = list(self.state.ready_steps())
        without = order_steps(ready, now)
        targets = {
            step.key: set(step.waiting)
            for step in ordered
            if step.job.accepted.job == job
        }
        teams = {step.job.accepted.team for step in ready}
        if self.state.usage.is_enabled and targets:
            factors = self.state.usage.factors(teams, now)
            self.found.past_use_factor = factors[self.found.team]
        places = {key: (_place(ordered, key), _place(without, key)) for key in targets}
        plan = self._plan(ordered)
        self.found.steps = [
            self._explain_step(key, places[key], plan) for key in targets
        ]
        self.found.starts_now = any(step.workers for step in self.found.steps)

    def _explain_step(
        self,
        key: StepKey,
        places: tuple[tuple[int, int], tuple[int, int]],
        plan: Plan,
    ) -> StepExplanation:
        (place, count), (place_without, _) = places
        is_beyond_share = self.state.jobs[key.job].over_share
        placed = {
            placement.index: placement.worker.info.worker
            for placement in plan.placements
            if placement.step.key == key
        }
        step = self.state.open_steps.get(key)
        causes = {}
        if step is not None and step.waiting:
            causes = self._causes(step, plan)
        return StepExplanation(
            key.step, is_beyond_share, place, count, place_without, placed, causes
        )

    def _causes(self, step: StepRun, plan: Plan) -> dict[str, int | str]:
        """Return why tasks of a step wait, by number of workers."""
        rest, causes = [], Counter()
        for worker in self.state.workers.values():
            if worker.info.service != step.job.queue.service:
                continue
            if not step.matches_label(worker.info):
                causes[f"lacks the label {step.spec.required_label}"] += 1
            elif not step.spec.reserved.fits_in(worker.info.capacity):
                causes["too small"] += 1
            else:
                rest.append(worker)
        now = self.clock.now()
        diagnosed = waiting_causes(step, rest, self.state.quotas, plan, now)
        limit = {name: value for name, value in diagnosed.items() if name == "limit"}
        for cause, count in diagnosed.items():
            if cause not in limit:
                causes["full" if cause.startswith("full") else cause] += count
        return {**limit, **causes}

    def _order(self) -> list[StepRun]:
        self.state.shares.refresh(NO_FULL_POOLS)
        ready = list(self.state.ready_steps())
        teams = {step.job.accepted.team for step in ready}
        now = self.clock.now()
        return order_steps(ready, now, self.state.usage.past_use(teams, now))

    def _plan(self, steps: list[StepRun]) -> Plan:
        """Run one pass of the planner and start what it places."""
        self._assume_tickets(steps)
        now = self.clock.now()
        plan = self.planner.plan(now, steps, self.state.workers.values())
        runs: dict[StepKey, int] = {}
        for placement in plan.placements:
            step, index, worker = placement.step, placement.index, placement.worker
            run = runs.get(step.key) if step.spec.gang else None
            if run is None:
                run = runs[step.key] = step.allocate_run(index)
            attempt = self.state.begin_attempt(step, index, worker, run)
            ends_ms = now + step.spec.estimate_ms
            if not step.spec.long_running:
                end = RunEnd(0, attempt.task, run, EndKind.DONE, "")
                heapq.heappush(self.ends, (ends_ms, next(self._sequence), worker, end))
        return plan

    def _assume_tickets(self, steps: Iterable[StepRun]) -> None:
        for step in steps:
            if step.job.queue.placement_policy is None:
                continue
            self._note("the placement policy is not queried: it is taken to allow all")
            names = set(self.state.workers)
            step.queried |= names
            step.allowed |= names
            for name in names - step.tickets.keys():
                step.tickets[name] = Ticket(ASSUMED_TICKET, Instant(NEVER_MS))

    def _advance(self) -> bool:
        """Advance to the next end and apply all ends of that time."""
        if not self.ends:
            return False
        now = self.clock.now()
        self.clock.advance(max(0, self.ends[0][0] - now))
        while self.ends and self.ends[0][0] <= self.clock.now():
            _, _, worker, end = heapq.heappop(self.ends)
            self._end_numbers[worker.info.worker] += 1
            numbered = end._replace(number=self._end_numbers[worker.info.worker])
            report = WorkerReport(0, 0, [], [numbered], False)
            self.state.apply_report(worker, report, self.clock.now())
        self.state.pop_changes()
        self._open_due_occurrences()
        return True

    def _open_due_occurrences(self) -> None:
        now = self.clock.now()
        while self.state.open_due_occurrences() == now:
            pass


def _has_started(job) -> bool:
    if job is None:
        return True
    if job.has_done_occurrences:
        return True
    return any(step.active or step.done for step in job.steps.values())


def _place(steps: list[StepRun], key: StepKey) -> tuple[int, int]:
    """Return the place of a step among those of its pool, and their number."""
    pool = next(s.job.queue.service for s in steps if s.key == key)
    keys = [s.key for s in steps if s.job.queue.service == pool]
    return keys.index(key) + 1, len(keys)
