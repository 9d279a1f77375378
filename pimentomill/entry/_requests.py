"""Execution of service requests at any entry."""

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
PEER_HOP_MARGIN_MS = 50
MAX_RECENT_CALLS = 10_000
MAX_GROUP_ATTEMPTS = 2


class RequestService:
    """Route callers' requests to backend servers through the responsible holder.

    Parameters
    ----------
    cfg : EntrySettings
        Settings.
    clock : Clock
        Source of time.
    core : CoreHandle
        The core of this entry.
    directory : HolderDirectory
        Access to the holders.
    client : PeerClient
        Client for other entries.
    dispatcher : Dispatcher
        Sends requests to backend servers.
    rng : random.Random
        Source of randomness for the choice between two groups.

    Attributes
    ----------
    pools_ : dict
        Backend servers by group.
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
        """Update the platform's instance list."""
        for pool in self.pools_.values():
            pool.update(instances)

    # At the entry that receives the request.

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
            Service that is requested.
        key : str
            Idempotency key; empty for an idempotent request without one.
        is_idempotent : bool
            Whether the request may run more than once.
        body : bytes
            The request's body.
        budget_ms : int
            Time limit set by the caller, in ms.
        headers : dict
            Headers to forward.

        Returns
        -------
        tuple of RequestId and RequestResult
            The id for later lookups, and the result of the request.
        """
        key = key or new_id("r")
        home = choose_home_group(self._groups, team, key)
        request = make_request_id(home, team, service, key)
        if is_idempotent:
            deadline = Instant(self.clock.now() + budget_ms)
            call = (request, team, service, body, headers)
            return request, self._dispatch_to_groups(*call, deadline, claim=0)
        message = ClaimCall(request, team, service, body, budget_ms, headers)
        return request, self._claim_in_home_group(home, message)

    def _claim_in_home_group(
        self, home: GroupName, message: ClaimCall
    ) -> RequestResult:
        try:
            address = self.directory.address_of(home)
        except NotHolderError as exc:
            return _not_run(str(exc))
        if not address:
            return self.on_claim(message)
        try:
            return self.client.ask(
                address, message, message.budget_ms + PEER_HOP_MARGIN_MS
            )
        except TransportError as exc:
            if not exc.sent:
                return _not_run(str(exc))
            return RequestResult(RequestOutcome.UNKNOWN, detail=str(exc))
        except (NotHolderError, AdmissionError) as exc:
            return _not_run(str(exc))

    def _dispatch_to_groups(
        self,
        request: RequestId,
        team: TeamName,
        service: ServiceName,
        body: bytes,
        headers: dict[str, str],
        deadline: Instant,
        claim: int,
    ) -> RequestResult:
        """Send a request to groups with backend servers of its service, in turn."""
        tried: set[GroupName] = set()
        result = _not_run(f"no backend server is known for service {service}")
        for _ in range(MAX_GROUP_ATTEMPTS):
            target = self._choose_group(service, tried)
            remaining_ms = deadline - self.clock.now()
            if target is None or remaining_ms <= 0:
                break
            tried.add(target.group)
            call = DispatchCall(
                request=request,
                group=target.group,
                # The summary may come from an earlier holder, while the address is that
                # of the current one.
                epoch=self.directory.cell().ownership(target.group).epoch,
                team=team,
                service=service,
                body=body,
                budget_ms=remaining_ms,
                claim=claim,
                headers=headers,
            )
            result = result.merge_retry(self._dispatch(call))
            is_final = result.outcome is RequestOutcome.ANSWERED
            if is_final or not self._may_retry_elsewhere(result, claim):
                break
        return result

    def _may_retry_elsewhere(self, result: RequestResult, claim: int) -> bool:
        allowed = claim == 0 or result.outcome is RequestOutcome.NOT_RUN
        return allowed and self.dispatcher.budget.try_withdraw()

    def _choose_group(
        self, service: ServiceName, tried: set[GroupName]
    ) -> GroupSummary | None:
        """Return the one of two random groups with more free slots of the service."""
        summaries = self.core.ask(lambda core: list(core.summaries_.values()))
        candidates = [
            s for s in summaries if service in s.services and s.group not in tried
        ]
        if not candidates:
            return None
        first = self.rng.choice(candidates)
        second = self.rng.choice(candidates)
        return max((first, second), key=lambda s: s.services[service])

    def _dispatch(self, call: DispatchCall) -> RequestResult:
        try:
            address = self.directory.address_of(call.group)
        except NotHolderError as exc:
            return _not_run(str(exc))
        if not address:
            return self.on_dispatch(call)
        try:
            return self.client.ask(address, call, call.budget_ms + PEER_HOP_MARGIN_MS)
        except TransportError as exc:
            if not exc.sent:
                return _not_run(str(exc))
            return RequestResult(RequestOutcome.UNKNOWN, detail=str(exc))
        except PimentomillError as exc:
            return _not_run(str(exc))

    # At the holder of the home group.

    def on_claim(self, message: ClaimCall) -> RequestResult:
        """Claim a non-idempotent request in the log, then send it at most once."""
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
            return self._repeat_result(message.request)
        result = self._dispatch_to_groups(
            message.request,
            message.team,
            message.service,
            message.body,
            message.headers,
            deadline,
            claim,
        )
        self._record_end(home, message.request, result)
        return result

    def _repeat_result(self, request: RequestId) -> RequestResult:
        stored = self.on_get_outcome(GetOutcomeRequest(request))
        return RequestResult(
            stored.outcome,
            status=stored.status,
            detail="the request was submitted before",
            is_repeat=True,
        )

    def _record_end(
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

    def on_get_outcome(self, message: GetOutcomeRequest) -> OutcomeReply:
        """Return the stored outcome of a request whose home group is held here."""
        home = parse_home_group(message.request)
        return self.core.ask(
            lambda core: core.holder_of(home).describe_request(message.request)
        )

    def find(self, request: RequestId) -> OutcomeReply:
        """Return the outcome of a non-idempotent request.

        Raises
        ------
        NotFoundError
            If there is no such request.
        NotHolderError, TransportError
            If the holder of its home group can't be reached.
        """
        home = parse_home_group(request)
        if home not in self.pools_:
            raise NotFoundError(f"there is no request {request}")
        address = self.directory.address_of(home)
        if not address:
            return self.on_get_outcome(GetOutcomeRequest(request))
        return self.client.ask(address, GetOutcomeRequest(request), RETRY_AFTER_MS)

    # At the holder of the backend server's group.

    def on_dispatch(self, call: DispatchCall) -> RequestResult:
        """Send a request to a backend server of a held group."""
        holder = self.core.ask(lambda core: core.holders_.get(call.group))
        is_held = holder is not None and holder.guard.is_valid()
        if not is_held or (holder.epoch != call.epoch and call.is_idempotent):
            return _not_run(f"group {call.group} has another holder")
        if holder.epoch != call.epoch:
            # The call may be a duplicate of one that an earlier holder executed.
            detail = f"the holder of group {call.group} has changed"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        if not call.is_idempotent and not self._recent.add(call):
            detail = "the call is a duplicate"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        return self.dispatcher.run(call, self.pools_[call.group])


class _RecentCalls:
    """Remember recent non-idempotent calls, to detect duplicates."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[RequestId, int], None] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, call: DispatchCall) -> bool:
        """Add a call; return False if it is a duplicate."""
        call_key = (call.request, call.claim)
        with self._lock:
            if call_key in self._seen:
                return False
            self._seen[call_key] = None
            if len(self._seen) > MAX_RECENT_CALLS:
                self._seen.popitem(last=False)
            return True


def _not_run(detail: str) -> RequestResult:
    return RequestResult(
        RequestOutcome.NOT_RUN, detail=detail, retry_after_ms=RETRY_AFTER_MS
    )
