"""What every fold of a stream does first."""

from typing import Any, Protocol

import msgspec

from ..exceptions import InvariantError
from ..utils import MemberId, Offset
from ._messages import Envelope

__all__ = ["AppliedRecord", "FoldedState", "advance_state"]


class AppliedRecord(msgspec.Struct, frozen=True):
    """What became of a record.

    Parameters
    ----------
    offset : Offset
        Where it stands.
    writer : MemberId
        Who wrote it.
    seq : int
        Its number among the writer's records.
    record : object
        The record.
    refusal : str
        Why it was refused, empty if it took effect.
    """

    offset: Offset
    writer: MemberId
    seq: int
    record: Any
    refusal: str


class FoldedState(Protocol):
    """State that a stream adds up to.

    Attributes
    ----------
    next_offset : Offset
        First offset not yet folded.
    last_seq : dict
        Number of the latest record of each writer.
    """

    next_offset: Offset
    last_seq: dict[MemberId, int]


def advance_state(state: FoldedState, offset: Offset, envelope: Envelope) -> bool:
    """Move a state on by one record.

    Parameters
    ----------
    state : FoldedState
        State to move on.
    offset : Offset
        Where the record stands; must be the next one.
    envelope : Envelope
        The record with its writer.

    Returns
    -------
    bool
        False for a repeat or a late copy, which must not be applied.

    Raises
    ------
    InvariantError
        If a record was skipped.
    """
    if offset != state.next_offset:
        raise InvariantError(
            f"offset must be {state.next_offset}, got {offset}: records skipped"
        )
    state.next_offset = Offset(offset + 1)
    if envelope.seq <= state.last_seq.get(envelope.writer, 0):
        return False
    state.last_seq[envelope.writer] = envelope.seq
    return True
