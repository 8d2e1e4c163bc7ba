"""Slow start: the share of a cold endpoint grows over its first seconds.

An endpoint that has just started has empty caches and cold code, and is several
times slower at first. It also looks idle, so the load comparison of every VM
prefers it. Without slow start its first requests queue up, and their callers
wait longest right after a planned release.
"""

RAMP_S = 10.0
"""Seconds until a cold endpoint has its full share.

They contain twenty load reports at two per second, which is long enough to
measure its finish rate before it gets its full share, and short compared with
a release.
"""

INITIAL_SHARE = 0.1
"""Share at the start: enough work to warm up, and few callers affected."""


def share(uptime_s: float) -> float:
    """Returns the share, 0.1 to 1, of an endpoint with the given uptime."""
    if uptime_s >= RAMP_S:
        return 1.0
    grown = max(uptime_s, 0.0) / RAMP_S
    return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * grown
