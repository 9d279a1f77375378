import unittest

import msgspec

from pimentomill.exceptions import SettingsError
from pimentomill.settings import EntrySettings, LeaseSettings, parse_settings

GOOD = {
    "name": "entry-1",
    "data_centre": "dc1",
    "callers": {"port": 8001},
    "control": {"port": 8002},
    "peers": {"port": 8003},
    "platform_url": "http://127.0.0.1:7000",
    "groups": [{"name": "g1", "racks": ["dc1/r1"]}],
}


def parse(**changes):
    return parse_settings(msgspec.json.encode({**GOOD, **changes}), EntrySettings)


class SettingsTest(unittest.TestCase):
    def refused(self, expected, **changes):
        with self.assertRaises(SettingsError) as caught:
            parse(**changes)
        self.assertIn(expected, str(caught.exception))

    def test_good_settings_are_taken(self):
        self.assertEqual(parse().callers.authority, "127.0.0.1:8001")

    def test_unknown_key_is_refused_with_its_name(self):
        self.refused("colour", colour="red")

    def test_wrong_type_is_refused_with_its_path(self):
        self.refused("$.callers.port", callers={"port": "8001"})

    def test_port_out_of_bounds_is_refused_with_its_path(self):
        self.refused("$.peers.port", peers={"port": 70_000})

    def test_two_groups_may_not_share_a_rack(self):
        groups = [
            {"name": "g1", "racks": ["dc1/r1"]},
            {"name": "g2", "racks": ["dc1/r1"]},
        ]
        self.refused("dc1/r1", groups=groups)

    def test_two_groups_may_not_share_a_name(self):
        groups = [
            {"name": "g1", "racks": ["dc1/r1"]},
            {"name": "g1", "racks": ["dc1/r2"]},
        ]
        self.refused("different names", groups=groups)

    def test_ports_of_an_entry_must_differ(self):
        self.refused("must differ", peers={"port": 8001})

    def test_lease_must_outlast_two_renewals(self):
        self.refused("ownership_ms", leases={"ownership_ms": 3_000})

    def test_broken_json_is_refused(self):
        with self.assertRaises(SettingsError):
            parse_settings(b"{", EntrySettings)

    def test_defaults_satisfy_their_own_rules(self):
        self.assertGreater(LeaseSettings().ownership_ms, LeaseSettings().renew_ms)
