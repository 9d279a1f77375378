"""Requests of the leader for leases of the other entries."""

import asyncio

from ..links import LeaseOutcome, LeaseQuery, LinkClient
from ..replica import Enrolments, LeaseRequest
from ..telemetry import ComponentLogger
from ..utils import Instant

__all__ = ["GrantCollector"]

_log = ComponentLogger("authority")


class GrantCollector:
    """Asks each entry that may claim for a lease.

    Parameters
    ----------
    req : LeaseRequest
        Request of this leader.
    enrolments : Enrolments
        Entries that may replace this leader.
    links : LinkClient
        Client for calls to these entries.
    """

    def __init__(
        self, req: LeaseRequest, enrolments: Enrolments, links: LinkClient
    ) -> None:
        self.req = req
        self.enrolments = enrolments
        self.links = links
        self._had_grants = True

    async def collect(self, stored_at: Instant) -> bool:
        """Return whether each entry that may have claimed since a time grants a lease.

        Parameters
        ----------
        stored_at : Instant
            Latest time at which the store has shown that no other entry led.
        """
        requested_at = self.enrolments.clock.now()
        required = self.enrolments.required(stored_at)
        outcomes = await asyncio.gather(
            *(
                self._ask(self.enrolments.grantor_of(name), address)
                for name, address in required.items()
            )
        )
        for name, outcome in zip(required, outcomes, strict=True):
            if outcome is LeaseOutcome.GRANTED:
                self.enrolments.record_grant(name, requested_at)
            elif outcome is LeaseOutcome.ENDED:
                self.enrolments.record_end(name, requested_at)
        answers = dict(zip(required, outcomes, strict=True))
        missing = {
            name: answers[name].value if name in answers else "not asked yet"
            for name in self.enrolments.ungranted(required, requested_at, stored_at)
        }
        has_grants = not missing
        if has_grants != self._had_grants:
            self._had_grants = has_grants
            _log.info(
                "All entries grant leases" if has_grants else "Entries grant no lease",
                epoch=self.req.epoch,
                asked=len(required),
                missing=missing,
            )
        return has_grants

    async def _ask(self, grantor: str, address: str) -> LeaseOutcome:
        query = LeaseQuery(self.req.epoch, self.req.incarnation, grantor)
        return await self.links.request_lease(address, query)
