"""HTTP client for commands to workers."""

import msgspec
import urllib3

from ..exceptions import TransportError
from ._messages import CommandAnswer, CommandBatch

__all__ = ["WorkerClient"]

CONNECT_TIMEOUT_S = 1.0
OK = 200
POOLS = 256
NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(CommandAnswer)


class WorkerClient:
    """Send batches of commands.

    Parameters
    ----------
    answer_timeout_ms : int
        How long to wait for an answer.
    """

    def __init__(self, answer_timeout_ms: int) -> None:
        self.answer_timeout_ms = answer_timeout_ms
        self._pool = urllib3.PoolManager(num_pools=POOLS, maxsize=2, retries=False)
        self._timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=answer_timeout_ms / 1000
        )

    def send(self, address: str, batch: CommandBatch) -> CommandAnswer:
        """Send a batch once.

        Parameters
        ----------
        address : str
            ``host:port`` of the worker.
        batch : CommandBatch
            The commands.

        Returns
        -------
        CommandAnswer
            The worker's answer.

        Raises
        ------
        TransportError
            If no whole answer came; `sent` tells whether the commands may
            have been carried out.
        """
        url = f"http://{address}/v1/commands"
        try:
            response = self._pool.request(
                "POST", url, body=_encoder.encode(batch), timeout=self._timeout
            )
        except NOT_SENT_ERRORS as exc:
            raise TransportError(f"worker unreachable: {exc}", sent=False) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise TransportError(f"answer lost: {exc}", sent=True) from exc
        if response.status != OK:
            raise TransportError(f"worker answered {response.status}", sent=True)
        try:
            return _decoder.decode(response.data)
        except msgspec.DecodeError as exc:
            raise TransportError(f"answer is broken: {exc}", sent=True) from exc
