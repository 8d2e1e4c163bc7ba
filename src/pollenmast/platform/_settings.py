"""Parses the platform's settings file: lines of the form a.b=value."""

import math

from result import Err, Ok, Result

from pollenmast.admission import AdmissionSettings
from pollenmast.entry import EntrySettings, parse_admission
from pollenmast.steering import ColdAllowance

READINESS_PATH = "/readiness"

METRICS_PORT = 9464
"""Port of the metrics endpoint.

The usual port of exporters of this format; the deploy file contains it too.
"""


def parse_settings(
    text: str, admission: str = ""
) -> Result[EntrySettings, str]:
    """Returns the settings, or an error message if they are invalid.

    Args:
        text: The content of the settings file.
        admission: The value of the environment variable that disables
            components of admission control; empty if it is not set.
    """
    fields = dict(_parse_pairs(text))
    try:
        return Ok(
            EntrySettings(
                vm=_required_field(fields, "nodeId"),
                zone=_required_field(fields, "zone"),
                packets=_required_address(fields, "listenAddrs.datagramAddr"),
                ready=_required_address(fields, "listenAddrs.ready"),
                control=_optional_address(fields, "listenAddrs.control"),
                metrics=(
                    _required_address(fields, "listenAddrs.ready")[0],
                    METRICS_PORT,
                ),
                gossip=_gossip_address(fields),
                directory=_required_address(fields, "platform.address"),
                seeds=_seed_addresses(fields),
                # Time limits in milliseconds for a new configuration, a
                # draining endpoint and a drained availability zone to take
                # effect.
                apply_s=min(
                    float(fields.get("bounds.configApplyMs", "3000")),
                    float(fields.get("bounds.drainMs", "3000")),
                    float(fields.get("bounds.evacuateMs", "3000")),
                )
                / 1000.0,
                # Seconds from SIGTERM to SIGKILL; may have a fraction.
                grace_s=float(fields.get("bounds.graceS", "6")),
                ready_path=READINESS_PATH,
                link_mbps=_link_mbps(fields),
                allowance=_cold_allowance(fields),
                admission=_admission(admission),
            )
        )
    except ValueError as error:
        return Err(str(error))


def _parse_pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            pairs.append((name.strip(), value.strip()))
    return pairs


def _required_field(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise ValueError(f"{name} is missing")
    return value


def _required_address(fields: dict[str, str], name: str) -> tuple[str, int]:
    return _parse_address(_required_field(fields, name), name)


def _optional_address(
    fields: dict[str, str], name: str
) -> tuple[str, int] | None:
    value = fields.get(name, "")
    return _parse_address(value, name) if value else None


def _gossip_address(fields: dict[str, str]) -> tuple[str, int]:
    """Returns the gossip address.

    It uses the first of the ports that are set aside for traffic between VMs.
    """
    first = _required_field(fields, "internalPorts").split(",")[0]
    if not first.isdigit():
        raise ValueError("internalPorts is no port")
    return _required_address(fields, "listenAddrs.datagramAddr")[0], int(first)


def _seed_addresses(fields: dict[str, str]) -> tuple[tuple[str, int], ...]:
    listed = fields.get("seedNodes", "").split(",")
    return tuple(_parse_address(each, "seedNodes") for each in listed if each)


def _cold_allowance(fields: dict[str, str]) -> ColdAllowance | None:
    """Returns how far the rate of cold endpoints may be exceeded.

    Returns:
        The allowance, or None if there is no limit.

    Raises:
        ValueError: A factor is no number, negative or not finite.
    """
    slack = fields.get("bounds.warmupSlack", "")
    if not slack:
        return None
    overrun = fields.get("bounds.warmupOverrun", "1")
    factors = {"warmupOverrun": float(overrun), "warmupSlack": float(slack)}
    for name, value in factors.items():
        if not (math.isfinite(value) and value >= 0.0):
            raise ValueError(f"bounds.{name}: {value!r} is no factor")
    return ColdAllowance(*factors.values())


def _admission(text: str) -> AdmissionSettings:
    parsed = parse_admission(text)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value)
    return parsed.ok_value


def _link_mbps(fields: dict[str, str]) -> int:
    """Returns the bandwidth of the VM's link in whole Mbit/s, 0 if not set."""
    text = fields.get("limits.linkMbps", "0")
    whole, _, rest = text.partition(".")
    if not (whole + rest).isdecimal() or not whole:
        raise ValueError(f"limits.linkMbps: {text!r} is no number")
    return int(whole)


def _parse_address(text: str, name: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{name}: {text!r} is no address")
    return host, int(port)
