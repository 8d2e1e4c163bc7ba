"""Metrics of a simulated run: caller results and endpoint balance."""

import bisect

from bench._load_model import Fleet, Job, Result

WINDOW_STEP_S = 1.0
WINDOW_S = 5.0
"""Length of the sliding windows for imbalance, in seconds.

A window starts every WINDOW_STEP_S seconds.
"""

EVEN = 1.15
"""Greatest imbalance (maximum over mean) allowed under steady load."""


def quantile(ordered: list[float], part: float) -> float:
    """Returns the quantile `part` (0 to 1) of an ordered list."""
    if not ordered:
        return 0.0
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def _ms(seconds: float) -> float:
    return round(seconds * 1000.0, 1)


def received(jobs: list[Job], begin: float, end: float) -> dict:
    """Returns the results of requests first sent from `begin` to `end`."""
    asked = [job for job in jobs if begin <= job.asked_at < end]
    counts = dict.fromkeys(
        ("answered", "late", "refused", "shed", "unanswered"), 0
    )
    for job in asked:
        counts[job.result or Result.UNANSWERED] += 1
    times = sorted(
        job.ended_at - job.asked_at
        for job in asked
        if job.result in (Result.ANSWERED, Result.LATE)
    )
    return {
        "asked": len(asked),
        **counts,
        "median_ms": _ms(quantile(times, 0.5)),
        "p99_ms": _ms(quantile(times, 0.99)),
        "p999_ms": _ms(quantile(times, 0.999)),
    }


def refusals(fleet: Fleet) -> dict:
    """Returns how long refused callers waited for the refusal."""
    delays = sorted(fleet.refusal_delays)
    at_once = sum(1 for delay in delays if delay < 0.005)
    return {
        "refusals": len(delays),
        "at_once": round(at_once / len(delays), 4) if delays else 1.0,
        "told_p99_ms": _ms(quantile(delays, 0.99)),
        "told_most_ms": _ms(delays[-1]) if delays else 0.0,
    }


def goodput(fleet: Fleet, begin: float, end: float, per_s: float) -> float:
    """Returns in-time answers per second as a share of the capacity."""
    good = sum(
        1
        for job in fleet.jobs
        if job.result == Result.ANSWERED and begin <= job.ended_at < end
    )
    return round(good / (end - begin) / per_s, 3)


def finished(fleet: Fleet, begin: float, end: float, per_s: float) -> float:
    """Returns all answers per second, also late, as a share of the capacity."""
    done = sum(
        1
        for job in fleet.jobs
        if job.result in (Result.ANSWERED, Result.LATE)
        and begin <= job.ended_at < end
    )
    return round(done / (end - begin) / per_s, 3)


def _max_over_mean(values: list[float]) -> float:
    mean = sum(values) / len(values) if values else 0.0
    return max(values) / mean if mean else 1.0


def _sliding_windows(begin: float, end: float) -> list[tuple[float, float]]:
    count = max(int(end - begin - WINDOW_S) + 1, 1)
    return [
        (begin + n * WINDOW_STEP_S, begin + n * WINDOW_STEP_S + WINDOW_S)
        for n in range(count)
    ]


def placed_in(fleet: Fleet, names: list[str], window) -> list[float]:
    """Returns the number of arrivals at each endpoint in a window."""
    counts = []
    for name in names:
        times = fleet.upstreams[name].placed
        low = bisect.bisect_left(times, window[0])
        counts.append(float(bisect.bisect_left(times, window[1]) - low))
    return counts


def used_in(fleet: Fleet, names: list[str], window) -> list[float]:
    """Returns each endpoint's mean utilization in a window."""
    means = []
    for name in names:
        used = [
            used
            for time, used in fleet.upstreams[name].samples
            if window[0] <= time < window[1]
        ]
        means.append(sum(used) / len(used) if used else 0.0)
    return means


def imbalance(
    fleet: Fleet, names: list[str], begin: float, end: float, values=placed_in
) -> dict:
    """Returns the maximum over the mean, for the whole time and its windows."""
    ratios = sorted(
        _max_over_mean(values(fleet, names, window))
        for window in _sliding_windows(begin, end)
    )
    return {
        "whole": round(_max_over_mean(values(fleet, names, (begin, end))), 3),
        "window_median": round(quantile(ratios, 0.5), 3),
        "window_most": round(ratios[-1], 3),
    }


def time_to_balance(
    fleet: Fleet, names: list[str], begin: float, end: float, values=placed_in
) -> float | None:
    """Returns seconds until all later windows are balanced, or None if never.

    The time is that of a window's start, so 0 means that the first five
    seconds after the change were already balanced.
    """
    late = None
    for window in _sliding_windows(begin, end):
        if _max_over_mean(values(fleet, names, window)) > EVEN:
            late = window[0]
    if late is None:
        return 0.0
    last = _sliding_windows(begin, end)[-1][0]
    return None if late >= last else round(late + WINDOW_STEP_S - begin, 1)
