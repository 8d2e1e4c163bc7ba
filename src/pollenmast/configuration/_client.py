"""HTTP client of the platform's configuration service."""

import abc
import enum

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from pollenmast import http1
from pollenmast.counters import CONTROL_BYTES, PLATFORM_CALLS, Counters
from pollenmast.fleet import Vm
from pollenmast.peers._gossip import is_valid_vm

READ_TIMEOUT_S = 2.0
"""Time limit of a read, in seconds. The platform answers in milliseconds; two
seconds without an answer mean that it is down or unreachable."""

MAX_LISTED_VMS = 8192
"""Limit on the VMs used of one list; far above the fleet size expected in two
years."""


class PlatformError(str, enum.Enum):
    """Why a request to the platform failed."""

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
    """Read-only access to the platform."""

    @abc.abstractmethod
    async def manifest(
        self, after: int, wait_s: float
    ) -> Result[bytes | None, PlatformError]:
        """Returns the text of a manifest that is newer than a version.

        Args:
            after: The version.
            wait_s: Seconds to wait for a newer manifest; 0 asks once.

        Returns:
            The text, or None if no newer manifest appeared in time.
        """

    @abc.abstractmethod
    async def vms(self) -> Result[tuple[Vm, ...], PlatformError]:
        """Returns the platform's list of VMs, which may be out of date."""


class HttpPlatform(Platform):
    """Access to the platform over HTTP.

    Watches and short reads use separate connections, so that reading a list
    does not wait for a watch of many seconds.
    """

    def __init__(self, address: str, port: int, counters: Counters):
        self._watch = http1.Connection(address, port)
        self._read = http1.Connection(address, port)
        self._counters = counters

    async def manifest(
        self, after: int, wait_s: float
    ) -> Result[bytes | None, PlatformError]:
        """See the base class."""
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

    async def vms(self) -> Result[tuple[Vm, ...], PlatformError]:
        """See the base class."""
        response = await self._get(self._read, "/vms", READ_TIMEOUT_S, (200,))
        if isinstance(response, Err):
            return response
        try:
            listing = _CONVERTER.loads(response.ok_value.body, _Listing)
        except (ValueError, TypeError, cattrs.BaseValidationError):
            self._counters.add(PLATFORM_CALLS, "malformed")
            return Err(PlatformError.MALFORMED)
        self._counters.add(PLATFORM_CALLS, "answered")
        vms = [_vm(each) for each in listing.vms[:MAX_LISTED_VMS]]
        # One invalid entry must not hide the other VMs of the list.
        return Ok(tuple(vm for vm in vms if is_valid_vm(vm)))

    async def _get(
        self,
        connection: http1.Connection,
        target: str,
        timeout_s: float,
        statuses: tuple[int, ...],
    ) -> Result[http1.Response, PlatformError]:
        before = connection.sent_bytes
        response = await connection.get(target, timeout_s)
        sent = connection.sent_bytes - before
        self._counters.add(CONTROL_BYTES, "platform", sent)
        if isinstance(response, Err):
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(PlatformError.UNREACHABLE)
        if response.ok_value.status not in statuses:
            self._counters.add(PLATFORM_CALLS, "failed")
            return Err(PlatformError.STATUS)
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
