"""Server of the request-reply protocol between entries."""

import threading
import time
from collections.abc import Callable

import msgspec
import pynng

from ..utils import TrafficMeter
from ._messages import ErrorReply, PeerMessage, PeerReply

__all__ = ["PeerServer"]

STOP_TIMEOUT_S = 2.0
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


class PeerServer:
    """Answer requests of peers in background threads.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handler : callable
        Takes a `PeerMessage` and returns a `PeerReply`; an exception that it
        raises is returned to the peer as an `ErrorReply`.
    meter : TrafficMeter
        Counts the bytes sent and received.
    threads : int, default=16
        Maximum number of requests that are handled concurrently.
    """

    def __init__(
        self,
        address: str,
        handler: Callable[[PeerMessage], PeerReply],
        meter: TrafficMeter,
        threads: int = 16,
    ) -> None:
        self.address = address
        self.handler = handler
        self.meter = meter
        self.threads = threads
        self._socket = pynng.Rep0()
        self._contexts: list[pynng.Context] = []
        self._is_stopping = False
        self._threads = [
            threading.Thread(target=self._serve, args=(i,), daemon=True)
            for i in range(threads)
        ]

    def start(self) -> None:
        """Start listening and answering requests."""
        self._socket.listen(f"tcp://{self.address}")
        self._contexts = [self._socket.new_context() for _ in self._threads]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop listening; requests that run beyond `STOP_TIMEOUT_S` are abandoned."""
        self._is_stopping = True
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for context in self._contexts:
            context.close()
        for thread in self._threads:
            thread.join(max(deadline - time.monotonic(), 0))
        self._socket.close()

    def _serve(self, index: int) -> None:
        context = self._contexts[index]
        while True:
            try:
                request = context.recv()
                response = self._respond(request)
                if self._is_stopping:
                    return
                context.send(response)
                self.meter.add(len(response), len(request))
            except pynng.Closed:
                return
            except pynng.NNGException:
                continue

    def _respond(self, request: bytes) -> bytes:
        try:
            reply = self.handler(_decoder.decode(request))
        except Exception as exc:
            reply = ErrorReply.from_exception(exc)
        return _encoder.encode(reply)
