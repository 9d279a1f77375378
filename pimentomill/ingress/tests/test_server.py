import asyncio
import contextlib
import socket
import unittest
from collections import Counter
from unittest import mock

from aiohttp import web

from pimentomill.ingress import (
    CloseReason,
    IngressAccount,
    IngressLimits,
    IngressServer,
    RequestBounds,
    read_request_body,
    skip_request_body,
)
from pimentomill.ingress._connection import IngressConnection
from pimentomill.telemetry import ComponentLogger

HEADER_BYTES = 2000
BODY_BYTES = 20_000
LIMITS = IngressLimits(4_000_000, 20)
SMALL_BUFFER_BYTES = 4096
HANG_S = 60.0
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
OK = b"HTTP/1.1 200 OK"


def with_length(body):
    return HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class IngressCase(unittest.IsolatedAsyncioTestCase):
    limits = LIMITS
    header_timeout_s = HANG_S
    answer_timeout_s = HANG_S

    async def asyncSetUp(self):
        bounds = RequestBounds(
            HEADER_BYTES, BODY_BYTES, self.header_timeout_s, self.answer_timeout_s
        )
        self.account = IngressAccount(self.limits)
        self.closed = Counter()
        self.release = asyncio.Event()
        self.release.set()
        self.reading = self.in_flight = self.handled = 0
        log = ComponentLogger("test")
        log.info = mock.Mock()
        log.warning = self.warning = mock.Mock()
        self.server = IngressServer(
            self.handle,
            self.account,
            lambda: bounds,
            log,
            lambda reason: self.closed.update([reason]),
            access_log=None,
        )
        await self.server.start("127.0.0.1", 0, backlog=64)
        self.addAsyncCleanup(self.server.stop, 0.1)

    async def handle(self, req):
        self.reading += 1
        body = await read_request_body(req, BODY_BYTES, HANG_S)
        self.in_flight += 1
        self.handled += 1
        await self.release.wait()
        self.in_flight -= 1
        return web.Response(body=f"{len(body)};".encode())

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection(*self.server.address_)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def read_all(self, reader):
        """Return what is received until the connection is closed or reset."""
        received = b""
        async with asyncio.timeout(HANG_S):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(65536):
                    received += data
        return received

    async def call(self, data, end=b";"):
        reader, _ = await self.connect(data)
        async with asyncio.timeout(HANG_S):
            return await reader.readuntil(end)

    async def wait_until(self, condition):
        async with asyncio.timeout(HANG_S):
            while not condition():
                await asyncio.sleep(0.01)


class TestRequestsInsideTheLimits(IngressCase):
    async def test_bodies_of_the_maximum_size_are_served(self):
        body = b"x" * BODY_BYTES
        chunk = f"{BODY_BYTES:x}\r\n".encode() + body + b"\r\n"
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for data in (
            with_length(body),
            head + chunk + b"0\r\n\r\n",
            head + b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n",
        ):
            self.assertTrue((await self.call(data)).endswith(b"20000;"))
        self.assertEqual(self.closed, {})

    async def test_a_request_byte_by_byte(self):
        reader, writer = await self.connect()
        for byte in with_length(b"job"):
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0)
        self.assertTrue((await reader.readuntil(b";")).endswith(b"3;"))

    async def test_pipelined_requests_are_answered_in_order(self):
        bodies = [b"x" * size for size in (5, 20_000, 1, 17_000, 3)]
        reader, _ = await self.connect(b"".join(map(with_length, bodies)))
        for body in bodies:
            async with asyncio.timeout(HANG_S):
                answer = await reader.readuntil(b";")
            self.assertTrue(answer.endswith(f"{len(body)};".encode()))

    async def test_many_pipelined_requests_in_one_piece(self):
        reader, _ = await self.connect(GET * 500)
        for _ in range(500):
            async with asyncio.timeout(HANG_S):
                self.assertTrue((await reader.readuntil(b";")).startswith(OK))

    async def test_nothing_is_held_once_all_have_left(self):
        requests = (GET, with_length(b"job"), HEAD, b"\r\n\r\n", b"junk\r\n\r\n", b"")
        conns = [await self.connect(data) for data in requests * 3]
        await asyncio.sleep(0.05)
        for _, writer in conns:
            writer.close()
        await self.wait_until(lambda: not self.account.connection_count)
        self.assertEqual(self.account.held_bytes_, 0)

    async def test_only_the_connection_is_held_between_requests(self):
        await self.call(with_length(b"x" * BODY_BYTES))
        conn = next(iter(self.account._holders))
        await self.wait_until(lambda: conn.content_bytes_ == 0)
        self.assertEqual(self.account.held_bytes_, conn.base_bytes_)


class TestRefusals(IngressCase):
    async def test_header_without_end(self):
        for piece in (b"\r\n", b"a:b\r\n", b"x" * 100):
            with self.subTest(piece):
                start = b"" if piece == b"\r\n" else HEAD
                reader, _ = await self.connect(start + piece * 3000)
                answer = await self.read_all(reader)
                self.assertIn(answer[8:12], (b"", b" 431", b" 400"))
        await self.wait_until(lambda: not self.account.connection_count)
        self.assertGreaterEqual(self.closed["header_size"], 1)

    async def test_complete_header_over_the_limit(self):
        field = b"X: " + b"x" * HEADER_BYTES + b"\r\n\r\n"
        answer = await self.call(GET[:-2] + field, b"bytes")
        self.assertTrue(answer.startswith(b"HTTP/1.1 431"))

    async def test_body_over_the_limit(self):
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 2
        for data in (with_length(b"x" * (BODY_BYTES + 1)), chunked):
            answer = await self.call(data, b"bytes")
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"))

    async def test_framing_far_larger_than_the_body(self):
        extension = b"1;" + b"x" * 200_000 + b"\r\nx\r\n0\r\n\r\n"
        reader, _ = await self.connect(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + extension
        )
        answer = await self.read_all(reader)
        self.assertIn(answer[:12], (b"", b"HTTP/1.1 413"))
        self.assertEqual(self.closed["request_size"], 1)

    async def test_malformed_requests_are_counted_without_a_traceback(self):
        for _ in range(5):
            reader, _ = await self.connect(b"junk\r\n\r\n")
            self.assertTrue((await self.read_all(reader)).startswith(b"HTTP/1.0 400"))
        self.assertEqual(self.closed["malformed"], 5)
        self.warning.assert_not_called()

    async def test_a_refused_request_is_never_carried_out(self):
        def refuse(conn, count):
            conn.refuse(CloseReason.MEMORY)

        with mock.patch.object(IngressConnection, "_check_bounds", refuse):
            for data in (GET, with_length(b"job"), with_length(b"job")[:-1]):
                reader, _ = await self.connect(data)
                answer = await self.read_all(reader)
                self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        await self.wait_until(lambda: not self.server.connections)
        self.assertEqual(self.handled, 0)
        self.warning.assert_not_called()

    async def test_a_refusal_while_the_body_is_read_is_no_error(self):
        def check(conn, count):
            if conn.received_bytes_ > 3000:
                conn.refuse(CloseReason.MEMORY)

        request = with_length(b"x" * 5000)
        with mock.patch.object(IngressConnection, "_check_bounds", check):
            reader, writer = await self.connect(request[:2000])
            await self.wait_until(lambda: self.reading)
            writer.write(request[2000:4000])
            answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
        await self.wait_until(lambda: not self.server.connections)
        self.assertEqual(self.handled, 0)
        self.warning.assert_not_called()

    async def test_a_request_whose_body_is_skipped_is_not_refused(self):
        async def skip(req):
            skip_request_body(req)
            self.in_flight += 1
            await self.release.wait()
            return web.Response(body=b"done;")

        self.server.handler = skip
        self.release.clear()
        reader, _ = await self.connect(with_length(b"x" * 5000)[:-1])
        await self.wait_until(lambda: self.in_flight)
        self.account.limits = IngressLimits(0, 0)
        await self.connect()
        await self.wait_until(lambda: self.closed["connections"])
        self.release.set()
        async with asyncio.timeout(HANG_S):
            self.assertTrue((await reader.readuntil(b";")).endswith(b"done;"))

    async def test_a_caller_that_leaves_within_its_body(self):
        reader, writer = await self.connect(with_length(b"x" * 100)[:-1])
        await self.wait_until(lambda: self.account.connection_count)
        await asyncio.sleep(0.05)
        writer.close()
        await self.wait_until(lambda: not self.account.connection_count)
        self.assertEqual(self.closed["caller_left"], 1)
        self.warning.assert_not_called()


class TestFullAccount(IngressCase):
    limits = IngressLimits(1_000_000, 12)

    async def test_incomplete_bodies_go_and_an_ordinary_request_is_served(self):
        body = with_length(b"x" * BODY_BYTES)[:-1]
        crowd = [await self.connect(body) for _ in range(12)]
        self.account.limits = IngressLimits(800_000, 12)
        reader, _ = await self.connect(with_length(b"x" * 3000))
        async with asyncio.timeout(HANG_S):
            self.assertTrue((await reader.readuntil(b";")).startswith(OK))
        self.assertLessEqual(self.account.held_bytes_, 800_000)
        refused = self.closed["memory"] + self.closed["connections"]
        self.assertGreater(refused, 0)
        reading = [asyncio.ensure_future(self.read_all(reader)) for reader, _ in crowd]
        done, pending = await asyncio.wait(
            reading, timeout=HANG_S, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        self.assertTrue(done)
        for answer in filter(None, (task.result() for task in done)):
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"))
            self.assertIn(b"Retry-After: 1\r\n", answer)

    async def test_requests_in_progress_are_answered_beside_silent_connections(self):
        self.release.clear()
        working = [await self.connect(GET) for _ in range(4)]
        await self.wait_until(lambda: self.in_flight == 4)
        for _ in range(40):
            await self.connect()
        self.assertLessEqual(self.account.connection_count, 12)
        self.release.set()
        for reader, _ in working:
            async with asyncio.timeout(HANG_S):
                self.assertTrue((await reader.readuntil(b";")).startswith(OK))
        self.assertGreater(self.closed["connections"], 0)

    async def test_a_connection_is_closed_at_once_if_all_others_are_answered(self):
        self.release.clear()
        working = [await self.connect(GET) for _ in range(12)]
        await self.wait_until(lambda: self.in_flight == 12)
        reader, _ = await self.connect(GET)
        self.assertEqual(await self.read_all(reader), b"")
        self.release.set()
        for reader, _ in working:
            async with asyncio.timeout(HANG_S):
                self.assertTrue((await reader.readuntil(b";")).startswith(OK))


class TestTimeouts(IngressCase):
    header_timeout_s = 0.05
    answer_timeout_s = 0.05

    async def test_incomplete_header(self):
        reader, _ = await self.connect(HEAD)
        self.assertEqual(await self.read_all(reader), b"")
        self.assertEqual(self.closed["header_timeout"], 1)

    async def test_answers_that_nobody_reads(self):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.server.address_)
        sending = loop.create_task(loop.sock_sendall(sock, GET * 10_000))
        self.addCleanup(sending.cancel)
        await self.wait_until(lambda: self.closed["answer_unread"])
        await self.wait_until(lambda: not self.account.connection_count)
        self.assertEqual(self.account.held_bytes_, 0)
