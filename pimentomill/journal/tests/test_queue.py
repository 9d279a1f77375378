import unittest

from pimentomill.journal import (
    AppendQueue,
    AppendState,
    PendingAppend,
    decode_envelope,
)


def item(stream="s", send_by=0, deadline=1_000):
    return PendingAppend(stream, "body", send_by, deadline)


class AppendQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = AppendQueue("w")

    def sequence_numbers(self, batch):
        return [decode_envelope(payload).seq for payload in batch.payloads]

    def test_waiting_records_share_a_batch(self):
        for _ in range(3):
            self.queue.put(item())
        batch = self.queue.get_due_batch(0)
        self.assertEqual(self.sequence_numbers(batch), [1, 2, 3])

    def test_batch_is_not_returned_before_it_is_due(self):
        self.queue.put(item(send_by=5))
        self.assertIsNone(self.queue.get_due_batch(4))
        self.assertIsNotNone(self.queue.get_due_batch(5))

    def test_due_record_makes_the_whole_batch_due(self):
        self.queue.put(item(send_by=100))
        self.queue.put(item(send_by=5))
        self.assertEqual(self.sequence_numbers(self.queue.get_due_batch(5)), [1, 2])

    def test_batch_is_retried_unchanged_after_a_lost_response(self):
        self.queue.put(item())
        first = self.queue.get_due_batch(0)
        self.queue.put(item())
        self.assertEqual(self.queue.fail(first, 10, 20, may_be_durable=True), [])
        self.assertIsNone(
            self.queue.get_due_batch(10) if self.queue.next_send_by() > 10 else 1
        )
        retry = self.queue.get_due_batch(20)
        self.assertEqual(retry.payloads, first.payloads)

    def test_confirmed_records_get_their_offsets(self):
        self.queue.put(item())
        self.queue.put(item())
        settled = self.queue.confirm(self.queue.get_due_batch(0), 40)
        self.assertEqual([i.offset for i in settled], [40, 41])
        self.assertTrue(all(i.state is AppendState.DURABLE for i in settled))

    def test_expiry_after_a_rejection_is_not_appended(self):
        self.queue.put(item())
        batch = self.queue.get_due_batch(0)
        settled = self.queue.fail(batch, 1_000, 1_100, may_be_durable=False)
        self.assertEqual(settled[0].state, AppendState.NOT_APPENDED)

    def test_expiry_after_a_lost_response_is_unknown_despite_a_later_rejection(self):
        self.queue.put(item())
        batch = self.queue.get_due_batch(0)
        self.queue.fail(batch, 10, 20, may_be_durable=True)
        settled = self.queue.fail(batch, 1_000, 1_100, may_be_durable=False)
        self.assertEqual(settled[0].state, AppendState.UNKNOWN)

    def test_expired_record_that_was_never_sent_is_not_appended(self):
        self.queue.put(item())
        self.queue.get_due_batch(0)
        self.queue.put(item(deadline=50))
        dropped = self.queue.drop_expired(50)
        self.assertEqual([i.state for i in dropped], [AppendState.NOT_APPENDED])

    def test_streams_are_numbered_independently(self):
        self.queue.put(item("a"))
        self.queue.put(item("b"))
        first = self.queue.get_due_batch(0)
        self.queue.confirm(first, 0)
        second = self.queue.get_due_batch(0)
        self.assertEqual({first.stream, second.stream}, {"a", "b"})
        self.assertEqual(self.sequence_numbers(second), [1])
