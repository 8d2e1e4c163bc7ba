"""Kills or freezes one program on one of three VMs that stays listed.

The fabric keeps sending this VM a third of all datagrams. Measures the flows
opened after the fleet should have detected the fault, and the effect on
existing sessions.
"""

import signal

import anyio
import attrs

from bench import _fleet_run
from standins import _ledger, _records, fleet
from standins.world import Outcome, World

NAME = "program_faults"
DESCRIPTION = "Relay or agent of one VM of 3 dead or frozen, VM listed."

_VMS = 3
_SESSIONS = 30
_IMAGES_PER_S = 20.0
_DEADLINE_S = 40.0
_DELAY_BEFORE_FAULT_S = 4.0
_OBSERVATION_S = 60.0
_SLOW_HANDSHAKE_S = 1.0
"""Handshake time in seconds that means a retransmission.

Such a handshake needed the first or second repeat of a packet.
"""


@attrs.frozen
class Fault:
    """A fault to inject, or none.

    Attributes:
        name: Name in the table.
        program: The affected program of the VM, or "" for no fault.
        signal_sent: The signal sent to the program.
    """

    name: str
    program: str = ""
    signal_sent: signal.Signals = signal.SIGKILL


FAULTS = (
    Fault("none"),
    Fault("relay killed", "relay"),
    Fault("relay frozen", "relay", signal.SIGSTOP),
    Fault("agent killed", "agent"),
    Fault("agent frozen", "agent", signal.SIGSTOP),
)


def _opened_after_detection(flow: _records.FlowRecord, began: float) -> bool:
    opened_after = flow.opened > began + _ledger.DETECT_S
    return opened_after and flow.service == fleet.BARCODES.name


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[int(len(ordered) * share)] if ordered else 0.0


def _new_flows(outcome: Outcome, began: float) -> dict:
    """Returns the results of image flows opened after the detection time."""
    flows = [
        flow
        for result in outcome.results
        for flow in result.flows
        if _opened_after_detection(flow, began)
    ]
    waits = [each.connected - each.opened for each in flows if each.connected]
    lost = (_records.Fate.BROKEN, _records.Fate.UNOPENED)
    return {
        "new_flows": len(flows),
        "lost": sum(each.fate in lost for each in flows),
        "late": sum(wait >= _SLOW_HANDSHAKE_S for wait in waits),
        "connect_p50_s": _quantile(waits, 0.5),
        "connect_p99_s": _quantile(waits, 0.99),
        "connect_most_s": max(waits, default=0.0),
    }


def _sessions(outcome: Outcome, began: float) -> dict:
    """Returns the results of sessions that were open during the fault."""
    hit = outcome.ledger.after_loss
    return {
        "sessions_broken": sum(
            flow.fate is _records.Fate.BROKEN
            for result in outcome.results
            for flow in result.flows
            if flow.service == fleet.REGISTRY.name
        ),
        "requests_lost": hit.lost + hit.cut + outcome.ledger.promised.lost,
        "latest_alert_s": _fleet_run.max_alert_delay_after(outcome, began),
        "never_allowed": outcome.ledger.promised.never_excused()
        + hit.never_excused(),
    }


async def run_fault(world: World, fault: Fault, watched_s: float) -> dict:
    """Injects a fault into a running fleet and returns a table row."""
    world.start_usual_callers(_SESSIONS, _IMAGES_PER_S, _DEADLINE_S)
    await anyio.sleep(_DELAY_BEFORE_FAULT_S)
    world.mark_loss()
    if fault.program:
        world.vms[2].programs[fault.program].signal(fault.signal_sent)
    await anyio.sleep(watched_s)
    counts = await world.around.fabric_counts()
    outcome = await world.end_callers()
    began = world.loss.at
    return {
        "fault": fault.name,
        **_new_flows(outcome, began),
        **_sessions(outcome, began),
        "datagrams_to_it": counts.get(f"to {world.place(2).address}", 0),
        "datagrams": counts.get("to_vms", 0),
    }


def run() -> dict:
    """Runs the measurement."""
    rows = []
    for fault in FAULTS:

        async def script(world: World, fault: Fault = fault) -> dict:
            return await run_fault(world, fault, _OBSERVATION_S)

        rows.append(_fleet_run.run_in_world(_VMS, script))
    return {"faults": rows}
