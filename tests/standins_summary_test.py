"""Tests of standins._summary."""

import attrs
from parameterized import parameterized
from testtools import TestCase

from standins import _ledger, _summary
from standins._records import FlowRecord, Results, Stall


class VerdictTest(TestCase):
    """Tests of the demo's exit code."""

    @parameterized.expand(
        [
            ("whole", {}, {}, [], 0),
            ("refused_is_no_fault", {"refused": 3}, {}, [], 0),
            ("broken", {"broken_flows": 1}, {}, [], 1),
            ("wrong_service", {"wrong_service": 1}, {}, [], 1),
            ("lost", {"lost": 1}, {}, [], 1),
            ("doubled", {"doubled": 1}, {}, [], 1),
            ("cut", {"cut": 1}, {}, [], 1),
            ("late_refusal", {"late_refusals": 1}, {}, [], 1),
            ("lost_by_the_kill", {}, {"lost": 1, "broken_flows": 1}, [], 0),
            ("doubled_by_the_kill", {}, {"doubled": 1}, [], 1),
            ("late_refusal_by_the_kill", {}, {"late_refusals": 1}, [], 1),
            ("a_problem", {}, {}, ["vm-1 did not end"], 1),
        ]
    )
    def test_exit_code(self, _, promised, after, problems, expected):
        """The exit code is 1 for a broken guarantee or a problem, else 0."""
        summary = attrs.asdict(_ledger.Tally(**promised))
        summary["after_kill"] = attrs.asdict(_ledger.Tally(**after))
        summary["problems"] = problems
        self.assertEqual(expected, _summary.verdict(summary))


class FeedsTest(TestCase):
    """Tests of the reported lateness of alerts."""

    def test_lateness_before_and_after_loss(self):
        """The greatest lateness before and after the loss is reported."""
        flow = FlowRecord("registry", 1.0)
        flow.stalls = [Stall(9.0, 2.0, 0.6), Stall(11.0, 4.0, 3.0)]
        lateness = _summary.feed_lateness(
            [Results(flows=[flow])], _ledger.Loss(10.0)
        )
        self.assertEqual([0.6, 3.0], list(lateness.values()))


class LateConnectionsTest(TestCase):
    """Tests of the report of new work on draining upstreams."""

    def test_only_upstreams_with_late_connections_are_listed(self):
        """An upstream drains and still gets new connections.

        Operators cannot remove it without cutting off those connections.
        """
        counted = {
            "registry-1": {"late_connections": 0},
            "registry-2": {"late_connections": 2},
        }
        lines = _summary.late_connections(counted)
        self.assertEqual(1, len(lines))
        self.assertIn("registry-2 got 2", lines[0])
