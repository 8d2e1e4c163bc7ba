"""Tests of entry._route_attributes: attributes in updates between VMs."""

import json
import zlib

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.entry import _route_attributes as route_attributes
from pollenmast.entry import _snapshot as snapshot
from pollenmast.entry._report import MAX_CHANGE_BYTES
from pollenmast.steering import (
    Position,
    Route,
    RoutesPublished,
    RouteTable,
    Update,
    WeightedService,
)
from tests import steering_group as group

HOST = group.VIP
PATHS = {"registry": "/health"}
SPLITS = (WeightedService("registry", 1),)
STATED = (0, 0.327, 2.7)
NONE_STATED = (None, None, None)
_PACKED = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-2, 1 << 63)
    | st.floats()
    | st.sampled_from([HOST, 443, "registry"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(["", HOST, "registry"]), inner)
    ),
)


def _table(version: int, *attributes: tuple, **fields) -> RouteTable:
    """Returns a table with one route for each triple of attributes."""
    routes = {
        (HOST, port): Route(f"r-{port}", HOST, port, SPLITS, True, *triple)
        for port, triple in enumerate(attributes, start=443)
    }
    return RouteTable(version, routes, PATHS, 15.0, **fields)


def _encode(old: RouteTable, new: RouteTable, after: int) -> bytes:
    """Returns the whole state, or the change from `old` if `after` is set."""
    known = group.steering(routes=old)
    known.apply(Update((RoutesPublished(new, 11),), 11), 1.0)
    return snapshot.encode(known, Position(0, after))


def _apply(old: RouteTable, data: bytes) -> RouteTable:
    learner = group.steering(routes=old)
    learner.apply(snapshot.decode(data).ok_value, 1.0)
    return learner.table


def _decode_as_previous_build(data: bytes) -> tuple[list[list], dict]:
    """Returns the routes and health paths as the previous build reads them.

    It takes exactly five fields of a route, seven of a change and five of a
    table, and the health paths as they are.
    """
    _, _, _, _, changes = msgpack.unpackb(zlib.decompress(data))
    ((kind, _, fields),) = changes
    if kind == 4:
        _, _, routes, _, health_paths, _, _ = fields
    else:
        _, routes, health_paths, _, _ = fields
    for name, host, port, splits, idempotent in routes:
        Route(name, host, port, splits, idempotent)
    return routes, dict(health_paths)


def _message(kind: int, routes: list, health_paths: object) -> bytes:
    """Returns a message with routes of five fields, as any build writes it."""
    fields = [2, routes, health_paths, 15.0, {}]
    if kind == 4:
        fields = [1, 2, routes, [], health_paths, 15.0, {}]
    body = (snapshot.FORMAT, 0, 11, kind == 3, [(kind, 11, fields)])
    return zlib.compress(msgpack.packb(body))


def _packed_route(port: int) -> list:
    return [f"r-{port}", HOST, port, [["registry", 1]], True]


class UpdateTest(TestCase):
    """Attributes in updates between VMs of this build and the previous one."""

    @parameterized.expand([("whole", 0), ("change", 10)])
    def test_round_trip(self, _, after):
        """A peer gets the same table.

        Otherwise VMs would treat the same request differently. Times must be
        exactly the same, or each later update would send all routes again.
        """
        triples = [STATED, NONE_STATED, (100, None, 0.0021), (1, 1e-9, 3600.0)]
        triples += [STATED, (None, 1.3440001, None)]
        old = _table(1, *[NONE_STATED] * len(triples), max_conns={"old": 1})
        new = _table(2, *triples, max_conns={"registry": 64})
        self.assertEqual(new, _apply(old, _encode(old, new, after)))

    @parameterized.expand([("whole", 0), ("change", 10)])
    def test_attribute_removed(self, _, after):
        """An attribute that is no longer stated does not stay in force."""
        old, new = _table(1, STATED, max_conns={"registry": 64}), _table(2, ())
        self.assertEqual(new, _apply(old, _encode(old, new, after)))

    @parameterized.expand([("whole", 0), ("change", 10)])
    def test_decoded_by_previous_build(self, _, after):
        """The previous build decodes messages with attributes.

        It rejects a route with more than five fields and would lose the whole
        update during a rolling replacement.
        """
        old, new = _table(1, ()), _table(2, STATED, max_conns={"registry": 64})
        routes, paths = _decode_as_previous_build(_encode(old, new, after))
        self.assertEqual([_packed_route(443)], routes)
        self.assertEqual("/health", paths["registry"])

    @parameterized.expand([("whole", 0), ("change", 10)])
    def test_nothing_stated(self, _, after):
        """Without attributes the message has no field for them."""
        data = _encode(_table(1, ()), _table(2, (), ()), after)
        self.assertEqual(PATHS, _decode_as_previous_build(data)[1])

    @parameterized.expand([("whole", 3), ("change", 4)])
    def test_from_previous_build(self, _, kind):
        """Routes of the previous build have no attributes and are used."""
        data = _message(kind, [_packed_route(443)], PATHS)
        self.assertEqual(_table(2, ()), _apply(_table(1, STATED), data))

    def test_sent_on_by_previous_build(self):
        """Attributes sent on by the previous build keep their routes.

        That build keeps the health paths of the last change, here one of the
        second route, and sends them on with its whole table. Attributes by
        position would then be those of the wrong route.
        """
        old = _table(1, NONE_STATED, NONE_STATED)
        new = _table(2, NONE_STATED, STATED)
        _, paths = _decode_as_previous_build(_encode(old, new, 10))
        routes = [_packed_route(443), _packed_route(444)]
        data = _message(3, routes, paths)
        self.assertEqual(new, _apply(_table(1, ()), data))

    def test_length_of_change(self):
        """A change of 50 routes with attributes fits a gossip message.

        VMs would have to request longer changes over HTTP, all at once.
        """
        old = _table(1, *[NONE_STATED] * 300)
        triples = [STATED, (1, 1.344, 10.9)] * 25
        new = _table(2, *triples, *[NONE_STATED] * 250)
        data = _encode(old, new, 10)
        self.assertLess(len(data), MAX_CHANGE_BYTES)
        self.assertEqual(new, _apply(old, data))


class MalformedTest(TestCase):
    """Malformed attributes from a peer."""

    def _decode(self, packed: object, kind: int) -> RouteTable:
        paths = {**PATHS, "": packed}
        data = _message(kind, [_packed_route(443)], paths)
        return _apply(_table(1, ()), data)

    @parameterized.expand(
        [
            (json.dumps(packed)[:40], packed)
            for packed in (
                None,
                7,
                "/health",
                {},
                [],
                [{}],
                [7, 7],
                [{"registry": 0}, [7]],
                [{"registry": 1 << 60}, [[]]],
                [{"registry": True}, [[0, 0.327, 2.7]]],
                [{"registry": [1]}, [[0, 0.327, 2.7, 7]]],
                [["registry", 64], [[0, 0.327, 2.7, {HOST: 443}]]],
                [{}, [[0, 0.327, 2.7, {HOST: [[443], {}, "443", None]}]]],
                [{}, [[0, 0.327, 2.7, {"198.18.9.9": [443]}]]],
                [{}, [[True, "0.3", [2.7], {HOST: [443]}]]],
                [{}, [[-1, 0, 3600.1, {HOST: [443]}]]],
                [{}, [[101, -0.3, float("nan"), {HOST: [443]}]]],
                [{}, [[{}, float("inf"), 1 << 63, {HOST: [443]}]]],
            )
        ]
    )
    def test_ignored(self, _, packed):
        """Malformed attributes count as not stated; the routes are used.

        An exception here would lose the update, and the key in the health
        paths would be taken for a service and sent on to other VMs.
        """
        for kind in (3, 4):
            self.assertEqual(_table(2, ()), self._decode(packed, kind))

    def test_partly_valid(self):
        """Valid attributes beside invalid ones are used.

        A later build may add fields to the list and to its items.
        """
        items = [[0, -1, 2.7, {HOST: [443], "198.18.9.9": 7}, "more"]]
        packed = [{"registry": 64, "other": -1}, items, "more"]
        expected = _table(2, (0, None, 2.7), max_conns={"registry": 64})
        for kind in (3, 4):
            self.assertEqual(expected, self._decode(packed, kind))

    @given(_PACKED, _PACKED, st.sampled_from([3, 4]))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_values(self, limits, items, kind):
        """No attributes of a peer raise an exception or lose the update."""
        for packed in (items, [limits, items], [limits, [[items] * 4]]):
            table = self._decode(packed, kind)
            self.assertEqual({(HOST, 443)}, set(table.routes))
            self.assertEqual(PATHS, table.health_paths)

    @parameterized.expand([("number", 7), ("text", "ab"), ("none", None)])
    def test_paths_not_a_map(self, _, paths):
        """Health paths that are no map make the message invalid."""
        for kind in (3, 4):
            data = _message(kind, [_packed_route(443)], paths)
            self.assertTrue(snapshot.decode(data).is_err())

    def test_arguments_unchanged(self):
        """The table's own health paths do not get the additional key.

        They are those of the table in force.
        """
        paths = dict(PATHS)
        route = _table(1, STATED).routes[HOST, 443]
        packed = route_attributes.pack(paths, [route], {"registry": 64})
        self.assertIn("", packed)
        self.assertEqual(PATHS, paths)
