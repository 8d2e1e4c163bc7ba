"""Tells whether an endpoint that does not answer checks may be full.

A connect to an endpoint whose accept queue is full times out, just as one to a
dead endpoint does. If it were marked down, the VM would reset its established
flows, and with them requests that it is about to execute. So while there are
signs of load, `Health` requires timeouts over a longer time.

Only load on the service as a whole counts. That an endpoint's own requests are
late says nothing: those of a dead one are late too, and its clients wait for
the result of its checks.
"""

import statistics
from collections.abc import Callable

from pollenmast.steering._catalog import Catalog
from pollenmast.steering._model import Endpoint
from pollenmast.steering._record import Record

SLOW_FACTOR = 3.0
"""Multiple of the usual answer time from which answers are slow. A request that
waits in a full queue takes about five times as long as one that does not
wait."""

MIN_ENDPOINTS = 3
"""Minimum number of endpoints with a recent answer to judge a service by. The
median of three answers rises to `SLOW_FACTOR` times the mean less than once in
a hundred times if their times are exponentially distributed."""

RECENT_S = 1.0
"""Age in seconds up to which an answer counts as recent. A VM sees about ten
answers in this time."""


class LoadSigns:
    """One VM's signs that the endpoints of a service may be full."""

    def __init__(self, catalog: Catalog):
        self._catalog = catalog
        self._enabled = True
        self._is_short: Callable[[Endpoint, float], bool] = _never

    def set_enabled(self, enabled: bool) -> None:
        """Sets whether to look for signs of load.

        If not, each timeout counts as that of an endpoint under normal load.
        """
        self._enabled = enabled

    def set_is_short(self, is_short: Callable[[Endpoint, float], bool]) -> None:
        """Sets the source of the admission state; by default none is short.

        The requests in progress at the endpoint itself should not alone make
        its service short of capacity: those at an endpoint that has just died
        remain in progress, and would delay its detection.

        Args:
            is_short: Called with an endpoint that has not answered a check and
                the runtime's clock in seconds. Returns whether its service is
                short of capacity on this VM.
        """
        self._is_short = is_short

    def may_be_full(self, record: Record, now: float) -> bool:
        """Whether an endpoint that timed out may be full rather than dead."""
        if not self._enabled:
            return False
        return self._is_short(record.endpoint, now) or self._answers_are_slow(
            record.endpoint.service, now
        )

    def _answers_are_slow(self, service: str, now: float) -> bool:
        """Whether a service's recent answers took far longer than usual.

        Unanswered requests are left out, since an endpoint may have died
        together with others. Medians are compared, so that neither one long
        request nor one slow endpoint decides.
        """
        times = [
            record.health.answer_times
            for record in self._catalog.records
            if record.endpoint.service == service
        ]
        recent = [t.last_s for t in times if now - t.last_at <= RECENT_S]
        if len(recent) < MIN_ENDPOINTS:
            return False
        usual_s = statistics.median(
            t.usual_s for t in times if t.usual_s is not None
        )
        return statistics.median(recent) >= SLOW_FACTOR * usual_s


def _never(endpoint: Endpoint, now: float) -> bool:
    return False
