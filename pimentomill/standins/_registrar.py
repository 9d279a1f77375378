"""Registration of stand-ins in the platform's instance list."""

import threading

import msgspec
import urllib3

from ..journal import Instance

__all__ = ["Registrar"]

REGISTER_INTERVAL_S = 2.0
REQUEST_TIMEOUT_S = 2.0


class Registrar:
    """Keep an instance registered in the platform's instance list.

    Parameters
    ----------
    platform_url : str
        Base URL of the platform.
    instance : Instance
        Instance to register; may be replaced while running.
    """

    def __init__(self, platform_url: str, instance: Instance) -> None:
        self.platform_url = platform_url
        self.instance = instance
        self._stopped = threading.Event()
        self._pool = urllib3.PoolManager(retries=False)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start registering periodically in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop registering."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._register()
            self._stopped.wait(REGISTER_INTERVAL_S)

    def _register(self) -> None:
        try:
            self._pool.request(
                "PUT",
                f"{self.platform_url}/v1/instances",
                body=msgspec.json.encode(self.instance),
                timeout=REQUEST_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return
