"""Sends fleet views to this VM's relay and receives its reports."""

import itertools

import anyio

from pollenmast import events
from pollenmast.agent._gossip_loop import GossipLoop
from pollenmast.agent._node import Node
from pollenmast.agent._standby import Standby
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import ManifestKey
from pollenmast.peers._link import Link
from pollenmast.peers._messages import (
    DrainOrder,
    ExplainAnswer,
    ExplainQuery,
    FleetView,
    RelayReport,
)

MAX_VIEW_INTERVAL_S = 1.0
"""Maximum time between two views, in seconds.

It is shorter than the relay's lease on a view, so that the lease is renewed
before it expires.
"""

MIN_VIEW_INTERVAL_S = 0.4
"""Minimum time between two views that only update load, in seconds.

Load is probed twice a second. A view for every probe, which made ten views a
second, took a fifth of the agent's processor time.
"""

URGENT_DELAY_S = 0.02
"""Delay before a view with urgent changes, in seconds.

Changes that move flows come in bursts, and the delay puts them in one view.
"""

MANIFEST_RESEND_S = 1.0
"""Time after which an unconfirmed manifest is sent again, in seconds.

The relay confirms a manifest by reporting it in force, and two reports are due
in this time.
"""

FULL_REPORTS_INTERVAL_S = 10.0
"""Interval between views that hold the reports of all endpoints, in seconds.

The views between them hold only the reports that have changed: with 11,000
endpoints, sending all reports every second took 2% of a core (`python -m bench
run capacity`). Changes in a lost view are repeated by the next full one.
"""

EXPLAIN_TIMEOUT_S = 2.0
"""Timeout for the relay's explanation, in seconds."""

MAX_PENDING_QUERIES = 16
"""Maximum number of concurrent explanation queries."""

RELAY_CHECK_INTERVAL_S = 0.5
"""Interval between checks whether the relay still reports, in seconds."""


class LinkLoop:
    """Exchanges messages with this VM's relay."""

    def __init__(
        self, node: Node, link: Link, gossip: GossipLoop, standby: Standby
    ):
        """Initializes the loop.

        Args:
            node: State of this VM's agent.
            link: Connection to the relay.
            gossip: Notifies the peers when this VM's own state has changed.
            standby: Activated while the relay does not read its ports.
        """
        self._node = node
        self._link = link
        self._gossip = gossip
        self._standby = standby
        self._sequences = itertools.count(1)
        self._manifest_sent = (ManifestKey(), 0.0)
        self._sent_reports: dict[tuple[int, str], EndpointReport] = {}
        self._last_wake = 0
        self._full_reports_sent_s = 0.0
        self._answers: dict[int, ExplainAnswer | None] = {}
        self._answered = anyio.Event()
        self._relay_was_up = False

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_views)
            tasks.start_soon(self._receive)
            tasks.start_soon(self._watch_relay)
            tasks.start_soon(self._watch_link)

    async def order_drain(self, grace_s: float) -> None:
        """Orders the relay to hand over its flows and stop.

        Args:
            grace_s: Time that the relay has for it, in seconds.
        """
        await self._link.send(DrainOrder(grace_s))

    async def explain(self, subject: str) -> tuple[str, ...] | None:
        """Asks the relay to explain a routing decision.

        Args:
            subject: What to explain, as the operator named it.

        Returns:
            Lines of text, or None if the relay did not answer in time or too
            many queries are pending.
        """
        if len(self._answers) >= MAX_PENDING_QUERIES:
            return None
        identifier = next(self._sequences)
        self._answers[identifier] = None
        try:
            with anyio.move_on_after(EXPLAIN_TIMEOUT_S):
                await self._link.send(ExplainQuery(identifier, subject))
                while self._answers[identifier] is None:
                    await self._answered.wait()
            answer = self._answers[identifier]
        finally:
            del self._answers[identifier]
        return answer.lines if answer else None

    async def _send_views(self) -> None:
        while True:
            now = anyio.current_time()
            self._gossip.send(self._node.membership.check_for_pause(now))
            await self._link.send(self._build_view(now))
            await self._node.wait_for_change(
                URGENT_DELAY_S, MIN_VIEW_INTERVAL_S, MAX_VIEW_INTERVAL_S
            )

    def _build_view(self, now: float) -> FleetView:
        node = self._node
        key = node.acceptance.key
        report = node.relay.report
        return FleetView(
            sequence=next(self._sequences),
            manifest=self._manifest_to_send(now),
            version=key.version,
            digest=key.digest,
            vms=node.membership.vms(),
            reports=self._reports_to_send(now),
            fresh=node.membership.fresh,
            wake_seen=report.wake if report else 0,
        )

    def _reports_to_send(self, now: float) -> tuple[EndpointReport, ...]:
        """Returns the reports that changed since the last view.

        All reports are returned at regular intervals, while the relay has no
        manifest, and after the relay was suspended.
        """
        report = self._node.relay.report
        wake = report.wake if report else 0
        new_relay = report is None or report.version == 0
        overdue = now - self._full_reports_sent_s >= FULL_REPORTS_INTERVAL_S
        if new_relay or overdue or wake != self._last_wake:
            self._sent_reports = {}
            self._full_reports_sent_s = now
        self._last_wake = wake
        reports = self._node.reports.view(now)
        changed = tuple(
            each
            for each in reports
            if self._sent_reports.get((each.service, each.endpoint)) != each
        )
        self._sent_reports = {
            (each.service, each.endpoint): each for each in reports
        }
        return changed

    def _manifest_to_send(self, now: float) -> bytes | None:
        in_force = self._node.acceptance.in_force
        report = self._node.relay.report
        if in_force is None or report is None:
            return None
        if ManifestKey(report.version, report.digest) == in_force.key:
            return None
        sent_key, sent_s = self._manifest_sent
        if sent_key == in_force.key and now - sent_s < MANIFEST_RESEND_S:
            return None
        self._manifest_sent = (in_force.key, now)
        return in_force.text

    async def _receive(self) -> None:
        while True:
            message = await self._link.receive()
            if isinstance(message, RelayReport):
                # The last reports of a relay that has exited may be read
                # after its link has closed. Accepting them would mark the
                # relay as up again.
                if self._link.connected:
                    await self._handle_report(message)
            elif isinstance(message, ExplainAnswer):
                if message.identifier in self._answers:
                    self._answers[message.identifier] = message
                answered, self._answered = self._answered, anyio.Event()
                answered.set()

    async def _handle_report(self, report: RelayReport) -> None:
        node = self._node
        first = node.relay.report is None
        node.relay.record_report(report, anyio.current_time())
        if first:
            node.notify_changed(at_once=True)
        if not node.stopping:
            if report.draining:
                node.membership.leave()
            else:
                node.membership.cancel_leave()
        await self._check_relay()

    async def _watch_relay(self) -> None:
        while True:
            due = anyio.current_time() + RELAY_CHECK_INTERVAL_S
            await anyio.sleep(RELAY_CHECK_INTERVAL_S)
            late_by_s = anyio.current_time() - due
            if late_by_s > RELAY_CHECK_INTERVAL_S:
                self._node.relay.extend_deadline(late_by_s)
            await self._check_relay()

    async def _watch_link(self) -> None:
        """Marks the relay as lost as soon as the link closes.

        A process that exits closes its connections. Waiting until the relay's
        reports are overdue would cost callers another second and a half.
        """
        while True:
            await self._link.changed()
            if not self._link.connected:
                self._node.relay.mark_lost()
                await self._check_relay()

    async def _check_relay(self) -> None:
        node = self._node
        now = anyio.current_time()
        up = node.relay.is_up(now)
        self._check_standby(up, now)
        if up != self._relay_was_up:
            self._relay_was_up = up
            node.log.write(events.RELAY_HEARD if up else events.RELAY_SILENT)
            if not up:
                # A restarted relay has no manifest.
                self._manifest_sent = (ManifestKey(), 0.0)
        node.membership.set_relay_up(up)
        if node.membership.has_urgent:
            self._gossip.send(node.membership.tick(now))

    def _check_standby(self, up: bool, now: float) -> None:
        """Activates the standby for a silent relay, until it opens its ports.

        A relay that has just started reports before it has a manifest, and it
        opens no port without one.
        """
        relay = self._node.relay
        if up and relay.has_manifest:
            self._standby.set_needed(False)
        elif relay.is_overdue(now):
            self._standby.set_needed(True)
