"""Converts items of the platform's store to changes of endpoints and routes."""

import base64
import binascii
from typing import Any

from result import Err, Ok, Result

from pollenmast.counters import EntryFault
from pollenmast.platform._configuration import parse_with_ignored
from pollenmast.platform._entries import (
    CONFIGURATION_KEY,
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
    MAX_ENTRY_BYTES,
    is_zone,
    parse_drain,
    parse_endpoint,
)
from pollenmast.platform._fields import FieldError, is_revision
from pollenmast.platform._identity import identify
from pollenmast.steering import (
    Change,
    EndpointAnnounced,
    EndpointRemoved,
    RefusedEntry,
    RoutesPublished,
    Update,
    ZoneDrained,
    ZoneRestored,
    is_text,
)

_MAX_ENTRY_BASE64 = (MAX_ENTRY_BYTES + 2) // 3 * 4


def parse_items(
    items: list[Any],
    revision: int,
    *,
    complete: bool,
    all_drains: bool = False,
    epoch: int = 0,
) -> Update:
    """Converts items to an update, which lists invalid items as refused.

    Args:
        items: The store's items or events.
        revision: The store's revision up to which the items are complete.
        complete: Whether the items are everything that the store holds.
        all_drains: Whether the items include every drain.
        epoch: The store's epoch in its response.

    Returns:
        The update. An endpoint whose entry is invalid counts as removed, and a
        zone whose drain is invalid is listed as unclear. Ignored values of a
        configuration are listed as refused; the configuration is used.
    """
    changes, unclear = [], []
    refused: list[RefusedEntry] = []
    for item in items:
        parsed = _parse_item(item, refused)
        if isinstance(parsed, Ok):
            if parsed.ok_value is not None:
                changes.append(parsed.ok_value)
            continue
        refused.append(parsed.err_value)
        removed = _removal_of_unreadable(item)
        if removed is not None:
            changes.append(removed)
        key = _item_key(item) or ""
        if key.startswith(DRAIN_PREFIX):
            unclear.append(key.removeprefix(DRAIN_PREFIX))
    return Update(
        tuple(changes),
        revision,
        complete,
        tuple(refused),
        tuple(unclear),
        all_drains,
        epoch,
    )


def _item_key(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    key, revision = item.get("key"), item.get("revision")
    return key if is_text(key) and is_revision(revision) else None


def _parse_item(
    item: Any, refused: list[RefusedEntry]
) -> Result[Change | None, RefusedEntry]:
    """Returns an item's change, or None if its key is not used here.

    Args:
        item: The item.
        refused: Gets the values that are ignored in a valid configuration.
    """
    key = _item_key(item)
    if key is None:
        description = "item without valid key or revision"
        return Err(RefusedEntry(EntryFault.UNREADABLE, description))
    if not _is_relevant(key):
        return Ok(None)
    if item.get("deleted") is True:
        return Ok(_parse_deletion(key, item["revision"]))
    return _decode_value(key, item.get("value")).and_then(
        lambda value: _parse_write(item, value, refused)
    )


def _is_relevant(key: str) -> bool:
    prefixes = (ENDPOINT_PREFIX, DRAIN_PREFIX)
    return key == CONFIGURATION_KEY or key.startswith(prefixes)


def _decode_value(key: str, value: Any) -> Result[bytes, RefusedEntry]:
    """Decodes the value of an item unless it is too long for its key."""
    if not isinstance(value, str):
        return Err(RefusedEntry(EntryFault.UNREADABLE, f"{key}: no value"))
    if key != CONFIGURATION_KEY and len(value) > _MAX_ENTRY_BASE64:
        description = f"{key}: value of {len(value)} characters"
        return Err(RefusedEntry(EntryFault.SIZE, description))
    try:
        return Ok(base64.b64decode(value, validate=True))
    except (ValueError, binascii.Error):
        description = f"{key}: value is not base64"
        return Err(RefusedEntry(EntryFault.UNREADABLE, description))


def _parse_deletion(key: str, revision: int) -> Change | None:
    """Returns the change of a deletion, None if nothing used the key."""
    if key.startswith(ENDPOINT_PREFIX):
        return _removal(key, revision)
    zone = key.removeprefix(DRAIN_PREFIX)
    if key.startswith(DRAIN_PREFIX) and is_zone(zone):
        return ZoneRestored(zone, revision)
    return None


def _parse_write(
    item: dict[str, Any], value: bytes, refused: list[RefusedEntry]
) -> Result[Change, RefusedEntry]:
    key, revision = item["key"], item["revision"]
    if key.startswith(ENDPOINT_PREFIX):
        endpoint = parse_endpoint(key.removeprefix(ENDPOINT_PREFIX), value)
        created = item.get("created")
        return endpoint.map(
            lambda known: EndpointAnnounced(
                known, revision, created if is_revision(created) else None
            )
        )
    if key.startswith(DRAIN_PREFIX):
        zone = parse_drain(key.removeprefix(DRAIN_PREFIX), value)
        return zone.map(lambda known: ZoneDrained(known, revision))
    parsed = parse_with_ignored(value)
    if isinstance(parsed, Err):
        return parsed
    refused.extend(parsed.ok_value.ignored)
    return Ok(RoutesPublished(parsed.ok_value.table, revision))


def _removal_of_unreadable(item: Any) -> EndpointRemoved | None:
    """Returns the removal of the endpoint that an invalid item belongs to.

    The entry no longer describes a usable endpoint, so the endpoint gets no
    new flows. Its open flows continue as long as it responds.
    """
    key = _item_key(item)
    if key is None or not key.startswith(ENDPOINT_PREFIX):
        return None
    return _removal(key, item["revision"])


def _removal(key: str, revision: int) -> EndpointRemoved | None:
    """Returns the removal of an endpoint, None if the key has no valid id."""
    name = key.removeprefix(ENDPOINT_PREFIX)
    try:
        identify(name)
    except FieldError:
        return None
    return EndpointRemoved(name, revision)
