"""Tests of peers._envelope."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import EnvelopeFault
from pollenmast.peers._envelope import Opener, Sealer

_KEY = bytes(range(32))
_OTHER_KEY = bytes(reversed(range(32)))


class EnvelopeTest(TestCase):
    """Only authentic envelopes are accepted, each once."""

    def test_round_trip(self):
        """An envelope verifies under the key that it was built with."""
        opened = Opener(_KEY).open(Sealer("a", _KEY).seal(3, b"body"), 0.0)
        self.assertEqual(
            (3, b"body"), (opened.unwrap().kind, opened.unwrap().body)
        )

    @parameterized.expand(
        [
            (
                "shorter_than_header",
                lambda data: data[:10],
                EnvelopeFault.TRUNCATED,
            ),
            ("last_byte_missing", lambda data: data[:-1], EnvelopeFault.FORGED),
            (
                "body_modified",
                lambda data: data[:-20] + b"x" + data[-19:],
                EnvelopeFault.FORGED,
            ),
            (
                "key_identifier_modified",
                lambda data: data[:1] + bytes([data[1] ^ 1]) + data[2:],
                EnvelopeFault.UNKNOWN_KEY,
            ),
        ]
    )
    def test_modified_envelope(self, _, change, fault):
        """Guards against envelopes that are modified on the network.

        If they were accepted, flow records could be injected, and callers
        would reach another service's upstream.
        """
        data = Sealer("a", _KEY).seal(3, b"a body of some length")
        self.assertEqual(
            fault, Opener(_KEY).open(change(data), 0.0).unwrap_err()
        )

    def test_replayed_envelope(self):
        """An envelope that is captured and sent again is dropped."""
        opener = Opener(_KEY)
        data = Sealer("a", _KEY).seal(3, b"body")
        opener.open(data, 0.0)
        self.assertEqual(
            EnvelopeFault.REPLAYED, opener.open(data, 0.0).unwrap_err()
        )

    def test_reordered_envelopes(self):
        """Reordered envelopes are all accepted, each once."""
        sealer, opener = Sealer("a", _KEY), Opener(_KEY)
        sent = [sealer.seal(1, bytes([n])) for n in range(5)]
        accepted = [
            opener.open(sent[n], 0.0).is_ok() for n in (4, 1, 3, 1, 0, 2)
        ]
        self.assertEqual([True, True, True, False, True, True], accepted)

    def test_key_rotation(self):
        """Both keys are valid during a key rotation, later only the new one."""
        old = Sealer("a", _KEY).seal(1, b"old")
        both = Opener(_OTHER_KEY, previous_key=_KEY)
        self.assertTrue(both.open(old, 0.0).is_ok())
        self.assertEqual(
            EnvelopeFault.UNKNOWN_KEY,
            Opener(_OTHER_KEY).open(old, 0.0).unwrap_err(),
        )

    def test_keys_with_equal_identifiers(self):
        """Two keys with equal identifiers are both valid.

        Otherwise all messages under the old key would be dropped during a key
        rotation, and half the fleet would look dead.
        """
        first = Sealer("a", _KEY).seal(1, b"")
        colliding_key = next(
            key
            for key in (n.to_bytes(32, "big") for n in range(10_000))
            if Sealer("a", key).seal(1, b"")[1] == first[1]
        )
        opener = Opener(colliding_key, previous_key=_KEY)
        self.assertTrue(opener.open(first, 0.0).is_ok())
        second = Sealer("b", colliding_key).seal(1, b"")
        self.assertTrue(opener.open(second, 0.0).is_ok())
