"""A simulated cell: the product's entries, a store, workers and the network."""

import contextlib
import random
from collections import Counter, deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

import msgspec

from pimentomill.catalog import Catalog, Queue, RequestLimits
from pimentomill.control import WORK_STREAM, ControlSettings, Leader
from pimentomill.fleet import Registration, WorkerInfo
from pimentomill.jobs import (
    Accepted,
    JobSpec,
    KeyedRecord,
    StepSpec,
    TaskKey,
    accepted_key,
    encode_record,
)
from pimentomill.links import LinkClient, LinkServer
from pimentomill.node import CellNode, NodeSettings
from pimentomill.standins import MemoryStore
from pimentomill.telemetry import CellMetrics, ComponentLogger
from pimentomill.utils import Resources
from proofs.clocks import SkewedClock

from ._links import EntryEndpoint, SimulatedHttp, StreamWeb, read_simulated_body
from ._loop import PROCESS, LoopClock, Process, SimulatedLoop
from ._network import Endpoint, Network, NetworkPlan
from ._store import SimulatedStore
from ._worker import LeaseObserver, SimulatedWorker, WorkerClient

__all__ = ["NO_LEASE_OUTLASTS", "NO_TASK_TWICE", "STORE", "Cell", "CellShape"]

STORE = "store"
SERVICE = "orchard"
RULES_STREAM = "rules"
WORKERS_STREAM = "workers"
NEED = Resources(1000, 100, 0)
CAPACITY = Resources(5000, 5000, 0)
QUEUE = Queue("q", "h", "/q/", SERVICE, 1, 10_000, 2.0, 1000, 3000, False)
MAX_TRACE_LINES = 400
NO_TASK_TWICE = "no task in two places"
NO_LEASE_OUTLASTS = "no lease outlasts the successor's bound"


class CellShape(NamedTuple):
    """Size and timing of a simulated cell.

    Parameters
    ----------
    entries, workers : int
        Numbers of entries and of workers.
    standing, chains : int
        Number of tasks that are restarted however they end, and of jobs of three steps
        that are kept unfinished.
    max_drift_ppm : int
        Largest drift of a clock in parts per million.
    mean_run_s : float
        Mean duration of a run in seconds.
    plan : NetworkPlan
        Faults of single calls.
    """

    entries: int = 4
    workers: int = 5
    standing: int = 14
    chains: int = 4
    max_drift_ppm: int = 20_000
    mean_run_s: float = 2.5
    plan: NetworkPlan = NetworkPlan()


class _Bound(NamedTuple):
    """Time by which a leader takes leases of its predecessors for expired."""

    epoch: int
    entry: str
    true_ms: int


class SimulatedEntry(EntryEndpoint):
    """An entry; its processes run the product's `CellNode`.

    Parameters
    ----------
    name : str
        Name.
    cell : Cell
        Cell of the entry.
    """

    def __init__(self, name: str, cell: "Cell") -> None:
        super().__init__(name)
        self.cell = cell
        drift = cell.shape.max_drift_ppm
        self.clock = SkewedClock(
            cell.clock, cell.rng.randint(10**6, 10**7), cell.rng.choice([-drift, drift])
        )
        self.node: CellNode | None = None

    @property
    def address(self) -> str:
        """Address for the other entries."""
        return f"{self.name}:7000"

    def boot(self) -> None:
        """Start a process."""
        self.process = Process(self.name)
        self.process.context.run(self._boot)

    def _boot(self) -> None:
        cell = self.cell
        http = SimulatedHttp(cell.network, cell.find_entry)
        self.node = CellNode(
            NodeSettings(self.name, self.address, key_term_ms=10_000),
            cell.control,
            SimulatedStore(cell.network, cell.store_endpoint, cell.memory),
            WorkerClient(cell.network, cell.workers),
            None,
            cell.decode_rule,
            cell.decode_worker,
            LinkClient(http),
            self.clock,
            CellMetrics(),
        )
        self.server = LinkServer(None, self.node.incarnation, self.node, None)
        self.process.spawn(self.node.run())

    def kill(self) -> None:
        """End the process."""
        self.process.kill()
        self.process = None
        self.node = None

    @property
    def leader(self) -> Leader | None:
        """The leader role of the process, None while it does not lead."""
        return self.node.leader_ if self.node is not None else None


class Cell:
    """Entries, workers and a store on one simulated loop.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    shape : CellShape, default=CellShape()
        Size and timing.

    Attributes
    ----------
    failures_ : dict of str to str
        Description of the first violation of each invariant.
    starts_, orders_ : int
        Number of checked starts, and of checked orders of leaders.
    events_ : Counter
        Logged changes of the authority of leaders.
    trace_ : deque of str
        Last lines of the logs.
    """

    def __init__(self, seed: int, shape: CellShape | None = None) -> None:
        self.seed = seed
        self.shape = shape or CellShape()
        self.rng = random.Random(seed)
        self.registers_births = self.rng.random() < 0.5
        self.loop = SimulatedLoop()
        self.clock = LoopClock(self.loop)
        self.network = Network(self.loop, self.rng, self.shape.plan)
        self.control = ControlSettings(evacuation_ms=0)
        self.store_endpoint = Endpoint(STORE)
        self.store_endpoint.process = Process(STORE)
        self.memory = MemoryStore()
        self.entries: dict[str, SimulatedEntry] = {}
        self.workers: dict[str, SimulatedWorker] = {}
        self.failures_: dict[str, str] = {}
        self.starts_ = 0
        self.orders_ = 0
        self.leaders_ = 0
        self.events_: Counter = Counter()
        self.trace_: deque[str] = deque(maxlen=MAX_TRACE_LINES)
        self._bounds: list[_Bound] = []
        self.on_leader: Callable[[SimulatedEntry], None] = lambda entry: None
        self._jobs = 0
        self._catalog = Catalog(1, [QUEUE], [], {}, [SERVICE], RequestLimits())

    # Set-up

    @contextlib.contextmanager
    def patched(self):
        """Replace sources of real time and randomness, and observe leaders."""
        inherit = Leader._inherit

        def observed_inherit(leader: Leader) -> None:
            inherit(leader)
            self._on_leader(leader)

        secrets = SimpleNamespace(
            token_hex=lambda size: f"{self.rng.getrandbits(8 * size):0{2 * size}x}",
            randbelow=self.rng.randrange,
        )
        times = SimpleNamespace(
            perf_counter=self.loop.time, process_time=self.loop.time
        )
        with contextlib.ExitStack() as stack:
            for target, new in (
                ("pimentomill.node._node.secrets", secrets),
                ("pimentomill.node._election.secrets", secrets),
                ("pimentomill.control._leader.time", times),
                ("pimentomill.control._load.time", times),
                ("pimentomill.links._server.web", StreamWeb),
                ("pimentomill.links._server.read_request_body", read_simulated_body),
            ):
                stack.enter_context(mock.patch(target, new))
            stack.enter_context(
                mock.patch.object(ComponentLogger, "_write", self._make_write())
            )
            stack.enter_context(mock.patch.object(Leader, "_inherit", observed_inherit))
            yield

    def _make_write(self):
        def write(logger, level: str, text: str, fields: dict) -> None:
            process = PROCESS.get()
            name = process.name if process is not None else "-"
            self.note(name, f"{logger.component}: {text} {fields}")
            if logger.component == "authority":
                self.events_[text] += 1

        return write

    def note(self, name: str, text: str) -> None:
        """Add a line to the trace."""
        self.trace_.append(f"{self.clock.now() / 1000:8.3f} {name:6} {text}")

    def boot(self) -> None:
        """Start all entries and workers, with the first jobs in the store."""
        self._append(RULES_STREAM, "catalog", b"1")
        observer = LeaseObserver(self._on_start, self._on_order)
        for number in range(self.shape.workers):
            name = f"w{number + 1}"
            worker = SimulatedWorker(
                name,
                self.network,
                self.clock,
                self.rng,
                observer,
                self.shape.max_drift_ppm,
                self.shape.mean_run_s,
            )
            self.workers[name] = worker
            self.boot_worker(worker)
        for _ in range(self.shape.standing):
            self.submit([StepSpec(1, NEED, long_running=True)])
        for _ in range(self.shape.chains):
            self.submit_chain()
        for number in range(self.shape.entries):
            self.add_entry(f"e{number + 1}")

    def add_entry(self, name: str) -> None:
        """Add an entry and start it."""
        self.entries[name] = SimulatedEntry(name, self)
        self.entries[name].boot()

    def boot_worker(self, worker: SimulatedWorker) -> None:
        """Start an incarnation of a worker and register it."""
        worker.boot()
        born_ms = worker.life.born_ms if self.registers_births else 0
        value = msgspec.msgpack.encode(born_ms)
        self._append(WORKERS_STREAM, worker.name, value)

    def submit_chain(self) -> None:
        """Submit a job of three steps, one after the other."""
        self.submit(
            [
                StepSpec(1, NEED),
                StepSpec(1, NEED, depends_on=(0,)),
                StepSpec(1, NEED, depends_on=(1,)),
            ]
        )

    def standing_tasks(self) -> list[TaskKey]:
        """Return the tasks that are restarted however they end."""
        jobs = (f"{number + 1:016x}" for number in range(self.shape.standing))
        return [TaskKey(job, 0, 0, 0) for job in jobs]

    def submit(self, steps: list[StepSpec]) -> None:
        """Store an accepted job."""
        self._jobs += 1
        job = f"{self._jobs:016x}"
        spec = JobSpec("", tuple(steps))
        record = Accepted(job, QUEUE, "", spec, self.clock.wall_ms())
        self._append(WORK_STREAM, accepted_key(job), encode_record(record))

    def _append(self, stream: str, key: str, value: bytes) -> None:
        self.memory._store_records(stream, [KeyedRecord(key, value)], None)

    def decode_rule(self, key: str, value: bytes) -> Catalog:
        """Return the operators' settings."""
        return self._catalog

    def decode_worker(self, key: str, value: bytes) -> Registration:
        """Return the registration in a worker record."""
        born_ms = msgspec.msgpack.decode(value)
        return Registration(
            WorkerInfo(
                key,
                SERVICE,
                key,
                "dc1",
                False,
                CAPACITY,
                "r1",
                frozenset({"kind", "r1"}),
                born_ms,
            )
        )

    def find_entry(self, authority: str) -> SimulatedEntry:
        """Return the entry at an address."""
        return self.entries[authority.partition(":")[0]]

    def leaders(self) -> list[SimulatedEntry]:
        """Return the entries that lead, the one of the highest epoch last."""
        leading = [entry for entry in self.entries.values() if entry.leader]
        return sorted(leading, key=lambda entry: entry.leader.record.epoch)

    # Invariants

    def fail(self, invariant: str, detail: str) -> None:
        """Record a violation; only the first one of an invariant is kept."""
        if invariant not in self.failures_:
            self.failures_[invariant] = detail
            self.note("CHECK", f"{invariant}: {detail}")

    def _on_start(self, worker: SimulatedWorker, task: TaskKey, run: int) -> None:
        self.starts_ += 1
        self.note(worker.name, f"starts {task} run {run} token {worker.life.token}")
        for other in self.workers.values():
            if other is not worker and task in other.running():
                self.fail(
                    NO_TASK_TWICE,
                    f"{task} starts as run {run} on {worker.name} beside run "
                    f"{other.running()[task]} on {other.name}",
                )

    def _on_order(self, worker: SimulatedWorker, token: int, lease_end: int) -> None:
        self.orders_ += 1
        for bound in self._bounds:
            if bound.epoch > token and lease_end > bound.true_ms:
                self._fail_bound(worker, token, lease_end, bound)

    def _on_leader(self, leader: Leader) -> None:
        self.leaders_ += 1
        entry = self.entries[leader.record.node]
        bound = _Bound(
            leader.record.epoch,
            entry.name,
            entry.clock.true_at(leader._max_lease_end()),
        )
        self._bounds.append(bound)
        self.on_leader(entry)
        for worker in self.workers.values():
            life = worker.life
            if life is not None and life.token < bound.epoch and life.running:
                lease_end = life.clock.true_at(life.lease_end)
                if lease_end > bound.true_ms:
                    self._fail_bound(worker, life.token, lease_end, bound)

    def _fail_bound(self, worker, token: int, lease_end: int, bound: _Bound) -> None:
        self.fail(
            NO_LEASE_OUTLASTS,
            f"{worker.name} has a lease of epoch {token} until {lease_end}, epoch "
            f"{bound.epoch} ({bound.entry}) waits until {bound.true_ms}",
        )
