"""Which availability zones the operator has drained.

A drained zone takes no new flows; its open flows go on until they end.
"""

import attrs

from pollenmast.steering._changes import Update, ZoneDrained, ZoneRestored
from pollenmast.steering._position import EARLIER_EPOCH

MOST_ZONES = 1024
"""Zones remembered, drained or restored; beyond that the oldest restored ones
are forgotten."""


@attrs.frozen
class _State:
    drained: bool
    revision: int


class Drains:
    """The latest state of each zone that was ever drained."""

    def __init__(self):
        self._zones: dict[str, _State] = {}

    @property
    def zones(self) -> dict[str, int]:
        """The drained zones and the revision since which each is drained."""
        return {
            zone: state.revision
            for zone, state in self._zones.items()
            if state.drained
        }

    @property
    def confirmed(self) -> dict[str, int]:
        """The drained zones that the directory's present epoch has told."""
        return {
            zone: revision
            for zone, revision in self.zones.items()
            if revision != EARLIER_EPOCH
        }

    def begin_epoch(self) -> None:
        """The directory was restored: what is known is older than its news.

        Drains stay in force until they are confirmed or `settle` ends them: a
        copy may lack one that the operator has not yet written again.
        """
        self._zones = {zone: _State(True, EARLIER_EPOCH) for zone in self.zones}

    def settle(self) -> list[ZoneRestored]:
        """Ends the drains that the present epoch has not confirmed."""
        unconfirmed = self.zones.keys() - self.confirmed.keys()
        for zone in unconfirmed:
            del self._zones[zone]
        return [ZoneRestored(zone, EARLIER_EPOCH) for zone in unconfirmed]

    def is_drained(self, zone: str) -> bool:
        """Whether new flows are kept away from a zone."""
        state = self._zones.get(zone)
        return state is not None and state.drained

    def apply(self, update: Update) -> list[ZoneDrained | ZoneRestored]:
        """Takes in what the directory told; returns what has changed.

        Args:
            update: Changes of zones among others. One that lists all drains
                restores the zones that it does not name.
        """
        changes = [
            change
            for change in update.changes
            if isinstance(change, ZoneDrained | ZoneRestored)
        ]
        if update.whole or update.all_drains:
            listed = {change.zone for change in changes}
            listed.update(update.unclear_zones)
            changes += [
                ZoneRestored(zone, update.revision)
                for zone in self.confirmed
                if zone not in listed
            ]
        return [change for change in changes if self._take(change)]

    def _take(self, change: ZoneDrained | ZoneRestored) -> bool:
        """Takes in one change; returns whether the zone's state differs."""
        drained = isinstance(change, ZoneDrained)
        known = self._zones.get(change.zone)
        if known is not None and change.revision <= known.revision:
            return False
        # The latest change goes to the end of the dictionary.
        self._zones.pop(change.zone, None)
        self._zones[change.zone] = _State(drained, change.revision)
        self._forget_oldest()
        return drained != (known is not None and known.drained)

    def _forget_oldest(self) -> None:
        if len(self._zones) <= MOST_ZONES:
            return
        for zone, state in self._zones.items():
            if not state.drained:
                del self._zones[zone]
                return
