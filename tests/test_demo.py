"""The demo on a cell that is slow to start."""

import contextlib
import io
import unittest

from scripts.cell import CellShape, LocalCell
from scripts.demo import Demo

SHAPE = CellShape(entries=2, workers=2, backends=1, groups=2)


class LateBackendTest(unittest.TestCase):
    # The demo failed if it sent a request before the entry knew a backend server.
    def test_request_is_answered_although_its_backend_server_starts_late(self):
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        late, cell.backends = cell.backends, []
        cell.start()
        cell.backends = late
        for backend in late:
            backend.start()
        demo = Demo(cell)
        with contextlib.redirect_stdout(io.StringIO()):
            demo.create_team()
            demo.send_requests()
