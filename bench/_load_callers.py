"""Simulated callers of the load patterns: addresses, rates and lengths."""

import random
from collections.abc import Callable

from bench._load_model import Fleet
from pollenmast.manifest import (
    Endpoint,
    EndpointState,
    Limits,
    Manifest,
    Service,
    ServiceKind,
)

VMS = 9
ENDPOINTS = 7
SLOTS = 2
MEAN_S = 0.05
"""Mean request length in seconds.

Lengths are exponential, so that short and long requests mix.
"""

CAPACITY = ENDPOINTS * SLOTS / MEAN_S
"""Requests per second that all endpoints can finish together: 280."""

ZONES = ("hall-bor", "hall-fres", "hall-sag", "hall-kontroll")


def manifest(
    version: int = 1,
    endpoints: int = ENDPOINTS,
    draining: int | None = None,
    kind: ServiceKind = ServiceKind.REQUEST,
) -> Manifest:
    """Returns a manifest with one service.

    Args:
        version: Its version.
        endpoints: Number of endpoints.
        draining: Number of the endpoint that is draining, or None.
        kind: Kind of the service.
    """
    entries = tuple(
        Endpoint(
            f"e{n}",
            f"127.0.2.{n + 1}",
            5000,
            6000,
            ZONES[n % len(ZONES)],
            SLOTS,
            2000,
            EndpointState.DRAINING if n == draining else EndpointState.SERVING,
        )
        for n in range(endpoints)
    )
    service = Service("scans", 1, 4001, kind, True, entries, Limits())
    return Manifest(version, (service,), str(version))


def exponential(rng: random.Random) -> float:
    """Returns an exponential request length with a mean of 50 ms."""
    return rng.expovariate(1.0 / MEAN_S)


def long_among_short(rng: random.Random) -> float:
    """Returns 0.8 s once in fifty, else 35 ms on average; 50 ms overall."""
    return 0.8 if rng.random() < 0.02 else rng.expovariate(1.0 / 0.035)


def steady(
    fleet: Fleet,
    rate: float,
    begin: float,
    end: float,
    group: str = "others",
    caller: Callable[[random.Random], str] | None = None,
    length: Callable[[random.Random], float] = exponential,
    tries: int = 0,
) -> None:
    """Schedules requests at random times with a mean rate."""
    rng = random.Random(f"{fleet.rng.random()}{group}")
    caller = caller or any_caller

    def ask() -> None:
        fleet.ask(caller(rng), group, length(rng), tries)
        following = fleet.loop.now + rng.expovariate(rate)
        if following < end:
            fleet.loop.at(following, ask)

    fleet.loop.at(begin + rng.expovariate(rate), ask)


def any_caller(rng: random.Random) -> str:
    """Returns one of many callers in many networks."""
    return f"10.{rng.randrange(8)}.{rng.randrange(250)}.{rng.randrange(250)}"


def one_caller(rng: random.Random) -> str:
    """Returns always the same caller."""
    return "192.0.2.7"


def one_network(rng: random.Random) -> str:
    """Returns one of 200 callers in the same network."""
    return f"192.0.2.{rng.randrange(200)}"
