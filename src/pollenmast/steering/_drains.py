"""Availability zones that the operator has drained.

A drained zone takes no new flows; its open flows continue until they end.
"""

import attrs

from pollenmast.steering._changes import Update, ZoneDrained, ZoneRestored
from pollenmast.steering._position import EARLIER_EPOCH_REVISION

MAX_ZONES = 1024
"""The number of zones, drained or restored, beyond which the least recently
changed restored zone is dropped. If all are drained, no other can be."""


@attrs.frozen
class _ZoneState:
    drained: bool
    revision: int


class Drains:
    """The latest state of each zone that has been drained before."""

    def __init__(self):
        self._zones: dict[str, _ZoneState] = {}

    @property
    def zones(self) -> dict[str, int]:
        """The drained zones, each with the revision of its drain."""
        return {
            zone: state.revision
            for zone, state in self._zones.items()
            if state.drained
        }

    @property
    def confirmed(self) -> dict[str, int]:
        """The drained zones that the directory's current epoch lists."""
        return {
            zone: revision
            for zone, revision in self.zones.items()
            if revision != EARLIER_EPOCH_REVISION
        }

    def begin_epoch(self) -> None:
        """Starts a new epoch after the directory was restored from a copy.

        Drains stay in force until the new epoch confirms them or
        `adopt_restored_state` ends them: the copy may lack a drain that the
        operator has not yet written again.
        """
        self._zones = {
            zone: _ZoneState(True, EARLIER_EPOCH_REVISION)
            for zone in self.zones
        }

    def adopt_restored_state(self) -> list[ZoneRestored]:
        """Ends the drains that the current epoch has not confirmed.

        Returns:
            The zones that are in service again.
        """
        unconfirmed = self.zones.keys() - self.confirmed.keys()
        for zone in unconfirmed:
            del self._zones[zone]
        return [
            ZoneRestored(zone, EARLIER_EPOCH_REVISION) for zone in unconfirmed
        ]

    def is_drained(self, zone: str) -> bool:
        """Whether a zone takes no new flows."""
        state = self._zones.get(zone)
        return state is not None and state.drained

    def apply(self, update: Update) -> list[ZoneDrained | ZoneRestored]:
        """Applies the zone changes of an update.

        Args:
            update: The update. If it lists all drains, zones that it does not
                name are restored.

        Returns:
            The changes that took effect.
        """
        changes = [
            change
            for change in update.changes
            if isinstance(change, ZoneDrained | ZoneRestored)
        ]
        if update.complete or update.all_drains:
            listed = {change.zone for change in changes}
            listed.update(update.unclear_zones)
            changes += [
                ZoneRestored(zone, update.revision)
                for zone in self.confirmed
                if zone not in listed
            ]
        return [change for change in changes if self._apply_change(change)]

    def _apply_change(self, change: ZoneDrained | ZoneRestored) -> bool:
        """Applies one change; returns whether the zone's state changed."""
        drained = isinstance(change, ZoneDrained)
        known = self._zones.get(change.zone)
        if known is not None and change.revision <= known.revision:
            return False
        if known is None and not self._has_room():
            return False
        # Moves the zone to the end: the dictionary is ordered by last change.
        self._zones.pop(change.zone, None)
        self._zones[change.zone] = _ZoneState(drained, change.revision)
        return drained != (known is not None and known.drained)

    def _has_room(self) -> bool:
        """Whether another zone may be added; makes room if it can."""
        if len(self._zones) < MAX_ZONES:
            return True
        restored = next(
            (zone for zone, state in self._zones.items() if not state.drained),
            None,
        )
        if restored is None:
            return False
        del self._zones[restored]
        return True
