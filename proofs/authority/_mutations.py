"""Mutations of the rules on authority, each of which the model detects."""

import contextlib
from unittest import mock

from pimentomill.control._lease_keeper import LeaseKeeper
from pimentomill.fleet import Worker
from pimentomill.replica import GRANT_MS, Authority, Enrolments, Grantor
from pimentomill.replica._grants import _Enrolment
from pimentomill.utils import Instant

__all__ = ["MUTATIONS"]

FENCING_DELAY_MS = 50
ENROLMENT_CUT_MS = 25_000
"""Milliseconds by which enrolments end early."""


@contextlib.contextmanager
def wait_for_lease_only():
    """Let a successor wait for a lease that was renewed just before its claim."""
    with mock.patch(
        "pimentomill.control._leader.authority_end_bound",
        lambda now: Instant(now + FENCING_DELAY_MS),
    ):
        yield


@contextlib.contextmanager
def claim_unenrolled():
    """Let an entry claim at once at whose leader it is not enrolled."""
    with mock.patch("pimentomill.replica._grants.UNENROLLED_SILENCE_MS", 0):
        yield


@contextlib.contextmanager
def forget_enrolments():
    """Let a leader forget enrolled entries whatever the store has shown."""

    def required(self, stored_at):
        self._listed_until.clear()
        return original(self, Instant(self.clock.now() + ENROLMENT_CUT_MS))

    original = Enrolments.required
    with mock.patch.object(Enrolments, "required", required):
        yield


@contextlib.contextmanager
def drop_ended_entries():
    """Let a leader forget an enrolled entry as soon as it has ended."""

    def record_end(self, name, requested_at=None):
        ended = self._entries.pop(name, None)
        if ended is not None:
            self._listed_until.pop(ended.address, None)

    with mock.patch.object(Enrolments, "record_end", record_end):
        yield


@contextlib.contextmanager
def count_refusals():
    """Let entries grant a lease whatever they have claimed."""
    with mock.patch.object(Grantor, "grant", lambda self, *args: None):
        yield


@contextlib.contextmanager
def claim_despite_grant():
    """Let an entry claim while a lease that it has granted is in force."""
    original = Grantor.may_claim

    def may_claim(self, *args):
        self._granted_until = self.clock.now()
        return original(self, *args)

    with mock.patch.object(Grantor, "may_claim", may_claim):
        yield


@contextlib.contextmanager
def claim_after_start():
    """Let a process rely on a list of the leader as soon as it has started."""

    def record_reachable(self):
        self._reachable_since = Instant(self.clock.now() - GRANT_MS)

    with mock.patch.object(Grantor, "record_reachable", record_reachable):
        yield


@contextlib.contextmanager
def ask_no_listed_address():
    """Let a leader ask only the processes that have enrolled."""
    with mock.patch.object(Enrolments, "begin_listing", lambda self, addresses: None):
        yield


@contextlib.contextmanager
def ask_no_named_entry():
    """Let a leader name entries in its claim that it asks only once they enrol."""

    def begin_claim(self, others):
        return tuple(sorted(others.values()))

    with mock.patch.object(Enrolments, "begin_claim", begin_claim):
        yield


@contextlib.contextmanager
def trust_any_process():
    """Let whatever runs at a listed address prove that none there has claimed."""
    original = _Enrolment.is_granted

    def is_granted(self, now):
        return self.is_vacancy or original(self, now)

    with mock.patch.object(_Enrolment, "is_granted", is_granted):
        yield


@contextlib.contextmanager
def act_without_proof():
    """Let a leader act until it has to step down."""

    def is_valid(self, now):
        return not self._has_ended and not self.has_lapsed(now)

    with mock.patch.object(Authority, "is_valid", is_valid):
        yield


@contextlib.contextmanager
def release_without_proof():
    """Let a leader release the runs of a silent worker without a later proof."""

    def has_lease_expired(self, worker):
        return self.context.clock.now() >= worker.lease_until

    with mock.patch.object(LeaseKeeper, "_has_lease_expired", has_lease_expired):
        yield


@contextlib.contextmanager
def start_unconfirmed():
    """Let a leader start runs on a worker whose incarnation it has just seen."""
    with mock.patch.object(Worker, "require_confirmation", lambda self, now: None):
        yield


@contextlib.contextmanager
def ignore_inherited_ends():
    """Let a successor restart at once what its predecessor may have restarted too."""
    with mock.patch(
        "pimentomill.control._leader_state.LeaderState._observe_inherited_end",
        lambda self, task: None,
    ):
        yield


@contextlib.contextmanager
def prove_by_late_retry():
    """Count the time of the answer as that of the append."""
    original = Authority.prove_by_append

    def prove(self, sent_at, now):
        original(self, now, now)

    with mock.patch.object(Authority, "prove_by_append", prove):
        yield


@contextlib.contextmanager
def never_lapse():
    """Let a leader act on leases of the other entries without end."""
    with mock.patch.object(Authority, "has_lapsed", lambda self, now: False):
        yield


MUTATIONS = {
    "a successor waits only for a lease": wait_for_lease_only,
    "a leader acts without proof": act_without_proof,
    "a leader never lapses": never_lapse,
    "lost runs are released without a later proof": release_without_proof,
    "a new incarnation of a worker is used at once": start_unconfirmed,
    "inherited ends are not withheld": ignore_inherited_ends,
    "an append counts from its answer": prove_by_late_retry,
    "an entry claims while its grant is in force": claim_despite_grant,
    "an entry that is not enrolled claims at once": claim_unenrolled,
    "a restarted process claims at once": claim_after_start,
    "listed addresses are not asked": ask_no_listed_address,
    "entries that a claim names are not asked": ask_no_named_entry,
    "any process proves for a listed address": trust_any_process,
    "refusals count as grants": count_refusals,
    "enrolments are forgotten early": forget_enrolments,
    "ended entries are forgotten at once": drop_ended_entries,
}
