"""Generates docs/CAPACITY-QUIC.md from results of the `capacity` benchmark."""

from bench._capacity_control import FleetSize

_SIZE = FleetSize()
_COMMAND = "python -m bench run capacity --json out/capacity.json"
_CONTROL_BYTES_PER_S = 4_000
"""Control budget of a VM, in bytes per second."""

_HEARTBEATS_PER_S = 2
_RACK_VMS = 40
_MEMBER_UPDATE_BYTES = 60
"""Bytes of gossip about one changed VM."""

_DAY_S = 86_400
_PROBES_PER_S = 2
"""Probes per second of one endpoint, summed over its two probers."""

_PROBED_ENDPOINTS = 10
"""Endpoints in the measured fleets of real agents."""

_AVERAGE_VIEW_SHARE = (_SIZE.vms + _SIZE.endpoints / 10) / (
    _SIZE.vms + _SIZE.endpoints
)
"""Average size of a view as a share of a full one.

Views are sent once per second; only every tenth lists all endpoints.
"""


def table(rows: list[dict]) -> str:
    """Returns a Markdown table of the rows."""
    columns = list(rows[0])
    lines = [
        "| "
        + " | ".join(column.replace("_", " ") for column in columns)
        + " |",
        "|" + " --- |" * len(columns),
    ]
    for row in rows:
        cells = [_cell(row[column]) for column in columns]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def _values(result: dict) -> dict[str, float]:
    return {
        row["what"]: float(row["value"].replace(",", ""))
        for rows in result["slopes"].values()
        for row in rows
    }


def _verdicts(result: dict) -> list[dict]:
    """Compares each user requirement with what the current code achieves."""
    value = _values(result)
    agent = result["agents"][-1]
    ring_cpu = _ring_cpu_percent(result)
    agent_cpu = sum(float(row["% core"]) for row in _cpu_by_part(result))
    agent_mb = (
        agent["rss_mb"]
        + value["members"]
        + 2 * value["manifest"]
        + (value["manifest and decisions"] / 2)
    )
    control_bytes = (
        agent["bytes_per_s"]
        + value["replication"]
        + _additional_probe_bytes(agent)
    )
    load_bytes = (value["load in a message"] / 8) * _SIZE.endpoints
    return [
        _row("control processor, a VM", "1.6 % core", agent_cpu, 1.6, "% core"),
        _row("control memory, a VM", "64 MB", agent_mb, 64, "MB"),
        _row("control bytes, a VM", "4 KB/s", control_bytes / 1e3, 4, "KB/s"),
        _row("manifest in one value", "1 MB", value["manifest"], 1.0, "MB"),
        _row(
            "a manifest takes the packet loop",
            "no demand; 50 ms is felt",
            value["a manifest comes into force"],
            50,
            "ms",
        ),
        _row(
            "ring changes, relay",
            "of 1.6 % core",
            ring_cpu,
            1.6,
            "% core",
        ),
        _row(
            "load of all endpoints known everywhere",
            "every 5 s within 4 KB/s",
            load_bytes / 5 / 1e3,
            4,
            "KB/s",
        ),
    ]


def _additional_probe_bytes(agent: dict) -> float:
    """Returns probe bytes at the target size beyond those already measured."""
    probes = _PROBED_ENDPOINTS * _PROBES_PER_S / int(agent["VMs"])
    more = _SIZE.endpoints * _PROBES_PER_S / _SIZE.vms - probes
    return agent["of_these_probes"] / probes * more


def _ring_cpu_percent(result: dict) -> float:
    change_ms = result["ring"][-1]["change_ms"]
    return change_ms / 10 * result["ring_changes_per_s"]


def _cpu_by_part(result: dict) -> list[dict]:
    """Returns the CPU usage of an agent at the target size, by part."""
    value = _values(result)
    few, many = result["agents"][0], result["agents"][-1]
    probes = _PROBED_ENDPOINTS * _PROBES_PER_S
    less = probes / int(few["VMs"]) - probes / int(many["VMs"])
    a_probe = (few["cpu_percent"] - many["cpu_percent"]) / less
    more = _SIZE.endpoints * _PROBES_PER_S / _SIZE.vms
    changes_per_s = result["ring_changes_per_s"]
    manifests_per_s = _SIZE.changes_per_day / _DAY_S
    parts = {
        f"as measured at {many['VMs']} VMs and 10 endpoints": many[
            "cpu_percent"
        ],
        f"{more:.1f} probes a second": a_probe * more,
        "members in the heartbeats": value["heartbeats"],
        "views to the relay, all endpoints each tenth": (
            value["views to the relay"] * _AVERAGE_VIEW_SHARE
        ),
        "reports of the relay, 200 endpoints a second": (
            value["reports of the relay"] * 200 / (2 * _SIZE.endpoints)
        ),
        "sharing out the probes, at changes of members": (
            value["sharing out the probes"] / 10 * changes_per_s
        ),
        "checking manifests": (
            value["a manifest comes into force"] / 10 * manifests_per_s
        ),
    }
    return [
        {"part of the agent's processor": name, "% core": f"{percent:.2f}"}
        for name, percent in parts.items()
    ]


def _row(what: str, demand: str, got: float, limit: float, unit: str) -> dict:
    factor = got / limit
    reach = "yes" if factor <= 1 else f"no, by a factor of {factor:.1f}"
    return {
        "demand": what,
        "asked": demand,
        "today's code at that size": f"{got:.3g} {unit}",
        "reached": reach,
    }


def _losses(result: dict) -> list[dict]:
    """Returns the load on the remaining VMs when many are lost at once."""
    take_over_ms = _takeover_ms(result)
    ring = result["ring"][-1]
    rows = []
    for name, lost in (
        ("a VM", 1),
        ("a rack", _RACK_VMS),
        ("an availability zone", _SIZE.vms // _SIZE.zones),
        ("a region is cut off, seen from outside", _SIZE.vms // _SIZE.regions),
    ):
        left = _SIZE.vms - lost
        news = lost * _MEMBER_UPDATE_BYTES
        taken = lost * _SIZE.flows_per_vm / left
        ring_ms = min(lost * ring["change_ms"], ring["build_ms"])
        rows.append(
            {
                "lost at once": name,
                "VMs": lost,
                "flows a remaining VM takes over": f"{taken:,.0f}",
                "its processor for them": f"{taken * take_over_ms:,.0f} ms",
                "its ring": f"{ring_ms:,.0f} ms",
                "news a VM must be told": f"{news / 1e3:,.1f} KB",
                "seconds of its 4 KB/s": f"{news / _CONTROL_BYTES_PER_S:,.1f}",
            }
        )
    return rows


def _takeover_ms(result: dict) -> float:
    """Returns the cost of taking over one flow, in milliseconds.

    It is the cost of a new flow plus that of querying two VMs.
    """
    value = _values(result)
    new_flow_ms = value["new flows"] / 100 / _SIZE.new_flows_per_vm_s * 1e3
    question_ms = 2 * value["a forwarded datagram, both relays"] / 1e3
    return new_flow_ms + question_ms


def page(result: dict) -> str:
    """Returns the text of the page."""
    value = _values(result)
    handover_kb = value["a planned stop"] / 1e3
    restarts = _SIZE.restarts_per_day / _SIZE.vms
    return f"""<!-- Made by `python -m bench page`; change its code instead. -->

# Capacity of relay and agent

What each role would spend at the size that the users expect in two years:
1,400 VMs before 11,000 endpoints behind 2,500 addresses, 24 million open flows
(17,143 a VM), 58,000 new a second (41 a VM), 3 regions with 7 availability
zones, 970 changes of configuration a day in force within 19 s, 4,500 restarts
a day, and at most 1.6% of a core, 64 MB and 4 KB/s for control a VM.

Every figure comes from
`{_COMMAND}` and was written
here by `python -m bench page out/capacity.json`. A slope is a least-squares
line through the points named; its misfit is the greatest
distance of a point from it. A figure beyond the points is an extrapolation and
no measurement. One machine with 12 cores carried everything, other work beside
it; no fleet of this size has run.

## What today's code reaches

{table(_verdicts(result))}

In plain words:

- *The manifest* does not fit the platform's megabyte at 11,000 endpoints. A
  shorter form would carry it (port and load port once for a service, addresses
  in groups), or one value a service.
- *Checking a manifest* stops the relay's packets for as long as the table
  says, 970 times a day. Checking it in slices, or sending the relay only what
  changed, would carry it.
- *Load of every endpoint* cannot be known everywhere within the budget. What
  would carry it: relays get the load of their own zone's endpoints, and those
  of a subset of the others; the default endpoint and a relay's own evidence,
  which cost nothing, do the rest. Health changes (few) do fit.
- *Sharing out the probes* ranks every VM for every endpoint at each change of
  members. A ring a zone, changed in place like the ring of owners, would carry
  it.
- *Control processor*: the table below says what it goes to. Fewer probes (one a
  second, or one for the endpoints of a VM together), the ring a zone, and a
  cheaper check of manifests would carry it.

{table(_cpu_by_part(result))}

## Relay

State: the flow table, records kept for others, connection ids, the ring, the
manifest's decisions. Messages: forwarded packets (data, not control), records,
acknowledgements. Mechanisms: shared paths towards upstreams (a port a flow to
the busiest endpoint), one hash ring, replication only of what cannot be
computed, a walk over the table in slices.

{table(result["slopes"]["relay"])}

Ring of owners, measured at the full size:

{table(result["ring"])}

Members change {result["ring_changes_per_s"]:.2f} times a second (each restart
is a leave and a join).

A planned stop of a VM with 17,143 flows sends {handover_kb:,.0f} KB once; a VM
is restarted {restarts:.1f} times a day. Over its `drain_quiet_s` of 15 s that
is {handover_kb / 15:,.0f} KB/s, more than 4 KB/s while it lasts and
{value["a planned stop"] * restarts / _DAY_S:,.0f} B/s on the average of a day.

## Agent

State: members, manifest, reports of endpoints. Messages: a ping and an ack
each heartbeat with news within a byte budget, probes of the endpoints that
fall to it, a view a second to its relay. Mechanisms: SWIM (cost a VM does not
grow with the fleet), news that is sent a bounded number of times, two watchers
a zone, two probers an endpoint.

{table(result["slopes"]["agent"])}

Real agents with relay stubs, 10 endpoints:

{table(result["agents"])}

At 9 VMs: manifests in force everywhere after
{", ".join(f"{each:.3f}" for each in result["nine"]["manifest_s"])} s; one of
900 KB after {result["nine"]["manifest_large_s"]:.3f} s; from a single peer with
the platform down after {result["nine"]["single_peer_s"]["s"]:.2f} s. At 1,400
VMs news needs about log2(1,400) = 11 rounds of 0.5 s where nothing pushes it:
5 to 6 s of the 19 s.

## Platform

Readers: two watchers in each of 7 zones, each with a watch and a check every
5 s, and fallback reads of the whole fleet of 5 a second at the most
(`decisions/_readers.py`). That does not grow with the VMs of a zone; the
measured calls are in the table above, the limit is 2,000 a second.

## Upstreams

Each endpoint is probed by two agents of its zone, together once each `probe_s`
of 0.5 s: 22,000 probes a second over 1,400 VMs are 16 a VM. The table of real
agents shows what 10 endpoints cost 3 VMs (6.7 probes a second a VM) against 18
VMs (1.1): the difference is the probes.

## Losses

{table(_losses(result))}

Taking over a flow costs {_takeover_ms(result):.2f} ms (a new flow's cost and a
question to two VMs). A remaining VM notices a death after about 1.4 s
(docs/MEMBERSHIP.md). With a rack or a zone nothing is lost of what was
replicated, since a record lies in another availability zone than its holder.
When a region is cut off, its VMs are dead for the others until the cut heals;
at 4 KB/s this news alone takes the seconds in the table, there and back, and
until then packets are sent to VMs that do not answer. What would carry it: VMs
of other regions kept out of the ring (a flow's owner in its own region), so
that a cut between regions changes no owner. Today's ring does not do this.
"""
