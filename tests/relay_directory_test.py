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
    """A caller whose address changes in mid-session finds its endpoint."""

    def _moved(self, net: Net) -> list[str]:
        for tag in CALLERS:
            new = ("10.9.9.9", address_of(tag)[1])
            net.send(tag, short(tag, "moved"), caller=new)
        return not_last(net, "moved")

    def test_router_forgot(self):
        """Every caller's router forgets it and gives it another address.

        The new address belongs to another owner and computes to another
        endpoint; without the connection id the session would hang until its
        timeout.
        """
        net = opened(vms=5)
        net.keep_alive(CALLERS, REPLICATED_S)
        self.assertEqual([], self._moved(net))
        self.assertEqual([], net.strangers)

    @parameterized.expand([("killed", False), ("replaced", True)])
    def test_after_loss(self, _, planned):
        """A VM goes before the callers move; the second keeper remembers."""
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
        """A keeper leaves in order and gives its ids on.

        Left with one keeper, an id would be lost with that one, and a caller
        that moves afterwards would not find its endpoint. The order to stop
        may come before the view in which the ring leaves the VM out.
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
        """A stranger's connection id leads to the default endpoint at most.

        No session is there, so nothing runs, and the guess is forgotten.
        """
        net = opened()
        net.keep_alive(CALLERS, REPLICATED_S)
        net.send("x900", short("x900", "?"), caller=("10.9.9.9", 7))
        net.advance(8.0)
        self.assertEqual([], net.holders("x900"))
        self.assertEqual({}, unlike(net, "before"))
