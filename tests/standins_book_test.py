"""Tests of standins._book."""

from parameterized import parameterized
from testtools import TestCase

from standins import _book


class BudgetTest(TestCase):
    """The platform counts each call."""

    def test_more_than_the_budget_is_refused(self):
        """Readers call more often within a second than the platform allows.

        Each call beyond the budget is answered 429 and still counted.
        """
        budget = _book.Budget(2)
        allowed = [budget.take(now) for now in (0.0, 0.5, 0.9, 1.0, 1.2)]
        self.assertEqual([True, True, False, True, False], allowed)
        self.assertEqual((5, 2), (budget.calls, budget.over))


class BookTest(TestCase):
    """What readers see follows what was set, as late as a fault has it."""

    def test_list_lags(self):
        """A changed VM list shows after the lag and not before."""
        book = _book.Book(lag_s=1.0)
        book.list_vms([{"name": "a"}], 10.0, at_once=False)
        self.assertEqual((), book.seen(10.9).vms)
        self.assertEqual(({"name": "a"},), book.seen(11.0).vms)

    def test_frozen_shows_old_values(self):
        """A frozen platform goes on answering with what it had.

        Operators publish and nobody sees it until the freeze ends.
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
    def test_any_text_is_stored(self, _, text, version):
        """The platform stores what it is given, valid or not."""
        book = _book.Book()
        book.publish(text)
        self.assertEqual(
            (text, version), (book.seen(0.0).manifest, book.seen(0.0).version)
        )
