import unittest
from unittest import mock

from pimentomill.exceptions import FencedError
from pimentomill.utils import _supervise, supervise


class TestSupervise(unittest.IsolatedAsyncioTestCase):
    """An unexpected error in one task must not end the process."""

    def setUp(self):
        quick = mock.patch.object(_supervise, "RESTART_DELAY_S", 0)
        quick.start()
        self.addCleanup(quick.stop)
        self.log = mock.Mock()
        self.errors = []

    async def run_once(self):
        if self.errors:
            raise self.errors.pop()
        return "done"

    async def test_a_failed_task_starts_again_and_the_error_is_logged(self):
        self.errors = [RuntimeError("first"), KeyError("second")]
        result = await supervise("plan", self.run_once, self.log)
        self.assertEqual(result, "done")
        reasons = [call.kwargs["why"] for call in self.log.warning.call_args_list]
        self.assertEqual(reasons, ["KeyError: 'second'", "RuntimeError: first"])

    async def test_errors_that_the_caller_handles_are_raised(self):
        self.errors = [FencedError("another leader")]
        with self.assertRaises(FencedError):
            await supervise("plan", self.run_once, self.log, (FencedError,))
        self.log.warning.assert_not_called()
