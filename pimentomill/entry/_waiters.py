"""Futures for the outcome of appended records."""

from concurrent.futures import Future

import msgspec

from ..exceptions import AppendUnknownError, ConflictError, LogUnavailableError
from ..journal import AppendState, AppliedRecord, PendingAppend

__all__ = ["AppendWaiters", "FoldWaiters"]


class AppendWaiters:
    """Futures that resolve when the log confirms their records."""

    def __init__(self) -> None:
        self._waiting: dict[int, tuple[PendingAppend, Future]] = {}

    def add(self, item: PendingAppend) -> Future:
        """Return a future that resolves when the record is settled.

        Parameters
        ----------
        item : PendingAppend
            A record queued for the log.

        Returns
        -------
        Future
            Resolves to None if the record is durable. Fails with
            `LogUnavailableError` if it was certainly not appended, and with
            `AppendUnknownError` if its outcome is unknown.
        """
        fut: Future = Future()
        self._waiting[id(item)] = (item, fut)
        return fut

    def settle(self, item: PendingAppend) -> None:
        """Resolve the future of a settled record."""
        waiting = self._waiting.pop(id(item), None)
        if waiting is None:
            return
        _resolve(waiting[1], item)


class FoldWaiters:
    """Futures that resolve when own records of the cell's stream are applied."""

    def __init__(self) -> None:
        self._waiting: list[_FoldWaiter] = []

    def add(self, item: PendingAppend) -> Future:
        """Return a future that resolves to the record's `AppliedRecord`.

        Notes
        -----
        It fails with `ConflictError` if the record is rejected when it is applied,
        and with `LogUnavailableError` once a later record of this writer is applied
        without it, which proves that it will never take effect.
        """
        fut: Future = Future()
        self._waiting.append(_FoldWaiter(item, fut))
        return fut

    def settle(self, item: PendingAppend) -> None:
        """Resolve the future of a record that was certainly not appended."""
        if item.state is not AppendState.NOT_APPENDED:
            return
        for waiter in [w for w in self._waiting if w.item is item]:
            self._waiting.remove(waiter)
            _resolve(waiter.fut, item)

    def observe_applied(self, applied: AppliedRecord) -> None:
        """Resolve the futures that an applied record of this writer decides."""
        decided = [w for w in self._waiting if 0 < w.item.seq <= applied.seq]
        for waiter in decided:
            self._waiting.remove(waiter)
            if waiter.item.seq < applied.seq:
                exc = LogUnavailableError("the record was not appended")
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
            AppendUnknownError("the log's response was lost; query the outcome later")
        )
