"""Encoding and decoding of envelopes."""

from typing import Any

import msgspec

from ..utils import MemberId
from ._messages import Envelope

__all__ = ["decode_envelope", "encode_envelope"]

_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(writer: MemberId, seq: int, body: Any) -> bytes:
    """Encode a record with the identity of its writer.

    Parameters
    ----------
    writer : MemberId
        Incarnation that writes the record.
    seq : int
        Sequence number of the record among those of the writer in the stream,
        from 1.
    body : object
        Record to encode.

    Returns
    -------
    bytes
        Payload for the log.
    """
    encoded_body = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(Envelope(writer, seq, encoded_body))


def decode_envelope(payload: bytes) -> Envelope:
    """Decode an envelope but not its body.

    Parameters
    ----------
    payload : bytes
        Payload read from the log.

    Returns
    -------
    Envelope
        Envelope whose `body` is still encoded.

    Raises
    ------
    msgspec.DecodeError
        If the payload is not an envelope.
    """
    return _envelope_decoder.decode(payload)
