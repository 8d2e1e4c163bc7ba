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
from pollenmast.steering import _catalog as catalog
from pollenmast.steering import _journal as journal
from pollenmast.steering import _shared_index as shared_index
from pollenmast.steering import _token_owners as token_owners
from pollenmast.steering._catalog import GONE_RETENTION_S
from standins.junk import JunkWriter
from tests import steering_group as group
from tests.platform_entries_test import CONFIGURATION, ENTRY

SEEDS = range(1, 13)
STEPS = 60
STEP_S = 0.5
HOST = ENTRY["address"].partition(":")[0]
LIVING = {f"i-{number:010x}": number for number in range(0xA1, 0xA5)}
MAX_TEXT_BYTES = 255
_IDENTIFY = PlatformPackets(8172).identify


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
        self._log.log_refused(update, applied, "t")
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
        self._rng = random.Random(seed)
        self._junk = JunkWriter(
            self._rng,
            {**ENTRY, "service": "b", "address": "10.128.0.77:9"},
            LIVING,
            overwrites=True,
        )
        self._items: dict[str, dict] = {}
        self._revision = 10
        self._vms = [_Vm(), _Vm()]
        self._now = 0.0

    def run(self) -> None:
        self._write("op/config", CONFIGURATION)
        for name in LIVING:
            self._write(f"servers/{name}", {**ENTRY, "service": "a"})
        for step in range(STEPS):
            self._take_junk()
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

    def _write(self, key: str, value: object, **fields) -> None:
        self._revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "created": self._revision,
        }
        self._take({**item, **fields})

    def _take_junk(self) -> None:
        key, value = self._junk.draw()
        if value is None:
            self._revision += 1
            self._take(
                {"key": key, "revision": self._revision, "deleted": True}
            )
            return
        created = self._rng.choice((self._revision, 1, None, "x", True))
        self._write(key, value, created=created)
        self._check()
        name = key.removeprefix("servers/")
        if name in LIVING:
            # Its next heartbeat.
            self._write(key, {**ENTRY, "service": "a"})

    def _take(self, item: dict) -> None:
        """Applies a change of the store; the reader tells the other VMs."""
        self._now += STEP_S
        if item.get("deleted"):
            self._items.pop(item["key"], None)
        else:
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
            known = vm.core.catalog
            for name, number in LIVING.items():
                sent = vm.core.on_segment(
                    group.segment(group.flow(number), number), self._now
                )
                self._test.assertNotIsInstance(sent, Drop)
                self._test.assertEqual(name, sent.endpoint.name)
                self._test.assertEqual(HOST, sent.endpoint.host)
                self._test.assertEqual("a", sent.endpoint.service)
            names = {record.name for record in known.records}
            self._test.assertLessEqual(names, self._junk.valid | set(LIVING))
            for record in known.records:
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
    "overwritten": ((catalog, "hold_move", lambda _, endpoint, __: endpoint),),
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
