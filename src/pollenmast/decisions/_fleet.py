"""The local view of the fleet: owners, backups and holders of flows."""

from pollenmast.decisions._ownership import Member, Ring
from pollenmast.fleet import Vm, VmState
from pollenmast.peers._envelope import sender_id, standby_name

LOOKUP_TARGETS = 2
"""VMs asked about a flow that is unknown locally: the owner before the last
change of members, and the VM that would store the flow's record."""

CONNECTION_ID_REPLICAS = 2
"""VMs that store a connection id, so that the loss of one VM loses no id."""

_OWNER_STATES = (VmState.ALIVE, VmState.SUSPECT)


class Fleet:
    """The VMs by number, and the hash rings of flow owners and holders."""

    def __init__(self, name: str, zone: str):
        self._local = Member(sender_id(name), name, zone)
        self._vms: dict[int, Vm] = {}
        self._standbys: dict[int, int] | None = None
        self._owners = Ring()
        self._holders = Ring()
        self._changed_at = 0.0
        self._changes = 0

    @property
    def local(self) -> Member:
        """The local VM."""
        return self._local

    @property
    def changed_at(self) -> float:
        """Time on the runtime's clock of the last possible change of owners."""
        return self._changed_at

    @property
    def changes(self) -> int:
        """Number of changes of the ring of owners."""
        return self._changes

    @property
    def owners(self) -> tuple[Member, ...]:
        """The VMs that can own flows."""
        return self._owners.members

    def update(self, vms: tuple[Vm, ...], now: float) -> bool:
        """Replaces the list of VMs; returns whether the owners changed."""
        self._vms = {sender_id(vm.name): vm for vm in vms}
        self._standbys = None
        owners = _members(self._vms, _OWNER_STATES)
        holders = _members(self._vms, (*_OWNER_STATES, VmState.LEAVING))
        if holders != self._holders.members:
            self._holders = self._holders.changed(holders)
        if owners == self._owners.members:
            return False
        self._owners = self._owners.changed(owners)
        self._changed_at = now
        self._changes += 1
        return True

    def record_absence(self, now: float) -> None:
        """Records that other VMs may have opened flows that this VM owns.

        They must be asked, as after a change of owners.
        """
        self._changed_at = now

    def vm(self, number: int) -> Vm | None:
        """Returns the VM with this number, or None if it is dead or unknown."""
        return self._vms.get(number)

    def sending_vm(self, sender: int) -> int:
        """Returns the number of the VM that sent an envelope.

        An agent that sends on behalf of its relay uses a number of its own.
        """
        if sender in self._vms:
            return sender
        if self._standbys is None:
            # Computed on demand: in a large fleet it takes a millisecond, and
            # the view is updated every second.
            self._standbys = {
                sender_id(standby_name(vm.name)): number
                for number, vm in self._vms.items()
            }
        return self._standbys.get(sender, sender)

    def has_relay(self, number: int) -> bool:
        """Returns whether packets can be sent to the relay of a VM."""
        vm = self._vms.get(number)
        return vm is not None and vm.relay_up

    def owner(self, key: int) -> Member | None:
        """Returns the VM that owns the flow with hash `key`."""
        return self._owners.owner(key)

    def successor(self, key: int) -> Member | None:
        """Returns the VM that would own a flow without the local VM."""
        for member in self._owners.preference_list(key, 2):
            if member.number != self._local.number:
                return member
        return None

    def owns(self, key: int) -> bool:
        """Returns whether the local VM owns the flow with hash `key`."""
        owner = self._owners.owner(key)
        return owner is not None and owner.number == self._local.number

    def backup(self, key: int) -> int:
        """Returns the number of the VM that backs up the flow, or 0.

        The local VM holds the flow, and its backup stores the flow's record.
        """
        member = self._owners.backup(key, self._local)
        return member.number if member else 0

    def connection_id_holders(self, key: int) -> list[int]:
        """Returns the VMs that store the connection id with hash `key`."""
        members = self._owners.preference_list(key, CONNECTION_ID_REPLICAS)
        return [member.number for member in members]

    def lookup_targets(self, key: int, excluded: int = 0) -> list[int]:
        """Returns the VMs to ask about a flow, the most likely holder first.

        Args:
            key: The flow's hash.
            excluded: Number of a VM to exclude, or 0.
        """
        candidates = [*self._holders.preference_list(key, LOOKUP_TARGETS + 2)]
        backup = self._owners.backup(key, self._local)
        if backup is not None:
            candidates.insert(1, backup)
        numbers = dict.fromkeys(member.number for member in candidates)
        for number in (self._local.number, excluded):
            numbers.pop(number, None)
        return list(numbers)[:LOOKUP_TARGETS]


def _members(
    vms: dict[int, Vm], states: tuple[VmState, ...]
) -> tuple[Member, ...]:
    found = [
        Member(number, vm.name, vm.zone)
        for number, vm in vms.items()
        if vm.state in states and vm.relay_up
    ]
    return tuple(sorted(found, key=lambda member: member.name))
