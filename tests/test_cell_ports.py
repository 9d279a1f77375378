"""Ports of local cells that several processes start concurrently."""

import subprocess
import sys
import unittest

PORTS_SCRIPT = """
import os
os.getpid = lambda: 7
from scripts.cell import find_free_port
print(*(find_free_port() for _ in range(5)), flush=True)
input()
"""
"""Allocates ports with a process id that maps to the same block as another's."""


class CellPortsTest(unittest.TestCase):
    def allocate_ports(self):
        child = subprocess.Popen(
            [sys.executable, "-c", PORTS_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(child.communicate, "\n")
        return set(child.stdout.readline().split())

    # Two cells found the same port free before either listened on it, so one of them
    # failed to start.
    def test_port_is_allocated_once_before_a_process_listens_on_it(self):
        first, second = self.allocate_ports(), self.allocate_ports()
        self.assertEqual((len(first), len(second)), (5, 5))
        self.assertFalse(first & second)
