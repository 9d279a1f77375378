"""State and decisions of an entry, free of threads and sockets."""

from concurrent.futures import Future

import msgspec

from ..cell import (
    CellFold,
    CellRecord,
    CellState,
    GroupsClaimed,
    GroupsReleased,
    MemberEvicted,
    MemberJoined,
    MemberLeft,
    MemberRenewed,
)
from ..exceptions import NotHolderError, TransportError
from ..holder import GroupHolder, GroupSummary, HolderPhase
from ..journal import (
    AppendState,
    AppliedRecord,
    Instance,
    InstanceKind,
    PendingAppend,
    StreamSlice,
    decode_envelope,
)
from ..ownership import (
    LeaseGuard,
    LeaseTracker,
    choose_claims,
    choose_evictions,
    choose_releases,
)
from ..settings import EntrySettings
from ..snapshots import SnapshotPart, SnapshotSchedule, SnapshotWriter
from ..utils import (
    Clock,
    GroupName,
    InstanceId,
    Instant,
    MemberId,
    Offset,
    StreamName,
)
from ..work import WorkRecord, WorkState
from ..workers import (
    CommandAnswer,
    CommandBatch,
    ReportReply,
    WorkerReport,
    WorkerView,
)
from ._effects import CELL_STREAM, CoreEffects, group_stream
from ._waiters import AppendWaiters, FoldWaiters

__all__ = ["EntryCore", "EntryHealth"]

NEVER = Instant(-1)
CELL_PATIENCE_MS = 5_000
WORK_PATIENCE_MS = 5_000
REBALANCE_PAUSE_MS = 3_000
STALE_AFTER_MS = 4_000
CLAIM_PATIENCE_MS = 2_000


class EntryHealth(msgspec.Struct):
    """Condition of an entry.

    Parameters
    ----------
    member : MemberId
        Incarnation.
    is_ready : bool
        Whether it may take requests.
    why : str
        Why it is not ready, empty if it is.
    groups : list of GroupName
        Groups that it holds.
    """

    member: MemberId
    is_ready: bool
    why: str
    groups: list[GroupName]


class EntryCore:
    """Fold the cell's stream, take part in ownership, and run held groups.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    member : MemberId
        Incarnation of this process.
    clock : Clock
        Source of time.
    effects : CoreEffects
        Ways out.

    Attributes
    ----------
    fold_ : CellFold
        The cell's facts.
    holders_ : dict
        Groups that this entry holds.
    guard_ : LeaseGuard
        Right to act for them.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        member: MemberId,
        clock: Clock,
        effects: CoreEffects,
    ) -> None:
        self.cfg = cfg
        self.member = member
        self.clock = clock
        self.effects = effects
        leases = cfg.leases
        self.fold_ = CellFold()
        self.holders_: dict[GroupName, GroupHolder] = {}
        self.guard_ = LeaseGuard(clock, leases.ownership_ms, leases.margin_ms)
        self.summaries_: dict[GroupName, GroupSummary] = {}
        self.is_stopping_ = False
        self._witness = LeaseTracker(clock, leases.ownership_ms, leases.margin_ms)
        self._open_since: dict[GroupName, Instant] = {}
        self._instances: list[Instance] = []
        self._appends = AppendWaiters()
        self._folds = FoldWaiters()
        self._pending: dict[str, PendingAppend] = {}
        self._renew_at = NEVER
        self._claim_from = NEVER
        self._rebalance_at = NEVER
        self._read_at = NEVER
        self._is_caught_up = False
        self._snapshots: dict[StreamName, SnapshotWriter] = {}
        self._groups = [GroupName(group.name) for group in cfg.groups]
        self._racks = {GroupName(g.name): g.racks for g in cfg.groups}

    # Ways in.

    def start(self) -> None:
        """Begin to read the cell's stream."""
        self.effects.start_reading(CELL_STREAM)

    def on_cell_snapshot(self, state: CellState) -> None:
        """Take in a snapshot of the cell's facts, if it is news."""
        if state.next_offset <= self.fold_.state_.next_offset:
            return
        self.fold_ = CellFold(state)
        self._note_snapshot(CELL_STREAM, state.next_offset)
        self._witness.observe(state)
        self._sync_holders()

    def on_cell_slice(self, part: StreamSlice | None) -> None:
        """Take in a read of the cell's stream.

        Parameters
        ----------
        part : StreamSlice or None
            Records in order; None if there was no news.
        """
        self._read_at = self.clock.now()
        if part is None:
            self._is_caught_up = True
            return
        for index, payload in enumerate(part.records):
            self._fold(Offset(part.start + index), payload)
        self._is_caught_up = self.fold_.state_.next_offset >= part.head
        self._witness.observe(self.cell())
        self._sync_holders()

    def _fold(self, offset: Offset, payload: bytes) -> None:
        if offset < self.fold_.state_.next_offset:
            return
        applied = self.fold_.apply(offset, decode_envelope(payload))
        if applied is None:
            return
        if applied.writer == self.member:
            self._note_own(applied)
        for holder in self.holders_.values():
            holder.on_cell_record(applied)

    def _note_own(self, applied: AppliedRecord) -> None:
        self._folds.note_applied(applied)
        record = applied.record
        if isinstance(record, MemberJoined | MemberRenewed) and not applied.refusal:
            self.guard_.renew(record.sent_at)

    def _sync_holders(self) -> None:
        """Begin to hold what this entry has won, and drop what it has lost."""
        for group in self._groups:
            ownership = self.cell().ownership(group)
            held = self.holders_.get(group)
            is_mine = ownership.holder == self.member
            if held is not None and (not is_mine or held.epoch != ownership.epoch):
                self._drop_holder(group)
                held = None
            if is_mine and held is None:
                self._add_holder(group)

    def _add_holder(self, group: GroupName) -> None:
        holder = GroupHolder(
            group=group,
            racks=self._racks[group],
            epoch=self.cell().ownership(group).epoch,
            member=self.member,
            report_to=self.cfg.control.authority,
            leases=self.cfg.leases,
            guard=self.guard_,
            clock=self.clock,
            ports=self,
        )
        self.holders_[group] = holder
        self.effects.start_reading(group_stream(group))
        holder.open()
        holder.on_instances(self._workers())

    def _drop_holder(self, group: GroupName) -> None:
        del self.holders_[group]
        self.effects.stop_reading(group_stream(group))

    def on_group_snapshot(self, group: GroupName, state: WorkState) -> None:
        """Take in a snapshot of a held group's work, if it is news."""
        holder = self.holders_.get(group)
        if holder is None or state.next_offset <= holder.next_offset:
            return
        holder.on_snapshot(state)
        self._note_snapshot(group_stream(group), state.next_offset)

    def on_group_slice(self, group: GroupName, part: StreamSlice) -> None:
        """Take in a read of a held group's stream."""
        holder = self.holders_.get(group)
        if holder is not None:
            holder.on_records(part.start, part.records)
            holder.tick()

    def on_settled(self, item: PendingAppend) -> None:
        """Take in the fate of a record."""
        self._appends.settle(item)
        self._folds.settle(item)

    def on_report(self, report: WorkerReport) -> ReportReply:
        """Take in a worker's report.

        Raises
        ------
        NotHolderError
            If the worker does not belong to a group that this entry holds.
        """
        for holder in self.holders_.values():
            reply = holder.on_report(report)
            if reply is not None:
                holder.tick()
                return reply
        raise NotHolderError(f"worker {report.worker} has another holder")

    def on_answer(
        self,
        group: GroupName,
        worker: InstanceId,
        batch: CommandBatch,
        answer: CommandAnswer | TransportError,
    ) -> None:
        """Take in a worker's answer to commands."""
        holder = self.holders_.get(group)
        if holder is not None and holder.epoch == batch.epoch:
            holder.on_answer(worker, batch, answer)
            holder.tick()

    def on_instances(self, instances: list[Instance]) -> None:
        """Take in the platform's instance list."""
        self._instances = instances
        for holder in self.holders_.values():
            holder.on_instances(self._workers())

    def on_summaries(self, summaries: list[GroupSummary]) -> None:
        """Take in what another entry says about its groups."""
        for summary in summaries:
            if self.cell().ownership(summary.group).holder == summary.holder:
                self.summaries_[summary.group] = summary

    def _workers(self) -> list[Instance]:
        return [i for i in self._instances if i.kind is InstanceKind.WORKER]

    # Time.

    def tick(self) -> None:
        """Do what is due."""
        if not self._is_caught_up:
            return
        now = self.clock.now()
        if self.member not in self.cell().members:
            self._join(now)
            return
        if now >= self._renew_at:
            self._renew(now)
        if self.guard_.is_valid() and not self.is_stopping_:
            if now >= self._claim_from:
                self._claim()
            self._evict()
            self._rebalance(now)
        self._release_closed()
        for holder in self.holders_.values():
            holder.tick()
        self._write_snapshots(now)

    def _write_snapshots(self, now: Instant) -> None:
        """Write the snapshots that are due and that are this entry's to write."""
        cell = self.cell()
        live = sorted(m for m in cell.members if self._witness.is_live(m))
        if self.guard_.is_valid() and self.member in live:
            rank = live.index(self.member)
            self._snapshot_writer(CELL_STREAM).write_if_due(
                cell, self.member, rank, now
            )
        for group, holder in self.holders_.items():
            if holder.is_acting:
                writer = self._snapshot_writer(group_stream(group))
                writer.write_if_due(holder.fold_.state_, self.member, 0, now)

    def _snapshot_writer(self, stream: StreamName) -> SnapshotWriter:
        if stream not in self._snapshots:
            cfg = self.cfg.snapshots
            schedule = SnapshotSchedule(cfg.every_records, cfg.every_ms)
            self._snapshots[stream] = SnapshotWriter(
                stream, schedule, self._submit_part
            )
        return self._snapshots[stream]

    def _submit_part(self, stream: StreamName, part: SnapshotPart) -> PendingAppend:
        return self.effects.submit(stream, part, 0, WORK_PATIENCE_MS)

    def _note_snapshot(self, stream: StreamName, offset: Offset) -> None:
        schedule = self._snapshot_writer(stream).schedule
        schedule.record_snapshot(offset, self.clock.now())

    def _submit_once(self, purpose: str, record: CellRecord, patience_ms: int) -> None:
        """Queue a record unless the last one of its purpose is under way."""
        item = self._pending.get(purpose)
        if item is not None and item.state is AppendState.WAITING:
            return
        self._pending[purpose] = self.effects.submit(
            CELL_STREAM, record, 0, patience_ms
        )

    def _join(self, now: Instant) -> None:
        if self.is_stopping_:
            return
        record = MemberJoined(
            member=self.member,
            sent_at=now,
            name=self.cfg.name,
            data_centre=self.cfg.data_centre,
            peer_address=self.cfg.peers.authority,
            control_address=self.cfg.control.authority,
            caller_address=self.cfg.callers.authority,
        )
        self._submit_once("join", record, CELL_PATIENCE_MS)
        # Entries that start together shall see each other before they claim.
        self._claim_from = Instant(now + self.cfg.leases.renew_ms // 2)
        self._renew_at = Instant(now + self.cfg.leases.renew_ms)

    def _renew(self, now: Instant) -> None:
        record = MemberRenewed(self.member, now)
        self._submit_once("renew", record, self.cfg.leases.renew_ms)
        self._renew_at = Instant(now + self.cfg.leases.renew_ms)

    def _claim(self) -> None:
        claims = choose_claims(
            self.cell(), self._groups, self.member, self._witness, self._open_since
        )
        if claims:
            record = GroupsClaimed(self.member, claims)
            self._submit_once("claim", record, CLAIM_PATIENCE_MS)

    def _evict(self) -> None:
        for member, renewal in choose_evictions(
            self.cell(), self.member, self._witness
        ):
            self._submit_once("evict", MemberEvicted(member, renewal), CELL_PATIENCE_MS)

    def _rebalance(self, now: Instant) -> None:
        if now < self._rebalance_at:
            return
        self._rebalance_at = Instant(now + REBALANCE_PAUSE_MS)
        for group in choose_releases(self.cell(), self.member, self._witness):
            if group in self.holders_:
                self.holders_[group].close()

    def _release_closed(self) -> None:
        """Hand over groups whose last command has ended."""
        for holder in self.holders_.values():
            if self.is_stopping_:
                holder.close()
            if holder.phase_ is HolderPhase.CLOSING and holder.is_idle:
                holder.release()
        released = [
            group
            for group, holder in self.holders_.items()
            if holder.phase_ is HolderPhase.RELEASED
        ]
        if released:
            record = GroupsReleased(self.member, released)
            self._submit_once("release", record, CELL_PATIENCE_MS)

    def begin_stop(self) -> None:
        """Take nothing new and hand all groups over."""
        self.is_stopping_ = True
        for holder in self.holders_.values():
            holder.close()

    @property
    def has_handed_over(self) -> bool:
        """Whether no group is held any more."""
        return not self.holders_

    def leave(self) -> Future:
        """Leave the cell; the future ends when that is folded."""
        return self.change(MemberLeft(self.member))

    # Ways out of the holders.

    def append_work(
        self, group: GroupName, record: WorkRecord, linger_ms: int
    ) -> PendingAppend:
        """Queue a record for a group's stream."""
        return self.effects.submit(
            group_stream(group), record, linger_ms, WORK_PATIENCE_MS
        )

    def append_cell(self, record: CellRecord) -> PendingAppend:
        """Queue a record for the cell's stream."""
        return self.effects.submit(CELL_STREAM, record, 0, CELL_PATIENCE_MS)

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""
        self.effects.command(group, view, batch)

    def cell(self) -> CellState:
        """Return the cell's facts."""
        return self.fold_.state_

    def summaries(self) -> dict[GroupName, GroupSummary]:
        """Return the latest summaries of all groups."""
        return self.summaries_

    # Services for the process around it.

    def change(self, record: CellRecord) -> Future:
        """Ask for a change of the cell's facts; ends when it is folded."""
        item = self.append_cell(record)
        return self._folds.add(item)

    def keep(self, group: GroupName, record: WorkRecord) -> Future:
        """Append a record to a group's stream; ends when it is kept."""
        return self._appends.add(self.append_work(group, record, 0))

    def own_summaries(self) -> list[GroupSummary]:
        """Return summaries of the held groups."""
        summaries = [
            holder.summary()
            for holder in self.holders_.values()
            if holder.phase_ is HolderPhase.ACTIVE
        ]
        self.on_summaries(summaries)
        return summaries

    def holder_of(self, group: GroupName) -> GroupHolder:
        """Return the holder of a group.

        Raises
        ------
        NotHolderError
            If this entry does not hold it, or is still reading its stream.
        """
        holder = self.holders_.get(group)
        if holder is None or not holder.is_acting:
            raise NotHolderError(f"group {group} has no holder here")
        return holder

    def health(self) -> EntryHealth:
        """Return the condition of this entry."""
        why = self._why_not_ready()
        return EntryHealth(self.member, not why, why, sorted(self.holders_))

    def _why_not_ready(self) -> str:
        if self.is_stopping_:
            return "the entry is stopping"
        if not self._is_caught_up:
            return "the entry is reading the log"
        if self.member not in self.cell().members:
            return "the entry has not joined"
        if self.is_stale():
            return "the log can't be read"
        return ""

    def is_stale(self) -> bool:
        """Return whether the cell's facts may be too old to check keys."""
        return self.clock.now() > self._read_at + STALE_AFTER_MS
