"""Tests of platform._items: other writers' items between valid ones."""

import base64
import json

import anyio
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import CheckReason
from pollenmast.entry import _snapshot as snapshot
from pollenmast.platform._items import parse_items
from pollenmast.platform._listing import Listing
from pollenmast.steering import EndpointAnnounced, Position
from tests import steering_group as group
from tests.fleet_group import FleetCase, name
from tests.platform_entries_test import CONFIGURATION, ENTRY, NAME

_ILL_FORMED = b"\xed\xa0\x80"
"""A surrogate encoded as if it were a character, which UTF-8 does not allow."""

_LONE = "\ud800"


def _item(key: str, value: object, revision: int = 11) -> dict:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "revision": revision,
        "created": revision,
    }


def _deletion(key: str) -> dict:
    return {"key": key, "revision": 11, "deleted": True}


def _ill_formed(entry: dict, field: str) -> bytes:
    text = json.dumps({**entry, field: "??"}).encode()
    return text.replace(b"??", b"x" + _ILL_FORMED)


def _configuration(where: str, field: str) -> dict:
    """Returns a configuration with a text that is no valid Unicode."""
    first, *others = CONFIGURATION[where]
    changed = {**first, field: f"/x{_LONE}"}
    return {**CONFIGURATION, "version": 8, where: [changed, *others]}


_JUNK = [
    ("entry_bytes", _item("servers/i-bad1", _ill_formed(ENTRY, "service"))),
    *(
        (f"entry_{field}", _item("servers/i-bad1", {**ENTRY, field: _LONE}))
        for field in ("service", "zone", "state", "address")
    ),
    ("entry_key", _item(f"servers/i-bad1{_LONE}", ENTRY)),
    ("entry_key_and_value", _item(f"servers/i-bad1{_LONE}", b"[")),
    ("deleted_entry_key", _deletion(f"servers/i-bad1{_LONE}")),
    ("drain_key", _item(f"op/evacuate/z{_LONE}", {})),
    ("deleted_drain_key", _deletion(f"op/evacuate/z{_LONE}")),
    ("route_name", _item("op/config", _configuration("routeTable", "name"))),
    (
        "health_path",
        _item("op/config", _configuration("services", "healthPath")),
    ),
    ("service_name", _item("op/config", _configuration("services", "name"))),
    ("long_revision", _item("servers/i-bad1", ENTRY, 1 << 70)),
]


class InvalidTextTest(TestCase):
    """Text of other writers that is no valid Unicode."""

    @parameterized.expand(_JUNK)
    def test_encoded_for_peers(self, _, junk):
        """Junk that cannot be encoded for peers does not end a VM.

        The other items of the same answer are used.
        """
        core = group.steering()
        items = [
            _item("op/config", CONFIGURATION),
            junk,
            _item(f"servers/{NAME}", ENTRY),
        ]
        update = parse_items(items, 11, complete=False)
        core.apply(update, 1.0)
        for after in (Position(), Position(0, 10)):
            told = snapshot.decode(snapshot.encode(core, after)).ok_value
            announced = [
                change.endpoint.name
                for change in told.changes
                if isinstance(change, EndpointAnnounced)
            ]
            self.assertEqual([NAME], announced)
        self.assertEqual(7, core.table.version)

    def test_last_key_of_page(self):
        """The next page is read after a key that is no valid Unicode.

        A VM that could not ask for it would know none of the entries there.
        """
        listing = Listing()
        page = {
            "items": [_item(f"servers/i-bad1{_LONE}", ENTRY)],
            "asOf": 11,
            "morePages": True,
        }
        self.assertTrue(listing.add(page, 1).is_ok())
        self.assertTrue(listing.next_path.endswith("%2Fi-bad1%ED%A0%80"))


class ForeignIdTest(TestCase):
    """Entries of another writer with the digits of a living endpoint's id."""

    @parameterized.expand(
        [
            (f"{foreign}_{'first' if first else 'later'}", foreign, first)
            for foreign in ("backup-7f3a91c2", "a-7f3a91c2", "i-07f3a91c2")
            for first in (False, True)
        ]
    )
    def test_open_flow(self, _, foreign, first):
        """Another writer's entry does not get a living endpoint's open flows.

        It is of a service that no configuration names, and packets of the flow
        go on to the living endpoint whichever of the two comes first.
        """
        core = group.steering()
        living = _item(f"servers/{NAME}", {**ENTRY, "service": "a"})
        other = _item(f"servers/{foreign}", {**ENTRY, "service": "backups"}, 12)
        items = [other, living] if first else [living, other]
        for number, item in enumerate(
            [_item("op/config", CONFIGURATION, 20), *items], 20
        ):
            core.apply(parse_items([item], number, complete=False), 1.0)
        sent = core.on_segment(group.segment(group.flow(), 0x7F3A91C2), 2.0)
        self.assertEqual(NAME, sent.endpoint.name)
        self.assertEqual(NAME, core.catalog.by_number(0x7F3A91C2).endpoint.name)

    def test_service_named_later(self):
        """An endpoint is usable once a configuration names its service.

        Until then it is not checked, and it has no part in anything.
        """
        core = group.steering()
        named = {**CONFIGURATION, "version": 8}
        named["services"] = [
            *CONFIGURATION["services"],
            {"name": "backups", "healthPath": "/health"},
        ]
        entry = _item(f"servers/{NAME}", {**ENTRY, "service": "backups"})
        usable = []
        for number, item in enumerate(
            [
                _item("op/config", CONFIGURATION),
                entry,
                _item("op/config", named),
            ],
            20,
        ):
            core.apply(parse_items([item], number, complete=False), 1.0)
            record = core.catalog.get(NAME)
            usable.append(record is not None and record.usable)
            if record is not None:
                record.health.request_check(2.0, CheckReason.LAPSED)
                due = [record] if record.usable else []
                self.assertEqual(due, core.due_checks(2.0))
        self.assertEqual([False, False, True], usable)


class FleetTest(FleetCase):
    """A fleet whose store another writer writes to."""

    @parameterized.expand(
        [
            ("bytes", _ill_formed(ENTRY, "service")),
            ("escape", {**ENTRY, "zone": _LONE}),
        ]
    )
    def test_unreadable_entry(self, _, value):
        """An entry that is not valid Unicode ends no VM; others come in force.

        Each VM would end again on every later write of it.
        """

        async def script(_) -> None:
            for number in (3, 4):
                self.store.put("servers/i-0000000bad", value)
                await anyio.sleep(0.7)
                self.announce(number)
                await anyio.sleep(1.5)
                lacking = self.fleet.lacking(
                    lambda core, number=number: core.catalog.get(name(number))
                )
                self.assertEqual([], lacking)

        self.play(script)
