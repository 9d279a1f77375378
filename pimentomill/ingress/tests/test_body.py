import gzip
import unittest
import zlib

from pimentomill.exceptions import BodyTooLargeError, ValidationError
from pimentomill.ingress import decode_content

MAX_BYTES = 1000


class TestDecodeContent(unittest.TestCase):
    def test_known_encodings(self):
        for encoding, body in (
            ("", b"job"),
            ("identity", b"job"),
            ("GZIP", gzip.compress(b"job")),
            ("deflate", zlib.compress(b"job")),
        ):
            with self.subTest(encoding):
                self.assertEqual(decode_content(body, encoding, MAX_BYTES), b"job")

    def test_a_body_that_grows_beyond_the_limit_is_rejected(self):
        for size in (MAX_BYTES + 1, 100_000 * MAX_BYTES):
            with self.assertRaises(BodyTooLargeError):
                decode_content(gzip.compress(bytes(size)), "gzip", MAX_BYTES)
        whole = gzip.compress(bytes(MAX_BYTES))
        self.assertEqual(len(decode_content(whole, "gzip", MAX_BYTES)), MAX_BYTES)

    def test_unknown_and_wrong_encodings_are_rejected(self):
        for body, encoding in (
            (b"job", "br"),
            (b"job", "gzip"),
            (gzip.compress(b"job")[:-4], "gzip"),
        ):
            with self.assertRaisesRegex(ValidationError, encoding):
                decode_content(body, encoding, MAX_BYTES)
