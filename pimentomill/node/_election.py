"""Leader election among the entries of the cell."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from ..control import LEADER_WRITER, WORK_STREAM
from ..exceptions import (
    AppendUnknownError,
    FencedError,
    LogUnavailableError,
    OutOfSequenceError,
)
from ..jobs import KeyedRecord
from ..links import LinkClient, Watcher, WatchOutcome
from ..overload import LoadReport
from ..replica import (
    LEADER_KEY,
    MAX_EPOCH,
    Follower,
    Grantor,
    LeaderRecord,
    LeaderWatch,
    LeaseRequest,
    LinkView,
    RecordStore,
    Writer,
)
from ..telemetry import ComponentLogger
from ..utils import Clock, Epoch, Instant, wait_for_event
from ._members import Members

__all__ = ["Candidate", "Claim"]

FIRST_SEQUENCE_SPAN = 1 << 30
"""Range of the random first sequence number of a claim, so that two claims differ."""
ELECTION_TICK_MS = 60
"""Milliseconds between two checks of a leader that may be lost."""
MAX_SUSPICION_AGE_MS = 250
"""Age of the stream's copy, in milliseconds, above which an entry that suspects the
leader reads again instead of waiting for its next read."""
CALM_TICK_MS = 200
"""Milliseconds between two checks of a leader that is heard on the direct link. An end
or a resignation of the leader triggers a check at once."""
WATCH_RETRY_MS = 150
"""Milliseconds before the next watch of a leader if one ended sooner than this."""
CLAIM_TIMEOUT_MS = 1500
"""Maximum milliseconds to wait until the replay includes a claim."""

_log = ComponentLogger("node")


class Claim(NamedTuple):
    """A claim of an epoch.

    Parameters
    ----------
    sequence : int
        Sequence number of its append.
    sent_at : Instant
        Time at which it was sent for the first time.
    records : tuple of KeyedRecord
        Records of its append.
    """

    sequence: int
    sent_at: Instant
    records: tuple[KeyedRecord, ...] = ()


class Candidate:
    """Watches the leader and claims the next epoch when the leader is lost.

    Parameters
    ----------
    record : LeaderRecord
        Leader record of this entry; its epoch is replaced by the claimed one.
    store : RecordStore
        Store to which claims are appended.
    work : Follower
        Replay of the stream that holds the claims.
    watch : LeaderWatch
        State of the leader, by its heartbeats.
    members : Members
        The other entries.
    links : LinkClient
        Client for calls to the other entries.
    clock : Clock
        Source of time.
    can_lead : callable
        Returns whether this entry is able to lead now.
    lead : callable
        Leads until another leader takes over; called with the epoch and the claim.
    suspicion_age_ms : int, default=250
        Age of the replay, in milliseconds, above which it is brought up to date while
        the leader may be lost.
    on_load_report : callable, default=None
        Called with the load reports of the leader; None to ignore them.
    grantor : Grantor, default=None
        Decides whether this entry may replace a leader that may still act; None if it
        always may.
    address : str, default=""
        Address of this entry for other entries.
    list_grantors : callable, default=None
        Returns the record, to be stored together with a claim of an epoch, of the
        entries that this one asks for leases once it leads; called with the epoch and
        their addresses by incarnation. None if no entry is asked.
    """

    def __init__(
        self,
        record: LeaderRecord,
        store: RecordStore,
        work: Follower,
        watch: LeaderWatch,
        members: Members,
        links: LinkClient,
        clock: Clock,
        can_lead: Callable[[], bool],
        lead: Callable[[Epoch, Claim], Awaitable[None]],
        suspicion_age_ms: int = MAX_SUSPICION_AGE_MS,
        on_load_report: Callable[[LoadReport], None] | None = None,
        grantor: Grantor | None = None,
        address: str = "",
        list_grantors: Callable[[Epoch, dict[str, str]], KeyedRecord] | None = None,
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
        self.suspicion_age_ms = suspicion_age_ms
        self.on_load_report = on_load_report
        self.grantor = grantor
        self.list_grantors = list_grantors
        self.watcher = Watcher(record.incarnation, address)
        self._claims: dict[Epoch, Claim] = {}
        self._is_held_back = False
        self._led_epoch = 0
        self._rejected_epoch = 0

    async def run(self) -> None:
        """Watch the leader and take part in elections until cancelled.

        Other entries must be able to connect to this one by now.
        """
        if self.grantor is not None:
            self.grantor.record_reachable()
        await asyncio.gather(self._watch_leader(), self._elect())

    async def _watch_leader(self) -> None:
        """Detect at once that the leader's process has ended or is silent."""
        while True:
            await asyncio.sleep(ELECTION_TICK_MS / 1000)
            record = self.watch.record_
            if record is None or record.incarnation == self.record.incarnation:
                continue
            if record.node == self.record.node:
                self.watch.observe_end(record.incarnation)
                continue
            address = self.members.address_of(record.node)
            if address is None or record.resigned:
                continue
            started_at = self.clock.now()
            await self._watch_incarnation(record, address)
            if self.clock.now() - started_at < WATCH_RETRY_MS:
                await asyncio.sleep(WATCH_RETRY_MS / 1000)

    async def _watch_incarnation(self, record: LeaderRecord, address: str) -> None:
        incarnation = record.incarnation
        requested_at = self.clock.now()
        status = await self.links.watch_incarnation(
            address,
            incarnation,
            lambda writes: self._on_heartbeat(incarnation, writes, requested_at),
            self.on_load_report,
            self.watcher,
        )
        if status is WatchOutcome.ENDED:
            self.watch.observe_end(incarnation)
        elif status is WatchOutcome.TIMED_OUT:
            self.watch.observe_link(incarnation, LinkView.SILENT)
        else:
            self.watch.observe_link(incarnation, LinkView.UNKNOWN)
            # A leader that resigns closes the watch.
            self.work.request_read()
        if status is not WatchOutcome.INCONCLUSIVE:
            _log.info(
                "Leader not heard on the direct link",
                leader=record.node,
                sign=status.value,
            )

    def _on_heartbeat(
        self, incarnation: str, writes: bool, requested_at: Instant
    ) -> None:
        if self.grantor is not None:
            self.grantor.enrol(incarnation, requested_at)
        view = LinkView.HEALTHY if writes else LinkView.NOT_WRITING
        self.watch.observe_link(incarnation, view)

    async def _elect(self) -> None:
        while True:
            await self._pause()
            if not self.can_lead():
                continue
            epoch = self.watch.epoch
            if self.watch.is_leader() and epoch > self._led_epoch:
                await self._lead(epoch)
            elif (
                self.watch.should_claim(self.work.current_as_of_, self.members.rivals())
                and self._may_claim()
            ):
                await self._claim(self._next_epoch())

    def _next_epoch(self) -> Epoch:
        """Return the epoch to claim.

        If another writer has left an unreadable value under the leader's key, the epoch
        of the last leader can't be read, so the epochs that are tried grow until the
        store accepts one.
        """
        epoch = self.watch.epoch + 1
        if not self.watch.is_newest_readable_:
            epoch = max(epoch, min(2 * self._rejected_epoch, MAX_EPOCH))
        return Epoch(epoch)

    def _may_claim(self) -> bool:
        """Return whether the leader on record may be replaced; log a change."""
        if self.grantor is None:
            return True
        may_claim = self._is_claim_allowed(self.grantor)
        if may_claim == self._is_held_back:
            self._is_held_back = not may_claim
            record = self.watch.record_
            _log.info(
                "Claim is held back"
                if self._is_held_back
                else "Claim is allowed again",
                leader=record.node if record is not None else "",
                epoch=self.watch.epoch,
                silent_ms=self._silence_ms(),
                why=self.grantor.describe(),
            )
        return may_claim

    def _is_claim_allowed(self, grantor: Grantor) -> bool:
        if grantor.has_granted_beyond(self.watch.epoch):
            return False
        record = self.watch.record_
        if record is None or not self.watch.may_still_act():
            return True
        leader = LeaseRequest(record.epoch, record.incarnation)
        return grantor.may_claim(leader, self._silence_ms(), self.work.age_ms())

    def _silence_ms(self) -> int:
        return self.work.current_as_of_ - self.watch.heartbeat_at_

    async def _pause(self) -> None:
        """Wait until the next check of the leader is due."""
        if self.watch.is_suspected(self.work.current_as_of_):
            await self._wait_for_change()
        else:
            self.watch.changed.clear()
            await wait_for_event(self.watch.changed, CALM_TICK_MS)

    async def _wait_for_change(self) -> None:
        """Wait briefly for news of the leader, and read the stream if it is old."""
        if self.work.age_ms() > self.suspicion_age_ms:
            self.work.request_read()
        self.watch.changed.clear()
        await wait_for_event(self.watch.changed, ELECTION_TICK_MS)

    async def _lead(self, epoch: Epoch) -> None:
        self._led_epoch = epoch
        claim = self._claims.get(epoch)
        if claim is not None:
            await self.lead(epoch, claim)

    async def _claim(self, epoch: Epoch) -> None:
        """Try to become the leader of an epoch."""
        # A claim whose answer was lost is retried as it was, so that the store
        # recognizes it and names the entries that are asked.
        claim = self._claims.get(epoch)
        if claim is None:
            claim = self._claims[epoch] = self._make_claim(epoch)
        if self.grantor is not None:
            self.grantor.record_claim(epoch)
        silent_ms = self.clock.now() - self.watch.seen_at_
        _log.info("Claiming leadership", epoch=epoch, silent_ms=silent_ms)
        try:
            await self.store.append(
                WORK_STREAM,
                list(claim.records),
                Writer(LEADER_WRITER, epoch, claim.sequence),
            )
        except (FencedError, OutOfSequenceError) as exc:
            _log.info("Leadership claim rejected", epoch=epoch, why=str(exc))
            await self._wait_for_winner(epoch)
            return
        except LogUnavailableError as exc:
            _log.warning("Leadership claim failed", epoch=epoch, why=str(exc))
            return
        except AppendUnknownError as exc:
            _log.warning(
                "Outcome of leadership claim unknown", epoch=epoch, why=str(exc)
            )
        deadline = Instant(self.clock.now() + CLAIM_TIMEOUT_MS)
        await self.work.wait_current(deadline)

    def _make_claim(self, epoch: Epoch) -> Claim:
        """Return a claim that names the other live entries.

        They may replace this entry if it is lost before any of them has enrolled. The
        latest leaders are left out: most have ended, and could grant no lease.
        """
        record = msgspec.structs.replace(self.record, epoch=epoch)
        records = [KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(record))]
        if self.list_grantors is not None:
            others = {
                member.incarnation: member.address
                for member in self.members.live_others()
                if not self.watch.has_led(member.incarnation)
            }
            records.append(self.list_grantors(epoch, others))
        sequence = secrets.randbelow(FIRST_SEQUENCE_SPAN)
        return Claim(sequence, self.clock.now(), tuple(records))

    async def _wait_for_winner(self, epoch: Epoch) -> None:
        """Wait until the claim that has won an epoch can be read.

        The store has accepted it, but a slow store shows it seconds later. To claim
        again meanwhile would only delay it.
        """
        deadline = Instant(self.clock.now() + CLAIM_TIMEOUT_MS)
        if await self._is_last_epoch_hidden(deadline):
            self._rejected_epoch = epoch
            return
        while self.watch.epoch < epoch and self.clock.now() < deadline:
            await self._wait_for_change()

    async def _is_last_epoch_hidden(self, deadline: Instant) -> bool:
        """Return whether an unreadable value hides the epoch of the last leader."""
        if self.watch.is_newest_readable_:
            return False
        # A claim that has won by now is included in what is read from now on.
        is_current = await self.work.wait_current(deadline)
        return is_current and not self.watch.is_newest_readable_
