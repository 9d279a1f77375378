import unittest

from pimentomill.ingress import (
    CloseReason,
    ConnectionState,
    IngressAccount,
    IngressLimits,
)

KB = 1024
BASE_BYTES = 10 * KB
MAX_BYTES = 1000 * KB


class FakeConnection:
    def __init__(self, since=0.0, state=ConnectionState.IDLE):
        self.state_ = state
        self.since_ = since
        self.base_bytes_ = BASE_BYTES
        self.content_bytes_ = 0
        self.refused = []

    def refuse(self, reason):
        self.refused.append(reason)


class TestIngressAccount(unittest.TestCase):
    def setUp(self):
        self.account = IngressAccount(IngressLimits(MAX_BYTES, 8))

    def open(self, *args, content=0):
        conn = FakeConnection(*args)
        self.assertTrue(self.account.open(conn))
        self.account.charge(conn, content)
        return conn

    def test_charges_are_given_back(self):
        first, second = self.open(), self.open(content=5 * KB)
        self.account.release(second, 2 * KB)
        self.assertEqual(self.account.held_bytes_, 2 * BASE_BYTES + 3 * KB)
        for conn in (first, second, second):
            self.account.close(conn)
        self.account.charge(second, KB)
        self.assertEqual(self.account.held_bytes_, 0)
        self.assertEqual(self.account.connection_count, 0)

    def test_the_largest_request_is_refused_first(self):
        receiving = ConnectionState.RECEIVING
        large = self.open(2.0, receiving, content=600 * KB)
        medium = self.open(1.0, receiving, content=300 * KB)
        small = self.open(0.0, receiving, content=4 * KB)
        idle = self.open(0.0)
        self.account.charge(small, 50 * KB)
        self.account.charge(small, 50 * KB)
        self.assertEqual(large.refused, [CloseReason.MEMORY])
        for conn in (medium, small, idle):
            self.assertEqual(conn.refused, [])

    def test_idle_connections_go_before_ordinary_requests(self):
        receiving = self.open(0.0, ConnectionState.RECEIVING, content=4 * KB)
        idle = [self.open(since) for since in (3.0, 1.0, 2.0, 4.0, 5.0, 6.0, 7.0)]
        self.open(8.0)
        self.assertEqual(idle[1].refused, [CloseReason.CONNECTIONS])
        self.assertEqual(receiving.refused, [])
        self.assertLessEqual(self.account.connection_count, 8)

    def test_requests_that_are_answered_stay(self):
        answering = ConnectionState.ANSWERING
        conns = [self.open(0.0, answering, content=10 * KB) for _ in range(8)]
        late = FakeConnection()
        self.assertFalse(self.account.open(late))
        self.account.charge(conns[0], 2 * MAX_BYTES)
        for conn in conns:
            self.assertEqual(conn.refused, [])
        self.assertEqual(self.account.connection_count, 8)

    def test_a_request_without_room_is_refused_beside_those_answered(self):
        first = self.open(0.0, ConnectionState.ANSWERING, content=970 * KB)
        conn = self.open(1.0, ConnectionState.RECEIVING)
        self.account.charge(conn, 20 * KB)
        self.assertEqual(conn.refused, [CloseReason.MEMORY])
        self.account.charge(first, 15 * KB)
        self.assertFalse(self.account.open(FakeConnection(2.0)))

    def test_no_more_than_the_bound_is_held_by_requests_being_received(self):
        for number in range(100):
            conn = FakeConnection(number, ConnectionState.RECEIVING)
            if self.account.open(conn):
                self.account.charge(conn, 7 * number * KB)
            self.assertLessEqual(self.account.held_bytes_, MAX_BYTES)
            self.assertLessEqual(self.account.connection_count, 8)
