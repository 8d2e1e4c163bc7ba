"""Tests of operators: the answer of each path, and the metrics."""

import json

import trio
from parameterized import parameterized
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from pollenmast import operators
from pollenmast.counters import CATALOGUE
from pollenmast.http1 import Request
from pollenmast.operators import _site

STATUS = operators.Status(
    vm=operators.VmStatus(
        "vm-1", "hall-bor", "0.1.0", True, True, False, False, 12.0
    ),
    manifest=operators.ManifestStatus(3, "ab", 4.0, 3, 3),
    relay=operators.RelayStatus(True, False, 5, 0, 2),
    platform=operators.PlatformStatus(True, 0.5),
    members=(),
    endpoints=(),
    counters=(operators.CounterStatus("relay", "refusals", "busy", 2),),
)


class FakeKnowledge(operators.StatusProvider):
    """Returns the given fault and lines."""

    def __init__(self, fault: str | None = None, lines=("a line",)):
        self.fault = fault
        self.lines = lines
        self.subjects = []

    def status(self):
        """Returns a status."""
        return STATUS

    def health(self):
        """Returns the fault."""
        return self.fault

    def readiness(self):
        """Returns the fault."""
        return self.fault

    async def explain(self, subject):
        """Returns the lines."""
        self.subjects.append(subject)
        return self.lines


def _counters():
    return {"agent": {}, "relay": {("refusals", "busy"): 2}}


def _gauges():
    return operators.Gauges(5, 0, 2, {"alive": 9, "dead": 0}, 3, 4.0)


# Shared by all tests: instruments are registered once per process.
METRICS = operators.Metrics(_counters, _gauges)


def _ask(target: str, knowledge=None, method: str = "GET"):
    site = _site.Site(knowledge or FakeKnowledge(), METRICS)
    return trio.run(site.handle, Request(method, target))


class SiteTest(TestCase):
    """Known paths are answered; other requests are refused."""

    @parameterized.expand(
        [
            ("status", "/status", "GET", 200),
            ("metrics", "/metrics", "GET", 200),
            ("health", "/health", "GET", 200),
            ("ready", "/ready", "GET", 200),
            ("explain", "/explain?subject=x", "GET", 200),
            ("unknown", "/secret", "GET", 404),
            ("written", "/status", "POST", 405),
            ("flooded", "/explain?" + "a=1&" * 99, "GET", 400),
        ]
    )
    def test_status_code(self, _, target, method, status):
        """Each request gets its status code."""
        self.assertEqual(status, _ask(target, method=method).status)

    @parameterized.expand([("/ready",), ("/health",)])
    def test_failed_check(self, target):
        """A failed check is answered with 503 and the reason.

        The fabric checks readiness and sees why a VM accepts no flows.
        """
        response = _ask(target, FakeKnowledge("no manifest yet"))
        self.assertEqual(
            (503, b"no manifest yet\n"), (response.status, response.body)
        )

    def test_status(self):
        """The status is JSON with the field names of the model."""
        status = json.loads(_ask("/status").body)
        self.assertEqual("vm-1", status["vm"]["name"])
        self.assertEqual(2, status["counters"][0]["value"])

    def test_explain(self):
        """The subject is passed on unquoted, and the lines are returned."""
        knowledge = FakeKnowledge()
        response = _ask("/explain?subject=10.0.0.1%3A99", knowledge)
        self.assertEqual(["10.0.0.1:99"], knowledge.subjects)
        self.assertEqual(["a line"], json.loads(response.body)["lines"])

    def test_explain_without_relay(self):
        """Without an answer of the relay, the status code is 503."""
        self.assertEqual(
            503, _ask("/explain", FakeKnowledge(lines=None)).status
        )


class MetricsTest(TestCase):
    """Every counter is exported from the start, by program and reason."""

    def setUp(self):
        """Scrapes the metrics once."""
        super().setUp()
        text = _ask("/metrics").body.decode()
        self.samples = {
            (sample.name, tuple(sorted(sample.labels.items()))): sample.value
            for family in text_string_to_metric_families(text)
            for sample in family.samples
            if sample.name.startswith("pollenmast")
        }

    def test_zeros_included(self):
        """A reason that never occurred is exported as zero."""
        label_sets = sum(len(definition.reasons) for definition in CATALOGUE)
        labelled = [name for name in self.samples if "program" in dict(name[1])]
        self.assertEqual(2 * label_sets, len(labelled))

    def test_values(self):
        """The relay's counters and the gauges have their values."""
        values = {
            (name, dict(labels).get("reason"), dict(labels).get("state")): value
            for (name, labels), value in self.samples.items()
            if dict(labels).get("program") != "agent"
        }
        busy = [v for (_, reason, _), v in values.items() if reason == "busy"]
        alive = [v for (_, _, state), v in values.items() if state == "alive"]
        self.assertEqual(([2.0], [9.0]), (busy, alive))
