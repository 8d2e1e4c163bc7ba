"""Tests of relay._directory: callers whose address changes."""

from parameterized import parameterized
from testtools import TestCase

from standins.memory import Net, address_of, short
from tests.relay_sessions import (
    CALLERS,
    REPLICATION_WAIT_S,
    net_with_sessions,
    send_from_all,
    unexpected_last,
    unexpected_runs,
)


class MovedCallerTest(TestCase):
    """A caller whose address changes in mid-session reaches its endpoint."""

    def _send_after_move(self, net: Net) -> list[str]:
        for tag in CALLERS:
            new = ("10.9.9.9", address_of(tag)[1])
            net.send(tag, short(tag, "moved"), caller=new)
        return unexpected_last(net, "moved")

    def test_nat_rebinding(self):
        """Sessions continue when NATs rebind every caller to a new address.

        The new address has another owner and another default endpoint.
        Without the connection id, the session would hang until its timeout.
        """
        net = net_with_sessions(vms=5)
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        self.assertEqual([], self._send_after_move(net))
        self.assertEqual([], net.strangers)

    @parameterized.expand([("killed", False), ("replaced", True)])
    def test_after_loss(self, _, planned):
        """One of the two VMs that store an id may be lost before a move."""
        net = net_with_sessions(vms=5)
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        if planned:
            net.declare_leaving(2)
            net.advance(2.0)
        net.kill(2)
        net.declare_dead(2)
        send_from_all(net, "still here")
        self.assertEqual([], self._send_after_move(net))

    def test_ids_handed_over(self):
        """A VM that leaves in a planned stop hands over its connection ids.

        Otherwise each id would be left on one VM and lost with it, and a caller
        that moves afterwards would not reach its endpoint. The drain order may
        come before the view in which the ring excludes the VM.
        """
        net = net_with_sessions(vms=5)
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        net.relays[2].drain()
        net.advance(1.0)
        net.declare_leaving(2)
        net.keep_alive(CALLERS, 3.0)
        net.kill(2)
        kept = sum(len(core.connection_ids) for core in net.relays.values())
        self.assertEqual(2 * len(CALLERS), kept)

    def test_unknown_id(self):
        """An unknown connection id leads at most to the default endpoint.

        That endpoint has no such session, so nothing runs and the guessed
        flow is removed.
        """
        net = net_with_sessions()
        net.keep_alive(CALLERS, REPLICATION_WAIT_S)
        net.send("x900", short("x900", "?"), caller=("10.9.9.9", 7))
        net.advance(8.0)
        self.assertEqual([], net.holders("x900"))
        self.assertEqual({}, unexpected_runs(net, "before"))
