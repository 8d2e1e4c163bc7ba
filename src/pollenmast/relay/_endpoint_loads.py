"""Tells the agent how each endpoint fares, at a bounded rate."""

import attrs

from pollenmast.decisions import Dispatcher
from pollenmast.fleet import EndpointLoad
from pollenmast.relay._flows import Target
from pollenmast.relay._table import FlowTable

ENDPOINTS_PER_S = 200.0
"""Endpoints that reports name in a second, on average; 2 to 3 microseconds
of an agent's processor each (`python -m bench run capacity`). At 11,000
endpoints, naming all twice a second takes the agent 5 to 6% of a core, by the
slope of that bench."""


class EndpointLoads:
    """The endpoints' part of the reports to the agent."""

    def __init__(self, table: FlowTable, dispatcher: Dispatcher):
        self._table = table
        self._dispatcher = dispatcher
        self._due = 0.0

    def due(self, now: float) -> tuple[EndpointLoad, ...] | None:
        """Returns every endpoint, or None while it is too early again."""
        if now < self._due:
            return None
        loads = self._every(now)
        self._due = now + len(loads) / ENDPOINTS_PER_S
        return loads

    def _every(self, now: float) -> tuple[EndpointLoad, ...]:
        decided = {
            (load.service, load.endpoint): load
            for load in self._dispatcher.loads(now)
        }
        return tuple(
            _load(target, decided.get((target.service, target.name)))
            for target in self._table.targets
        )


def _load(target: Target, decided: EndpointLoad | None) -> EndpointLoad:
    if decided is None:
        return EndpointLoad(
            target.service, target.name, target.flows, 0.0, "not in force"
        )
    return attrs.evolve(decided, flows=target.flows)
