"""Tests of entry._metrics and counters._histograms."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
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
