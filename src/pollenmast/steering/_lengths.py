"""Which answers are far shorter than usual.

A VM sees no answer. A client's acknowledgements tell how long it is: that an
endpoint failed, or had no room, is said in fewer bytes than what was asked for.
"""

import collections

MOST_ROUTES = 256
"""Routes whose answers are known; the oldest one gives way."""

LEAST_ANSWERS = 8
"""Answers of a route before any of them is judged."""

MOST_ANSWERS = 400
"""Answers that count; beyond them the weight of all is halved."""

USUAL_PART = 0.25
"""The part of answers that may be shorter than what is usual. Where more of
them fail, short answers are usual, and say nothing of one endpoint."""

SHORTER_BITS = 2
"""How many powers of two shorter an answer has to be."""

RouteKey = tuple[str, str, int]
"""Service, address and port."""


class AnswerLengths:
    """How long the answers of each route are, as powers of two."""

    def __init__(self):
        self._counts: dict[RouteKey, collections.Counter[int]] = {}

    def is_short(self, route: RouteKey, length: int) -> bool:
        """Takes in an answer; returns whether it is unusually short."""
        counts = self._counts.get(route)
        if counts is None:
            if len(self._counts) >= MOST_ROUTES:
                del self._counts[next(iter(self._counts))]
            counts = self._counts[route] = collections.Counter()
        size = max(0, length).bit_length()
        usual = _usual(counts)
        counts[size] += 1
        if counts.total() > MOST_ANSWERS:
            for each in list(counts):
                counts[each] //= 2
        return usual is not None and size <= usual - SHORTER_BITS


def _usual(counts: collections.Counter[int]) -> int | None:
    total = counts.total()
    if total < LEAST_ANSWERS:
        return None
    left = USUAL_PART * total
    for size in sorted(counts):
        left -= counts[size]
        if left < 0:
            return size
    return None
