"""Detects answers that are far shorter than usual.

A VM does not see answers, but a client's acknowledgements show how long they
are. An endpoint that failed, or had no room, says so in fewer bytes than the
requested content has.
"""

import collections

MAX_ROUTES = 256
"""Maximum number of routes tracked; the one added first is dropped."""

MIN_ANSWERS = 8
"""Number of answers of a route before any of them is judged."""

MAX_ANSWERS = 400
"""Number of answers of a route beyond which all counts are halved, so that
older answers lose weight."""

USUAL_QUANTILE = 0.25
"""Share of answers that may be shorter than the usual size, which is this
quantile. Where more answers fail, short ones are usual and say nothing about a
single endpoint."""

SHORTER_BITS = 2
"""Number of powers of two by which a short answer is below the usual size."""

RouteKey = tuple[str, str, int]
"""Service, address and port."""


class AnswerLengths:
    """Distribution of each route's answer lengths, as powers of two."""

    def __init__(self):
        self._counts: dict[RouteKey, collections.Counter[int]] = {}

    def observe(self, route: RouteKey, length: int) -> bool:
        """Records an answer; returns whether it is unusually short."""
        counts = self._counts.get(route)
        if counts is None:
            if len(self._counts) >= MAX_ROUTES:
                del self._counts[next(iter(self._counts))]
            counts = self._counts[route] = collections.Counter()
        size = max(0, length).bit_length()
        usual = _usual_size(counts)
        counts[size] += 1
        if counts.total() > MAX_ANSWERS:
            for each in list(counts):
                counts[each] //= 2
        return usual is not None and size <= usual - SHORTER_BITS


def _usual_size(counts: collections.Counter[int]) -> int | None:
    total = counts.total()
    if total < MIN_ANSWERS:
        return None
    left = USUAL_QUANTILE * total
    for size in sorted(counts):
        left -= counts[size]
        if left < 0:
            return size
    return None
