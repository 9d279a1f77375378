"""The leader of the cell: takes over, plans, orders, records."""

import asyncio
import time
from collections.abc import Callable

import msgspec

from ..catalog import Catalog
from ..dispatch import Plan, Planner, StepRun, choose_victims, order_steps
from ..exceptions import FencedError
from ..fleet import Worker, WorkerInfo, WorkerPort, lease_expiry_bound
from ..jobs import JobTable, KeyedRecord, WorkerId
from ..replica import AppendedHook, Follower, FollowerTiming, LeaderRecord, RecordStore
from ..telemetry import PartLog
from ..utils import Clock, Instant, JobId, wait_set
from ._advice import AdviceDesk, Question
from ._book import CellBook
from ._diagnosis import NOT_ALLOWED, queue_loads, why_waiting
from ._drive import Drive
from ._expiry import expired_keys
from ._holds import Holds
from ._orders import Orders
from ._pacing import Pacing
from ._scribe import Scribe
from ._settings import ControlSettings

__all__ = ["FLEET_KEY", "WORKERS_STREAM", "Leader", "WorkerCodec"]

WORKERS_STREAM = "workers"
FLEET_KEY = "fleet"
SURVEY_MS = 900
"""Milliseconds in which workers should answer a new leader's first hold."""
SHUT_OUT_MS = 50
"""Milliseconds from a claim until the worker that answers last has seen its token."""
MAX_PLAN_GAP_MS = 100
"""Longest pause between two passes of the planner in milliseconds."""
PLAN_GAP_MS = 4
"""Milliseconds between two passes of the planner, so that events gather."""
IDLE_PLAN_MS = 200
"""Longest time between two passes: leases, pauses and tickets end without an event."""
WORKER_PAUSE_MS = 250
"""Milliseconds between two reads of the workers' own records."""
EXPIRY_INTERVAL_MS = 5000
"""Milliseconds between two searches for jobs that need not be kept."""
RENEW_STEPS = 2
"""Waiting steps whose tickets are renewed ahead of their turn."""
RENEW_IDLE = 4
"""Idle entries from which on tickets are renewed ahead: first questions go first."""
RENEW_AHEAD_MS = 80
"""Milliseconds of validity beyond the time of a question that are wanted."""

DIAGNOSIS_INTERVAL_MS = 2000
"""Milliseconds between two reports on waiting steps."""
DIAGNOSED_STEPS = 6
"""Steps in one report, so that the log stays small when the cell is full."""
DIAGNOSED_QUEUES = 8
"""Queues in one report, for the same reason."""

WorkerCodec = Callable[[str, bytes], WorkerInfo | None]

_log = PartLog("control")


class Leader:
    """Drives the cell for as long as it holds the highest fencing token.

    Parameters
    ----------
    record : LeaderRecord
        Sign of this leader.
    sequence : int
        Number of its first append.
    store : RecordStore
        Store.
    table : JobTable
        All jobs, as of the claim or later.
    port : WorkerPort
        Calls to workers.
    desk : AdviceDesk
        Questions to queues' policies.
    read_worker : callable
        Decodes what a worker registers.
    clock : Clock
        Source of time.
    cfg : ControlSettings
        Settings.
    fleet : list of WorkerInfo
        Workers that the leader before had in use.
    appended : callable, default=None
        Called with the offset of the first record and the records of each append
        that the store has acknowledged.
    """

    def __init__(
        self,
        record: LeaderRecord,
        sequence: int,
        store: RecordStore,
        table: JobTable,
        port: WorkerPort,
        desk: AdviceDesk,
        read_worker: WorkerCodec,
        clock: Clock,
        cfg: ControlSettings,
        fleet: list[WorkerInfo],
        appended: AppendedHook | None = None,
    ) -> None:
        self.record = record
        self.store = store
        self.table = table
        self.desk = desk
        self.read_worker = read_worker
        self.clock = clock
        self.cfg = cfg
        self.fleet = fleet
        self.book = CellBook(record.epoch, clock, table.find, desk.metrics)
        self.planner = Planner(self.book.quotas)
        self.scribe = Scribe(store, self.book, record, sequence, clock, cfg, appended)
        drive = Drive(self.book, port, clock, cfg, self.request_plan, self.step_down)
        self.orders = Orders(drive)
        self.holds = Holds(drive, self.scribe.durable, self._record_fleet)
        self.pacing = Pacing(drive)
        self.workers_follower = Follower(
            store,
            WORKERS_STREAM,
            self._apply_worker,
            self._unlist_all,
            clock,
            FollowerTiming(wait_ms=1000, pause_ms=WORKER_PAUSE_MS),
            self.request_plan,
        )
        self._plan_wanted = asyncio.Event()
        self._fence_reason: asyncio.Future = asyncio.get_running_loop().create_future()
        self._questions: set[asyncio.Task] = set()
        self._fleet_written: frozenset[WorkerId] = frozenset()
        self._surveyed = False
        self._survey_until = clock.now()
        self._last_plan = Plan()

    # Events from outside

    def set_catalog(self, catalog: Catalog) -> None:
        """Take in what operators have set."""
        self.book.set_catalog(catalog)
        self.request_plan()

    def note_job(self, job: JobId) -> None:
        """Take in a change of a job in the store."""
        self.book.sync_job(job, self.table.find(job), inherited=False)
        self.request_plan()

    def request_plan(self) -> None:
        """Plan soon, and write down what has changed."""
        self._plan_wanted.set()
        self.scribe.wake()

    def step_down(self, why: str) -> None:
        """Give no more orders."""
        if not self._fence_reason.done():
            self._fence_reason.set_result(why)

    # Life

    async def run(self) -> str:
        """Lead until another leader takes over.

        Returns
        -------
        str
            Why the leadership ended.
        """
        self._inherit()
        tasks = [
            asyncio.ensure_future(coro)
            for coro in (
                self.scribe.run(),
                self.workers_follower.run(),
                self._plan_loop(),
                self._due_loop(),
                self._expire_loop(),
                self._diagnose_loop(),
                self._watch_authority(),
                self.pacing.run(),
            )
        ]
        try:
            done, _ = await asyncio.wait(
                [*tasks, self._fence_reason], return_when=asyncio.FIRST_COMPLETED
            )
            return self._reason(done)
        finally:
            await self._close(tasks)

    @staticmethod
    def _reason(done: set[asyncio.Future]) -> str:
        for item in done:
            try:
                return str(item.result())
            except FencedError as exc:
                return str(exc)
        return "cancelled"

    async def _close(self, tasks: list[asyncio.Task]) -> None:
        self.orders.close()
        self.holds.close()
        for task in [*tasks, *self._questions]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def resign(self) -> None:
        """Write down everything and let a successor take over at once."""
        try:
            await self.scribe.flush(resign=True)
        except FencedError as exc:
            _log.info("Resignation needless", why=str(exc))
        self.step_down("planned stop")

    def _inherit(self) -> None:
        """Take over all unfinished jobs and all workers that are known."""
        for entry in list(self.table.iter_accepted()):
            self.book.sync_job(entry.accepted_.job, entry, inherited=True)
        for info in self.fleet:
            worker = self.book.sync_worker(info)
            worker.is_listed = False
            worker.lease_until = self._longest_lease()
            self.holds.watch(worker)
        self._survey_until = Instant(self.clock.now() + SURVEY_MS)
        self._withhold_all(self._survey_until)
        _log.info(
            "Leads",
            epoch=self.record.epoch,
            jobs=len(self.book.jobs),
            workers=len(self.fleet),
        )

    def _longest_lease(self) -> Instant:
        # The leader before may have renewed a lease just before it was shut out.
        bound = lease_expiry_bound(self.clock.now(), self.cfg.lease_ms)
        return Instant(bound + SHUT_OUT_MS)

    # Workers

    def _apply_worker(self, record: KeyedRecord) -> None:
        info = self.read_worker(record.key, record.value) if record.value else None
        worker = self.book.workers.get(WorkerId(record.key))
        if info is None:
            if worker is not None:
                worker.is_listed = False
            return
        if worker is None:
            worker = self.book.sync_worker(info)
            if not info.is_draining:
                # A draining worker that is not on record as used runs nothing.
                worker.lease_until = self._longest_lease()
            _log.info(
                "Worker listed",
                worker=info.worker,
                service=info.service,
                rack=info.rack,
            )
        else:
            if info.is_draining and not worker.info.is_draining:
                _log.info("Worker drains", worker=info.worker)
            self.book.sync_worker(info)
        self.holds.watch(worker)
        self._record_fleet()

    def _unlist_all(self) -> None:
        for worker in self.book.workers.values():
            worker.is_listed = False

    def _record_fleet(self) -> None:
        """Let a successor know the workers, also those no longer listed."""
        infos = [
            worker.info
            for worker in self.book.workers.values()
            if worker.attempts or not worker.info.is_draining
        ]
        names = frozenset(info.worker for info in infos)
        if names == self._fleet_written:
            return
        self._fleet_written = names
        value = msgspec.msgpack.encode(infos)
        self.scribe.extra = [
            record for record in self.scribe.extra if record.key != FLEET_KEY
        ]
        self.scribe.extra.append(KeyedRecord(FLEET_KEY, value))

    def _check_survey(self) -> None:
        """End the wait for workers of a pool once all of them have answered."""
        if self._surveyed:
            return
        now = self.clock.now()
        unknown = [w for w in self.book.workers.values() if not w.has_answered]
        is_listed = self.workers_follower.offset_ is not None
        if not is_listed or (unknown and now < self._survey_until):
            self._withhold_all(Instant(now + SURVEY_MS))
            return
        self._surveyed = True
        self._withhold_all(now)
        for worker in unknown:
            service = worker.info.service
            until = self.book.withheld_until.get(service, now)
            self.book.withheld_until[service] = max(until, worker.lease_until)
        _log.info(
            "Workers surveyed",
            unknown=[worker.info.worker for worker in unknown],
            withheld_ms={
                service: until - now
                for service, until in self.book.withheld_until.items()
                if until > now
            },
        )

    def _withhold_all(self, until: Instant) -> None:
        for job in self.book.jobs.values():
            self.book.withheld_until[job.queue.service] = until

    # Planning

    async def _plan_loop(self) -> None:
        while True:
            await wait_set(self._plan_wanted, IDLE_PLAN_MS)
            self._plan_wanted.clear()
            began = time.perf_counter()
            self._plan()
            # A long pass leaves as much time to calls and answers as it took.
            gap_s = max(PLAN_GAP_MS / 1000, time.perf_counter() - began)
            await asyncio.sleep(min(gap_s, MAX_PLAN_GAP_MS / 1000))

    def _plan(self) -> None:
        self._check_survey()
        self.book.evacuate()
        self.orders.stop_all(self.book.take_stops())
        now = self.clock.now()
        steps = order_steps(self.book.ready_steps(), now)
        plan = self.planner.plan(now, steps, self.book.workers.values())
        self._last_plan = plan
        self.orders.start_all(plan.placements)
        self._preempt([step for step in steps if step.waiting], now)
        self._ask_in_order(steps, plan)
        if self.desk.idle_count() >= RENEW_IDLE:
            self._renew(steps, now)
            self._ask_ahead()
        self.scribe.wake()

    def _preempt(self, steps: list[StepRun], now: Instant) -> None:
        """Stop runs that lose nothing in favour of more urgent work."""
        workers = self.book.workers.values()
        victims = choose_victims(
            steps, workers, self.book.step_of, self.book.quotas, now
        )
        for attempt in victims:
            self.book.order_stop(attempt, "room for more urgent work")
        self.orders.stop_all(self.book.take_stops())

    def _ask_in_order(self, steps: list[StepRun], plan: Plan) -> None:
        """Ask what the most urgent steps need to know, while entries are idle."""
        wanted = {step.key: names for step, names in plan.missing_tickets}
        for step in steps:
            if step.job.queue.advice is None or step.query_open:
                continue
            if not self.desk.idle_count():
                return
            workers = self._not_asked(step)
            if not workers:
                names = wanted.get(step.key, ())
                workers = [self.book.workers[name] for name in names]
            self._ask(step, workers)

    def _ask_ahead(self) -> None:
        """Ask about steps whose predecessors have all been started.

        The allowed workers do not change, so only a ticket may be missing later.
        """
        for step in self.book.next_steps():
            if step.job.queue.advice is not None and not step.query_open:
                self._ask(step, self._not_asked(step))

    def _not_asked(self, step: StepRun) -> list[Worker]:
        """Return workers that could run a step and were not asked about."""
        service = step.job.queue.service
        return [
            worker
            for worker in self.book.workers.values()
            if worker.info.service == service
            and worker.is_listed
            and worker.info.worker not in step.queried
            and not worker.info.is_draining
            and step.spec.reserved.fits_in(worker.info.capacity)
        ]

    def _renew(self, steps: list[StepRun], now: Instant) -> None:
        """Renew tickets of the next steps, so that room is not left waiting."""
        renewed = 0
        for step in steps:
            policy = step.job.queue.advice
            if policy is None or not step.waiting or step.query_open:
                continue
            if renewed >= RENEW_STEPS:
                return
            renewed += 1
            ahead = now + policy.duration_ms(len(step.allowed)) + RENEW_AHEAD_MS
            stale = [
                self.book.workers[name]
                for name in step.allowed
                if name in self.book.workers
                and self.book.workers[name].can_start(now)
                and (name not in step.tickets or step.tickets[name].valid_until < ahead)
            ]
            if stale:
                self._ask(step, stale)

    def _ask(self, step: StepRun, workers: list[Worker]) -> None:
        if step.query_open or not workers:
            return
        question = self.desk.reserve(step, workers)
        if question is None:
            return
        task = asyncio.get_running_loop().create_task(self._ask_desk(question))
        self._questions.add(task)
        task.add_done_callback(self._questions.discard)

    async def _ask_desk(self, question: Question) -> None:
        await self.desk.ask(question)
        self.request_plan()

    async def _diagnose_loop(self) -> None:
        """Tell in the log why the longest waiting steps wait."""
        while True:
            await asyncio.sleep(DIAGNOSIS_INTERVAL_MS / 1000)
            self._record_fleet()
            now = self.clock.now()
            self._tell_loads(now)
            workers = list(self.book.workers.values())
            oldest = now - DIAGNOSIS_INTERVAL_MS
            steps = [step for step in self.book.ready_steps() if step.ready_at < oldest]
            steps.sort(key=lambda step: step.ready_at)
            told = 0
            for step in steps:
                causes = why_waiting(
                    step, workers, self.book.quotas, self._last_plan, now
                )
                if told >= DIAGNOSED_STEPS:
                    break
                if set(causes) == {NOT_ALLOWED}:
                    continue
                told += 1
                _log.info(
                    "Step waits",
                    step=step.key,
                    tasks=len(step.waiting),
                    waited_ms=now - step.ready_at,
                    need=step.spec.need.describe(),
                    asking=step.query_open,
                    workers=causes,
                )

    def _tell_loads(self, now: Instant) -> None:
        """Tell in the log what runs and waits in the queues with waiting tasks."""
        due = [
            step for step in self.book.open_steps.values() if step.ready_at is not None
        ]
        for load in queue_loads(due, now)[:DIAGNOSED_QUEUES]:
            if load.waiting:
                _log.info("Queue waits", **load._asdict())

    # Time

    async def _due_loop(self) -> None:
        while True:
            before = len(self.book.open_steps)
            next_at = self.book.open_due()
            if len(self.book.open_steps) != before:
                self.request_plan()
            wait = 100 if next_at is None else max(5, next_at - self.clock.now())
            await asyncio.sleep(min(wait, 100) / 1000)

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_MS / 1000)
            oldest = self.clock.wall_ms() - self.cfg.keep_finished_ms
            for key in expired_keys(self.table, oldest):
                self.scribe.extra.append(KeyedRecord(key, b""))
            self.scribe.wake()

    async def _watch_authority(self) -> str:
        """Give up once the store has not been reached for too long."""
        while True:
            await asyncio.sleep(self.cfg.beat_ms / 1000)
            silent = self.clock.now() - self.scribe.written_at_
            if silent > self.cfg.authority_ms:
                return f"no append for {silent} ms"
