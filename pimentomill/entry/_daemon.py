"""Process of an entry: the threads and sockets around the core."""

import random
import threading
import time
from functools import singledispatchmethod
from typing import Any

from ..cell import CellState
from ..exceptions import LogUnavailableError, PimentomillError
from ..http import HttpServer
from ..ingress import IngressLimits
from ..journal import LogWriter, PendingAppend, PlatformClient
from ..peers import (
    GetJobRequest,
    JobList,
    ListJobsRequest,
    ListSummariesRequest,
    ListWorkersRequest,
    PeerClient,
    PeerMessage,
    PeerReply,
    PeerServer,
    SummaryList,
    WorkerList,
)
from ..requests import (
    ClaimCall,
    DispatchCall,
    Dispatcher,
    GetOutcomeRequest,
    RetryBudget,
)
from ..settings import EntrySettings
from ..telemetry import ComponentLogger, Metrics
from ..utils import (
    GroupName,
    MemberId,
    StreamName,
    SystemClock,
    TrafficMeter,
    new_id,
)
from ..work import WorkState
from ..workers import CommandAnswer, CommandBatch, WorkerClient, WorkerView
from ._actor import CoreActor, CoreHandle
from ._caller_api import CallerApi
from ._catch_up import cell_catch_up, group_catch_up
from ._control_api import ControlApi
from ._core import EntryCore
from ._effects import CELL_STREAM, group_of_stream
from ._io import CommandPool, StreamReader
from ._jobs import JobService
from ._operator import OperatorService
from ._peers import HolderDirectory, own_jobs, own_workers
from ._requests import RequestService

__all__ = ["EntryDaemon"]

TICK_INTERVAL_S = 0.1
INSTANCES_INTERVAL_S = 1.0
SUMMARY_INTERVAL_S = 2.0
CORE_TIMEOUT_MS = 5_000
CONTROL_THREADS = 6
STOP_POLL_INTERVAL_S = 0.05
COMMAND_TIMEOUT_MS = 2_000
PLATFORM_CONNECTIONS = 32


class EntryDaemon:
    """Run an entry.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.clock = SystemClock()
        self.rng = random.Random()
        self.member = MemberId(new_id(cfg.name))
        self.meter = TrafficMeter()
        self.metrics = Metrics(self.meter)
        self.log = ComponentLogger("entry", entry=cfg.name)
        self.platform = PlatformClient(
            cfg.platform_url, PLATFORM_CONNECTIONS, self.meter
        )
        self.failure_: Exception | None = None
        self._ended = threading.Event()
        self._readers: dict[StreamName, StreamReader] = {}
        self._writers = self._make_writers()
        self._peer_client = PeerClient(self.meter)
        self._build_core()
        self._build_services()

    def _make_writers(self) -> dict[bool, LogWriter]:
        """Return a writer for the cell's stream and one for the groups'."""
        return {
            is_cell: LogWriter(
                self.platform, self.member, self.clock, self._on_settled, self.rng
            )
            for is_cell in (True, False)
        }

    def _build_core(self) -> None:
        core = EntryCore(self.cfg, self.member, self.clock, self)
        self._lease_guard = core.guard_
        client = WorkerClient(COMMAND_TIMEOUT_MS, self.meter)
        self._commands = CommandPool(client, core.guard_, self._on_answer)
        ref = CoreActor.start(core, self.log, self._on_fatal)
        self.core = CoreHandle(ref, CORE_TIMEOUT_MS)

    def _build_services(self) -> None:
        cfg = self.cfg
        catch_up_args = (self.core, self.platform, self.clock)
        groups = [GroupName(group.name) for group in cfg.groups]
        directory = HolderDirectory(
            self.member,
            self.core,
            self._peer_client,
            cell_catch_up(*catch_up_args),
            {group: group_catch_up(*catch_up_args, group) for group in groups},
        )
        self._directory = directory
        jobs = JobService(cfg, self.clock, self.core, directory, self.platform)
        dispatcher = Dispatcher(self.clock, RetryBudget(), self.rng, time.sleep)
        self._requests = RequestService(
            cfg,
            self.clock,
            self.core,
            directory,
            self._peer_client,
            dispatcher,
            self.rng,
        )
        operators = OperatorService(self.core, directory, jobs)
        api = CallerApi(
            cfg,
            self.core,
            directory,
            jobs,
            self._requests,
            operators,
            self.metrics,
            ComponentLogger("callers", entry=cfg.name),
        )
        self._peer_server = PeerServer(
            cfg.peers.authority, self._answer_peer, self.meter
        )
        self._caller_server = HttpServer(
            cfg.callers.host,
            cfg.callers.port,
            api.router(),
            threads=cfg.callers.threads,
            backlog=cfg.callers.backlog,
            max_body_bytes=cfg.callers.max_body_bytes,
            timeout_ms=cfg.callers.socket_timeout_ms,
            shutdown_timeout_ms=cfg.stop_by_ms,
            tls=cfg.callers.tls,
            limits=IngressLimits.for_callers(cfg.resolve_machine()),
            on_closure=self.metrics.record_closed_connection,
        )
        self._control_server = HttpServer(
            cfg.control.host,
            cfg.control.port,
            ControlApi(self.core, self.metrics, self.meter).router(),
            threads=CONTROL_THREADS,
            limits=IngressLimits.for_peers(cfg.resolve_machine()),
        )

    # Process lifecycle.

    def start(self) -> None:
        """Start all threads and servers."""
        for writer in self._writers.values():
            writer.start()
        self._commands.start()
        self._control_server.start()
        self._peer_server.start()
        self.core.tell(lambda core: core.start())
        loops = [
            (TICK_INTERVAL_S, self._tick),
            (INSTANCES_INTERVAL_S, self._poll_instances),
            (SUMMARY_INTERVAL_S, self._poll_summaries),
        ]
        for interval_s, task in loops:
            args = (interval_s, task)
            threading.Thread(
                target=self._run_periodically, args=args, daemon=True
            ).start()
        self._caller_server.start()
        self.log.info("Entry started.", member=self.member)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the entry ends; return False if the timeout expires first."""
        return self._ended.wait(timeout_s)

    def stop(self) -> None:
        """Stop gracefully: reject new work, hand over groups, finish open requests."""
        deadline = time.monotonic() + self.cfg.stop_by_ms / 1000
        self.log.info("Entry is stopping.")
        self.core.tell(lambda core: core.begin_stop())
        self._wait_for_handover(deadline)
        self._caller_server.stop()
        self._leave(deadline)
        self._lease_guard.revoke()
        self._ended.set()
        self._peer_server.stop()
        self._control_server.stop()
        for writer in self._writers.values():
            writer.stop()
        for reader in list(self._readers.values()):
            reader.stop()
        self.core.stop()
        self.log.info("Entry stopped.")

    def _wait_for_handover(self, deadline: float) -> None:
        while time.monotonic() < deadline:
            if self.core.ask(lambda core: core.has_handed_over):
                return
            time.sleep(STOP_POLL_INTERVAL_S)
        self.log.warning("Groups were not handed over before the stop deadline.")

    def _leave(self, deadline: float) -> None:
        fut = self.core.ask(lambda core: core.leave())
        try:
            fut.result(max(deadline - time.monotonic(), STOP_POLL_INTERVAL_S))
        except (PimentomillError, TimeoutError) as exc:
            self.log.warning("Leaving the cell was not confirmed.", error=repr(exc))

    def _on_fatal(self, exc: Exception) -> None:
        """End the entry after an error in the core: its state can't be trusted."""
        self._lease_guard.revoke()
        self.failure_ = exc
        self._ended.set()

    def _run_periodically(self, interval_s: float, task) -> None:
        while not self._ended.wait(interval_s):
            try:
                task()
            except Exception as exc:
                self.log.warning("Periodic task failed.", error=repr(exc))

    def _tick(self) -> None:
        # Waits for the core, so that ticks do not queue up behind a slow call.
        self.core.ask(lambda core: None)
        self.core.tell(lambda core: core.tick())

    def _poll_instances(self) -> None:
        try:
            instances = self.platform.instances()
        except LogUnavailableError:
            return
        self._requests.on_instances(instances)
        self.core.tell(lambda core: core.on_instances(instances))

    def _poll_summaries(self) -> None:
        self._collect_own_summaries()
        summaries = self._directory.peer_summaries()
        self.core.tell(lambda core: core.on_summaries(summaries))

    def _collect_own_summaries(self) -> list:
        pools = self._requests.pools_

        def collect(core: EntryCore) -> list:
            summaries = core.own_summaries()
            for summary in summaries:
                summary.services = pools[summary.group].free_slots()
            return summaries

        return self.core.ask(collect)

    # Effects of the core.

    def submit(
        self, stream: StreamName, record: Any, linger_ms: int, timeout_ms: int
    ) -> PendingAppend:
        """Queue a record for the log."""
        writer = self._writers[stream == CELL_STREAM]
        return writer.submit(stream, record, linger_ms, timeout_ms)

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""
        self.metrics.commands_.add(len(batch.commands))
        self._commands.put(group, view.id, view.address, batch)

    def start_reading(self, stream: StreamName) -> None:
        """Start reading a stream from its latest snapshot."""
        reader = StreamReader(
            self.platform,
            stream,
            CellState if stream == CELL_STREAM else WorkState,
            lambda state: self._on_snapshot(stream, state),
            lambda part: self._on_read(stream, part),
        )
        self._readers[stream] = reader
        reader.start()

    def stop_reading(self, stream: StreamName) -> None:
        """Stop reading a stream."""
        self._readers.pop(stream).stop()

    def _on_snapshot(self, stream: StreamName, state: CellState | WorkState) -> None:
        if isinstance(state, CellState):
            self.core.tell(lambda core: core.on_cell_snapshot(state))
        else:
            group = group_of_stream(stream)
            self.core.tell(lambda core: core.on_group_snapshot(group, state))

    def _on_read(self, stream: StreamName, part) -> None:
        if stream == CELL_STREAM:
            self.core.tell(lambda core: core.on_cell_slice(part))
        elif part is not None:
            group = group_of_stream(stream)
            self.core.tell(lambda core: core.on_group_slice(group, part))

    def _on_settled(self, item: PendingAppend) -> None:
        self.core.tell(lambda core: core.on_settled(item))

    def _on_answer(self, group, worker, batch, answer) -> None:
        if isinstance(answer, CommandAnswer) and answer.report is not None:
            self.metrics.reports_.add(1)
        self.core.tell(lambda core: core.on_answer(group, worker, batch, answer))

    # Requests from other entries.

    @singledispatchmethod
    def _answer_peer(self, message: PeerMessage) -> PeerReply:
        raise TypeError(f"message must be a PeerMessage, got {message!r}")

    @_answer_peer.register
    def _(self, message: ListSummariesRequest) -> PeerReply:
        return SummaryList(self._collect_own_summaries())

    @_answer_peer.register
    def _(self, message: GetJobRequest) -> PeerReply:
        answer = self._directory.find_own_job(
            message.group, message.job, message.is_current
        )
        return JobList([answer])

    @_answer_peer.register
    def _(self, message: ListJobsRequest) -> PeerReply:
        return JobList(self.core.ask(own_jobs))

    @_answer_peer.register
    def _(self, message: ListWorkersRequest) -> PeerReply:
        return WorkerList(self.core.ask(own_workers))

    @_answer_peer.register
    def _(self, message: DispatchCall) -> PeerReply:
        return self._requests.on_dispatch(message)

    @_answer_peer.register
    def _(self, message: ClaimCall) -> PeerReply:
        return self._requests.on_claim(message)

    @_answer_peer.register
    def _(self, message: GetOutcomeRequest) -> PeerReply:
        return self._requests.on_get_outcome(message)
