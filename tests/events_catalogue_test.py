"""Tests of events._catalogue."""

from testtools import TestCase

from pollenmast import events
from pollenmast.events import CATALOGUE, Event

_GROUPS = range(1, 6)


class CatalogueTest(TestCase):
    """Operators and their alerts rely on the numbers and names of events."""

    def test_complete(self):
        """Every event that the package exports is in the catalogue."""
        offered = {
            value for value in vars(events).values() if isinstance(value, Event)
        }
        self.assertEqual(offered, set(CATALOGUE))

    def test_unique(self):
        """No number and no name is used twice."""
        numbers = [event.number for event in CATALOGUE]
        names = [event.name for event in CATALOGUE]
        self.assertEqual(len(numbers), len(set(numbers)))
        self.assertEqual(len(names), len(set(names)))

    def test_numbered_by_group(self):
        """Each number belongs to one of the documented groups."""
        for event in CATALOGUE:
            self.assertIn(event.number // 100, _GROUPS, event.name)
            self.assertTrue(event.meaning and event.action, event.name)
