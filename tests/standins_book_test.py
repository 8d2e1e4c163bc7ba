"""Tests of standins._platform_state."""

from parameterized import parameterized
from testtools import TestCase

from standins import _platform_state


class BudgetTest(TestCase):
    """Tests of the platform's call budget."""

    def test_calls_over_budget_are_refused_and_counted(self):
        """Readers make more calls within a second than the budget allows.

        Calls beyond the budget are refused but still counted.
        """
        budget = _platform_state.Budget(2)
        allowed = [budget.take(now) for now in (0.0, 0.5, 0.9, 1.0, 1.2)]
        self.assertEqual([True, True, False, True, False], allowed)
        self.assertEqual((5, 2), (budget.calls, budget.over))


class PlatformStateTest(TestCase):
    """Tests of the values that readers see."""

    def test_vm_list_is_visible_after_lag(self):
        """Readers see a changed VM list after the lag and not before."""
        state = _platform_state.PlatformState(lag_s=1.0)
        state.list_vms([{"name": "a"}], 10.0, at_once=False)
        self.assertEqual((), state.visible(10.9).vms)
        self.assertEqual(({"name": "a"},), state.visible(11.0).vms)

    def test_frozen_platform_serves_old_values(self):
        """A frozen platform keeps serving the values it had.

        A manifest published meanwhile is not visible until the freeze ends.
        """
        state = _platform_state.PlatformState()
        state.publish(b'{"version": 1}')
        state.set_fault(_platform_state.Fault.FROZEN, 0.0, 5.0)
        state.publish(b'{"version": 2}')
        self.assertEqual(1, state.visible(6.0).version)
        state.set_fault(_platform_state.Fault.OK, 0.0, 7.0)
        self.assertEqual(2, state.visible(8.0).version)

    @parameterized.expand(
        [
            ("whole", b'{"version": 7}', 7),
            ("no_json", b"{", 0),
            ("no_version", b"{}", 0),
            ("no_number", b'{"version": "7"}', 0),
            ("no_object", b"[]", 0),
        ]
    )
    def test_invalid_manifests_are_stored(self, _, text, version):
        """The platform stores any text as a manifest, valid or not."""
        state = _platform_state.PlatformState()
        state.publish(text)
        self.assertEqual(
            (text, version),
            (state.visible(0.0).manifest, state.visible(0.0).version),
        )
