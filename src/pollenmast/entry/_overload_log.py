"""Logs when services become short of capacity on this VM, and when not."""

from collections.abc import Iterable

import attrs

from pollenmast.admission import ServiceStatus
from pollenmast.events import SCARCITY_BEGAN, SCARCITY_ENDED, EventLog

MIN_INTERVAL_S = 1.0
"""Minimum time between two `scarcity_began` of one service, in seconds, so that
a service whose load varies around its capacity does not flood the log."""


@attrs.define
class _Episode:
    """The latest time for which a service was short of capacity.

    Attributes:
        began_at: When its start was logged.
        status: The service's latest status during it.
        ended: Whether its end was logged.
    """

    began_at: float
    status: ServiceStatus
    ended: bool = False


class OverloadLog:
    """Writes one event for each start and end of an overload episode.

    A service that is short of capacity again within `MIN_INTERVAL_S` of the
    last logged start is logged when that time has passed, if it still is.
    """

    def __init__(self, log: EventLog):
        self._log = log
        self._episodes: dict[str, _Episode] = {}

    def update(self, statuses: Iterable[ServiceStatus], now: float) -> None:
        """Logs what has changed since the previous call.

        Args:
            statuses: The status of each service, from `Admission.status`. A
                service that is missing is not short of capacity.
            now: Current time by the event loop's clock, in seconds.
        """
        current = {status.service: status for status in statuses}
        for service, episode in list(self._episodes.items()):
            status = current.get(service)
            if not episode.ended and (status is None or not status.overloaded):
                self._end(episode, status or episode.status, now)
            if episode.ended and now - episode.began_at >= MIN_INTERVAL_S:
                del self._episodes[service]
        for service, status in current.items():
            if not status.overloaded:
                continue
            if service in self._episodes:
                self._episodes[service].status = status
            else:
                self._episodes[service] = _Episode(now, status)
                self._log.write(SCARCITY_BEGAN, **_fields(status))

    def _end(
        self, episode: _Episode, status: ServiceStatus, now: float
    ) -> None:
        episode.ended = True
        self._log.write(
            SCARCITY_ENDED,
            **_fields(status),
            lasted_s=round(now - episode.began_at, 3),
        )


def _fields(status: ServiceStatus) -> dict[str, object]:
    return {
        "service": status.service,
        "credits": status.credits,
        "in_progress": status.in_progress,
        "held": status.held,
    }
