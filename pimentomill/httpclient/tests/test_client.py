import asyncio
import unittest
from unittest import mock

from pimentomill.exceptions import TransportError
from pimentomill.httpclient import HttpClient, _client

CONNECTIONS = 3
TIMEOUT_MS = 100
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SilentServer:
    """Server whose open connections can go silent for good."""

    def __init__(self):
        self.opened = 0
        self._is_silent: dict[asyncio.StreamWriter, bool] = {}

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}/"

    def silence(self):
        self._is_silent = dict.fromkeys(self._is_silent, True)

    async def _serve(self, reader, writer):
        self.opened += 1
        self._is_silent[writer] = False
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                # Requests overlap, so that each needs a connection of its own.
                await asyncio.sleep(0.01)
                if not self._is_silent[writer]:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            del self._is_silent[writer]
            writer.close()

    async def stop(self):
        self._server.close()
        for writer in list(self._is_silent):
            writer.close()


class TestRenewal(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = SilentServer()
        await self.server.start()
        self.client = HttpClient(CONNECTIONS)
        await self.call_together()

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop()

    async def call(self, renews=False, timeout_ms=TIMEOUT_MS):
        url = self.server.url
        reply = await self.client.call("GET", url, timeout_ms, renews=renews)
        self.assertEqual(reply.status, 200)

    async def call_together(self):
        calls = (self.call(timeout_ms=10_000) for _ in range(CONNECTIONS))
        await asyncio.gather(*calls)

    # Guards against a worker that stays out of reach for a time-out of each connection
    # that has gone silent.
    async def test_one_request_without_an_answer_leads_to_new_connections(self):
        self.server.silence()
        with self.assertRaises(TransportError):
            await self.call(renews=True)
        await self.call_together()

    async def test_other_requests_go_on_using_open_connections(self):
        self.server.silence()
        for _ in range(CONNECTIONS):
            with self.assertRaises(TransportError):
                await self.call()
        self.assertEqual(self.server.opened, CONNECTIONS)
        await self.call(timeout_ms=10_000)

    async def test_requests_under_way_go_on(self):
        under_way = asyncio.ensure_future(self.call(timeout_ms=10_000))
        await asyncio.sleep(0)
        self.client._renew(self.server.url)
        self.client._renew(self.server.url)
        await under_way
        self.assertEqual(self.server.opened, CONNECTIONS)

    async def test_replaced_connections_are_closed(self):
        self.client._renew(self.server.url)
        await self.call_together()
        with mock.patch.object(_client, "CLOSE_DELAY_S", 0.0):
            self.client._renew(self.server.url)
            await asyncio.gather(*self.client._closing)
            self.assertEqual(self.client._closing, {})

    async def test_a_bounded_number_of_addresses_has_connections_of_its_own(self):
        with mock.patch.object(_client, "MAX_RENEWED_ADDRESSES", 2):
            for port in range(1, 6):
                self.client._renew(f"http://127.0.0.1:{port}/hold")
        self.assertEqual(list(self.client._renewed), ["127.0.0.1:4", "127.0.0.1:5"])
