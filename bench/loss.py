"""Broken flows and alert delay after the loss of one of 9 VMs.

Runs with and without replication.
"""

import anyio
import attrs

from bench import _fleet_run
from standins.world import World

NAME = "loss"
DESCRIPTION = "One of 9 VMs killed, with replication and without."

_VMS = 9
_PROGRAMS = 4
_SESSIONS = 150
_SUBMISSIONS_PER_S = 0.1
_FEED_S = 1.0
_KEEPALIVE_S = 2.0
_OBSERVATION_S = 25.0
_REPLICATION_OFF = {"relay": {"replicate_after_s": "3600"}}
"""Settings with which no flow gets old enough to be replicated in a run."""


async def _kill_one(world: World) -> dict:
    await _fleet_run.open_sessions(
        world,
        _PROGRAMS,
        _SESSIONS,
        _SUBMISSIONS_PER_S,
        feed_s=_FEED_S,
        keepalive_s=_KEEPALIVE_S,
    )
    status = await world.vms[2].status()
    held = status["relay"]["flows"]
    killed_at = _fleet_run.now()
    await world.kill(2)
    await anyio.sleep(_OBSERVATION_S)
    outcome = await world.end_callers()
    after = attrs.asdict(outcome.ledger.after_loss)
    return {
        "held_by_killed": held,
        "latest_alert_s": _fleet_run.max_alert_delay_after(outcome, killed_at),
        **after,
        "never_allowed": outcome.ledger.promised.faults()
        + outcome.ledger.after_loss.never_excused(),
    }


def run() -> dict:
    """Runs the measurement."""
    rows = []
    for name, overrides in (("on", None), ("off", _REPLICATION_OFF)):
        row = _fleet_run.run_in_world(_VMS, _kill_one, overrides)
        rows.append({"replication": name, **row})
    return {"sessions": _PROGRAMS * _SESSIONS, "kills": rows}
