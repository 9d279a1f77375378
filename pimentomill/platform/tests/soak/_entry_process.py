"""Entry process whose outgoing connections are made by a switch of the soak.

All entries of a soak connect from the same loopback address. The switch knows by its
port which of them connects, so that the path between any two places can be cut.
"""

import asyncio
import os
import sys

from pimentomill.platform._daemon import main

from ._network import CONNECTED, SWITCH_ADDRESS, SWITCH_PORT_VARIABLE


class SwitchedEventLoop(asyncio.SelectorEventLoop):
    """Event loop that connects through the switch."""

    async def sock_connect(self, sock, address):
        host, port = address
        switch_port = int(os.environ[SWITCH_PORT_VARIABLE])
        await super().sock_connect(sock, (SWITCH_ADDRESS, switch_port))
        await self.sock_sendall(sock, f"{host} {port}\n".encode())
        if await self.sock_recv(sock, len(CONNECTED)) != CONNECTED:
            raise ConnectionRefusedError(f"{host}:{port} refuses connections")


class SwitchedPolicy(asyncio.DefaultEventLoopPolicy):
    """Event loop policy that creates these loops."""

    def new_event_loop(self):
        return SwitchedEventLoop()


if __name__ == "__main__":
    asyncio.set_event_loop_policy(SwitchedPolicy())
    sys.exit(main(sys.argv[1:]))
