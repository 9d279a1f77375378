import unittest

from pimentomill.entry._actor import CoreActor, CoreHandle
from pimentomill.exceptions import InvariantError, NotFoundError
from pimentomill.telemetry import ComponentLogger


class ActorTest(unittest.TestCase):
    def setUp(self):
        self.fatal = []
        ref = CoreActor.start(object(), ComponentLogger("test"), self.fatal.append)
        self.core = CoreHandle(ref, 5_000)
        self.addCleanup(self.core.stop)

    def fail_with(self, exc):
        def call(core):
            raise exc

        return call

    def test_error_of_ask_is_raised_to_the_caller(self):
        with self.assertRaises(NotFoundError):
            self.core.ask(self.fail_with(NotFoundError("x")))
        self.assertEqual(self.fatal, [])

    def test_broken_invariant_in_ask_ends_the_entry(self):
        with self.assertRaises(InvariantError):
            self.core.ask(self.fail_with(InvariantError("x")))
        self.assertEqual(len(self.fatal), 1)

    def test_any_error_of_tell_ends_the_entry(self):
        self.core.tell(self.fail_with(KeyError("x")))
        self.core.ask(lambda core: None)
        self.assertEqual(len(self.fatal), 1)
