"""Linear fits through measured points and their value at a target size."""

import attrs


@attrs.frozen
class Slope:
    """A least-squares line through measured points.

    Attributes:
        name: Name of the measured quantity.
        unit: Unit of the measured value.
        of: What the size counts, such as "VMs".
        points: Measured pairs of size and value.
        at_size: The target size.
        command: The command that runs the measurement.
    """

    name: str
    unit: str
    of: str
    points: tuple[tuple[float, float], ...]
    at_size: float
    command: str = "python -m bench run capacity"

    @property
    def slope(self) -> float:
        """Increase of the value per unit of size."""
        mean_x, mean_y = self._means()
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        both = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        return both / spread

    @property
    def intercept(self) -> float:
        """Value at size zero."""
        mean_x, mean_y = self._means()
        return mean_y - self.slope * mean_x

    @property
    def value(self) -> float:
        """Value at the target size; an extrapolation if beyond the points."""
        return self.intercept + self.slope * self.at_size

    @property
    def misfit(self) -> float:
        """Maximum residual relative to the greatest absolute value.

        If the points are not linear, the line predicts little beyond them.
        """
        most = max(abs(y) for _, y in self.points) or 1.0
        return max(abs(self._predict(x) - y) for x, y in self.points) / most

    def _predict(self, x: float) -> float:
        return self.intercept + self.slope * x

    def _means(self) -> tuple[float, float]:
        count = len(self.points)
        return (
            sum(x for x, _ in self.points) / count,
            sum(y for _, y in self.points) / count,
        )

    def row(self) -> dict:
        """Returns the line as table cells."""
        points = ", ".join(f"{x:,.0f}: {y:,.4g}" for x, y in self.points)
        return {
            "what": self.name,
            "unit": self.unit,
            "points": f"{self.of} {points}",
            "intercept": f"{self.intercept:.4g}",
            "slope": f"{self.slope:.4g}",
            "misfit": f"{self.misfit:.0%}",
            "at": f"{self.at_size:,.0f}",
            "value": f"{self.value:,.4g}",
        }
