"""Tests of platform._entries and platform._settings."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast.platform._configuration import (
    parse_configuration,
    parse_with_ignored,
)
from pollenmast.platform._entries import MAX_ENTRY_BYTES, parse_endpoint
from pollenmast.platform._settings import parse_settings
from pollenmast.steering import NO_START_STATED, ColdAllowance, Route, Warmup

NAME = "i-7f3a91c2"
ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "pos-frederick",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seqNo": 4,
}
CONFIGURATION = {
    "version": 7,
    "routeTable": [
        {
            "name": "r-1",
            "hostname": "198.18.0.1",
            "prefix": "/8443/",
            "routeType": "idempotent",
            "trafficSplit": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 0},
            ],
        },
        {
            "name": "r-2",
            "hostname": "198.18.0.1",
            "prefix": "/8080/",
            "routeType": "non_idempotent",
            "service": "b",
        },
    ],
    "services": [
        {"name": "a", "healthPath": "/health"},
        {"name": "b", "healthPath": "/health"},
    ],
    "limits": {"idleTimeoutMs": 15000},
}
SETTINGS = """\
nodeId=frontend-pos-frederick-1
zone=pos-frederick
listenAddrs.datagramAddr=10.1.0.10:8172
listenAddrs.ready=10.1.0.10:8167
listenAddrs.control=10.1.0.10:8166
internalPorts=7720,7735
seedNodes=10.1.0.10:8166,10.2.0.40:8166
bounds.graceS=6
platform.address=10.200.1.7:8169
a.new.field=1
"""
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
)


_NONE_STATED = (None, None, None)
_INVALID = (
    -1,
    -0.5,
    10**400,
    1e300,
    float("nan"),
    float("inf"),
    True,
    False,
    "1",
    None,
    [],
    {},
)
"""Values that no attribute of a route or service may have."""


def _attributes(route: Route) -> tuple:
    return route.priority, route.target_latency_s, route.timeout_s


def _entry(**fields) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


class EndpointTest(TestCase):
    """Parsing of endpoints' entries."""

    def test_valid_entry(self):
        """The fields of a valid entry are decoded."""
        endpoint = parse_endpoint(NAME, _entry()).ok_value
        self.assertEqual(0x7F3A91C2, endpoint.number)
        self.assertEqual(0x7F3A91C2, endpoint.token)
        self.assertEqual(("10.128.0.9", 8080), (endpoint.host, endpoint.port))
        self.assertEqual(1.5, endpoint.warmup_left_s)
        self.assertFalse(endpoint.draining)

    def test_long_name(self):
        """A name of more than 32 bits gets a token other than zero."""
        endpoint = parse_endpoint("i-9222196a73", _entry()).ok_value
        self.assertEqual(0x9222196A73, endpoint.number)
        self.assertTrue(0 < endpoint.token < 1 << 32)

    @parameterized.expand(
        [
            ("not_json", b"\xff\xfe"),
            ("a_list", b"[]"),
            ("deeply_nested", b"[" * 100_000),
            ("no_address", _entry(address=None)),
            ("no_port", _entry(address="10.0.0.1")),
            ("host_name", _entry(address="example:80")),
            ("port_zero", _entry(address="10.0.0.1:0")),
            ("long_port", _entry(address="10.0.0.1:" + "1" * 5000)),
            ("unknown_state", _entry(state="resting")),
            ("slots_as_text", _entry(slots="2")),
            ("slots_true", _entry(slots=True)),
            ("no_service", _entry(service="")),
            ("long_service", _entry(service="\U0001f527" * 64)),
            ("long_zone", _entry(zone="z" * 256)),
            ("long_version", _entry(version="v" * 256)),
            ("version_number", _entry(version=1)),
            ("negative_warmup", _entry(warmupLeftMs=-1)),
            ("negative_count", _entry(seqNo=-1)),
            ("count_as_text", _entry(seqNo="4")),
            ("huge_count", _entry(seqNo=1 << 63)),
            ("birth_as_text", _entry(born="1796360000000")),
            ("birth_true", _entry(born=True)),
            ("birth_fraction", _entry(born=1.5)),
            ("too_long", _entry(other="x" * MAX_ENTRY_BYTES)),
            *(
                (f"without_{field}", json.dumps(rest).encode())
                for field in ENTRY
                for rest in [{**ENTRY}]
                if rest.pop(field) is not None
            ),
            *(
                (f"{field}_as_list", _entry(**{field: [ENTRY[field]]}))
                for field in ENTRY
            ),
        ]
    )
    def test_invalid_entry(self, _, value):
        """Another writer's incomplete entry names no endpoint.

        Its address may be that of another service by now, which would run the
        service's requests.
        """
        refused = parse_endpoint(NAME, value).err_value
        self.assertTrue(refused.description.startswith(NAME))

    def test_unknown_fields(self):
        """Fields that are not known are allowed."""
        value = _entry(other={"a": [1]})
        self.assertIsInstance(parse_endpoint(NAME, value), Ok)

    @parameterized.expand(
        [
            ("stated", {"born": 1796360000000}, 1796360000000),
            ("zero", {"born": 0}, 0),
            ("not_stated", {}, NO_START_STATED),
        ]
    )
    def test_start(self, _, fields, started_ms):
        """Not all deployments' endpoints state when they started."""
        endpoint = parse_endpoint(NAME, _entry(**fields)).ok_value
        self.assertEqual(started_ms, endpoint.started_ms)

    def test_all_digits(self):
        """Every hexadecimal digit of an id counts, not only its last part.

        Otherwise another writer's entry has the number of a living endpoint.
        """
        endpoint = parse_endpoint("backup-7f3a91c2", _entry()).ok_value
        self.assertEqual(0xBAC7F3A91C2, endpoint.number)

    @parameterized.expand(
        [
            ("no_digits", "i-xyz"),
            ("empty", ""),
            ("no_prefix", "7f3a91c2"),
            ("upper_case", "i-7F3A91C2"),
            ("three_parts", "i-7f3a-91c2"),
            ("other_letters", "i-7f3a91c2z"),
            ("line_end", "i-7f3a91c2\n"),
            ("too_long", "i-" + "1" * 17),
            ("zeros", "i-0000000000"),
        ]
    )
    def test_invalid_name(self, _, name):
        """An entry under a key that is no endpoint's id is no endpoint.

        It could have the number of one.
        """
        self.assertIsInstance(parse_endpoint(name, _entry()), Err)

    @given(st.dictionaries(st.sampled_from(list(ENTRY)), _JSON), st.text())
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_fields(self, fields, name):
        """No entry makes the parser raise an exception."""
        parse_endpoint(name, _entry(**fields))


class ConfigurationTest(TestCase):
    """Parsing of the operator's configuration."""

    def test_routes(self):
        """Routes are keyed by address and port; a weight of 0 gets no flows."""
        table = parse_configuration(json.dumps(CONFIGURATION).encode())
        routes = table.ok_value.routes
        route = routes["198.18.0.1", 8443]
        self.assertEqual(["a"], route.services(digest=95))
        self.assertTrue(route.idempotent)
        self.assertFalse(routes["198.18.0.1", 8080].idempotent)
        self.assertEqual(15.0, table.ok_value.idle_timeout_s)

    @parameterized.expand(
        [
            ("no_version", {"version": None}),
            ("no_routes", {"routeTable": None}),
            ("no_services", {"services": []}),
            ("no_limits", {"limits": {}}),
            ("incomplete_route", {"routeTable": [{"name": "r"}]}),
        ]
    )
    def test_invalid_configuration(self, _, fields):
        """A configuration with any invalid field is rejected as a whole."""
        value = json.dumps({**CONFIGURATION, **fields}).encode()
        self.assertIsInstance(parse_configuration(value), Err)

    def _parse_with_warmup(self, **fields):
        services = [{"name": "a", "healthPath": "/health", **fields}]
        services.append({"name": "b", "healthPath": "/health"})
        entry = {**CONFIGURATION, "services": services}
        return parse_configuration(json.dumps(entry).encode())

    @parameterized.expand(
        [
            ("stated", {"warmupS": 2.5, "warmupPerS": 4}, Warmup(2.5, 4.0)),
            ("zero", {"warmupS": 2.0, "warmupPerS": 0.0}, Warmup(2.0, 0.0)),
            ("no_time", {"warmupPerS": 3.0}, Warmup(0.0, 3.0)),
            ("no_rate", {"warmupS": 2.0}, None),
        ]
    )
    def test_warmup(self, _, fields, warmup):
        """A rate of 0 is a limit; a service without a rate has no limit."""
        table = self._parse_with_warmup(**fields).ok_value
        self.assertEqual(warmup, table.warmups.get("a"))
        self.assertNotIn("b", table.warmups)

    @parameterized.expand(
        [
            ("negative", -1.0),
            ("none", None),
            ("text", "3"),
            ("true", True),
            ("not_a_number", float("nan")),
            ("infinite", float("inf")),
            ("huge", 1e300),
            ("huge_integer", 10**400),
        ]
    )
    def test_invalid_warmup_rate(self, _, rate):
        """A configuration with an impossible warm-up rate is rejected."""
        self.assertIsInstance(self._parse_with_warmup(warmupPerS=rate), Err)

    def _parse_with_attributes(self, route=None, service=None):
        first, *routes = CONFIGURATION["routeTable"]
        service_a, *services = CONFIGURATION["services"]
        entry = {
            **CONFIGURATION,
            "routeTable": [{**first, **(route or {})}, *routes],
            "services": [{**service_a, **(service or {})}, *services],
        }
        parsed = parse_with_ignored(json.dumps(entry).encode()).ok_value
        table = parsed.table
        # The other route and service must not get the values of the first.
        other = table.routes["198.18.0.1", 8080]
        self.assertEqual(_NONE_STATED, _attributes(other))
        self.assertNotIn("b", table.max_conns)
        return table, parsed.ignored

    @parameterized.expand(
        [
            ("none", {}, _NONE_STATED),
            ("priority_zero", {"priority": 0}, (0, None, None)),
            ("priority_last", {"priority": 100}, (100, None, None)),
            ("target", {"targetLatencyMs": 327}, (None, 0.327, None)),
            ("fraction", {"targetLatencyMs": 0.5}, (None, 0.0005, None)),
            ("timeout", {"timeoutMs": 3_600_000}, (None, None, 3600.0)),
            (
                "all",
                {"priority": 1, "targetLatencyMs": 1344, "timeoutMs": 10_900},
                (1, 1.344, 10.9),
            ),
        ]
    )
    def test_route_attributes(self, _, fields, expected):
        """Stated attributes are read with the right unit.

        A priority of 0 is the most urgent and must not count as not stated.
        """
        table, ignored = self._parse_with_attributes(route=fields)
        route = table.routes["198.18.0.1", 8443]
        self.assertEqual(expected, _attributes(route))
        self.assertEqual((), ignored)

    @parameterized.expand([(1,), (1 << 30,)])
    def test_max_conns(self, limit):
        """The limit of a service is read."""
        table, ignored = self._parse_with_attributes(
            service={"maxConns": limit}
        )
        self.assertEqual({"a": limit}, table.max_conns)
        self.assertEqual((), ignored)

    @parameterized.expand(
        [
            (field, value)
            for field, values in {
                "priority": (101, 0.5, 1.0),
                "targetLatencyMs": (0, 0.0, 3_600_000.5, 5e-324),
                "timeoutMs": (0, 0.0, 3_600_001),
                "maxConns": (0, 1.0, (1 << 30) + 1),
            }.items()
            for value in (*values, *_INVALID)
        ]
    )
    def test_invalid_attribute(self, field, value):
        """An invalid attribute is reported; the configuration is used.

        Rejecting the configuration would keep its routes from the clients.
        """
        where = "service" if field == "maxConns" else "route"
        table, (line,) = self._parse_with_attributes(**{where: {field: value}})
        route = table.routes["198.18.0.1", 8443]
        self.assertEqual(_NONE_STATED, _attributes(route))
        self.assertEqual({}, table.max_conns)
        self.assertIn(field, line.description)

    def test_many_invalid_attributes(self):
        """Invalid attributes of many routes are one short line for a field.

        A line for each would fill the log at every change.
        """
        bad = {"priority": -1, "timeoutMs": None, "name": "r" * 4000}
        routes = [
            {**CONFIGURATION["routeTable"][0], **bad, "prefix": f"/{port}/"}
            for port in range(1, 1001)
        ]
        value = json.dumps({**CONFIGURATION, "routeTable": routes}).encode()
        ignored = parse_with_ignored(value).ok_value.ignored
        self.assertEqual(2, len(ignored))
        for line, field in zip(ignored, ("priority", "timeoutMs"), strict=True):
            text = line.description
            self.assertIn(f"{field} not allowed and ignored, 1000 times", text)
            self.assertLessEqual(len(text), 120)

    @given(st.dictionaries(st.sampled_from(list(CONFIGURATION)), _JSON))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_fields(self, fields):
        """No configuration makes the parser raise an exception."""
        parse_configuration(json.dumps({**CONFIGURATION, **fields}).encode())


class SettingsTest(TestCase):
    """Parsing of the platform's settings file."""

    def test_valid_file(self):
        """Known fields are decoded and unknown ones are ignored."""
        read = parse_settings(SETTINGS)
        self.assertIsInstance(read, Ok)
        self.assertEqual(("10.1.0.10", 8172), read.ok_value.packets)
        self.assertEqual(("10.1.0.10", 7720), read.ok_value.gossip)
        self.assertEqual(2, len(read.ok_value.seeds))
        self.assertEqual(6.0, read.ok_value.grace_s)
        self.assertIsNone(read.ok_value.allowance)

    def test_bounds(self):
        """The shortest bound applies; the cold endpoints' allowance is set."""
        bounds = (
            "bounds.configApplyMs=5000\nbounds.drainMs=4000\n"
            "bounds.evacuateMs=2500\n"
            "bounds.warmupOverrun=1.5\nbounds.warmupSlack=5\n"
        )
        read = parse_settings(SETTINGS + bounds).ok_value
        self.assertEqual(2.5, read.apply_s)
        self.assertEqual(ColdAllowance(1.5, 5.0), read.allowance)

    @parameterized.expand([("-1",), ("nan",), ("inf",), ("many",)])
    def test_invalid_allowance(self, value):
        """An allowance that is negative or not a finite number is rejected."""
        read = parse_settings(SETTINGS + f"bounds.warmupSlack={value}\n")
        self.assertIsInstance(read, Err)

    @parameterized.expand(
        [
            (name,)
            for name in (
                "nodeId",
                "zone",
                "listenAddrs.ready",
                "platform.address",
                "internalPorts",
            )
        ]
    )
    def test_missing_field(self, name):
        """The error for a missing field contains its name."""
        lines = [
            line
            for line in SETTINGS.splitlines()
            if not line.startswith(f"{name}=")
        ]
        read = parse_settings("\n".join(lines))
        self.assertIn(name.split(".")[0], read.err_value)
