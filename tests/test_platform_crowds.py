"""Crowds of misbehaving clients at the callers' port of an entry of the platform.

Each test starts an entry with lowered limits. The process has to live, its memory and
its sockets have to stay below the limits of its machine, and one ordinary request has
to be answered while the crowd is still connected.
"""

import asyncio
import random
import tempfile
import unittest
from pathlib import Path

import aiohttp

from pimentomill.platform.tests.soak._cell import KEYS, Cell
from tests.client_crowd import SHAPES, ClientCrowd, ProcessWatch

MEMORY_MB = 100
DESCRIPTORS = 500
FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""
CLIENTS = 250
SILENT_CLIENTS = 400
KB_PER_MB = 1024
HANG_S = 120.0
"""Time after which an entry without an answer counts as hung."""
LIMITS = f"""
[Limits]
MemoryMb = {MEMORY_MB}
MaxFds = {DESCRIPTORS}
"""
CPU_MILLI = 100
JOB = "5c0e7a21d94b36f8"
HEAD = f"POST /q/{JOB} HTTP/1.1\r\nHost: h\r\nKey: {KEYS['t']}\r\n".encode()
GET_HEAD = HEAD.replace(b"POST", b"GET")


class TestPlatformCrowds(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        rng = random.Random(1)
        self.cell = Cell(Path(folder.name), rng, entries=1, workers=1, limits=LIMITS)
        self.addAsyncCleanup(self.cell.stop)
        await self.cell.start()
        self.cell.cpu_by_job[JOB] = CPU_MILLI
        self.entry = self.cell.entries[0]

    async def check_crowd(self, shape, clients=CLIENTS, head=HEAD):
        entry = self.entry
        address = (entry.ip, entry.ports[0])
        watch = ProcessWatch(entry.process.pid, address)
        crowd = ClientCrowd(address, clients, lambda: SHAPES[shape](head))
        self.addCleanup(crowd.close)
        await asyncio.to_thread(crowd.send, watch)
        self.assertIsNone(entry.process.returncode)
        self.assertLessEqual(watch.peak_kb, MEMORY_MB * KB_PER_MB)
        self.assertLessEqual(watch.sockets_, DESCRIPTORS - FILE_DESCRIPTORS)
        self.assertEqual(await self.submit(), 200)
        self.assertTrue(await self.cell.is_ready(entry))

    async def submit(self):
        """Submit a job as an ordinary client; return the status."""
        url = f"{self.entry.front_url}/q/{JOB}"
        body = {"Spec": "x", "Steps": [{"Count": 1, "Cpu": CPU_MILLI}]}
        headers = {"Host": "h", "Key": KEYS["t"]}
        timeout = aiohttp.ClientTimeout(total=HANG_S)
        async with self.cell.session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as resp:
            return resp.status

    async def test_incomplete_body(self):
        await self.check_crowd("incomplete_body")

    async def test_incomplete_body_in_pieces(self):
        await self.check_crowd("incomplete_body_in_pieces")

    async def test_bodies_one_after_the_other(self):
        await self.check_crowd("bodies_one_after_the_other")

    async def test_large_chunks(self):
        await self.check_crowd("large_chunks")

    async def test_one_byte_chunks(self):
        await self.check_crowd("one_byte_chunks")

    async def test_endless_request_line(self):
        await self.check_crowd("endless_request_line")

    async def test_endless_fields(self):
        await self.check_crowd("endless_fields")

    async def test_endless_small_fields(self):
        await self.check_crowd("endless_small_fields")

    async def test_endless_empty_lines(self):
        await self.check_crowd("endless_empty_lines")

    async def test_endless_chunk_extension(self):
        await self.check_crowd("endless_chunk_extension")

    async def test_endless_trailer(self):
        await self.check_crowd("endless_trailer")

    async def test_data_after_upgrade(self):
        await self.check_crowd("data_after_upgrade")

    async def test_data_after_connect(self):
        await self.check_crowd("data_after_connect")

    async def test_compressed_bodies(self):
        await self.check_crowd("compressed_bodies")

    async def test_requests_without_reading(self):
        await self.check_crowd("requests_without_reading", head=GET_HEAD)

    async def test_silent_connections(self):
        await self.check_crowd("silent_connections", SILENT_CLIENTS)
