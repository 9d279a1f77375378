"""Interface to the platform's store."""

from typing import NamedTuple, Protocol

from ..jobs import KeyedRecord

__all__ = ["AppendPosition", "NewestPage", "RecordStore", "Slice", "Writer"]


class Writer(NamedTuple):
    """Identity of a writer, which the store fences off by a higher epoch.

    Parameters
    ----------
    name : str
        Name shared by successive writers.
    epoch : int
        Fencing token.
    sequence : int
        Sequence number of the append, one more than that of the writer's last one.
    """

    name: str
    epoch: int
    sequence: int


class AppendPosition(NamedTuple):
    """Position of an append in its stream.

    Parameters
    ----------
    first, end : int
        Offset of its first record, and the offset after the stream's last record.
    """

    first: int
    end: int


class Slice(NamedTuple):
    """Consecutive records of a stream.

    Parameters
    ----------
    records : list of KeyedRecord
        Records from the requested offset on.
    next_offset : int
        Offset after the last of them.
    end : int
        Offset after the stream's last record when it was read.
    """

    records: list[KeyedRecord]
    next_offset: int
    end: int


class NewestPage(NamedTuple):
    """Page of the newest records of keys.

    Parameters
    ----------
    records : list of KeyedRecord
        Newest record of each key of the page.
    more_after : str or None
        Key after which the next page begins; None after the last page.
    end : int
        Offset after the stream's last record when the page was read.
    """

    records: list[KeyedRecord]
    more_after: str | None
    end: int


class RecordStore(Protocol):
    """Streams of keyed records; the newest record of each key is kept forever."""

    async def append(
        self, stream: str, records: list[KeyedRecord], writer: Writer | None = None
    ) -> AppendPosition:
        """Append records atomically.

        Raises
        ------
        LogUnavailableError
            If none of the records is durable.
        AppendUnknownError
            If the append may or may not have taken effect, now or later.
        FencedError
            If a writer of a higher epoch has taken over.
        OutOfSequenceError
            If the writer's sequence number does not follow its last one.
        """

    async def read(self, stream: str, offset: int, wait_ms: int) -> Slice:
        """Return records from an offset on, waiting up to `wait_ms` for the first.

        Raises
        ------
        LogUnavailableError
            If the store can't be reached or rejects the read.
        RecordsForgottenError
            If the records at the offset have been dropped.
        """

    async def newest(self, stream: str, after: str | None) -> NewestPage:
        """Return a page of the newest records of all keys.

        Raises
        ------
        LogUnavailableError
            If the store can't be reached or rejects the read.
        """
