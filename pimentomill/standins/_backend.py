"""Stand-in for a backend server."""

import threading
import time
from http import HTTPStatus

from ..http import HttpRequest, HttpResponse, HttpServer, Router
from ..journal import Instance, InstanceKind, InstanceState
from ..settings import BackendSettings
from ..utils import InstanceId
from ._registrar import Registrar

__all__ = ["BackendModel", "BackendStandIn"]

ID_HEADER = "pimentomill-request"
SLEEP_HEADER = "stand-in-sleep-ms"
MS_PER_S = 1_000


class BackendModel:
    """Request slots of a backend server and the requests that it has run.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.

    Attributes
    ----------
    busy_ : int
        Slots in use.
    max_busy_ : int
        Highest number of slots that were in use at once.
    runs_ : list of str
        Identifiers of the requests that were run, in order of their start.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.busy_ = 0
        self.max_busy_ = 0
        self.runs_: list[str] = []
        self._lock = threading.Lock()

    def try_acquire_slot(self, request_id: str) -> bool:
        """Acquire a slot for a request; return False if none is free."""
        with self._lock:
            if self.busy_ >= self.slots:
                return False
            self.busy_ += 1
            self.max_busy_ = max(self.max_busy_, self.busy_)
            self.runs_.append(request_id)
            return True

    def release_slot(self) -> None:
        """Release a slot."""
        with self._lock:
            self.busy_ -= 1


class BackendStandIn:
    """Serve a service that echoes the body of each request.

    Parameters
    ----------
    cfg : BackendSettings
        Settings of the backend server.
    """

    def __init__(self, cfg: BackendSettings) -> None:
        self.cfg = cfg
        self.model_ = BackendModel(cfg.slots)
        router = Router()
        router.add("POST", "/v1/run", self._run)
        router.add("GET", "/v1/runs", self._list_runs)
        router.add("POST", "/v1/leave", self._leave)
        listen = cfg.listen
        self._server = HttpServer(
            listen.host, listen.port, router, threads=cfg.connections
        )
        self._registrar = Registrar(cfg.platform_url, self._instance())

    def _instance(self, state: InstanceState = InstanceState.LIVE) -> Instance:
        return Instance(
            id=InstanceId(self.cfg.name),
            kind=InstanceKind.BACKEND,
            state=state,
            address=self.cfg.listen.authority,
            rack=self.cfg.rack,
            service=self.cfg.service,
            slots=self.cfg.slots,
        )

    def start(self) -> None:
        """Start serving and registering."""
        self._server.start()
        self._registrar.start()

    def stop(self) -> None:
        """Stop registering and serving."""
        self._registrar.stop()
        self._server.stop()

    def _run(self, req: HttpRequest) -> HttpResponse:
        if not self.model_.try_acquire_slot(req.headers.get(ID_HEADER, "")):
            return HttpResponse.text("no free slot", HTTPStatus.SERVICE_UNAVAILABLE)
        try:
            time.sleep(int(req.headers.get(SLEEP_HEADER, "0")) / MS_PER_S)
        finally:
            self.model_.release_slot()
        response = HttpResponse(HTTPStatus.OK, req.body, "application/octet-stream")
        response.headers["Pimentomill-Request"] = req.headers.get(ID_HEADER, "")
        return response

    def _list_runs(self, req: HttpRequest) -> HttpResponse:
        return HttpResponse.json(self.model_.runs_)

    def _leave(self, req: HttpRequest) -> HttpResponse:
        self._registrar.instance = self._instance(InstanceState.LEAVING)
        return HttpResponse.text("leaving")
