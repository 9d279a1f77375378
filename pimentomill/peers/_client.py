"""Client of the request-reply protocol between entries."""

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
    """Send requests to peers over request-reply sockets.

    Parameters
    ----------
    meter : TrafficMeter
        Counts the bytes sent and received.

    Notes
    -----
    Automatic resending of the sockets is disabled; the calling code decides about
    retries. If a broken connection makes a socket resend a request all the same,
    the peer drops repeats of requests that must not run twice.
    """

    def __init__(self, meter: TrafficMeter) -> None:
        self.meter = meter
        self._sockets: dict[str, pynng.Req0] = {}
        self._lock = threading.Lock()

    def ask(self, address: str, message: PeerMessage, timeout_ms: int) -> PeerReply:
        """Send a request to a peer and wait for its reply.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : PeerMessage
            The request.
        timeout_ms : int
            Maximum wait for the reply in milliseconds.

        Returns
        -------
        PeerReply
            The reply.

        Raises
        ------
        TransportError
            If no valid reply was received in time; `sent` is False only if the
            request has certainly not been sent.
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
            raise TransportError(
                f"peer's reply can't be decoded: {exc}", sent=True
            ) from exc

    def _new_context(self, address: str, timeout_ms: int) -> pynng.Context:
        """Return a context, which keeps the present timeouts of the socket."""
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
        """Close the connections to peers that are not among the addresses."""
        with self._lock:
            removed = self._sockets.keys() - addresses
            sockets = [self._sockets.pop(address) for address in removed]
        for socket in sockets:
            socket.close()

    def close(self) -> None:
        """Close all connections."""
        self.close_all_except(set())
