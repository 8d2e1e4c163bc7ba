"""Tests of standins._book."""

from parameterized import parameterized
from testtools import TestCase

from standins import _book


class BudgetTest(TestCase):
    """Tests of the platform's call budget."""

    def test_calls_over_budget_are_refused_and_counted(self):
        """Readers make more calls within a second than the budget allows.

        Calls beyond the budget are refused but still counted.
        """
        budget = _book.Budget(2)
        allowed = [budget.take(now) for now in (0.0, 0.5, 0.9, 1.0, 1.2)]
        self.assertEqual([True, True, False, True, False], allowed)
        self.assertEqual((5, 2), (budget.calls, budget.over))


class BookTest(TestCase):
    """Tests of the values that readers see."""

    def test_vm_list_is_visible_after_lag(self):
        """Readers see a changed VM list after the lag and not before."""
        book = _book.Book(lag_s=1.0)
        book.list_vms([{"name": "a"}], 10.0, at_once=False)
        self.assertEqual((), book.seen(10.9).vms)
        self.assertEqual(({"name": "a"},), book.seen(11.0).vms)

    def test_frozen_platform_serves_old_values(self):
        """A frozen platform keeps serving the values it had.

        A manifest published meanwhile is not visible until the freeze ends.
        """
        book = _book.Book()
        book.publish(b'{"version": 1}')
        book.set_fault(_book.Fault.FROZEN, 0.0, 5.0)
        book.publish(b'{"version": 2}')
        self.assertEqual(1, book.seen(6.0).version)
        book.set_fault(_book.Fault.OK, 0.0, 7.0)
        self.assertEqual(2, book.seen(8.0).version)

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
        book = _book.Book()
        book.publish(text)
        self.assertEqual(
            (text, version), (book.seen(0.0).manifest, book.seen(0.0).version)
        )
