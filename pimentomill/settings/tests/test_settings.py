import unittest

import msgspec

from pimentomill.exceptions import SettingsError
from pimentomill.ingress import Machine
from pimentomill.settings import EntrySettings, LeaseSettings, parse_settings

VALID_SETTINGS = {
    "name": "entry-1",
    "data_centre": "dc1",
    "callers": {"port": 8001},
    "control": {"port": 8002},
    "peers": {"port": 8003},
    "platform_url": "http://127.0.0.1:7000",
    "groups": [{"name": "g1", "racks": ["dc1/r1"]}],
}


def parse(**changes):
    return parse_settings(
        msgspec.json.encode({**VALID_SETTINGS, **changes}), EntrySettings
    )


class SettingsTest(unittest.TestCase):
    def assert_rejected(self, expected, **changes):
        with self.assertRaises(SettingsError) as caught:
            parse(**changes)
        self.assertIn(expected, str(caught.exception))

    def test_valid_settings_are_accepted(self):
        self.assertEqual(parse().callers.authority, "127.0.0.1:8001")

    def test_unknown_key_is_rejected_with_its_name(self):
        self.assert_rejected("colour", colour="red")

    def test_wrong_type_is_rejected_with_its_path(self):
        self.assert_rejected("$.callers.port", callers={"port": "8001"})

    def test_port_out_of_bounds_is_rejected_with_its_path(self):
        self.assert_rejected("$.peers.port", peers={"port": 70_000})

    def test_two_groups_may_not_share_a_rack(self):
        groups = [
            {"name": "g1", "racks": ["dc1/r1"]},
            {"name": "g2", "racks": ["dc1/r1"]},
        ]
        self.assert_rejected("dc1/r1", groups=groups)

    def test_two_groups_may_not_share_a_name(self):
        groups = [
            {"name": "g1", "racks": ["dc1/r1"]},
            {"name": "g1", "racks": ["dc1/r2"]},
        ]
        self.assert_rejected("different names", groups=groups)

    def test_ports_of_an_entry_must_differ(self):
        self.assert_rejected("must differ", peers={"port": 8001})

    def test_ownership_lease_must_exceed_two_renewals(self):
        self.assert_rejected("ownership_ms", leases={"ownership_ms": 3_000})

    def test_machine_has_defaults_and_bounds(self):
        machine = parse(machine={"memory_mb": 64}).machine
        self.assertEqual((machine.memory_mb, machine.descriptors), (64, 4096))
        self.assertEqual(parse().resolve_machine(), Machine())
        self.assert_rejected("$.machine.memory_mb", machine={"memory_mb": 31})
        self.assert_rejected("$.machine.descriptors", machine={"descriptors": 200})

    def test_the_largest_body_must_fit_into_the_memory(self):
        changes = {
            "machine": {"memory_mb": 64},
            "callers": {"port": 8001, "max_body_bytes": 1_048_577},
        }
        self.assert_rejected("callers.max_body_bytes", **changes)

    def test_malformed_json_is_rejected(self):
        with self.assertRaises(SettingsError):
            parse_settings(b"{", EntrySettings)

    def test_default_leases_are_valid(self):
        self.assertGreater(LeaseSettings().ownership_ms, LeaseSettings().renew_ms)
