"""Calls to an entry whose view of the cell lags behind it."""

import random
import unittest
from concurrent.futures import Future

import msgspec

from pimentomill.admission import digest_of, make_key
from pimentomill.cell import (
    GroupClaim,
    GroupsClaimed,
    KeyIssued,
    MemberJoined,
    QueueSet,
    TeamSet,
    WorkerDrainSet,
)
from pimentomill.entry import CELL_STREAM, EntryCore, group_stream
from pimentomill.entry._caller_api import CallerApi
from pimentomill.entry._catch_up import cell_catch_up, group_catch_up
from pimentomill.entry._jobs import JobService
from pimentomill.entry._operator import OperatorService
from pimentomill.entry._peers import HolderDirectory
from pimentomill.entry._requests import RequestService
from pimentomill.exceptions import NotFoundError, TransportError
from pimentomill.holder import GroupSummary
from pimentomill.http import HttpRequest
from pimentomill.journal import (
    AppendState,
    Instance,
    InstanceKind,
    InstanceState,
    PendingAppend,
    ReadResult,
    encode_envelope,
)
from pimentomill.peers import GetJobRequest, SummaryList
from pimentomill.requests import RequestResult, RetryBudget
from pimentomill.settings import (
    AddressSettings,
    CallerSettings,
    EntrySettings,
    GroupSettings,
)
from pimentomill.standins import LogModel
from pimentomill.telemetry import Metrics
from pimentomill.utils import ZERO, ManualClock, Resources, TrafficMeter
from pimentomill.work import BatchSpec, GangSpec, JobSpec, RequestOutcome
from pimentomill.workers import CommandAnswer, WorkerReport

ME, OTHER = "e1-a", "e2-a"
OPERATOR_KEY = "operator"
SPAN_MS = 10_000
LIMIT = Resources(64_000, 64_000, 0)
SMALL = Resources(1_000, 1_000, 0)
LARGE = Resources(16_000, 32_000, 0)


class FakeDispatcher:
    """Answer each call that is to be sent to a backend server."""

    def __init__(self):
        self.budget = RetryBudget()
        self.calls = []

    def run(self, call, pool):
        """Note a call and answer it."""
        self.calls.append(call)
        return RequestResult(RequestOutcome.ANSWERED, status=200)


class FakeCell:
    """An entry with the log of a cell, without threads or sockets.

    It reads the log and asks its peers only when the test says so.
    """

    def __init__(self, groups):
        self.cfg = EntrySettings(
            name="e1",
            data_centre="dc1",
            callers=CallerSettings(port=1),
            control=AddressSettings(port=2),
            peers=AddressSettings(port=3),
            platform_url="http://127.0.0.1:4",
            groups=[GroupSettings(name=g, racks=[f"dc1/{g}"]) for g in groups],
            operator_key_digests=[digest_of(OPERATOR_KEY)],
        )
        self.clock = ManualClock(start=1_000)
        self.log = LogModel(1_000)
        self.seqs = {}
        self.asked = []
        self.replies = {}
        self.core = EntryCore(self.cfg, ME, self.clock, self)
        log = (self, self, self.clock)
        self.directory = directory = HolderDirectory(
            ME,
            self,
            self,
            cell_catch_up(*log),
            {group: group_catch_up(*log, group) for group in groups},
        )
        jobs = JobService(self.cfg, self.clock, self, directory, self)
        operators = OperatorService(self, directory, jobs)
        metrics = Metrics(TrafficMeter())
        self.api = CallerApi(
            self.cfg, self, directory, jobs, None, operators, metrics, None
        ).router()
        self.core.start()

    # The log.

    def append(self, stream, record, writer):
        key = (stream, writer)
        self.seqs[key] = self.seqs.get(key, 0) + 1
        payload = encode_envelope(writer, self.seqs[key], record)
        return self.log.append(stream, [payload]), self.seqs[key]

    def read(self, req) -> ReadResult:
        """Read as the platform's client does."""
        return self.log.read(req)

    def follow(self):
        """Let the entry read the log to its end."""
        position = self.core.fold_.state_.next_offset
        part = self.log.slice(CELL_STREAM, position, 1_000)
        self.core.on_cell_slice(part if part.records else None)
        for group, holder in self.core.holders_.items():
            part = self.log.slice(group_stream(group), holder.next_offset, 1_000)
            self.core.on_group_slice(group, part)

    # Effects of the core.

    def submit(self, stream, record, linger_ms, patience_ms):
        offset, seq = self.append(stream, record, ME)
        return PendingAppend(
            stream, record, 0, patience_ms, seq, AppendState.DURABLE, offset
        )

    def command(self, group, view, batch):
        self.asked.append((group, view.id, batch))

    def start_reading(self, stream):
        pass

    def stop_reading(self, stream):
        pass

    # Handle of the core, and client of the peers.

    def ask(self, target, *args):
        if callable(target):
            result = target(self.core)
            for _, future in list(self.core._appends._waiting.values()):
                if not future.done():
                    future.set_result(None)
            if isinstance(result, Future) and not result.done():
                self.follow()
            return result
        reply = self.replies.get(target)
        if reply is None:
            raise TransportError("peer did not answer", sent=True)
        return reply(*args)

    def tell(self, call):
        call(self.core)

    def close_all_except(self, addresses):
        pass

    # What a test does.

    def join(self):
        """Let the entry join and win all groups."""
        self.follow()
        self.core.tick()
        self.follow()
        self.clock.advance(self.cfg.leases.renew_ms)
        self.core.tick()
        for _ in range(3):
            self.follow()

    def list_workers(self, **groups):
        self.core.on_instances(
            [
                Instance(
                    id=name,
                    kind=InstanceKind.WORKER,
                    state=InstanceState.LIVE,
                    address=f"{name}:1",
                    rack=f"dc1/{group}",
                )
                for name, group in groups.items()
            ]
        )
        self.core.tick()

    def answer(self, worker, capacity):
        """Let a worker answer the holder's question."""
        group, _, batch = next(a for a in self.asked if a[1] == worker)
        report = WorkerReport(worker, 1, 1, batch.epoch, capacity, [], [])
        self.core.on_answer(group, worker, batch, CommandAnswer("", [], 1, 1, report))

    def give_key(self, writer=OTHER):
        """Write a team and its key to the log; return the key."""
        key, digest = make_key("k-1")
        self.append(CELL_STREAM, TeamSet("kiln", 1, LIMIT, -1), writer)
        self.append(CELL_STREAM, KeyIssued("k-1", "kiln", digest, ""), writer)
        return key

    def hand_in(self, key, spec: JobSpec, queue=""):
        headers = {"authorization": f"Bearer {key}", "idempotency-key": "n"}
        body = msgspec.json.encode({"spec": spec, "queue": queue})
        response = self.api.answer(HttpRequest("POST", "/v1/jobs", "", headers, body))
        return response.status, response.body

    def find(self, key, job_id):
        headers = {"authorization": f"Bearer {key}"}
        path = f"/v1/jobs/{job_id}"
        return self.api.answer(HttpRequest("GET", path, "", headers, b"")).status

    def operate(self, statement):
        headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
        body = statement.encode()
        req = HttpRequest("POST", "/v1/commands", "", headers, body)
        response = self.api.answer(req)
        return response.status, response.body


def batch(amount):
    return BatchSpec(resources=amount)


class LaggingEntryTest(unittest.TestCase):
    def entry(self, *groups):
        cell = FakeCell(groups)
        cell.join()
        self.assertEqual(set(cell.core.holders_), set(groups))
        return cell

    # A worker that is listed but not heard of was taken for one of size zero.
    def test_work_is_taken_before_a_worker_has_told_its_size(self):
        cell = self.entry("g1", "g2")
        key = cell.give_key()
        cell.follow()
        cell.list_workers(w1="g1", w2="g2")
        cell.core.own_summaries()
        status, body = cell.hand_in(key, batch(SMALL))
        self.assertEqual(status, 202, body)

    # The size of one worker told nothing about a larger one not heard of yet.
    def test_work_is_taken_before_the_largest_worker_has_told_its_size(self):
        cell = self.entry("g1")
        key = cell.give_key()
        cell.follow()
        cell.list_workers(w1="g1", w2="g1")
        cell.answer("w1", SMALL)
        cell.core.own_summaries()
        status, body = cell.hand_in(key, batch(LARGE))
        self.assertEqual(status, 202, body)

    # A summary of seconds ago refused what the group can run by now.
    def test_gang_is_taken_as_soon_as_its_group_is_large_enough(self):
        cell = self.entry("g1")
        key = cell.give_key()
        cell.follow()
        cell.list_workers(w1="g1")
        cell.answer("w1", LARGE)
        cell.core.own_summaries()
        cell.list_workers(w1="g1", w2="g1")
        cell.answer("w2", LARGE)
        status, body = cell.hand_in(key, GangSpec(resources=LARGE, tasks=2))
        self.assertEqual(status, 202, body)

    def test_work_that_no_worker_could_run_is_refused(self):
        cell = self.entry("g1")
        key = cell.give_key()
        cell.follow()
        cell.list_workers(w1="g1")
        cell.answer("w1", SMALL)
        cell.core.own_summaries()
        status, body = cell.hand_in(key, batch(LARGE))
        self.assertEqual((status, b"never_fits" in body), (422, True))

    def with_other_holder(self):
        """Return an entry that holds g1 beside another with small workers in g2."""
        cell = FakeCell(["g1", "g2"])
        claim = GroupClaim("g2", cell.core.cell().ownership("g2").epoch, -1)
        joined = MemberJoined(OTHER, 0, "e2", "dc1", "e2:3", "e2:2", "e2:1")
        cell.append(CELL_STREAM, joined, OTHER)
        cell.append(CELL_STREAM, GroupsClaimed(OTHER, [claim]), OTHER)
        cell.join()
        self.assertEqual(set(cell.core.holders_), {"g1"})
        key = cell.give_key()
        cell.follow()
        cell.list_workers(w1="g1")
        cell.answer("w1", SMALL)
        cell.core.own_summaries()
        cell.core.on_summaries([self.summary_of_g2(cell, SMALL)])
        return cell, key

    def summary_of_g2(self, cell, size):
        epoch = cell.core.cell().ownership("g2").epoch
        return GroupSummary(
            "g2", OTHER, epoch, [size], [size], {}, {}, size, is_complete=True
        )

    def let_other_answer(self, cell, size):
        """Let the other entry answer; it has no jobs, and workers of one size."""

        def answer(message, timeout_ms):
            if isinstance(message, GetJobRequest):
                raise NotFoundError("there is no such job")
            return SummaryList([self.summary_of_g2(cell, size)])

        cell.replies["e2:3"] = answer

    def test_work_that_another_holder_could_run_by_now_is_taken(self):
        cell, key = self.with_other_holder()
        self.let_other_answer(cell, LARGE)
        status, body = cell.hand_in(key, batch(LARGE))
        self.assertEqual(status, 202, body)

    def test_work_is_not_refused_for_good_while_a_holder_is_silent(self):
        cell, key = self.with_other_holder()
        status, body = cell.hand_in(key, batch(LARGE))
        self.assertEqual(status, 202, body)

    def test_work_is_refused_once_all_holders_have_no_worker_for_it(self):
        cell, key = self.with_other_holder()
        self.let_other_answer(cell, SMALL)
        self.assertEqual(cell.hand_in(key, batch(LARGE))[0], 422)

    # A key that another entry had given was refused until its record was read.
    def test_key_is_known_at_each_entry_once_it_was_given(self):
        cell = self.entry("g1")
        key = cell.give_key()
        status, body = cell.hand_in(key, batch(SMALL))
        self.assertEqual(status, 202, body)

    # A queue that another entry had opened was absent until its record was read.
    def test_open_queue_is_known_at_each_entry_once_it_was_opened(self):
        cell = self.entry("g1")
        key = cell.give_key()
        cell.follow()
        cell.append(CELL_STREAM, QueueSet("common", "kiln", True, -1), OTHER)
        status, body = cell.hand_in(key, batch(SMALL), "common")
        self.assertEqual(status, 202, body)

    def test_key_that_nobody_has_given_is_refused(self):
        cell = self.entry("g1")
        cell.give_key()
        stranger, _ = make_key("k-2")
        status, _ = cell.hand_in(stranger, batch(SMALL))
        self.assertEqual(status, 401)

    # A job that had just been taken was absent until its holder read the record.
    def test_job_is_found_as_soon_as_it_was_taken(self):
        cell = self.entry("g1")
        key = cell.give_key()
        status, body = cell.hand_in(key, batch(SMALL))
        self.assertEqual(status, 202, body)
        self.assertEqual(cell.find(key, msgspec.json.decode(body)["id"]), 200)

    def test_job_that_nobody_has_handed_in_is_absent(self):
        cell = self.entry("g1")
        key = cell.give_key()
        self.assertEqual(cell.find(key, "none@g1"), 404)

    # A team that another entry had created was absent until its record was read.
    def test_team_can_be_changed_at_each_entry_once_it_was_created(self):
        cell = self.entry("g1")
        version, _ = cell.append(CELL_STREAM, TeamSet("kiln", 1, LIMIT, -1), OTHER)
        answer = cell.operate(f"set team kiln share 2 expecting {version}")
        self.assertEqual(answer[0], 200, answer)

    def test_team_that_nobody_has_created_is_absent(self):
        cell = self.entry("g1")
        status, _ = cell.operate("set team kiln share 2 expecting 1")
        self.assertEqual(status, 404)

    # A worker that another entry had drained could not be freed without a conflict.
    def test_worker_can_be_marked_at_each_entry_in_turn(self):
        cell = self.entry("g1")
        cell.append(CELL_STREAM, WorkerDrainSet("w1", True, -1), OTHER)
        answer = cell.operate("undrain worker w1")
        self.assertEqual(answer[0], 200, answer)

    # A summary of an earlier holder made a request that had not run uncertain.
    def test_request_is_sent_under_the_present_holder(self):
        cell = self.entry("g1")
        present = cell.core.cell().ownership("g1").epoch
        earlier = GroupSummary(
            "g1", ME, present - 1, [], [], {}, {}, ZERO, {"planting": 1}
        )
        cell.core.on_summaries([earlier])
        dispatcher = FakeDispatcher()
        requests = RequestService(
            cell.cfg,
            cell.clock,
            cell,
            cell.directory,
            cell,
            dispatcher,
            random.Random(1),
        )
        _, result = requests.run("kiln", "planting", "order", False, b"40", SPAN_MS, {})
        self.assertIs(result.outcome, RequestOutcome.ANSWERED, result)
        self.assertEqual([call.epoch for call in dispatcher.calls], [present])
