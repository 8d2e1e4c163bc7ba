"""Items of the platform's store, as changes of endpoints and routes."""

import base64
import binascii
from typing import Any

from result import Err, Ok, Result

from pollenmast.platform._entries import (
    CONFIGURATION_KEY,
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
    parse_configuration,
    parse_drain,
    parse_endpoint,
)
from pollenmast.steering import (
    Change,
    EndpointAnnounced,
    EndpointRemoved,
    RoutesPublished,
    Update,
    ZoneDrained,
    ZoneRestored,
)


def read_items(
    items: list[Any],
    revision: int,
    *,
    whole: bool,
    all_drains: bool = False,
    epoch: int = 0,
) -> Update:
    """Returns what items tell; those that say nothing usable are refused.

    Args:
        items: The store's items or events.
        revision: The store's revision up to which they are complete.
        whole: Whether they are all that there is.
        all_drains: Whether all drains are among them.
        epoch: Which copy of the store has answered.
    """
    changes, refused, unclear = [], [], []
    for item in items:
        parsed = _change(item)
        if isinstance(parsed, Ok):
            if parsed.ok_value is not None:
                changes.append(parsed.ok_value)
            continue
        refused.append(parsed.err_value)
        removed = _unusable(item)
        if removed is not None:
            changes.append(removed)
        key = _key(item) or ""
        if key.startswith(DRAIN_PREFIX):
            unclear.append(key.removeprefix(DRAIN_PREFIX))
    return Update(
        tuple(changes),
        revision,
        whole,
        tuple(refused),
        tuple(unclear),
        all_drains,
        epoch,
    )


def _key(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    key, revision = item.get("key"), item.get("revision")
    known = isinstance(key, str) and isinstance(revision, int)
    return key if known else None


def _change(item: Any) -> Result[Change | None, str]:
    """Returns an item's change, None for keys that say nothing to us."""
    key = _key(item)
    if key is None:
        return Err("item without key or revision")
    if not _is_known(key):
        return Ok(None)
    revision = item["revision"]
    if item.get("deleted") is True:
        return Ok(_removal(key, revision))
    try:
        value = base64.b64decode(item.get("value"), validate=True)
    except (TypeError, ValueError, binascii.Error):
        return Err(f"{key}: value is not base64"[:120])
    return _written(key, value, revision)


def _is_known(key: str) -> bool:
    prefixes = (ENDPOINT_PREFIX, DRAIN_PREFIX)
    return key == CONFIGURATION_KEY or key.startswith(prefixes)


def _removal(key: str, revision: int) -> Change | None:
    if key.startswith(ENDPOINT_PREFIX):
        return EndpointRemoved(key.removeprefix(ENDPOINT_PREFIX), revision)
    if key.startswith(DRAIN_PREFIX):
        return ZoneRestored(key.removeprefix(DRAIN_PREFIX), revision)
    return None


def _written(key: str, value: bytes, revision: int) -> Result[Change, str]:
    if key.startswith(ENDPOINT_PREFIX):
        endpoint = parse_endpoint(key.removeprefix(ENDPOINT_PREFIX), value)
        return endpoint.map(lambda known: EndpointAnnounced(known, revision))
    if key.startswith(DRAIN_PREFIX):
        zone = parse_drain(key.removeprefix(DRAIN_PREFIX), value)
        return zone.map(lambda known: ZoneDrained(known, revision))
    table = parse_configuration(value)
    return table.map(lambda known: RoutesPublished(known, revision))


def _unusable(item: Any) -> EndpointRemoved | None:
    """Returns the removal of an endpoint whose entry became unreadable.

    The entry no longer names an endpoint to use, so new flows stay away; its
    open flows go on while it answers.
    """
    key = _key(item)
    if key is None or not key.startswith(ENDPOINT_PREFIX):
        return None
    return EndpointRemoved(key.removeprefix(ENDPOINT_PREFIX), item["revision"])
