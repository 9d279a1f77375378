"""Dispatcher that sends requests to backend servers."""

import random
from http import HTTPStatus

import urllib3

from ..utils import Clock, InstanceId, Instant
from ..work import RequestOutcome
from ._backends import BackendPool, BackendSlot
from ._budget import RetryBudget
from ._messages import DispatchCall, RequestResult

__all__ = ["Dispatcher"]

CONNECT_TIMEOUT_MS = 500
MAX_ATTEMPTS = 3
INITIAL_BACKOFF_MS = 20
MAX_SLOT_WAIT_MS = 1_000
RETRY_AFTER_MS = 1_000
CONNECTION_POOL_SIZE = 64
ID_HEADER = "Pimentomill-Request"
NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class Dispatcher:
    """Run requests on the backend servers of the groups held by this entry.

    Parameters
    ----------
    clock : Clock
        Source of time.
    budget : RetryBudget
        Limit on retries.
    rng : random.Random
        Random generator for the jitter of the backoff.
    sleep : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self, clock: Clock, budget: RetryBudget, rng: random.Random, sleep
    ) -> None:
        self.clock = clock
        self.budget = budget
        self.rng = rng
        self.sleep = sleep
        self._http = urllib3.PoolManager(maxsize=CONNECTION_POOL_SIZE, retries=False)

    def run(self, call: DispatchCall, pool: BackendPool) -> RequestResult:
        """Run a request and retry it where that is safe.

        Parameters
        ----------
        call : DispatchCall
            Request with its remaining time.
        pool : BackendPool
            Backend servers that may run the request.

        Returns
        -------
        RequestResult
            One of the three outcomes. A request is retried only if it is
            idempotent or was certainly not run, and only within the retry budget
            and before the deadline.
        """
        deadline = Instant(self.clock.now() + call.budget_ms)
        avoid: set[InstanceId] = set()
        self.budget.deposit()
        result = self._attempt(call, pool, deadline, avoid)
        for attempt in range(1, MAX_ATTEMPTS):
            if not self._may_retry(call, result) or not self.budget.try_withdraw():
                break
            backoff_ms = self.rng.uniform(0, INITIAL_BACKOFF_MS * 2**attempt)
            if self.clock.now() + backoff_ms >= deadline:
                break
            self.sleep(backoff_ms / 1000)
            result = result.merge_retry(self._attempt(call, pool, deadline, avoid))
        return result

    @staticmethod
    def _may_retry(call: DispatchCall, result: RequestResult) -> bool:
        if result.outcome is RequestOutcome.NOT_RUN:
            return result.status != HTTPStatus.TOO_MANY_REQUESTS
        return result.outcome is RequestOutcome.UNKNOWN and call.is_idempotent

    def _attempt(
        self,
        call: DispatchCall,
        pool: BackendPool,
        deadline: Instant,
        avoid: set[InstanceId],
    ) -> RequestResult:
        remaining_ms = deadline - self.clock.now()
        slot = pool.acquire(call.service, min(MAX_SLOT_WAIT_MS, remaining_ms), avoid)
        if slot is None:
            return RequestResult(
                RequestOutcome.NOT_RUN,
                status=HTTPStatus.TOO_MANY_REQUESTS,
                detail=f"no free slot for {call.service}",
                retry_after_ms=RETRY_AFTER_MS,
            )
        try:
            result = self._send(call, slot, deadline)
        finally:
            pool.release(slot)
        if result.outcome is not RequestOutcome.ANSWERED:
            avoid.add(slot.backend)
        return result

    def _send(
        self, call: DispatchCall, slot: BackendSlot, deadline: Instant
    ) -> RequestResult:
        remaining_ms = max(deadline - self.clock.now(), 1)
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_MS, remaining_ms) / 1000,
            read=remaining_ms / 1000,
        )
        headers = {**call.headers, ID_HEADER: call.request}
        try:
            response = self._http.request(
                "POST",
                f"http://{slot.address}/v1/run",
                body=call.body,
                headers=headers,
                timeout=timeout,
            )
        except NOT_SENT_ERRORS as exc:
            return _not_run(f"{slot.backend} is unreachable: {exc}")
        except urllib3.exceptions.HTTPError as exc:
            detail = f"no complete response from {slot.backend}: {exc}"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        return self._check(call, slot, response)

    @staticmethod
    def _check(
        call: DispatchCall, slot: BackendSlot, response: urllib3.BaseHTTPResponse
    ) -> RequestResult:
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return _not_run(f"{slot.backend} rejected the request before running it")
        if response.headers.get(ID_HEADER) != call.request:
            detail = f"{slot.backend} returned the response to another request"
            return RequestResult(RequestOutcome.UNKNOWN, detail=detail)
        return RequestResult(
            RequestOutcome.ANSWERED,
            status=response.status,
            body=response.data,
            content_type=response.headers.get("Content-Type", ""),
        )


def _not_run(detail: str) -> RequestResult:
    return RequestResult(
        RequestOutcome.NOT_RUN, detail=detail, retry_after_ms=RETRY_AFTER_MS
    )
