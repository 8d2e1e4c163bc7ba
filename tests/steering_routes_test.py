"""Tests of steering._routes: attributes while builds differ."""

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.steering import RoutesPublished
from pollenmast.steering._routes import ActiveRoutes
from tests import steering_group as group

ADDRESS = (group.VIP, group.PORT)


def _table(version: int, priority: int | None):
    table = group.table(version)
    route = attrs.evolve(table.routes[ADDRESS], priority=priority)
    return attrs.evolve(table, routes={ADDRESS: route})


class AttributesTest(TestCase):
    """Attributes that a peer of the previous build left out."""

    @parameterized.expand(
        [
            ("filled_by_directory", (2, None), (2, 1), 1),
            ("kept_from_old_peer", (2, 1), (2, None), 1),
            ("kept_if_older", (2, 1), (1, 0), 1),
            ("not_from_older", (2, None), (1, 0), None),
            ("replaced_by_newer", (2, 1), (3, 0), 0),
        ]
    )
    def test_same_version(self, _, first, second, priority):
        """A table of the same version completes the known attributes.

        Otherwise a route stays outside admission control on this VM until the
        operator changes it.
        """
        routes = ActiveRoutes()
        for table in (first, second):
            routes.apply(RoutesPublished(_table(*table), 1))
        self.assertEqual(priority, routes.table.routes[ADDRESS].priority)
