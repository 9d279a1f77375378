import asyncio
import tempfile
import unittest
from pathlib import Path

from pimentomill.platform.tests.soak._soak import play

SEEDS = (1,)
"""Seeds of CI; each seed that ever failed is added with a line on the cause."""


class TestSoak(unittest.TestCase):
    def test_promises_hold_under_faults_from_outside(self):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as name:
                self.assertEqual(asyncio.run(play(seed, Path(name))), [])
