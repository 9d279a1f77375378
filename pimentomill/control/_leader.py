"""Leader of the cell: takeover, planning, orders to workers, records."""

import asyncio
import time
from collections.abc import Callable, Iterator

import msgspec

from ..catalog import Catalog
from ..dispatch import (
    Plan,
    Planner,
    PreemptionCost,
    StepRun,
    choose_victims,
    is_urgent,
)
from ..exceptions import FencedError, LogUnavailableError, RecordsForgottenError
from ..fleet import (
    Registration,
    Worker,
    WorkerInfo,
    WorkerPort,
    lease_expiry_bound,
)
from ..jobs import JobTable, KeyedRecord, StepKey, WorkerId
from ..overload import Headroom, LoadReport, UrgentDemand
from ..replica import (
    AppendedHook,
    Authority,
    Follower,
    FollowerTiming,
    LeaderRecord,
    RecordStore,
    authority_end_bound,
)
from ..telemetry import ComponentLogger
from ..usage import UsageLedger
from ..utils import Clock, Instant, JobId, Resources, supervise, wait_for_event
from ._authority_keeper import AuthorityKeeper, GrantRound
from ._context import ControlContext
from ._diagnosis import (
    NOT_ALLOWED,
    ReservationTracker,
    queue_loads,
    waiting_causes,
)
from ._expiry import expired_keys
from ._leader_state import LeaderState
from ._lease_keeper import LeaseKeeper
from ._load import LoadMeter
from ._orders import OrderSender
from ._pacing import Pacing
from ._past_use import UsageTracker
from ._policy_queries import PolicyQueryDispatcher
from ._pool_load import measure_load, pools_without_room
from ._progress_writer import ProgressWriter
from ._query_scheduler import QueryScheduler
from ._selective_queries import SelectiveQueryScheduler
from ._settings import ControlSettings
from ._speeds_record import SpeedsRecorder
from ._start_gate import RulesCopy, StartGate
from ._stragglers import StragglerPolicy

__all__ = ["FLEET_KEY", "WORKERS_STREAM", "Leader", "WorkerDecoder"]

WORKERS_STREAM = "workers"
FLEET_KEY = "fleet"
SURVEY_MS = 900
"""Time in which workers should answer the first hold of a new leader."""
MAX_PLAN_GAP_MS = 100
"""Upper bound of the pause between two passes of the planner."""
PLAN_GAP_MS = 4
"""Minimum pause between two passes of the planner, which batches events."""
IDLE_PLAN_INTERVAL_MS = 200
"""Longest wait for an event before a pass of the planner: leases, backoffs and tickets
expire without one."""
WORKERS_POLL_MS = 250
"""Pause between two reads of the stream of worker records."""
EXPIRY_INTERVAL_MS = 5000
"""Interval between two searches for expired jobs."""
PREEMPTION_INTERVAL_MS = 50
"""Pause between two searches for runs to preempt, short against the time of a stop."""
SHARE_CHECK_INTERVAL_MS = 200
"""Pause between two checks which pools are full and which jobs their team's share
covers: both look at all waiting work, and a share refills in about a second."""
CLAIM_MARGIN_MS = 500
"""Time beyond that of a stop for which freed capacity is kept for a gang: the ends have
to be read, and a worker that is slow to stop must not idle the others for long."""
RULES_READ_INTERVAL_MS = 100
"""Pause between two checks whether the operators' settings have to be read."""
DIAGNOSIS_INTERVAL_MS = 2000
"""Interval between two log reports on waiting steps."""
DIAGNOSED_STEPS = 6
"""Steps in one report; bounds the log when the cell is full."""
DIAGNOSED_QUEUES = 8
"""Queues in one report; bounds the log when the cell is full."""
DIAGNOSED_RESERVATIONS = 6
"""Reservations in one report; bounds the log when the cell is full."""

NOT_PROVEN = "another entry may lead"
"""Reason for which a leader without a recent proof of its authority starts nothing."""
QUERIED_WORKERS = 30
"""Workers in the policy query that the objective of a job allows for."""

WorkerDecoder = Callable[[str, bytes], Registration | None]

_log = ComponentLogger("control")


class Leader:
    """Schedules the cell for as long as it holds the highest fencing token.

    Parameters
    ----------
    record : LeaderRecord
        Heartbeat record of this leader.
    sequence : int
        Sequence number of its first append.
    store : RecordStore
        Store of records.
    table : JobTable
        All jobs, read at the time of the claim or later.
    port : WorkerPort
        Calls to workers.
    policy_queries : PolicyQueryDispatcher
        Queries to the placement policies of queues.
    decode_worker : callable
        Decodes a worker record; returns None if it is unusable.
    clock : Clock
        Source of time.
    cfg : ControlSettings
        Settings of the leader.
    fleet : list of WorkerInfo
        Workers that the previous leader used.
    on_appended : callable, default=None
        Called with the offset of the first record and the records of each append
        that the store has acknowledged.
    rules : RulesCopy, default=None
        Copy of the operators' settings; its age limits starts. With None, starts are
        not limited.
    authority : Authority, default=None
        Proofs that this leader has not been replaced; None if it has just been proven
        and only appends prove it.
    grant_round : callable, default=None
        Asks the other entries for leases and returns whether each that may claim has
        granted one. With None, the leader does not act for long without the store.
    """

    def __init__(
        self,
        record: LeaderRecord,
        sequence: int,
        store: RecordStore,
        table: JobTable,
        port: WorkerPort,
        policy_queries: PolicyQueryDispatcher,
        decode_worker: WorkerDecoder,
        clock: Clock,
        cfg: ControlSettings,
        fleet: list[WorkerInfo],
        on_appended: AppendedHook | None = None,
        rules: RulesCopy | None = None,
        authority: Authority | None = None,
        grant_round: GrantRound | None = None,
    ) -> None:
        self.record = record
        self.store = store
        self.table = table
        self.policy_queries = policy_queries
        self.decode_worker = decode_worker
        self.clock = clock
        self.cfg = cfg
        self.fleet = fleet
        self.rules = rules
        self.authority = authority or Authority(clock.now(), clock.now())
        self.start_gate = StartGate(cfg.evacuation_ms, clock.now())
        self._start_refusal: str | None = None
        self.state = LeaderState(
            record.epoch,
            clock,
            table.find,
            policy_queries.metrics,
            cfg.features,
            UsageLedger(cfg.features.past_use_half_life_s),
            self.authority.covers,
        )
        if cfg.features.worker_speeds:
            self.state.stragglers = StragglerPolicy(cfg, policy_queries.metrics)
        self._speeds_recorder = self._make_speeds_recorder()
        scheduler_type = (
            SelectiveQueryScheduler if cfg.features.policy_reuse else QueryScheduler
        )
        self.query_scheduler = scheduler_type(
            self.state, policy_queries, self.request_plan
        )
        self.planner = Planner(self.state.quotas, self.state.stragglers)
        features = cfg.features
        self.headroom = Headroom(cfg.stop_ms) if features.headroom else None
        self._preemption_cost = PreemptionCost(
            cfg.restore_ms, cfg.stop_ms, awaits_ends=features.headroom
        )
        self.progress_writer = ProgressWriter(
            store,
            self.state,
            record,
            sequence,
            clock,
            cfg,
            self.authority,
            on_appended,
        )
        self.authority_keeper = AuthorityKeeper(
            self.authority, grant_round, clock, self.request_plan
        )
        self.usage = UsageTracker(self.state, self.progress_writer, clock)
        context = ControlContext(
            self.state,
            port,
            clock,
            cfg,
            self.authority,
            self.request_plan,
            self.step_down,
            self._refuse_start,
        )
        self.orders = OrderSender(context)
        self.lease_keeper = LeaseKeeper(
            context, self.progress_writer.ends_durable, self._record_fleet
        )
        self.pacing = Pacing(context)
        self.workers_follower = Follower(
            store,
            WORKERS_STREAM,
            self._apply_worker,
            self._unlist_all,
            clock,
            FollowerTiming(wait_ms=1000, pause_ms=WORKERS_POLL_MS),
            self.request_plan,
        )
        self._plan_wanted = asyncio.Event()
        self._end_reason: asyncio.Future = asyncio.get_running_loop().create_future()
        self._recorded_fleet: frozenset[tuple] = frozenset()
        self._surveyed = False
        self._survey_until = clock.now()
        self._predecessors_until = clock.now()
        self._last_plan = Plan()
        self._reservations = ReservationTracker()
        self._load = LoadMeter()
        self._next_preemption_at = clock.now()
        self._next_share_check_at = clock.now()
        self._full_pools: frozenset[str] = frozenset()
        self._load_report: LoadReport | None = None
        self._load_measured_at = clock.now()
        self._is_resigning = False
        self._claims: dict[StepKey, tuple[Instant, dict[WorkerId, Resources]]] = {}

    def _make_speeds_recorder(self) -> SpeedsRecorder | None:
        stragglers = self.state.stragglers
        if stragglers is None:
            return None
        return SpeedsRecorder(stragglers.model, self.clock.now())

    # External events

    def restore_speeds(self, value: bytes) -> None:
        """Restore the speeds that a predecessor has learned, before `run`."""
        if self._speeds_recorder is not None:
            self._speeds_recorder.restore(value)

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply the catalog that operators have configured."""
        self.state.set_catalog(catalog)
        self.request_plan()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Apply the data centres that operators have evacuated.

        A claim that includes a worker there ends as a whole, since its gang needs all
        of it; the next pass searches for other capacity. Reservations end with the next
        pass, which considers no worker there.
        """
        self.state.set_evacuated(data_centres)
        for key, (_, capacity) in list(self._claims.items()):
            if any(self._is_evacuated(name) for name in capacity):
                del self._claims[key]
                _log.info("Claim ended: data centre evacuated", step=key)
        self.request_plan()

    def _is_evacuated(self, name: WorkerId) -> bool:
        worker = self.state.workers.get(name)
        return worker is not None and worker.is_evacuated

    def on_job_change(self, job: JobId) -> None:
        """Apply a change of a stored job."""
        self.state.sync_job(job, self.table.find(job), inherited=False)
        self.request_plan()

    def request_plan(self) -> None:
        """Request a pass of the planner and store what has changed."""
        self._plan_wanted.set()
        self.progress_writer.wake()

    def step_down(self, reason: str) -> None:
        """End the leadership; only the first reason is kept."""
        self.authority.end()
        if not self._end_reason.done():
            self._end_reason.set_result(reason)

    # Lifecycle

    async def run(self) -> str:
        """Lead until another leader takes over.

        Returns
        -------
        str
            Reason for the end of the leadership.
        """
        self._inherit()
        loops = {
            "progress": self.progress_writer.run,
            "workers": self.workers_follower.run,
            "rules": self._read_rules_loop,
            "plan": self._plan_loop,
            "due": self._due_loop,
            "expiry": self._expire_loop,
            "diagnosis": self._diagnose_loop,
            "authority": self.authority_keeper.run,
            "pacing": self.pacing.run,
        }
        tasks = [
            asyncio.ensure_future(supervise(name, run, _log, (FencedError,)))
            for name, run in loops.items()
        ]
        try:
            done, _ = await asyncio.wait(
                [*tasks, self._end_reason], return_when=asyncio.FIRST_COMPLETED
            )
            reason = self._reason_of(done)
            self._log_end(reason)
            return reason
        finally:
            await self._close(tasks)

    @staticmethod
    def _reason_of(done: set[asyncio.Future]) -> str:
        for item in done:
            try:
                return str(item.result())
            except FencedError as exc:
                return str(exc)
        return "cancelled"

    def _log_end(self, reason: str) -> None:
        """Log what a successor can't know: the leases that may still be in force."""
        now = self.clock.now()
        _log.info(
            "Leadership ended",
            epoch=self.record.epoch,
            why=reason,
            last_append_ms=now - self.progress_writer.written_at_,
            lease_left_ms={
                name: worker.lease_until - now
                for name, worker in self.state.workers.items()
                if worker.lease_until > now
            },
        )

    async def _close(self, tasks: list[asyncio.Task]) -> None:
        self.orders.close()
        self.lease_keeper.close()
        self.query_scheduler.close()
        self.usage.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def resign(self) -> None:
        """Store all changes and let a successor take over at once.

        Start orders in flight are completed and no others are given: a gang of which
        only some members were started would wait for the others in vain.
        """
        self._is_resigning = True
        self.authority_keeper.stop_rounds()
        await self.orders.wait_started(self.cfg.start_timeout_ms)
        self.usage.add_record()
        try:
            await self.progress_writer.flush(resign=True)
        except FencedError as exc:
            _log.info("Resignation not written: already fenced", why=str(exc))
        self.step_down("planned stop")

    def _inherit(self) -> None:
        """Adopt all unfinished jobs and all known workers."""
        self._predecessors_until = authority_end_bound(self.clock.now())
        entries = list(self.table.iter_accepted())
        self.state.replay_shares(entries)
        for entry in entries:
            self.state.sync_job(entry.accepted_.job, entry, inherited=True)
        for info in self.fleet:
            worker = self.state.sync_worker(info)
            worker.is_listed = False
            worker.lease_until = self._max_lease_end()
            self.lease_keeper.watch(worker)
        self._survey_until = Instant(self.clock.now() + SURVEY_MS)
        _log.info(
            "Leadership started",
            epoch=self.record.epoch,
            jobs=len(self.state.jobs),
            workers=len(self.fleet),
        )

    def _max_lease_end(self) -> Instant:
        # A previous leader renews leases for as long as it may act.
        renewed_until = max(self.clock.now(), self._predecessors_until)
        return lease_expiry_bound(renewed_until, self.cfg.lease_ms)

    # Workers

    def _apply_worker(self, record: KeyedRecord) -> None:
        registration = (
            self.decode_worker(record.key, record.value) if record.value else None
        )
        worker = self.state.workers.get(WorkerId(record.key))
        if registration is None:
            if worker is not None:
                worker.is_listed = False
            return
        info, cold_left_ms = registration
        if worker is None:
            worker = self.state.sync_worker(info, cold_left_ms)
            if not info.is_draining:
                # A draining worker that the previous leader did not use runs nothing.
                worker.lease_until = self._max_lease_end()
            _log.info(
                "Worker listed",
                worker=info.worker,
                service=info.service,
                rack=info.rack,
                capacity=info.capacity.describe(),
            )
            self._record_fleet()
        else:
            has_changed = info.is_draining != worker.info.is_draining
            if info.is_draining and has_changed:
                _log.info("Worker is draining", worker=info.worker)
            has_grown = not info.capacity.fits_in(worker.largest_capacity)
            has_other_labels = _pool_and_labels(info) != _pool_and_labels(worker.info)
            self.state.sync_worker(info, cold_left_ms)
            # Workers renew their records each second or two without a change.
            if has_changed or has_grown or has_other_labels:
                self._record_fleet()
        self.lease_keeper.watch(worker)

    def _unlist_all(self) -> None:
        for worker in self.state.workers.values():
            worker.is_listed = False

    def _record_fleet(self) -> None:
        """Store the workers in use for a successor, also those no longer listed.

        Each is stored with its largest capacity, by which runs may have been started.
        """
        infos = [
            worker.info._replace(capacity=worker.largest_capacity)
            for worker in self.state.workers.values()
            if worker.attempts or not worker.info.is_draining
        ]
        fleet = frozenset(
            (info.worker, info.capacity, *_pool_and_labels(info)) for info in infos
        )
        if fleet == self._recorded_fleet:
            return
        self._recorded_fleet = fleet
        value = msgspec.msgpack.encode(infos)
        self.progress_writer.replace_extra_record(KeyedRecord(FLEET_KEY, value))

    def _record_speeds(self, now: Instant) -> None:
        """Store the learned speeds for a successor if that is due."""
        if self._speeds_recorder is None or not self._surveyed:
            return
        record = self._speeds_recorder.due_record(now)
        if record is not None:
            self.progress_writer.replace_extra_record(record)

    def _check_survey(self) -> None:
        """End the survey of workers once all have answered or its time is up.

        It lasts at least until the list of workers has been read. Inherited tasks that
        may run on a worker that did not answer wait until it does, or until its lease
        has expired.
        """
        if self._surveyed:
            return
        now = self.clock.now()
        unknown = [w for w in self.state.workers.values() if not w.has_answered]
        is_list_read = self.workers_follower.offset_ is not None
        if not is_list_read or (unknown and now < self._survey_until):
            return
        self._surveyed = True
        inheritance = self.state.inheritance
        inheritance.end_survey(unknown)
        _log.info(
            "Worker survey finished",
            unknown=[worker.info.worker for worker in unknown],
            lease_left_ms={w.info.worker: w.lease_until - now for w in unknown},
            withheld_ms=inheritance.waits_ms(),
        )

    # Planning

    async def _plan_loop(self) -> None:
        while True:
            await wait_for_event(self._plan_wanted, IDLE_PLAN_INTERVAL_MS)
            self._plan_wanted.clear()
            started_s = time.perf_counter()
            self._plan()
            took_s = time.perf_counter() - started_s
            self._load.record_pass(took_s)
            # After a long pass, calls and answers get as much time as it took.
            gap_s = max(PLAN_GAP_MS / 1000, took_s)
            await asyncio.sleep(min(gap_s, MAX_PLAN_GAP_MS / 1000))

    def _plan(self) -> None:
        if not self.state.confirm_workers():
            self.progress_writer.request_proof()
        self._check_survey()
        self.state.evacuate()
        ready = list(self.state.ready_steps())
        self.state.stop_partial_gangs(ready)
        self.orders.stop_all(self.state.pop_stop_orders())
        now = self.clock.now()
        self._record_speeds(now)
        if self._is_resigning or not self._may_start(now):
            self.progress_writer.wake()
            return
        self._refresh_shares(ready, now)
        steps = self.usage.order(ready, now)
        claims = self._current_claims(now)
        headroom = {}
        if self.headroom is not None and self._surveyed:
            # Inherited work shows up by the end of the survey and did not just arrive.
            self.headroom.observe(_urgent_demands(steps, now), now)
            headroom = self.headroom.targets()
        workers = self.state.workers.values()
        plan = self.planner.plan(now, steps, workers, claims, headroom)
        self._last_plan = plan
        self._reservations.update(plan.reserved_for, now)
        self.orders.start_all(plan.placements)
        self._preempt([step for step in steps if step.waiting], now)
        self.query_scheduler.send(steps, plan, now)
        self.progress_writer.wake()

    def _refresh_shares(self, ready: list[StepRun], now: Instant) -> None:
        """Find the full pools, and judge the jobs beyond a share anew."""
        if now < self._next_share_check_at:
            return
        self._next_share_check_at = Instant(now + SHARE_CHECK_INTERVAL_MS)
        workers = self.state.workers.values()
        is_known = self.cfg.features.admission and self._surveyed
        if is_known:
            self._full_pools = pools_without_room(ready, workers)
        self.state.shares.refresh(self._full_pools)
        if is_known:
            self._load_report = measure_load(
                self.record.epoch, self._full_pools, ready, workers, now
            )
            self._load_measured_at = now

    def load_report(self) -> LoadReport | None:
        """Return the newest load report, None if nothing is reported."""
        report = self._load_report
        if report is None:
            return None
        age_ms = self.clock.now() - self._load_measured_at
        return msgspec.structs.replace(report, age_ms=age_ms)

    def _may_start(self, now: Instant) -> bool:
        """Return whether runs may be started at all; log when this changes."""
        refusal = self._gate_refusal(now)
        if refusal != self._start_refusal:
            self._start_refusal = refusal
            if refusal is not None:
                self.state.metrics.record_held_back(refusal)
            rules = self.rules
            _log.info(
                "Starts are held back" if refusal else "Starts are allowed",
                why=refusal,
                proof_age_ms=self.authority.age_ms(now),
                settings_age_ms=now - rules.current_as_of_ if rules else None,
                max_age_ms=self.start_gate.max_age_ms,
                is_store_reachable=rules.is_reachable_ if rules else None,
                is_append_failing=self.progress_writer.is_failing_,
            )
        return refusal is None

    def _gate_refusal(self, now: Instant) -> str | None:
        if not self.authority.is_valid(now):
            return NOT_PROVEN
        if self.rules is None:
            return None
        is_append_failing = self.progress_writer.is_failing_
        return self.start_gate.refusal(self.rules, is_append_failing, now)

    def _refuse_start(self, worker: Worker) -> str | None:
        """Return why a planned start on a worker must not be sent, None if it may."""
        if worker.is_evacuated:
            return "data centre evacuated"
        return self._gate_refusal(self.clock.now())

    async def _read_rules_loop(self) -> None:
        """Read the operators' settings whenever their copy becomes too old."""
        while True:
            if self._needs_rules_read():
                try:
                    await self.rules.read_now()
                    self.request_plan()
                except (LogUnavailableError, RecordsForgottenError) as exc:
                    _log.info("Reading the operators' settings failed", why=str(exc))
            await asyncio.sleep(RULES_READ_INTERVAL_MS / 1000)

    def _needs_rules_read(self) -> bool:
        now = self.clock.now()
        return self.rules is not None and self.start_gate.needs_read(self.rules, now)

    def _preempt(self, steps: list[StepRun], now: Instant) -> None:
        """Stop runs that lose nothing, in favour of more urgent work.

        Looks at every run of the pools where urgent work waits, so not in each pass.
        """
        if now < self._next_preemption_at:
            return
        self._next_preemption_at = Instant(now + PREEMPTION_INTERVAL_MS)
        workers = self.state.workers.values()
        preemption = choose_victims(
            steps,
            workers,
            self.state.step_of,
            self.state.quotas,
            self._preemption_cost,
            now,
            self._claims,
        )
        until = Instant(now + self.cfg.stop_ms + CLAIM_MARGIN_MS)
        for claim in preemption.claims:
            self._claims[claim.step] = (until, claim.capacity)
            _log.info(
                "Capacity claimed for a gang",
                step=claim.step,
                workers=len(claim.capacity),
                victims=len(preemption.victims),
                for_ms=until - now,
            )
        for attempt in preemption.victims:
            self.state.order_stop(attempt, "preempted by more urgent work")
        self.orders.stop_all(self.state.pop_stop_orders())

    def _current_claims(self, now: Instant) -> dict[StepKey, dict[WorkerId, Resources]]:
        """Return the claims of gangs that have not started, and drop all others."""
        for key, (until, _) in list(self._claims.items()):
            step = self.state.open_steps.get(key)
            if now >= until or step is None or step.active:
                del self._claims[key]
        return {key: capacity for key, (_, capacity) in self._claims.items()}

    async def _diagnose_loop(self) -> None:
        """Log periodically why the longest waiting steps wait."""
        while True:
            await asyncio.sleep(DIAGNOSIS_INTERVAL_MS / 1000)
            self._record_fleet()
            now = self.clock.now()
            self._log_queue_loads(now)
            self._log_reservations(now)
            self._log_headroom()
            _log.info("Load of the leader", **self._load.report())
            workers = list(self.state.workers.values())
            oldest = now - DIAGNOSIS_INTERVAL_MS
            steps = [
                step for step in self.state.ready_steps() if step.ready_at < oldest
            ]
            steps.sort(key=lambda step: step.ready_at)
            logged = 0
            for step in steps:
                causes = waiting_causes(
                    step, workers, self.state.quotas, self._last_plan, now
                )
                if logged >= DIAGNOSED_STEPS:
                    break
                if set(causes) == {NOT_ALLOWED}:
                    continue
                logged += 1
                _log.info(
                    "Step is waiting",
                    step=step.key,
                    tasks=len(step.waiting),
                    waited_ms=now - step.ready_at,
                    need=step.spec.need.describe(),
                    asking=step.query_open,
                    workers=causes,
                )

    def _log_queue_loads(self, now: Instant) -> None:
        """Log running and waiting tasks of the queues that have waiting ones."""
        ready = [
            step for step in self.state.open_steps.values() if step.ready_at is not None
        ]
        for load in queue_loads(ready, now)[:DIAGNOSED_QUEUES]:
            if load.waiting:
                _log.info("Queue has waiting tasks", **load._asdict())

    def _log_reservations(self, now: Instant) -> None:
        """Log the workers that have been reserved for some time."""
        reservations = self._reservations.report(self.state.workers, now)
        for reservation in reservations[:DIAGNOSED_RESERVATIONS]:
            if reservation.reserved_ms >= DIAGNOSIS_INTERVAL_MS:
                _log.info("Worker is reserved", **reservation._asdict())

    def _log_headroom(self) -> None:
        """Log the capacity that crowded pools keep for urgent work."""
        if self.headroom is None:
            return
        targets = self.headroom.targets()
        for pool, budget in self._last_plan.budgets.items():
            if pool in targets:
                _log.info(
                    "Capacity is kept for urgent work",
                    pool=pool,
                    arrivals_per_s=round(targets[pool].rate, 1),
                    task=budget.need.describe(),
                    kept_tasks=budget.kept,
                    free_tasks=budget.free_tasks,
                    held_back_steps=self._last_plan.held_back.get(pool, 0),
                )

    # Timers

    async def _due_loop(self) -> None:
        while True:
            open_count = len(self.state.open_steps)
            next_at = self.state.open_due_occurrences()
            if len(self.state.open_steps) != open_count:
                self.request_plan()
            wait_ms = 100 if next_at is None else max(5, next_at - self.clock.now())
            await asyncio.sleep(min(wait_ms, 100) / 1000)

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_MS / 1000)
            oldest = self.clock.wall_ms() - self.cfg.keep_finished_ms
            for key in expired_keys(self.table, oldest):
                self.progress_writer.extra_records.append(KeyedRecord(key, b""))
            self.progress_writer.wake()


def _pool_and_labels(info: WorkerInfo) -> tuple[str, frozenset[str]]:
    """Return what decides, besides capacity, which tasks a worker may run."""
    return info.service, info.labels


def _urgent_demands(steps: list[StepRun], now: Instant) -> Iterator[UrgentDemand]:
    """Yield the waiting work that capacity is kept for."""
    for step in steps:
        if is_urgent(step, now):
            policy = step.job.queue.placement_policy
            query_ms = policy.query_duration_ms(QUERIED_WORKERS) if policy else 0.0
            yield UrgentDemand(
                step.key,
                step.job.queue.service,
                step.spec.reserved,
                len(step.waiting),
                query_ms,
            )
