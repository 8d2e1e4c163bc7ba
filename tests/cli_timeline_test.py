"""Tests of `explain --log`: timelines from log lines."""

import json
import tempfile

from parameterized import parameterized
from testtools import TestCase
from typer.testing import CliRunner

from pollenmast.cli import _timeline
from pollenmast.cli._app import app

FLOW = "100.64.0.6:1049>198.18.0.1:8080"


def _line(at: float, name: str, **fields) -> str:
    common = {"timestamp": at, "message_type": name, "vm": "vm-1", "event": 1}
    return json.dumps({**common, **fields})


LOG = [
    "no line of ours\n",
    "{half a line",
    " 12.3 vm-1 " + _line(102.0, "request_carried", request="ab", flow=FLOW),
    _line(101.0, "flow_placed", flow=FLOW, endpoint="i-1", age_ms=210),
    _line(102.2, "endpoint_down", endpoint="i-1", check="timeout"),
    _line(102.3, "flow_reset", flow=FLOW, endpoint="i-1", request=""),
    _line(102.4, "flow_placed", flow="1.1.1.1:1>2.2.2.2:2", endpoint="i-2"),
    _line(50.0, "endpoint_changed", endpoint="i-1"),
]


class TimelineTest(TestCase):
    """An engineer on call traces a failed request by its id."""

    @parameterized.expand([("request", "ab"), ("flow", FLOW)])
    def test_reset_request(self, _, subject):
        """The id of a reset request leads to the endpoint that failed."""
        texts = _timeline.timeline(_timeline.read(LOG), subject)
        names = [text.split(" s  ")[1].split("  ")[1] for text in texts]
        self.assertEqual(
            ["flow_placed", "request_carried", "endpoint_down", "flow_reset"],
            names,
        )
        self.assertIn("check=timeout", texts[2])

    def test_drained_zone(self):
        """The timeline of a refused flow includes what the VM knew of drains.

        Lines of another VM or from long before are left out: they do not
        explain the refusal.
        """
        log = [
            _line(101.0, "zone_drained", zone="a", revision=7),
            _line(10.0, "zone_restored", zone="a", revision=3),
            _line(101.1, "zone_drained", zone="b").replace("vm-1", "vm-2"),
            _line(102.0, "flow_reset", flow=FLOW, reason="zone_drained"),
        ]
        texts = _timeline.timeline(_timeline.read(log), FLOW)
        self.assertEqual(2, len(texts))
        self.assertIn("zone=a", texts[0])

    @parameterized.expand(
        [
            ("platform_lost", {"fault": "unreachable"}),
            ("platform_back", {"revision": 25, "epoch": 2}),
            ("history_gone", {"revision": 27, "epoch": 1}),
            ("directory_restored", {"known": 27, "revision": 25}),
        ]
    )
    def test_directory_events(self, name, fields):
        """The timeline of a flow includes the VM's trouble with its directory.

        A VM that has lost its directory can send a flow to an endpoint that
        serves nothing. Without these lines, an engineer on call would look
        only at the endpoint.
        """
        log = [
            _line(101.0, name, **fields),
            _line(101.1, name, **fields).replace("vm-1", "vm-2"),
            _line(102.0, "flow_placed", flow=FLOW, endpoint="i-1"),
        ]
        texts = _timeline.timeline(_timeline.read(log), FLOW)
        self.assertEqual(2, len(texts))
        self.assertIn(name, texts[0])

    @parameterized.expand(
        [
            ("no_room", {"held_ms": 0}, "the flows ahead", ", not held)"),
            ("hold_expired", {"held_ms": 82}, "no capacity", ", held 82 ms)"),
            ("repeat_limit", {"held_ms": 0}, "a retry", ", not held)"),
            ("no_room", {}, "the flows ahead", "may be held)"),
        ]
    )
    def test_refused(self, reason, fields, cause, end):
        """The timeline of a refused flow says why, and how long it was held.

        Without it, an engineer on call would look for a failed endpoint, of
        which a refused flow has none.
        """
        log = [
            _line(102.0, "flow_reset", flow=FLOW, reason=reason, **fields),
        ]
        text = _timeline.timeline(_timeline.read(log), FLOW)[0]
        self.assertIn(f"(refused, short of capacity: {cause}", text)
        self.assertTrue(text.endswith(end), text)

    @parameterized.expand(
        [
            ("no_endpoint", ("flow_reset", "no_endpoint")),
            ("no_text", ("flow_reset", ["no_room"])),
            ("other_event", ("flow_placed", "no_room")),
        ]
    )
    def test_not_refused(self, _, line):
        """Other lines are not explained as a lack of capacity.

        A reason that is no text, in a line that was cut or forged, does not
        end the command.
        """
        name, reason = line
        log = [_line(102.0, name, flow=FLOW, reason=reason, held_ms=1)]
        texts = _timeline.timeline(_timeline.read(log), FLOW)
        self.assertNotIn("capacity", texts[0])

    @parameterized.expand(
        [
            ("service", {"service": "registry"}, 2),
            ("no_service", {}, 3),
        ]
    )
    def test_capacity_events(self, _, fields, expected):
        """The timeline shows when the flow's service became short of capacity.

        Events of other services and VMs do not explain a refusal. Where the
        flow's lines name no service, those of its VM are shown.
        """
        log = [
            _line(101.0, "scarcity_began", service="registry", credits=4),
            _line(101.1, "scarcity_began", service="archive", credits=4),
            _line(101.2, "scarcity_began", service="registry").replace(
                "vm-1", "vm-2"
            ),
            _line(102.0, "flow_reset", flow=FLOW, reason="no_room", **fields),
        ]
        texts = _timeline.timeline(_timeline.read(log), FLOW)
        self.assertEqual(expected, len(texts))
        self.assertIn("scarcity_began  service=registry credits=4", texts[0])

    def test_escape_sequences(self):
        """Escape sequences from a client do not reach the terminal."""
        line = _line(1.0, "request_carried", request="ab", flow="\x1b[2J")
        texts = _timeline.timeline(_timeline.read([line]), "ab")
        self.assertNotIn("\x1b", texts[0])

    def test_escape_sequences_in_explanation(self):
        """Neither do those of a forged hold time, which is shown twice."""
        fields = {"reason": "hold_expired", "held_ms": "\x1b[2J"}
        line = _line(1.0, "flow_reset", flow=FLOW, **fields)
        texts = _timeline.timeline(_timeline.read([line]), FLOW)
        self.assertNotIn("\x1b", texts[0])

    @parameterized.expand([("known", "ab", 0), ("unknown", "zz", 1)])
    def test_command(self, _, subject, code):
        """The command reads a file and fails if no line names the subject."""
        with tempfile.NamedTemporaryFile("w") as file:
            file.write("\n".join(LOG))
            file.flush()
            result = CliRunner().invoke(
                app, ["explain", subject, "--log", file.name]
            )
        self.assertEqual(code, result.exit_code)
