"""Continuously updated replica of the newest records of a stream."""

import asyncio
from collections.abc import Callable

from ..exceptions import LogUnavailableError, RecordsForgottenError
from ..jobs import KeyedRecord
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant, wait_for_event
from ._ports import NewestPage, RecordStore, Slice

__all__ = ["Follower", "FollowerTiming"]

MAX_PUSHED_RECORDS = 2000
"""Number of pushed records held back for missing earlier ones, above which further
pushes are ignored. A read supplies them within a second, and a leader applies some
hundred records a second."""
NEVER = Instant(-(10**12))
FAILURE_LOG_MS = 1000
"""Milliseconds between two log lines about failed loads. Without a limit, a store that
rejects reads at once would fill the log."""

_log = ComponentLogger("replica")


class FollowerTiming:
    """Timing of a follower's reads.

    Parameters
    ----------
    wait_ms : int
        Long-poll timeout: milliseconds for which the store may delay a read until
        there is a new record.
    pause_ms : int
        Milliseconds between two reads, so that records come in batches.
    retry_ms : int
        Milliseconds to wait after a failed read.
    interval_ms : int
        Minimum milliseconds between the beginnings of two reads. Unlike a pause it
        does not add to the duration of slow reads.
    """

    def __init__(
        self, wait_ms: int, pause_ms: int, retry_ms: int = 100, interval_ms: int = 0
    ) -> None:
        self.wait_ms = wait_ms
        self.pause_ms = pause_ms
        self.retry_ms = retry_ms
        self.interval_ms = interval_ms


class _Load:
    """Progress of a load, which reads the newest record of every key page by page.

    A page that fails is requested again. The pages before it remain valid, because
    the replay begins at the end that the stream had when the first page was read.
    Records appended during the load are read between the pages, before the store
    drops them from its history.

    Attributes
    ----------
    started_at : Instant
        Time at which the load started.
    start, end : int
        End offset of the stream at the first page and at the last call.
    tail : list of KeyedRecord
        Records of the stream from `start` on, in order.
    after : str or None
        Key after which the next page begins.
    pages, records : int
        Numbers of pages and of their records that have been read.
    has_all_pages : bool
        Whether the last page has been read.
    """

    def __init__(self, started_at: Instant) -> None:
        self.started_at = started_at
        self.start = self.end = 0
        self.tail: list[KeyedRecord] = []
        self.after: str | None = None
        self.pages = 0
        self.records = 0
        self.has_all_pages = False

    @property
    def tail_end(self) -> int:
        """Offset after the last record of `tail`."""
        return self.start + len(self.tail)

    @property
    def is_complete(self) -> bool:
        """Whether all pages and the stream up to `end` have been read."""
        return self.has_all_pages and self.tail_end >= self.end

    def add_page(self, page: NewestPage) -> None:
        """Update the progress by a page that was read."""
        if self.pages == 0:
            self.start = page.end
        self.end = page.end
        self.pages += 1
        self.records += len(page.records)
        self.after = page.more_after
        self.has_all_pages = page.more_after is None

    def add_tail(self, part: Slice) -> None:
        """Append records of the stream that follow the known ones."""
        self.tail += part.records
        self.end = part.end


class Follower:
    """Replays one stream into a state held by the caller.

    Parameters
    ----------
    store : RecordStore
        Store that holds the stream.
    stream : str
        Name of the stream.
    apply : callable
        Called with each record, in order.
    on_reload : callable
        Called before all keys are read again.
    clock : Clock
        Source of time.
    timing : FollowerTiming
        Timing of the reads.
    on_change : callable
        Called after each batch of records.
    preload_after : str, default=None
        Key after which one page is read before the first load, for records that are
        needed while the rest is still being read.

    Attributes
    ----------
    current_as_of_ : Instant
        Latest time at which the stream was known to be no newer than the state.
    offset_ : int or None
        Offset up to which records have been applied; None before the first load.
    is_reachable_ : bool
        Whether the last read was answered.
    is_loaded_ : bool
        Whether all keys have been read at least once.
    record_offset_ : int
        Offset of the record being applied; for a record of a page, which has none, the
        last offset that the stream had when the page was read.
    """

    def __init__(
        self,
        store: RecordStore,
        stream: str,
        apply: Callable[[KeyedRecord], None],
        on_reload: Callable[[], None],
        clock: Clock,
        timing: FollowerTiming,
        on_change: Callable[[], None] = lambda: None,
        preload_after: str | None = None,
    ) -> None:
        self.store = store
        self.stream = stream
        self.apply = apply
        self.on_reload = on_reload
        self.clock = clock
        self.timing = timing
        self.on_change = on_change
        self.preload_after = preload_after
        self.current_as_of_ = NEVER
        self.offset_: int | None = None
        self.is_reachable_ = False
        self.is_loaded_ = False
        self.record_offset_ = -1
        self._is_long_polling = False
        self._wake = asyncio.Event()
        self._progress = asyncio.Condition()
        self._is_read_requested = False
        self._pushed: dict[int, KeyedRecord] = {}
        self._failure_logged_at = NEVER
        self._loading: _Load | None = None

    @property
    def has_been_current(self) -> bool:
        """Whether the state has ever been known to be current."""
        return self.current_as_of_ != NEVER

    def age_ms(self) -> int:
        """Return the milliseconds since the state was last known to be current."""
        return self.clock.now() - self.current_as_of_

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self._step()
                self._set_reachable(True, "")
            except RecordsForgottenError as exc:
                _log.warning(
                    "Store dropped unread records; reloading",
                    stream=self.stream,
                    why=str(exc),
                )
                self.offset_ = None
                self._loading = None
            except LogUnavailableError as exc:
                self._set_reachable(False, str(exc))
                await asyncio.sleep(self.timing.retry_ms / 1000)

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self.is_reachable_:
            return
        self.is_reachable_ = reachable
        if reachable:
            _log.info("Store reachable", stream=self.stream, offset=self.offset_)
        else:
            _log.warning("Store unreachable", stream=self.stream, why=reason)

    async def _step(self) -> None:
        if self.offset_ is None:
            await self._load()
            return
        wait_ms = 0 if self._is_read_requested else self.timing.wait_ms
        self._is_read_requested = False
        started_at = self.clock.now()
        self._is_long_polling = wait_ms > 0
        first = self.offset_
        try:
            part = await self.store.read(self.stream, first, wait_ms)
        finally:
            self._is_long_polling = False
        self._apply_slice(first, part, started_at)
        await self._notify_progress(bool(part.records))
        waited = wait_ms > 0 and not part.records
        if self.offset_ >= part.end and not waited:
            await self._pause(started_at)

    def _apply_slice(self, first: int, part: Slice, started_at: Instant) -> None:
        """Apply the result of a read that was sent at a time."""
        self._apply_from(first, part.records)
        self._apply_pushed()
        if self.offset_ >= part.end:
            # A read beside a long poll may have confirmed a later state before it ends.
            self.current_as_of_ = max(self.current_as_of_, started_at)

    async def read_now(self) -> None:
        """Read new records at once, beside a long poll that may be in progress.

        Does nothing during a load, which reads everything by itself.

        Raises
        ------
        LogUnavailableError
            If the store can't be read.
        RecordsForgottenError
            If the records have been dropped; `run` then reloads.
        """
        first = self.offset_
        if first is None:
            return
        started_at = self.clock.now()
        part = await self.store.read(self.stream, first, 0)
        if self.offset_ is None:
            return
        self._apply_slice(first, part, started_at)
        await self._notify_progress(bool(part.records))

    def push(self, first: int, records: list[KeyedRecord]) -> None:
        """Accept acknowledged records before a read returns them.

        A record is applied only when all records before it are known, so the state
        always matches a prefix of the stream, and records that another leader has
        written in between are never skipped.

        Parameters
        ----------
        first : int
            Offset of the first record.
        records : list of KeyedRecord
            Records at successive offsets.
        """
        if self.offset_ is None or len(self._pushed) > MAX_PUSHED_RECORDS:
            return
        self._pushed.update(enumerate(records, first))
        self._apply_pushed()

    def _apply(self, record: KeyedRecord) -> None:
        """Apply one record; one that causes an error is skipped.

        All entries replay the same records, so an error that ended the process would
        end each of them, again after every restart.
        """
        try:
            self.apply(record)
        except Exception as exc:
            _log.warning(
                "Record skipped: it can't be applied",
                stream=self.stream,
                key=record.key,
                size=len(record.value),
                why=f"{type(exc).__name__}: {exc}",
            )

    def _apply_from(self, first: int, records: list[KeyedRecord]) -> None:
        """Apply the records from an offset on that have not been applied yet."""
        for offset, record in enumerate(records, first):
            if offset == self.offset_:
                self.offset_ = offset + 1
                self.record_offset_ = offset
                self._apply(record)

    def _apply_pushed(self) -> None:
        """Apply the pushed records that follow the current offset without a gap."""
        while (record := self._pushed.pop(self.offset_, None)) is not None:
            self.record_offset_ = self.offset_
            self.offset_ += 1
            self._apply(record)
        for offset in [key for key in self._pushed if key < self.offset_]:
            del self._pushed[offset]

    async def _pause(self, started_at: Instant) -> None:
        """Pause so that records accumulate, unless a read has been requested.

        Parameters
        ----------
        started_at : Instant
            Time at which the latest read was sent.
        """
        interval_left_ms = started_at + self.timing.interval_ms - self.clock.now()
        pause_ms = max(self.timing.pause_ms, interval_left_ms)
        if pause_ms <= 0 or self._is_read_requested:
            return
        self._wake.clear()
        await wait_for_event(self._wake, pause_ms)

    async def _load(self) -> None:
        """Read the newest record of every key."""
        load = self._loading or _Load(self.clock.now())
        started_at = self.clock.now()
        try:
            if not self.is_loaded_ and load.pages == 0:
                await self._preload()
            while not load.is_complete:
                if not load.has_all_pages:
                    await self._load_page(load)
                if not load.is_complete:
                    load.add_tail(await self.store.read(self.stream, load.tail_end, 0))
        except LogUnavailableError as exc:
            self._log_failed_load(load, str(exc))
            raise
        self._loading = None
        self.is_loaded_ = True
        # Pages are not a snapshot: the state is current only after the records
        # appended while they were read have been replayed.
        self.offset_ = load.start
        self._apply_from(load.start, load.tail)
        self._apply_pushed()
        self.current_as_of_ = started_at
        _log.info(
            "Stream loaded",
            stream=self.stream,
            offset=load.start,
            pages=load.pages,
            records=load.records,
            took_ms=self.clock.now() - load.started_at,
        )
        await self._notify_progress(True)

    async def _load_page(self, load: _Load) -> None:
        page = await self.store.newest(self.stream, load.after)
        if load.pages == 0:
            self.on_reload()
            self._loading = load
        self.record_offset_ = page.end - 1
        for record in page.records:
            self._apply(record)
        load.add_page(page)

    async def _preload(self) -> None:
        """Apply the preloaded page; the load applies its records again."""
        if self.preload_after is not None:
            page = await self.store.newest(self.stream, self.preload_after)
            for record in page.records:
                self._apply(record)

    def _log_failed_load(self, load: _Load, reason: str) -> None:
        now = self.clock.now()
        if now - self._failure_logged_at < FAILURE_LOG_MS:
            return
        self._failure_logged_at = now
        _log.warning(
            "Loading the stream failed",
            stream=self.stream,
            pages=load.pages,
            took_ms=now - load.started_at,
            why=reason,
        )

    async def _notify_progress(self, changed: bool) -> None:
        if changed:
            self.on_change()
        async with self._progress:
            self._progress.notify_all()

    async def wait_loaded(self) -> None:
        """Wait until all keys have been read at least once."""
        async with self._progress:
            await self._progress.wait_for(lambda: self.is_loaded_)

    def request_read(self) -> None:
        """Start the next read as soon as possible and without a long poll."""
        self._is_read_requested = True
        self._wake.set()

    async def refresh(self, limit_ms: int) -> None:
        """Wait for the newest records, up to a limit.

        Returns at once during a long poll, which delivers new records by itself, and
        while the store is unreachable.

        Parameters
        ----------
        limit_ms : int
            Maximum wait in milliseconds.
        """
        if self.is_reachable_ and not self._is_long_polling:
            await self.wait_current(Instant(self.clock.now() + limit_ms))

    async def confirm(self, limit_ms: int) -> bool:
        """Read up to the present end of the stream, also beside a long poll.

        Parameters
        ----------
        limit_ms : int
            Maximum wait in milliseconds.

        Returns
        -------
        bool
            Whether the state is at least as new as the stream was at the call.
        """
        requested_at = self.clock.now()
        if not self._is_long_polling:
            return await self.wait_current(Instant(requested_at + limit_ms))
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self.read_now()
        except (TimeoutError, LogUnavailableError, RecordsForgottenError):
            return False
        return self.current_as_of_ >= requested_at

    async def wait_current(self, deadline: Instant) -> bool:
        """Wait until the state is at least as new as the stream is now.

        Parameters
        ----------
        deadline : Instant
            Time at which to give up.

        Returns
        -------
        bool
            Whether the state is current.
        """
        requested_at = self.clock.now()
        # A read that started in the same millisecond may precede this call.
        while self.current_as_of_ <= requested_at:
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                return False
            self.request_read()
            if not await self._wait_progress(remaining):
                return False
        return True

    async def _wait_progress(self, limit_ms: int) -> bool:
        try:
            async with asyncio.timeout(limit_ms / 1000), self._progress:
                await self._progress.wait()
        except TimeoutError:
            return False
        return True
