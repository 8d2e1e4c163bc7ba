"""Regression tests: the steps of faults that the search has found."""

from testtools import TestCase

from tests.proof import _traffic as traffic
from tests.proof._machine import FleetMachine

_REGISTRY = traffic.REGISTRY


def _begin(vms: int, seed: int = 0) -> FleetMachine:
    machine = FleetMachine()
    machine.begin(seed=seed, vms=vms)
    return machine


class ReusedPortTest(TestCase):
    """A port is reassigned to another service while sessions are open."""

    def test_during_spread(self):
        """Some relays have the new manifest and others do not yet.

        A relay with the new manifest forwarded a registry packet as one of
        cellvakt, and a relay without it sent that to a cellvakt endpoint.
        """
        state = _begin(4)
        state.open(count=3, early=False, service=_REGISTRY, to=0)
        for _ in range(6):
            state.all_say()
        state.swap_ports(pair=(1, 3))
        state.wait(seconds=0.05)
        state.all_say()
        state.teardown()

    def test_relays_that_join(self):
        """Relays that start with the change do not know that a port is reused.

        They guessed that a packet of an older session was meant for the
        service that has the port now.
        """
        state = _begin(3)
        state.swap_ports(pair=(1, 3))
        state.join(number=4)
        state.join(number=5)
        state.open(count=3, early=False, service=_REGISTRY, to=0)
        state.calm()
        state.teardown()

    def test_handed_over(self):
        """The flows of a leaving relay were taken over on the wrong port.

        Their callers then got responses from a port that they had not sent
        to.
        """
        state = _begin(2)
        state.restart_agent(which=0)
        state.swap_ports(pair=(1, 3))
        state.open(count=1, early=False, service=_REGISTRY, to=0)
        state.stop(which=0)
        state.teardown()

    def test_killed_later(self):
        """A relay that carries a session on a reassigned port is killed.

        Relays may not guess the endpoint on a reassigned port, so the session
        needs a record although it is on its default endpoint. It had none and
        hung.
        """
        state = _begin(3)
        state.swap_ports(pair=(1, 2))
        state.calm()
        state.open(count=1, early=False, service=_REGISTRY, to=0)
        state.calm()
        state.calm()
        state.kill(which=1)
        state.teardown()

    def test_joined_before(self):
        """A relay joins just before the port is reassigned."""
        state = _begin(4)
        state.join(number=6)
        state.open(count=4, early=False, service=_REGISTRY, to=0)
        state.all_say()
        state.all_say()
        state.swap_ports(pair=(1, 3))
        for _ in range(3):
            state.all_say()
        state.teardown()


class OpeningTest(TestCase):
    """Flows are opened while their owners change."""

    def test_owner_changes_meanwhile(self):
        """A flow opens while a partition heals and two VMs join at once.

        Its relay notified the owners of their flows while this one was still
        opening, and not again. The new owner asked two VMs that did not know
        it and sent the session to its default endpoint. Found by seed 2059 of
        the search.
        """
        state = FleetMachine()
        state.begin(seed=0, vms=2, keep_alive=False)
        state.cut_or_heal(zone="zone-b")
        state.restart_agent(which=0)
        state.wait(seconds=0.4)
        state.open(count=1, early=False, service=_REGISTRY, to=0)
        state.cut_or_heal(zone="zone-a")
        state.join(number=3)
        state.join(number=4)
        state.teardown()
