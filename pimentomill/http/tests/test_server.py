import socket
import tempfile
import threading
import unittest
from pathlib import Path

import trustme
import urllib3

from pimentomill.exceptions import AdmissionError, NotFoundError, ValidationError
from pimentomill.http import HttpRequest, HttpResponse, HttpServer, Router
from pimentomill.settings import TlsSettings


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def request(method, path):
    return HttpRequest(method, path, "", {}, b"")


class RouterTest(unittest.TestCase):
    def setUp(self):
        self.unexpected_errors = []
        self.router = Router(lambda req, exc: self.unexpected_errors.append(exc))

    def dispatch_failing(self, exc):
        def handler(req, name):
            raise exc

        self.router.add("GET", "/things/{name}", handler)
        return self.router.dispatch(request("GET", "/things/a"))

    def test_exceptions_map_to_statuses(self):
        cases = {400: ValidationError("x"), 404: NotFoundError("x")}
        for status, exc in cases.items():
            with self.subTest(status):
                self.setUp()
                self.assertEqual(self.dispatch_failing(exc).status, status)

    def test_admission_error_sets_retry_after(self):
        response = self.dispatch_failing(AdmissionError("full", 1_500))
        self.assertEqual((response.status, response.headers["Retry-After"]), (429, "2"))

    def test_unexpected_error_hides_internal_details(self):
        response = self.dispatch_failing(KeyError("secret"))
        self.assertEqual(response.status, 500)
        self.assertNotIn(b"secret", response.body)
        self.assertEqual(len(self.unexpected_errors), 1)

    def test_path_segment_is_passed_by_name(self):
        self.router.add("GET", "/jobs/{job}", lambda req, job: HttpResponse.text(job))
        self.assertEqual(
            self.router.dispatch(request("GET", "/jobs/j@g1")).body, b"j@g1"
        )


class TlsTest(unittest.TestCase):
    def setUp(self):
        tmp_dir = tempfile.TemporaryDirectory()
        self.addCleanup(tmp_dir.cleanup)
        ca = trustme.CA()
        certificate = ca.issue_cert("127.0.0.1")
        self.ca_path = str(Path(tmp_dir.name) / "ca.pem")
        chain, key = Path(tmp_dir.name) / "chain.pem", Path(tmp_dir.name) / "key.pem"
        ca.cert_pem.write_to_path(self.ca_path)
        certificate.cert_chain_pems[0].write_to_path(str(chain))
        certificate.private_key_pem.write_to_path(str(key))
        router = Router()
        router.add("GET", "/x", lambda req: HttpResponse.text("whole"))
        port = free_port()
        tls = TlsSettings(certificate=str(chain), private_key=str(key))
        server = HttpServer("127.0.0.1", port, router, tls=tls)
        server.start()
        self.addCleanup(server.stop)
        self.url = f"https://127.0.0.1:{port}/x"

    def test_client_that_trusts_the_ca_is_served(self):
        pool = urllib3.PoolManager(ca_certs=self.ca_path, retries=False)
        self.assertEqual(pool.request("GET", self.url).data, b"whole")

    def test_client_that_does_not_trust_the_ca_gets_an_ssl_error(self):
        pool = urllib3.PoolManager(retries=False)
        with self.assertRaises(urllib3.exceptions.SSLError):
            pool.request("GET", self.url)


class OverloadTest(unittest.TestCase):
    def test_excess_connection_gets_503(self):
        release = threading.Event()
        router = Router()
        router.add("GET", "/x", lambda req: release.wait() and HttpResponse.text("x"))
        port = free_port()
        server = HttpServer("127.0.0.1", port, router, threads=1, backlog=2)
        server.start()
        self.addCleanup(server.stop)
        self.addCleanup(release.set)
        raw_request = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        socks = []
        for _ in range(12):
            sock = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(sock.close)
            sock.sendall(raw_request)
            socks.append(sock)
        socks[-1].settimeout(20)
        self.assertEqual(socks[-1].recv(12), b"HTTP/1.1 503")
