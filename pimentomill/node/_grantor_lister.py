"""List in the store of the entries that the leader asks for leases."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec

from ..control import Leader
from ..jobs import KeyedRecord
from ..replica import GRANTORS_KEY, Enrolments, Grantor, GrantorList, LeaseRequest
from ..telemetry import ComponentLogger
from ..utils import Epoch

__all__ = ["GrantorLister"]

LIST_INTERVAL_MS = 500
"""Milliseconds between two checks whether the list has to be stored."""

_log = ComponentLogger("authority")


class GrantorLister:
    """Stores the list while this entry leads, and applies what any leader has stored.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    address : str
        Address of this entry for other entries.
    grantor : Grantor
        Decides whether this entry may claim.
    enrolments : Enrolments
        Entries that may replace this one.
    """

    def __init__(
        self, incarnation: str, address: str, grantor: Grantor, enrolments: Enrolments
    ) -> None:
        self.incarnation = incarnation
        self.address = address
        self.grantor = grantor
        self.enrolments = enrolments
        self._listed: GrantorList | None = None

    def apply(self, value: bytes) -> None:
        """Apply the newest record of the list."""
        self.grantor.apply_list(None)
        try:
            listed = msgspec.msgpack.decode(value, type=GrantorList)
        except (msgspec.DecodeError, RecursionError) as exc:
            _log.warning(
                "Ignoring undecodable list of grantors", key=GRANTORS_KEY, why=str(exc)
            )
            return
        if listed.incarnation == self.incarnation:
            # An address that an earlier list lacks may be on the newest one.
            if listed == self._listed:
                self.enrolments.observe_list(listed.addresses)
        elif self.address in listed.addresses:
            self.grantor.apply_list(LeaseRequest(listed.epoch, listed.incarnation))

    def record_for_claim(self, epoch: Epoch, others: Mapping[str, str]) -> KeyedRecord:
        """Return the list to append together with a claim of this entry.

        Parameters
        ----------
        epoch : Epoch
            Epoch of the claim.
        others : mapping of str to str
            Addresses of the entries that may replace this one, by incarnation.
        """
        addresses = self.enrolments.begin_claim(others)
        self._listed = GrantorList(epoch, self.incarnation, addresses)
        _log.info("Grantors named", epoch=epoch, addresses=addresses)
        return KeyedRecord(GRANTORS_KEY, msgspec.msgpack.encode(self._listed))

    async def run(self, find_leader: Callable[[], Leader | None]) -> None:
        """Store each change of the list until cancelled.

        Parameters
        ----------
        find_leader : callable
            Returns the leader role of this entry, None while it does not lead.
        """
        while True:
            await asyncio.sleep(LIST_INTERVAL_MS / 1000)
            leader = find_leader()
            if leader is not None:
                self._store(leader)

    def _store(self, leader: Leader) -> None:
        """Store the list with the next batch of the leader if it has changed."""
        addresses = self.enrolments.listable()
        listed = GrantorList(leader.record.epoch, self.incarnation, addresses)
        if listed == self._listed:
            return
        self._listed = listed
        # Required before any entry can read the list.
        self.enrolments.begin_listing(addresses)
        leader.progress_writer.replace_extra_record(
            KeyedRecord(GRANTORS_KEY, msgspec.msgpack.encode(listed))
        )
        _log.info("Grantors listed", epoch=listed.epoch, addresses=addresses)
