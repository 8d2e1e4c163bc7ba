"""What routing and custody ask of the relay that carries the packets."""

import abc

import attrs

from pollenmast.callers import Packet, PacketType
from pollenmast.counters import RepathReason
from pollenmast.decisions._ownership import flow_hash
from pollenmast.relay._flows import Flow, Listener
from pollenmast.relay._table import FlowTable


@attrs.frozen
class Arrival:
    """A caller's datagram that belongs to no flow known here.

    Attributes:
        listener: The service's port.
        caller: The caller's IP number and port.
        packet: Its first packet's readable part.
        data: The datagram.
        hops: How often it was passed on.
        via: Number of the VM that passed it on, 0 for the fabric.
    """

    listener: Listener
    caller: tuple[str, int]
    packet: Packet
    data: bytes
    hops: int = 0
    via: int = 0

    @property
    def key(self) -> int:
        """The flow's hash."""
        return flow_hash(self.listener.service.port, *self.caller)

    @property
    def opens(self) -> bool:
        """Whether it may open a flow."""
        return self.packet.type is PacketType.INITIAL


class Carrier(abc.ABC):
    """Carries flows, opens new ones and takes over those of other relays."""

    @property
    @abc.abstractmethod
    def table(self) -> FlowTable:
        """The flow table."""

    @abc.abstractmethod
    def ready(self, now: float) -> bool:
        """Returns whether this relay may open flows."""

    @abc.abstractmethod
    def on_datagram(self, arrival: Arrival, now: float) -> None:
        """Takes a datagram that another relay passed on."""

    @abc.abstractmethod
    def read(
        self,
        listener: Listener,
        caller: tuple[str, int],
        data: bytes,
        hops: int,
        via: int,
    ) -> Arrival | None:
        """Reads a datagram; counts and drops what is no packet."""

    @abc.abstractmethod
    def carry(self, flow: Flow, data: bytes, now: float) -> None:
        """Passes a caller's datagram to its upstream."""

    @abc.abstractmethod
    def open(self, arrival: Arrival, now: float) -> None:
        """Decides about a new flow."""

    @abc.abstractmethod
    def guess(self, arrival: Arrival, now: float) -> None:
        """Carries an unknown flow in progress to its default endpoint."""

    @abc.abstractmethod
    def without_owner(self, arrival: Arrival, now: float) -> None:
        """Deals with a datagram while no VM owns flows."""

    @abc.abstractmethod
    def adopt(
        self,
        listener: Listener,
        caller: tuple[str, int],
        endpoint: int,
        reason: RepathReason,
        now: float,
    ) -> Flow | None:
        """Takes over a flow, or returns None when it cannot be carried."""

    @abc.abstractmethod
    def let_go(self, flow: Flow, now: float) -> None:
        """Leaves a flow to another relay; late answers still pass here."""
