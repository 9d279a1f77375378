"""Connections to the caller port that never send a complete request."""

import socket
import unittest

from scripts.cell import CellShape, LocalCell

SHAPE = CellShape(entries=1, workers=1, backends=1, groups=1)
CONNECTION_COUNT = 200
INCOMPLETE_REQUEST = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX-Half"
TIMEOUT_S = 5.0


class IncompleteRequestsTest(unittest.TestCase):
    def test_incomplete_requests_do_not_delay_others(self):
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        cell.start()
        port = cell.entries[0].settings["callers"]["port"]
        for _ in range(CONNECTION_COUNT):
            slow = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(slow.close)
            slow.sendall(INCOMPLETE_REQUEST)
        with socket.create_connection(("127.0.0.1", port), TIMEOUT_S) as caller:
            caller.settimeout(TIMEOUT_S)
            caller.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertTrue(caller.recv(64).startswith(b"HTTP/1.1 "))
