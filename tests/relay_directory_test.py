"""Tests of relay._directory: callers whose address changes."""

from parameterized import parameterized
from testtools import TestCase

from standins.memory import Net, address_of, short
from tests.relay_crowd import (
    CALLERS,
    REPLICATED_S,
    not_last,
    opened,
    say_all,
    unlike,
)


class MovedCallerTest(TestCase):
    """A caller whose address changes in mid-session reaches its endpoint."""

    def _moved(self, net: Net) -> list[str]:
        for tag in CALLERS:
            new = ("10.9.9.9", address_of(tag)[1])
            net.send(tag, short(tag, "moved"), caller=new)
        return not_last(net, "moved")

    def test_router_forgot(self):
        """Sessions continue when NATs rebind every caller to a new address.

        The new address has another owner and another default endpoint.
        Without the connection id, the session would hang until its timeout.
        """
        net = opened(vms=5)
        net.keep_alive(CALLERS, REPLICATED_S)
        self.assertEqual([], self._moved(net))
        self.assertEqual([], net.strangers)

    @parameterized.expand([("killed", False), ("replaced", True)])
    def test_after_loss(self, _, planned):
        """One of the two VMs that store an id may be lost before a move."""
        net = opened(vms=5)
        net.keep_alive(CALLERS, REPLICATED_S)
        if planned:
            net.declare_leaving(2)
            net.advance(2.0)
        net.kill(2)
        net.declare_dead(2)
        say_all(net, "still here")
        self.assertEqual([], self._moved(net))

    def test_replaced(self):
        """A VM that leaves in a planned stop hands over its connection ids.

        Otherwise each id would be left on one VM and lost with it, and a caller
        that moves afterwards would not reach its endpoint. The drain order may
        come before the view in which the ring excludes the VM.
        """
        net = opened(vms=5)
        net.keep_alive(CALLERS, REPLICATED_S)
        net.relays[2].drain()
        net.advance(1.0)
        net.declare_leaving(2)
        net.keep_alive(CALLERS, 3.0)
        net.kill(2)
        kept = sum(len(core.directory) for core in net.relays.values())
        self.assertEqual(2 * len(CALLERS), kept)

    def test_unknown_id(self):
        """An unknown connection id leads at most to the default endpoint.

        That endpoint has no such session, so nothing runs and the guessed
        flow is removed.
        """
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
        net.send("x900", short("x900", "?"), caller=("10.9.9.9", 7))
        net.advance(8.0)
        self.assertEqual([], net.holders("x900"))
        self.assertEqual({}, unlike(net, "before"))
