"""The platform's settings file: lines of the form a.b=value."""

import math

from result import Err, Ok, Result

from pollenmast.entry import EntrySettings
from pollenmast.steering import ColdAllowance

READINESS_PATH = "/readiness"

METRICS_PORT = 9464
"""The usual port of exporters of this format; the deploy file names it too."""


def read_settings(text: str) -> Result[EntrySettings, str]:
    """Returns the settings, or what is wrong with them."""
    fields = dict(_pairs(text))
    try:
        return Ok(
            EntrySettings(
                vm=_field(fields, "nodeId"),
                zone=_field(fields, "zone"),
                packets=_address(fields, "listenAddrs.datagramAddr"),
                ready=_address(fields, "listenAddrs.ready"),
                control=_optional_address(fields, "listenAddrs.control"),
                metrics=(
                    _address(fields, "listenAddrs.ready")[0],
                    METRICS_PORT,
                ),
                gossip=_gossip(fields),
                directory=_address(fields, "platform.address"),
                seeds=_seeds(fields),
                # A configuration's, a leaving endpoint's and a drained zone's,
                # in milliseconds.
                apply_s=min(
                    float(fields.get("bounds.configApplyMs", "3000")),
                    float(fields.get("bounds.drainMs", "3000")),
                    float(fields.get("bounds.evacuateMs", "3000")),
                )
                / 1000.0,
                # The SIGTERM to SIGKILL time, in whole seconds or a fraction.
                grace_s=float(fields.get("bounds.graceS", "6")),
                ready_path=READINESS_PATH,
                link_mbps=_link_mbps(fields),
                allowance=_allowance(fields),
            )
        )
    except ValueError as error:
        return Err(str(error))


def _pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            pairs.append((name.strip(), value.strip()))
    return pairs


def _field(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise ValueError(f"{name} is missing")
    return value


def _address(fields: dict[str, str], name: str) -> tuple[str, int]:
    return _split(_field(fields, name), name)


def _optional_address(
    fields: dict[str, str], name: str
) -> tuple[str, int] | None:
    value = fields.get(name, "")
    return _split(value, name) if value else None


def _gossip(fields: dict[str, str]) -> tuple[str, int]:
    """Returns the first of the ports that are free between VMs."""
    first = _field(fields, "internalPorts").split(",")[0]
    if not first.isdigit():
        raise ValueError("internalPorts is no port")
    return _address(fields, "listenAddrs.datagramAddr")[0], int(first)


def _seeds(fields: dict[str, str]) -> tuple[tuple[str, int], ...]:
    listed = fields.get("seedNodes", "").split(",")
    return tuple(_split(each, "seedNodes") for each in listed if each)


def _allowance(fields: dict[str, str]) -> ColdAllowance | None:
    """Returns how far cold endpoints may be overrun, None if without limit."""
    slack = fields.get("bounds.warmupSlack", "")
    if not slack:
        return None
    overrun = fields.get("bounds.warmupOverrun", "1")
    factors = {"warmupOverrun": float(overrun), "warmupSlack": float(slack)}
    for name, value in factors.items():
        if not (math.isfinite(value) and value >= 0.0):
            raise ValueError(f"bounds.{name}: {value!r} is no factor")
    return ColdAllowance(*factors.values())


def _link_mbps(fields: dict[str, str]) -> int:
    """Returns the width of the VM's link in whole Mbit/s, 0 if not told."""
    text = fields.get("limits.linkMbps", "0")
    whole, _, rest = text.partition(".")
    if not (whole + rest).isdecimal() or not whole:
        raise ValueError(f"limits.linkMbps: {text!r} is no number")
    return int(whole)


def _split(text: str, name: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"{name}: {text!r} is no address")
    return host, int(port)
