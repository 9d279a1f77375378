import unittest

from pimentomill.cell import MemberJoined, MemberRenewed, TeamSet
from pimentomill.entry import CELL_STREAM, EntryCore
from pimentomill.exceptions import ConflictError, LogUnavailableError
from pimentomill.journal import (
    AppendState,
    PendingAppend,
    StreamSlice,
    encode_envelope,
)
from pimentomill.settings import (
    AddressSettings,
    CallerSettings,
    EntrySettings,
    GroupSettings,
)
from pimentomill.utils import ManualClock, Resources

LIMIT = Resources(1_000, 1_000, 0)
SETTINGS = EntrySettings(
    name="e1",
    data_centre="dc1",
    callers=CallerSettings(port=1),
    control=AddressSettings(port=2),
    peers=AddressSettings(port=3),
    platform_url="http://127.0.0.1:4",
    groups=[GroupSettings(name="g1", racks=["dc1/r1"])],
)


class FakeEffects:
    """Record the side effects of a core."""

    def __init__(self):
        self.submitted = []
        self.reading = []

    def submit(self, stream, record, linger_ms, timeout_ms):
        item = PendingAppend(stream, record, 0, timeout_ms)
        self.submitted.append(item)
        return item

    def command(self, group, view, batch):
        raise AssertionError("no worker is known")

    def start_reading(self, stream):
        self.reading.append(stream)

    def stop_reading(self, stream):
        self.reading.remove(stream)


class EntryCoreTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(start=1_000)
        self.effects = FakeEffects()
        self.core = EntryCore(SETTINGS, "e1-a", self.clock, self.effects)
        self.core.start()
        self.offset = 0
        self.seqs = {}

    def read(self, *records, writer="e1-a"):
        payloads = []
        for record in records:
            self.seqs[writer] = self.seqs.get(writer, 0) + 1
            payloads.append(encode_envelope(writer, self.seqs[writer], record))
        head = self.offset + len(payloads)
        self.core.on_cell_slice(StreamSlice(0, head, self.offset, payloads))
        self.offset = head

    def last(self, kind):
        found = [i for i in self.effects.submitted if isinstance(i.body, kind)]
        return found[-1] if found else None

    def join(self):
        self.core.on_cell_slice(None)
        self.core.tick()
        self.read(self.last(MemberJoined).body)

    def test_entry_joins_once_it_has_read_the_log(self):
        self.core.tick()
        self.assertEqual(self.effects.submitted, [])
        self.join()
        self.assertTrue(self.core.health().is_ready)
        self.assertTrue(self.core.guard_.is_valid())

    def test_entry_is_not_ready_after_four_seconds_without_a_read(self):
        self.join()
        self.clock.advance(4_000)
        self.assertTrue(self.core.health().is_ready)
        self.clock.advance(1)
        self.assertEqual(self.core.health().reason, "the log can't be read")
        self.core.on_cell_slice(None)
        self.assertTrue(self.core.health().is_ready)

    def test_group_is_held_after_the_claim_was_read_back(self):
        self.join()
        self.clock.advance(SETTINGS.leases.renew_ms)
        self.core.tick()
        self.read(*(item.body for item in self.effects.submitted[1:]))
        self.assertIn("g1", self.core.holders_)
        self.assertEqual(self.effects.reading, [CELL_STREAM, "group.g1"])

    def test_renewal_counts_from_before_it_was_sent(self):
        self.join()
        self.clock.advance(2_000)
        self.core.tick()
        renewal = self.last(MemberRenewed).body
        self.clock.advance(3_000)
        self.read(renewal)
        leases = SETTINGS.leases
        expected = 3_000 + leases.ownership_ms - leases.margin_ms
        self.assertEqual(self.core.guard_.deadline_, expected)

    def test_change_resolves_with_the_outcome_of_the_fold(self):
        self.join()
        good = self.core.change_cell(TeamSet("kiln", 1, LIMIT, -1))
        bad = self.core.change_cell(TeamSet("kiln", 2, LIMIT, -1))
        for item in self.effects.submitted[-2:]:
            item.seq = self.seqs["e1-a"] + 1
            self.read(item.body)
        self.assertEqual(good.result(0).refusal, "")
        with self.assertRaises(ConflictError):
            bad.result(0)

    def test_change_fails_once_a_later_record_is_folded(self):
        self.join()
        fut = self.core.change_cell(TeamSet("kiln", 1, LIMIT, -1))
        self.effects.submitted[-1].seq = 2
        self.effects.submitted[-1].state = AppendState.UNKNOWN
        self.seqs["e1-a"] = 2
        self.read(MemberRenewed("e1-a", 0))
        with self.assertRaises(LogUnavailableError):
            fut.result(0)

    def test_stopping_entry_is_not_ready(self):
        self.join()
        self.core.begin_stop()
        self.assertFalse(self.core.health().is_ready)
