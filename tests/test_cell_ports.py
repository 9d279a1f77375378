"""Ports of small cells that several processes start at once."""

import subprocess
import sys
import unittest

HAND_OUT = """
import os
os.getpid = lambda: 7
from scripts.cell import free_port
print(*(free_port() for _ in range(5)), flush=True)
input()
"""
"""Hands out ports as a process whose id falls on the same block as another's."""


class PortsTest(unittest.TestCase):
    def hand_out(self):
        child = subprocess.Popen(
            [sys.executable, "-c", HAND_OUT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(child.communicate, "\n")
        return set(child.stdout.readline().split())

    # Two cells took a port that was free when each looked, and one did not start.
    def test_port_is_handed_out_once_before_anybody_listens_on_it(self):
        first, second = self.hand_out(), self.hand_out()
        self.assertEqual((len(first), len(second)), (5, 5))
        self.assertFalse(first & second)
