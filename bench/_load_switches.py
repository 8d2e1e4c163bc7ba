"""Each mechanism switched off by its figure, for the comparison.

The product has no switches of its own: the bench replaces a figure or a
function for the length of one run.
"""

import contextlib
import math
from collections.abc import Iterator
from unittest import mock

import attrs

from pollenmast.decisions import (
    _backoff,
    _endpoint,
    _evidence,
    _holding,
    _placement,
    _request_capacity,
    _retry,
    _service,
    _trust,
)


class FirstComeQueue(_service.FairQueue):
    """One queue in order of arrival; the newcomer loses when it is full."""

    def pop(self, now: float):
        """Takes the oldest flow."""
        return self.remove(next(iter(self._flows))) if len(self) else None

    def give_up(self, newcomer, now: float):
        """Takes the newcomer."""
        return self.remove(newcomer.request.ticket)

    def may_hold(self, caller: str, most: int) -> bool:
        """Sets no bound for a network."""
        return True

    def of_caller(self, caller: str) -> int:
        """Counts nobody, so that no caller has a limit."""
        return 0


def _default_or_any(placement, default, candidates, now):
    """Chooses the default, or any one when that has no room."""
    for candidate in candidates:
        if candidate.record.name == default:
            return candidate
    return placement._rng.choice(candidates)


@attrs.frozen
class Switch:
    """A mechanism and what stands in its place when it is off.

    Attributes:
        name: The mechanism.
        patterns: The load patterns that it answers.
        changes: Module, attribute and value of each replacement.
    """

    name: str
    patterns: tuple[str, ...]
    changes: tuple[tuple[object, str, object], ...]

    @contextlib.contextmanager
    def off(self) -> Iterator[None]:
        """Switches it off for the length of a block."""
        with contextlib.ExitStack() as stack:
            for module, attribute, value in self.changes:
                stack.enter_context(mock.patch.object(module, attribute, value))
            yield


SWITCHES: tuple[Switch, ...] = (
    Switch(
        "load choice",
        ("steady", "long among short", "slow upstream", "sessions"),
        (
            (_placement.RequestPlacement, "choose", _default_or_any),
            (_placement.SessionPlacement, "choose", _default_or_any),
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
        ((_holding, "most_held", lambda *_: 0),),
    ),
    Switch(
        "bounded hold",
        ("burst", "overload 2", "overload 5"),
        ((_holding, "most_held", lambda limits, _: limits.held_flows),),
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
        ((_request_capacity, "BURST", 0.0),),
    ),
    Switch(
        "report correction",
        ("overload 5", "slow upstream"),
        ((_request_capacity.RequestCapacity, "_settle", lambda *_: None),),
    ),
    Switch(
        "trust",
        ("lying report", "frozen idle", "frozen full", "session lies"),
        ((_trust.ReportTrust, "verdict", lambda *_: _trust.Verdict.BELIEVED),),
    ),
    Switch(
        "speed",
        ("slow upstream", "long among short", "lying report"),
        ((_endpoint, "SLOW", math.inf),),
    ),
    Switch(
        "slow start",
        ("cold start", "session cold"),
        ((_endpoint.slow_start, "share", lambda _: 1.0),),
    ),
    Switch(
        "ejection",
        ("silent upstream",),
        ((_evidence, "UNANSWERED_IN_A_ROW", math.inf),),
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
