"""Converts items of the platform's store to changes of endpoints and routes."""

import base64
import binascii
from typing import Any

from result import Err, Ok, Result

from pollenmast.platform._configuration import parse_with_ignored
from pollenmast.platform._entries import (
    CONFIGURATION_KEY,
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
    parse_drain,
    parse_endpoint,
)
from pollenmast.platform._fields import is_revision, is_text
from pollenmast.steering import (
    Change,
    EndpointAnnounced,
    EndpointRemoved,
    RoutesPublished,
    Update,
    ZoneDrained,
    ZoneRestored,
)


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
    refused: list[str] = []
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


def _parse_item(item: Any, refused: list[str]) -> Result[Change | None, str]:
    """Returns an item's change, or None if its key is not used here.

    Args:
        item: The item.
        refused: Gets the values that are ignored in a valid configuration.
    """
    key = _item_key(item)
    if key is None:
        return Err("item without valid key or revision")
    if not _is_relevant(key):
        return Ok(None)
    revision = item["revision"]
    if item.get("deleted") is True:
        return Ok(_parse_deletion(key, revision))
    try:
        value = base64.b64decode(item.get("value"), validate=True)
    except (TypeError, ValueError, binascii.Error):
        return Err(f"{key}: value is not base64"[:120])
    return _parse_write(key, value, revision, refused)


def _is_relevant(key: str) -> bool:
    prefixes = (ENDPOINT_PREFIX, DRAIN_PREFIX)
    return key == CONFIGURATION_KEY or key.startswith(prefixes)


def _parse_deletion(key: str, revision: int) -> Change | None:
    if key.startswith(ENDPOINT_PREFIX):
        return EndpointRemoved(key.removeprefix(ENDPOINT_PREFIX), revision)
    if key.startswith(DRAIN_PREFIX):
        return ZoneRestored(key.removeprefix(DRAIN_PREFIX), revision)
    return None


def _parse_write(
    key: str, value: bytes, revision: int, refused: list[str]
) -> Result[Change, str]:
    if key.startswith(ENDPOINT_PREFIX):
        endpoint = parse_endpoint(key.removeprefix(ENDPOINT_PREFIX), value)
        return endpoint.map(lambda known: EndpointAnnounced(known, revision))
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
    return EndpointRemoved(key.removeprefix(ENDPOINT_PREFIX), item["revision"])
