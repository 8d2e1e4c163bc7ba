"""Health checks of the platform's endpoints."""

import urllib.parse

from result import Err

from pollenmast import http1
from pollenmast.entry import HealthProbe
from pollenmast.http1 import HttpFault
from pollenmast.steering import CheckResult, Endpoint

CONNECT_TIMEOUT_S = 0.05
"""Seconds that a connection may take to open.

Within the region a connection opens in about 2 ms. A lost first packet would be
retransmitted only after 1 s, which is not worth waiting for: a single failed
check decides nothing.
"""

ANSWER_TIMEOUT_S = 0.6
"""Seconds that an endpoint may take to respond to a check.

The check waits in the endpoint's queue for a free slot, about 0.2 s when the
queue is full.
"""

_TARGET_CHARACTERS = "!#$%&'()*+,/:;=?@[]~"
_ENDPOINT_ID_HEADER = "x-endpoint-id"
_OK = 200


class EndpointProbe(HealthProbe):
    """Checks each endpoint over a new connection.

    A connection that is kept open can stop responding.
    """

    @property
    def timeout_s(self) -> float:
        """Seconds that a connection may take to open."""
        return CONNECT_TIMEOUT_S

    async def check(
        self, endpoint: Endpoint, path: str, extra_s: float
    ) -> CheckResult:
        """Requests the health check of an endpoint."""
        connection = http1.Connection(endpoint.host, endpoint.port)
        try:
            return await self._request_health(
                connection, endpoint, path, extra_s
            )
        finally:
            await connection.aclose()

    async def reaches(self, endpoint: Endpoint, extra_s: float) -> bool:
        """Returns whether the host accepts or actively refuses a connection."""
        connection = http1.Connection(endpoint.host, endpoint.port)
        try:
            opened = await connection.connect(CONNECT_TIMEOUT_S + extra_s)
        finally:
            await connection.aclose()
        return opened.is_ok() or opened.err_value is HttpFault.REFUSED

    async def _request_health(
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
        # The configuration may spell any character, a request may not.
        target = urllib.parse.quote(path, safe=_TARGET_CHARACTERS)
        answer = await connection.get(target, ANSWER_TIMEOUT_S + extra_s)
        if isinstance(answer, Err):
            # The host accepted the connection, so it is alive but busy.
            return CheckResult.UNHEALTHY
        name = answer.ok_value.headers.get(_ENDPOINT_ID_HEADER, endpoint.name)
        if name != endpoint.name:
            return CheckResult.OTHER
        healthy = answer.ok_value.status == _OK
        return CheckResult.ANSWERED if healthy else CheckResult.UNHEALTHY
