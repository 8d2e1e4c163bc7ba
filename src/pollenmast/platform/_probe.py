"""Asks an endpoint of the platform for its health."""

from result import Err

from pollenmast import http1
from pollenmast.entry import HealthProbe
from pollenmast.http1 import HttpFault
from pollenmast.steering import CheckResult, Endpoint

CONNECT_TIMEOUT_S = 0.05
"""A connection in the region opens in about 2 ms. A lost first packet would be
sent again only after a second, so it is no use to wait for that; one failed
check alone decides nothing."""

ANSWER_TIMEOUT_S = 0.6
"""A check waits for one of the endpoint's slots behind its queue, about 0.2 s
when it is full."""

_NAME_HEADER = "x-endpoint-id"
_OK = 200


class EndpointProbe(HealthProbe):
    """Asks over a connection of its own: kept ones can fall silent."""

    @property
    def timeout_s(self) -> float:
        """The time that a connection may take to open."""
        return CONNECT_TIMEOUT_S

    async def check(
        self, endpoint: Endpoint, path: str, extra_s: float
    ) -> CheckResult:
        """Asks an endpoint."""
        connection = http1.Connection(endpoint.host, endpoint.port)
        try:
            return await self._ask(connection, endpoint, path, extra_s)
        finally:
            await connection.aclose()

    async def reaches(self, endpoint: Endpoint, extra_s: float) -> bool:
        """Returns whether the endpoint's machine answers a connection."""
        connection = http1.Connection(endpoint.host, endpoint.port)
        try:
            opened = await connection.connect(CONNECT_TIMEOUT_S + extra_s)
        finally:
            await connection.aclose()
        return opened.is_ok() or opened.err_value is HttpFault.REFUSED

    async def _ask(
        self,
        connection: http1.Connection,
        endpoint: Endpoint,
        path: str,
        extra_s: float,
    ) -> CheckResult:
        opened = await connection.connect(CONNECT_TIMEOUT_S + extra_s)
        if isinstance(opened, Err):
            refused = opened.err_value is HttpFault.REFUSED
            return CheckResult.REFUSED if refused else CheckResult.TIMEOUT
        answer = await connection.get(path, ANSWER_TIMEOUT_S + extra_s)
        if isinstance(answer, Err):
            # Its machine took the connection: it lives, and is busy.
            return CheckResult.UNHEALTHY
        name = answer.ok_value.headers.get(_NAME_HEADER, endpoint.name)
        if name != endpoint.name:
            return CheckResult.OTHER
        healthy = answer.ok_value.status == _OK
        return CheckResult.ANSWERED if healthy else CheckResult.UNHEALTHY
