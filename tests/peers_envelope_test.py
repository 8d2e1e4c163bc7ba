"""Tests of peers._envelope."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import EnvelopeFault
from pollenmast.peers._envelope import Opener, Sealer

_KEY = bytes(range(32))
_OTHER_KEY = bytes(reversed(range(32)))


class EnvelopeTest(TestCase):
    """What arrives is what the fleet sent, once."""

    def test_round_trip(self):
        """A sealed body opens to itself under the same key."""
        opened = Opener(_KEY).open(Sealer("a", _KEY).seal(3, b"body"), 0.0)
        self.assertEqual(
            (3, b"body"), (opened.unwrap().kind, opened.unwrap().body)
        )

    @parameterized.expand(
        [
            ("cut_short", lambda data: data[:10], EnvelopeFault.TRUNCATED),
            ("cut_by_one", lambda data: data[:-1], EnvelopeFault.FORGED),
            (
                "body_changed",
                lambda data: data[:-20] + b"x" + data[-19:],
                EnvelopeFault.FORGED,
            ),
            (
                "key_number_changed",
                lambda data: data[:1] + bytes([data[1] ^ 1]) + data[2:],
                EnvelopeFault.UNKNOWN_KEY,
            ),
        ]
    )
    def test_forgery(self, _, change, fault):
        """Someone on the path changes an envelope.

        Were it taken, flow records could be planted and callers would be led
        to another service's upstream.
        """
        data = Sealer("a", _KEY).seal(3, b"a body of some length")
        self.assertEqual(
            fault, Opener(_KEY).open(change(data), 0.0).unwrap_err()
        )

    def test_replay(self):
        """An envelope recorded on the network is sent again, and dropped."""
        opener = Opener(_KEY)
        data = Sealer("a", _KEY).seal(3, b"body")
        opener.open(data, 0.0)
        self.assertEqual(
            EnvelopeFault.REPLAYED, opener.open(data, 0.0).unwrap_err()
        )

    def test_out_of_order(self):
        """Envelopes that overtake each other are all taken, each once."""
        sealer, opener = Sealer("a", _KEY), Opener(_KEY)
        sent = [sealer.seal(1, bytes([n])) for n in range(5)]
        taken = [opener.open(sent[n], 0.0).is_ok() for n in (4, 1, 3, 1, 0, 2)]
        self.assertEqual([True, True, True, False, True, True], taken)

    def test_change_of_key(self):
        """During a change of key both keys open; afterwards only the new."""
        old = Sealer("a", _KEY).seal(1, b"old")
        both = Opener(_OTHER_KEY, previous_key=_KEY)
        self.assertTrue(both.open(old, 0.0).is_ok())
        self.assertEqual(
            EnvelopeFault.UNKNOWN_KEY,
            Opener(_OTHER_KEY).open(old, 0.0).unwrap_err(),
        )

    def test_keys_with_one_number(self):
        """Two keys that happen to have the same number both open.

        During a change of key every message under the old one would be
        dropped otherwise, and half the fleet would look dead.
        """
        first = Sealer("a", _KEY).seal(1, b"")
        twin = next(
            key
            for key in (n.to_bytes(32, "big") for n in range(10_000))
            if Sealer("a", key).seal(1, b"")[1] == first[1]
        )
        opener = Opener(twin, previous_key=_KEY)
        self.assertTrue(opener.open(first, 0.0).is_ok())
        second = Sealer("b", twin).seal(1, b"")
        self.assertTrue(opener.open(second, 0.0).is_ok())
