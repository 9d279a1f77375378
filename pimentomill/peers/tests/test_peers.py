import socket
import threading
import unittest

from pimentomill.exceptions import NotFoundError, TransportError
from pimentomill.peers import (
    GetJobRequest,
    JobList,
    ListJobsRequest,
    PeerClient,
    PeerServer,
)
from pimentomill.utils import TrafficMeter


def unused_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class TestPeers(unittest.TestCase):
    def setUp(self):
        self.address = unused_address()
        self.client = PeerClient(TrafficMeter())
        self.addCleanup(self.client.close)

    def serve(self, handler):
        server = PeerServer(self.address, handler, TrafficMeter(), threads=4)
        server.start()
        self.addCleanup(server.stop)

    def test_request_is_answered(self):
        self.serve(lambda message: JobList([]))
        reply = self.client.ask(self.address, ListJobsRequest(), 5_000)
        self.assertEqual(reply, JobList([]))

    def test_request_to_absent_peer_is_reported_as_not_sent(self):
        with self.assertRaises(TransportError) as caught:
            self.client.ask(self.address, ListJobsRequest(), 5_000)
        self.assertFalse(caught.exception.sent)

    def test_unanswered_request_is_reported_as_sent(self):
        release = threading.Event()
        self.serve(lambda message: release.wait() and JobList([]))
        self.addCleanup(release.set)
        with self.assertRaises(TransportError) as caught:
            self.client.ask(self.address, ListJobsRequest(), 200)
        self.assertTrue(caught.exception.sent)

    def test_late_reply_is_not_returned_for_next_request(self):
        first_received = threading.Event()
        release = threading.Event()

        def handler(message):
            if isinstance(message, GetJobRequest):
                first_received.set()
                release.wait()
                raise NotFoundError("late")
            return JobList([])

        self.serve(handler)
        self.addCleanup(release.set)
        with self.assertRaises(TransportError):
            self.client.ask(self.address, GetJobRequest("g1", "j"), 200)
        release.set()
        self.assertTrue(first_received.is_set())
        for _ in range(20):
            reply = self.client.ask(self.address, ListJobsRequest(), 5_000)
            self.assertEqual(reply, JobList([]))

    def test_error_of_peer_is_raised_by_client(self):
        def handler(message):
            raise NotFoundError("there is no job j")

        self.serve(handler)
        with self.assertRaisesRegex(NotFoundError, "no job j"):
            self.client.ask(self.address, GetJobRequest("g1", "j"), 5_000)

    def test_concurrent_requests_get_their_own_replies(self):
        def handler(message):
            raise NotFoundError(message.job)

        self.serve(handler)
        errors = {}

        def ask(number):
            try:
                self.client.ask(self.address, GetJobRequest("g1", f"j{number}"), 5_000)
            except NotFoundError as exc:
                errors[number] = str(exc)

        threads = [threading.Thread(target=ask, args=(i,)) for i in range(24)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(errors, {i: f"j{i}" for i in range(24)})
