"""Slow start: a cold endpoint's share grows over its first seconds.

Load pattern: an endpoint starts with empty caches and unwarmed code and is
several times slower at first. It also looks idle, so that every VM's load
comparison would prefer it. Without the ramp its first requests queue behind
each other, and their callers wait longest just after a planned release.
"""

RAMP_S = 10.0
"""Seconds until a cold endpoint has its whole share.

Ten seconds are twenty load reports at two a second: long enough to measure
its finish rate before it counts in full, short beside a release.
"""

FIRST_SHARE = 0.1
"""The share it starts with: enough work to warm it, little to lose."""


def share(uptime_s: float) -> float:
    """Returns the share, 0.1 to 1, of an endpoint that has run for so long."""
    if uptime_s >= RAMP_S:
        return 1.0
    grown = max(uptime_s, 0.0) / RAMP_S
    return FIRST_SHARE + (1.0 - FIRST_SHARE) * grown
