"""Stand-in of the platform's log store."""

import asyncio
import base64
import contextlib
import json
import struct

import msgspec
from aiohttp import web

from .record import Record

__all__ = ["Store"]

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")
ANSWER_S = 0.004
"""Time to an answer, as on the site's sheet."""
REMEMBERED_APPENDS = 5
MAX_ITEMS = 500


def encode_record(key: str, value: bytes) -> bytes:
    """Return the content of a record of a keyed topic."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def decode_record(content: bytes) -> tuple[str, bytes]:
    """Return key and value of a record of a keyed topic."""
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


class Partition:
    """Records of one topic and the epochs of its producers."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, tuple[int, int, dict]] = {}
        self.appended = asyncio.Event()

    def append(self, records: list[bytes]) -> dict:
        """Append records and return the answer."""
        first = len(self.records)
        for offset, content in enumerate(records, first):
            key, value = decode_record(content)
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (offset, value)
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return {"Offset": first, "End": len(self.records)}


class Store:
    """Serve appends and reads of keyed topics with one partition each.

    Parameters
    ----------
    record : Record
        Record of the run.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.topics: dict[str, Partition] = {}
        self.rejected_ports: set[int] = set()
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None), shutdown_timeout=0
        )

    async def start(self) -> None:
        """Prepare to listen."""
        await self._runner.setup()

    async def open_port(self) -> int:
        """Listen on a free port for one machine and return the port.

        Calls that arrive at one of `rejected_ports` are answered with 503.
        """
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return self._runner.addresses[-1][1]

    def leader(self) -> dict:
        """Return the newest leader record of the system."""
        found = self.partition("keyed.work").newest.get("leader")
        return msgspec.msgpack.decode(found[1]) if found else {}

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def partition(self, topic: str) -> Partition:
        """Return a topic's partition, which is created on first use."""
        return self.topics.setdefault(topic, Partition())

    def put(self, topic: str, key: str, message: dict | None) -> None:
        """Write a record as the operator and the executors do."""
        value = json.dumps(message).encode() if message is not None else b""
        self.partition(topic).append([encode_record(key, value)])

    async def _handle(self, req: web.BaseRequest) -> web.Response:
        body = await req.read()
        if req.transport.get_extra_info("sockname")[1] in self.rejected_ports:
            return web.Response(status=503)
        await asyncio.sleep(ANSWER_S)
        partition = self.partition(req.query["Topic"])
        if req.path == "/log-append":
            return self._append(partition, req.query, body)
        if req.path == "/log-newest":
            return self._newest(partition, req.query.get("DependsOn", ""))
        if req.path == "/log-read":
            return await self._read(partition, req.query)
        return web.Response(status=404)

    def _append(self, partition: Partition, query, body: bytes) -> web.Response:
        records, offset = [], 0
        while offset < len(body):
            (size,) = LENGTH.unpack_from(body, offset)
            offset += LENGTH.size
            records.append(body[offset : offset + size])
            offset += size
        name = query.get("Producer")
        if name is None:
            return web.json_response(partition.append(records))
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        last_epoch, last, answers = partition.producers.get(name, (-1, -1, {}))
        if epoch < last_epoch:
            return web.json_response({"Reason": "fenced"}, status=409)
        if epoch > last_epoch:
            answers = {}
            self.record.write(f"store: producer {name} begins epoch {epoch}")
        elif sequence in answers:
            return web.json_response(answers[sequence])
        elif sequence != last + 1:
            reason = {"Reason": "seq", "Sequence": last + 1}
            return web.json_response(reason, status=409)
        answer = partition.append(records)
        kept = list(answers.items())[1 - REMEMBERED_APPENDS :]
        partition.producers[name] = (epoch, sequence, {**dict(kept), sequence: answer})
        return web.json_response(answer)

    @staticmethod
    async def _read(partition: Partition, query) -> web.Response:
        start = int(query["From"])
        wait_s = int(query.get("WaitMs", 0)) / 1000
        if start >= len(partition.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(partition.appended.wait(), wait_s)
        parts = [HEADER.pack(len(partition.records), 0)]
        limit = int(query.get("MaxKb", 1024)) * 1024
        for content in partition.records[start:]:
            parts += (LENGTH.pack(len(content)), content)
            limit -= len(content)
            if limit <= 0:
                break
        return web.Response(body=b"".join(parts))

    @staticmethod
    def _newest(partition: Partition, after: str) -> web.Response:
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:MAX_ITEMS]:
            offset, value = partition.newest[key]
            encoded = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": encoded, "Offset": offset})
        return web.json_response(
            {
                "items": items,
                "HasMore": len(keys) > MAX_ITEMS,
                "End": len(partition.records),
            }
        )
