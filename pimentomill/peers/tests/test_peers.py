import socket
import threading
import unittest

from pimentomill.exceptions import NotFoundError, TransportError
from pimentomill.peers import AskJob, AskJobs, JobList, PeerClient, PeerServer
from pimentomill.utils import TrafficMeter


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class PeersTest(unittest.TestCase):
    def setUp(self):
        self.address = free_address()
        self.client = PeerClient(TrafficMeter())
        self.addCleanup(self.client.close)

    def serve(self, handler):
        server = PeerServer(self.address, handler, TrafficMeter(), threads=4)
        server.start()
        self.addCleanup(server.stop)

    def test_question_is_answered(self):
        self.serve(lambda message: JobList([]))
        reply = self.client.ask(self.address, AskJobs(), 5_000)
        self.assertEqual(reply, JobList([]))

    def test_peer_that_is_not_there_is_surely_not_reached(self):
        with self.assertRaises(TransportError) as caught:
            self.client.ask(self.address, AskJobs(), 5_000)
        self.assertFalse(caught.exception.sent)

    def test_silent_peer_may_have_got_the_question(self):
        release = threading.Event()
        self.serve(lambda message: release.wait() and JobList([]))
        self.addCleanup(release.set)
        with self.assertRaises(TransportError) as caught:
            self.client.ask(self.address, AskJobs(), 200)
        self.assertTrue(caught.exception.sent)

    def test_late_answer_does_not_reach_the_next_question(self):
        first_seen = threading.Event()
        release = threading.Event()

        def handler(message):
            if isinstance(message, AskJob):
                first_seen.set()
                release.wait()
                raise NotFoundError("late")
            return JobList([])

        self.serve(handler)
        self.addCleanup(release.set)
        with self.assertRaises(TransportError):
            self.client.ask(self.address, AskJob("g1", "j"), 200)
        release.set()
        self.assertTrue(first_seen.is_set())
        for _ in range(20):
            reply = self.client.ask(self.address, AskJobs(), 5_000)
            self.assertEqual(reply, JobList([]))

    def test_error_of_the_peer_comes_back(self):
        def handler(message):
            raise NotFoundError("there is no job j")

        self.serve(handler)
        with self.assertRaisesRegex(NotFoundError, "no job j"):
            self.client.ask(self.address, AskJob("g1", "j"), 5_000)

    def test_answers_go_to_the_questions_they_belong_to(self):
        def handler(message):
            raise NotFoundError(message.job)

        self.serve(handler)
        got = {}

        def ask(number):
            try:
                self.client.ask(self.address, AskJob("g1", f"j{number}"), 5_000)
            except NotFoundError as exc:
                got[number] = str(exc)

        threads = [threading.Thread(target=ask, args=(i,)) for i in range(24)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(got, {i: f"j{i}" for i in range(24)})
