"""Reports the load of each endpoint to the agent, at a bounded rate."""

import attrs

from pollenmast.decisions import Dispatcher
from pollenmast.fleet import EndpointLoad
from pollenmast.relay._flows import Target
from pollenmast.relay._table import FlowTable

ENDPOINTS_PER_S = 200.0
"""Average number of endpoints reported per second.

Each endpoint costs the agent 2 to 3 microseconds of CPU time, as measured by
`python -m bench run capacity`. Extrapolated from that bench, reporting 11,000
endpoints twice a second would take the agent 5 to 6% of a core.
"""


class EndpointLoads:
    """The endpoint loads in the reports to the agent."""

    def __init__(self, table: FlowTable, dispatcher: Dispatcher):
        self._table = table
        self._dispatcher = dispatcher
        self._next_due = 0.0

    def take_due(self, now: float) -> tuple[EndpointLoad, ...] | None:
        """Returns the load of every endpoint, or None if not due yet."""
        if now < self._next_due:
            return None
        loads = self._all_loads(now)
        self._next_due = now + len(loads) / ENDPOINTS_PER_S
        return loads

    def _all_loads(self, now: float) -> tuple[EndpointLoad, ...]:
        dispatcher_loads = {
            (load.service, load.endpoint): load
            for load in self._dispatcher.loads(now)
        }
        return tuple(
            _load(target, dispatcher_loads.get((target.service, target.name)))
            for target in self._table.targets
        )


def _load(target: Target, dispatcher_load: EndpointLoad | None) -> EndpointLoad:
    if dispatcher_load is None:
        return EndpointLoad(
            target.service, target.name, target.flows, 0.0, "not in force"
        )
    return attrs.evolve(dispatcher_load, flows=target.flows)
