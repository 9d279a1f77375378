import unittest

from pimentomill.journal import decode_envelope
from pimentomill.utils import Resources
from pimentomill.work import (
    BatchSpec,
    JobCancelled,
    JobMoved,
    WorkFold,
)

from .fixtures import HolderFixture

TOO_LARGE = BatchSpec(resources=Resources(64_000, 100, 0))


def fold_target(fixture):
    """Return the job in the group that it has moved to."""
    target = WorkFold()
    for offset, payload in enumerate(fixture.logs["g2"]):
        target.apply(offset, decode_envelope(payload))
    return target.state_.jobs["j"]


class MoveTest(unittest.TestCase):
    def setUp(self):
        self.fixture = HolderFixture(["w1"])
        self.fixture.accept(TOO_LARGE)
        self.fixture.write("g1", JobMoved(2, 1, "j", "g2"))

    def test_a_cancellation_follows_a_moved_job(self):
        self.fixture.run(200)
        self.fixture.write("g1", JobCancelled(3, "j"), "e2-a")
        self.fixture.run(200)
        self.assertTrue(fold_target(self.fixture).cancelled)

    # Guards against UNASKED: the cancellation of a moved job was acknowledged, and lost
    # with the holder that was to pass it on.
    def test_a_later_holder_passes_on_the_cancellation_of_a_moved_job(self):
        self.fixture.run(2_000)
        moved = self.fixture.holder.fold_.state_.jobs["j"]
        self.assertTrue(moved.move_confirmed)
        self.fixture.write("g1", JobCancelled(3, "j"), "e2-a")
        self.fixture.take_over()
        self.fixture.run(200)
        self.assertTrue(fold_target(self.fixture).cancelled)
