"""Callers that wait for the fate of a record."""

from concurrent.futures import Future

import msgspec

from ..exceptions import AppendUnknownError, ConflictError, LogUnavailableError
from ..journal import AppendState, AppliedRecord, PendingAppend

__all__ = ["AppendWaiters", "FoldWaiters"]


class AppendWaiters:
    """Wait until the log has confirmed records."""

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[PendingAppend, Future]] = {}

    def add(self, item: PendingAppend) -> Future:
        """Return a future that ends when the record is settled.

        Parameters
        ----------
        item : PendingAppend
            A record handed to the log.

        Returns
        -------
        Future
            Ends with None if the record was kept, with
            `LogUnavailableError` if it was surely not, and with
            `AppendUnknownError` if that is open.
        """
        fut: Future = Future()
        self._waiting[id(item)] = (item, fut)
        return fut

    def settle(self, item: PendingAppend) -> None:
        """End the future of a settled record."""
        waiting = self._waiting.pop(id(item), None)
        if waiting is None:
            return
        _resolve(waiting[1], item)


class FoldWaiters:
    """Wait until own records of the cell's stream have been folded."""

    def __init__(self) -> None:
        self._waiting: list[_FoldWaiter] = []

    def add(self, item: PendingAppend) -> Future:
        """Return a future that ends with the record's `AppliedRecord`.

        Notes
        -----
        It ends with `ConflictError` if the fold refused the record, and with
        `LogUnavailableError` once a later record of this writer was folded
        without it, which proves that it will never count.
        """
        fut: Future = Future()
        self._waiting.append(_FoldWaiter(item, fut))
        return fut

    def settle(self, item: PendingAppend) -> None:
        """End the future of a record that was surely not kept."""
        if item.state is not AppendState.NOT_APPENDED:
            return
        for waiter in [w for w in self._waiting if w.item is item]:
            self._waiting.remove(waiter)
            _resolve(waiter.fut, item)

    def note_applied(self, applied: AppliedRecord) -> None:
        """End the futures that a folded record of this writer decides."""
        decided = [w for w in self._waiting if 0 < w.item.seq <= applied.seq]
        for waiter in decided:
            self._waiting.remove(waiter)
            if waiter.item.seq < applied.seq:
                exc = LogUnavailableError("the record was not kept")
                waiter.fut.set_exception(exc)
            elif applied.refusal:
                waiter.fut.set_exception(ConflictError(applied.refusal))
            else:
                waiter.fut.set_result(applied)


class _FoldWaiter(msgspec.Struct):
    item: PendingAppend
    fut: Future


def _resolve(fut: Future, item: PendingAppend) -> None:
    if item.state is AppendState.DURABLE:
        fut.set_result(None)
    elif item.state is AppendState.NOT_APPENDED:
        fut.set_exception(LogUnavailableError("the log could not be reached in time"))
    else:
        fut.set_exception(
            AppendUnknownError("the log's answer was lost; ask for the outcome later")
        )
