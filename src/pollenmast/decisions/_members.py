"""The table of members: what is believed of each VM, and which news wins."""

import enum
from collections.abc import Iterator

import attrs

from pollenmast.fleet import Vm, VmState
from pollenmast.peers._gossip import member_size

_RANK = {
    VmState.ALIVE: 0,
    VmState.LEAVING: 1,
    VmState.SUSPECT: 2,
    VmState.DEAD: 3,
}


class Why(str, enum.Enum):
    """What made a member's state change."""

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
    """A member's state changed.

    Attributes:
        vm: The member as it is now believed to be.
        before: The state before, None for a new member.
        why: What made it change.
    """

    vm: Vm
    before: VmState | None
    why: Why


@attrs.define
class Member:
    """What is believed of one other VM.

    Attributes:
        vm: The newest news of it.
        leaving: Whether it announced that it leaves. A suspicion keeps this:
            a leaving VM that misses a heartbeat must not own new flows.
        suspect_since: When it became suspect, else None.
        dead_since: When it was declared dead, else None.
        heard_s: When it was last heard itself.
        asked_s: When a dead one was last tried again.
    """

    vm: Vm
    leaving: bool = False
    suspect_since: float | None = None
    dead_since: float | None = None
    heard_s: float = 0.0
    asked_s: float = 0.0

    @property
    def dead(self) -> bool:
        """Whether it is believed dead."""
        return self.vm.state is VmState.DEAD

    @property
    def view(self) -> Vm:
        """The member as the relay shall see it."""
        if self.leaving and not self.dead:
            return attrs.evolve(self.vm, state=VmState.LEAVING)
        return self.vm


def _place(vm: Vm) -> tuple[int, int]:
    return vm.incarnation, _RANK[vm.state]


class Members:
    """Every other VM that was heard of, by name."""

    def __init__(self):
        self._by_name: dict[str, Member] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_name.values())

    def __len__(self) -> int:
        return len(self._by_name)

    def get(self, name: str) -> Member | None:
        """Returns the member with this name, if there is one."""
        return self._by_name.get(name)

    def live(self) -> list[Member]:
        """Returns all that are not dead."""
        return [member for member in self if not member.dead]

    def dead(self) -> list[Member]:
        """Returns all that are dead and not yet forgotten."""
        return [member for member in self if member.dead]

    def forget(self, name: str) -> None:
        """Forgets one."""
        self._by_name.pop(name, None)

    def merge(self, vm: Vm, now: float, why: Why) -> Change | None:
        """Takes news of another VM; returns the change where it is new.

        A greater incarnation always wins, as only the VM itself raises it.
        Within one incarnation the graver state wins, so that all VMs end
        with the same belief in whatever order they hear.
        """
        known = self._by_name.get(vm.name)
        if known is None:
            if vm.state is VmState.DEAD:
                return None
            known = self._by_name[vm.name] = Member(vm)
            self._set(known, vm, now)
            return Change(known.view, None, Why.JOINED)
        if _place(vm) <= _place(known.vm):
            return None
        before = known.vm.state
        if before is VmState.DEAD and vm.state is not VmState.DEAD:
            why = Why.RETURNED
        elif before is VmState.SUSPECT and vm.state is VmState.ALIVE:
            why = Why.REFUTED
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
        """Returns members by name after `after`, and where the next begin.

        Args:
            after: A name; empty for the first page.
            budget: Bytes that the page may take.
        """
        names = sorted(name for name in self._by_name if name > after)
        vms = [self._by_name[name].vm for name in names]
        page = fitting(vms, budget)
        return page, page[-1].name if len(page) < len(vms) else ""


def fitting(vms: list[Vm], budget: int) -> list[Vm]:
    """Returns the first VMs that fit into so many bytes of a message."""
    taken = []
    for vm in vms:
        budget -= member_size(vm)
        if budget < 0:
            break
        taken.append(vm)
    return taken
