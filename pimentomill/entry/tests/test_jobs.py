import unittest
from concurrent.futures import Future

import msgspec

from pimentomill.entry._jobs import JobService
from pimentomill.exceptions import AdmissionError, AppendUnknownError, NotFoundError
from pimentomill.holder import GroupSummary, JobState, describe_job
from pimentomill.settings import GroupSettings
from pimentomill.utils import ZERO, ManualClock, Resources
from pimentomill.work import (
    OPERATORS,
    BatchSpec,
    Job,
    JobCancelled,
    JobWithdrawn,
    Task,
    make_job_id,
)

from .test_core import SETTINGS

GROUPS = [
    GroupSettings(name="g1", racks=["dc1/r1"]),
    GroupSettings(name="g2", racks=["dc1/r2"]),
]

SPEC = BatchSpec(resources=Resources(1_000, 100, 0))
JOB = make_job_id("g1", "kiln", "key")


class FakeCell:
    """Core, directory and settings of an entry, with a log that answers at once."""

    def __init__(self):
        self.appended = []
        self.failure = None
        self.jobs = {}
        self.summaries_ = {}
        clock = ManualClock(start=5)
        cfg = msgspec.structs.replace(SETTINGS, groups=GROUPS)
        self.service = JobService(cfg, clock, self, self, log=None)

    def ask(self, query):
        return query(self)

    def append_durably(self, group, record):
        self.appended.append((group, record))
        fut = Future()
        if self.failure is not None:
            fut.set_exception(self.failure)
        else:
            fut.set_result(None)
        return fut

    def find_job(self, group, job_id, is_current=False):
        if (group, job_id) not in self.jobs:
            raise NotFoundError(f"there is no job {job_id}")
        return self.jobs[group, job_id]

    def add_job(self, group="g1", **fields):
        job = Job(JOB, "kiln", SPEC, False, 1, [Task()], **fields)
        self.jobs[group, JOB] = describe_job(job, group, None, set())


def summary(withdrawn):
    return GroupSummary("g1", "e1-a", 1, [], [], {}, {}, ZERO, withdrawn=withdrawn)


class JobServiceTest(unittest.TestCase):
    def setUp(self):
        self.cell = FakeCell()
        self.service = self.cell.service

    # Guards against UNASKED: a caller was told that a job is unknown while its
    # submission was still on its way, and nothing kept the job from running.
    def test_a_job_is_reported_unknown_only_after_its_cancellation_is_stored(self):
        with self.assertRaises(NotFoundError):
            self.service.cancel(JOB, "kiln")
        self.assertEqual(self.cell.appended, [("g1", JobWithdrawn(5, JOB, "kiln"))])

    def test_a_cancellation_that_may_be_lost_is_not_reported_as_unknown_job(self):
        self.cell.failure = AppendUnknownError("no answer")
        with self.assertRaises(AppendUnknownError):
            self.service.cancel(JOB, "kiln")

    def test_an_operator_cancels_an_unknown_job_of_any_team(self):
        with self.assertRaises(NotFoundError):
            self.service.cancel(JOB)
        self.assertEqual(self.cell.appended[0][1].team, OPERATORS)

    def test_a_known_job_is_cancelled(self):
        self.cell.add_job()
        self.service.cancel(JOB, "kiln")
        self.assertEqual(self.cell.appended, [("g1", JobCancelled(5, JOB))])

    # Guards against UNASKED: an accepted job was reported as unknown until it had
    # reached the group that it moves to.
    def test_a_job_on_its_way_to_another_group_is_known_and_can_be_cancelled(self):
        self.cell.add_job(moved_to="g2")
        shown = self.service.find(JOB, "kiln")
        self.assertEqual((shown.state, shown.group), (JobState.WAITING, "g2"))
        self.service.cancel(JOB, "kiln")
        self.assertEqual(self.cell.appended, [("g2", JobWithdrawn(5, JOB, "kiln"))])

    def test_a_job_of_another_team_is_left_alone(self):
        self.cell.add_job()
        with self.assertRaises(NotFoundError):
            self.service.cancel(JOB, "planting")
        self.assertEqual(self.cell.appended, [])

    def test_nothing_is_stored_for_an_id_that_no_submission_has(self):
        for job in ("j", "x" * 24 + "@g1", JOB + "x", ""):
            with self.subTest(job), self.assertRaises(NotFoundError):
                self.service.cancel(job, "kiln")
        self.assertEqual(self.cell.appended, [])

    def test_stored_cancellations_of_unknown_jobs_are_limited_by_team(self):
        self.cell.summaries_["g1"] = summary({"kiln": 5_000})
        with self.assertRaises(AdmissionError):
            self.service.cancel(JOB, "kiln")
        self.assertEqual(self.cell.appended, [])
        with self.assertRaises(NotFoundError):
            self.service.cancel(JOB, "planting")
        self.assertEqual(len(self.cell.appended), 1)
