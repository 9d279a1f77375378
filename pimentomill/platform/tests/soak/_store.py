"""Stand-in of the platform's store, in the wire's form."""

import asyncio
import base64
import json
import struct

from aiohttp import web

from pimentomill.platform.tests.fake_wire import LoopbackServer

__all__ = ["WireStore"]

LENGTH = struct.Struct(">I")
HEADER = struct.Struct(">QQ")


def frame(key, value):
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content


def split(body):
    records, at = [], 0
    while at < len(body):
        (size,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        records.append(body[at : at + size])
        at += size
    return records


def key_and_value(content):
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


class Partition:
    """Records of one topic, and its writers."""

    def __init__(self):
        self.records = []
        self.writers = {}
        self.grown = asyncio.Event()

    def append(self, records):
        first = len(self.records)
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()
        return {"Offset": first, "End": len(self.records)}

    def newest(self):
        return {key_and_value(item)[0]: item for item in self.records}


class WireStore(LoopbackServer):
    """Answers appends and reads.

    Attributes
    ----------
    is_down : bool
        Whether every call gets 503.
    """

    def __init__(self):
        super().__init__()
        self.is_down = False
        self.topics = {}

    def topic(self, name):
        return self.topics.setdefault(name, Partition())

    def put(self, topic, key, message):
        """Write as operators and workers do."""
        value = json.dumps(message).encode() if message is not None else b""
        content = frame(key, value)[LENGTH.size :]
        self.topic(topic).append([content])

    async def _handle(self, req):
        body = await req.read()
        if self.is_down:
            return web.Response(status=503)
        part = self.topic(req.query["Topic"])
        if req.path == "/log-append":
            return self._append(part, req.query, split(body))
        if req.path == "/log-newest":
            return self._newest(part, req.query.get("DependsOn", ""))
        return await self._read(part, req.query)

    def _append(self, part, query, records):
        name = query.get("Producer")
        if name is None:
            return web.json_response(part.append(records))
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        known_epoch, known, answers = part.writers.get(name, (-1, -1, {}))
        if epoch < known_epoch:
            return web.json_response({"Reason": "fenced"}, status=409)
        if epoch > known_epoch:
            answers = {}
        elif sequence in answers:
            return web.json_response(answers[sequence])
        elif sequence != known + 1:
            refusal = {"Reason": "seq", "Sequence": known + 1}
            return web.json_response(refusal, status=409)
        answer = part.append(records)
        answers = {**dict(list(answers.items())[-4:]), sequence: answer}
        part.writers[name] = (epoch, sequence, answers)
        return web.json_response(answer)

    async def _read(self, part, query):
        start = int(query["From"])
        if start >= len(part.records) and int(query.get("WaitMs", 0)):
            grown = part.grown
            try:
                async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                    await grown.wait()
            except TimeoutError:
                pass
        body = HEADER.pack(len(part.records), 0)
        for content in part.records[start:]:
            body += LENGTH.pack(len(content)) + content
        return web.Response(body=body)

    @staticmethod
    def _newest(part, after):
        rows = []
        for key, content in sorted(part.newest().items()):
            value = key_and_value(content)[1]
            if value and key > after:
                encoded = base64.b64encode(value).decode()
                rows.append({"Key": key, "Value": encoded, "Offset": 0})
        answer = {"items": rows, "HasMore": False, "End": len(part.records)}
        return web.json_response(answer)
