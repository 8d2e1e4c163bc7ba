"""Sends sealed envelopes to other relays, addressed by VM number."""

from pollenmast import counters as c
from pollenmast.decisions._fleet import Fleet
from pollenmast.peers._envelope import Sealer
from pollenmast.peers._kinds import MessageType
from pollenmast.relay._table import Transport


class PeerSender:
    """Sends messages to other relays."""

    def __init__(
        self,
        fleet: Fleet,
        transport: Transport,
        sealer: Sealer,
        counters: c.Counters,
    ):
        self._fleet = fleet
        self._transport = transport
        self._sealer = sealer
        self._counters = counters

    def send(self, number: int, kind: MessageType, body: bytes) -> None:
        """Sends a message to a VM's relay, unless the VM is dead or unknown."""
        vm = self._fleet.vm(number)
        if vm is None:
            self._counters.add(c.DROPS, c.DropReason.NO_OWNER)
            return
        envelope = self._sealer.seal(kind, body)
        self._transport.send_peer(envelope, (vm.address, vm.relay_port))
