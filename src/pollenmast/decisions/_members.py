"""The member table and the precedence of membership updates."""

import enum
from collections.abc import Iterator

import attrs

from pollenmast.fleet import Vm, VmState
from pollenmast.peers._gossip import member_size

_SEVERITY = {
    VmState.ALIVE: 0,
    VmState.LEAVING: 1,
    VmState.SUSPECT: 2,
    VmState.DEAD: 3,
}


class ChangeReason(str, enum.Enum):
    """The reason for a change of a member's state."""

    JOINED = "joined"
    RETURNED = "returned"
    REFUTED = "refuted"
    UPDATED = "updated"
    NO_ACK = "no_ack"
    SUSPICION_OVER = "suspicion_over"
    TOLD = "told"
    LEAVES = "leaves"


@attrs.frozen
class Change:
    """A change of a member's state.

    Attributes:
        vm: The member after the change.
        before: The state before the change, or None for a new member.
        reason: The reason for the change.
    """

    vm: Vm
    before: VmState | None
    reason: ChangeReason


@attrs.define
class Member:
    """The local view of one other VM.

    Attributes:
        vm: The latest update about the VM.
        leaving: Whether the VM has announced that it leaves. The flag is kept
            when the VM becomes suspect: a leaving VM that misses a heartbeat
            must not own new flows.
        suspect_since: Time at which the VM became suspect, or None.
        dead_since: Time at which the VM was declared dead, or None.
        heard_s: Time of the last message from the VM itself.
        retried_s: Time of the last ping to the VM while it was dead.
    """

    vm: Vm
    leaving: bool = False
    suspect_since: float | None = None
    dead_since: float | None = None
    heard_s: float = 0.0
    retried_s: float = 0.0

    @property
    def dead(self) -> bool:
        """Whether the member has been declared dead."""
        return self.vm.state is VmState.DEAD

    @property
    def view(self) -> Vm:
        """The member as reported to the relay."""
        if self.leaving and not self.dead:
            return attrs.evolve(self.vm, state=VmState.LEAVING)
        return self.vm


def _precedence(vm: Vm) -> tuple[int, int]:
    return vm.incarnation, _SEVERITY[vm.state]


class Members:
    """All other known VMs, by name."""

    def __init__(self):
        self._by_name: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Member | None:
        """Returns the member with this name, or None if it is unknown."""
        return self._by_name.get(name)

    def live(self) -> list[Member]:
        """Returns the members that are not dead."""
        return [member for member in self if not member.dead]

    def dead(self) -> list[Member]:
        """Returns the dead members that have not been removed yet."""
        return [member for member in self if member.dead]

    def remove(self, name: str) -> None:
        """Removes the member with this name, if it is known."""
        self._by_name.pop(name, None)

    def merge(self, vm: Vm, now: float, why: ChangeReason) -> Change | None:
        """Applies an update about another VM.

        A greater incarnation always takes precedence, because only the VM
        itself increments it. Within one incarnation the more severe state
        takes precedence, so that all VMs converge to the same state in
        whatever order they receive the updates.

        Args:
            vm: The updated state of the VM.
            now: Current time of the runtime's clock, in seconds.
            why: Reason for the change, unless the states imply another.

        Returns:
            The change, or None if the update changes nothing.
        """
        known = self._by_name.get(vm.name)
        if known is None:
            if vm.state is VmState.DEAD:
                return None
            known = self._by_name[vm.name] = Member(vm)
            self._set(known, vm, now)
            return Change(known.view, None, ChangeReason.JOINED)
        if _precedence(vm) <= _precedence(known.vm):
            return None
        before = known.vm.state
        if before is VmState.DEAD and vm.state is not VmState.DEAD:
            why = ChangeReason.RETURNED
        elif before is VmState.SUSPECT and vm.state is VmState.ALIVE:
            why = ChangeReason.REFUTED
        self._set(known, vm, now)
        return Change(known.view, before, why)

    def _set(self, member: Member, vm: Vm, now: float) -> None:
        newer = vm.incarnation > member.vm.incarnation
        kept = member.leaving and not newer
        member.leaving = kept or vm.state is VmState.LEAVING
        suspect = vm.state is VmState.SUSPECT
        member.suspect_since = now if suspect else None
        member.dead_since = now if vm.state is VmState.DEAD else None
        member.vm = vm

    def page(self, after: str, budget: int) -> tuple[list[Vm], str]:
        """Returns a page of members in the order of their names.

        Args:
            after: Name after which the page starts; empty for the first page.
            budget: Maximum size of the page, in bytes.

        Returns:
            The members, and the name after which the next page starts; the
            name is empty after the last page.
        """
        following = sorted(name for name in self._by_name if name > after)
        vms = [self._by_name[name].vm for name in following]
        page = fit_into_budget(vms, budget)
        return page, page[-1].name if len(page) < len(vms) else ""


def fit_into_budget(vms: list[Vm], budget: int) -> list[Vm]:
    """Returns the longest prefix of `vms` that fits into `budget` bytes."""
    taken = []
    for vm in vms:
        budget -= member_size(vm)
        if budget < 0:
            break
        taken.append(vm)
    return taken
