"""An entry of the cell: follows the store, takes part in elections and leads."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from ..catalog import (
    Catalog,
    EvacuationChange,
    EvacuationRequest,
    Evacuations,
    Team,
)
from ..control import (
    FLEET_KEY,
    SPEEDS_KEY,
    WORK_STREAM,
    ControlSettings,
    Leader,
    PolicyPort,
    PolicyQueryDispatcher,
)
from ..exceptions import (
    AppendUnknownError,
    LogUnavailableError,
    StateUnavailableError,
    TransportError,
)
from ..fleet import Registration, WorkerInfo, WorkerPort
from ..intake import Intake
from ..jobs import JobState, JobTable, KeyedRecord
from ..links import (
    CallerAnswer,
    CallerRequest,
    LinkClient,
    RemotePolicyClient,
)
from ..overload import LoadReport, ShareLedger
from ..replica import (
    GRANTORS_KEY,
    LEADER_KEY,
    Authority,
    ElectionTiming,
    Enrolments,
    Follower,
    FollowerTiming,
    Grantor,
    GrantRefusal,
    GroupAppender,
    LeaderRecord,
    LeaderWatch,
    LeaseRequest,
    RecordStore,
)
from ..telemetry import CellMetrics, ComponentLogger
from ..usage import USAGE_KEY
from ..utils import Clock, Epoch, Instant, JobId, supervise
from ._admission_gate import AdmissionGate
from ._election import MAX_SUSPICION_AGE_MS, Candidate, Claim
from ._forwarding import Forwarder
from ._grant_collector import GrantCollector
from ._grantor_lister import GrantorLister
from ._members import Members
from ._read_timing import rules_timing, work_timing
from ._records import MEMBER_PREFIX, MemberRecord, member_key

__all__ = ["CellNode", "NodeSettings"]

RULES_STREAM = "rules"
RELAYED_APPEND_TIMEOUT_MS = 1000
"""Timeout of an append for another entry, in milliseconds; that entry waits 1.2 s."""
GATHERED_APPEND_TIMEOUT_MS = 2000
"""Timeout of an append through the leader, in milliseconds. It may take two appends to
the store, of about 0.6 s each where the store is slow."""
MAX_RELAY_ATTEMPTS = 2
"""Maximum number of entries through which an append is tried."""
HEARTBEAT_INTERVAL_MS = 5000
"""Milliseconds between two heartbeats of an entry."""
PRELOAD_AFTER_KEY = "l"
"""Key that sorts before those of the leader and the members, which are preloaded:
callers are forwarded to them while the jobs are loaded. Jobs sort first, and loading
them takes seconds over a slow link."""
SPARSE_SUSPICION_AGE_MS = 140
"""Age of the stream's copy, in milliseconds, above which an entry with sparse reads
reads again while it suspects the leader. At ticks of 60 ms it then reads as often as
one without sparse reads."""
LEADER_LONG_POLL_MS = 800
"""Long-poll timeout for reads by the leader, in milliseconds."""
LEADER_PAUSE_MS = 60
"""Milliseconds between two reads by the leader, which learns of submissions through
direct notices."""
HANDOVER_CHECK_INTERVAL_MS = 2000
"""Milliseconds between two checks for an entry with more cores."""
HANDOVER_CORES_RATIO = 1.5
"""Ratio of cores from which a handover pays; it costs 0.2 s without task starts."""
MIN_LEADERSHIP_MS = 8000
"""Minimum milliseconds between becoming leader and a handover to a larger entry, so
that the leadership does not change too often."""
MAX_STREAM_AGE_MS = 1600
"""Age of a stream's copy, in milliseconds, above which callers are forwarded to other
entries. Reads confirm the operators' settings every 0.4 s, or 0.8 s with sparse reads,
or every 1 s where the store is slow for all."""
LEADER_QUERY_COOLDOWN_MS = 200
"""Milliseconds without queries to a leader after one failed. A takeover takes about as
long, and the stream is read in the meantime."""
MAX_PENDING_NOTICES = 16
"""Maximum number of concurrent notices to the leader. Beyond it, no notice is sent and
the leader reads the records from the stream."""

_log = ComponentLogger("node")


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of an entry.

    Parameters
    ----------
    node : str
        Name of the entry.
    address : str
        IP address and port for other entries.
    key_term_ms : int
        Milliseconds for which API keys are accepted after the operators' settings
        were last known to be current.
    cores : float
        CPU capacity of the instance, in cores.
    ready_age_ms : int
        Maximum age of the state, in milliseconds, at which the entry accepts new
        callers.
    silence_ms : int
        Milliseconds without a heartbeat after which the leader is replaced.
    silence_cut_off_ms : int
        The same for a leader that is silent on the direct link as well. It is longer
        than writing and reading a heartbeat of the leader take.
    silence_heard_ms : int
        The same for a leader that reports on the direct link that it is healthy. Its
        heartbeats take up to 1.7 s to be read where the store is slow.
    stagger_ms : int
        Milliseconds between the claims of two candidates.
    sparse_reads : bool, default=False
        Whether the entry reads the store about half as often while it neither leads
        nor is among the first to succeed the leader.
    """

    node: str
    address: str
    key_term_ms: int
    cores: float = 1.0
    ready_age_ms: int = 1500
    silence_ms: int = 1300
    silence_cut_off_ms: int = 700
    silence_heard_ms: int = 3000
    stagger_ms: int = 30
    sparse_reads: bool = False


class CellNode:
    """State and background tasks of an entry.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the entry.
    control : ControlSettings
        Settings of the leader.
    store : RecordStore
        Client of the platform's store.
    workers : WorkerPort
        Client for calls to workers.
    policy_client : PolicyPort
        Client for this entry's queries to the placement policies of queues.
    decode_rule, decode_worker : callable
        Decoders of the records that operators and workers write.
    links : LinkClient
        Client for calls to other entries.
    clock : Clock
        Source of time.
    metrics : CellMetrics
        Metrics of the process.

    Attributes
    ----------
    catalog_ : Catalog or None
        Settings of the operators; None until they have been read.
    leader_ : Leader or None
        The leader role; None while this entry does not lead.
    is_stopping_ : bool
        Whether `stop` has been called.
    has_resigned_ : bool
        Whether this entry has resigned since it last became the leader.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        control: ControlSettings,
        store: RecordStore,
        workers: WorkerPort,
        policy_client: PolicyPort,
        decode_rule: Callable[[str, bytes], Catalog | EvacuationRequest | None],
        decode_worker: Callable[[str, bytes], Registration | None],
        links: LinkClient,
        clock: Clock,
        metrics: CellMetrics,
    ) -> None:
        self.cfg = cfg
        self.metrics = metrics
        self.control = control
        self.store = store
        self.workers = workers
        self.policy_client = policy_client
        self.decode_rule = decode_rule
        self.decode_worker = decode_worker
        self.links = links
        self.clock = clock
        self.incarnation = secrets.token_hex(6)
        self.catalog_: Catalog | None = None
        self.evacuations = Evacuations()
        self.leader_: Leader | None = None
        self.is_stopping_ = False
        self.has_resigned_ = False
        self._leader_since = clock.now()
        self.table = JobTable()
        timing = ElectionTiming(
            cfg.silence_ms,
            cfg.silence_cut_off_ms,
            cfg.silence_heard_ms,
            cfg.stagger_ms,
        )
        self.watch = LeaderWatch(self.incarnation, clock, timing, cfg.cores)
        self.members = Members(cfg.node, clock)
        self.grantor = Grantor(clock)
        self.enrolments = Enrolments(clock)
        self.grantor_lister = GrantorLister(
            self.incarnation, cfg.address, self.grantor, self.enrolments
        )
        self.forwarder = Forwarder(self.members, links, clock)
        self._max_version_served = -1
        self._leader_query_allowed_at = clock.now()
        self.admission = (
            AdmissionGate(
                clock,
                metrics,
                self._find_team,
                lambda: self.watch.epoch,
                self.load_report,
                ShareLedger(
                    control.features.share_burst_s, control.features.share_burst_jobs
                ),
            )
            if control.features.admission
            else None
        )
        self._relay_appender = GroupAppender(
            store, WORK_STREAM, clock, on_appended=self._publish_appended
        )
        self._notices: set[asyncio.Task] = set()
        self._fleet: list[WorkerInfo] = []
        self._usage_record = b""
        self._speeds = b""
        self.rules = Follower(
            store,
            RULES_STREAM,
            self._apply_rule,
            self.evacuations.begin_reload,
            clock,
            rules_timing(cfg.sparse_reads),
            self._end_rules_reload,
        )
        self.work = Follower(
            store,
            WORK_STREAM,
            self._apply_work,
            lambda: None,
            clock,
            work_timing(entries=1),
            preload_after=PRELOAD_AFTER_KEY,
        )
        self._candidate = Candidate(
            LeaderRecord(Epoch(0), cfg.node, self.incarnation),
            store,
            self.work,
            self.watch,
            self.members,
            links,
            clock,
            self._can_lead,
            self._lead,
            SPARSE_SUSPICION_AGE_MS if cfg.sparse_reads else MAX_SUSPICION_AGE_MS,
            self.admission.apply_report if self.admission is not None else None,
            self.grantor,
            cfg.address,
            self.grantor_lister.record_for_claim,
        )
        self.intake = Intake(
            store,
            WORK_STREAM,
            self.table,
            self.work,
            clock,
            self._append_through_entry,
            self._publish_appended,
            self._append_through_leader,
            self._query_leader,
            self._is_store_current,
            self.admission,
        )

    # State

    def is_ready(self) -> bool:
        """Return whether this entry should receive new callers."""
        limit = self.cfg.ready_age_ms
        return (
            not self.is_stopping_
            and self.catalog_ is not None
            and self.rules.age_ms() < limit
            and self.work.age_ms() < limit
        )

    def _is_store_current(self) -> bool:
        return self.rules.is_reachable_ and self.rules.age_ms() < MAX_STREAM_AGE_MS

    def are_keys_valid(self) -> bool:
        """Return whether the known API keys are recent enough to be trusted."""
        return self.rules.age_ms() < self.cfg.key_term_ms

    def _apply_rule(self, record: KeyedRecord) -> None:
        decoded = self.decode_rule(record.key, record.value)
        if isinstance(decoded, EvacuationRequest):
            version = self.rules.record_offset_
            change = self.evacuations.apply(decoded, version, self.clock.now())
            self._apply_evacuations([change] if change is not None else [])
        elif decoded is not None:
            self._apply_catalog(decoded)

    def _end_rules_reload(self) -> None:
        """End the evacuations that a finished reload does not contain."""
        changes = self.evacuations.end_reload(self.rules.record_offset_)
        self._apply_evacuations(changes)

    def _apply_evacuations(self, changes: list[EvacuationChange]) -> None:
        for change in changes:
            data_centre = change.evacuation.data_centre
            self.metrics.record_evacuation(data_centre, change.has_begun)
            _log.info(
                "Evacuation began" if change.has_begun else "Evacuation ended",
                data_centre=data_centre,
                version=change.version,
                begun_version=change.evacuation.version,
                lasted_ms=self.clock.now() - change.evacuation.since,
                settings_age_ms=self.rules.age_ms() if self.rules.is_loaded_ else None,
                is_leader=self.leader_ is not None,
            )
        if changes and self.leader_ is not None:
            self.leader_.set_evacuated(self.evacuations.data_centres)

    def _apply_catalog(self, catalog: Catalog) -> None:
        known = self.catalog_
        if known is not None and catalog.version <= known.version:
            return
        self.catalog_ = catalog
        if self.admission is not None and (
            known is None or known.teams != catalog.teams
        ):
            # Submissions of a team count once its weight is known.
            for entry in self.table.iter_accepted():
                self.admission.record(entry.accepted_)
        _log.info("Applied the operators' settings", version=catalog.version)
        if self.leader_ is not None:
            self.leader_.set_catalog(catalog)

    def _apply_work(self, record: KeyedRecord) -> None:
        if record.key == LEADER_KEY:
            self.watch.apply(record.value)
            if self.leader_ is not None and not self.watch.is_leader():
                is_own_record = self.watch.record_.incarnation == self.incarnation
                reason = "resigned" if is_own_record else "a later leader is on record"
                self.leader_.step_down(reason)
            return
        if record.key == GRANTORS_KEY:
            self.grantor_lister.apply(record.value)
        elif record.key == FLEET_KEY:
            self._apply_fleet(record.value)
        elif record.key == USAGE_KEY:
            self._usage_record = record.value
        elif record.key == SPEEDS_KEY:
            self._speeds = record.value
        elif record.key.startswith(MEMBER_PREFIX):
            self._apply_member(record)
        else:
            self._apply_job(record)

    def _apply_member(self, record: KeyedRecord) -> None:
        self.members.apply(record)
        if self.leader_ is not None:
            self._set_policy_ports(self.leader_.policy_queries)
        else:
            self._set_follower_timing()

    def _apply_job(self, record: KeyedRecord) -> None:
        job = self.table.apply(record.key, record.value)
        if job is None:
            return
        entry = self.table.find(job)
        if self.admission is not None and entry is not None:
            self.admission.record(entry.accepted_)
        if self.leader_ is not None:
            self.leader_.on_job_change(job)

    def _set_follower_timing(self) -> None:
        """Set how often this entry reads while it does not lead.

        The entries that would succeed the leader read often, as the silence of the
        leader is counted from the read that returned its last heartbeat.
        """
        is_sparse = self.cfg.sparse_reads and not self.watch.is_likely_successor(
            self.members.rivals()
        )
        entries = len(self.members.heartbeats_)
        timing = work_timing(entries, is_sparse)
        if timing.interval_ms != self.work.timing.interval_ms:
            _log.info(
                "Reads of the jobs changed",
                is_sparse=is_sparse,
                entries=entries,
                epoch=self.watch.epoch,
            )
        self.work.timing = timing
        self.rules.timing = rules_timing(self.cfg.sparse_reads)

    def _find_team(self, name: str) -> Team | None:
        return self.catalog_.teams.get(name) if self.catalog_ is not None else None

    def load_report(self) -> LoadReport | None:
        """Return the load of the cell if this entry leads and reports it."""
        return self.leader_.load_report() if self.leader_ is not None else None

    def _apply_fleet(self, value: bytes) -> None:
        try:
            self._fleet = msgspec.msgpack.decode(value, type=list[WorkerInfo])
        except msgspec.DecodeError as exc:
            _log.warning(
                "Ignoring undecodable fleet record", key=FLEET_KEY, why=str(exc)
            )

    def _set_policy_ports(self, policy_queries: PolicyQueryDispatcher) -> None:
        """Let the leader send policy queries through all live entries.

        An entry that has restarted gets a new port, which ends its backoff.
        """
        ports: dict[str, PolicyPort] = {self.cfg.node: self.policy_client}
        for member in self.members.live_others():
            known = policy_queries.ports.get(member.node)
            if (
                isinstance(known, RemotePolicyClient)
                and known.address == member.address
                and known.incarnation == member.incarnation
            ):
                ports[member.node] = known
            else:
                ports[member.node] = RemotePolicyClient(
                    member.node, member.address, self.links, member.incarnation
                )
        policy_queries.set_ports(ports)

    # Records pushed before they are read from the stream

    def on_appended(self, first: int, records: list[KeyedRecord]) -> None:
        """Apply records that the store has acknowledged.

        They are held until all records before them are known. So a leader that has
        been replaced, and can't read the claim, learns of no job that was accepted
        later. This matters because its successor starts such a job without querying
        which tasks run.

        Parameters
        ----------
        first : int
            Offset of the first record.
        records : list of KeyedRecord
            Records at successive offsets.
        """
        self.work.push(first, records)

    def _publish_appended(self, first: int, records: list[KeyedRecord]) -> None:
        """Apply records that this entry has appended and notify the leader at once."""
        self.on_appended(first, records)
        address = self._leader_address()
        if address is None or len(self._notices) >= MAX_PENDING_NOTICES:
            return
        notice = self._send_notice(address, first, records)
        task = asyncio.get_running_loop().create_task(notice)
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    def _leader_address(self) -> str | None:
        """Return the address of the leader if it is another, known entry, else None."""
        record = self.watch.record_
        if self.leader_ is not None or record is None:
            return None
        return self.members.address_of(record.node)

    async def _send_notice(
        self, address: str, first: int, records: list[KeyedRecord]
    ) -> None:
        try:
            await self.links.notify_appended(address, first, records)
        except TransportError as exc:
            _log.info("Could not notify the leader", records=len(records), why=str(exc))

    async def _query_leader(self, job: JobId) -> JobState | None:
        """Return a job's state as known to the leader, None if that is unavailable."""
        if self.leader_ is not None:
            return self.table.state_of(job)
        address = self._leader_address()
        if address is None or self.clock.now() < self._leader_query_allowed_at:
            return None
        try:
            return await self.links.query_state(address, job)
        except TransportError as exc:
            self._leader_query_allowed_at = Instant(
                self.clock.now() + LEADER_QUERY_COOLDOWN_MS
            )
            _log.info("Querying the leader failed", job=job, why=str(exc))
            return None

    def state_for(self, job: JobId) -> JobState | None:
        """Return a job's state on behalf of another entry.

        Raises
        ------
        StateUnavailableError
            If this entry does not lead.
        """
        if self.leader_ is None:
            raise StateUnavailableError("another entry leads")
        return self.table.state_of(job)

    # Callers

    def is_store_unreachable(self) -> bool:
        """Return whether this entry can't follow the store."""
        return any(
            not follower.is_reachable_ or follower.age_ms() > MAX_STREAM_AGE_MS
            for follower in (self.rules, self.work)
        )

    async def forward(self, req: CallerRequest) -> CallerAnswer | None:
        """Forward a caller's request if this entry can't follow the store.

        Returns
        -------
        CallerAnswer or None
            None if this entry has to answer the request itself.
        """
        if not self.is_store_unreachable():
            return None
        version = max(self._max_version_served, self.version)
        answer = await self.forwarder.forward(
            msgspec.structs.replace(req, version=version)
        )
        if answer is not None:
            self._max_version_served = max(self._max_version_served, answer.version)
        return answer

    @property
    def version(self) -> int:
        """Version of the known operators' settings, -1 if there are none."""
        return self.catalog_.version if self.catalog_ is not None else -1

    def check_answerable(self, version: int = -1) -> None:
        """Check that this entry's settings are not older than a caller has seen.

        Parameters
        ----------
        version : int
            Version of the settings that another entry has applied for this caller.

        Raises
        ------
        StateUnavailableError
            If earlier requests were answered under later settings than this entry's.
        """
        if self.version < max(self._max_version_served, version):
            raise StateUnavailableError(
                "earlier requests were answered under later settings of the operators"
            )

    # Appends through other entries

    async def append_for(self, records: list[KeyedRecord]) -> None:
        """Append records on behalf of an entry that can't append them itself."""
        if self.intake.is_store_unreachable():
            raise LogUnavailableError("this entry can't reach the store either")
        if self.admission is not None:
            for record in records:
                self.intake.note_append(record.key)
        deadline = Instant(self.clock.now() + RELAYED_APPEND_TIMEOUT_MS)
        await self._relay_appender.append_all(records, deadline)

    async def _append_through_entry(self, records: list[KeyedRecord]) -> None:
        """Append through the leader or another recently seen entry."""
        record = self.watch.record_
        leader = record.node if record is not None else ""
        others = self.members.others_by_recency()
        others.sort(key=lambda member: member.node != leader)
        for member in others[:MAX_RELAY_ATTEMPTS]:
            try:
                await self.links.append(member.address, records)
                return
            except LogUnavailableError as exc:
                _log.warning(
                    "Append through entry failed", entry=member.node, why=str(exc)
                )
        raise LogUnavailableError("no other entry could append")

    async def _append_through_leader(self, records: list[KeyedRecord]) -> None:
        """Append through the leader, which combines the records of all entries.

        Raises
        ------
        LogUnavailableError
            If no other entry is known to lead, or the leader can't append.
        """
        address = self._leader_address()
        if address is None:
            raise LogUnavailableError("no other entry is known to lead")
        await self.links.append(address, records, GATHERED_APPEND_TIMEOUT_MS)

    # Background tasks

    async def run(self) -> None:
        """Follow the store, take part in elections and lead until cancelled."""
        tasks = {
            "settings": self.rules.run,
            "jobs": self.work.run,
            "heartbeats": self._send_heartbeats,
            "election": self._candidate.run,
            "handover": self._hand_over_to_larger,
            "grantors": lambda: self.grantor_lister.run(lambda: self.leader_),
        }
        await asyncio.gather(
            *(supervise(name, run, _log) for name, run in tasks.items())
        )

    async def stop(self) -> None:
        """Hand the leadership over; callers are still answered.

        The leader continues until a successor may take over.
        """
        self.is_stopping_ = True
        if self.leader_ is not None:
            await self._resign(self.leader_)

    async def _resign(self, leader: Leader) -> None:
        await leader.resign()
        self.has_resigned_ = True

    async def _hand_over_to_larger(self) -> None:
        """Periodically hand over to an entry with considerably more cores, if any."""
        while True:
            await asyncio.sleep(HANDOVER_CHECK_INTERVAL_MS / 1000)
            leader = self.leader_
            if (
                leader is None
                or self.clock.now() - self._leader_since < MIN_LEADERSHIP_MS
            ):
                continue
            larger = [
                rival.incarnation
                for rival in self.members.rivals()
                if rival.cores >= HANDOVER_CORES_RATIO * self.cfg.cores
            ]
            if larger:
                _log.info(
                    "Handing over to a larger entry",
                    cores=self.cfg.cores,
                    larger=len(larger),
                )
                await self._resign(leader)

    async def _send_heartbeats(self) -> None:
        member = MemberRecord(
            self.cfg.node, self.cfg.address, self.incarnation, self.cfg.cores
        )
        value = msgspec.msgpack.encode(member)
        # Before the load has ended, this entry can't serve other entries.
        await self.work.wait_loaded()
        while not self.is_stopping_:
            try:
                records = [KeyedRecord(member_key(self.cfg.node), value)]
                done = await self.store.append(WORK_STREAM, records)
                self._publish_appended(done.first, records)
            except (LogUnavailableError, AppendUnknownError) as exc:
                _log.warning("Heartbeat not written", why=str(exc))
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)

    def enrol(self, incarnation: str, address: str) -> None:
        """Record that an entry watches this one and may replace it as the leader."""
        self.enrolments.add(incarnation, address)

    def grant_lease(self, req: LeaseRequest) -> GrantRefusal | None:
        """Grant a lease to the leader, or return why none is granted."""
        record = self.watch.record_
        known = None
        if record is None:
            # An entry that has read nothing has made no claim, and the leader goes on
            # while the store is down.
            known = None if self.work.has_been_current else req
        elif req.epoch > record.epoch:
            # The same beside an entry that has not read the leader's claim.
            known = req
        elif not record.resigned:
            known = LeaseRequest(record.epoch, record.incarnation)
        return self.grantor.grant(req, known, self.work.age_ms())

    def _latest_read_as_leader(self) -> Instant | None:
        """Return when the latest read that shows no later leader was sent."""
        return self.work.current_as_of_ if self.watch.is_leader() else None

    def is_writing(self) -> bool:
        """Return whether the store acknowledges this entry's appends as the leader.

        True if this entry does not lead.
        """
        return self.leader_ is None or not self.leader_.progress_writer.is_failing_

    def _can_lead(self) -> bool:
        """Return whether this entry is able to lead now."""
        return (
            self.work.offset_ is not None
            and self.rules.is_loaded_
            and self.catalog_ is not None
            and not self.is_stopping_
        )

    async def _lead(self, epoch: Epoch, claim: Claim) -> None:
        """Lead under an epoch that this entry has claimed."""
        policy_queries = PolicyQueryDispatcher(
            self.clock,
            self.control.advice_margin_ms,
            self.metrics,
            self.control.features.policy_reuse,
        )
        self._set_policy_ports(policy_queries)
        authority = Authority(
            claim.sent_at, self.work.current_as_of_, self._latest_read_as_leader
        )
        grants = GrantCollector(
            LeaseRequest(epoch, self.incarnation), self.enrolments, self.links
        )
        leader = Leader(
            LeaderRecord(epoch, self.cfg.node, self.incarnation),
            claim.sequence + 1,
            self.store,
            self.table,
            self.workers,
            policy_queries,
            self.decode_worker,
            self.clock,
            self.control,
            self._fleet,
            self.on_appended,
            self.rules if self.control.evacuation_ms else None,
            authority,
            grants.collect,
        )
        leader.restore_speeds(self._speeds)
        leader.set_evacuated(self.evacuations.data_centres)
        if self.catalog_ is not None:
            leader.set_catalog(self.catalog_)
        leader.usage.restore(self._usage_record)
        self.leader_ = leader
        self.has_resigned_ = False
        self._leader_since = self.clock.now()
        self.metrics.record_leader_term()
        self.work.timing = FollowerTiming(LEADER_LONG_POLL_MS, LEADER_PAUSE_MS)
        self.rules.timing = rules_timing()
        try:
            reason = await leader.run()
            _log.info("Stepped down as leader", epoch=epoch, why=reason)
        finally:
            self.leader_ = None
            self._set_follower_timing()
