"""Mechanisms switched off, to show that a proof notices."""

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

ENDLESS = Resources(10**9, 10**9, 10**6)


@contextmanager
def nothing_is_promised():
    """Count no resources when work is placed on workers."""
    with mock.patch.object(WorkerView, "reserve", lambda self, ref, amount: None):
        yield


@contextmanager
def lost_tasks_are_not_waited_for():
    """Run tasks of silent workers elsewhere at once."""
    with mock.patch.object(WorkerMonitor, "_lease_end", lambda self, view: Instant(0)):
        yield


@contextmanager
def guard_is_always_valid():
    """Let a holder act although its lease is over."""
    with (
        mock.patch.object(LeaseGuard, "is_valid", lambda self: True),
        mock.patch.object(LeaseGuard, "remaining_ms", lambda self: 10**6),
    ):
        yield


@contextmanager
def claims_do_not_wait():
    """Claim groups although their holder's lease may run."""
    with mock.patch(
        "pimentomill.ownership._policy._claimable_at",
        lambda state, leases, group: Instant(0),
    ):
        yield


@contextmanager
def limits_are_not_split():
    """Let each group use a team's whole limit and more."""
    with (
        mock.patch(
            "pimentomill.holder._allotments.AllotmentKeeper.usable",
            lambda self, team: ENDLESS,
        ),
        mock.patch(
            "pimentomill.holder._allotments.AllotmentKeeper.excess",
            lambda self, team: Resources(),
        ),
    ):
        yield


@contextmanager
def digests_are_not_compared():
    """Take any secret for a known key."""
    with mock.patch("hmac.compare_digest", lambda a, b: True):
        yield


@contextmanager
def answers_are_not_matched():
    """Take an answer whatever request it names."""

    def check(call, slot, response):
        return RequestResult(
            RequestOutcome.ANSWERED, response.status, response.data or b"none"
        )

    with mock.patch.object(Dispatcher, "_check", staticmethod(check)):
        yield


@contextmanager
def lost_answers_count_as_not_run():
    """Call a request not run if its answer was lost."""
    original = Dispatcher._send

    def send(self, call, slot, deadline):
        result = original(self, call, slot, deadline)
        if result.outcome is RequestOutcome.UNKNOWN:
            result.outcome = RequestOutcome.NOT_RUN
        return result

    with mock.patch.object(Dispatcher, "_send", send):
        yield


@contextmanager
def claims_of_requests_are_forgotten():
    """Look at no earlier claims of a request."""
    original = WorkFold.apply

    def apply(self, offset, envelope):
        self.state_.requests.clear()
        return original(self, offset, envelope)

    with mock.patch.object(WorkFold, "apply", apply):
        yield


@contextmanager
def leaving_is_not_noticed():
    """Count a leaving backend server as live."""
    original = BackendPool.update

    def update(self, instances):
        original(self, instances)
        for backend in self._backends.values():
            name = backend.instance
            backend.instance = type(name)(
                name.id,
                name.kind,
                InstanceState.LIVE,
                name.address,
                name.rack,
                name.service,
                name.slots,
            )

    with mock.patch.object(BackendPool, "update", update):
        yield


@contextmanager
def older_snapshots_are_taken():
    """Let any snapshot replace what was folded since."""

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
    "nothing is promised": nothing_is_promised,
    "lost tasks are not waited for": lost_tasks_are_not_waited_for,
    "guard is always valid": guard_is_always_valid,
    "claims do not wait": claims_do_not_wait,
    "limits are not split": limits_are_not_split,
    "digests are not compared": digests_are_not_compared,
    "answers are not matched": answers_are_not_matched,
    "lost answers count as not run": lost_answers_count_as_not_run,
    "claims of requests are forgotten": claims_of_requests_are_forgotten,
    "leaving is not noticed": leaving_is_not_noticed,
    "older snapshots are taken": older_snapshots_are_taken,
}
