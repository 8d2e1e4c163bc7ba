"""Keeps an endpoint's address and service until a change of them lasts.

Another writer may overwrite the entry of a living endpoint. The packets of its
open flows would go to an address where nobody holds them, or requests of
another service to the endpoint, until it writes its entry again.
"""

import attrs

from pollenmast.steering._model import Endpoint
from pollenmast.steering._record import Presence, Record

MOVE_SETTLE_S = 4.0
"""How long an entry with another address or service has to last until it is
used, in seconds. A living endpoint writes its own again with each heartbeat,
which takes about a second."""


def hold_move(record: Record, endpoint: Endpoint, now: float) -> Endpoint:
    """Returns an announced endpoint as it is to be used for now.

    Args:
        record: What is known of the endpoint.
        endpoint: The endpoint as its entry describes it.
        now: The time of the runtime's clock in seconds.
    """
    known = record.endpoint
    if _place(endpoint) == _place(known) or _is_lost(record):
        record.moved = None
        return endpoint
    if record.moved is None or _place(record.moved) != _place(endpoint):
        record.moved_at = now
    record.moved = endpoint
    return attrs.evolve(
        endpoint, host=known.host, port=known.port, service=known.service
    )


def take_lasting_move(record: Record, now: float) -> Endpoint | None:
    """Returns an entry that was held back and is to be used now, if any."""
    moved = record.moved
    lasting = now - record.moved_at >= MOVE_SETTLE_S
    if moved is None or not (lasting or _is_lost(record)):
        return None
    record.moved = None
    return moved


def _place(endpoint: Endpoint) -> tuple[str, int, str]:
    return endpoint.host, endpoint.port, endpoint.service


def _is_lost(record: Record) -> bool:
    return record.presence is Presence.GONE or record.health.down
