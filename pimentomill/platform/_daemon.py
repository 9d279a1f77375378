"""Entry process that runs on the platform."""

import asyncio
import os
import signal

import msgspec

from ..control import ControlSettings, Features, load_scheduling_settings
from ..httpclient import HttpClient
from ..ingress import IngressLimits
from ..links import LinkClient, LinkServer
from ..node import CellNode, NodeSettings
from ..telemetry import CellMetrics, ComponentLogger, log_to_stdout
from ..utils import SystemClock
from ._caller_handler import CallerHandler
from ._frontend import Frontend
from ._policy import PlatformPolicyClient
from ._rules import decode_rule
from ._settings import NODE_FILE_VARIABLE, NodeFile, load_node_file
from ._store import PlatformStore
from ._workers import PlatformWorkers, decode_worker

__all__ = ["main", "serve"]

KEY_REVOCATION_MARGIN_MS = 500
"""How long before the bound on revoked keys the entry stops accepting keys."""
LEASE_FRACTION = 0.6
"""Fraction of the maximum lease that is used. A lease must outlast the loss of a
leader, but each further millisecond delays the work of a lost worker."""
MIN_DRAIN_S = 2.5
"""Time until the platform has noticed that the entry accepts no new callers."""
DRAIN_MARGIN_S = 1.0
"""Part of the grace period that is left when draining stops at the latest."""
METRICS_PORT = 9464
"""Port of the metrics endpoint, as in the deployment file."""
WORKER_CONNECTIONS = 12
"""Connections to one worker, which accepts 64 from all entries together."""
LINK_CONNECTIONS = 24
"""Connections to another entry, for forwarded callers, notifications and a watch."""
LINK_CONNECT_TIMEOUT_S = 0.3
"""Timeout of a connection to another entry; a round trip takes about 1 ms."""
STORE_CONNECTIONS = 24
"""Connections to the store, for a few long-polling reads and the appends."""
POLICY_CONNECTIONS = 2
"""Connections to the placement policy service, which serves one query at a time."""
MS_PER_S = 1000
DRAIN_POLL_INTERVAL_S = 0.05
"""Interval between two checks for requests in flight."""

_log = ComponentLogger("daemon")


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def serve(cfg: NodeFile, features: Features) -> None:
    """Run an entry until a termination signal arrives."""
    clock = SystemClock()
    metrics = CellMetrics()
    control = ControlSettings(
        lease_ms=round(cfg.bounds.max_lease_ms * LEASE_FRACTION),
        max_lease_ms=cfg.bounds.max_lease_ms,
        keep_finished_ms=round(cfg.bounds.state_retention_s * 1000) + 30_000,
        restore_ms=cfg.bounds.restore_ms,
        stop_ms=cfg.bounds.stop_ms,
        far_factor=cfg.bounds.far_factor,
        evacuation_ms=cfg.bounds.evacuation_ms,
        checkpoint_interval_ms=round(cfg.bounds.checkpoint_interval_s * MS_PER_S),
        features=features,
    )
    store_http = HttpClient(STORE_CONNECTIONS)
    worker_http = HttpClient(WORKER_CONNECTIONS)
    policy_http = HttpClient(POLICY_CONNECTIONS)
    link_http = HttpClient(LINK_CONNECTIONS, LINK_CONNECT_TIMEOUT_S)
    policy_client = PlatformPolicyClient(cfg.node, cfg.policy_address, policy_http)
    node = CellNode(
        NodeSettings(
            cfg.node,
            cfg.listen.entries,
            cfg.bounds.key_revocation_ms - KEY_REVOCATION_MARGIN_MS,
            cfg.limits.cores,
            # The switch covers repeated calls of both kinds, to policies and the store.
            sparse_reads=features.policy_reuse,
        ),
        control,
        PlatformStore(cfg.store.address, store_http, metrics),
        PlatformWorkers(worker_http, control.start_timeout_ms, control.hold_timeout_ms),
        policy_client,
        decode_rule,
        decode_worker,
        LinkClient(link_http),
        clock,
        metrics,
    )
    caller_handler = CallerHandler(node)
    frontend = Frontend(caller_handler, IngressLimits.for_callers(cfg.limits.machine))
    links = LinkServer(
        policy_client,
        node.incarnation,
        node,
        caller_handler.answer_forwarded,
        node.load_report,
        IngressLimits.for_peers(cfg.limits.machine),
        metrics.record_closed_connection,
    )
    await frontend.start(
        split_address(cfg.listen.callers),
        split_address(cfg.listen.readiness),
        (cfg.ip, METRICS_PORT),
    )
    await links.start(*split_address(cfg.listen.entries))
    _log.info("Started", node=cfg.node, zone=cfg.zone, incarnation=node.incarnation)
    _log.info("Optional features", **msgspec.structs.asdict(features))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _on_sighup)
    node_task = asyncio.ensure_future(node.run())
    await _wait_for_stop(stop, node_task)
    _log.info("Stopping", node=cfg.node, in_flight=frontend.in_flight_)
    stop_task = asyncio.ensure_future(node.stop())
    await _drain(frontend, stop_task, cfg.bounds.grace_s)
    stop_task.cancel()
    node_task.cancel()
    await links.stop()
    await frontend.stop()
    for http in (store_http, worker_http, policy_http, link_http):
        await http.close()
    _log.info("Stopped", node=cfg.node, in_flight=frontend.in_flight_)


async def _wait_for_stop(stop: asyncio.Event, node_task: asyncio.Future) -> None:
    waiter = asyncio.ensure_future(stop.wait())
    await asyncio.wait([waiter, node_task], return_when=asyncio.FIRST_COMPLETED)
    if node_task.done():
        node_task.result()
    waiter.cancel()


async def _drain(frontend: Frontend, stop_task: asyncio.Future, grace_s: float) -> None:
    """Wait for requests in flight and those that arrive on open connections."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    deadline = started_at + grace_s - DRAIN_MARGIN_S
    while loop.time() < deadline:
        is_min_drain_over = loop.time() - started_at >= MIN_DRAIN_S
        if is_min_drain_over and frontend.in_flight_ == 0 and stop_task.done():
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


def _on_sighup() -> None:
    # The file must not change while the process runs. Operators change settings of
    # a running process through the store.
    _log.info("Settings file has changed", path=os.environ.get(NODE_FILE_VARIABLE, ""))


def main(args: list[str]) -> int:
    """Read the settings files and run the entry.

    Parameters
    ----------
    args : list of str
        Path of the scheduling settings; without it, no optional feature is used.
    """
    log_to_stdout()
    cfg = load_node_file(os.environ.get(NODE_FILE_VARIABLE, ""))
    scheduling = load_scheduling_settings(args[0] if args else None)
    features = scheduling.resolve(
        cfg.bounds.restore_ms, cfg.bounds.checkpoint_interval_s * MS_PER_S
    )
    if features.admission:
        features = msgspec.structs.replace(
            features,
            share_burst_s=cfg.bounds.quota_window_s * (1 + cfg.bounds.quota_overrun),
            share_burst_jobs=cfg.bounds.quota_slack,
        )
    asyncio.run(serve(cfg, features))
    return 0
