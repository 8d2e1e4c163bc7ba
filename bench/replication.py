"""Broken flows against control bytes, by the minimum age for replication."""

import random

import attrs

from pollenmast import counters as c
from standins.memory import REGISTRY, Net, manifest

NAME = "replication"
DESCRIPTION = "Broken flows of a killed VM against control bytes, by age."

VMS = 9
_OPENED_PER_S = 60
_DURATION_S = 20
_SHORT_SHARE = 0.7
_SHORT_S = (0.2, 1.0)
_LONG_S = 1e9
"""Lifetime of long flows: beyond the end of the run."""

_SEND_INTERVAL_S = 0.5
_CHANGE_AT_S = 10
_AGES_S = (0.0, 0.3, 1.0, 3.0, 10.0, 1e9)
"""Values of `replicate_after_s`; 1e9 means never."""

_SEED = 7
_STEP_S = 0.1


@attrs.frozen
class _Caller:
    """A caller of the scenario, with the times of its flow."""

    tag: str
    opens_s: float
    ends_s: float


def _callers(rng: random.Random, opened_per_s: int) -> list[_Caller]:
    callers = []
    for number in range(opened_per_s * _DURATION_S):
        opens = number / opened_per_s
        short = rng.random() < _SHORT_SHARE
        lives = rng.uniform(*_SHORT_S) if short else _LONG_S
        callers.append(_Caller(f"r{number}", opens, opens + lives))
    return callers


def _run_scenario(net: Net, callers: list[_Caller]) -> None:
    """Opens and uses all flows; adds an endpoint halfway through."""
    waiting = list(callers)
    live: list[_Caller] = []
    for step in range(round(_DURATION_S / _STEP_S)):
        at = step * _STEP_S
        if abs(at - _CHANGE_AT_S) < _STEP_S / 2:
            net.manifest = manifest(version=2, endpoints=4)
            net.publish()
        while waiting and waiting[0].opens_s <= at:
            live.append(waiting.pop(0))
            net.open(live[-1].tag)
        live = [caller for caller in live if caller.ends_s > at]
        if step % round(_SEND_INTERVAL_S / _STEP_S) == 0:
            for caller in live:
                net.say(caller.tag, "on")
        net.advance(_STEP_S)


def _off_default_share(net: Net) -> float:
    flows = [
        flow
        for core in net.relays.values()
        for flow in core.table.listener(REGISTRY).flows.values()
    ]
    return sum(flow.off_default for flow in flows) / len(flows)


def run_one(age_s: float, opened_per_s: int = _OPENED_PER_S) -> dict:
    """Returns the figures for one age; kills one VM at the end."""
    net = Net(vms=VMS, seed=_SEED, replicate_after_s=age_s)
    callers = _callers(random.Random(_SEED), opened_per_s)
    _run_scenario(net, callers)
    sent = sum(
        core.counters.value(c.CONTROL_BYTES, "replication")
        for core in net.relays.values()
    )
    off_default = _off_default_share(net)
    live = [each.tag for each in callers if each.ends_s > _DURATION_S]
    held = [tag for tag in live if 1 in net.holders(tag)]
    net.kill(1)
    net.declare_dead(1)
    for tag in held:
        net.say(tag, "after")
        net.say(tag, "after")
    broken = [tag for tag in held if net.sessions[tag].ran[-1:] != ["after"]]
    return {
        "age_s": age_s if age_s < 1e9 else "never",
        "open_flows": len(live),
        "held_by_killed": len(held),
        "broken": len(broken),
        "off_default": off_default,
        "bytes_per_s_a_vm": sent / _DURATION_S / VMS,
        "bytes_a_flow_opened": sent / len(callers),
    }


def run() -> dict:
    """Runs the measurement."""
    return {
        "seed": _SEED,
        "opened_per_s": _OPENED_PER_S,
        "curve": [run_one(age_s) for age_s in _AGES_S],
    }
