"""What the program of a VM needs from the place it runs in."""

import abc
from collections.abc import Callable

import attrs
from result import Result

from pollenmast.counters import DropReason
from pollenmast.steering import (
    CheckResult,
    ColdAllowance,
    Directory,
    Endpoint,
    Reset,
    Segment,
)

Address = tuple[str, int]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
"""The settings file cannot be used."""


@attrs.frozen
class EntrySettings:
    """The settings of one VM.

    Attributes:
        vm: The VM's name.
        zone: Its availability zone.
        packets: Where clients' datagrams arrive.
        ready: Where readiness is asked for, over HTTP.
        control: Where peers and operators ask, over HTTP, or None.
        metrics: Where metrics are asked for, over HTTP.
        gossip: Where reports of other VMs arrive, over UDP.
        directory: Where endpoints and routes are published.
        seeds: Control addresses of some VMs, that may be down.
        apply_s: Seconds within which what is published has to be in force.
        grace_s: Seconds from the signal to stop until the process is killed.
        ready_path: The path at which readiness is asked for.
        link_mbps: The width of the VM's link in Mbit/s, 0 if not known.
        allowance: How far endpoints that warm up may be overrun, None for no
            limit.
    """

    vm: str
    zone: str
    packets: Address
    ready: Address
    control: Address | None
    metrics: Address
    gossip: Address
    directory: Address
    seeds: tuple[Address, ...]
    apply_s: float
    grace_s: float
    ready_path: str
    link_mbps: int = 0
    allowance: ColdAllowance | None = None


class PacketFormat(abc.ABC):
    """How clients' packets look on the wire."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> Result[Segment, DropReason]:
        """Returns what a client's datagram says, or why it says nothing."""

    @abc.abstractmethod
    def for_endpoint(self, segment: Segment, endpoint: Endpoint) -> bytes:
        """Returns the datagram that carries a segment to its endpoint."""

    @abc.abstractmethod
    def for_reset(self, reset: Reset) -> tuple[bytes, Address]:
        """Returns a reset for a client and the address that it goes to."""

    @abc.abstractmethod
    def request_id(self, segment: Segment) -> str:
        """Returns the id of the request that a segment begins, or empty."""


class HealthProbe(abc.ABC):
    """How an endpoint is asked whether it lives."""

    @property
    @abc.abstractmethod
    def timeout_s(self) -> float:
        """After how many seconds a check says that nobody answers."""

    @abc.abstractmethod
    async def check(
        self, endpoint: Endpoint, path: str, extra_s: float
    ) -> CheckResult:
        """Asks an endpoint.

        Args:
            endpoint: The endpoint.
            path: The path of its service's health check.
            extra_s: Added to each timeout, in seconds, as this VM itself is
                late.
        """

    @abc.abstractmethod
    async def reaches(self, endpoint: Endpoint, extra_s: float) -> bool:
        """Returns whether an endpoint's machine answers, taking no slot.

        Args:
            endpoint: The endpoint.
            extra_s: Added to the timeout, in seconds.
        """


@attrs.frozen
class Ports:
    """The outside world of one VM.

    Attributes:
        packets: The format of clients' packets.
        metrics: Where metrics are asked for, over HTTP.
        gossip: Where reports of other VMs arrive, over UDP.
        directory: Where endpoints and routes are read.
        probe: How endpoints are asked.
        load: Reads the settings again.
    """

    packets: PacketFormat
    directory: Directory
    probe: HealthProbe
    load: Callable[[], Result[EntrySettings, str]]
