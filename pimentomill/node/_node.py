"""One entry of the cell: follows the store, stands for election, leads."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from ..catalog import Catalog
from ..control import (
    FLEET_KEY,
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
from ..fleet import WorkerInfo, WorkerPort
from ..intake import Intake
from ..jobs import JobState, JobTable, KeyedRecord
from ..links import (
    CallerAnswer,
    CallerRequest,
    EntryLinks,
    RemoteAdvisor,
)
from ..replica import (
    LEADER_KEY,
    ElectionTiming,
    Follower,
    FollowerTiming,
    GroupAppender,
    LeaderRecord,
    LeaderWatch,
    RecordStore,
)
from ..telemetry import CellMetrics, PartLog
from ..utils import Clock, Epoch, Instant, JobId
from ._election import Candidate
from ._forwarding import Forwarder
from ._members import Members
from ._records import MEMBER_PREFIX, MemberRecord, member_key

__all__ = ["CellNode", "NodeSettings"]

RULES_STREAM = "rules"
RULES_KEY = "config"
RELAYED_APPEND_MS = 1000
"""Milliseconds for an append for another entry, which waits for 1.2 s."""
GATHER_MS = 2000
"""Milliseconds for an append that the leader gathers; it takes two of the store's,
of about 0.6 s where the store is slow."""
RELAY_TRIES = 2
"""Entries through which an append is tried."""
MEMBER_INTERVAL_MS = 5000
"""Milliseconds between two signs of an entry."""
RULES_WAIT_MS = 400
"""Milliseconds for which the store may hold a read of the operators' settings back.
Each read that ends proves them current, so their age stays below twice it."""
FOLLOW_PAUSE_MS = 200
"""Milliseconds between two reads of an entry that does not lead. A question about an
unfinished job is answered by a read of its own; the rest can wait."""
EARLY_AFTER = "l"
"""Key before those of the leader and of the entries: callers are passed on to them
while the jobs are loaded, which come first and take seconds over a small link."""
LEAD_WAIT_MS = 800
"""Milliseconds for which the store may hold a read of the leader back."""
LEAD_PAUSE_MS = 60
"""Milliseconds between two reads of the leader; it is told of hand-ins directly."""
YIELD_CHECK_MS = 2000
"""Milliseconds between two looks for an entry that would lead better."""
YIELD_FACTOR = 1.5
"""Factor of processor from which a handover, 0.2 s without starts, pays."""
MIN_LEAD_MS = 8000
"""Milliseconds for which a leader stays, so that the leadership does not wander."""
FORWARD_AGE_MS = 1600
"""Age of a stream's copy above which callers are passed on to other entries. Reads
prove the operators' settings each 0.4 s, each 1 s where the store is slow for all."""
LEADER_REST_MS = 200
"""Milliseconds for which a leader that did not tell is not asked: a takeover takes
about as long, and the stream is read meanwhile."""
NOTICES = 16
"""Notices to the leader under way at once; more are left to the stream."""

_log = PartLog("node")


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of an entry.

    Parameters
    ----------
    node : str
        Name.
    address : str
        IP address and port for other entries.
    key_term_ms : int
        Milliseconds after the last proof of the operators' settings for which
        keys are honoured.
    cores : float
        Processor of the instance, in cores.
    ready_age_ms : int
        Age of the state up to which the entry takes new callers.
    silence_ms : int
        Milliseconds without a sign after which the leader is replaced.
    silence_cut_off_ms : int
        The same for a leader that is not heard on the direct link either; it is
        longer than a sign of the leader and a read of it take.
    silence_heard_ms : int
        The same for a leader that says on the direct link that it is well; its
        signs take up to 1.7 s to be read where the store is slow.
    stagger_ms : int
        Milliseconds between two candidates.
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


class CellNode:
    """Holds an entry's state and runs its duties.

    Parameters
    ----------
    cfg : NodeSettings
        Settings of the entry.
    control : ControlSettings
        Settings of the leader.
    store : RecordStore
        Store.
    workers : WorkerPort
        Calls to workers.
    advisor : PolicyPort
        How this entry asks queues' policies.
    read_rules, read_worker : callable
        Decode what operators and workers write.
    links : EntryLinks
        Connections to other entries.
    clock : Clock
        Source of time.
    metrics : CellMetrics
        Metrics of the process.

    Attributes
    ----------
    catalog_ : Catalog or None
        What operators have set; None until it has been read.
    leader_ : Leader or None
        The leader's duties while this entry leads.
    """

    def __init__(
        self,
        cfg: NodeSettings,
        control: ControlSettings,
        store: RecordStore,
        workers: WorkerPort,
        advisor: PolicyPort,
        read_rules: Callable[[bytes], Catalog | None],
        read_worker: Callable[[str, bytes], WorkerInfo | None],
        links: EntryLinks,
        clock: Clock,
        metrics: CellMetrics,
    ) -> None:
        self.cfg = cfg
        self.metrics = metrics
        self.control = control
        self.store = store
        self.workers = workers
        self.advisor = advisor
        self.read_rules = read_rules
        self.read_worker = read_worker
        self.links = links
        self.clock = clock
        self.incarnation = secrets.token_hex(6)
        self.catalog_: Catalog | None = None
        self.leader_: Leader | None = None
        self.is_stopping_ = False
        self.has_resigned_ = False
        self._led_since = clock.now()
        self.table = JobTable()
        timing = ElectionTiming(
            cfg.silence_ms,
            cfg.silence_cut_off_ms,
            cfg.silence_heard_ms,
            cfg.stagger_ms,
        )
        self.watch = LeaderWatch(self.incarnation, clock, timing, cfg.cores)
        self.members = Members(cfg.node, clock)
        self.forwarder = Forwarder(self.members, links, clock)
        self._version_used = -1
        self._ask_from = clock.now()
        self._relayed = GroupAppender(
            store, WORK_STREAM, clock, appended=self._tell_appended
        )
        self._notices: set[asyncio.Task] = set()
        self._fleet: list[WorkerInfo] = []
        self.rules = Follower(
            store,
            RULES_STREAM,
            self._apply_rule,
            lambda: None,
            clock,
            FollowerTiming(wait_ms=RULES_WAIT_MS, pause_ms=0),
        )
        self.work = Follower(
            store,
            WORK_STREAM,
            self._apply_work,
            lambda: None,
            clock,
            FollowerTiming(wait_ms=0, pause_ms=FOLLOW_PAUSE_MS),
            early_after=EARLY_AFTER,
        )
        self._candidate = Candidate(
            LeaderRecord(Epoch(0), cfg.node, self.incarnation),
            store,
            self.work,
            self.watch,
            self.members,
            links,
            clock,
            self._may_stand,
            self._lead,
        )
        self.intake = Intake(
            store,
            WORK_STREAM,
            self.table,
            self.work,
            clock,
            self._relay,
            self._tell_appended,
            self._gather,
            self._ask_leader,
            self._hears_store,
        )

    # State

    def is_ready(self) -> bool:
        """Return whether new callers should come here."""
        limit = self.cfg.ready_age_ms
        return (
            not self.is_stopping_
            and self.catalog_ is not None
            and self.rules.age_ms() < limit
            and self.work.age_ms() < limit
        )

    def _hears_store(self) -> bool:
        return self.rules.is_reachable_ and self.rules.age_ms() < FORWARD_AGE_MS

    def keys_hold(self) -> bool:
        """Return whether the known keys can be trusted now."""
        return self.rules.age_ms() < self.cfg.key_term_ms

    def _apply_rule(self, record: KeyedRecord) -> None:
        if record.key != RULES_KEY or not record.value:
            return
        catalog = self.read_rules(record.value)
        if catalog is None:
            return
        known = self.catalog_
        if known is not None and catalog.version <= known.version:
            return
        self.catalog_ = catalog
        _log.info("Settings of operators in force", version=catalog.version)
        if self.leader_ is not None:
            self.leader_.set_catalog(catalog)

    def _apply_work(self, record: KeyedRecord) -> None:
        if record.key == LEADER_KEY:
            self.watch.apply(record.value)
            if self.leader_ is not None and not self.watch.is_led_by_me():
                own = self.watch.record_.incarnation == self.incarnation
                why = "resigned" if own else "a later leader is on record"
                self.leader_.step_down(why)
            return
        if record.key == FLEET_KEY:
            self._apply_fleet(record.value)
            return
        if record.key.startswith(MEMBER_PREFIX):
            self.members.apply(record)
            if self.leader_ is not None:
                self._set_ports(self.leader_.policy_queries)
            return
        job = self.table.apply(record.key, record.value)
        if job is not None and self.leader_ is not None:
            self.leader_.note_job(job)

    def _apply_fleet(self, value: bytes) -> None:
        try:
            self._fleet = msgspec.msgpack.decode(value, type=list[WorkerInfo])
        except msgspec.DecodeError as exc:
            _log.warning("Record ignored", key=FLEET_KEY, why=str(exc))

    def _set_ports(self, desk: PolicyQueryDispatcher) -> None:
        """Let the leader ask through all entries that live."""
        ports: dict[str, PolicyPort] = {self.cfg.node: self.advisor}
        for member in self.members.live_others():
            known = desk.ports.get(member.node)
            if isinstance(known, RemoteAdvisor) and known.address == member.address:
                ports[member.node] = known
            else:
                ports[member.node] = RemoteAdvisor(
                    member.node, member.address, self.links
                )
        desk.ports = ports

    # Records ahead of the stream

    def note_appended(self, first: int, records: list[KeyedRecord]) -> None:
        """Take in records that the store has acknowledged.

        They wait until all records before them are known. So a leader that has been
        replaced, and can't read that, learns of no job that was accepted later; its
        successor starts such a job without asking what runs.

        Parameters
        ----------
        first : int
            Offset of the first record.
        records : list of KeyedRecord
            Records at successive offsets.
        """
        self.work.push(first, records)

    def _tell_appended(self, first: int, records: list[KeyedRecord]) -> None:
        """Take in what this entry has appended, and let the leader know at once."""
        self.note_appended(first, records)
        address = self._leader_address()
        if address is None or len(self._notices) >= NOTICES:
            return
        notice = self._send_notice(address, first, records)
        task = asyncio.get_running_loop().create_task(notice)
        self._notices.add(task)
        task.add_done_callback(self._notices.discard)

    def _leader_address(self) -> str | None:
        """Return where another entry leads, None if this one does or it is unknown."""
        record = self.watch.record_
        if self.leader_ is not None or record is None:
            return None
        return self.members.address_of(record.node)

    async def _send_notice(
        self, address: str, first: int, records: list[KeyedRecord]
    ) -> None:
        try:
            await self.links.tell_appended(address, first, records)
        except TransportError as exc:
            _log.info("Leader not told", records=len(records), why=str(exc))

    async def _ask_leader(self, job: JobId) -> JobState | None:
        """Return what the leader knows of a job, None if it does not tell."""
        if self.leader_ is not None:
            return self.table.state_of(job)
        address = self._leader_address()
        if address is None or self.clock.now() < self._ask_from:
            return None
        try:
            return await self.links.state(address, job)
        except TransportError as exc:
            self._ask_from = Instant(self.clock.now() + LEADER_REST_MS)
            _log.info("Leader does not tell", job=job, why=str(exc))
            return None

    def state_for(self, job: JobId) -> JobState | None:
        """Return a job's state to another entry.

        Raises
        ------
        StateUnavailableError
            If this entry does not lead.
        """
        if self.leader_ is None:
            raise StateUnavailableError("another entry leads")
        return self.table.state_of(job)

    # Callers

    def is_store_lost(self) -> bool:
        """Return whether this entry can't follow the store."""
        return any(
            not follower.is_reachable_ or follower.age_ms() > FORWARD_AGE_MS
            for follower in (self.rules, self.work)
        )

    async def forward(self, req: CallerRequest) -> CallerAnswer | None:
        """Let an entry that reaches the store answer a caller.

        Returns
        -------
        CallerAnswer or None
            None if this entry has to answer itself.
        """
        if not self.is_store_lost():
            return None
        version = max(self._version_used, self.version)
        answer = await self.forwarder.forward(
            msgspec.structs.replace(req, version=version)
        )
        if answer is not None:
            self._version_used = max(self._version_used, answer.version)
        return answer

    @property
    def version(self) -> int:
        """Version of the operators' settings that are known, -1 without any."""
        return self.catalog_.version if self.catalog_ is not None else -1

    def check_answerable(self, version: int = -1) -> None:
        """Check that this entry's settings are no step back for a caller.

        Parameters
        ----------
        version : int
            Version that another entry has acted by for this caller.

        Raises
        ------
        StateUnavailableError
            If earlier requests were answered by later settings than it knows.
        """
        if self.version < max(self._version_used, version):
            raise StateUnavailableError("later settings of operators are in force")

    # Appends through other entries

    async def append_for(self, records: list[KeyedRecord]) -> None:
        """Append records that another entry can't append itself."""
        if self.intake.is_store_lost():
            raise LogUnavailableError("the store is out of reach here too")
        deadline = Instant(self.clock.now() + RELAYED_APPEND_MS)
        await self._relayed.append_all(records, deadline)

    async def _relay(self, records: list[KeyedRecord]) -> None:
        """Append through the leader or another entry that showed itself lately."""
        record = self.watch.record_
        leader = record.node if record is not None else ""
        others = self.members.others_by_recency()
        others.sort(key=lambda member: member.node != leader)
        for member in others[:RELAY_TRIES]:
            try:
                await self.links.append(member.address, records)
                return
            except LogUnavailableError as exc:
                _log.warning("Entry can't append", entry=member.node, why=str(exc))
        raise LogUnavailableError("no other entry could append")

    async def _gather(self, records: list[KeyedRecord]) -> None:
        """Append through the leader, which appends the records of all together."""
        address = self._leader_address()
        if address is None:
            raise LogUnavailableError("no other entry leads")
        await self.links.append(address, records, GATHER_MS)

    # Duties

    async def run(self) -> None:
        """Follow, stand for election and lead until cancelled."""
        await asyncio.gather(
            self.rules.run(),
            self.work.run(),
            self._announce(),
            self._candidate.run(),
            self._yield_to_larger(),
        )

    async def stop(self) -> None:
        """Hand the leadership over; callers are still answered.

        The leader goes on until a successor may take over.
        """
        self.is_stopping_ = True
        if self.leader_ is not None:
            await self._resign(self.leader_)

    async def _resign(self, leader: Leader) -> None:
        await leader.resign()
        self.has_resigned_ = True

    async def _yield_to_larger(self) -> None:
        """Hand over to an entry with clearly more processor, now and then."""
        while True:
            await asyncio.sleep(YIELD_CHECK_MS / 1000)
            leader = self.leader_
            if leader is None or self.clock.now() - self._led_since < MIN_LEAD_MS:
                continue
            larger = [
                rival.incarnation
                for rival in self.members.rivals()
                if rival.cores >= YIELD_FACTOR * self.cfg.cores
            ]
            if larger:
                _log.info("Hands over", cores=self.cfg.cores, larger=len(larger))
                await self._resign(leader)

    async def _announce(self) -> None:
        member = MemberRecord(
            self.cfg.node, self.cfg.address, self.incarnation, self.cfg.cores
        )
        value = msgspec.msgpack.encode(member)
        # Until then it could not help another entry.
        await self.work.wait_loaded()
        while not self.is_stopping_:
            try:
                records = [KeyedRecord(member_key(self.cfg.node), value)]
                done = await self.store.append(WORK_STREAM, records)
                self._tell_appended(done.first, records)
            except (LogUnavailableError, AppendUnknownError) as exc:
                _log.warning("Sign not written", why=str(exc))
            await asyncio.sleep(MEMBER_INTERVAL_MS / 1000)

    def is_writing(self) -> bool:
        """Return whether what this entry appends as the leader is acknowledged."""
        return self.leader_ is None or not self.leader_.progress_writer.is_failing_

    def _may_stand(self) -> bool:
        """Return whether this entry could lead now."""
        return (
            self.work.offset_ is not None
            and self.catalog_ is not None
            and not self.is_stopping_
        )

    async def _lead(self, epoch: Epoch, sequence: int) -> None:
        """Lead under an epoch; the claim had this sequence number."""
        desk = PolicyQueryDispatcher(
            self.clock, self.control.advice_margin_ms, self.metrics
        )
        self._set_ports(desk)
        leader = Leader(
            LeaderRecord(epoch, self.cfg.node, self.incarnation),
            sequence + 1,
            self.store,
            self.table,
            self.workers,
            desk,
            self.read_worker,
            self.clock,
            self.control,
            self._fleet,
            self.note_appended,
        )
        if self.catalog_ is not None:
            leader.set_catalog(self.catalog_)
        self.leader_ = leader
        self.has_resigned_ = False
        self._led_since = self.clock.now()
        self.metrics.note_term()
        usual = self.work.timing
        self.work.timing = FollowerTiming(LEAD_WAIT_MS, LEAD_PAUSE_MS)
        try:
            why = await leader.run()
            _log.info("Leads no more", epoch=epoch, why=why)
        finally:
            self.leader_ = None
            self.work.timing = usual
