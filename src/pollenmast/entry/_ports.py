"""Interfaces through which a VM's program uses its environment."""

import abc
from collections.abc import Callable

import attrs
from result import Result

from pollenmast.admission import AdmissionSettings
from pollenmast.counters import DropReason
from pollenmast.steering import (
    CheckResult,
    ColdAllowance,
    Directory,
    Endpoint,
    EndpointIdentity,
    Reset,
    Segment,
)

Address = tuple[str, int]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
"""Exit code if the settings file is unusable."""


@attrs.frozen
class EntrySettings:
    """The settings of one VM.

    Attributes:
        vm: The VM's name.
        zone: Its availability zone.
        packets: Address that receives clients' datagrams.
        ready: Address that serves readiness over HTTP.
        control: Address that serves peers and operators over HTTP, or None.
        metrics: Address that serves metrics over HTTP.
        gossip: Address that receives reports of other VMs over UDP.
        directory: Address at which endpoints and routes are published.
        seeds: Control addresses of some VMs, which may be down.
        apply_s: Seconds within which a published change has to be in force.
        grace_s: Seconds from the stop signal until the process is killed.
        ready_path: HTTP path of the readiness check.
        link_mbps: Bandwidth of the VM's link in Mbit/s, 0 if unknown.
        allowance: By how much endpoints that are warming up may be overrun,
            None for no limit.
        admission: Which components of admission control are in force.
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
    admission: AdmissionSettings = attrs.field(factory=AdmissionSettings)


class PacketFormat(abc.ABC):
    """The wire format of clients' packets."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> Result[Segment, DropReason]:
        """Decodes a client's datagram.

        Returns:
            The segment, or the reason to drop the datagram.
        """

    @abc.abstractmethod
    def identify(self, name: str) -> EndpointIdentity | None:
        """Returns what identifies an endpoint in packets.

        Args:
            name: The endpoint's name.

        Returns:
            Its identity, None if no endpoint can have this name.
        """

    @abc.abstractmethod
    def encode_for_endpoint(
        self, segment: Segment, endpoint: Endpoint
    ) -> bytes:
        """Returns the datagram that forwards a segment to its endpoint."""

    @abc.abstractmethod
    def encode_reset(self, reset: Reset) -> tuple[bytes, Address]:
        """Returns the datagram of a reset and the client's address."""

    @abc.abstractmethod
    def request_id(self, segment: Segment) -> str:
        """Returns the id of the request that a segment starts, or ""."""


class HealthProbe(abc.ABC):
    """Probes whether an endpoint is alive."""

    @property
    @abc.abstractmethod
    def timeout_s(self) -> float:
        """Seconds after which an unanswered check times out."""

    @abc.abstractmethod
    async def check(
        self, endpoint: Endpoint, path: str, extra_s: float
    ) -> CheckResult:
        """Checks the health of an endpoint.

        Args:
            endpoint: The endpoint.
            path: The HTTP path of its service's health check.
            extra_s: Seconds added to each timeout because this VM itself is
                late.
        """

    @abc.abstractmethod
    async def reaches(self, endpoint: Endpoint, extra_s: float) -> bool:
        """Returns whether an endpoint's machine answers.

        The probe occupies no slot of the endpoint.

        Args:
            endpoint: The endpoint.
            extra_s: Seconds added to the timeout.
        """


@attrs.frozen
class Ports:
    """The environment of one VM.

    Attributes:
        packets: The wire format of clients' packets.
        directory: The source of endpoints and routes.
        probe: Probes endpoints.
        load: Reloads the settings; returns them or a description of the fault.
    """

    packets: PacketFormat
    directory: Directory
    probe: HealthProbe
    load: Callable[[], Result[EntrySettings, str]]
