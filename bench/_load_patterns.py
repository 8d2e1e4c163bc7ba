"""Load patterns: request schedules and upstream faults."""

import random
from collections.abc import Callable

import attrs

from bench._load_callers import (
    CAPACITY,
    ENDPOINTS,
    SLOTS,
    long_among_short,
    manifest,
    one_caller,
    one_network,
    steady,
)
from bench._load_model import Fleet, Job
from pollenmast.manifest import ServiceKind


@attrs.frozen
class Pattern:
    """A load pattern.

    Attributes:
        name: Short unique name.
        meaning: One-line description for the table.
        begin: Start of the measurement.
        end: Time at which callers stop sending.
        setup: Schedules callers and faults in a fleet.
        sessions: Whether the service has long sessions.
        judged: The group of callers that is evaluated, or "" for all.
        names: Endpoints whose imbalance is measured.
        change_at: Time of the change from which recovery is measured, or None.
        capacity: Requests per second that can be finished, or 0 if goodput is
            not evaluated.
    """

    name: str
    meaning: str
    begin: float
    end: float
    setup: Callable[[Fleet], None]
    sessions: bool = False
    judged: str = ""
    names: tuple[str, ...] = tuple(f"e{n}" for n in range(ENDPOINTS))
    change_at: float | None = None
    capacity: float = 0.0

    def is_judged(self, job: Job) -> bool:
        """Returns whether the job's caller is evaluated."""
        return not self.judged or job.group == self.judged


def _steady_setup(fleet: Fleet) -> None:
    steady(fleet, 0.7 * CAPACITY, 0.0, 40.0)


def _burst_setup(fleet: Fleet) -> None:
    steady(fleet, 0.3 * CAPACITY, 0.0, 20.0)
    for _ in range(3):
        steady(fleet, 400.0, 10.0, 10.25, "burst")


def _uneven_setup(fleet: Fleet) -> None:
    fleet.favourite = 0.5
    steady(fleet, 0.5 * CAPACITY, 0.0, 60.0)


def _uneven_overload_setup(fleet: Fleet) -> None:
    fleet.favourite = 0.5
    steady(fleet, 3.0 * CAPACITY, 0.0, 60.0)


def _onset_setup(fleet: Fleet) -> None:
    steady(fleet, 0.3 * CAPACITY, 0.0, 10.0)
    steady(fleet, 5.0 * CAPACITY, 10.0, 20.0, "rush")


def _hot_caller_setup(fleet: Fleet) -> None:
    steady(fleet, 0.6 * CAPACITY, 0.0, 25.0)
    steady(fleet, 3.0 * CAPACITY, 5.0, 25.0, "hot", one_caller)


def _hot_network_setup(fleet: Fleet) -> None:
    steady(fleet, 0.6 * CAPACITY, 0.0, 25.0)
    steady(fleet, 3.0 * CAPACITY, 5.0, 25.0, "hot", one_network)


def _slow_setup(fleet: Fleet) -> None:
    steady(fleet, 0.5 * CAPACITY, 0.0, 30.0)
    fleet.loop.at(5.0, _slow_down, fleet, 5.0)


def _slow_down(fleet: Fleet, factor: float) -> None:
    fleet.upstreams["e0"].slowness = factor


def _long_setup(fleet: Fleet) -> None:
    steady(fleet, 0.6 * CAPACITY, 0.0, 40.0, length=long_among_short)


def _overload(times: float, tries: int = 0) -> Callable[[Fleet], None]:
    def setup(fleet: Fleet) -> None:
        steady(fleet, times * CAPACITY, 0.0, 25.0, tries=tries)

    return setup


def _retrying_setup(fleet: Fleet) -> None:
    steady(fleet, 0.6 * CAPACITY, 0.0, 25.0, tries=8)
    steady(fleet, 4.0 * CAPACITY, 5.0, 6.0, "surge", tries=8)


def _report_idle(report):
    return attrs.evolve(report, running=0, queued=0)


def _false_report_setup(fleet: Fleet) -> None:
    steady(fleet, 0.5 * CAPACITY, 0.0, 30.0)
    fleet.loop.at(5.0, _slow_down, fleet, 5.0)
    fleet.loop.at(5.0, _falsify_reports, fleet, _report_idle)


def _falsify_reports(fleet: Fleet, lie) -> None:
    fleet.upstreams["e0"].lie = lie


def _freeze_reports(fleet: Fleet, running: int, queued: int) -> None:
    seen = fleet.upstreams["e0"].report(1)

    def frozen(report):
        return attrs.evolve(
            seen, sequence=report.sequence, running=running, queued=queued
        )

    fleet.upstreams["e0"].lie = frozen


def _frozen_setup(running: int, queued: int, load: float):
    def setup(fleet: Fleet) -> None:
        steady(fleet, load * CAPACITY, 0.0, 30.0)
        fleet.loop.at(5.0, _freeze_reports, fleet, running, queued)

    return setup


def _silent_setup(fleet: Fleet) -> None:
    steady(fleet, 0.6 * CAPACITY, 0.0, 30.0)
    fleet.loop.at(5.0, _set_silent, fleet, True)
    fleet.loop.at(15.0, _set_silent, fleet, False)


def _set_silent(fleet: Fleet, silent: bool) -> None:
    fleet.upstreams["e0"].silent = silent


def _leaves_setup(fleet: Fleet) -> None:
    steady(fleet, 0.6 * CAPACITY, 0.0, 40.0)
    fleet.loop.at(10.0, fleet.publish, manifest(2, draining=0))


def _cold_setup(fleet: Fleet) -> None:
    steady(fleet, 0.7 * CAPACITY, 0.0, 40.0)
    fleet.loop.at(10.0, cold_start, fleet)


def cold_start(fleet: Fleet) -> None:
    """Adds an eighth endpoint that is slow for its first six seconds."""
    upstream = fleet.add_upstream("e7", SLOTS)
    upstream.started_at = fleet.loop.now
    upstream.cold_until = fleet.loop.now + 6.0
    fleet.publish(manifest(2, ENDPOINTS + 1))


def _session_length(rng: random.Random) -> float:
    return rng.expovariate(1.0 / 60.0)


def _sessions_setup(fleet: Fleet) -> None:
    steady(fleet, 200.0, 0.0, 10.0, length=_session_length)
    steady(fleet, 2000 / 60.0, 10.0, 120.0, length=_session_length)


def says_no_sessions(report):
    """Returns the report with its number of connections set to 0."""
    return attrs.evolve(report, connections=0)


def _session_false_report_setup(fleet: Fleet) -> None:
    _sessions_setup(fleet)
    fleet.loop.at(2.0, _falsify_reports, fleet, says_no_sessions)


def _session_leaves_setup(fleet: Fleet) -> None:
    _sessions_setup(fleet)
    change = manifest(2, draining=0, kind=ServiceKind.SESSION)
    fleet.loop.at(60.0, fleet.publish, change)


def _session_cold_setup(fleet: Fleet) -> None:
    _sessions_setup(fleet)
    fleet.loop.at(60.0, _session_cold_start, fleet)


def _session_cold_start(fleet: Fleet) -> None:
    fleet.add_upstream("e7", SLOTS).started_at = fleet.loop.now
    fleet.publish(manifest(2, ENDPOINTS + 1, kind=ServiceKind.SESSION))


_ALL_BUT_FIRST = tuple(f"e{n}" for n in range(1, ENDPOINTS))
_WITH_NEW_ENDPOINT = tuple(f"e{n}" for n in range(ENDPOINTS + 1))

PATTERNS: tuple[Pattern, ...] = (
    Pattern("steady", "70% load", 5.0, 40.0, _steady_setup),
    Pattern("burst", "30% load, 300 more in 0.25 s", 9.9, 11.5, _burst_setup),
    Pattern(
        "uneven",
        "50% load, half of it reaches one VM of nine",
        5.0,
        60.0,
        _uneven_setup,
    ),
    Pattern(
        "uneven overload",
        "three times the capacity, half of it reaches one VM of nine",
        5.0,
        60.0,
        _uneven_overload_setup,
        capacity=CAPACITY,
    ),
    Pattern(
        "onset",
        "30% load, then at once five times the capacity",
        10.0,
        20.0,
        _onset_setup,
        capacity=CAPACITY,
    ),
    Pattern(
        "hot caller",
        "60% load, one caller sends 300% more; the others judged",
        6.0,
        25.0,
        _hot_caller_setup,
        judged="others",
        capacity=CAPACITY,
    ),
    Pattern(
        "hot network",
        "60% load, one /24 sends 300% more; the others judged",
        6.0,
        25.0,
        _hot_network_setup,
        judged="others",
        capacity=CAPACITY,
    ),
    Pattern(
        "slow upstream",
        "50% load, one is 5 times slower",
        5.0,
        30.0,
        _slow_setup,
    ),
    Pattern(
        "long among short", "60% load, 2% take 0.8 s", 5.0, 40.0, _long_setup
    ),
    Pattern(
        "overload 2",
        "twice the capacity",
        5.0,
        25.0,
        _overload(2.0),
        capacity=CAPACITY,
    ),
    Pattern(
        "overload 5",
        "five times the capacity",
        5.0,
        25.0,
        _overload(5.0),
        capacity=CAPACITY,
    ),
    Pattern(
        "refused return",
        "60% load, 4 times for a second, 8 tries",
        5.0,
        25.0,
        _retrying_setup,
        capacity=CAPACITY,
    ),
    Pattern(
        "lying report",
        "50% load, one 5 times slower that says idle",
        5.0,
        30.0,
        _false_report_setup,
    ),
    Pattern(
        "frozen idle",
        "60% load, one report frozen at idle",
        5.0,
        30.0,
        _frozen_setup(0, 0, 0.6),
    ),
    Pattern(
        "frozen full",
        "80% load, one report frozen at 2 running, 4 queued",
        5.0,
        30.0,
        _frozen_setup(2, 4, 0.8),
    ),
    Pattern(
        "silent upstream",
        "60% load, one silent for 10 s, its report healthy",
        5.0,
        30.0,
        _silent_setup,
    ),
    Pattern(
        "leaves",
        "60% load, one endpoint drains",
        10.0,
        40.0,
        _leaves_setup,
        names=_ALL_BUT_FIRST,
        change_at=10.0,
    ),
    Pattern(
        "cold start",
        "70% load, an eighth comes, 4 times slower for 6 s",
        10.0,
        40.0,
        _cold_setup,
        names=_WITH_NEW_ENDPOINT,
        change_at=10.0,
    ),
    Pattern(
        "sessions",
        "2,000 open, 33 a second end and come",
        15.0,
        120.0,
        _sessions_setup,
        sessions=True,
    ),
    Pattern(
        "session lies",
        "2,000 open, one endpoint always reports none",
        15.0,
        120.0,
        _session_false_report_setup,
        sessions=True,
    ),
    Pattern(
        "session leaves",
        "2,000 open, one endpoint drains",
        60.0,
        120.0,
        _session_leaves_setup,
        sessions=True,
        names=_ALL_BUT_FIRST,
        change_at=60.0,
    ),
    Pattern(
        "session cold",
        "2,000 open, an eighth endpoint comes",
        60.0,
        120.0,
        _session_cold_setup,
        sessions=True,
        names=_WITH_NEW_ENDPOINT,
        change_at=60.0,
    ),
)
