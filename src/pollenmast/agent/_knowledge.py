"""Collects the agent's state for the operators' HTTP endpoint."""

import collections

import anyio

from pollenmast import operators
from pollenmast._version import VERSION
from pollenmast.agent._link_loop import LinkLoop
from pollenmast.agent._node import Node
from pollenmast.fleet import EndpointLoad, EndpointReport, VmState

_NO_LOAD = EndpointLoad(0, "", 0, 0.0, "the relay has not told")


class NodeKnowledge(operators.StatusProvider):
    """Provides status, health, metrics and explanations of one VM."""

    def __init__(self, node: Node, link: LinkLoop):
        self._node = node
        self._link = link

    def status(self) -> operators.Status:
        """Returns the current status."""
        return operators.Status(
            vm=self._vm(),
            manifest=self._manifest(),
            relay=self._relay(),
            platform=self._platform(),
            members=self._members(),
            endpoints=self._endpoints(),
            counters=self._counters(),
        )

    def health(self) -> str | None:
        """Returns why this process is unhealthy, or None if it is healthy."""
        # The event loop that answers this request also does all the other
        # work, so an answer shows that the process is not hung.
        return None

    def readiness(self) -> str | None:
        """Returns why this VM takes no new flows, or None if it does."""
        node = self._node
        if node.stopping:
            return "stopping"
        if node.acceptance.in_force is None:
            return "no manifest yet"
        if not node.membership.fresh:
            return "asking peers for what was missed"
        if not node.relay.is_up(anyio.current_time()):
            return "the relay does not report"
        if node.relay.report.draining:
            return "the relay hands over its flows"
        if not node.relay.report.ready:
            return "the relay is not ready"
        return None

    async def explain(self, subject: str) -> tuple[str, ...] | None:
        """Returns the relay's explanation of a routing decision.

        Args:
            subject: What to explain, as the operator named it.

        Returns:
            Lines of text, or None if the relay did not answer.
        """
        return await self._link.explain(subject)

    def counter_values(self) -> dict[str, dict[tuple[str, str], int]]:
        """Returns the counters of the agent and of the relay."""
        own = self._node.counters.items()
        report = self._node.relay.report
        relay_counters = report.counters if report else ()
        return {
            "agent": {(name, reason): value for name, reason, value in own},
            "relay": {
                (each.name, each.reason): each.value for each in relay_counters
            },
        }

    def gauges(self) -> operators.Gauges:
        """Returns the current gauges."""
        relay = self._relay()
        manifest = self._manifest()
        states = collections.Counter(
            vm.state.value for vm in self._node.membership.known()
        )
        return operators.Gauges(
            flows=relay.flows,
            held=relay.held,
            replicas=relay.replicas,
            members={state.value: states[state.value] for state in VmState},
            manifest_version=manifest.version,
            manifest_age_s=manifest.age_s or 0.0,
        )

    def _vm(self) -> operators.VmStatus:
        node = self._node
        return operators.VmStatus(
            name=node.name,
            zone=node.settings.vm.zone,
            version=VERSION,
            ready=self.readiness() is None,
            fresh=node.membership.fresh,
            alone=node.membership.alone,
            stopping=node.stopping,
            uptime_s=round(anyio.current_time() - node.started_s, 1),
        )

    def _manifest(self) -> operators.ManifestStatus:
        node = self._node
        in_force = node.acceptance.in_force
        report = node.relay.report
        age_s = anyio.current_time() - in_force.since if in_force else None
        return operators.ManifestStatus(
            version=node.acceptance.key.version,
            digest=node.acceptance.key.digest,
            age_s=round(age_s, 3) if age_s is not None else None,
            relay_version=report.version if report else 0,
            heard_version=node.acceptance.greatest_known_key.version,
        )

    def _relay(self) -> operators.RelayStatus:
        relay = self._node.relay
        if relay.report is None or not relay.is_up(anyio.current_time()):
            return operators.RelayStatus(False, False, 0, 0, 0)
        report = relay.report
        return operators.RelayStatus(
            True, report.draining, report.flows, report.held, report.replicas
        )

    def _platform(self) -> operators.PlatformStatus:
        answered_s = self._node.platform_answered_s
        ago = None
        if answered_s is not None:
            ago = round(anyio.current_time() - answered_s, 1)
        return operators.PlatformStatus(self._node.platform_up, ago)

    def _members(self) -> tuple[operators.MemberStatus, ...]:
        members = (
            operators.MemberStatus(
                name=vm.name,
                zone=vm.zone,
                address=vm.address,
                state=vm.state.value,
                relay_up=vm.relay_up,
                incarnation=vm.incarnation,
            )
            for vm in self._node.membership.known()
        )
        return tuple(sorted(members, key=lambda member: member.name))

    def _endpoints(self) -> tuple[operators.EndpointStatus, ...]:
        in_force = self._node.acceptance.in_force
        if in_force is None:
            return ()
        reports = {
            (report.service, report.endpoint): report
            for report in self._node.reports.view(anyio.current_time())
        }
        relay = self._node.relay.report
        loads = {
            (load.service, load.endpoint): load
            for load in (relay.endpoints if relay else ())
        }
        return tuple(
            _endpoint(
                service.name,
                endpoint,
                reports.get((service.number, endpoint.name)),
                loads.get((service.number, endpoint.name), _NO_LOAD),
            )
            for service in in_force.manifest.services
            for endpoint in service.endpoints
        )

    def _counters(self) -> tuple[operators.CounterStatus, ...]:
        return tuple(
            operators.CounterStatus(program, name, reason, value)
            for program, values in self.counter_values().items()
            for (name, reason), value in values.items()
            if value
        )


def _endpoint(
    service: str, endpoint, report: EndpointReport | None, load: EndpointLoad
) -> operators.EndpointStatus:
    return operators.EndpointStatus(
        service=service,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        intended=endpoint.state.value,
        healthy=report.healthy if report else None,
        running=report.running if report else 0,
        queued=report.queued if report else 0,
        connections=report.connections if report else 0,
        flows=load.flows,
        weight=round(load.weight, 4),
        why=load.why,
    )
