"""The platform's list and the seeds: whom to greet, and whom to forget.

The list lags, so it never says anything about a VM that was heard itself.
"""

from collections.abc import Iterable

from pollenmast.decisions._heartbeats import Address, gossip_address
from pollenmast.decisions._members import Members
from pollenmast.fleet import Vm


class Introductions:
    """Who is said to exist."""

    def __init__(self, own_name: str, seeds: Iterable[Address]):
        self._own_name = own_name
        self._seeds = tuple(seeds)
        self._listed: dict[str, Vm] | None = None

    def take(self, vms: Iterable[Vm]) -> None:
        """Takes the platform's list."""
        self._listed = {vm.name: vm for vm in vms if vm.name != self._own_name}

    def strangers(self, members: Members) -> list[Address]:
        """Returns who was never heard; the seeds too while alone."""
        strangers = [
            gossip_address(vm)
            for name, vm in (self._listed or {}).items()
            if members.get(name) is None
        ]
        if not members.live():
            strangers += self._seeds
        return strangers

    def forget(self, members: Members, now: float, after_s: float) -> None:
        """Forgets the dead that the platform no longer lists.

        Without this, a fleet whose VMs are replaced each day would ping all
        that ever lived.
        """
        if self._listed is None:
            return
        for member in members.dead():
            old = now - (member.dead_since or now) >= after_s
            if old and member.vm.name not in self._listed:
                members.forget(member.vm.name)
