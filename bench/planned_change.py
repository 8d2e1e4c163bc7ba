"""All kinds of planned changes during a run with 2,000 open sessions."""

import anyio

from bench import _fleet_run
from standins import fleet
from standins.world import World

NAME = "planned_change"
DESCRIPTION = "Planned changes of every kind over 2,000 open sessions."

_VMS = 9
_PROGRAMS = 7
_SESSIONS = 300
_SUBMISSIONS_PER_S = 0.05
_FEED_S = 2.0
_KEEPALIVE_S = 2.0
_IMAGES_PER_S = 10.0
_PAUSE_AFTER_CHANGE_S = 3.0
_GRACE_S = 40.0


async def _open_connections(world: World) -> int:
    counted = await world.around.executions()
    return sum(each["load"]["connections"] for each in counted.values())


async def _run_changes(world: World) -> dict:
    await _fleet_run.open_sessions(
        world,
        _PROGRAMS,
        _SESSIONS,
        _SUBMISSIONS_PER_S,
        feed_s=_FEED_S,
        keepalive_s=_KEEPALIVE_S,
    )
    world.start_callers("images", "image", fleet.BARCODES, rate=_IMAGES_PER_S)
    opened = await _open_connections(world)
    rows = []

    async def change(name: str, waiting) -> None:
        took_s = await waiting
        rows.append({"change": name, "took_s": took_s})
        await anyio.sleep(_PAUSE_AFTER_CHANGE_S)

    draining = frozenset({"registry-3"})
    await change("an endpoint drains", world.publish(draining))
    await change(
        "an endpoint leaves the manifest", world.publish(gone=draining)
    )
    await change("it comes back", world.publish())
    await change("an upstream drains itself", _drain(world))
    for old, new in ((1, 10), (5, 11), (9, 12)):
        await change(f"vm-{old} is replaced", world.replace(old, new, _GRACE_S))
    open_at_end = await _open_connections(world)
    outcome = await world.end_callers()
    return {
        "open_sessions": opened,
        "open_at_end": open_at_end,
        "changes": rows,
        "latest_alert_s": _fleet_run.max_alert_delay_after(outcome, 0.0),
        "result": _fleet_run.summary(outcome),
    }


async def _drain(world: World) -> float:
    began = _fleet_run.now()
    await world.around.drain("registry-2")
    return _fleet_run.now() - began


def run() -> dict:
    """Runs the measurement."""
    return _fleet_run.run_in_world(_VMS, _run_changes)
