"""Replay of the cell's stream into its state."""

from functools import singledispatchmethod

import msgspec

from ..journal import AppliedRecord, Envelope, advance_state
from ..utils import Epoch, Offset
from . import _allotments, _records
from ._records import (
    AllotmentRequested,
    AllotmentReturned,
    CellRecord,
    EvacuationSet,
    GroupClaim,
    GroupsClaimed,
    GroupsReleased,
    KeyIssued,
    KeyRevoked,
    MemberEvicted,
    MemberJoined,
    MemberLeft,
    MemberRenewed,
    QueueSet,
    TeamRemoved,
    TeamSet,
    WorkerDrainSet,
)
from ._state import (
    CellState,
    DrainStatus,
    EvacuationStatus,
    Key,
    Member,
    OpenQueue,
    Ownership,
    Team,
)

__all__ = ["CellFold"]

_UNION = MemberJoined
for _name in _records.__all__:
    _record_type = getattr(_records, _name)
    if issubclass(_record_type, CellRecord) and _record_type is not CellRecord:
        _UNION = _UNION | _record_type
_decoder = msgspec.msgpack.Decoder(_UNION)

ABSENT = Offset(-1)


class CellFold:
    """Apply the records of the cell's stream in order.

    Parameters
    ----------
    state : CellState or None, default=None
        Initial state; an empty cell if None.

    Attributes
    ----------
    state_ : CellState
        State after the records applied so far.
    """

    def __init__(self, state: CellState | None = None) -> None:
        self.state = state
        self.state_ = CellState() if state is None else state

    def apply(self, offset: Offset, envelope: Envelope) -> AppliedRecord | None:
        """Apply one record.

        Parameters
        ----------
        offset : Offset
            Offset of the record; must be the next one.
        envelope : Envelope
            The record with its writer and sequence number.

        Returns
        -------
        AppliedRecord or None
            The record and why it was rejected, if it was; None for a duplicate of
            a record that was applied before.

        Raises
        ------
        InvariantError
            If a record was skipped.
        """
        if not advance_state(self.state_, offset, envelope):
            return None
        record = _decoder.decode(envelope.body)
        refusal = self._apply(record, offset)
        return AppliedRecord(offset, envelope.writer, envelope.seq, record, refusal)

    @singledispatchmethod
    def _apply(self, record: CellRecord, offset: Offset) -> str:
        raise TypeError(f"record must be a CellRecord, got {record!r}")

    @_apply.register
    def _(self, record: MemberJoined, offset: Offset) -> str:
        if record.member in self.state_.members:
            return f"member {record.member} has already joined"
        self.state_.members[record.member] = Member(
            id=record.member,
            name=record.name,
            data_centre=record.data_centre,
            peer_address=record.peer_address,
            control_address=record.control_address,
            caller_address=record.caller_address,
            renewal=offset,
        )
        return ""

    @_apply.register
    def _(self, record: MemberRenewed, offset: Offset) -> str:
        member = self.state_.members.get(record.member)
        if member is None:
            return f"{record.member} is not a member"
        member.renewal = offset
        return ""

    @_apply.register
    def _(self, record: MemberLeft, offset: Offset) -> str:
        if self.state_.members.pop(record.member, None) is None:
            return f"{record.member} is not a member"
        self._release(self.state_.groups_of(record.member), offset)
        return ""

    @_apply.register
    def _(self, record: MemberEvicted, offset: Offset) -> str:
        member = self.state_.members.get(record.member)
        if member is None:
            return f"{record.member} is not a member"
        if member.renewal != record.expected_renewal:
            return f"{record.member} has renewed its membership since"
        if self.state_.groups_of(record.member):
            return f"{record.member} still holds groups"
        del self.state_.members[record.member]
        return ""

    @_apply.register
    def _(self, record: GroupsClaimed, offset: Offset) -> str:
        if record.member not in self.state_.members:
            return f"{record.member} is not a member"
        accepted = [claim for claim in record.claims if self._is_claim_current(claim)]
        for claim in accepted:
            self.state_.groups[claim.group] = Ownership(record.member, Epoch(offset))
        return "" if accepted else "no claim matches the current state of its group"

    def _is_claim_current(self, claim: GroupClaim) -> bool:
        ownership = self.state_.ownership(claim.group)
        if ownership.epoch != claim.expected_epoch:
            return False
        if ownership.holder is None:
            return claim.expected_renewal == ABSENT
        holder = self.state_.members[ownership.holder]
        return holder.renewal == claim.expected_renewal

    @_apply.register
    def _(self, record: GroupsReleased, offset: Offset) -> str:
        held = self.state_.groups_of(record.member)
        released = [group for group in record.groups if group in held]
        self._release(released, offset)
        return "" if released else f"{record.member} holds none of the groups"

    def _release(self, groups: list, offset: Offset) -> None:
        for group in groups:
            self.state_.groups[group] = Ownership(None, Epoch(offset))

    @_apply.register
    def _(self, record: TeamSet, offset: Offset) -> str:
        team = self.state_.teams.get(record.team)
        refusal = _check_version(team, record.expected_version, f"team {record.team}")
        if refusal:
            return refusal
        self.state_.teams[record.team] = Team(
            record.team, record.share, record.limit, offset
        )
        _allotments.grant_requests(self.state_, record.team)
        return ""

    @_apply.register
    def _(self, record: TeamRemoved, offset: Offset) -> str:
        team = self.state_.teams.get(record.team)
        refusal = _check_version(team, record.expected_version, f"team {record.team}")
        if refusal:
            return refusal
        del self.state_.teams[record.team]
        self.state_.allotment_requests.pop(record.team, None)
        keys = self.state_.keys
        for key_id in [k for k, key in keys.items() if key.team == record.team]:
            del keys[key_id]
        queues = self.state_.queues
        for name in [q for q, queue in queues.items() if queue.team == record.team]:
            del queues[name]
        return ""

    @_apply.register
    def _(self, record: KeyIssued, offset: Offset) -> str:
        if record.team not in self.state_.teams:
            return f"there is no team {record.team}"
        if record.key_id in self.state_.keys:
            return f"key {record.key_id} already exists"
        self.state_.keys[record.key_id] = Key(
            record.key_id, record.team, record.digest, record.label
        )
        return ""

    @_apply.register
    def _(self, record: KeyRevoked, offset: Offset) -> str:
        if self.state_.keys.pop(record.key_id, None) is None:
            return f"there is no key {record.key_id}"
        return ""

    @_apply.register
    def _(self, record: QueueSet, offset: Offset) -> str:
        queue = self.state_.queues.get(record.queue)
        refusal = _check_version(
            queue, record.expected_version, f"queue {record.queue}"
        )
        if refusal:
            return refusal
        if record.team not in self.state_.teams:
            return f"there is no team {record.team}"
        if record.is_open:
            self.state_.queues[record.queue] = OpenQueue(
                record.queue, record.team, offset
            )
        else:
            self.state_.queues.pop(record.queue, None)
        return ""

    @_apply.register
    def _(self, record: WorkerDrainSet, offset: Offset) -> str:
        status = self.state_.workers.get(record.worker)
        refusal = _check_version(
            status, record.expected_version, f"worker {record.worker}"
        )
        if refusal:
            return refusal
        self.state_.workers[record.worker] = DrainStatus(record.drained, offset)
        return ""

    @_apply.register
    def _(self, record: EvacuationSet, offset: Offset) -> str:
        status = self.state_.data_centres.get(record.data_centre)
        refusal = _check_version(
            status, record.expected_version, f"data centre {record.data_centre}"
        )
        if refusal:
            return refusal
        self.state_.data_centres[record.data_centre] = EvacuationStatus(
            record.evacuated, offset
        )
        return ""

    @_apply.register
    def _(self, record: AllotmentRequested, offset: Offset) -> str:
        refusal = self._check_epoch(record)
        if refusal:
            return refusal
        if record.team not in self.state_.teams:
            return f"there is no team {record.team}"
        _allotments.request_allotment(
            self.state_, record.team, record.group, record.amount
        )
        return ""

    @_apply.register
    def _(self, record: AllotmentReturned, offset: Offset) -> str:
        refusal = self._check_epoch(record)
        if refusal:
            return refusal
        allotment = self.state_.allotments.get(record.team, {}).get(record.group)
        if allotment is None or not record.amount.fits_in(allotment):
            return f"{record.group} returns more than its allotment of {record.team}"
        _allotments.return_allotment(
            self.state_, record.team, record.group, record.amount
        )
        return ""

    def _check_epoch(self, record: AllotmentRequested | AllotmentReturned) -> str:
        if self.state_.ownership(record.group).epoch != record.epoch:
            return f"epoch {record.epoch} of {record.group} is over"
        return ""


def _check_version(current, expected: Offset, label: str) -> str:
    """Return why the version differs from the expected one, empty if it matches."""
    version = ABSENT if current is None else current.version
    if version == expected:
        return ""
    if version == ABSENT:
        return f"{label} does not exist"
    if expected == ABSENT:
        return f"{label} exists already, with version {version}"
    return f"{label} has version {version}, expected {expected}"
