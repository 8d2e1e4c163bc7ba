"""Tests for pollenmast.manifest._diff."""

import json

from parameterized import parameterized
from testtools import TestCase

from pollenmast.manifest import Effect, differences, parse


def _manifest(version: int, endpoints: list[dict], **changes: object):
    service = {
        "name": "registry",
        "number": 1,
        "port": 4001,
        "kind": "session",
        "idempotent": False,
        "endpoints": endpoints,
        **changes,
    }
    value = {"version": version, "services": [service]}
    return parse(json.dumps(value).encode()).unwrap()


def _endpoint(number: int, **changes: object) -> dict[str, object]:
    return {
        "name": f"registry-{number}",
        "address": f"127.0.2.{number}",
        "port": 5001,
        "load_port": 6001,
        "zone": "pos-frederick",
        **changes,
    }


_TWO_ENDPOINTS = [_endpoint(1), _endpoint(2)]


class DifferencesTest(TestCase):
    """The diff shows operators a release's effects before the rollout."""

    @parameterized.expand(
        [
            (
                "endpoint_comes",
                [*_TWO_ENDPOINTS, _endpoint(3)],
                {},
                [(Effect.COME, "registry/registry-3")],
                True,
            ),
            (
                "endpoint_leaves",
                [_endpoint(1)],
                {},
                [(Effect.LEAVE, "registry/registry-2")],
                True,
            ),
            (
                "endpoint_drains",
                [_endpoint(1), _endpoint(2, state="draining")],
                {},
                [(Effect.DRAIN, "registry/registry-2")],
                True,
            ),
            (
                "endpoint_moves",
                [_endpoint(1), _endpoint(2, address="127.0.2.9")],
                {},
                [(Effect.MOVE, "registry/registry-2")],
                False,
            ),
            (
                "zone_moves",
                [_endpoint(1), _endpoint(2, zone="pos-woodbrook")],
                {},
                [(Effect.MOVE, "registry/registry-2")],
                False,
            ),
            (
                "capacity",
                [_endpoint(1), _endpoint(2, slots=4)],
                {},
                [(Effect.CHANGE, "registry/registry-2")],
                False,
            ),
            (
                "port",
                _TWO_ENDPOINTS,
                {"port": 4009},
                [(Effect.CHANGE, "registry")],
                False,
            ),
            (
                "limit",
                _TWO_ENDPOINTS,
                {"limits": {"hold_ms": 100}},
                [(Effect.CHANGE, "registry")],
                False,
            ),
            (
                "renamed",
                _TWO_ENDPOINTS,
                {"name": "records"},
                [(Effect.LEAVE, "registry"), (Effect.COME, "records")],
                False,
            ),
        ]
    )
    def test_effect_and_subject(
        self, _, endpoints, changes, expected, distribution_changes
    ):
        """Each change is reported with its effect and subject."""
        if distribution_changes:
            expected = [*expected, (Effect.MOVE, "registry")]
        old, new = (
            _manifest(1, _TWO_ENDPOINTS),
            _manifest(2, endpoints, **changes),
        )
        found = [(item.effect, item.subject) for item in differences(old, new)]
        self.assertEqual(expected, found)

    def test_same_content(self):
        """A manifest has no differences from itself."""
        one = _manifest(1, _TWO_ENDPOINTS)
        self.assertEqual((), differences(one, one))

    @parameterized.expand(
        [("older", 1, Effect.IGNORED), ("same_version", 2, Effect.CONFLICT)]
    )
    def test_version_not_raised(self, _, version, expected):
        """A release whose version is not greater is reported first.

        For an older version the fleet keeps the manifest in force. For the
        same version it keeps one of the two contents, which nobody chose.
        Without the report, the release would seem to have no effect.
        """
        old, new = (
            _manifest(2, _TWO_ENDPOINTS),
            _manifest(version, _TWO_ENDPOINTS[:1]),
        )
        self.assertEqual(expected, differences(old, new)[0].effect)

    def test_no_serving_endpoint(self):
        """Draining every endpoint warns that new flows will be refused."""
        draining = [_endpoint(n, state="draining") for n in (1, 2)]
        found = differences(
            _manifest(1, _TWO_ENDPOINTS), _manifest(2, draining)
        )
        self.assertIn("every new one is refused", found[-1].words)
