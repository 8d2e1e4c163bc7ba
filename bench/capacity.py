"""Estimates the cost of each role at the size expected in two years.

The estimates are linear fits through measurements at smaller sizes.
"""

from bench import _capacity_control as control
from bench import _capacity_relay as relay
from bench import control as agents
from bench import ownership
from bench._capacity_control import FleetSize

NAME = "capacity"
DESCRIPTION = "Slopes of every role; `python -m bench page` writes the page."

_SIZE = FleetSize()
_CALLER_DATAGRAM_BYTES = 1200
_RING_CHANGES_PER_S = 2 * _SIZE.restarts_per_day / 86_400
"""Membership changes per second: each restart is a leave and a join."""


def slopes() -> dict[str, list[dict]]:
    """Returns the linear fits of each role as table rows."""
    flows, rate = _SIZE.flows_per_vm, _SIZE.new_flows_per_vm_s
    return {
        "relay": [
            relay.flow_memory(flows).row(),
            relay.upkeep_cost(flows).row(),
            relay.replica_memory(flows).row(),
            relay.new_flows(rate).row(),
            relay.forwarding(_CALLER_DATAGRAM_BYTES).row(),
            relay.replication_bytes(rate).row(),
            relay.record_bytes(1).row(),
            relay.connection_id_bytes(1).row(),
            relay.handover_bytes(flows).row(),
            control.manifest_parse(_SIZE.endpoints).row(),
            control.manifest_memory(_SIZE.endpoints).row(),
        ],
        "agent": [
            control.manifest_bytes(_SIZE.endpoints).row(),
            control.view_cost(_SIZE.vms + _SIZE.endpoints).row(),
            control.report_cost(_SIZE.endpoints).row(),
            control.member_memory(_SIZE.vms).row(),
            control.heartbeat_cost(_SIZE.vms).row(),
            control.endpoint_report_bytes(8).row(),
            control.probe_assignment_cost(_SIZE.vms * _SIZE.endpoints).row(),
        ],
    }


def _agents_row(size: str, cost: dict) -> dict:
    return {
        "VMs": size,
        "cpu_percent": cost["cpu_percent_mean"],
        "cpu_percent_greatest": cost["cpu_percent_greatest"],
        "rss_mb": cost["rss_mb_greatest"],
        "bytes_per_s": cost["bytes_per_s_mean"],
        "of_these_probes": cost["bytes_per_s_by_kind"].get("probe", 0),
        "platform_calls_per_s": cost["platform_calls_per_s"],
        "load_age_median_s": cost["load_age_s"].get("median", ""),
        "load_age_p99_s": cost["load_age_s"].get("p99", ""),
    }


def run() -> dict:
    """Measures all linear fits, the ring at full size, and real agents."""
    measured = agents.run()
    return {
        "slopes": slopes(),
        "ring": ownership.run()["sizes"],
        "agents": [
            _agents_row(size, cost) for size, cost in measured["cost"].items()
        ],
        "nine": measured["nine"],
        "ring_changes_per_s": _RING_CHANGES_PER_S,
    }
