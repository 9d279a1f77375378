"""Stand-in for the platform's log service and instance list."""

import hashlib
import threading
import time
from http import HTTPStatus

import msgspec

from ..exceptions import LogUnavailableError
from ..http import HttpRequest, HttpResponse, HttpServer, Router
from ..journal import (
    Appended,
    AppendRequest,
    Instance,
    InstanceKind,
    InstanceList,
    ReadRequest,
    ReadResult,
    StreamSlice,
)
from ..settings import PlatformSettings
from ..utils import Clock, InstanceId, Instant, Offset, StreamName

__all__ = ["LogFaults", "LogModel", "PlatformStandIn"]

SERVER_THREADS = 64
MS_PER_S = 1_000
REGISTRATION_TTL_MS = 10_000
ETAG_BYTES = 8


class LogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the stand-in simulates.

    Parameters
    ----------
    is_down : bool, default=False
        Reject appends and reads.
    loses_answers : bool, default=False
        Store appended records but return an error instead of the answer.
    delay_ms : int, default=0
        Delay of each append and read in milliseconds.
    """

    is_down: bool = False
    loses_answers: bool = False
    delay_ms: int = 0


class LogModel:
    """Append-only streams with limited retention.

    Parameters
    ----------
    retained_records : int
        Number of newest records that each stream retains.
    """

    def __init__(self, retained_records: int) -> None:
        self.retained_records = retained_records
        self._streams: dict[StreamName, list[bytes]] = {}
        self._first_offsets: dict[StreamName, int] = {}

    def append(self, stream: StreamName, records: list[bytes]) -> Offset:
        """Append records and return the offset of the first."""
        retained = self._streams.setdefault(stream, [])
        first = self._first_offsets.setdefault(stream, 0)
        offset = Offset(first + len(retained))
        retained.extend(records)
        excess = len(retained) - self.retained_records
        if excess > 0:
            del retained[:excess]
            self._first_offsets[stream] += excess
        return offset

    def slice(self, stream: StreamName, start: Offset, limit: int) -> StreamSlice:
        """Return up to `limit` records, from `start` or the oldest retained record."""
        retained = self._streams.get(stream, [])
        first = self._first_offsets.get(stream, 0)
        begin = max(start, first)
        records = retained[begin - first : begin - first + limit]
        head = Offset(first + len(retained))
        return StreamSlice(Offset(first), head, Offset(begin), records)

    def read(self, req: ReadRequest) -> ReadResult:
        """Return the slices of all streams that have new records."""
        slices = {
            stream: self.slice(stream, start, req.limit)
            for stream, start in req.positions.items()
        }
        return ReadResult({name: s for name, s in slices.items() if s.records})


class PlatformStandIn:
    """Serve a log and an instance list over HTTP.

    Parameters
    ----------
    cfg : PlatformSettings
        Settings of the platform.
    clock : Clock
        Source of time.
    """

    def __init__(self, cfg: PlatformSettings, clock: Clock) -> None:
        self.cfg = cfg
        self.clock = clock
        self.log_ = LogModel(cfg.retained_records)
        self.faults_ = LogFaults()
        self.appends_ = 0
        self._changed = threading.Condition()
        self._instances: dict[InstanceId, tuple[Instance, Instant]] = {}
        self._list_history: list[tuple[Instant, list[Instance]]] = []
        self._rate_window: tuple[Instant, int] = (clock.now(), 0)
        self._server = HttpServer(
            cfg.listen.host, cfg.listen.port, self._router(), threads=SERVER_THREADS
        )

    def _router(self) -> Router:
        router = Router()
        router.add("POST", "/v1/streams/{stream}/append", self._append)
        router.add("POST", "/v1/read", self._read)
        router.add("GET", "/v1/instances", self._list_instances)
        router.add("PUT", "/v1/instances", self._register)
        router.add("PUT", "/v1/faults", self._set_faults)
        router.add("GET", "/v1/stats", self._get_stats)
        return router

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _check_available(self) -> None:
        if self.faults_.delay_ms:
            time.sleep(self.faults_.delay_ms / MS_PER_S)
        if self.faults_.is_down:
            raise LogUnavailableError("the log is down")

    def _append(self, req: HttpRequest, stream: str) -> HttpResponse:
        self._check_available()
        records = req.decode(AppendRequest).records
        with self._changed:
            self._check_rate()
            offset = self.log_.append(StreamName(stream), records)
            self.appends_ += 1
            self._changed.notify_all()
        if self.faults_.loses_answers:
            return HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR, b"")
        return HttpResponse.json(Appended(offset))

    def _check_rate(self) -> None:
        start, count = self._rate_window
        now = self.clock.now()
        if now >= start + MS_PER_S:
            start, count = now, 0
        if count >= self.cfg.appends_per_second:
            raise LogUnavailableError("append rate limit exceeded")
        self._rate_window = (start, count + 1)

    def _read(self, req: HttpRequest) -> HttpResponse:
        self._check_available()
        query = req.decode(ReadRequest)
        deadline = self.clock.now() + query.wait_ms
        with self._changed:
            result = self.log_.read(query)
            while not result.streams and not self.faults_.is_down:
                remaining_ms = deadline - self.clock.now()
                if remaining_ms <= 0:
                    break
                self._changed.wait(remaining_ms / MS_PER_S)
                result = self.log_.read(query)
        if self.faults_.is_down:
            raise LogUnavailableError("the log is down")
        return HttpResponse.json(result)

    def _register(self, req: HttpRequest) -> HttpResponse:
        instance = req.decode(Instance)
        with self._changed:
            self._instances[instance.id] = (instance, self.clock.now())
        return HttpResponse.json(instance)

    def _list_instances(self, req: HttpRequest) -> HttpResponse:
        now = self.clock.now()
        with self._changed:
            listed = [i for i, at in self._instances.values() if self._is_listed(i, at)]
            self._list_history.append((now, listed))
            visible = [
                i for i in self._list_history if i[0] <= now - self.cfg.list_lag_ms
            ]
            if visible:
                self._list_history = self._list_history[
                    self._list_history.index(visible[-1]) :
                ]
            answer = self._list_history[0][1]
        response = HttpResponse.json(InstanceList(answer))
        etag = f'"{hashlib.blake2b(response.body, digest_size=ETAG_BYTES).hexdigest()}"'
        if req.headers.get("if-none-match") == etag:
            response = HttpResponse(HTTPStatus.NOT_MODIFIED, b"")
        response.headers["ETag"] = etag
        return response

    def _is_listed(self, instance: Instance, registered_at: Instant) -> bool:
        if instance.kind is InstanceKind.ENTRY:
            return True
        return self.clock.now() < registered_at + REGISTRATION_TTL_MS

    def _set_faults(self, req: HttpRequest) -> HttpResponse:
        self.faults_ = req.decode(LogFaults)
        with self._changed:
            self._changed.notify_all()
        return HttpResponse.json(self.faults_)

    def _get_stats(self, req: HttpRequest) -> HttpResponse:
        return HttpResponse.json({"appends": self.appends_})
