"""What goes wrong with relays and agents in a run, drawn from its seed."""

import enum
import random

import attrs

FIRST_S = 3.0
"""Undisturbed seconds at the start of a run."""


class Kind(enum.Enum):
    """What happens."""

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


PROGRAMS = {
    Kind.KILL_RELAY: ("relay",),
    Kind.FREEZE_RELAY: ("relay",),
    Kind.KILL_AGENT: ("agent",),
    Kind.FREEZE_AGENT: ("agent",),
    Kind.KILL_VM: ("relay", "agent"),
    Kind.FREEZE_VM: ("relay", "agent"),
    Kind.STOP_RELAY: ("relay",),
    Kind.STOP_VM: ("relay", "agent"),
}
"""The programs that a fault meets."""

KILLS = frozenset({Kind.KILL_RELAY, Kind.KILL_AGENT, Kind.KILL_VM})
FREEZES = frozenset({Kind.FREEZE_RELAY, Kind.FREEZE_AGENT, Kind.FREEZE_VM})
STOPS = frozenset({Kind.STOP_RELAY, Kind.STOP_VM})


LASTING = (
    Kind.KILL_RELAY,
    Kind.FREEZE_RELAY,
    Kind.KILL_AGENT,
    Kind.FREEZE_AGENT,
)
"""What stays so at the end of a run, on one VM, until all is judged."""


@attrs.frozen
class Fault:
    """One thing that goes wrong.

    Attributes:
        at: Seconds from the start of the callers.
        for_s: How long it lasts.
        kind: What it is.
        draw: A number from 0 to 1 that chooses the VM or the endpoint.
    """

    at: float
    for_s: float
    kind: Kind
    draw: float


def schedule(seed: int, seconds: float) -> list[Fault]:
    """Returns a run's faults in their order; they come in series and overlap.

    Args:
        seed: Decides everything.
        seconds: From the first possible fault to the end of the last one.
    """
    rng = random.Random(seed)
    kinds = rng.sample(list(Kind), rng.randint(1, len(Kind)))
    faults = []
    at = FIRST_S
    for _ in range(rng.randint(1, max(2, int(seconds / 2)))):
        at += rng.choice([0.0, 0.3, 1.0, 4.0]) * rng.random()
        for_s = rng.choice([0.05, 0.7, 2.0, 4.0, 8.0])
        if at + for_s > FIRST_S + seconds:
            break
        faults.append(Fault(at, for_s, rng.choice(kinds), rng.random()))
    return faults


def lasting(seed: int) -> Kind:
    """Returns the fault that lasts to the end of a run."""
    return random.Random(f"lasting {seed}").choice(LASTING)
