"""What the system asks of the platform's store."""

from typing import NamedTuple, Protocol

from ..jobs import KeyedRecord

__all__ = ["Appended", "NewestPage", "RecordStore", "Slice", "Writer"]


class Writer(NamedTuple):
    """Stamp of a writer that a higher epoch shuts out.

    Parameters
    ----------
    name : str
        Name that successive writers share.
    epoch : int
        Fencing token.
    sequence : int
        Number of the append, one more than the writer's last.
    """

    name: str
    epoch: int
    sequence: int


class Appended(NamedTuple):
    """Where an append lies.

    Parameters
    ----------
    first, end : int
        Offset of its first record, and the one after the stream's last.
    """

    first: int
    end: int


class Slice(NamedTuple):
    """Records of a stream, in order.

    Parameters
    ----------
    records : list of KeyedRecord
        Records from the offset that was asked for.
    next_offset : int
        Offset after the last of them.
    end : int
        Offset after the stream's last record when it was read.
    """

    records: list[KeyedRecord]
    next_offset: int
    end: int


class NewestPage(NamedTuple):
    """Newest records of some keys.

    Parameters
    ----------
    records : list of KeyedRecord
        Records.
    more_after : str or None
        Key after which the next page begins; None after the last page.
    end : int
        End of the stream when the page was read.
    """

    records: list[KeyedRecord]
    more_after: str | None
    end: int


class RecordStore(Protocol):
    """Streams of keyed records, of which the newest a key is kept for good."""

    async def append(
        self, stream: str, records: list[KeyedRecord], writer: Writer | None = None
    ) -> Appended:
        """Add records, all or none.

        Raises
        ------
        LogUnavailableError
            If nothing was kept.
        AppendUnknownError
            If the append may or may not have taken effect, now or later.
        FencedError
            If a writer of a higher epoch has taken over.
        OutOfSequenceError
            If the writer's sequence number does not follow its last one.
        """

    async def read(self, stream: str, offset: int, wait_ms: int) -> Slice:
        """Return records from an offset on, waiting for the first.

        Raises
        ------
        LogUnavailableError
            If the store can't be reached or refuses.
        RecordsForgottenError
            If the records at the offset have been dropped.
        """

    async def newest(self, stream: str, after: str | None) -> NewestPage:
        """Return a page of the newest records of all keys.

        Raises
        ------
        LogUnavailableError
            If the store can't be reached or refuses.
        """
