"""Tests of platform._epoch."""

from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast.platform._epoch import read_epoch


class EpochTest(TestCase):
    """Parsing of the header with the store's epoch."""

    @parameterized.expand(
        [
            ("absent", {}, None),
            ("zero", {"store-era": "0"}, 0),
            ("padded", {"store-era": " 7 "}, 7),
            ("large", {"store-era": "9" * 18}, int("9" * 18)),
        ]
    )
    def test_valid(self, _, headers, expected):
        """A whole number is accepted, and an absent header is not an error."""
        self.assertEqual(Ok(expected), read_epoch(headers))

    @parameterized.expand(
        [
            ("empty", ""),
            ("negative", "-1"),
            ("fraction", "1.5"),
            ("words", "seven"),
            ("other_digits", "٣"),
            ("two", "1, 2"),
            ("too_large", "9" * 19),
        ]
    )
    def test_invalid(self, _, text):
        """Any other value makes the response unusable."""
        self.assertIsInstance(read_epoch({"store-era": text}), Err)
