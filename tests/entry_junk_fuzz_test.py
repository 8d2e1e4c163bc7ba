"""A seeded fuzz of the whole way of the store's entries, with a junk writer."""

import base64
import contextlib
import io
import json
import random
import zlib
from unittest import mock

import attrs
import msgpack
import trio
from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import Counters, Histograms
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._site import METRICS_PATH, HttpHandler
from pollenmast.entry._update_log import UpdateLog
from pollenmast.events import EventLog, JsonSink
from pollenmast.http1 import Request
from pollenmast.platform import _entries, _fields, _items
from pollenmast.platform._items import parse_items
from pollenmast.platform._packet import PlatformPackets
from pollenmast.steering import Drop, EndpointIdentity, Steering, _model
from pollenmast.steering import _journal as journal
from pollenmast.steering import _shared_index as shared_index
from pollenmast.steering import _token_owners as token_owners
from pollenmast.steering._catalog import GONE_RETENTION_S
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY

SEEDS = range(1, 13)
STEPS = 60
STEP_S = 0.5
LIVING = {f"i-{number:010x}": number for number in range(0xA1, 0xA5)}
MAX_TEXT_BYTES = 255
_IDENTIFY = PlatformPackets(8172).identify
_LONE = "\ud800"


class _JunkWriter:
    """Writes entries that name no endpoint, and a few that do."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.valid = set(LIVING)

    def item(self, revision: int) -> dict:
        """Returns the next item of the store."""
        kinds = (
            self._changed_field,
            self._changed_key,
            self._other_bytes,
            self._long,
            self._deletion,
            self._operator_key,
            self._same_digits,
            self._other_service,
        )
        key, value = self._rng.choice(kinds)()
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "created": self._rng.choice((revision, 1, None, "x", True)),
        }

    def _id(self) -> str:
        return f"i-{self._rng.randrange(1 << 32, 1 << 40):010x}"

    def _changed_field(self):
        entry = {**ENTRY, "service": "a"}
        field = self._rng.choice([*ENTRY, "born"])
        if field != "born" and self._rng.random() < 0.3:
            del entry[field]
        else:
            invalid = (None, [], {}, True, -1, 1.5, "", _LONE, "x" * 300)
            entry[field] = self._rng.choice(invalid)
        return f"servers/{self._id()}", entry

    def _changed_key(self):
        names = ("", "i-", "i-0", "i-0000000000", "I-a1", "i-g", f"i-{_LONE}")
        name = self._rng.choice((*names, "i-" + "f" * 17, "x" * 190, "ü-1"))
        return f"servers/{name}", {**ENTRY, "service": "a"}

    def _other_bytes(self):
        values = (
            b"\xff",
            b"[" * 5000,
            b"{}",
            b"null",
            b'"x"',
            b"\xef\xbb\xbf{}",
        )
        ill_formed = json.dumps({**ENTRY, "service": "??"}).encode()
        ill_formed = ill_formed.replace(b"??", b"\xed\xa0\x80")
        return f"servers/{self._id()}", self._rng.choice((*values, ill_formed))

    def _long(self):
        field = self._rng.choice(("service", "zone", "version", "other"))
        size = self._rng.choice((1 << 17, 1 << 20))
        text = "\U0001f527" + "x" * size
        entry = json.dumps({**ENTRY, field: text}, ensure_ascii=False)
        return "servers/i-5ca1ab1e00", entry.encode()

    def _deletion(self):
        name = self._rng.choice(("i-7f", "", _LONE, "backup-00000000a1", "x"))
        prefix = self._rng.choice(("servers/", "op/evacuate/", "op/"))
        return prefix + name, None

    def _operator_key(self):
        zone = self._rng.choice(("z\x00", _LONE, "z" * 300, ""))
        junk = ({}, [], b"\xff", {"version": _LONE})
        key = self._rng.choice((f"op/evacuate/{zone}", "op/config"))
        return key, self._rng.choice(junk)

    def _same_digits(self):
        """An endpoint as the page has it, with a living one's token."""
        number = self._rng.choice(list(LIVING.values()))
        name = f"{self._rng.choice(('h', 'z'))}-{number:x}"
        self.valid.add(name)
        return f"servers/{name}", {**ENTRY, "service": "a"}

    def _other_service(self):
        """An entry of a service that no configuration names."""
        number = self._rng.choice(list(LIVING.values()))
        name = self._rng.choice((f"backup-{number:010x}", self._id()))
        self.valid.add(name)
        return f"servers/{name}", {**ENTRY, "service": "backups"}


class _Vm:
    """One VM's state, its log and its metrics."""

    def __init__(self):
        self.counters = Counters()
        self.core = Steering(group.ZONE, self.counters, random.Random(1))
        log = EventLog("t", "vm", lambda: 0.0, JsonSink(io.BytesIO()))
        self._log = UpdateLog(log)
        self._site = HttpHandler(
            "/ready", self.core, self.counters, Histograms()
        )

    def apply(self, update, now: float) -> None:
        applied = self.core.apply(update, now)
        self.core.on_confirmed(now)
        self._log.log_refused(update, "t")
        self._log.log_routes(applied, update.position, "t")
        self._log.log_zones(applied, 0, "t")
        self._log.log_endpoints(applied, 0, "t")

    def tick(self, now: float) -> None:
        self.core.tick(now)
        trio.run(self._site.answer, Request("GET", METRICS_PATH))

    def learn_from(self, peer: "_Vm", now: float) -> None:
        data = snapshot.encode(peer.core, self.core.position)
        _decode_as_previous_build(data)
        update = snapshot.decode(data, _IDENTIFY).ok_value
        if update.position > self.core.position:
            self.apply(update, now)


def _decode_as_previous_build(data: bytes) -> None:
    inflater = zlib.decompressobj()
    body = inflater.decompress(data, snapshot.MAX_DECODED_BYTES)
    version, _, _, _, changes = msgpack.unpackb(body)
    if not inflater.eof or version != 6:
        raise AssertionError("not the previous build's format")
    for kind, _, value in changes:
        if kind == 1 and len(value) != 10:
            raise AssertionError("an endpoint has other fields")


class _World:
    """A store, a reader, a VM that it tells, and one that starts later."""

    def __init__(self, test: TestCase, seed: int):
        self._test = test
        self._junk = _JunkWriter(random.Random(seed))
        self._items: dict[str, dict] = {}
        self._revision = 10
        self._vms = [_Vm(), _Vm()]
        self._now = 0.0

    def run(self) -> None:
        self._write("op/config", CONFIGURATION)
        for name in LIVING:
            self._write(f"servers/{name}", {**ENTRY, "service": "a"})
        for step in range(STEPS):
            self._revision += 1
            self._take(self._junk.item(self._revision))
            if step == STEPS // 2:
                self._start_vm()
            self._check()
        for key in list(self._items):
            self._revision += 1
            self._take(
                {"key": key, "revision": self._revision, "deleted": True}
            )
        for _ in range(4):
            self._now += GONE_RETENTION_S
            for vm in self._vms:
                vm.core.on_confirmed(self._now)
                vm.tick(self._now)
        for vm in self._vms:
            self._test.assertEqual([], vm.core.catalog.records)

    def _write(self, key: str, value: dict) -> None:
        self._revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        revision = self._revision
        item = {"key": key, "value": data, "revision": revision}
        self._take({**item, "created": revision})

    def _take(self, item: dict) -> None:
        """Applies a change of the store; the reader tells the other VMs."""
        self._now += STEP_S
        if item.get("deleted"):
            self._items.pop(item["key"], None)
        elif item["key"] != "op/config" or "op/config" not in self._items:
            # The store accepts only valid configurations.
            self._items[item["key"]] = item
        update = parse_items([item], item["revision"], complete=False)
        reader, *others = self._vms
        reader.apply(update, self._now)
        for vm in others:
            vm.learn_from(reader, self._now)
        for vm in self._vms:
            vm.tick(self._now)

    def _start_vm(self) -> None:
        vm = _Vm()
        items = sorted(self._items.values(), key=lambda each: each["key"])
        vm.apply(parse_items(items, self._revision, complete=True), self._now)
        told = snapshot.decode(snapshot.encode(self._vms[0].core)).ok_value
        vm.core.catalog.owners.on_ages_told(told.ages)
        self._vms.append(vm)

    def _check(self) -> None:
        for vm in self._vms:
            catalog = vm.core.catalog
            for name, number in LIVING.items():
                sent = vm.core.on_segment(
                    group.segment(group.flow(number), number), self._now
                )
                self._test.assertNotIsInstance(sent, Drop)
                self._test.assertEqual(name, sent.endpoint.name)
            names = {record.name for record in catalog.records}
            self._test.assertLessEqual(names, self._junk.valid)
            for record in catalog.records:
                for value in attrs.astuple(record.endpoint):
                    text = value if isinstance(value, str) else ""
                    size = len(text.encode())
                    self._test.assertLessEqual(size, MAX_TEXT_BYTES)
            size = vm.core.journal.size_bytes
            self._test.assertLessEqual(size, journal.MAX_BYTES)


def _last_part(name: str) -> EndpointIdentity:
    digits = [c for c in name.split("-")[-1] if c in "0123456789abcdef"]
    number = int("".join(digits) or "1", 16)
    return EndpointIdentity(number, number % (1 << 32) or 1)


def _any_id(name: str) -> EndpointIdentity:
    identity = _IDENTIFY(name)
    return identity or EndpointIdentity(1, 1)


def _patched(*patches) -> contextlib.ExitStack:
    stack = contextlib.ExitStack()
    for target, name, value in patches:
        stack.enter_context(mock.patch.object(target, name, value))
    return stack


FAULTS = {
    "review_1_text": (
        (_fields, "is_text", lambda value: isinstance(value, str)),
        (_items, "is_text", lambda value: isinstance(value, str)),
        (_model, "is_name", lambda value: isinstance(value, str)),
        (_entries, "parse_object", json.loads),
    ),
    "review_2_digits_and_service": (
        (_entries, "identify", _last_part),
        (shared_index, "_precedence", lambda record: record.name),
    ),
    "review_4_fields": ((_entries, "_check_unused", lambda _: None),),
    "review_4_id": ((_entries, "identify", _any_id),),
    "review_5_age": (
        (
            shared_index,
            "_precedence",
            lambda record: (not record.usable, record.name),
        ),
    ),
    "review_5_order_told": (
        (token_owners.TokenOwners, "ages", lambda _: {}),
        (token_owners, "SETTLE_S", 0.0),
        (shared_index, "_precedence", lambda r: (not r.usable, r.created)),
    ),
    "review_6_bytes": (
        (_entries, "MAX_ENTRY_BYTES", 1 << 30),
        (_items, "_MAX_ENTRY_BASE64", 1 << 30),
        (_model, "is_name", lambda value: isinstance(value, str)),
    ),
}
"""Each fault of the reviews that concerns entries, as patches that restore it.

The fault of review/3 concerns connections: see `entry_follow_test`.
"""


class JunkTest(TestCase):
    """What another writer's entries may do to a VM: nothing."""

    @parameterized.expand([(seed,) for seed in SEEDS])
    def test_seed(self, seed):
        """Junk ends no VM, moves no open flow and takes little memory.

        It is parsed, applied, told to VMs of both builds, logged, shown as
        metrics and forgotten again.
        """
        _World(self, seed).run()

    @parameterized.expand([(name,) for name in FAULTS])
    def test_teeth(self, fault):
        """The fuzz finds each fault of the reviews if it is restored."""
        found = []
        for seed in SEEDS:
            with _patched(*FAULTS[fault]):
                try:
                    _World(self, seed).run()
                except Exception as error:
                    found.append((seed, type(error).__name__))
        self.assertTrue(found, fault)
