"""The fabric's choice of VM for each datagram, and its simulated faults."""

import random

import attrs

MAX_REORDER_DELAY_S = 0.002
"""Maximum delay of a reordered datagram, in seconds."""


@attrs.frozen
class Target:
    """A VM that the fabric may send datagrams to."""

    zone: str
    address: str


@attrs.frozen
class Faults:
    """The faults that the fabric simulates.

    Attributes:
        loss: Fraction of datagrams lost, 0 to 1.
        duplication: Fraction of datagrams delivered twice.
        reordering: Fraction of datagrams delivered late.
        cut_zones: Zones whose VMs cannot be reached through the fabric.
        cut_for: IP addresses of the callers that `cut_zones` applies to;
            empty for all callers.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    cut_zones: tuple[str, ...] = ()
    cut_for: tuple[str, ...] = ()

    def cuts(self, zone: str, caller: str) -> bool:
        """Returns whether this caller cannot reach VMs of this zone."""
        applies = not self.cut_for or caller in self.cut_for
        return applies and zone in self.cut_zones


class Spray:
    """Picks a random VM for each datagram.

    Attributes:
        targets: The VMs to pick from.
        faults: The simulated faults.
    """

    def __init__(self, rng: random.Random):
        self.targets: tuple[Target, ...] = ()
        self.faults = Faults()
        self._rng = rng

    def pick(self, caller: str) -> Target | None:
        """Returns the VM for one datagram, or None if it is discarded."""
        if not self.targets:
            return None
        target = self.targets[int(self._rng.random() * len(self.targets))]
        return None if self.faults.cuts(target.zone, caller) else target

    def delays(self) -> tuple[float, ...]:
        """Returns the delay of each copy of a datagram, in seconds.

        An empty tuple means that the datagram is lost.
        """
        faults = self.faults
        if not (faults.loss or faults.duplication or faults.reordering):
            return (0.0,)
        if self._rng.random() < faults.loss:
            return ()
        copies = 2 if self._rng.random() < faults.duplication else 1
        return tuple(
            MAX_REORDER_DELAY_S * self._rng.random()
            if self._rng.random() < faults.reordering
            else 0.0
            for _ in range(copies)
        )
