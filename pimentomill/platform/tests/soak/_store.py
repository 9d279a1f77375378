"""Stand-in for the platform's store that speaks its wire protocol."""

import asyncio
import base64
import json
import struct

from aiohttp import web

from pimentomill.platform.tests.fake_wire import LoopbackServer

__all__ = ["WireStore"]

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")


def encode_record(key, value):
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content


def split_records(body):
    records, offset = [], 0
    while offset < len(body):
        (size,) = LENGTH.unpack_from(body, offset)
        offset += LENGTH.size
        records.append(body[offset : offset + size])
        offset += size
    return records


def decode_record(content):
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


class Partition:
    """Records of one topic and the state of its writers."""

    def __init__(self):
        self.records = []
        self.writers = {}
        self.appended = asyncio.Event()

    def append(self, records):
        first = len(self.records)
        self.records += records
        self.appended.set()
        self.appended = asyncio.Event()
        return {"Offset": first, "End": len(self.records)}

    def newest_by_key(self):
        return {decode_record(item)[0]: item for item in self.records}


class WireStore(LoopbackServer):
    """Serve appends and reads over HTTP.

    Attributes
    ----------
    is_down : bool
        Whether every request is answered with status 503.
    """

    def __init__(self):
        super().__init__()
        self.is_down = False
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Partition())

    def put(self, topic, key, message):
        """Append a record without fencing, as operators and workers do."""
        value = json.dumps(message).encode() if message is not None else b""
        content = encode_record(key, value)[LENGTH.size :]
        self.topic(topic).append([content])

    async def _handle(self, req):
        body = await req.read()
        if self.is_down:
            return web.Response(status=503)
        partition = self.topic(req.query["Topic"])
        if req.path == "/log-append":
            return self._append(partition, req.query, split_records(body))
        if req.path == "/log-newest":
            return self._newest(partition, req.query.get("DependsOn", ""))
        return await self._read(partition, req.query)

    def _append(self, partition, query, records):
        name = query.get("Producer")
        if name is None:
            return web.json_response(partition.append(records))
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        last_epoch, last_sequence, answers = partition.writers.get(name, (-1, -1, {}))
        if epoch < last_epoch:
            return web.json_response({"Reason": "fenced"}, status=409)
        if epoch > last_epoch:
            answers = {}
        elif sequence in answers:
            return web.json_response(answers[sequence])
        elif sequence != last_sequence + 1:
            rejection = {"Reason": "seq", "Sequence": last_sequence + 1}
            return web.json_response(rejection, status=409)
        answer = partition.append(records)
        answers = {**dict(list(answers.items())[-4:]), sequence: answer}
        partition.writers[name] = (epoch, sequence, answers)
        return web.json_response(answer)

    async def _read(self, partition, query):
        start = int(query["From"])
        if start >= len(partition.records) and int(query.get("WaitMs", 0)):
            appended = partition.appended
            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await appended.wait()
            except TimeoutError:
                pass
        body = HEADER.pack(len(partition.records), 0)
        for content in partition.records[start:]:
            body += LENGTH.pack(len(content)) + content
        return web.Response(body=body)

    @staticmethod
    def _newest(partition, after):
        rows = []
        for key, content in sorted(partition.newest_by_key().items()):
            value = decode_record(content)[1]
            if value and key > after:
                encoded = base64.b64encode(value).decode()
                rows.append({"Key": key, "Value": encoded, "Offset": 0})
        answer = {"items": rows, "HasMore": False, "End": len(partition.records)}
        return web.json_response(answer)
