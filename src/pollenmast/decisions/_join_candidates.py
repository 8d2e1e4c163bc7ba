"""VMs known from the platform's list and the seeds.

They are used to find unknown VMs to ping and dead members to remove. The
list lags, so it never overrides what is known from a VM itself.
"""

from collections.abc import Iterable

from pollenmast.decisions._heartbeats import Address, gossip_address
from pollenmast.decisions._members import Members
from pollenmast.fleet import Vm


class JoinCandidates:
    """VMs that the platform's list or the seeds name."""

    def __init__(self, own_name: str, seeds: Iterable[Address]):
        self._own_name = own_name
        self._seeds = tuple(seeds)
        self._listed: dict[str, Vm] | None = None

    def set_listed(self, vms: Iterable[Vm]) -> None:
        """Replaces the platform's list."""
        self._listed = {vm.name: vm for vm in vms if vm.name != self._own_name}

    def unknown_addresses(self, members: Members) -> list[Address]:
        """Returns the addresses of listed VMs that are not members.

        Without a live member, the seeds are returned too.
        """
        addresses = [
            gossip_address(vm)
            for name, vm in (self._listed or {}).items()
            if members.get(name) is None
        ]
        if not members.live():
            addresses += self._seeds
        return addresses

    def remove_unlisted(
        self, members: Members, now: float, after_s: float
    ) -> None:
        """Removes dead members that the platform no longer lists.

        Without this, a fleet whose VMs are replaced daily would keep pinging
        every VM that ever existed.

        Args:
            members: The member table.
            now: Current time of the runtime's clock, in seconds.
            after_s: Time for which a member must have been dead, in seconds.
        """
        if self._listed is None:
            return
        for member in members.dead():
            old = now - (member.dead_since or now) >= after_s
            if old and member.vm.name not in self._listed:
                members.remove(member.vm.name)
