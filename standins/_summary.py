"""The demo's closing summary and its exit code."""

from collections.abc import Iterable, Mapping

import attrs

from standins import _ledger, _records, _work

MAX_FAILURES = 10
"""Maximum number of failed requests that are listed."""

_UNANSWERED_OUTCOMES = (_records.Outcome.LOST, _records.Outcome.CUT)


def feed_lateness(
    results: Iterable[_records.Results], loss: _ledger.Loss
) -> dict[str, float]:
    """Returns the latest alerts before and after the unplanned loss."""
    before_s, after_s = 0.0, 0.0
    for result in results:
        for flow in result.flows:
            for stall in flow.stalls:
                if stall.at < loss.at:
                    before_s = max(before_s, stall.lateness_s)
                else:
                    after_s = max(after_s, stall.lateness_s)
    return {
        "latest_alert_s": round(before_s, 3),
        "latest_alert_after_kill_s": round(after_s, 3),
    }


def failures(results: Iterable[_records.Results], began: float) -> list[str]:
    """Returns one line for each of the first failed requests."""
    failed = [
        request
        for result in results
        for request in result.requests
        if request.outcome in _UNANSWERED_OUTCOMES
    ]
    return [
        f"{request.outcome.value}: {request.identifier}, asked at "
        f"{request.asked - began:.1f} s on a flow opened at "
        f"{request.flow_opened - began:.1f} s"
        for request in failed[:MAX_FAILURES]
    ]


def late_connections(executions: Mapping[str, Mapping]) -> list[str]:
    """Returns one line for each upstream with late new connections."""
    return [
        f"{name} got {upstream['late_connections']} new connections more "
        f"than {_work.DRAIN_NOTICE_S:.0f} s after it began to leave"
        for name, upstream in executions.items()
        if upstream["late_connections"]
    ]


def verdict(summary: Mapping) -> int:
    """Returns the exit code for a summary."""
    if summary["problems"]:
        return 1
    names = [field.name for field in attrs.fields(_ledger.Tally)]
    promised = _ledger.Tally(**{name: summary[name] for name in names})
    after = _ledger.Tally(**summary["after_kill"])
    return int(promised.faults() + after.never_excused() > 0)
