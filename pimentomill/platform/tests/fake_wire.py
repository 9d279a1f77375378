"""HTTP server with answers prepared by a test, in the wire format."""

import asyncio

from aiohttp import web


class LoopbackServer:
    """HTTP server on a free port; subclasses implement its answers.

    Attributes
    ----------
    port : int
        Port; 0 before the start.
    """

    def __init__(self):
        self.port = 0
        self._runner = None

    async def start(self):
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self):
        await self._runner.cleanup()

    async def _handle(self, req):
        raise NotImplementedError


class FakeWire(LoopbackServer):
    """HTTP server with one prepared answer per path.

    Attributes
    ----------
    answers : dict of str to (int, bytes)
        Status and body by path.
    requests : list of (str, str, bytes, dict)
        Method, path with query, body and headers of each request.
    unanswered : set of str
        Paths that are never answered.
    throttled : dict of str to (int, float)
        Bytes per chunk and seconds before the next one by path, as over a slow link.
    stalled : set of str
        Paths whose answers stop after the first chunk.
    """

    def __init__(self):
        super().__init__()
        self.answers = {}
        self.requests = []
        self.unanswered = set()
        self.throttled = {}
        self.stalled = set()
        self._closing = asyncio.Event()

    async def stop(self):
        self._closing.set()
        await super().stop()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _handle(self, req):
        body = await req.read()
        self.requests.append((req.method, req.path_qs, body, dict(req.headers)))
        if req.path in self.unanswered:
            await self._closing.wait()
        status, content = self.answers.get(req.path, (404, b""))
        if req.path in self.throttled:
            return await self._send_throttled(req, status, content)
        return web.Response(status=status, body=content)

    async def _send_throttled(self, req, status, content):
        size, gap_s = self.throttled[req.path]
        resp = web.StreamResponse(status=status)
        resp.content_length = len(content)
        await resp.prepare(req)
        for start in range(0, len(content), size):
            await resp.write(content[start : start + size])
            if req.path in self.stalled:
                await self._closing.wait()
            await asyncio.sleep(gap_s)
        return resp
