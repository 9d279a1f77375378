"""Stands for election when the leader is lost."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable

import msgspec

from ..control import LEADER_WRITER, WORK_STREAM
from ..exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    OutOfSequenceError,
)
from ..jobs import KeyedRecord
from ..links import EntryLinks, LifeSign
from ..replica import (
    LEADER_KEY,
    Follower,
    LeaderRecord,
    LeaderWatch,
    LinkView,
    RecordStore,
    Writer,
)
from ..telemetry import PartLog
from ..utils import Clock, Epoch, Instant
from ._members import Members

__all__ = ["Candidate"]

FIRST_SEQUENCE_SPAN = 1 << 30
"""Range of a claim's first sequence number: two claims must not look alike."""
ELECTION_TICK_MS = 60
"""Milliseconds between two looks at the leader."""
WATCH_RETRY_MS = 150
"""Milliseconds between two watches of a leader that end at once."""
CLAIM_TIMEOUT_MS = 1500
"""Milliseconds to wait until a claim shows in the replay."""

_log = PartLog("node")


class Candidate:
    """Watches the leader, and claims the next epoch when it is lost.

    Parameters
    ----------
    record : LeaderRecord
        Sign of this entry, under whichever epoch it will claim.
    store : RecordStore
        Where claims are made.
    work : Follower
        Replay in which claims show.
    watch : LeaderWatch
        Signs of the leader.
    members : Members
        The other entries.
    links : EntryLinks
        Calls to them.
    clock : Clock
        Source of time.
    can_lead : callable
        Returns whether this entry could lead now.
    lead : callable
        Leads under an epoch until another leader takes over; gets the epoch and the
        sequence number of the claim.
    """

    def __init__(
        self,
        record: LeaderRecord,
        store: RecordStore,
        work: Follower,
        watch: LeaderWatch,
        members: Members,
        links: EntryLinks,
        clock: Clock,
        can_lead: Callable[[], bool],
        lead: Callable[[Epoch, int], Awaitable[None]],
    ) -> None:
        self.record = record
        self.store = store
        self.work = work
        self.watch = watch
        self.members = members
        self.links = links
        self.clock = clock
        self.can_lead = can_lead
        self.lead = lead
        self._claims: dict[int, int] = {}
        self._led_epoch = 0

    async def run(self) -> None:
        """Watch and stand for election until cancelled."""
        await asyncio.gather(self._watch_leader(), self._elect())

    async def _watch_leader(self) -> None:
        """Notice at once when the leader's process has ended, or falls silent."""
        while True:
            await asyncio.sleep(ELECTION_TICK_MS / 1000)
            record = self.watch.record_
            if record is None or record.incarnation == self.record.incarnation:
                continue
            if record.node == self.record.node:
                self.watch.note_ended(record.incarnation)
                continue
            address = self.members.address_of(record.node)
            if address is None or record.resigned:
                continue
            began = self.clock.now()
            await self._watch_incarnation(record, address)
            if self.clock.now() - began < WATCH_RETRY_MS:
                await asyncio.sleep(WATCH_RETRY_MS / 1000)

    async def _watch_incarnation(self, record: LeaderRecord, address: str) -> None:
        incarnation = record.incarnation
        status = await self.links.watch_life(
            address, incarnation, lambda writes: self._on_heartbeat(incarnation, writes)
        )
        if status is LifeSign.GONE:
            self.watch.note_ended(incarnation)
        elif status is LifeSign.SILENT:
            self.watch.note_link(incarnation, LinkView.SILENT)
        else:
            self.watch.note_link(incarnation, LinkView.UNKNOWN)
            # A leader that resigns ends the watch.
            self.work.request_read()
        if status is not LifeSign.OPEN:
            _log.info("Leader not heard", leader=record.node, sign=status.value)

    def _on_heartbeat(self, incarnation: str, writes: bool) -> None:
        view = LinkView.HEALTHY if writes else LinkView.NOT_WRITING
        self.watch.note_link(incarnation, view)

    async def _elect(self) -> None:
        while True:
            await asyncio.sleep(ELECTION_TICK_MS / 1000)
            if not self.can_lead():
                continue
            epoch = self.watch.epoch
            if self.watch.is_leader() and epoch > self._led_epoch:
                await self._lead(epoch)
            elif self.watch.should_claim(
                self.work.current_as_of_, self.members.rivals()
            ):
                await self._claim(Epoch(epoch + 1))

    async def _lead(self, epoch: Epoch) -> None:
        self._led_epoch = epoch
        sequence = self._claims.get(epoch)
        if sequence is not None:
            await self.lead(epoch, sequence)

    async def _claim(self, epoch: Epoch) -> None:
        """Try to become the leader of an epoch."""
        # A claim whose answer was lost is repeated as it was, so that the store
        # knows it again.
        sequence = self._claims.setdefault(
            epoch, secrets.randbelow(FIRST_SEQUENCE_SPAN)
        )
        record = msgspec.structs.replace(self.record, epoch=epoch)
        silent_ms = self.clock.now() - self.watch.seen_at_
        _log.info("Claims", epoch=epoch, silent_ms=silent_ms)
        try:
            await self.store.append(
                WORK_STREAM,
                [KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(record))],
                Writer(LEADER_WRITER, epoch, sequence),
            )
        except (FencedError, OutOfSequenceError) as exc:
            _log.info("Claim lost", epoch=epoch, why=str(exc))
        except LogUnavailableError as exc:
            _log.warning("Claim not made", epoch=epoch, why=str(exc))
            return
        except AppendUnknownError as exc:
            _log.warning("Claim in doubt", epoch=epoch, why=str(exc))
        deadline = Instant(self.clock.now() + CLAIM_TIMEOUT_MS)
        await self.work.wait_current(deadline)
