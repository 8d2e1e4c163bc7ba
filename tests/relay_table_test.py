"""Tests of relay._table: ports towards callers."""

import attrs
from testtools import TestCase

from pollenmast import manifest as manifests
from pollenmast.relay._flows import FlowState
from pollenmast.relay._table import FlowTable
from standins.memory import BARCODES, REGISTRY, FakeTransport, Net, manifest


class _BusyPortTransport(FakeTransport):
    """A transport on which another program uses some ports for a while."""

    busy_ports: tuple[int, ...] = ()

    def open_listener(self, service):
        """Opens a fake port, unless it is in use."""
        if service.port in self.busy_ports:
            return None
        return super().open_listener(service)


def _manifest(*numbers: int) -> manifests.Manifest:
    whole = manifests.parse(manifest()).unwrap()
    services = [each for each in whole.services if each.number in numbers]
    return manifests.Manifest(1, tuple(services), "")


class PortsTest(TestCase):
    """Exactly the services of the manifest have open ports."""

    def _table(self) -> FlowTable:
        self.transport = _BusyPortTransport(Net(vms=1), 1)
        return FlowTable(self.transport, 100)

    def test_busy_port(self):
        """A port in use by another program is retried without a new manifest.

        Until the port opens, this VM loses the fabric's packets for the
        service.
        """
        table = self._table()
        self.transport.busy_ports = (4000 + REGISTRY,)
        table.set_manifest(_manifest(REGISTRY, BARCODES), 0.0)
        self.assertIsNone(table.listener(REGISTRY))
        self.transport.busy_ports = ()
        table.maintain_ports(0.0)
        self.assertIsNotNone(table.listener(REGISTRY))

    def test_joined_after_a_port_was_reused(self):
        """A VM that joins after a port was reassigned makes no guesses there.

        It has not seen the port's previous service and would send that
        service's sessions, which it does not know, to the current one. The
        manifest says that there was a previous service. New flows still open
        at once.
        """
        whole = _manifest(REGISTRY).services[0]
        for since, may_use_default in ((0, True), (7, False)):
            service = attrs.evolve(whole, port_since=since)
            table = self._table()
            table.set_manifest(manifests.Manifest(9, (service,), ""), 100.0)
            listener = table.listener_at(service.port)
            self.assertEqual(may_use_default, table.may_use_default(listener))
            self.assertFalse(table.in_quarantine(listener, 100.0))

    def test_withdrawn_service(self):
        """The port of a removed service closes once its last flow has ended."""
        table = self._table()
        table.set_manifest(_manifest(REGISTRY, BARCODES), 0.0)
        listener = table.listener(REGISTRY)
        target = next(t for t in table.targets if t.service == REGISTRY)
        flow = table.open(
            listener, ("10.0.0.1", 1), target, FlowState.ESTABLISHED, 0, 0.0
        )
        table.set_manifest(_manifest(BARCODES), 0.0)
        table.maintain_ports(0.0)
        self.assertEqual(2, len(table.listeners))
        table.end(flow, 1.0)
        table.maintain_ports(0.0)
        self.assertEqual(1, len(table.listeners))
