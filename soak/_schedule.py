"""What goes wrong in a run, drawn from its seed."""

import enum
import random

import attrs

FIRST_S = 3.0
"""Undisturbed seconds at the start of a run."""

LAST_S = 8.0
"""Undisturbed seconds at its end, in which everything must be served again."""


class Kind(enum.Enum):
    """What happens."""

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


FIRST_LATER_SEED = 1001
FIRST_RESTORE_SEED = 2001
_FIRST_SEEDS = {
    Kind.DRAIN_ZONE: FIRST_LATER_SEED,
    Kind.STORM: FIRST_LATER_SEED,
    Kind.RESTORE: FIRST_RESTORE_SEED,
}
"""Lesser seeds do not draw these kinds, so that kept ones play as they did."""

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
    }
)
"""During these, and some seconds after, rules with a bound do not hold."""


@attrs.frozen
class Fault:
    """One thing that goes wrong.

    Attributes:
        at: Seconds from the start of the callers.
        for_s: How long it lasts.
        kind: What it is.
        draw: A number from 0 to 1 that chooses whom or how.
        share: The part of the VMs that it meets.
    """

    at: float
    for_s: float
    kind: Kind
    draw: float
    share: float


def schedule(seed: int, seconds: float) -> list[Fault]:
    """Returns a run's faults in their order; they come in series and overlap.

    Args:
        seed: Decides everything.
        seconds: The run's length.
    """
    rng = random.Random(seed)
    last = seconds - LAST_S
    count = rng.randint(3, max(4, int(seconds / 2)))
    # Quiet runs show what must hold by itself; crowded ones what survives.
    known = kinds_of(seed)
    kinds = rng.sample(known, rng.randint(2, len(known)))
    faults = []
    at = FIRST_S
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


def kinds_of(seed: int) -> list[Kind]:
    """Returns the kinds that a seed draws from."""
    return [kind for kind in Kind if seed >= _FIRST_SEEDS.get(kind, 0)]
