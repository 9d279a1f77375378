"""Mutations that disable one mechanism each, to show that a proof detects it."""

from contextlib import contextmanager
from unittest import mock

from pimentomill.cell import CellFold
from pimentomill.entry import EntryCore
from pimentomill.holder import WorkerMonitor
from pimentomill.journal import InstanceState
from pimentomill.ownership import LeaseGuard
from pimentomill.requests import BackendPool, Dispatcher, RequestResult
from pimentomill.utils import Instant, Resources
from pimentomill.work import RequestOutcome, WorkFold
from pimentomill.workers import WorkerView

__all__ = ["MUTATIONS"]

UNLIMITED = Resources(10**9, 10**9, 10**6)


@contextmanager
def skip_reservations():
    """Reserve no resources when a task is placed on a worker."""
    with mock.patch.object(WorkerView, "reserve", lambda self, ref, amount: None):
        yield


@contextmanager
def replace_lost_tasks_early():
    """Rerun tasks of unresponsive workers before their leases expire."""
    with mock.patch.object(WorkerMonitor, "_lease_end", lambda self, view: Instant(0)):
        yield


@contextmanager
def ignore_lease_expiry():
    """Let a holder act after its lease has expired."""
    with (
        mock.patch.object(LeaseGuard, "is_valid", lambda self: True),
        mock.patch.object(LeaseGuard, "remaining_ms", lambda self: 10**6),
    ):
        yield


@contextmanager
def claim_before_expiry():
    """Claim groups while their holder's lease may still be valid."""
    with mock.patch(
        "pimentomill.ownership._policy._claimable_at",
        lambda state, leases, group: Instant(0),
    ):
        yield


@contextmanager
def skip_allotments():
    """Let each group use unlimited resources instead of its share of a team's limit."""
    with (
        mock.patch(
            "pimentomill.holder._allotments.AllotmentKeeper.usable",
            lambda self, team: UNLIMITED,
        ),
        mock.patch(
            "pimentomill.holder._allotments.AllotmentKeeper.excess",
            lambda self, team: Resources(),
        ),
    ):
        yield


@contextmanager
def accept_any_secret():
    """Accept any secret for a known key id."""
    with mock.patch("hmac.compare_digest", lambda a, b: True):
        yield


@contextmanager
def accept_any_answer():
    """Accept an answer regardless of the request id that it carries."""

    def check(call, slot, response):
        return RequestResult(
            RequestOutcome.ANSWERED, response.status, response.data or b"none"
        )

    with mock.patch.object(Dispatcher, "_check", staticmethod(check)):
        yield


@contextmanager
def report_lost_answers_as_not_run():
    """Report a request as not run if its answer was lost."""
    original = Dispatcher._send

    def send(self, call, slot, deadline):
        result = original(self, call, slot, deadline)
        if result.outcome is RequestOutcome.UNKNOWN:
            result.outcome = RequestOutcome.NOT_RUN
        return result

    with mock.patch.object(Dispatcher, "_send", send):
        yield


@contextmanager
def forget_request_claims():
    """Discard the earlier claims of requests before each record."""
    original = WorkFold.apply

    def apply(self, offset, envelope):
        self.state_.requests.clear()
        return original(self, offset, envelope)

    with mock.patch.object(WorkFold, "apply", apply):
        yield


@contextmanager
def forget_withdrawals():
    """Accept jobs whatever was cancelled before their acceptance."""
    with mock.patch.object(WorkFold, "_is_withdrawn", lambda self, record: False):
        yield


@contextmanager
def ignore_leaving_state():
    """Treat a leaving backend server as live."""
    original = BackendPool.update

    def update(self, instances):
        original(self, instances)
        for backend in self._backends.values():
            instance = backend.instance
            backend.instance = type(instance)(
                instance.id,
                instance.kind,
                InstanceState.LIVE,
                instance.address,
                instance.rack,
                instance.service,
                instance.slots,
            )

    with mock.patch.object(BackendPool, "update", update):
        yield


@contextmanager
def accept_older_snapshots():
    """Let a snapshot replace state that is newer than it."""

    def on_snapshot(self, state):
        self.fold_ = CellFold(state)

    def repeat(self, part):
        original(self, part)
        if self.fold_.state_.next_offset % 7 == 3:
            self.on_cell_snapshot(type(self.fold_.state_)())

    original = EntryCore.on_cell_slice
    with (
        mock.patch.object(EntryCore, "on_cell_snapshot", on_snapshot),
        mock.patch.object(EntryCore, "on_cell_slice", repeat),
    ):
        yield


MUTATIONS = {
    "nothing is promised": skip_reservations,
    "lost tasks are not waited for": replace_lost_tasks_early,
    "guard is always valid": ignore_lease_expiry,
    "claims do not wait": claim_before_expiry,
    "limits are not split": skip_allotments,
    "digests are not compared": accept_any_secret,
    "answers are not matched": accept_any_answer,
    "lost answers count as not run": report_lost_answers_as_not_run,
    "claims of requests are forgotten": forget_request_claims,
    "withdrawals are forgotten": forget_withdrawals,
    "leaving is not noticed": ignore_leaving_state,
    "older snapshots are taken": accept_older_snapshots,
}
