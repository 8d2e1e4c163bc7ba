"""Ends all faults and checks that every remaining flow still works."""

from tests.proof._callers import Callers
from tests.proof._node import parse
from tests.proof._oracle import (
    SETTLE_S,
    Flow,
    Invariant,
    Stage,
    ViolationError,
)
from tests.proof._world import World

_ROUNDS = 24
"""Number of requests that each flow sends, over 12 s in all.

A path found to be silent may be replaced by one that was silent before, and
the next attempt follows 5 s later.
"""
_ROUND_S = 0.5


def settle(world: World, callers: Callers) -> None:
    """Ends all faults, then checks every flow and every manifest."""
    _end_faults(world)
    world.advance(SETTLE_S + 2.2)
    flows = _flows_to_check(world, callers)
    last: dict[str, str] = {}
    for _ in range(_ROUNDS):
        for flow in flows:
            last[flow.name] = callers.send_request(flow, None, False)
        world.advance(_ROUND_S)
    for flow in flows:
        _check_flow(world, flow, last[flow.name])
    _check_manifests(world)


def _end_faults(world: World) -> None:
    if world.partitioned_zone:
        world.heal()
    for number, node in list(world.nodes.items()):
        if node.frozen:
            world.wake(number)
    world.platform_up = True
    _repair_platform(world)
    world.wire.faults.clear()
    world.wire.arrive_late()
    upstreams = world.upstreams
    for silent in (upstreams.dead, upstreams.mute, upstreams.slow):
        silent.clear()
    world.load.clear()
    while upstreams.waiting:
        upstreams.release_delayed(0)
    world.deliver()


def _repair_platform(world: World) -> None:
    """Makes the platform serve the newest version in every zone.

    Different contents of that version stay in place.
    """
    for zone, text in world.served_manifests.items():
        parsed = parse(text)
        if parsed.is_err() or parsed.unwrap().version < world.plan.version:
            world.served_manifests[zone] = world.plan.text()


def _flows_to_check(world: World, callers: Callers) -> list[Flow]:
    """Returns the flows that no unplanned loss may have broken."""
    found = []
    for flow in callers.in_stage(Stage.OPEN):
        session = world.upstreams.session(flow)
        if flow.excused or session is None or world.may_be_idle(flow):
            continue
        found.append(flow)
    _restore_undetectable_paths(world, found)
    return found


def _restore_undetectable_paths(world: World, flows: list[Flow]) -> None:
    """Restores lost paths that a relay cannot detect.

    A relay detects a lost path only if the endpoint answers its other flows.
    A silent flow may stay silent if no other flow of the same relay shows
    that its endpoint is up.
    """
    homes = {}
    for flow in flows:
        path = world.upstreams.session(flow).path
        homes.setdefault((flow.chosen_upstream, path.node), []).append(
            (flow, path)
        )
    for same in homes.values():
        if all(flow.chosen_upstream in path.lost for flow, path in same):
            for flow, path in same:
                path.lost.discard(flow.chosen_upstream)


def _check_flow(world: World, flow: Flow, request: str) -> None:
    held = [node.number for node in world.holders(flow)]
    if flow.ran.get(request, 0) == 0:
        raise ViolationError(
            Invariant.SURVIVES,
            f"{flow.name}, upstream {flow.chosen_upstream}, carried by {held}: "
            f"its last request did not run",
        )
    if len(held) != 1:
        raise ViolationError(
            Invariant.SURVIVES, f"{flow.name} is carried by {held}"
        )
    session = world.upstreams.session(flow)
    if (session.upstream, session.parts) not in flow.received:
        raise ViolationError(
            Invariant.WHOLE_ANSWER,
            f"the last response to {flow.name} did not come",
        )


def _check_manifests(world: World) -> None:
    """Checks that every VM has the same manifest, the greatest.

    An agent that restarted while two contents of one version competed may
    have only the lesser one until the next release; its relay keeps the
    greater one.
    """
    keys = {node.number: node.told for node in world.nodes.values()}
    agents = {
        node.number: (node.acceptance.key.version, node.acceptance.key.digest)
        for node in world.nodes.values()
    }
    least = min(keys.values()) >= max(agents.values())
    if world.agent_restarted and least and len({*agents.values()}) == 1:
        return
    if len({*keys.values(), *agents.values()}) != 1:
        raise ViolationError(
            Invariant.NO_REVERT, f"manifests differ: {keys} {agents}"
        )
