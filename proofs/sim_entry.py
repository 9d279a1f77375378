"""Simulated entry: a real core whose I/O is simulated."""

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

TICK_INTERVAL_MS = 100
POLL_INTERVAL_RANGE_MS = (20, 100)
RETRY_DELAY_RANGE_MS = (200, 500)
APPEND_TIMEOUT_MS = 2_000
COMMAND_TIMEOUT_MS = 1_500
INSTANCES_INTERVAL_MS = 1_000
SUMMARIES_INTERVAL_MS = 1_000
APPEND_DELAY_RANGE_MS = (3_000, 8_000)
READ_LIMIT = 500


class SimEntry:
    """Drive an entry core by the events of a world.

    Parameters
    ----------
    world : World
        Simulation that the entry belongs to.
    name : str
        Name and address of the entry.
    incarnation : int
        Number of this incarnation, unique in the world.
    """

    def __init__(self, world, name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.member = MemberId(f"{name}-{incarnation}")
        self.clock = world.make_skewed_clock()
        self.core = EntryCore(world.make_settings(name), self.member, self.clock, self)
        self.is_dead = False
        self.is_frozen = False
        self._deferred: list[Callable[[], None]] = []
        self._queues = {True: AppendQueue(self.member), False: AppendQueue(self.member)}
        self._is_sending = {True: False, False: False}
        self._reader_tokens: dict[StreamName, object] = {}

    def start(self) -> None:
        """Start the core and its periodic work."""
        self.run_or_defer(self.core.start)
        self._schedule_periodic(TICK_INTERVAL_MS, self.core.tick)
        self._schedule_periodic(INSTANCES_INTERVAL_MS, self._list_instances)
        self._schedule_periodic(SUMMARIES_INTERVAL_MS, self._query_summaries)

    # Execution and freezing.

    def run_or_defer(self, action: Callable[[], None]) -> None:
        """Run an action now, defer it while frozen, or drop it if the entry is dead."""
        if self.is_dead:
            return
        if self.is_frozen:
            self._deferred.append(action)
            return
        action()

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in milliseconds."""
        self.world.schedule(delay_ms, lambda: self.run_or_defer(action))

    def _schedule_periodic(self, interval_ms: int, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.schedule(interval_ms, repeat)

        self.schedule(0, repeat)

    def freeze(self) -> None:
        """Defer all actions, as a paused process does."""
        self.is_frozen = True

    def resume(self) -> None:
        """End the freeze and run the deferred actions."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            self.run_or_defer(action)

    # Log.

    def submit(
        self, stream: StreamName, record: Any, linger_ms: int, timeout_ms: int
    ) -> PendingAppend:
        """Queue a record for the log."""
        now = self.clock.now()
        pending = PendingAppend(
            stream, record, Instant(now + linger_ms), Instant(now + timeout_ms)
        )
        is_cell = stream == CELL_STREAM
        self._queues[is_cell].put(pending)
        self.schedule(linger_ms, lambda: self._send_next_batch(is_cell))
        return pending

    def _send_next_batch(self, is_cell: bool) -> None:
        queue = self._queues[is_cell]
        now = self.clock.now()
        self._notify_settled(queue.drop_expired(now))
        if self._is_sending[is_cell]:
            return
        batch = queue.get_due_batch(now)
        if batch is None:
            due = queue.next_send_by()
            if due is not None:
                self.schedule(due - now + 1, lambda: self._send_next_batch(is_cell))
            return
        self._is_sending[is_cell] = True
        self.world.schedule(
            self.world.draw_log_delay_ms(), lambda: self._apply_append(is_cell, batch)
        )

    def _apply_append(self, is_cell: bool, batch: AppendBatch) -> None:
        """Apply an append to the log, even if its sender has ended meanwhile."""
        world = self.world
        if not world.can_reach_log(self.name):
            self.schedule(
                APPEND_TIMEOUT_MS, lambda: self._fail_append(is_cell, batch, True)
            )
            return
        if world.draw_fault(world.plan.append_delay, "append took effect late"):
            delay = world.rng.randint(*APPEND_DELAY_RANGE_MS)
            world.schedule(
                delay, lambda: world.log_.append(batch.stream, batch.payloads)
            )
            self.schedule(
                APPEND_TIMEOUT_MS, lambda: self._fail_append(is_cell, batch, True)
            )
            return
        offset = world.log_.append(batch.stream, batch.payloads)
        if world.draw_fault(world.plan.append_reply_loss, "append's answer lost"):
            self.schedule(
                APPEND_TIMEOUT_MS, lambda: self._fail_append(is_cell, batch, True)
            )
            return
        delay_ms = world.draw_log_delay_ms()
        self.schedule(delay_ms, lambda: self._confirm_append(is_cell, batch, offset))

    def _confirm_append(self, is_cell: bool, batch: AppendBatch, offset) -> None:
        self._is_sending[is_cell] = False
        self._notify_settled(self._queues[is_cell].confirm(batch, offset))
        self._send_next_batch(is_cell)

    def _fail_append(
        self, is_cell: bool, batch: AppendBatch, may_be_durable: bool
    ) -> None:
        self._is_sending[is_cell] = False
        now = self.clock.now()
        retry_at = Instant(now + self.world.rng.randint(50, 500))
        queue = self._queues[is_cell]
        self._notify_settled(queue.fail(batch, now, retry_at, may_be_durable))
        self._send_next_batch(is_cell)

    def _notify_settled(self, appends: list[PendingAppend]) -> None:
        for append in appends:
            self.core.on_settled(append)

    def start_reading(self, stream: StreamName) -> None:
        """Start to poll a stream."""
        token = object()
        self._reader_tokens[stream] = token
        self.schedule(
            self.world.draw_message_delay_ms(), lambda: self._poll(stream, None, token)
        )

    def stop_reading(self, stream: StreamName) -> None:
        """Stop polling a stream."""
        self._reader_tokens.pop(stream, None)

    def _poll(self, stream: StreamName, position, token: object) -> None:
        if self._reader_tokens.get(stream) is not token:
            return
        world = self.world
        if not world.can_reach_log(self.name):
            delay = world.rng.randint(*RETRY_DELAY_RANGE_MS)
            self.schedule(delay, lambda: self._poll(stream, position, token))
            return
        if position is None:
            position = self._load_snapshot(stream)
        log_slice = world.log_.slice(stream, position, READ_LIMIT)
        if log_slice.start != position:
            world.faults_.counts["records forgotten unread"] += 1
            position = self._load_snapshot(stream)
            log_slice = world.log_.slice(stream, position, READ_LIMIT)
            if log_slice.start != position:
                detail = (
                    f"{stream} from {position}, the log begins at {log_slice.start}"
                )
                raise InvariantError(f"snapshots ahead of retention: {detail}")
        delay_ms = world.draw_log_delay_ms()
        self.schedule(delay_ms, lambda: self._on_read(stream, log_slice, token))

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

    def _on_read(self, stream: StreamName, log_slice, token: object) -> None:
        if self._reader_tokens.get(stream) is not token:
            return
        if stream == CELL_STREAM:
            self.core.on_cell_slice(log_slice if log_slice.records else None)
        elif log_slice.records:
            self.core.on_group_slice(group_of_stream(stream), log_slice)
        position = log_slice.start + len(log_slice.records)
        interval_ms = self.world.rng.randint(*POLL_INTERVAL_RANGE_MS)
        self.schedule(interval_ms, lambda: self._poll(stream, position, token))

    # Workers.

    def command(self, group: GroupName, view: WorkerView, batch: CommandBatch) -> None:
        """Send commands to a worker."""
        self.schedule(0, lambda: self._send_commands(group, view.id, batch))

    def _send_commands(
        self, group: GroupName, worker: InstanceId, batch: CommandBatch
    ) -> None:
        if not self.core.guard_.is_valid():
            exc = TransportError("the lease has expired", sent=False)
            self.core.on_answer(group, worker, batch, exc)
            return
        target = self.world.workers_[worker]
        has_answered = [False]

        def execute_batch() -> None:
            if target.is_disconnected:
                return
            answer = target.execute(batch)
            self.world.deliver(
                lambda: self.run_or_defer(lambda: deliver_answer(answer))
            )

        def deliver_answer(answer) -> None:
            if not has_answered[0]:
                has_answered[0] = True
                self.core.on_answer(group, worker, batch, answer)

        self.world.deliver(execute_batch)
        exc = TransportError("no answer before the timeout", sent=True)
        self.schedule(COMMAND_TIMEOUT_MS, lambda: deliver_answer(exc))

    def on_report(self, worker, report: WorkerReport) -> None:
        """Process a worker's report and send the reply."""
        try:
            reply = self.core.on_report(report)
        except NotHolderError:
            return
        self.world.deliver(lambda: worker.on_reply(reply, report))

    # Instance list of the platform, and peers.

    def _list_instances(self) -> None:
        if self.world.can_reach_log(self.name):
            self.core.on_instances(self.world.list_instances())

    def _query_summaries(self) -> None:
        self.core.own_summaries()
        for peer in list(self.world.entries_.values()):
            if peer is not self and not peer.is_frozen:
                self.core.on_summaries(peer.core.own_summaries())
