"""Tests of admission._admission and admission._service_admission."""

import math

from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import (
    Admit,
    AdmitReason,
    Hold,
    Refuse,
    RefuseReason,
    _admission,
)
from pollenmast.admission import _service_admission as module
from tests.admission_group import TARGET_S, View, Vm

_HOLD_S = TARGET_S * module.MAX_HOLD_FRACTION


def _status(vm, now):
    (status,) = vm.admission.status(now)
    return status


def _overloaded(**settings):
    """Returns a VM at its limit at 0, and overloaded since `SUSTAINED_S`.

    The requests of the beginning have expired by 0.

    Returns:
        The VM and the flows that use its six credits.
    """
    vm = Vm(View({"a": 6}), **settings)
    vm.fill(9, -module.SUSTAINED_S)
    vm.admission.is_overloaded("s", -module.SUSTAINED_S)
    return vm, vm.fill(6)


class LimitTest(TestCase):
    """A VM places only as many requests as it has credits for."""

    @parameterized.expand(
        [
            ("isolated", None, module.LONE_CREDITS, ""),
            ("no_endpoints", {}, module.MIN_CREDITS, ""),
            ("one_credit", {"a": 1}, module.MIN_CREDITS, ""),
            ("credits", {"a": 2, "b": 3}, 5, "ba"),
        ]
    )
    def test_admitted_up_to_the_credits(self, _, credits, expected, named):
        """No flow is held until the credits are in use.

        Up to half of the credits flows are placed as before, then on endpoints
        with a credit, of which the one with the most free ones goes first.
        """
        vm = Vm(View(credits))
        outcomes = [vm.arrive()[0] for _ in range(expected)]
        free = [Admit(None, AdmitReason.FREE)] * (expected - len(named))
        own = [Admit(name, AdmitReason.CREDIT) for name in named]
        self.assertEqual(free + own, outcomes)
        self.assertTrue(vm.admission.is_overloaded("s", 0.0))
        self.assertEqual(expected, _status(vm, 0.0).credits)

    def test_isolated_vm_holds(self):
        """A VM without reports holds what is over its limit."""
        vm = Vm(View(None))
        keys = vm.fill(module.LONE_CREDITS)
        outcome, key = vm.arrive()
        self.assertEqual(Hold(_HOLD_S), outcome)
        vm.end(keys[0], 0.02)
        expected = Admit(None, AdmitReason.FREE, 0.02)
        self.assertEqual([(key, expected)], vm.release(0.02))

    def test_own_credits_while_short(self):
        """While capacity is short only own credits are used, most free first.

        Four flows that were placed freely use no credit of a named endpoint, so
        up to half as many again may be in progress.
        """
        vm = Vm(View({"a": 2, "b": 4}))
        vm.fill(6)
        placed = [vm.arrive()[0] for _ in range(4)]
        self.assertEqual(
            [Admit(name, AdmitReason.CREDIT) for name in "aba"], placed[:3]
        )
        self.assertIsInstance(placed[3], Hold)

    def test_unusable_endpoints(self):
        """Credits of an endpoint that is down are not used."""
        vm = Vm(View({"a": 1, "b": 4}))
        vm.view.down = {"b"}
        vm.fill(3)
        self.assertEqual(Admit("a", AdmitReason.CREDIT), vm.arrive()[0])
        vm.fill(1)
        self.assertIsInstance(vm.arrive()[0], Hold)

    @parameterized.expand(
        [("one", {"a": 1}, 1), ("none", {}, 1), ("eight", {"a": 8}, 4)]
    )
    def test_guests(self, _, credits, expected):
        """Up to half as many flows as there are credits use other zones."""
        vm = Vm(View(credits, guest="far"))
        vm.fill(max(sum(credits.values()), module.MIN_CREDITS))
        vm.view.down = {"a"}
        outcomes = [vm.arrive()[0] for _ in range(10)]
        guests = [o for o in outcomes if o == Admit("far", AdmitReason.GUEST)]
        self.assertEqual(expected, len(guests))

    def test_guests_disabled(self):
        """The setting keeps flows in their zone."""
        vm = Vm(View({}, guest="far"), guests=False)
        vm.fill(module.MIN_CREDITS)
        self.assertIsInstance(vm.arrive()[0], Hold)

    def test_credits_disabled(self):
        """Without credits every flow is placed as before."""
        vm = Vm(View({}), credits=False)
        outcomes = {vm.arrive()[0] for _ in range(100)}
        self.assertEqual({Admit(None, AdmitReason.FREE)}, outcomes)
        self.assertEqual([], vm.admission.status(0.0))

    @parameterized.expand([("all", {}), ("fewer", {"a": 2})])
    def test_credits_that_vanish(self, _, remaining):
        """Endpoints may vanish while requests are in progress.

        The VM then has more requests in progress than credits. It holds flows
        until the requests end or expire, and places flows again.
        """
        vm = Vm(View({"a": 3, "b": 3}))
        vm.fill(6)
        vm.view.own = remaining
        self.assertIsInstance(vm.arrive(0.3)[0], Hold)
        vm.release(0.9)
        self.assertIsInstance(vm.arrive(1.0)[0], Admit)


class HoldTest(TestCase):
    """Held flows are placed in time or refused in time."""

    def _full(self, **settings):
        vm, self.keys = _overloaded(**settings)
        return vm

    @parameterized.expand([("fraction", 0.8, 0.2), ("at_most", 100.0, 1.3)])
    def test_hold_time(self, _, target_s, expected):
        """A hold ends while the client waits and can still try again."""
        outcome, _ = self._full().arrive(target_s=target_s)
        self.assertEqual(Hold(expected), outcome)

    def test_expired_hold(self):
        """A flow is refused when its hold expires, with the time it took."""
        vm = self._full()
        _, key = vm.arrive()
        self.assertEqual(_HOLD_S, vm.admission.next_release_at(0.0))
        self.assertEqual([], vm.release(_HOLD_S / 2))
        refuse = Refuse(RefuseReason.HOLD_EXPIRED, _HOLD_S)
        self.assertEqual([(key, refuse)], vm.release(_HOLD_S))
        self.assertEqual(math.inf, vm.admission.next_release_at(_HOLD_S))
        self.assertEqual(0, vm.admission.held)

    def test_too_many_ahead(self):
        """Flows that could not be placed in time are refused at once."""
        vm = self._full()
        outcomes = [vm.arrive()[0] for _ in range(100)]
        held = outcomes.count(Hold(_HOLD_S))
        # Six requests at a time take 50 ms each: fewer than 12 are placed in
        # less than the 0.1 s of the hold.
        self.assertEqual(11, held)
        refused = Refuse(RefuseReason.NO_ROOM)
        self.assertEqual([refused] * 89, outcomes[held:])

    def test_backlog_held_longer(self):
        """Flows of one instant are held while the backlog is worked off.

        After a loss of power all clients come back at once. If what cannot be
        placed within its hold were refused, they would use up their attempts
        within milliseconds, although the backlog lasts for half a second.
        """
        vm = Vm(View(None))
        keys = vm.fill(module.LONE_CREDITS)
        held = vm.fill(20)
        placed = []
        for step in range(1, 21):
            now = 0.05 * step
            for key in keys:
                vm.end(key, now)
            decided = vm.release(now)
            self.assertTrue(all(isinstance(o, Admit) for _, o in decided))
            keys = [key for key, _ in decided]
            placed += keys
        self.assertEqual(held, placed)

    def test_hold_not_extended_while_overload_lasts(self):
        """A flow is refused at its hold if as many arrive as are placed."""
        vm, keys = _overloaded()
        _, first = vm.arrive(priority=1)
        vm.end(keys[0], 0.01)
        vm.arrive(0.01)
        vm.release(0.01)
        refuse = Refuse(RefuseReason.HOLD_EXPIRED, _HOLD_S)
        self.assertIn((first, refuse), vm.release(_HOLD_S))

    def test_abandoned_by_client(self):
        """No flow is held longer than its client waits."""
        vm = Vm(View(None))
        keys = vm.fill(module.LONE_CREDITS)
        vm.fill(5, max_wait_s=0.15)
        vm.end(keys[0], 0.05)
        vm.release(0.05)
        vm.release(_HOLD_S)
        vm.release(0.16)
        self.assertEqual(0, vm.admission.held)

    def test_tiny_target_extended_in_steps(self):
        """A hold is not decided again at once, however short its target is.

        The packet loop waits until the next decision; it would never wait.
        """
        vm = Vm(View(None))
        vm.fill(module.LONE_CREDITS)
        vm.arrive(target_s=1e-6)
        vm.release(0.001)
        self.assertGreater(vm.admission.next_release_at(0.001), 0.02)

    def test_no_target(self):
        """A target of zero leaves no time for a hold."""
        outcome, _ = self._full().arrive(target_s=0.0)
        self.assertEqual(Refuse(RefuseReason.NO_ROOM), outcome)

    def test_hold_disabled(self):
        """Without holds, flows beyond the limit are refused at once."""
        outcome, _ = self._full(hold=False).arrive()
        self.assertEqual(Refuse(RefuseReason.NO_ROOM), outcome)

    def test_urgent_first(self):
        """An urgent flow passes held ones, and they do not refuse it."""
        vm = self._full()
        vm.fill(20, priority=1)
        outcome, urgent = vm.arrive(priority=0)
        self.assertIsInstance(outcome, Hold)
        vm.end(self.keys[0], 0.01)
        self.assertEqual([urgent], [key for key, _ in vm.release(0.01)])

    def test_held_flows_are_not_passed(self):
        """A new flow does not take a free credit before those that wait."""
        vm = self._full()
        _, first = vm.arrive()
        vm.end(self.keys[0], 0.01)
        self.assertIsInstance(vm.arrive(0.01)[0], Hold)
        self.assertEqual([first], [key for key, _ in vm.release(0.01)])

    def test_heavy_account_does_not_refuse_others(self):
        """A flow of another account is held though the queue is full."""
        vm = self._full()
        now = 0.0
        for _ in range(20):
            vm.end(self.keys.pop(), now)
            self.keys += vm.fill(1, now)
            vm.release(now)
        vm.fill(100, now)
        refused = Refuse(RefuseReason.NO_ROOM)
        self.assertEqual(refused, vm.arrive(now)[0])
        self.assertIsInstance(vm.arrive(now, caller="10.0.2.1")[0], Hold)

    def test_retransmission_of_a_held_flow(self):
        """A held flow that arrives again stays held once.

        Two entries of one flow raised a KeyError at the second release.
        """
        vm = self._full()
        first, key = vm.arrive(0.0)
        again, _ = vm.arrive(0.05, key=key)
        self.assertEqual(first, again)
        self.assertEqual(1, vm.admission.held)
        decided = vm.release(1.0)
        self.assertEqual([key], [key for key, _ in decided])
        self.assertFalse(vm.admission.is_held(key))

    def test_cancel(self):
        """An abandoned flow is neither placed nor in the way of others."""
        vm = self._full()
        _, first = vm.arrive()
        _, second = vm.arrive()
        self.assertTrue(vm.admission.is_held(first))
        for key in (first, first, "unknown"):
            vm.admission.cancel(key)
        self.assertFalse(vm.admission.is_held(first))
        self.assertEqual(1, _status(vm, 0.0).held)
        vm.end(self.keys[0], 0.01)
        self.assertEqual([second], [key for key, _ in vm.release(0.01)])

    def test_held_flows_are_bounded(self):
        """Forged early answers do not allow any number of held flows."""
        vm = Vm(View({"a": 100}))
        for _ in range(500):
            _, key = vm.arrive()
            vm.admission.in_progress.end(key, 0.0, learn=True)
        vm.fill(150)
        for _ in range(2 * module.MAX_HELD):
            vm.arrive(target_s=10.0)
        self.assertEqual(module.MAX_HELD, vm.admission.held)
        self.assertIsInstance(vm.arrive(priority=-1)[0], Hold)


class ScarcityTest(TestCase):
    """The shortage of capacity ends soon after its cause."""

    def test_ends(self):
        """Flows are placed freely one second after little use."""
        vm = Vm(View({"a": 4}))
        keys = vm.fill(4)
        self.assertTrue(vm.admission.is_overloaded("s", 0.0))
        for key in keys:
            vm.end(key, 0.1)
        self.assertTrue(vm.admission.is_overloaded("s", 0.9))
        end = 0.1 + module.SCARCITY_HOLD_S + 0.001
        self.assertFalse(vm.admission.is_overloaded("s", end))
        self.assertEqual(AdmitReason.FREE, vm.arrive(end)[0].reason)

    def test_lost_ends(self):
        """Requests whose ends were not seen do not refuse flows for good.

        Without held flows nobody calls `release`, which alone removed them.
        """
        vm = Vm(View(None), hold=False)
        vm.fill(module.LONE_CREDITS)
        self.assertIsInstance(vm.arrive(0.1)[0], Refuse)
        self.assertIsInstance(vm.arrive(1.0)[0], Admit)
        self.assertEqual(1, _status(vm, 1.0).in_progress)

    def test_unknown_service(self):
        """A service without flows is not short of capacity."""
        vm = Vm(View(None))
        self.assertFalse(vm.admission.is_overloaded("unknown", 0.0))
        self.assertEqual([], vm.release(0.0))
        self.assertEqual(math.inf, vm.admission.next_release_at(0.0))

    def test_services_are_independent(self):
        """One service's load holds no flows of another."""
        vm = Vm(View(None))
        vm.fill(module.LONE_CREDITS)
        self.assertIsInstance(vm.arrive()[0], Hold)
        self.assertIsInstance(vm.arrive(service="t")[0], Admit)

    def test_services_are_bounded(self):
        """Services that are gone do not use memory, held flows stay."""
        vm = Vm(View(None))
        vm.fill(module.LONE_CREDITS)
        _, key = vm.arrive()
        for n in range(2 * _admission.MAX_SERVICES):
            vm.arrive(service=f"service-{n}")
        self.assertEqual(_admission.MAX_SERVICES, len(vm.admission.status(0.0)))
        self.assertTrue(vm.admission.is_held(key))
        vm.admission.cancel(key)

    @parameterized.expand([("stands", 5.0), ("goes_back", 1.0)])
    def test_time_that_does_not_advance(self, _, now):
        """Holds neither expire early nor raise, and are placed as usual."""
        vm = Vm(View({"a": 2}))
        keys = vm.fill(2, 5.0)
        vm.arrive(5.0)
        outcome, held = vm.arrive(5.0)
        self.assertIsInstance(outcome, Hold)
        self.assertEqual([], vm.release(now))
        for key in keys:
            vm.end(key, now)
        placed = dict(vm.release(now))
        self.assertIsInstance(placed[held], Admit)

    def test_all_down(self):
        """A VM whose endpoints with a credit are all down still places flows.

        It would otherwise hold and refuse every flow while none is in progress,
        and each refusal would extend the shortage: it would never end.
        """
        vm = Vm(View({"a": 1, "b": 1}))
        keys = vm.fill(2)
        vm.view.down = {"a", "b"}
        held = vm.fill(2)
        for key in keys:
            vm.end(key, 0.05)
        ((first, outcome),) = vm.release(0.05)
        self.assertEqual(Admit(None, AdmitReason.FREE, 0.05), outcome)
        self.assertEqual([], vm.release(0.06))
        vm.end(first, 0.07)
        ((second, _),) = vm.release(0.07)
        self.assertEqual(held, [first, second])


class RetryTest(TestCase):
    """Retries wait behind first attempts and are limited."""

    def _refusing(self, **settings):
        """Returns a VM at its limit that has refused a flow of each route."""
        vm, self.keys = _overloaded(**settings)
        for route in range(30):
            outcome, _ = vm.arrive(route=f"r{route}", target_s=0.0)
            self.assertEqual(Refuse(RefuseReason.NO_ROOM), outcome)
        return vm

    def test_behind_first_attempts(self):
        """A first attempt that came later goes before a retry."""
        vm = self._refusing()
        _, retry = vm.arrive(0.02, route="r0")
        _, first = vm.arrive(0.02, route="r0")
        order = []
        for key in self.keys[:2]:
            vm.end(key, 0.03)
            order += [key for key, _ in vm.release(0.03)]
        self.assertEqual([first, retry], order)

    @parameterized.expand([("on", True), ("off", False)])
    def test_limit(self, _, repeats):
        """Retries beyond the budget are refused, unless disabled."""
        vm = self._refusing(repeats=repeats)
        held = 0
        for route in range(30):
            outcome, key = vm.arrive(0.02, route=f"r{route}")
            vm.admission.cancel(key)
            if isinstance(outcome, Hold):
                held += 1
            else:
                self.assertEqual(Refuse(RefuseReason.REPEAT_LIMIT), outcome)
        self.assertEqual(10 if repeats else 30, held)

    def test_retry_with_room(self):
        """A retry is placed if there is room, whatever the budget is."""
        vm = self._refusing()
        for route in range(30):
            _, key = vm.arrive(0.02, route=f"r{route}")
            vm.admission.cancel(key)
        vm.arrive(0.02, route="r", target_s=0.0)
        for key in self.keys:
            vm.end(key, 0.03)
        self.assertIsInstance(vm.arrive(0.03, route="r")[0], Admit)
