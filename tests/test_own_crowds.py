"""Crowds of misbehaving clients at the callers' port of the product's own interface.

Each test starts a cell of one entry. The process of the entry has to live, its memory
and its sockets have to stay below the limits of its machine, and one ordinary request
has to be answered while the crowd is still connected.
"""

import tempfile
import unittest
from pathlib import Path

import msgspec
import trustme
import urllib3

from pimentomill.settings import EntrySettings
from scripts.cell import OPERATOR_KEY, CellShape, LocalCell
from tests.client_crowd import SHAPES, ClientCrowd, ProcessWatch, make_tls_hello

MEMORY_MB = 112
DESCRIPTORS = 500
FILE_DESCRIPTORS = 200
"""Descriptors that are reserved for files, as on the platform."""
CLIENTS = 250
SILENT_CLIENTS = 400
KB_PER_MB = 1024
HANG_S = 120.0
"""Time after which an entry without an answer counts as hung."""
SHAPE = CellShape(entries=1, workers=1, backends=1, groups=1)
KEY_LINE = f"Authorization: Bearer {OPERATOR_KEY}\r\n"
HEAD = f"POST /v1/commands HTTP/1.1\r\nHost: h\r\n{KEY_LINE}".encode()
LONG_PATH = "x" * 8000
GET_HEAD = f"GET /{LONG_PATH} HTTP/1.1\r\nHost: h\r\n{KEY_LINE}".encode()


def limit_entry(cell):
    """Lower the limits in the settings of a cell's only entry."""
    settings = cell.entries[0].settings
    if "machine" in EntrySettings.__struct_fields__:
        machine = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}
        settings["machine"] = machine


class TestOwnCrowds(unittest.TestCase):
    def start_cell(self):
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        limit_entry(cell)
        cell.start()
        return cell

    def check_crowd(self, shape, clients=CLIENTS, head=HEAD):
        cell = self.start_cell()
        self.meet_crowd(cell, clients, lambda: SHAPES[shape](head))
        self.execute_statement(cell)

    def meet_crowd(self, cell, clients, make_pieces):
        """Connect a crowd and check the process of the entry."""
        entry = cell.entries[0]
        address = ("127.0.0.1", entry.settings["callers"]["port"])
        watch = ProcessWatch(entry.pid, address)
        crowd = ClientCrowd(address, clients, make_pieces)
        self.addCleanup(crowd.close)
        crowd.send(watch)
        self.assertTrue(entry.is_running())
        self.assertLessEqual(watch.peak_kb, MEMORY_MB * KB_PER_MB)
        self.assertLessEqual(watch.sockets_, DESCRIPTORS - FILE_DESCRIPTORS)

    def execute_statement(self, cell, scheme="http", http=None):
        """Execute a statement as an ordinary client."""
        http = http or cell.http
        port = cell.entries[0].settings["callers"]["port"]
        response = http.request(
            "POST",
            f"{scheme}://127.0.0.1:{port}/v1/commands",
            body=b"show version",
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout=HANG_S,
        )
        self.assertEqual(response.status, 200)
        self.assertIn("data", msgspec.json.decode(response.data))

    def test_incomplete_body(self):
        self.check_crowd("incomplete_body")

    def test_incomplete_body_in_pieces(self):
        self.check_crowd("incomplete_body_in_pieces")

    def test_bodies_one_after_the_other(self):
        self.check_crowd("bodies_one_after_the_other")

    def test_large_chunks(self):
        self.check_crowd("large_chunks")

    def test_one_byte_chunks(self):
        self.check_crowd("one_byte_chunks")

    def test_endless_request_line(self):
        self.check_crowd("endless_request_line")

    def test_endless_fields(self):
        self.check_crowd("endless_fields")

    def test_endless_small_fields(self):
        self.check_crowd("endless_small_fields")

    def test_endless_empty_lines(self):
        self.check_crowd("endless_empty_lines")

    def test_endless_chunk_extension(self):
        self.check_crowd("endless_chunk_extension")

    def test_endless_trailer(self):
        self.check_crowd("endless_trailer")

    def test_data_after_upgrade(self):
        self.check_crowd("data_after_upgrade")

    def test_data_after_connect(self):
        self.check_crowd("data_after_connect")

    def test_compressed_bodies(self):
        self.check_crowd("compressed_bodies")

    def test_requests_without_reading(self):
        self.check_crowd("requests_without_reading", head=GET_HEAD)

    def test_silent_connections(self):
        self.check_crowd("silent_connections", SILENT_CLIENTS)

    def test_incomplete_handshakes(self):
        ca = trustme.CA()
        cert = ca.issue_cert("127.0.0.1")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        chain, key = (Path(folder.name) / name for name in ("chain.pem", "key.pem"))
        chain.write_bytes(b"".join(blob.bytes() for blob in cert.cert_chain_pems))
        cert.private_key_pem.write_to_path(key)
        root = Path(folder.name) / "root.pem"
        ca.cert_pem.write_to_path(root)
        cell = self.start_tls_cell(chain, key)
        hello = make_tls_hello()
        self.meet_crowd(cell, SILENT_CLIENTS, lambda: [hello])
        with urllib3.PoolManager(retries=False, ca_certs=str(root)) as http:
            self.execute_statement(cell, "https", http)

    def start_tls_cell(self, chain, key):
        """Start a cell whose entry serves callers with TLS."""
        cell = LocalCell(SHAPE)
        self.addCleanup(cell.close)
        limit_entry(cell)
        tls = {"certificate": str(chain), "private_key": str(key)}
        entry = cell.entries[0]
        entry.settings["callers"]["tls"] = tls
        for process in (cell.platform, *cell.workers, *cell.backends, entry):
            process.start()
        cell.wait_for(lambda: "Entry started" in entry.log_path.read_text(), "entry")
        return cell
