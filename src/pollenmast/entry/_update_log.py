"""Logs the updates that a VM applies from the directory or a peer."""

from pollenmast.events import (
    DIRECTORY_RESTORED,
    ENDPOINT_CHANGED,
    ENDPOINT_LAPSED,
    ENTRY_REFUSED,
    ROUTES_IN_FORCE,
    TOKEN_SHARED,
    ZONE_DRAINED,
    ZONE_RESTORED,
    EventLog,
)
from pollenmast.steering import (
    Applied,
    Position,
    Presence,
    Record,
    Update,
    ZoneDrained,
)


class UpdateLog:
    """Writes one log line for each change of the VM's state."""

    def __init__(self, log: EventLog):
        self._log = log

    def log_restore(self, known: Position, update: Update, source: str) -> None:
        """Logs that the directory was restored from a copy.

        Args:
            known: The position that the VM had reached before.
            update: The first update from the restored directory.
            source: Where the update came from: the directory or a peer.
        """
        self._log.write(
            DIRECTORY_RESTORED,
            before=known.epoch,
            known=known.revision,
            epoch=update.epoch,
            revision=update.revision,
            source=source,
        )

    def log_refused(
        self, update: Update, applied: Applied, source: str
    ) -> None:
        """Logs the entries of an update that are not used."""
        for entry in (*update.refused, *applied.refused):
            self._log.write(
                ENTRY_REFUSED,
                entry=entry.description,
                fault=entry.fault,
                source=source,
            )

    def log_routes(
        self, applied: Applied, position: Position, source: str
    ) -> None:
        """Logs the configuration that came into force, if any."""
        if applied.table is None:
            return
        self._log.write(
            ROUTES_IN_FORCE,
            version=applied.table.version,
            routes=len(applied.table.routes),
            revision=position.revision,
            epoch=position.epoch,
            source=source,
        )

    def log_zones(self, applied: Applied, epoch: int, source: str) -> None:
        """Logs availability zones that were drained or restored to service."""
        for change in applied.zones:
            drained = isinstance(change, ZoneDrained)
            self._log.write(
                ZONE_DRAINED if drained else ZONE_RESTORED,
                zone=change.zone,
                revision=change.revision,
                epoch=epoch,
                source=source,
            )

    def log_endpoints(self, applied: Applied, epoch: int, source: str) -> None:
        """Logs endpoints that were added, changed or removed."""
        for record in applied.records:
            self._log_endpoint(record, epoch, source)
        for record in applied.shadowed:
            self._log.write(
                TOKEN_SHARED,
                endpoint=record.name,
                service=record.endpoint.service,
                token=f"{record.endpoint.token:08x}",
            )

    def _log_endpoint(self, record: Record, epoch: int, source: str) -> None:
        lapsed = record.presence is Presence.LAPSED
        self._log.write(
            ENDPOINT_LAPSED if lapsed else ENDPOINT_CHANGED,
            endpoint=record.endpoint.name,
            service=record.endpoint.service,
            zone=record.endpoint.zone,
            draining=record.endpoint.draining,
            revision=record.revision,
            epoch=epoch,
            source=source,
        )
