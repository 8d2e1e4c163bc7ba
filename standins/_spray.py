"""Which VM a datagram goes to, and what the fabric does to it on the way."""

import random

import attrs

VERY_SOON_S = 0.002
"""A reordered datagram comes this much later than it was sent."""


@attrs.frozen
class Target:
    """A VM that the fabric may send to."""

    zone: str
    address: str


@attrs.frozen
class Faults:
    """What the fabric does wrong.

    Attributes:
        loss: Share of datagrams lost, 0 to 1.
        duplication: Share of datagrams that come twice.
        reordering: Share of datagrams that come later than sent.
        cut_zones: Zones whose VMs nobody reaches by the fabric.
        cut_for: Callers' addresses that the cut concerns; empty is all.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    cut_zones: tuple[str, ...] = ()
    cut_for: tuple[str, ...] = ()

    def cuts(self, zone: str, caller: str) -> bool:
        """Returns whether this caller and this zone are cut off."""
        concerned = not self.cut_for or caller in self.cut_for
        return concerned and zone in self.cut_zones


class Spray:
    """Picks a VM for each datagram, at random."""

    def __init__(self, rng: random.Random):
        self.targets: tuple[Target, ...] = ()
        self.faults = Faults()
        self._rng = rng

    def pick(self, caller: str) -> Target | None:
        """Returns the VM of one datagram, or None where it goes nowhere."""
        if not self.targets:
            return None
        target = self.targets[int(self._rng.random() * len(self.targets))]
        return None if self.faults.cuts(target.zone, caller) else target

    def delays(self) -> tuple[float, ...]:
        """Returns how late each copy of one datagram comes; none is lost."""
        faults = self.faults
        if not (faults.loss or faults.duplication or faults.reordering):
            return (0.0,)
        if self._rng.random() < faults.loss:
            return ()
        copies = 2 if self._rng.random() < faults.duplication else 1
        return tuple(
            VERY_SOON_S * self._rng.random()
            if self._rng.random() < faults.reordering
            else 0.0
            for _ in range(copies)
        )
