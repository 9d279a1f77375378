"""A small server that answers as a test tells it, in the wire's form."""

import asyncio

from aiohttp import web


class FakeWire:
    """HTTP server with one prepared answer a path.

    Attributes
    ----------
    answers : dict of str to (int, bytes)
        Status and body by path.
    seen : list of (str, str, bytes, dict)
        Method, path with query, body and headers of each request.
    mute : set of str
        Paths that are never answered.
    """

    def __init__(self):
        self.answers = {}
        self.seen = []
        self.mute = set()
        self.port = 0
        self._runner = None
        self._closing = asyncio.Event()

    async def start(self):
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._closing.set()
        await self._runner.cleanup()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _handle(self, req):
        body = await req.read()
        self.seen.append((req.method, req.path_qs, body, dict(req.headers)))
        if req.path in self.mute:
            await self._closing.wait()
        status, content = self.answers.get(req.path, (404, b""))
        return web.Response(status=status, body=content)
