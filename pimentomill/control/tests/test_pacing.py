"""Speed limits of runs that use idle CPU time."""

import asyncio
from unittest import mock

from pimentomill.control import ControlSettings
from pimentomill.control._context import ControlContext
from pimentomill.control._pacing import Pacing
from pimentomill.dispatch.tests.samples import step
from pimentomill.fleet import RunStatus
from pimentomill.jobs import TaskKey
from pimentomill.replica import Authority

from .test_leader_state import JOB, LeaderStateCase

TASK = TaskKey(JOB, 0, 0, 0)


class TestPacing(LeaderStateCase):
    def setUp(self):
        super().setUp()
        self.port = mock.AsyncMock()
        self.pacing = Pacing(
            ControlContext(
                self.state,
                self.port,
                self.clock,
                ControlSettings(),
                Authority(self.clock.now(), self.clock.now()),
                mock.Mock(),
                mock.Mock(),
            )
        )

    def adjust(self):
        async def run_calls():
            await asyncio.gather(*self.pacing._adjust(self.state.workers["w1"]))

        asyncio.run(run_calls())
        return [call.args[3] for call in self.port.pace.await_args_list]

    # Guards against a run that never ends: the previous leader has stopped its progress
    # by a pace of 0, which no report shows.
    def test_a_run_that_the_previous_leader_has_paced_down_is_sped_up_again(self):
        self.submit([step(uses_idle_cpu=True)], inherited=True)
        report = self.report([RunStatus(TASK, 1, "", 40, 0)])
        self.state.apply_report(self.state.workers["w1"], report, self.clock.now())
        self.assertEqual(self.adjust(), [100])
        self.assertEqual(self.adjust(), [100])
