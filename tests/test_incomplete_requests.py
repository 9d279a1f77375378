"""Connections that never send a whole request, at the product's own port."""

import socket
import unittest

from scripts.cell import CellShape, SmallCell

SHAPE = CellShape(entries=1, workers=1, backends=1, groups=1)
CONNECTIONS = 200
HALF_A_HEADER = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Half"
HELD_UP_S = 5.0


class HalfSentTest(unittest.TestCase):
    def test_half_sent_requests_delay_nobody(self):
        cell = SmallCell(SHAPE)
        self.addCleanup(cell.close)
        cell.start()
        port = cell.entries[0].settings["callers"]["port"]
        for _ in range(CONNECTIONS):
            slow = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(slow.close)
            slow.sendall(HALF_A_HEADER)
        with socket.create_connection(("127.0.0.1", port), HELD_UP_S) as caller:
            caller.settimeout(HELD_UP_S)
            caller.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertTrue(caller.recv(64).startswith(b"HTTP/1.1 "))
