"""Tests of entry._metrics and counters._histograms."""

import random

import attrs
from parameterized import parameterized
from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.admission import AdmitReason, RefuseReason, ServiceStatus
from pollenmast.entry import _gauges as gauges
from pollenmast.entry import _metrics as metrics
from pollenmast.steering import Steering, Update, ZoneDrained
from tests import steering_group as group


class MetricsTest(TestCase):
    """The text that a Prometheus server scrapes."""

    def test_counters(self):
        """Every reason is exported from the start, with value zero."""
        counters = c.Counters()
        counters.add(c.RESETS, c.ResetReason.NO_ROUTE)
        lines = metrics.text(counters, c.Histograms()).decode().splitlines()
        self.assertIn('pollenmast_resets_total{reason="no_route"} 1', lines)
        self.assertIn('pollenmast_resets_total{reason="no_endpoint"} 0', lines)

    @parameterized.expand(
        [
            *((c.ADMISSIONS, reason) for reason in AdmitReason),
            *((c.RESETS, reason) for reason in RefuseReason),
        ]
    )
    def test_admission_reasons(self, definition, reason):
        """Each outcome of admission control has a reason of its counter.

        Counting an outcome that the catalogue lacks would raise an exception
        for every flow during an overload.
        """
        self.assertIn(reason.value, definition.reasons)

    def test_histogram(self):
        """Buckets are cumulative; a long wait counts only in the last one."""
        histograms = c.Histograms()
        for seconds in (0.0005, 0.03, 99.0):
            histograms.observe(c.ANSWER_WAIT, seconds)
        lines = metrics.text(c.Counters(), histograms).decode().splitlines()
        name = "pollenmast_answer_wait_seconds"
        self.assertIn(f'{name}_bucket{{le="0.001"}} 1', lines)
        self.assertIn(f'{name}_bucket{{le="0.05"}} 2', lines)
        self.assertIn(f'{name}_bucket{{le="+Inf"}} 3', lines)
        self.assertIn(f"{name}_count 3", lines)

    @parameterized.expand(
        [
            ("revision", "pollenmast_directory_revision 10"),
            ("version", "pollenmast_configuration_version 1"),
            ("age", "pollenmast_beliefs_age_seconds 2.5"),
            ("epoch", "pollenmast_directory_epoch 3"),
            ("drains", "pollenmast_drained_zones 1"),
        ]
    )
    def test_gauges(self, _, line):
        """Gauges expose a VM's state and its age, to compare VMs."""
        steering = group.steering(group.endpoint(1), epoch=3)
        drained = ZoneDrained(group.ZONE, 10)
        steering.apply(Update((drained,), 10, epoch=3), 1.0)
        samples = gauges.read(steering, 2.5)
        text = metrics.text(c.Counters(), c.Histograms(), samples).decode()
        self.assertIn(line, text.splitlines())

    def test_gauges_at_start(self):
        """The state of a VM that has read nothing yet has no age."""
        steering = Steering(group.ZONE, c.Counters(), random.Random(1))
        samples = gauges.read(steering, 2.5)
        text = metrics.text(c.Counters(), c.Histograms(), samples).decode()
        self.assertIn("pollenmast_beliefs_age_seconds NaN", text.splitlines())


STATUSES = (
    ServiceStatus("registry", 5, 4, 2, True, 0.0475),
    ServiceStatus("archive", 0, 12, 0, False, 0.05),
)


@attrs.frozen
class _FixedAdmission:
    """Stands in for admission control.

    Attributes:
        statuses: What `status` returns.
    """

    statuses: tuple[ServiceStatus, ...]

    def status(self, now: float) -> list[ServiceStatus]:
        """Returns the fixed statuses."""
        return list(self.statuses)


class _SteeringWithAdmission(Steering):
    """A VM's state with a stand-in for admission control."""

    admission = _FixedAdmission(STATUSES)


def _families(statuses: tuple[ServiceStatus, ...]):
    """Returns the metrics of a VM by name, parsed by Prometheus' client."""
    steering = _SteeringWithAdmission(
        group.ZONE, c.Counters(), random.Random(1)
    )
    steering.admission = _FixedAdmission(statuses)
    text = metrics.text(
        c.Counters(), c.Histograms(), gauges.read(steering, 2.5)
    )
    parsed = list(text_string_to_metric_families(text.decode()))
    return {family.name: family for family in parsed}, parsed


class ServiceGaugesTest(TestCase):
    """Operators compare services and VMs by the gauges of each service."""

    @parameterized.expand(
        [
            ("requests_in_progress", 5, 0),
            ("credits", 4, 12),
            ("held_flows", 2, 0),
            ("short_of_capacity", 1, 0),
            ("service_time_seconds", 0.0475, 0.05),
        ]
    )
    def test_values(self, name, registry, archive):
        """Each service has a sample of its own with a label."""
        families, _ = _families(STATUSES)
        samples = families[f"pollenmast_{name}"].samples
        self.assertEqual(
            {"registry": registry, "archive": archive},
            {each.labels["service"]: each.value for each in samples},
        )

    def test_one_family_a_name(self):
        """Each name has one HELP and TYPE line, before all its samples.

        A server that scrapes a text with a name's TYPE given twice refuses all
        of it; this happens if each labelled gauge writes its own.
        """
        _, parsed = _families(STATUSES)
        names = [family.name for family in parsed]
        self.assertEqual(len(set(names)), len(names))
        self.assertNotIn("unknown", [family.type for family in parsed])

    @parameterized.expand(
        [
            ("quote", 'a"b'),
            ("backslash", "a\\b"),
            ("escaped_n", "a\\nb"),
            ("line_end", "a\nb 1"),
            ("braces", 'a"} 1'),
            ("other_script", "Zuständigkeit"),
            ("line_separator", "a\u2028b"),
        ]
    )
    def test_label_values(self, _, service):
        """A service's name from the configuration cannot break the format.

        Unescaped, a quote or line end in it would end the sample, and a
        server would refuse the whole text.
        """
        status = attrs.evolve(STATUSES[0], service=service)
        families, _ = _families((status,))
        samples = families["pollenmast_credits"].samples
        self.assertEqual([service], [s.labels["service"] for s in samples])

    def test_unpaired_surrogate(self):
        """A name that UTF-8 cannot represent does not make scrapes fail."""
        status = attrs.evolve(STATUSES[0], service="a\ud800")
        families, _ = _families((status,))
        self.assertEqual(1, len(families["pollenmast_credits"].samples))

    def test_no_services(self):
        """A VM that had no flows yet has the other gauges only."""
        families, _ = _families(())
        self.assertNotIn("pollenmast_credits", families)
        self.assertIn("pollenmast_drained_zones", families)
