"""The interface of the relay core used by routing and record exchange."""

import abc

import attrs

from pollenmast.callers import Packet, PacketType
from pollenmast.counters import RepathReason
from pollenmast.decisions._ownership import flow_hash
from pollenmast.relay._flows import Flow, Listener
from pollenmast.relay._table import FlowTable


@attrs.frozen
class IncomingDatagram:
    """A caller's datagram that matches no flow in the flow table.

    Attributes:
        listener: The service's port.
        caller: The caller's IP address and port.
        packet: The unencrypted header fields of its first packet.
        data: The datagram.
        hops: How many relays have forwarded it.
        previous_hop: Number of the VM that forwarded it, 0 for the fabric.
    """

    listener: Listener
    caller: tuple[str, int]
    packet: Packet
    data: bytes
    hops: int = 0
    previous_hop: int = 0

    @property
    def key(self) -> int:
        """The flow's hash, by which its owner is found."""
        return flow_hash(self.listener.service.port, *self.caller)

    @property
    def is_initial(self) -> bool:
        """Whether it may open a flow, as a QUIC Initial does."""
        return self.packet.type is PacketType.INITIAL


class FlowForwarder(abc.ABC):
    """Forwards flows, opens new ones and takes over those of other relays."""

    @property
    @abc.abstractmethod
    def table(self) -> FlowTable:
        """The flow table."""

    @abc.abstractmethod
    def ready(self, now: float) -> bool:
        """Returns whether this relay may open flows."""

    @abc.abstractmethod
    def on_datagram(self, datagram: IncomingDatagram, now: float) -> None:
        """Handles a datagram that another relay forwarded."""

    @abc.abstractmethod
    def read(
        self,
        listener: Listener,
        caller: tuple[str, int],
        data: bytes,
        hops: int,
        previous_hop: int,
    ) -> IncomingDatagram | None:
        """Parses a caller's datagram.

        Args:
            listener: The service's port.
            caller: The caller's IP address and port.
            data: The datagram.
            hops: How many relays have forwarded it.
            previous_hop: Number of the VM that forwarded it, 0 for the fabric.

        Returns:
            The datagram, or None if it is not a valid packet and was dropped
            and counted.
        """

    @abc.abstractmethod
    def forward_to_upstream(self, flow: Flow, data: bytes, now: float) -> None:
        """Forwards a caller's datagram to the flow's upstream."""

    @abc.abstractmethod
    def open(self, datagram: IncomingDatagram, now: float) -> None:
        """Places, holds or refuses a new flow."""

    @abc.abstractmethod
    def forward_to_default(
        self, datagram: IncomingDatagram, now: float
    ) -> None:
        """Forwards an unknown flow in progress to its default endpoint."""

    @abc.abstractmethod
    def on_no_owner(self, datagram: IncomingDatagram, now: float) -> None:
        """Handles a datagram while no VM owns flows."""

    @abc.abstractmethod
    def adopt(
        self,
        listener: Listener,
        caller: tuple[str, int],
        endpoint: int,
        reason: RepathReason,
        now: float,
    ) -> Flow | None:
        """Takes over a flow; returns None if it cannot be forwarded here."""

    @abc.abstractmethod
    def release(self, flow: Flow, now: float) -> None:
        """Leaves a flow to another relay.

        Late answers on the old path are still forwarded to the caller.
        """
