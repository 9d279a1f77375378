"""HTTP client that sends commands to workers."""

import msgspec
import urllib3

from ..exceptions import TransportError
from ..http import MeteredClient, is_unsent
from ..utils import TrafficMeter
from ._messages import CommandAnswer, CommandBatch

__all__ = ["WorkerClient"]

CONNECT_TIMEOUT_S = 1.0
HTTP_OK = 200
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(CommandAnswer)


class WorkerClient:
    """Client that sends command batches to workers.

    Parameters
    ----------
    answer_timeout_ms : int
        Timeout for the reply, in milliseconds.
    meter : TrafficMeter
        Meter that counts the bytes sent and received.
    """

    def __init__(self, answer_timeout_ms: int, meter: TrafficMeter) -> None:
        self.answer_timeout_ms = answer_timeout_ms
        self.meter = meter
        self._http = MeteredClient(meter)

    def send(self, address: str, batch: CommandBatch) -> CommandAnswer:
        """Send a batch once.

        Parameters
        ----------
        address : str
            ``host:port`` of the worker.
        batch : CommandBatch
            Commands to send.

        Returns
        -------
        CommandAnswer
            Reply of the worker.

        Raises
        ------
        TransportError
            If no complete reply arrived; `sent` tells whether the commands may have
            been executed.
        """
        url = f"http://{address}/v1/commands"
        try:
            response = self._http.post(
                url,
                _encoder.encode(batch),
                CONNECT_TIMEOUT_S,
                self.answer_timeout_ms / 1000,
            )
        except urllib3.exceptions.HTTPError as exc:
            sent = not is_unsent(exc)
            raise TransportError(f"no reply from the worker: {exc}", sent) from exc
        if response.status != HTTP_OK:
            raise TransportError(
                f"worker returned HTTP status {response.status}", sent=True
            )
        try:
            return _decoder.decode(response.data)
        except msgspec.DecodeError as exc:
            raise TransportError(
                f"invalid reply from the worker: {exc}", sent=True
            ) from exc
