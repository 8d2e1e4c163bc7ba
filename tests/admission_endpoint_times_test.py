"""Tests of admission._endpoint_times."""

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import _endpoint_times as module
from pollenmast.admission._endpoint_times import EndpointTimes

USUAL_S = 0.05


class EndpointTimesTest(TestCase):
    """An endpoint is slow while its own recent answers say so."""

    @parameterized.expand(
        [
            ("unknown", [], 0.0, False),
            ("usual", [0.05, 0.06], 0.1, False),
            ("one_long_answer", [0.05, 0.2], 0.1, False),
            ("slow", [0.2, 0.2], 0.1, True),
            ("recovered", [0.2, 0.05, 0.05, 0.05, 0.05], 0.1, False),
            ("forgotten", [0.2, 0.2], module.MAX_AGE_S + 0.1, False),
        ]
    )
    def test_slow(self, _, times_s, at, expected):
        """A slow endpoint is found, and tried again after a while.

        Without the limit on age a VM would never use it again.
        """
        times = EndpointTimes()
        for each in times_s:
            times.add("a", each, 0.0)
        self.assertEqual(expected, times.is_slow("a", USUAL_S, at))

    def test_bounded(self):
        """The number of endpoints is bounded."""
        times = EndpointTimes()
        for number in range(2 * module.MAX_ENDPOINTS):
            times.add(str(number), 1.0, 0.0)
        self.assertFalse(times.is_slow("0", USUAL_S, 0.0))
        self.assertEqual(module.MAX_ENDPOINTS, len(times._averages))
