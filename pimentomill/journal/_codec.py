"""Packing of records for the log."""

from typing import Any

import msgspec

from ..utils import MemberId
from ._messages import Envelope

__all__ = ["decode_envelope", "encode_envelope"]

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(writer: MemberId, seq: int, body: Any) -> bytes:
    """Pack a record with the identity of its writer.

    Parameters
    ----------
    writer : MemberId
        Incarnation that writes.
    seq : int
        Number of the record in the stream, from 1.
    body : object
        A record struct.

    Returns
    -------
    bytes
        Payload for the log.
    """
    encoded_body = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Envelope(writer, seq, encoded_body))


def decode_envelope(payload: bytes) -> Envelope:
    """Unpack an envelope; its body stays packed.

    Parameters
    ----------
    payload : bytes
        Payload read from the log.

    Returns
    -------
    Envelope
        With `body` as raw bytes.

    Raises
    ------
    msgspec.DecodeError
        If the payload is not an envelope.
    """
    return _envelope_decoder.decode(payload)
