"""Finds entries that lack what the other entries of their service state.

Whether endpoints state when they started depends on the deployment, so an entry
without it is not incomplete by itself. Where the others of its service state
it, such an entry comes from another writer, and its address may belong to
another service. Only these others tell the two cases apart.
"""

from collections import Counter
from collections.abc import Iterable

from pollenmast.steering._model import NO_START_STATED
from pollenmast.steering._record import Record

MAX_INCOMPLETE_SHARE = 0.25
"""Maximum share of a service's entries that are taken for incomplete. While its
endpoints are replaced by others that state more or less than they did, entries
of both kinds are sound, and leaving out many would overload the rest."""


def find_incomplete(records: Iterable[Record]) -> frozenset[str]:
    """Returns the names of the endpoints whose entries are incomplete.

    Args:
        records: All records, also of endpoints that are gone: when most of a
            service is lost at once, what is left is no measure.
    """
    total: Counter[str] = Counter()
    lacking: dict[str, list[str]] = {}
    for record in records:
        endpoint = record.endpoint
        if endpoint.started_ms is not None:
            total[endpoint.service] += 1
        if endpoint.started_ms == NO_START_STATED:
            lacking.setdefault(endpoint.service, []).append(endpoint.name)
    return frozenset(
        name
        for service, names in lacking.items()
        if len(names) <= MAX_INCOMPLETE_SHARE * total[service]
        for name in names
    )
