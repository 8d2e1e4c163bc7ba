"""Reads and watches the platform's service."""

import abc
import enum

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PLATFORM_CALLS, Counters
from pollenmast.fleet import Vm
from pollenmast.peers._gossip import possible_vm

READ_TIMEOUT_S = 2.0
"""The platform answers in milliseconds; two seconds without an answer means
that it is down or cut off, in seconds."""

MOST_LISTED = 8192
"""VMs taken from one list; far above the fleet of two years' time."""


class PlatformFault(str, enum.Enum):
    """Why the platform gave nothing."""

    UNREACHABLE = "unreachable"
    STATUS = "status"
    MALFORMED = "malformed"


@attrs.frozen
class _ListedVm:
    name: str
    zone: str
    address: str
    relay_port: int
    gossip_port: int
    fetch_port: int
    state: str = "live"


@attrs.frozen
class _Listing:
    vms: tuple[_ListedVm, ...]


_CONVERTER = make_converter()


class Platform(abc.ABC):
    """What the product reads of the platform; nothing can be written."""

    @abc.abstractmethod
    async def manifest(
        self, after: int, wait_s: float
    ) -> Result[bytes | None, PlatformFault]:
        """Returns a manifest's text newer than `after`, or None in time."""

    @abc.abstractmethod
    async def vms(self) -> Result[tuple[Vm, ...], PlatformFault]:
        """Returns the lagging list of VMs."""


class HttpPlatform(Platform):
    """The platform's service over HTTP.

    Watches and short reads use connections of their own, so that a list is
    not read behind a watch of many seconds.
    """

    def __init__(self, address: str, port: int, counters: Counters):
        self._watch = http1.Connection(address, port)
        self._read = http1.Connection(address, port)
        self._counters = counters

    async def manifest(
        self, after: int, wait_s: float
    ) -> Result[bytes | None, PlatformFault]:
        """Returns a manifest's text newer than `after`, or None in time."""
        connection = self._watch if wait_s else self._read
        target = f"/manifest?after={after}&wait={wait_s:g}"
        response = await self._get(
            connection, target, READ_TIMEOUT_S + wait_s, (200, 204)
        )
        if isinstance(response, Err):
            return response
        self._counters.add(PLATFORM_CALLS, "answered")
        if response.ok_value.status == 204:
            return Ok(None)
        return Ok(response.ok_value.body)

    async def vms(self) -> Result[tuple[Vm, ...], PlatformFault]:
        """Returns the lagging list of VMs."""
        response = await self._get(self._read, "/vms", READ_TIMEOUT_S, (200,))
        if isinstance(response, Err):
            return response
        try:
            listing = _CONVERTER.loads(response.ok_value.body, _Listing)
        except (ValueError, TypeError, cattrs.BaseValidationError):
            self._counters.add(PLATFORM_CALLS, "malformed")
            return Err(PlatformFault.MALFORMED)
        self._counters.add(PLATFORM_CALLS, "answered")
        vms = [_vm(each) for each in listing.vms[:MOST_LISTED]]
        # One impossible entry must not keep a VM from all the others.
        return Ok(tuple(vm for vm in vms if possible_vm(vm)))

    async def _get(
        self,
        connection: http1.Connection,
        target: str,
        timeout_s: float,
        statuses: tuple[int, ...],
    ) -> Result[http1.Response, PlatformFault]:
        before = connection.sent_bytes
        response = await connection.get(target, timeout_s)
        sent = connection.sent_bytes - before
        self._counters.add(CONTROL_BYTES, "platform", sent)
        if isinstance(response, Err):
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(PlatformFault.UNREACHABLE)
        if response.ok_value.status not in statuses:
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(PlatformFault.STATUS)
        return response


def _vm(listed: _ListedVm) -> Vm:
    return Vm(
        name=listed.name,
        zone=listed.zone,
        address=listed.address,
        relay_port=listed.relay_port,
        gossip_port=listed.gossip_port,
        fetch_port=listed.fetch_port,
    )
