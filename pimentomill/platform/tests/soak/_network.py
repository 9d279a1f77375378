"""Paths from the entries to the store, the workers and the other entries."""

import asyncio

from aiohttp import web

from pimentomill.platform.tests.fake_wire import LoopbackServer

from ._proxy import NetworkFault, Proxy

__all__ = [
    "CONNECTED",
    "SWITCH_ADDRESS",
    "SWITCH_PORT_VARIABLE",
    "Cut",
    "Network",
    "Switch",
]

SWITCH_ADDRESS = "127.0.0.1"
SWITCH_PORT_VARIABLE = "SOAK_SWITCH_PORT"
CONNECTED = b"+"
REFUSED = b"-"
SILENT_FAULTS = frozenset((NetworkFault.BLACKHOLE, NetworkFault.HELD))
"""Faults under which no new connection is established."""
ABORTING_FAULTS = frozenset((NetworkFault.BLACKHOLE, NetworkFault.REJECT))
"""Faults at whose end the connections that met them are aborted."""


class Cut:
    """Cut of a data centre from the store and from the other data centres.

    Parameters
    ----------
    data_centre : str
        Data centre that is cut off.
    store_fault : NetworkFault
        Fault on the paths from the entries inside to the store.
    path_fault : NetworkFault
        Fault on the paths between entries and workers on different sides.
    cuts_links : bool
        Whether it applies to the paths between entries on different sides as well.
    """

    def __init__(self, data_centre, store_fault, path_fault, cuts_links):
        self.data_centre = data_centre
        self.store_fault = store_fault
        self.path_fault = path_fault
        self.cuts_links = cuts_links

    def __str__(self):
        links = "cut" if self.cuts_links else "open"
        return (
            f"{self.data_centre}: store {self.store_fault.value}, "
            f"paths {self.path_fault.value}, links {links}"
        )


class RejectingServer(LoopbackServer):
    """Answer every request with status 503."""

    async def _handle(self, req):
        await req.read()
        return web.Response(status=503)


class Switch:
    """Make the outgoing connections of one entry.

    Parameters
    ----------
    network : Network
        Network that it belongs to.
    data_centre : str
        Data centre of the entry.

    Attributes
    ----------
    paths : dict of (str, int) to Proxy
        Path to each address that the entry has connected to.
    """

    def __init__(self, network, data_centre):
        self.network = network
        self.data_centre = data_centre
        self.paths = {}
        self.port = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, SWITCH_ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        for path in self.paths.values():
            path.abort_connections()

    def path(self, address):
        """Return the path to an address, which is created on first use."""
        if address not in self.paths:
            path = self.paths[address] = Proxy()
            path.target = address
            path.fault = self.network.fault_on(self, address)
        return self.paths[address]

    async def _serve(self, reader, writer):
        try:
            host, port = (await reader.readline()).decode().split()
        except (ValueError, OSError):
            # The entry has ended or given up in the meantime.
            writer.transport.abort()
            return
        path = self.path((host, int(port)))
        if path.fault in SILENT_FAULTS:
            await _wait_closed(reader)
            writer.transport.abort()
            return
        is_rejected = path.fault is NetworkFault.REJECT
        target = self.network.rejecting_address if is_rejected else path.target
        try:
            upstream = await asyncio.open_connection(*target)
        except OSError:
            writer.write(REFUSED)
            writer.close()
            return
        writer.write(CONNECTED)
        await path.forward((reader, writer), upstream)


async def _wait_closed(reader):
    try:
        while await reader.read(1024):
            pass
    except OSError:
        pass


class Network:
    """Places of all addresses, and the cut between them.

    Attributes
    ----------
    entries, workers : dict of (str, int) to str
        Data centre of each entry and of each worker by address.
    store_addresses : set of (str, int)
        Addresses of the store.
    rejecting_address : (str, int)
        Address that answers 503 in place of the store.
    cut : Cut or None
        Cut in force.
    store_fault : NetworkFault
        Fault on the paths from all entries to the store.
    """

    def __init__(self):
        self.entries = {}
        self.workers = {}
        self.store_addresses = set()
        self.rejecting_address = ("", 0)
        self.switches = []
        self.cut = None
        self.store_fault = NetworkFault.NONE
        self._rejecting_server = RejectingServer()

    async def start(self):
        await self._rejecting_server.start()
        self.rejecting_address = ("127.0.0.1", self._rejecting_server.port)

    async def stop(self):
        for switch in self.switches:
            switch.stop()
        await self._rejecting_server.stop()

    async def add_switch(self, data_centre):
        """Start the switch of an entry in a data centre."""
        switch = Switch(self, data_centre)
        await switch.start()
        self.switches.append(switch)
        return switch

    def fault_on(self, switch, address):
        """Return the fault on the path from an entry to an address."""
        cut = self.cut
        is_inside = cut is not None and switch.data_centre == cut.data_centre
        if address in self.store_addresses:
            return cut.store_fault if is_inside else self.store_fault
        if cut is None:
            return NetworkFault.NONE
        places = self.workers if address in self.workers else self.entries
        if places is self.entries and not cut.cuts_links:
            return NetworkFault.NONE
        is_target_inside = places.get(address) == cut.data_centre
        return NetworkFault.NONE if is_inside == is_target_inside else cut.path_fault

    def start_cut(self, cut):
        """Put a cut in force, which also affects the connections already open."""
        self.cut = cut
        self._update_faults()

    def end_cut(self):
        """End the cut; connections that have lost bytes are aborted."""
        self.cut = None
        self._update_faults()

    def set_store_fault(self, fault):
        """Set the fault on the paths from all entries to the store."""
        self.store_fault = fault
        self._update_faults()

    def _update_faults(self):
        for switch in self.switches:
            for address, path in switch.paths.items():
                fault = self.fault_on(switch, address)
                if fault is path.fault:
                    continue
                # A connection that has lost bytes cannot recover, and one to the store
                # is not one to the server that rejects in its place.
                if path.fault in ABORTING_FAULTS or fault is NetworkFault.REJECT:
                    path.abort_connections()
                path.set_fault(fault)
