"""An entry of a simulated world: a real core with a fake process around it."""

from collections.abc import Callable
from typing import Any

from pimentomill.cell import CellState
from pimentomill.entry import CELL_STREAM, EntryCore, group_of_stream
from pimentomill.exceptions import InvariantError, NotHolderError, TransportError
from pimentomill.journal import (
    AppendBatch,
    AppendQueue,
    PendingAppend,
)
from pimentomill.snapshots import load_latest
from pimentomill.utils import GroupName, InstanceId, Instant, MemberId, StreamName
from pimentomill.work import WorkState
from pimentomill.workers import CommandBatch, WorkerReport, WorkerView

__all__ = ["SimEntry"]

TICK_MS = 100
POLL_MS = (20, 100)
RETRY_MS = (200, 500)
ANSWER_TIMEOUT_MS = 2_000
COMMAND_TIMEOUT_MS = 1_500
INSTANCES_MS = 1_000
SUMMARIES_MS = 1_000
LATE_APPEND_MS = (3_000, 8_000)
READ_LIMIT = 500


class SimEntry:
    """Drive a core by the events of a world.

    Parameters
    ----------
    world : World
        The world.
    name : str
        Name and address of the entry.
    incarnation : int
        Number of this incarnation in the world.
    """

    def __init__(self, world, name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.member = MemberId(f"{name}-{incarnation}")
        self.clock = world.skewed_clock()
        self.core = EntryCore(world.settings(name), self.member, self.clock, self)
        self.is_dead = False
        self.is_frozen = False
        self._deferred: list[Callable[[], None]] = []
        self._queues = {True: AppendQueue(self.member), False: AppendQueue(self.member)}
        self._busy = {True: False, False: False}
        self._readers: dict[StreamName, object] = {}

    def start(self) -> None:
        """Begin to run."""
        self.run(self.core.start)
        self._every(TICK_MS, self.core.tick)
        self._every(INSTANCES_MS, self._list_instances)
        self._every(SUMMARIES_MS, self._ask_summaries)

    # Running, freezing.

    def run(self, action: Callable[[], None]) -> None:
        """Do something now, or after the freeze, or never if dead."""
        if self.is_dead:
            return
        if self.is_frozen:
            self._deferred.append(action)
            return
        action()

    def later(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Do something later."""
        self.world.at(delay_ms, lambda: self.run(action))

    def _every(self, pause_ms: int, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.later(pause_ms, again)

        self.later(0, again)

    def freeze(self) -> None:
        """Stop running, as a paused process does."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Run on; what was about to happen happens now."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            self.run(action)

    # Log.

    def submit(
        self, stream: StreamName, record: Any, linger_ms: int, timeout_ms: int
    ) -> PendingAppend:
        """Queue a record for the log."""
        now = self.clock.now()
        item = PendingAppend(
            stream, record, Instant(now + linger_ms), Instant(now + timeout_ms)
        )
        is_cell = stream == CELL_STREAM
        self._queues[is_cell].put(item)
        self.later(linger_ms, lambda: self._pump(is_cell))
        return item

    def _pump(self, is_cell: bool) -> None:
        queue = self._queues[is_cell]
        now = self.clock.now()
        self._settle(queue.drop_expired(now))
        if self._busy[is_cell]:
            return
        batch = queue.get_due_batch(now)
        if batch is None:
            due = queue.next_send_by()
            if due is not None:
                self.later(due - now + 1, lambda: self._pump(is_cell))
            return
        self._busy[is_cell] = True
        self.world.at(self.world.log_pause_ms(), lambda: self._arrive(is_cell, batch))

    def _arrive(self, is_cell: bool, batch: AppendBatch) -> None:
        """Let an append reach the log, even if its sender is gone by now."""
        world = self.world
        if not world.reaches_log(self.name):
            self.later(ANSWER_TIMEOUT_MS, lambda: self._fail(is_cell, batch, True))
            return
        if world.happens(world.plan.late_append, "append took effect late"):
            delay = world.rng.randint(*LATE_APPEND_MS)
            world.at(delay, lambda: world.log_.append(batch.stream, batch.payloads))
            self.later(ANSWER_TIMEOUT_MS, lambda: self._fail(is_cell, batch, True))
            return
        offset = world.log_.append(batch.stream, batch.payloads)
        if world.happens(world.plan.lose_append_answer, "append's answer lost"):
            self.later(ANSWER_TIMEOUT_MS, lambda: self._fail(is_cell, batch, True))
            return
        pause_ms = world.log_pause_ms()
        self.later(pause_ms, lambda: self._confirm(is_cell, batch, offset))

    def _confirm(self, is_cell: bool, batch: AppendBatch, offset) -> None:
        self._busy[is_cell] = False
        self._settle(self._queues[is_cell].confirm(batch, offset))
        self._pump(is_cell)

    def _fail(self, is_cell: bool, batch: AppendBatch, may_be_durable: bool) -> None:
        self._busy[is_cell] = False
        now = self.clock.now()
        retry_at = Instant(now + self.world.rng.randint(50, 500))
        queue = self._queues[is_cell]
        self._settle(queue.fail(batch, now, retry_at, may_be_durable))
        self._pump(is_cell)

    def _settle(self, items: list[PendingAppend]) -> None:
        for item in items:
            self.core.on_settled(item)

    def start_reading(self, stream: StreamName) -> None:
        """Begin to read a stream."""
        mark = object()
        self._readers[stream] = mark
        self.later(self.world.pause_ms(), lambda: self._poll(stream, None, mark))

    def stop_reading(self, stream: StreamName) -> None:
        """Read a stream no longer."""
        self._readers.pop(stream, None)

    def _poll(self, stream: StreamName, position, mark: object) -> None:
        if self._readers.get(stream) is not mark:
            return
        world = self.world
        if not world.reaches_log(self.name):
            delay = world.rng.randint(*RETRY_MS)
            self.later(delay, lambda: self._poll(stream, position, mark))
            return
        if position is None:
            position = self._load_snapshot(stream)
        part = world.log_.slice(stream, position, READ_LIMIT)
        if part.start != position:
            world.faults_.counts["records forgotten unread"] += 1
            position = self._load_snapshot(stream)
            part = world.log_.slice(stream, position, READ_LIMIT)
            if part.start != position:
                detail = f"{stream} from {position}, the log begins at {part.start}"
                raise InvariantError(f"snapshots ahead of retention: {detail}")
        pause_ms = world.log_pause_ms()
        self.later(pause_ms, lambda: self._on_read(stream, part, mark))

    def _load_snapshot(self, stream: StreamName) -> int:
        def read(source, start):
            return self.world.log_.slice(source, start, READ_LIMIT)

        is_cell = stream == CELL_STREAM
        state = load_latest(read, stream, CellState if is_cell else WorkState)
        if state is None:
            return 0
        self.world.faults_.counts["snapshot loaded"] += 1
        if is_cell:
            self.core.on_cell_snapshot(state)
        else:
            self.core.on_group_snapshot(group_of_stream(stream), state)
        return state.next_offset

    def _on_read(self, stream: StreamName, part, mark: object) -> None:
        if self._readers.get(stream) is not mark:
            return
        if stream == CELL_STREAM:
            self.core.on_cell_slice(part if part.records else None)
        elif part.records:
            self.core.on_group_slice(group_of_stream(stream), part)
        position = part.start + len(part.records)
        pause_ms = self.world.rng.randint(*POLL_MS)
        self.later(pause_ms, lambda: self._poll(stream, position, mark))

    # Workers.

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""
        self.later(0, lambda: self._send(group, view.id, batch))

    def _send(self, group: GroupName, worker: InstanceId, batch: CommandBatch) -> None:
        if not self.core.guard_.is_valid():
            exc = TransportError("the lease is over", sent=False)
            self.core.on_answer(group, worker, batch, exc)
            return
        target = self.world.workers_[worker]
        answered = [False]

        def arrive() -> None:
            if target.is_cut:
                return
            answer = target.carry_out(batch)
            self.world.deliver(lambda: self.run(lambda: give(answer)))

        def give(answer) -> None:
            if not answered[0]:
                answered[0] = True
                self.core.on_answer(group, worker, batch, answer)

        self.world.deliver(arrive)
        exc = TransportError("no answer", sent=True)
        self.later(COMMAND_TIMEOUT_MS, lambda: give(exc))

    def on_report(self, worker, report: WorkerReport) -> None:
        """Take in a worker's report and reply."""
        try:
            reply = self.core.on_report(report)
        except NotHolderError:
            return
        self.world.deliver(lambda: worker.on_reply(reply, report))

    # Platform's list and peers.

    def _list_instances(self) -> None:
        if self.world.reaches_log(self.name):
            self.core.on_instances(self.world.instances())

    def _ask_summaries(self) -> None:
        self.core.own_summaries()
        for peer in list(self.world.entries_.values()):
            if peer is not self and not peer.is_frozen:
                self.core.on_summaries(peer.core.own_summaries())
