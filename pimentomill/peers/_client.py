"""Asking of other entries."""

import threading

import msgspec
import pynng

from ..exceptions import TransportError
from ..utils import TrafficMeter
from ._messages import ErrorReply, PeerMessage, PeerReply

__all__ = ["PeerClient"]

RESEND_DISABLED = -1
CONNECT_TIMEOUT_MS = 500
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerReply)


class PeerClient:
    """Ask peers over request-reply sockets.

    Parameters
    ----------
    meter : TrafficMeter
        Where bytes are counted.

    Notes
    -----
    The sockets are told not to send a request again by themselves; whoever asks
    decides about that. Should a broken connection make them do so all the same,
    the asked side drops repeats of what must not run twice.
    """

    def __init__(self, meter: TrafficMeter) -> None:
        self.meter = meter
        self._sockets: dict[str, pynng.Req0] = {}
        self._lock = threading.Lock()

    def ask(self, address: str, message: PeerMessage, timeout_ms: int) -> PeerReply:
        """Ask a peer and wait for its answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : PeerMessage
            The question.
        timeout_ms : int
            How long to wait.

        Returns
        -------
        PeerReply
            The answer.

        Raises
        ------
        TransportError
            If no answer came in time; `sent` is True unless the question
            surely did not leave.
        PimentomillError
            The error that the peer reported.
        """
        context = self._new_context(address, timeout_ms)
        try:
            reply = self._exchange(context, message)
        finally:
            context.close()
        if isinstance(reply, ErrorReply):
            raise reply.to_exception()
        return reply

    def _exchange(self, context: pynng.Context, message: PeerMessage) -> PeerReply:
        try:
            request = _encoder.encode(message)
            context.send(request)
        except pynng.NNGException as exc:
            raise TransportError(f"peer unreachable: {exc}", sent=False) from exc
        try:
            response = context.recv()
            self.meter.add(len(request), len(response))
            return _decoder.decode(response)
        except pynng.NNGException as exc:
            raise TransportError(f"peer did not answer: {exc}", sent=True) from exc
        except msgspec.DecodeError as exc:
            raise TransportError(f"peer's answer is broken: {exc}", sent=True) from exc

    def _new_context(self, address: str, timeout_ms: int) -> pynng.Context:
        """Return a context, which keeps the socket's timeouts of this moment."""
        with self._lock:
            socket = self._sockets.get(address) or self._dial(address)
            socket.recv_timeout = timeout_ms
            return socket.new_context()

    def _dial(self, address: str) -> pynng.Req0:
        socket = pynng.Req0(
            resend_time=RESEND_DISABLED, send_timeout=CONNECT_TIMEOUT_MS
        )
        socket.dial(f"tcp://{address}", block=False)
        self._sockets[address] = socket
        return socket

    def close_all_except(self, addresses: set[str]) -> None:
        """Close the connections to peers that are gone."""
        with self._lock:
            removed = self._sockets.keys() - addresses
            sockets = [self._sockets.pop(address) for address in removed]
        for socket in sockets:
            socket.close()

    def close(self) -> None:
        """Close all connections."""
        self.close_all_except(set())
