"""Every key of the settings file; docs/SETTINGS.md is made from it."""

import attrs

from pollenmast.settings._kinds import (
    PORT,
    Address,
    Kind,
    Name,
    Path,
    Seconds,
    Sockets,
    Whole,
)
from pollenmast.settings._model import AgentSettings, RelaySettings

KEY_FILE_VARIABLE = "POLLENMAST_FLEET_KEY_FILE"
"""Environment variable that names the fleet's key file instead."""

_MOST_SEEDS = 64
"""Seeds; a handful in each availability zone is enough to find the fleet."""


@attrs.frozen
class Key:
    """One key of the settings file.

    Attributes:
        section: The section.
        name: The key.
        kind: What its value may be.
        meaning: What it means, for an operator.
        default: The value of a key left out; None where it has none.
        required: Whether it must be given.
    """

    section: str
    name: str
    kind: Kind
    meaning: str
    default: object = None
    required: bool = False


_RELAY = RelaySettings()
_AGENT = AgentSettings()


def _relay(name: str, kind: Kind, meaning: str) -> Key:
    return Key("relay", name, kind, meaning, getattr(_RELAY, name))


def _agent(name: str, kind: Kind, meaning: str) -> Key:
    return Key("agent", name, kind, meaning, getattr(_AGENT, name))


KEYS: tuple[Key, ...] = (
    Key(
        "vm", "name", Name(), "This VM's name, unique in the fleet.", None, True
    ),
    Key(
        "vm",
        "availability_zone",
        Name(),
        "The availability zone it runs in.",
        None,
        True,
    ),
    Key(
        "vm",
        "address",
        Address(),
        "The IP number on which this VM is reached.",
        None,
        True,
    ),
    Key(
        "fleet",
        "key_file",
        Path(),
        "File with the fleet's key, 64 hex digits. The environment variable "
        f"{KEY_FILE_VARIABLE} names it instead, and goes first.",
    ),
    Key(
        "fleet",
        "previous_key_file",
        Path(),
        "File with the key that is still accepted during a change of key.",
    ),
    Key(
        "fleet",
        "seeds",
        Sockets(_MOST_SEEDS),
        "Gossip addresses of some VMs, for when the platform gives no list.",
        (),
    ),
    Key(
        "platform",
        "address",
        Address(),
        "The IP number of the platform's service.",
        None,
        True,
    ),
    Key("platform", "port", PORT, "Its TCP port.", None, True),
    _relay("peer_port", PORT, "UDP port for envelopes from other relays."),
    _relay(
        "link_port", PORT, "TCP port on which the relay listens for its agent."
    ),
    _relay("most_flows", Whole(1, 2_000_000), "Flows carried at the most."),
    _relay(
        "idle_s",
        Seconds(1, 86_400),
        "A flow without a packet for so long has ended.",
    ),
    _relay(
        "replicate_after_s",
        Seconds(0, 3_600),
        "Age at which a flow is replicated to another VM.",
    ),
    _relay(
        "replication_bytes_per_s",
        Whole(0, 10_000_000),
        "Budget for replication, in bytes a second.",
    ),
    _relay("grace_s", Seconds(0, 3_600), "Longest graceful shutdown."),
    _relay(
        "drain_quiet_s",
        Seconds(0, 3_600),
        "How long a graceful shutdown waits for a flow's caller to use its new "
        "path. Keep it above the callers' keep-alive interval and the longest "
        "silence of a request.",
    ),
    _agent("gossip_port", PORT, "UDP port for heartbeats."),
    _agent("fetch_port", PORT, "TCP port on which peers fetch the manifest."),
    _agent(
        "operators_port",
        PORT,
        "TCP port of status, metrics, health and readiness.",
    ),
    _agent("heartbeat_s", Seconds(0.05, 60), "Time between two heartbeats."),
    _agent(
        "probe_s",
        Seconds(0.05, 60),
        "Time between two probes of one endpoint.",
    ),
)
