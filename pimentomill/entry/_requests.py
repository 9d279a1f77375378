"""Requests to services at any entry."""

import random
import threading
from collections import OrderedDict
from concurrent.futures import TimeoutError as FutureTimeoutError

from ..exceptions import (
    AdmissionError,
    NotFoundError,
    NotHolderError,
    PimentomillError,
    TransportError,
)
from ..holder import GroupSummary
from ..journal import Instance
from ..peers import PeerClient
from ..requests import (
    BackendPool,
    ClaimCall,
    DispatchCall,
    Dispatcher,
    GetOutcomeRequest,
    OutcomeReply,
    RequestResult,
    make_request_id,
)
from ..settings import EntrySettings
from ..utils import (
    Clock,
    GroupName,
    Instant,
    RequestId,
    ServiceName,
    TeamName,
    new_id,
)
from ..work import RequestOutcome, choose_home_group, parse_home_group
from ._actor import CoreHandle
from ._peers import HolderDirectory

__all__ = ["RequestService"]

RETRY_AFTER_MS = 1_000
HOP_ALLOWANCE_MS = 50
RECENT_CALLS = 10_000
GROUP_TRIES = 2


class RequestService:
    """Send callers' requests to backend servers, through the right holder.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    clock : Clock
        Source of time.
    core : CoreHandle
        The core of this entry.
    directory : HolderDirectory
        Way to the holders.
    client : PeerClient
        Way to other entries.
    dispatcher : Dispatcher
        Sends to backend servers.
    rng : random.Random
        Source of the two random choices.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        clock: Clock,
        core: CoreHandle,
        directory: HolderDirectory,
        client: PeerClient,
        dispatcher: Dispatcher,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.core = core
        self.directory = directory
        self.client = client
        self.dispatcher = dispatcher
        self.rng = rng
        self.pools_ = {
            GroupName(group.name): BackendPool(group.racks, rng) for group in cfg.groups
        }
        self._groups = list(self.pools_)
        self._recent = _RecentCalls()

    def on_instances(self, instances: list[Instance]) -> None:
        """Take in the platform's instance list."""
        for pool in self.pools_.values():
            pool.update(instances)

    # At the entry that the caller talks to.

    def run(
        self,
        team: TeamName,
        service: ServiceName,
        key: str,
        is_idempotent: bool,
        body: bytes,
        budget_ms: int,
        headers: dict[str, str],
    ) -> tuple[RequestId, RequestResult]:
        """Run a request to its final outcome.

        Parameters
        ----------
        team : TeamName
            Team of the caller's key.
        service : ServiceName
            What is asked.
        key : str
            Idempotency key; empty for an idempotent request without one.
        is_idempotent : bool
            Whether it may run more than once.
        body : bytes
            The request's body.
        budget_ms : int
            Time that the caller gives it.
        headers : dict
            Headers to pass on.

        Returns
        -------
        tuple of RequestId and RequestResult
            The id to ask about, and what became of the request.
        """
        key = key or new_id("r")
        home = choose_home_group(self._groups, team, key)
        request = make_request_id(home, team, service, key)
        if is_idempotent:
            deadline = Instant(self.clock.now() + budget_ms)
            call = (request, team, service, body, headers)
            return request, self._spread(*call, deadline, claim=0)
        message = ClaimCall(request, team, service, body, budget_ms, headers)
        return request, self._claim_at_home(home, message)

    def _claim_at_home(self, home: GroupName, message: ClaimCall) -> RequestResult:
        try:
            address = self.directory.address_of(home)
        except NotHolderError as exc:
            return _not_run(str(exc))
        if not address:
            return self.on_claim(message)
        try:
            return self.client.ask(
                address, message, message.budget_ms + HOP_ALLOWANCE_MS
            )
        except TransportError as exc:
            if not exc.sent:
                return _not_run(str(exc))
            return RequestResult(RequestOutcome.UNKNOWN, detail=str(exc))
        except (NotHolderError, AdmissionError) as exc:
            return _not_run(str(exc))

    def _spread(
        self,
        request: RequestId,
        team: TeamName,
        service: ServiceName,
        body: bytes,
        headers: dict[str, str],
        deadline: Instant,
        claim: int,
    ) -> RequestResult:
        """Send a request to a group that has backend servers of its service."""
        tried: set[GroupName] = set()
        result = _not_run(f"no backend server of {service} is known")
        for _ in range(GROUP_TRIES):
            target = self._choose_group(service, tried)
            left_ms = deadline - self.clock.now()
            if target is None or left_ms <= 0:
                break
            tried.add(target.group)
            call = DispatchCall(
                request=request,
                group=target.group,
                # The summary may be of an earlier holder, the address is not.
                epoch=self.directory.cell().ownership(target.group).epoch,
                team=team,
                service=service,
                body=body,
                budget_ms=left_ms,
                claim=claim,
                headers=headers,
            )
            result = result.merge_retry(self._dispatch(call))
            is_final = result.outcome is RequestOutcome.ANSWERED
            if is_final or not self._may_try_elsewhere(result, claim):
                break
        return result

    def _may_try_elsewhere(self, result: RequestResult, claim: int) -> bool:
        allowed = claim == 0 or result.outcome is RequestOutcome.NOT_RUN
        return allowed and self.dispatcher.budget.try_withdraw()

    def _choose_group(
        self, service: ServiceName, tried: set[GroupName]
    ) -> GroupSummary | None:
        """Return the freer of two random groups that have the service."""
        summaries = self.core.ask(lambda core: list(core.summaries_.values()))
        having = [
            s for s in summaries if service in s.services and s.group not in tried
        ]
        if not having:
            return None
        first = self.rng.choice(having)
        second = self.rng.choice(having)
        return max((first, second), key=lambda s: s.services[service])

    def _dispatch(self, call: DispatchCall) -> RequestResult:
        try:
            address = self.directory.address_of(call.group)
        except NotHolderError as exc:
            return _not_run(str(exc))
        if not address:
            return self.on_dispatch(call)
        try:
            return self.client.ask(address, call, call.budget_ms + HOP_ALLOWANCE_MS)
        except TransportError as exc:
            if not exc.sent:
                return _not_run(str(exc))
            return RequestResult(RequestOutcome.UNKNOWN, detail=str(exc))
        except PimentomillError as exc:
            return _not_run(str(exc))

    # At the holder of the home group.

    def on_claim(self, message: ClaimCall) -> RequestResult:
        """Claim a non-idempotent request in the log, then send it once."""
        deadline = Instant(self.clock.now() + message.budget_ms)
        home = parse_home_group(message.request)
        fut = self.core.ask(
            lambda core: core.holder_of(home).claim_request(
                message.request, message.team, message.service
            )
        )
        try:
            claim = fut.result(message.budget_ms / 1000)
        except FutureTimeoutError:
            detail = "the log has not confirmed the claim"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        if not claim:
            return self._repeat(message.request)
        result = self._spread(
            message.request,
            message.team,
            message.service,
            message.body,
            message.headers,
            deadline,
            claim,
        )
        self._note_end(home, message.request, result)
        return result

    def _repeat(self, request: RequestId) -> RequestResult:
        stored = self.on_ask_stored(GetOutcomeRequest(request))
        return RequestResult(
            stored.outcome,
            status=stored.status,
            detail="the request was handed in before",
            is_repeat=True,
        )

    def _note_end(
        self, home: GroupName, request: RequestId, result: RequestResult
    ) -> None:
        try:
            self.core.ask(
                lambda core: core.holder_of(home).end_request(
                    request, result.outcome, result.status
                )
            )
        except NotHolderError:
            return

    def on_ask_stored(self, message: GetOutcomeRequest) -> OutcomeReply:
        """Return what is known of a request whose home group is held here."""
        home = parse_home_group(message.request)
        return self.core.ask(
            lambda core: core.holder_of(home).describe_request(message.request)
        )

    def find(self, request: RequestId) -> OutcomeReply:
        """Return what became of a non-idempotent request.

        Raises
        ------
        NotFoundError
            If there is no such request.
        NotHolderError, TransportError
            If its holder can't be asked now.
        """
        home = parse_home_group(request)
        if home not in self.pools_:
            raise NotFoundError(f"there is no request {request}")
        address = self.directory.address_of(home)
        if not address:
            return self.on_ask_stored(GetOutcomeRequest(request))
        return self.client.ask(address, GetOutcomeRequest(request), RETRY_AFTER_MS)

    # At the holder of the backend server's group.

    def on_dispatch(self, call: DispatchCall) -> RequestResult:
        """Send a request to a backend server of a held group."""
        holder = self.core.ask(lambda core: core.holders_.get(call.group))
        is_held = holder is not None and holder.guard.is_valid()
        if not is_held or (holder.epoch != call.epoch and call.is_idempotent):
            return _not_run(f"group {call.group} has another holder")
        if holder.epoch != call.epoch:
            # The call may be a copy of one that an earlier holder carried out.
            detail = f"group {call.group} has changed its holder"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        if not call.is_idempotent and not self._recent.add(call):
            detail = "the call came a second time"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        return self.dispatcher.run(call, self.pools_[call.group])


class _RecentCalls:
    """Remember the latest non-idempotent calls, to drop copies of them."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[RequestId, int], None] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, call: DispatchCall) -> bool:
        """Return whether the call is new."""
        mark = (call.request, call.claim)
        with self._lock:
            if mark in self._seen:
                return False
            self._seen[mark] = None
            if len(self._seen) > RECENT_CALLS:
                self._seen.popitem(last=False)
            return True


def _not_run(detail: str) -> RequestResult:
    return RequestResult(
        RequestOutcome.NOT_RUN, detail=detail, retry_after_ms=RETRY_AFTER_MS
    )
