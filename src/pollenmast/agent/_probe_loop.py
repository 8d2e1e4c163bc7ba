"""Probes the endpoints assigned to this VM and reports them to the fleet."""

import anyio
import anyio.abc
from result import Err, Result

from pollenmast import events
from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._node import Node
from pollenmast.decisions import _probing
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import Endpoint
from pollenmast.upstreams._probe import Load, Probe, ProbeFault

ASSIGN_INTERVAL_S = 0.5
"""Interval between checks for changed assignments, in seconds."""

MAX_UPTIME_S = 65_535
"""Largest uptime reported, in seconds.

An endpoint this old has warmed up, and greater values would only make reports
longer.
"""

_ProbeKey = tuple[int, str, str, int]


class ProbeLoop:
    """Runs one task for each endpoint assigned to this VM."""

    def __init__(self, node: Node, gossip: GossipLoop):
        self._node = node
        self._gossip = gossip
        self._running: dict[_ProbeKey, anyio.CancelScope] = {}
        self._healthy: dict[tuple[int, str], bool] = {}
        self._assignment_basis: object = None

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._update_assignments(tasks)
                await anyio.sleep(ASSIGN_INTERVAL_S)

    def _update_assignments(self, tasks: anyio.abc.TaskGroup) -> None:
        vms = self._node.membership.vms()
        in_force = self._node.acceptance.in_force
        basis = (vms, in_force.key if in_force else None)
        if basis == self._assignment_basis:
            return
        self._assignment_basis = basis
        assigned = self._assigned_endpoints(vms)
        for key in [key for key in self._running if key not in assigned]:
            self._running.pop(key).cancel()
            self._node.reports.forget_own(key[0], key[1])
        for key, (number, endpoint) in assigned.items():
            if key not in self._running:
                scope = self._running[key] = anyio.CancelScope()
                tasks.start_soon(self._probe, scope, number, endpoint)

    def _assigned_endpoints(self, vms) -> dict[_ProbeKey, tuple[int, Endpoint]]:
        in_force = self._node.acceptance.in_force
        services = in_force.manifest.services if in_force else ()
        endpoints = {
            (service.number, endpoint.name): endpoint
            for service in services
            for endpoint in service.endpoints
        }
        self._node.reports.keep_only(set(endpoints))
        assigned = _probing.assignments(
            services, vms, self._node.settings.vm.zone
        )
        return {
            (number, name, endpoint.address, endpoint.load_port): (
                number,
                endpoint,
            )
            for (number, name), endpoint in endpoints.items()
            if self._node.name in assigned.get((number, name), ())
        }

    async def _probe(
        self, scope: anyio.CancelScope, number: int, endpoint: Endpoint
    ) -> None:
        timeout_s = self._node.settings.agent.probe_s
        # The setting is the time between two probes of one endpoint by any of
        # its probers, so each of them waits longer.
        interval = timeout_s * _probing.PROBERS
        probe = Probe(endpoint.address, endpoint.load_port, self._node.counters)
        with scope:
            # Start at a random time. Two VMs that learn of a manifest at the
            # same time would otherwise always probe at the same time, and one
            # of the two probes would be redundant.
            await anyio.sleep(self._node.rng.uniform(0, interval))
            try:
                while True:
                    began = anyio.current_time()
                    load = await probe.load(timeout_s)
                    self._record(number, endpoint.name, load)
                    # One failed probe does not make an endpoint unhealthy, so
                    # confirm it sooner.
                    wait = interval if load.is_ok() else timeout_s
                    await anyio.sleep_until(began + wait)
            finally:
                await probe.aclose()

    def _record(
        self, number: int, name: str, load: Result[Load, ProbeFault]
    ) -> None:
        reports = self._node.reports
        sequence = reports.next_sequence(number, name)
        report = _report(number, name, sequence, load)
        update = reports.record_local(
            report, anyio.current_time(), load.is_ok()
        )
        if update is not None:
            self._gossip.queue_report(update)
            if self._log_health_change(update.report):
                # An endpoint that leaves must get no new work after a few
                # seconds, and heartbeats may take longer to reach every VM.
                self._gossip.send(self._node.membership.push_messages())
        self._node.notify_changed()

    def _log_health_change(self, report: EndpointReport) -> bool:
        """Logs a change of an endpoint's health.

        Returns:
            Whether its health has changed.
        """
        key = (report.service, report.endpoint)
        before = self._healthy.get(key, True)
        self._healthy[key] = report.healthy
        if before == report.healthy:
            return False
        healthy = report.healthy
        event = (
            events.UPSTREAM_HEALTHY if healthy else events.UPSTREAM_UNHEALTHY
        )
        self._node.log.write(
            event, service=report.service, endpoint=report.endpoint
        )
        return True


def _report(
    number: int, name: str, sequence: int, load: Result[Load, ProbeFault]
) -> EndpointReport:
    if isinstance(load, Err):
        return EndpointReport(number, name, sequence, healthy=False)
    answer = load.ok_value
    return EndpointReport(
        service=number,
        endpoint=name,
        sequence=sequence,
        healthy=answer.accepting,
        running=answer.running,
        queued=answer.queued,
        connections=answer.connections,
        finished=answer.finished,
        uptime_s=min(int(answer.uptime_s), MAX_UPTIME_S),
    )
