"""HTTP server on a port of its own."""

import threading

from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from ..settings import TlsSettings
from ._app import Router

__all__ = ["HttpServer"]

MAX_HEADER_BYTES = 16_384
ACCEPT_WAIT_S = 0.1


class HttpServer:
    """Serve a router in background threads.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port.
    router : Router
        What to serve.
    threads : int, default=4
        Requests served at once.
    backlog : int, default=128
        Connections that may wait.
    max_body_bytes : int, default=4194304
        Longest body taken.
    timeout_ms : int, default=10000
        Longest silence of a client.
    stop_by_ms : int, default=5000
        How long requests in flight may take at the stop.
    tls : TlsSettings or None, default=None
        Certificate; plain HTTP without it.
    """

    def __init__(
        self,
        host: str,
        port: int,
        router: Router,
        threads: int = 4,
        backlog: int = 128,
        max_body_bytes: int = 4_194_304,
        timeout_ms: int = 10_000,
        stop_by_ms: int = 5_000,
        tls: TlsSettings | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.router = router
        self.threads = threads
        self.backlog = backlog
        self.max_body_bytes = max_body_bytes
        self.timeout_ms = timeout_ms
        self.stop_by_ms = stop_by_ms
        self.tls = tls
        self._server = self._make_server()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def _make_server(self) -> wsgi.Server:
        server = wsgi.Server(
            (self.host, self.port),
            self.router,
            numthreads=self.threads,
            request_queue_size=self.backlog,
            accepted_queue_size=self.backlog,
            accepted_queue_timeout=ACCEPT_WAIT_S,
            timeout=self.timeout_ms / 1000,
            shutdown_timeout=self.stop_by_ms / 1000,
            server_name="pimentomill",
        )
        server.max_request_body_size = self.max_body_bytes
        server.max_request_header_size = MAX_HEADER_BYTES
        if self.tls is not None:
            server.ssl_adapter = BuiltinSSLAdapter(
                self.tls.certificate, self.tls.private_key
            )
        return server

    def start(self) -> None:
        """Bind the port and begin to serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop taking connections and let requests in flight end."""
        self._server.stop()
        self._thread.join()
