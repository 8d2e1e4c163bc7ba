"""Tests of entry._snapshot: what a peer tells passes the same checks."""

import zlib

import msgpack
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import ENTRIES_REFUSED, Counters, EntryFault
from pollenmast.entry import _snapshot as snapshot
from pollenmast.platform._packet import PlatformPackets
from pollenmast.steering import EndpointAnnounced
from tests import steering_group as group

NAME = "i-7f3a91c2"
NUMBER = 0x7F3A91C2
FIELDS = {
    "name": NAME,
    "number": NUMBER,
    "token": NUMBER,
    "host": "10.1.64.9",
    "port": 8301,
    "service": "registry",
    "zone": group.ZONE,
    "slots": 2,
    "draining": False,
    "warmup_left_s": 0.0,
}
_ANNOUNCED = 1


def _told(*endpoints: dict) -> bytes:
    changes = [
        (_ANNOUNCED, 11, list({**FIELDS, **fields}.values()))
        for fields in endpoints
    ]
    body = (snapshot.FORMAT, 0, 12, False, changes)
    return zlib.compress(msgpack.packb(body))


def _decode(data: bytes):
    identify = PlatformPackets(8172).identify
    return snapshot.decode(data, identify).ok_value


class ToldEndpointTest(TestCase):
    """Endpoints that a peer of another build tells."""

    @parameterized.expand(
        [
            ("id_of_zeros", {"name": "i-0000000000"}, EntryFault.ID),
            ("no_id", {"name": "x"}, EntryFault.ID),
            *(
                (f"{field}_{value!r:.9}", {field: value}, EntryFault.FIELD)
                for field, values in {
                    "name": (None, 1),
                    "host": ("example", "10.1.1", "10.1.1.01", 1, None),
                    "port": (0, 1 << 16, True, "80"),
                    "service": ("", None, "s" * 256),
                    "zone": ("", 1, "z" * 256),
                    "slots": (0, 1025, 2.0, None),
                    "draining": (0, None),
                    "warmup_left_s": (-1.0, float("nan"), "1", True),
                }.items()
                for value in values
            ),
        ]
    )
    def test_refused(self, _, fields, fault):
        """An endpoint that the directory's gate refuses does not come by peers.

        The other endpoints of the message are used.
        """
        update = _decode(_told(fields, {"name": "i-1", "host": "10.1.64.1"}))
        counters = Counters()
        core = group.steering(counters=counters)
        core.apply(update, 1.0)
        self.assertEqual(
            ["i-1"], [r.endpoint.name for r in core.catalog.records]
        )
        self.assertEqual(1, counters.value(ENTRIES_REFUSED, fault))

    @parameterized.expand(
        [
            ("removed", 2, "x" * 256),
            ("removed_number", 2, 1),
            ("drained", 5, ""),
            ("restored", 6, "z" * 256),
        ]
    )
    def test_long_name(self, _, kind, name):
        """A message with a name that is too long to keep is rejected."""
        body = (snapshot.FORMAT, 0, 12, False, [(kind, 11, name)])
        data = zlib.compress(msgpack.packb(body))
        self.assertTrue(snapshot.decode(data).is_err())

    @parameterized.expand([("number", 7), ("token", 7), ("number", None)])
    def test_identity(self, field, value):
        """A peer's number or token does not redirect an endpoint's packets.

        Both follow from the name, by this VM's own rule.
        """
        (change,) = _decode(_told({field: value})).changes
        self.assertIsInstance(change, EndpointAnnounced)
        endpoint = change.endpoint
        self.assertEqual((NUMBER, NUMBER), (endpoint.number, endpoint.token))
