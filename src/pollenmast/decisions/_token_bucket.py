"""A token bucket on the runtime's clock."""

import attrs


@attrs.define
class TokenBucket:
    """Allows `rate` units a second, and `burst` of them at once.

    Attributes:
        rate: Units that come back in a second.
        burst: Units at the most, and at the start.
    """

    rate: float
    burst: float
    _units: float = attrs.field(init=False)
    _filled: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self):
        self._units = self.burst

    def available(self, now: float) -> float:
        """Returns the units that may be spent now."""
        if self._filled is not None:
            grown = self._units + (now - self._filled) * self.rate
            self._units = min(self.burst, grown)
        self._filled = now
        return self._units

    def spend(self, units: float) -> None:
        """Takes units; may go below zero once, by what one message takes."""
        self._units -= units

    def take(self, now: float) -> bool:
        """Returns whether one unit may be spent now, and spends it."""
        if self.available(now) < 1.0:
            return False
        self.spend(1.0)
        return True
