"""Schedules the faults of a run from its seed."""

import enum
import random

import attrs

QUIET_START_S = 3.0
"""The time at the start of a run without faults, in seconds."""

QUIET_END_S = 8.0
"""The time at the end of a run without faults, in seconds.

Within it, requests must be served again.
"""


class Kind(enum.Enum):
    """A kind of fault.

    A seed draws from the members by their order, so that a new order changes
    the faults of kept seeds.
    """

    KILL = "a VM is killed and starts again"
    FREEZE = "a VM stands still"
    STOP = "a VM is stopped in order and started"
    RELOAD = "a VM is told that its settings changed"
    CUT = "some VMs cannot reach the store as usual"
    STORE = "the store misbehaves"
    COMPACT = "the store forgets its history"
    LAPSE = "the store is down and forgets entries"
    LOSS = "the routers lose packets"
    CRASH = "an endpoint dies without a word"
    HANG = "an endpoint stops answering for a while"
    LEAVE = "an endpoint leaves, and its address is used again"
    JOIN = "an endpoint is added"
    CONFIGURE = "a route goes to another service"
    DRAIN_ZONE = "a zone is drained and taken back cold"
    STORM = "configurations of many routes come in quick succession"
    RESTORE = "the store comes back from an older copy"
    SPIKE = "clients send several times the usual number of requests"
    JUNK = "another writer writes junk entries"
    IDLE = "open connections to the store go silent for good"


FIRST_STORM_SEED = 1001
FIRST_RESTORE_SEED = 2001
FIRST_LOAD_SEED = 3001
FIRST_JUNK_SEED = 4001
MAX_PLANNED_KINDS = 2
"""The number of kinds beside spikes that an odd seed of the last range draws.

More of them would leave runs without a spike.
"""

_FIRST_SEED_BY_KIND = {
    Kind.DRAIN_ZONE: FIRST_STORM_SEED,
    Kind.STORM: FIRST_STORM_SEED,
    Kind.RESTORE: FIRST_RESTORE_SEED,
    Kind.SPIKE: FIRST_LOAD_SEED,
    Kind.JUNK: FIRST_JUNK_SEED,
    Kind.IDLE: FIRST_JUNK_SEED,
}
"""The lowest seed that draws each of these kinds.

The kinds were added later; with lower seeds, kept runs stay as they were.
"""

UNPLANNED = frozenset(
    {
        Kind.KILL,
        Kind.FREEZE,
        Kind.CUT,
        Kind.STORE,
        Kind.COMPACT,
        Kind.LAPSE,
        Kind.LOSS,
        Kind.RESTORE,
        Kind.IDLE,
    }
)
"""Unplanned disturbances.

Time bounds are not checked while they last and for some seconds after.
"""

ENDPOINT_FAULTS = frozenset({Kind.CRASH, Kind.HANG})
"""Faults that take an endpoint's capacity away without notice.

Invariants of overload are not checked while they last and for some seconds
after.
"""


@attrs.frozen
class Fault:
    """A scheduled fault.

    Attributes:
        at: When it starts, in seconds after the start of the callers.
        for_s: Its duration in seconds.
        kind: Its kind.
        draw: A random number from 0 to 1 that selects the target or variant.
        share: The share of the VMs that it hits.
    """

    at: float
    for_s: float
    kind: Kind
    draw: float
    share: float


def schedule(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run by start time.

    Faults come in series and may overlap.

    Args:
        seed: Determines all faults.
        seconds: The length of the run.
    """
    rng = random.Random(seed)
    last = seconds - QUIET_END_S
    count = rng.randint(3, max(4, int(seconds / 2)))
    # Runs with few kinds of faults test each by itself, runs with many kinds
    # test their combinations.
    known = kinds_for_seed(seed)
    kinds = rng.sample(known, rng.randint(2, len(known)))
    if has_load(seed):
        kinds = _kinds_with_spike(seed, kinds)
    elif seed >= FIRST_JUNK_SEED:
        kinds = _kinds_with_junk(seed, kinds)
    faults = []
    at = QUIET_START_S
    for _ in range(count):
        at += rng.choice([0.0, 0.3, 1.0, 2.5]) * rng.random()
        for_s = rng.choice([0.3, 1.0, 2.5, 4.0])
        if at + for_s > last:
            break
        faults.append(
            Fault(
                at,
                for_s,
                rng.choice(kinds),
                rng.random(),
                rng.choice([0.1, 0.3, 1.0]),
            )
        )
    return faults


def _kinds_with_spike(seed: int, kinds: list[Kind]) -> list[Kind]:
    """Returns the kinds of a run with limited endpoints.

    Odd seeds play spikes alone or beside a few planned changes: time bounds
    are not checked beside an unplanned disturbance, and one usually overlaps
    every spike of a run that draws them all.
    """
    kinds = [kind for kind in kinds if kind is not Kind.SPIKE]
    if seed % 2:
        unchecked = UNPLANNED | ENDPOINT_FAULTS
        planned = [kind for kind in kinds if kind not in unchecked]
        kinds = planned[:MAX_PLANNED_KINDS]
    return [Kind.SPIKE, *kinds]


def _kinds_with_junk(seed: int, kinds: list[Kind]) -> list[Kind]:
    """Returns the kinds of a run with a junk writer.

    Odd seeds play it beside planned changes only, since time bounds are not
    checked beside an unplanned disturbance.
    """
    kinds = [kind for kind in kinds if kind not in (Kind.JUNK, Kind.IDLE)]
    if seed % 2:
        unchecked = UNPLANNED | ENDPOINT_FAULTS
        return [Kind.JUNK, *(kind for kind in kinds if kind not in unchecked)]
    return [Kind.JUNK, Kind.IDLE, *kinds]


def has_load(seed: int) -> bool:
    """Whether endpoints are limited in a run and clients overload them."""
    return FIRST_LOAD_SEED <= seed < FIRST_JUNK_SEED


def kinds_for_seed(seed: int) -> list[Kind]:
    """Returns the kinds of faults that a seed can draw."""
    return [
        kind
        for kind in Kind
        if seed >= _FIRST_SEED_BY_KIND.get(kind, 0)
        and (kind is not Kind.SPIKE or has_load(seed))
    ]
