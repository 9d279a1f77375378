import unittest
from types import SimpleNamespace

from pimentomill.platform.tests.soak._network import Cut, Network
from pimentomill.platform.tests.soak._proxy import NetworkFault

INSIDE, OUTSIDE = "z1", "z2"
STORE = ("127.0.0.1", 1)
ENTRIES = {INSIDE: ("127.1.0.1", 2), OUTSIDE: ("127.1.0.2", 2)}
WORKERS = {INSIDE: ("127.0.0.1", 3), OUTSIDE: ("127.0.0.1", 4)}


class TestCut(unittest.TestCase):
    """A cut leaves a path open, so that the soak shows no fault."""

    def fault(self, source, address, cuts_links=True, store_fault=NetworkFault.NONE):
        network = Network()
        network.store_addresses.add(STORE)
        network.entries = {address: place for place, address in ENTRIES.items()}
        network.workers = {address: place for place, address in WORKERS.items()}
        network.set_store_fault(store_fault)
        network.start_cut(
            Cut(INSIDE, NetworkFault.REJECT, NetworkFault.BLACKHOLE, cuts_links)
        )
        return network.fault_on(SimpleNamespace(data_centre=source), address)

    def test_store_is_cut_off_from_the_inside_only(self):
        self.assertIs(self.fault(INSIDE, STORE), NetworkFault.REJECT)
        self.assertIs(self.fault(OUTSIDE, STORE), NetworkFault.NONE)

    def test_store_that_is_down_for_all_is_down_outside_as_well(self):
        fault = self.fault(OUTSIDE, STORE, store_fault=NetworkFault.RESET)
        self.assertIs(fault, NetworkFault.RESET)

    def test_workers_and_entries_of_the_other_side_are_cut_off(self):
        for places in (ENTRIES, WORKERS):
            for source, other in ((INSIDE, OUTSIDE), (OUTSIDE, INSIDE)):
                with self.subTest(source=source, address=places[other]):
                    fault = self.fault(source, places[other])
                    self.assertIs(fault, NetworkFault.BLACKHOLE)
                    self.assertIs(self.fault(source, places[source]), NetworkFault.NONE)

    def test_links_may_stay_open(self):
        fault = self.fault(INSIDE, ENTRIES[OUTSIDE], cuts_links=False)
        self.assertIs(fault, NetworkFault.NONE)
        fault = self.fault(INSIDE, WORKERS[OUTSIDE], cuts_links=False)
        self.assertIs(fault, NetworkFault.BLACKHOLE)
