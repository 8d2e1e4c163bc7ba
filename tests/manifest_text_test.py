"""Tests for pollenmast.manifest._text."""

import json

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast import manifest
from pollenmast.manifest import (
    MAX_BYTES,
    MAX_FAULTS,
    Endpoint,
    Limits,
    Service,
)


def example(**changes: object) -> dict[str, object]:
    """Returns a valid manifest; `changes` override keys of its endpoint."""
    endpoint = {
        "name": "registry-1",
        "address": "127.0.2.1",
        "port": 5001,
        "load_port": 6001,
        "zone": "pos-frederick",
    }
    service = {
        "name": "registry",
        "number": 1,
        "port": 4001,
        "kind": "session",
        "idempotent": False,
        "endpoints": [{**endpoint, **changes}],
    }
    return {"version": 3, "services": [service]}


def encode(value: object) -> bytes:
    """Returns the value as JSON text."""
    return json.dumps(value).encode()


def faults(value: object) -> list[str]:
    """Returns the faults that parsing the value as a manifest gives."""
    return [str(fault) for fault in manifest.parse(encode(value)).err() or ()]


def _without_endpoint_key(key: str) -> dict[str, object]:
    value = example()
    del value["services"][0]["endpoints"][0][key]
    return value


def _with_second_service(**changes: object) -> dict[str, object]:
    value = example()
    service = value["services"][0]
    second = {**service, "name": "barcodes", "number": 2, "port": 4002}
    endpoint = {**service["endpoints"][0], "port": 5002}
    value["services"].append({**second, "endpoints": [endpoint], **changes})
    return value


_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["version", "services", "endpoints", "name", "port", "limits"]
            )
            | st.text(max_size=4),
            inner,
            max_size=6,
        )
    ),
    max_leaves=20,
)


class ParseTest(TestCase):
    """A manifest is either accepted or rejected as a whole."""

    def test_defaults(self):
        """Omitted keys and explicit defaults give the same manifest."""
        parsed = manifest.parse(encode(example())).unwrap()
        explicit = example(slots=2, connections=2000, state="serving")
        explicit["services"][0]["limits"] = {"hold_ms": 400}
        self.assertEqual(parsed, manifest.parse(encode(explicit)).unwrap())
        self.assertEqual(2, parsed.services[0].endpoints[0].slots)
        self.assertEqual(400, parsed.services[0].limits.hold_ms)

    def test_rendered_text_is_not_longer(self):
        """The canonical text is no longer than the text it was parsed from.

        If it were longer, a manifest just below the size limit would be
        rejected by the VM that receives it from another, and that VM would
        stay on the old version.
        """
        value = example(slots=3)
        value["services"][0]["limits"] = {"hold_ms": 100}
        text = json.dumps(value, separators=(",", ":")).encode()
        parsed = manifest.parse(text).unwrap()
        rendered = manifest.render(parsed)
        self.assertEqual(parsed, manifest.parse(rendered).unwrap())
        self.assertTrue(len(rendered) <= len(text))

    def test_digest(self):
        """The digest distinguishes two contents with the same version."""
        one = manifest.parse(encode(example())).unwrap()
        other = manifest.parse(encode(example(port=5002))).unwrap()
        self.assertEqual(one.digest, manifest.digest(one))
        self.assertNotEqual(one.digest, other.digest)

    @parameterized.expand(
        [
            ("port_is_text", example(port="x"), "endpoints[0].port"),
            ("port_is_zero", example(port=0), "endpoints[0].port"),
            ("port_is_too_great", example(port=65536), "endpoints[0].port"),
            ("port_is_true", example(port=True), "endpoints[0].port"),
            ("port_is_fractional", example(port=1.5), "endpoints[0].port"),
            ("host_name", example(address="localhost"), "[0].address"),
            ("short_address", example(address="127.1"), "[0].address"),
            ("multicast", example(address="224.0.0.1"), "[0].address"),
            ("any_address", example(address="0.0.0.0"), "[0].address"),
            ("unknown_state", example(state="gone"), "[0].state"),
            ("unknown_key", example(colour=1), 'unknown key "colour"'),
            (
                "missing_key",
                _without_endpoint_key("zone"),
                "[0].zone: found nothing",
            ),
            (
                "name_twice",
                _with_second_service(name="registry"),
                "services[1].name",
            ),
            (
                "number_twice",
                _with_second_service(number=1),
                "services[1].number",
            ),
            ("port_twice", _with_second_service(port=4001), "services[1].port"),
            ("no_services", {"version": 1, "services": []}, "services"),
            ("version_zero", {**example(), "version": 0}, "version"),
            ("a_list", [], "manifest: found a list of 0 items"),
        ]
    )
    def test_rejected(self, _, value, expected):
        """A single invalid value rejects the whole manifest with one fault.

        If a pipeline wrote such a value and the rest were accepted, a service
        would unintentionally lose an endpoint or its callers.
        """
        found = faults(value)
        self.assertEqual(1, len(found), found)
        self.assertIn(expected, found[0])

    def test_duplicate_socket(self):
        """Two services cannot share the address and port of an upstream.

        Callers of one service would reach the other: here, a packet for
        registry would be sent to barcodes.
        """
        value = _with_second_service(
            endpoints=example()["services"][0]["endpoints"]
        )
        self.assertEqual(
            [
                "services[1].endpoints[0].port: found the address and port of"
                " services[0].endpoints[0], allowed: an address and port of"
                " its own"
            ],
            faults(value),
        )

    def test_reports_all_faults(self):
        """All faults are reported at once, each with its path."""
        value = example(port=0, address="x", colour=1)
        value["version"] = "3"
        self.assertEqual(4, len(faults(value)))

    def test_fault_list_is_bounded(self):
        """The fault list is limited, to bound memory use on hostile input."""
        value = {str(number): 0 for number in range(10_000)}
        self.assertEqual(MAX_FAULTS, len(faults(value)))

    @parameterized.expand(
        [
            ("empty", b""),
            ("not_json", b"{"),
            ("not_utf8", b'"\xff"'),
            ("deep_nesting", b"[" * 500_000),
            ("deep_objects", b'{"services":' * 50_000),
            ("long_number", b"1" * 100_000),
            ("infinite", b'{"version": 1e999, "services": []}'),
            ("no_number", b'{"version": NaN}'),
            ("lone_surrogate", b'{"\\ud800": 1}'),
            ("key_twice", encode(example())[:-1] + b', "version": 4}'),
            ("too_long", b" " * (MAX_BYTES + 1)),
        ]
    )
    def test_hostile_text(self, _, data):
        """Hostile input is rejected without raising an exception.

        An exception here would terminate the agents of the whole fleet at
        once.
        """
        self.assertTrue(manifest.parse(data).is_err())

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(_JSON)
    def test_fuzzed_value(self, value):
        """Validation never raises, whatever the JSON value."""
        parsed = manifest.parse(encode(value))
        self.assertEqual(parsed.is_err(), bool(parsed.err()))

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=300))
    def test_fuzzed_bytes(self, data):
        """Parsing never raises, whatever the bytes."""
        self.assertTrue(manifest.parse(data).is_err())

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.data())
    def test_fuzzed_edit(self, data):
        """A valid manifest with one value replaced is accepted or rejected.

        An accepted one is unchanged by rendering and parsing it again.
        """
        value = example()
        targets = [
            value,
            value["services"][0],
            value["services"][0]["endpoints"][0],
        ]
        target = data.draw(st.sampled_from(targets))
        key = data.draw(st.sampled_from(sorted(target)))
        target[key] = data.draw(_JSON)
        parsed = manifest.parse(encode(value))
        if parsed.is_ok():
            text = manifest.render(parsed.unwrap())
            self.assertEqual(parsed, manifest.parse(text))


class SchemaTest(TestCase):
    """The published schema matches the validation."""

    def test_schema_lists_every_key(self):
        """The schema lists exactly the attributes of the model."""
        schema = manifest.schema()
        service = schema["properties"]["services"]["items"]
        endpoint = service["properties"]["endpoints"]["items"]
        limits = service["properties"]["limits"]
        self.assertEqual(["version", "services"], schema["required"])
        for described, model in (
            (service, Service),
            (endpoint, Endpoint),
            (limits, Limits),
        ):
            names = [attribute.name for attribute in attrs.fields(model)]
            self.assertEqual(names, list(described["properties"]))
            self.assertFalse(described["additionalProperties"])

    def test_schema_defaults_match_model(self):
        """Defaults in the schema equal those of the model."""
        schema = manifest.schema()["properties"]["services"]["items"]
        parsed = manifest.parse(encode(example())).unwrap().services[0]
        rendered = {
            "endpoints": parsed.endpoints[0],
            "limits": parsed.limits,
        }
        for key, value in rendered.items():
            part = schema["properties"][key]
            for name, rule in part.get("items", part)["properties"].items():
                if "default" in rule:
                    self.assertEqual(rule["default"], getattr(value, name))
