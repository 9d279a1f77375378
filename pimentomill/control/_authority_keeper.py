"""Keeps the authority of the leader proven while the store can't be reached."""

import asyncio
from collections.abc import Awaitable, Callable

from ..replica import Authority
from ..telemetry import ComponentLogger
from ..utils import Clock, Instant

__all__ = ["AuthorityKeeper", "GrantRound"]

CHECK_INTERVAL_MS = 100
"""Pause between two checks of the age of the latest proof."""
GRANT_ROUND_AGE_MS = 1000
"""Age of the latest proof from which the other entries are asked for leases. Appends
and reads prove the authority each 0.4 s; a round takes 0.3 s at most."""

GrantRound = Callable[[Instant], Awaitable[bool]]

_log = ComponentLogger("authority")


class AuthorityKeeper:
    """Asks the other entries for leases, and records changes of the authority.

    Parameters
    ----------
    authority : Authority
        Proofs that the leader has not been replaced.
    grant_round : callable or None
        Called with the time of the latest proof by the store; returns whether each
        entry that may claim has granted a lease. None if no entry is asked.
    clock : Clock
        Source of time.
    on_regained : callable
        Called when the leader may act again.
    """

    def __init__(
        self,
        authority: Authority,
        grant_round: GrantRound | None,
        clock: Clock,
        on_regained: Callable[[], None],
    ) -> None:
        self.authority = authority
        self.grant_round = grant_round
        self.clock = clock
        self.on_regained = on_regained
        self._was_valid = True

    def stop_rounds(self) -> None:
        """Ask for no more leases: other entries may claim after a resignation."""
        self.grant_round = None

    async def run(self) -> str:
        """Return the reason once the leader has to step down."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            now = self.clock.now()
            self._record_change(now)
            if self.authority.has_lapsed(now):
                return f"no append for {now - self.authority.appended_at_} ms"
            if self.authority.age_ms(now) >= GRANT_ROUND_AGE_MS:
                await self._ask()

    async def _ask(self) -> None:
        if self.grant_round is None:
            return
        requested_at = self.clock.now()
        has_grants = await self.grant_round(self.authority.stored_at_)
        # A round that a resignation has overtaken proves nothing after it.
        if has_grants and self.grant_round is not None:
            self.authority.prove_by_grants(requested_at, self.clock.now())

    def _record_change(self, now: Instant) -> None:
        is_valid = self.authority.is_valid(now)
        if is_valid == self._was_valid:
            return
        self._was_valid = is_valid
        _log.info(
            "Authority is proven again" if is_valid else "Authority is not proven",
            proof_age_ms=self.authority.age_ms(now),
            store_proof_age_ms=now - self.authority.stored_at_,
            append_age_ms=now - self.authority.appended_at_,
        )
        if is_valid:
            self.on_regained()
