import unittest

from pimentomill.journal import (
    AppendQueue,
    AppendState,
    PendingAppend,
    decode_envelope,
)


def item(stream="s", send_by=0, give_up_at=1_000):
    return PendingAppend(stream, "body", send_by, give_up_at)


class AppendQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = AppendQueue("w")

    def seqs(self, batch):
        return [decode_envelope(payload).seq for payload in batch.payloads]

    def test_records_that_wait_share_a_batch(self):
        for _ in range(3):
            self.queue.put(item())
        batch = self.queue.take(0)
        self.assertEqual(self.seqs(batch), [1, 2, 3])

    def test_nothing_leaves_before_it_is_due(self):
        self.queue.put(item(send_by=5))
        self.assertIsNone(self.queue.take(4))
        self.assertIsNotNone(self.queue.take(5))

    def test_one_that_is_due_takes_the_others_along(self):
        self.queue.put(item(send_by=100))
        self.queue.put(item(send_by=5))
        self.assertEqual(self.seqs(self.queue.take(5)), [1, 2])

    def test_lost_answer_sends_the_same_batch_again(self):
        self.queue.put(item())
        first = self.queue.take(0)
        self.queue.put(item())
        self.assertEqual(self.queue.fail(first, 10, 20, may_be_kept=True), [])
        self.assertIsNone(self.queue.take(10) if self.queue.next_send_by() > 10 else 1)
        again = self.queue.take(20)
        self.assertEqual(again.payloads, first.payloads)

    def test_confirmed_records_get_their_offsets(self):
        self.queue.put(item())
        self.queue.put(item())
        settled = self.queue.confirm(self.queue.take(0), 40)
        self.assertEqual([i.offset for i in settled], [40, 41])
        self.assertTrue(all(i.state is AppendState.KEPT for i in settled))

    def test_giving_up_after_a_refusal_is_certain(self):
        self.queue.put(item())
        batch = self.queue.take(0)
        settled = self.queue.fail(batch, 1_000, 1_100, may_be_kept=False)
        self.assertEqual(settled[0].state, AppendState.NOT_KEPT)

    def test_giving_up_after_a_lost_answer_is_open_even_if_refused_later(self):
        self.queue.put(item())
        batch = self.queue.take(0)
        self.queue.fail(batch, 10, 20, may_be_kept=True)
        settled = self.queue.fail(batch, 1_000, 1_100, may_be_kept=False)
        self.assertEqual(settled[0].state, AppendState.UNKNOWN)

    def test_record_that_never_left_is_dropped_for_certain(self):
        self.queue.put(item())
        self.queue.take(0)
        self.queue.put(item(give_up_at=50))
        dropped = self.queue.drop_stale(50)
        self.assertEqual([i.state for i in dropped], [AppendState.NOT_KEPT])

    def test_streams_are_numbered_apart(self):
        self.queue.put(item("a"))
        self.queue.put(item("b"))
        first = self.queue.take(0)
        self.queue.confirm(first, 0)
        second = self.queue.take(0)
        self.assertEqual({first.stream, second.stream}, {"a", "b"})
        self.assertEqual(self.seqs(second), [1])
