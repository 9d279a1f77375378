"""State and decision logic of an entry, without threads or sockets."""

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
CELL_APPEND_TIMEOUT_MS = 5_000
WORK_APPEND_TIMEOUT_MS = 5_000
REBALANCE_INTERVAL_MS = 3_000
STALE_AFTER_MS = 4_000
CLAIM_APPEND_TIMEOUT_MS = 2_000


class EntryHealth(msgspec.Struct):
    """Health of an entry.

    Parameters
    ----------
    member : MemberId
        Incarnation of the entry.
    is_ready : bool
        Whether the entry accepts requests.
    reason : str
        Reason why the entry is not ready; empty if it is.
    groups : list of GroupName
        Groups that the entry holds.
    """

    member: MemberId
    is_ready: bool
    reason: str = msgspec.field(name="why")
    groups: list[GroupName]


class EntryCore:
    """Apply the cell's stream, take part in group ownership and run held groups.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    member : MemberId
        Incarnation of this process.
    clock : Clock
        Source of time.
    effects : CoreEffects
        Side effects, carried out by the surrounding process.

    Attributes
    ----------
    fold_ : CellFold
        State of the cell.
    holders_ : dict
        Holders of the groups that this entry holds, by group.
    guard_ : LeaseGuard
        Validity of the lease under which this entry acts for them.
    summaries_ : dict
        Latest summary of each group.
    is_stopping_ : bool
        Whether the entry is shutting down.
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
        self._lease_tracker = LeaseTracker(clock, leases.ownership_ms, leases.margin_ms)
        self._claimable_since: dict[GroupName, Instant] = {}
        self._instances: list[Instance] = []
        self._append_waiters = AppendWaiters()
        self._fold_waiters = FoldWaiters()
        self._pending_appends: dict[str, PendingAppend] = {}
        self._renew_at = NEVER
        self._claim_after = NEVER
        self._rebalance_at = NEVER
        self._last_read_at = NEVER
        self._is_caught_up = False
        self._snapshot_writers: dict[StreamName, SnapshotWriter] = {}
        self._groups = [GroupName(group.name) for group in cfg.groups]
        self._racks = {GroupName(g.name): g.racks for g in cfg.groups}

    # Inputs.

    def start(self) -> None:
        """Start reading the cell's stream."""
        self.effects.start_reading(CELL_STREAM)

    def on_cell_snapshot(self, state: CellState) -> None:
        """Load a snapshot of the cell state if it is newer than the current state."""
        if state.next_offset <= self.fold_.state_.next_offset:
            return
        self.fold_ = CellFold(state)
        self._observe_snapshot(CELL_STREAM, state.next_offset)
        self._lease_tracker.observe(state)
        self._sync_holders()

    def on_cell_slice(self, part: StreamSlice | None) -> None:
        """Apply the result of a read of the cell's stream.

        Parameters
        ----------
        part : StreamSlice or None
            Records in order; None if there are no new records.
        """
        self._last_read_at = self.clock.now()
        if part is None:
            self._is_caught_up = True
            return
        for index, payload in enumerate(part.records):
            self._apply_record(Offset(part.start + index), payload)
        self._is_caught_up = self.fold_.state_.next_offset >= part.head
        self._lease_tracker.observe(self.cell())
        self._sync_holders()

    def _apply_record(self, offset: Offset, payload: bytes) -> None:
        if offset < self.fold_.state_.next_offset:
            return
        applied = self.fold_.apply(offset, decode_envelope(payload))
        if applied is None:
            return
        if applied.writer == self.member:
            self._observe_own_record(applied)
        for holder in self.holders_.values():
            holder.on_cell_record(applied)

    def _observe_own_record(self, applied: AppliedRecord) -> None:
        self._fold_waiters.observe_applied(applied)
        record = applied.record
        if isinstance(record, MemberJoined | MemberRenewed) and not applied.refusal:
            self.guard_.renew(record.sent_at)

    def _sync_holders(self) -> None:
        """Add holders of groups that this entry now owns, and remove lost ones."""
        for group in self._groups:
            ownership = self.cell().ownership(group)
            holder = self.holders_.get(group)
            is_owner = ownership.holder == self.member
            if holder is not None and (not is_owner or holder.epoch != ownership.epoch):
                self._remove_holder(group)
                holder = None
            if is_owner and holder is None:
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

    def _remove_holder(self, group: GroupName) -> None:
        del self.holders_[group]
        self.effects.stop_reading(group_stream(group))

    def on_group_snapshot(self, group: GroupName, state: WorkState) -> None:
        """Load a snapshot of a held group if it is newer than the current state."""
        holder = self.holders_.get(group)
        if holder is None or state.next_offset <= holder.next_offset:
            return
        holder.on_snapshot(state)
        self._observe_snapshot(group_stream(group), state.next_offset)

    def on_group_slice(self, group: GroupName, part: StreamSlice) -> None:
        """Apply the result of a read of a held group's stream."""
        holder = self.holders_.get(group)
        if holder is not None:
            holder.on_records(part.start, part.records)
            holder.tick()

    def on_settled(self, item: PendingAppend) -> None:
        """Handle the final state of an append."""
        self._append_waiters.settle(item)
        self._fold_waiters.settle(item)

    def on_report(self, report: WorkerReport) -> ReportReply:
        """Handle a worker's report.

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
        """Handle a worker's answer to commands."""
        holder = self.holders_.get(group)
        if holder is not None and holder.epoch == batch.epoch:
            holder.on_answer(worker, batch, answer)
            holder.tick()

    def on_instances(self, instances: list[Instance]) -> None:
        """Update the platform's instance list."""
        self._instances = instances
        for holder in self.holders_.values():
            holder.on_instances(self._workers())

    def on_summaries(self, summaries: list[GroupSummary]) -> None:
        """Store group summaries that come from the current holders."""
        for summary in summaries:
            if self.cell().ownership(summary.group).holder == summary.holder:
                self.summaries_[summary.group] = summary

    def _workers(self) -> list[Instance]:
        return [i for i in self._instances if i.kind is InstanceKind.WORKER]

    # Periodic work.

    def tick(self) -> None:
        """Run all periodic work that is due."""
        if not self._is_caught_up:
            return
        now = self.clock.now()
        if self.member not in self.cell().members:
            self._join(now)
            return
        if now >= self._renew_at:
            self._renew(now)
        if self.guard_.is_valid() and not self.is_stopping_:
            if now >= self._claim_after:
                self._claim()
            self._evict()
            self._rebalance(now)
        self._release_closed()
        for holder in self.holders_.values():
            holder.tick()
        self._write_snapshots(now)

    def _write_snapshots(self, now: Instant) -> None:
        """Write the due snapshots for which this entry is responsible."""
        cell = self.cell()
        live = sorted(m for m in cell.members if self._lease_tracker.is_live(m))
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
        if stream not in self._snapshot_writers:
            cfg = self.cfg.snapshots
            schedule = SnapshotSchedule(cfg.every_records, cfg.every_ms)
            self._snapshot_writers[stream] = SnapshotWriter(
                stream, schedule, self._submit_snapshot_part
            )
        return self._snapshot_writers[stream]

    def _submit_snapshot_part(
        self, stream: StreamName, part: SnapshotPart
    ) -> PendingAppend:
        return self.effects.submit(stream, part, 0, WORK_APPEND_TIMEOUT_MS)

    def _observe_snapshot(self, stream: StreamName, offset: Offset) -> None:
        schedule = self._snapshot_writer(stream).schedule
        schedule.record_snapshot(offset, self.clock.now())

    def _submit_once(self, purpose: str, record: CellRecord, timeout_ms: int) -> None:
        """Queue a record unless the last one for the same purpose is pending."""
        item = self._pending_appends.get(purpose)
        if item is not None and item.state is AppendState.WAITING:
            return
        self._pending_appends[purpose] = self.effects.submit(
            CELL_STREAM, record, 0, timeout_ms
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
        self._submit_once("join", record, CELL_APPEND_TIMEOUT_MS)
        # Entries that start at the same time must see each other before they claim.
        self._claim_after = Instant(now + self.cfg.leases.renew_ms // 2)
        self._renew_at = Instant(now + self.cfg.leases.renew_ms)

    def _renew(self, now: Instant) -> None:
        record = MemberRenewed(self.member, now)
        self._submit_once("renew", record, self.cfg.leases.renew_ms)
        self._renew_at = Instant(now + self.cfg.leases.renew_ms)

    def _claim(self) -> None:
        claims = choose_claims(
            self.cell(),
            self._groups,
            self.member,
            self._lease_tracker,
            self._claimable_since,
        )
        if claims:
            record = GroupsClaimed(self.member, claims)
            self._submit_once("claim", record, CLAIM_APPEND_TIMEOUT_MS)

    def _evict(self) -> None:
        for member, renewal in choose_evictions(
            self.cell(), self.member, self._lease_tracker
        ):
            self._submit_once(
                "evict", MemberEvicted(member, renewal), CELL_APPEND_TIMEOUT_MS
            )

    def _rebalance(self, now: Instant) -> None:
        if now < self._rebalance_at:
            return
        self._rebalance_at = Instant(now + REBALANCE_INTERVAL_MS)
        for group in choose_releases(self.cell(), self.member, self._lease_tracker):
            if group in self.holders_:
                self.holders_[group].close()

    def _release_closed(self) -> None:
        """Release closing groups that have no commands in flight."""
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
            self._submit_once("release", record, CELL_APPEND_TIMEOUT_MS)

    def begin_stop(self) -> None:
        """Stop accepting work and hand over all groups."""
        self.is_stopping_ = True
        for holder in self.holders_.values():
            holder.close()

    @property
    def has_handed_over(self) -> bool:
        """Whether all groups have been handed over."""
        return not self.holders_

    def leave(self) -> Future:
        """Leave the cell; the future resolves when the record is applied."""
        return self.change_cell(MemberLeft(self.member))

    # Ports of the holders.

    def append_work(
        self, group: GroupName, record: WorkRecord, linger_ms: int
    ) -> PendingAppend:
        """Queue a record for a group's stream."""
        return self.effects.submit(
            group_stream(group), record, linger_ms, WORK_APPEND_TIMEOUT_MS
        )

    def append_cell(self, record: CellRecord) -> PendingAppend:
        """Queue a record for the cell's stream."""
        return self.effects.submit(CELL_STREAM, record, 0, CELL_APPEND_TIMEOUT_MS)

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""
        self.effects.command(group, view, batch)

    def cell(self) -> CellState:
        """Return the cell state."""
        return self.fold_.state_

    def summaries(self) -> dict[GroupName, GroupSummary]:
        """Return the latest summaries of all groups."""
        return self.summaries_

    # Interface for the surrounding process.

    def change_cell(self, record: CellRecord) -> Future:
        """Append a change to the cell; the future resolves when it is applied."""
        item = self.append_cell(record)
        return self._fold_waiters.add(item)

    def append_durably(self, group: GroupName, record: WorkRecord) -> Future:
        """Append a record to a group; the future resolves when it is durable."""
        return self._append_waiters.add(self.append_work(group, record, 0))

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
            If this entry does not hold the group or is still reading its stream.
        """
        holder = self.holders_.get(group)
        if holder is None or not holder.is_acting:
            raise NotHolderError(f"group {group} has no active holder at this entry")
        return holder

    def health(self) -> EntryHealth:
        """Return the health of this entry."""
        reason = self._not_ready_reason()
        return EntryHealth(self.member, not reason, reason, sorted(self.holders_))

    def _not_ready_reason(self) -> str:
        if self.is_stopping_:
            return "the entry is stopping"
        if not self._is_caught_up:
            return "the entry is reading the log"
        if self.member not in self.cell().members:
            return "the entry has not joined the cell"
        if self.is_stale():
            return "the log can't be read"
        return ""

    def is_stale(self) -> bool:
        """Return whether the cell state may be too old to check keys."""
        return self.clock.now() > self._last_read_at + STALE_AFTER_MS
