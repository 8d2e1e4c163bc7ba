"""Tests for bench._slopes."""

from parameterized import parameterized
from testtools import TestCase

from bench._slopes import Slope


def _slope(points, at_size=100.0) -> Slope:
    return Slope("control", "B/s", "VMs", points, at_size)


class SlopeTest(TestCase):
    """Linear fits, from which the cost of a large fleet is extrapolated."""

    @parameterized.expand(
        [
            ("rising", ((1, 5.0), (3, 9.0), (9, 21.0)), 2.0, 3.0, 203.0),
            ("flat", ((3, 7.0), (9, 7.0)), 0.0, 7.0, 7.0),
            ("falling", ((0, 4.0), (4, 2.0)), -0.5, 4.0, -46.0),
        ]
    )
    def test_exact(self, _, points, slope, intercept, value):
        """Collinear points give their line and a misfit of 0."""
        line = _slope(points)
        self.assertAlmostEqual(slope, line.slope)
        self.assertAlmostEqual(intercept, line.intercept)
        self.assertAlmostEqual(value, line.value)
        self.assertAlmostEqual(0.0, line.misfit)

    def test_misfit(self):
        """The misfit is the maximum residual over the greatest value."""
        line = _slope(((0, 0.0), (1, 3.0), (2, 0.0)))
        self.assertAlmostEqual(0.0, line.slope)
        self.assertAlmostEqual(2.0 / 3.0, line.misfit)

    def test_all_zero(self):
        """All-zero points give a misfit of 0, not a division by zero."""
        self.assertEqual(0.0, _slope(((1, 0.0), (2, 0.0))).misfit)

    def test_row(self):
        """A row lists all measured points."""
        row = _slope(((3, 10.0), (9, 22.0))).row()
        self.assertEqual("VMs 3: 10, 9: 22", row["points"])
        self.assertEqual("2", row["slope"])
