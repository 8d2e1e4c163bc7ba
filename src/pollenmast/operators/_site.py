"""Routes the requests of operators to their answers."""

import abc
import urllib.parse

import attrs

from pollenmast.http1 import Request, ServerResponse
from pollenmast.operators import _metrics
from pollenmast.operators._status import Status, to_json

_JSON = "application/json"


class StatusProvider(abc.ABC):
    """What the program provides to the operators' API."""

    @abc.abstractmethod
    def status(self) -> Status:
        """Returns the current status."""

    @abc.abstractmethod
    def health(self) -> str | None:
        """Returns what is wrong with this process, or None if it is healthy."""

    @abc.abstractmethod
    def readiness(self) -> str | None:
        """Returns why this VM accepts no new flows, or None if it does."""

    @abc.abstractmethod
    async def explain(self, subject: str) -> tuple[str, ...] | None:
        """Returns the lines that explain the decisions about a subject.

        Args:
            subject: A caller as IP:PORT or IP, an endpoint as SERVICE/ENDPOINT,
                a service by its name, or empty for the newest decisions.

        Returns:
            The lines, or None if the relay does not answer.
        """


@attrs.frozen
class _Explanation:
    subject: str
    lines: tuple[str, ...]


class Site:
    """Answers the HTTP requests of operators."""

    def __init__(
        self, status_provider: StatusProvider, metrics: _metrics.Metrics
    ):
        self._status_provider = status_provider
        self._metrics = metrics

    async def handle(self, request: Request) -> ServerResponse:
        """Answers one request."""
        if request.method != "GET":
            return ServerResponse(405, b"only GET is answered here\n")
        path, _, query = request.target.partition("?")
        match path:
            case "/status":
                body = to_json(self._status_provider.status())
                return ServerResponse(200, body, _JSON)
            case "/metrics":
                text = self._metrics.text()
                return ServerResponse(200, text, _metrics.CONTENT_TYPE)
            case "/health":
                return _check_answer(self._status_provider.health())
            case "/ready":
                return _check_answer(self._status_provider.readiness())
            case "/explain":
                return await self._explain(query)
        return ServerResponse(
            404, b"known: /status /metrics /health /ready /explain\n"
        )

    async def _explain(self, query: str) -> ServerResponse:
        try:
            fields = urllib.parse.parse_qs(query, max_num_fields=4)
        except ValueError:
            return ServerResponse(400, b"too many fields\n")
        subject = fields.get("subject", [""])[0]
        lines = await self._status_provider.explain(subject)
        if lines is None:
            return ServerResponse(
                503, b"the relay of this VM does not answer\n"
            )
        return ServerResponse(200, to_json(_Explanation(subject, lines)), _JSON)


def _check_answer(fault: str | None) -> ServerResponse:
    if fault is None:
        return ServerResponse(200, b"ok\n")
    return ServerResponse(503, f"{fault}\n".encode())
