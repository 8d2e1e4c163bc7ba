"""Switches off single mechanisms to measure what each contributes.

The product has no such switches. The benchmark patches a constant or a function
for the duration of one run.
"""

import contextlib
import math
from collections.abc import Iterator
from unittest import mock

import attrs

from pollenmast.admission import _retry
from pollenmast.decisions import (
    _backoff,
    _endpoint,
    _evidence,
    _holding,
    _placement,
    _request_capacity,
    _service,
    _trust,
)


class FirstComeQueue(_service.FairQueue):
    """FIFO queue that drops the newest flow when it is full."""

    def pop(self, now: float):
        """Removes and returns the oldest flow, or None if empty."""
        return self.remove(next(iter(self._flows))) if len(self) else None

    def drop_one(self, newcomer, now: float):
        """Removes and returns the new flow."""
        return self.remove(newcomer.request.ticket)

    def may_hold(self, caller: str, most: int) -> bool:
        """Returns True, as there is no limit per network."""
        return True

    def count_held(self, caller: str) -> int:
        """Returns 0, so that no caller reaches its limit."""
        return 0


def _default_or_random(placement, default, candidates, now):
    """Chooses the default endpoint, or a random one if that has no room."""
    for candidate in candidates:
        if candidate.record.name == default:
            return candidate
    return placement._rng.choice(candidates)


@attrs.frozen
class Switch:
    """A mechanism and the patches that switch it off.

    Attributes:
        name: Name of the mechanism.
        patterns: Load patterns that the mechanism is meant for.
        changes: Object, attribute name and new value of each patch.
    """

    name: str
    patterns: tuple[str, ...]
    changes: tuple[tuple[object, str, object], ...]

    @contextlib.contextmanager
    def disabled(self) -> Iterator[None]:
        """Returns a context manager that switches the mechanism off."""
        with contextlib.ExitStack() as stack:
            for module, attribute, value in self.changes:
                stack.enter_context(mock.patch.object(module, attribute, value))
            yield


SWITCHES: tuple[Switch, ...] = (
    Switch(
        "load choice",
        ("steady", "long among short", "slow upstream", "sessions"),
        (
            (_placement.RequestPlacement, "choose", _default_or_random),
            (_placement.SessionPlacement, "choose", _default_or_random),
        ),
    ),
    Switch(
        "fair queue",
        ("hot caller", "hot network"),
        ((_service, "FairQueue", FirstComeQueue),),
    ),
    Switch(
        "hold",
        ("burst", "overload 2"),
        ((_holding, "max_held", lambda *_: 0),),
    ),
    Switch(
        "bounded hold",
        ("burst", "overload 2", "overload 5"),
        ((_holding, "max_held", lambda limits, _: limits.held_flows),),
    ),
    Switch(
        "debt",
        ("burst", "overload 2", "overload 5"),
        (
            (
                _request_capacity.RequestCapacity,
                "has_room",
                lambda *_: True,
            ),
        ),
    ),
    Switch(
        "burst allowance",
        ("steady", "burst"),
        ((_request_capacity, "BURST_FLOWS", 0.0),),
    ),
    Switch(
        "report correction",
        ("overload 5", "slow upstream"),
        (
            (
                _request_capacity.RequestCapacity,
                "_correct_debt",
                lambda *_: None,
            ),
        ),
    ),
    Switch(
        "trust",
        ("lying report", "frozen idle", "frozen full", "session lies"),
        ((_trust.ReportTrust, "verdict", lambda *_: _trust.Verdict.TRUSTED),),
    ),
    Switch(
        "speed",
        ("slow upstream", "long among short", "lying report"),
        ((_endpoint, "SLOW_RATIO", math.inf),),
    ),
    Switch(
        "slow start",
        ("cold start", "session cold"),
        ((_endpoint.slow_start, "share", lambda _: 1.0),),
    ),
    Switch(
        "ejection",
        ("silent upstream",),
        ((_evidence, "MAX_CONSECUTIVE_UNANSWERED", math.inf),),
    ),
    Switch(
        "retry",
        ("silent upstream",),
        ((_retry.RetryBudget, "spend", lambda _: False),),
    ),
    Switch(
        "spread of return",
        ("refused return",),
        ((_backoff.Backoff, "retry_after_ms", lambda *_: 500),),
    ),
)
