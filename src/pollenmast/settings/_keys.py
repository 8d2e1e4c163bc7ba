"""All keys of the settings file; docs/SETTINGS.md is generated from them."""

import attrs

from pollenmast.settings._kinds import (
    PORT,
    Address,
    Integer,
    Name,
    Path,
    Seconds,
    SocketAddresses,
    ValueType,
)
from pollenmast.settings._model import AgentSettings, RelaySettings

KEY_FILE_VARIABLE = "POLLENMAST_FLEET_KEY_FILE"
"""Environment variable with the path of the fleet's key file.

It takes precedence over `key_file` in section `fleet`.
"""

_MAX_SEEDS = 64
"""Maximum number of seeds.

A handful in each availability zone is enough to find the fleet.
"""


@attrs.frozen
class SettingKey:
    """One key of the settings file.

    Attributes:
        section: The section that contains the key.
        name: The key.
        kind: Parses and validates the value.
        meaning: Description for operators.
        default: Value if the key is absent, or None if there is no default.
        required: Whether the key must be present.
    """

    section: str
    name: str
    kind: ValueType
    meaning: str
    default: object = None
    required: bool = False


_RELAY_DEFAULTS = RelaySettings()
_AGENT_DEFAULTS = AgentSettings()


def _relay_key(name: str, kind: ValueType, meaning: str) -> SettingKey:
    return SettingKey(
        "relay", name, kind, meaning, getattr(_RELAY_DEFAULTS, name)
    )


def _agent_key(name: str, kind: ValueType, meaning: str) -> SettingKey:
    return SettingKey(
        "agent", name, kind, meaning, getattr(_AGENT_DEFAULTS, name)
    )


SETTING_KEYS: tuple[SettingKey, ...] = (
    SettingKey(
        "vm", "name", Name(), "This VM's name, unique in the fleet.", None, True
    ),
    SettingKey(
        "vm",
        "availability_zone",
        Name(),
        "The availability zone it runs in.",
        None,
        True,
    ),
    SettingKey(
        "vm",
        "address",
        Address(),
        "The IP number on which this VM is reached.",
        None,
        True,
    ),
    SettingKey(
        "fleet",
        "key_file",
        Path(),
        "File with the fleet's key, 64 hex digits. The environment variable "
        f"{KEY_FILE_VARIABLE} names it instead, and goes first.",
    ),
    SettingKey(
        "fleet",
        "previous_key_file",
        Path(),
        "File with the key that is still accepted during a change of key.",
    ),
    SettingKey(
        "fleet",
        "seeds",
        SocketAddresses(_MAX_SEEDS),
        "Gossip addresses of some VMs, for when the platform gives no list.",
        (),
    ),
    SettingKey(
        "platform",
        "address",
        Address(),
        "The IP number of the platform's service.",
        None,
        True,
    ),
    SettingKey("platform", "port", PORT, "Its TCP port.", None, True),
    _relay_key("peer_port", PORT, "UDP port for envelopes from other relays."),
    _relay_key(
        "link_port", PORT, "TCP port on which the relay listens for its agent."
    ),
    _relay_key(
        "most_flows", Integer(1, 2_000_000), "Flows carried at the most."
    ),
    _relay_key(
        "idle_s",
        Seconds(1, 86_400),
        "A flow without a packet for so long has ended.",
    ),
    _relay_key(
        "replicate_after_s",
        Seconds(0, 3_600),
        "Age at which a flow is replicated to another VM.",
    ),
    _relay_key(
        "replication_bytes_per_s",
        Integer(0, 10_000_000),
        "Budget for replication, in bytes a second.",
    ),
    _relay_key("grace_s", Seconds(0, 3_600), "Longest graceful shutdown."),
    _relay_key(
        "drain_quiet_s",
        Seconds(0, 3_600),
        "How long a graceful shutdown waits for a flow's caller to use its new "
        "path. Keep it above the callers' keep-alive interval and the longest "
        "silence of a request.",
    ),
    _agent_key("gossip_port", PORT, "UDP port for heartbeats."),
    _agent_key(
        "fetch_port", PORT, "TCP port on which peers fetch the manifest."
    ),
    _agent_key(
        "operators_port",
        PORT,
        "TCP port of status, metrics, health and readiness.",
    ),
    _agent_key(
        "heartbeat_s", Seconds(0.05, 60), "Time between two heartbeats."
    ),
    _agent_key(
        "probe_s",
        Seconds(0.05, 60),
        "Time between two probes of one endpoint.",
    ),
)
