"""Replay of a stream: order check and removal of duplicates."""

from typing import Any, Protocol

import msgspec

from ..exceptions import InvariantError
from ..utils import MemberId, Offset
from ._messages import Envelope

__all__ = ["AppliedRecord", "FoldedState", "advance_state"]


class AppliedRecord(msgspec.Struct, frozen=True):
    """Record of a stream with the result of applying it.

    Parameters
    ----------
    offset : Offset
        Offset of the record.
    writer : MemberId
        Incarnation that wrote it.
    seq : int
        Its sequence number among the writer's records.
    record : object
        The decoded record.
    refusal : str
        Reason for its rejection; empty if it took effect.
    """

    offset: Offset
    writer: MemberId
    seq: int
    record: Any
    refusal: str


class FoldedState(Protocol):
    """State that results from applying the records of a stream in order.

    Attributes
    ----------
    next_offset : Offset
        First offset not yet applied.
    last_seq : dict
        Sequence number of the latest record, by writer.
    """

    next_offset: Offset
    last_seq: dict[MemberId, int]


def advance_state(state: FoldedState, offset: Offset, envelope: Envelope) -> bool:
    """Advance the position of a state by one record.

    Parameters
    ----------
    state : FoldedState
        State to advance.
    offset : Offset
        Offset of the record; must be the next one.
    envelope : Envelope
        Envelope of the record.

    Returns
    -------
    bool
        Whether to apply the record; False for a duplicate or a delayed copy.

    Raises
    ------
    InvariantError
        If a record was skipped.
    """
    if offset != state.next_offset:
        raise InvariantError(
            f"offset must be {state.next_offset}, got {offset}: records were skipped"
        )
    state.next_offset = Offset(offset + 1)
    if envelope.seq <= state.last_seq.get(envelope.writer, 0):
        return False
    state.last_seq[envelope.writer] = envelope.seq
    return True
