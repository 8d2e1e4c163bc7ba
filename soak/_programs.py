"""Schedules faults of relays, agents, platform and fabric from a seed."""

import enum
import random

import attrs

QUIET_START_S = 3.0
"""The time at the start of a run without faults, in seconds."""


class Kind(enum.Enum):
    """A kind of fault.

    A seed draws from the members by their order, so that a new order changes
    the faults of kept seeds.
    """

    KILL_RELAY = "a relay is killed and starts again"
    FREEZE_RELAY = "a relay stands still"
    KILL_AGENT = "an agent is killed and starts again"
    FREEZE_AGENT = "an agent stands still"
    KILL_VM = "both programs of a VM are killed and start again"
    FREEZE_VM = "both programs of a VM stand still"
    STOP_RELAY = "a relay is stopped in order and started"
    STOP_VM = "both programs of a VM are stopped in order and started"
    PUBLISH = "a manifest drains an endpoint"
    PLATFORM = "the platform is down"
    LOSS = "the fabric loses packets"


PROGRAMS_BY_KIND = {
    Kind.KILL_RELAY: ("relay",),
    Kind.FREEZE_RELAY: ("relay",),
    Kind.KILL_AGENT: ("agent",),
    Kind.FREEZE_AGENT: ("agent",),
    Kind.KILL_VM: ("relay", "agent"),
    Kind.FREEZE_VM: ("relay", "agent"),
    Kind.STOP_RELAY: ("relay",),
    Kind.STOP_VM: ("relay", "agent"),
}
"""The programs that each kind of fault hits."""

KILLS = frozenset({Kind.KILL_RELAY, Kind.KILL_AGENT, Kind.KILL_VM})
FREEZES = frozenset({Kind.FREEZE_RELAY, Kind.FREEZE_AGENT, Kind.FREEZE_VM})
STOPS = frozenset({Kind.STOP_RELAY, Kind.STOP_VM})


LASTING_KINDS = (
    Kind.KILL_RELAY,
    Kind.FREEZE_RELAY,
    Kind.KILL_AGENT,
    Kind.FREEZE_AGENT,
)
"""Faults that may stay in place at the end of a run.

One of them hits one VM and lasts until the results have been checked.
"""


@attrs.frozen
class Fault:
    """A scheduled fault.

    Attributes:
        at: When it starts, in seconds after the start of the callers.
        for_s: Its duration in seconds.
        kind: Its kind.
        draw: A random number from 0 to 1 that selects the VM or the endpoint.
    """

    at: float
    for_s: float
    kind: Kind
    draw: float


def schedule(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run by start time.

    Faults come in series and may overlap.

    Args:
        seed: Determines all faults.
        seconds: The time from the first possible fault to the end of the last.
    """
    rng = random.Random(seed)
    kinds = rng.sample(list(Kind), rng.randint(1, len(Kind)))
    faults = []
    at = QUIET_START_S
    for _ in range(rng.randint(1, max(2, int(seconds / 2)))):
        at += rng.choice([0.0, 0.3, 1.0, 4.0]) * rng.random()
        for_s = rng.choice([0.05, 0.7, 2.0, 4.0, 8.0])
        if at + for_s > QUIET_START_S + seconds:
            break
        faults.append(Fault(at, for_s, rng.choice(kinds), rng.random()))
    return faults


def lasting_fault(seed: int) -> Kind:
    """Returns the kind of fault that is left in place at the end of a run."""
    return random.Random(f"lasting {seed}").choice(LASTING_KINDS)
