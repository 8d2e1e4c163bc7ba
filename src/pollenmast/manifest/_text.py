"""Parsing, validation, rendering and JSON schema of a manifest."""

import hashlib
import json

import attrs
from result import Err, Ok, Result

from pollenmast.manifest._faults import FaultList, ManifestFault
from pollenmast.manifest._model import (
    Endpoint,
    EndpointState,
    Limits,
    Manifest,
    Service,
    ServiceKind,
)
from pollenmast.manifest._rules import Address, Boolean, Choice, Integer, String
from pollenmast.manifest._shapes import Array, Field, Object

MAX_BYTES = 1_000_000
"""Maximum size of a manifest; the platform's service stores no larger value."""

MAX_VERSION = 2**53 - 1
"""Greatest version: the greatest integer that every JSON parser preserves."""

_DIGEST_BYTES = 16

_NAME = String(
    "[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?",
    "1 to 63 of a-z, 0-9, dot and hyphen, first and last a letter or digit",
)
_PORT = Integer(1, 65_535, "a port")

_ENDPOINT = Object(
    "endpoint",
    Endpoint,
    (
        Field("name", _NAME, "Unique within the service."),
        Field("address", Address(), "The upstream VM's IP number."),
        Field("port", _PORT, "UDP port that takes QUIC."),
        Field("load_port", _PORT, "TCP port of the health and load report."),
        Field("zone", _NAME, "The availability zone."),
        Field(
            "slots",
            Integer(1, 10_000),
            "Requests that it runs at the same time.",
            2,
        ),
        Field(
            "connections",
            Integer(1, 1_000_000),
            "Connections that it holds at the most.",
            2000,
        ),
        Field(
            "state",
            Choice(EndpointState),
            "`draining` takes no new flows; open flows go on until they end.",
            EndpointState.SERVING.value,
        ),
    ),
)
_LIMITS = Object(
    "limits",
    Limits,
    (
        Field(
            "hold_ms",
            Integer(0, 10_000),
            "Longest hold of a flow's first packets, in milliseconds.",
            400,
        ),
        Field(
            "held_flows",
            Integer(1, 100_000),
            "Flows that one VM holds at the most.",
            512,
        ),
        Field(
            "held_flows_per_caller",
            Integer(1, 100_000),
            "Flows of one caller that one VM holds at the most.",
            32,
        ),
        Field(
            "queue_per_slot",
            Integer(0, 1_000),
            "Requests that may wait at an endpoint for each of its slots.",
            2,
        ),
    ),
)
_SERVICE = Object(
    "service",
    Service,
    (
        Field("name", _NAME, "Unique within the manifest."),
        Field(
            "number",
            Integer(1, 65_535),
            "Unique; stands for the service on the wire.",
        ),
        Field("port", _PORT, "UDP port that callers use; unique."),
        Field(
            "kind",
            Choice(ServiceKind),
            "`session`: long sessions; `request`: one request a flow.",
        ),
        Field(
            "idempotent",
            Boolean(),
            "Whether a request may run twice without harm.",
        ),
        Field(
            "endpoints", Array(_ENDPOINT, 11_000, ("name",)), "The upstreams."
        ),
        Field("limits", _LIMITS, "What the service may ask of one VM.", None),
        Field(
            "port_since",
            Integer(0, MAX_VERSION),
            "The version that gave it a port which another service had before;"
            " left out again once that service's sessions have ended.",
            0,
        ),
    ),
)
MANIFEST = Object(
    "manifest",
    lambda version, services: Manifest(version, services, ""),
    (
        Field(
            "version",
            Integer(1, MAX_VERSION),
            "Grows with every release.",
        ),
        Field(
            "services",
            Array(_SERVICE, 2_500, ("name", "number", "port")),
            "Every service.",
        ),
    ),
)


def schema() -> dict[str, object]:
    """Returns the published JSON schema of the manifest."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "pollenmast manifest",
        **MANIFEST.schema(),
    }


def parse(data: bytes) -> Result[Manifest, tuple[ManifestFault, ...]]:
    """Parses and validates a manifest.

    Args:
        data: The manifest as JSON in UTF-8.

    Returns:
        The manifest, or the faults in it, at most `MAX_FAULTS`. A manifest
        with any fault is rejected as a whole.
    """
    faults = FaultList()
    if len(data) > MAX_BYTES:
        faults.add("", f"{len(data)} bytes", f"{MAX_BYTES} bytes at the most")
        return Err(faults.faults)
    value = _decode_json(data, faults)
    if faults.faults:
        return Err(faults.faults)
    manifest = MANIFEST.check(value, "", faults)
    _reject_duplicate_sockets(value, faults)
    if faults.faults:
        return Err(faults.faults)
    return Ok(attrs.evolve(manifest, digest=digest(manifest)))


def render(manifest: Manifest) -> bytes:
    """Returns the canonical JSON text, which omits every default value.

    The canonical text is never longer than the text it was parsed from.
    Otherwise a manifest just below `MAX_BYTES` would be rejected when one VM
    sends it to another.
    """
    value = attrs.asdict(manifest, filter=_is_rendered)
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _is_rendered(attribute: attrs.Attribute, value: object) -> bool:
    default = attribute.default
    if isinstance(default, attrs.Factory):
        default = default.factory()
    return attribute.name != "digest" and value != default


def digest(manifest: Manifest) -> str:
    """Returns the hex digest of the manifest's canonical text."""
    text = render(manifest)
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def _decode_json(data: bytes, faults: FaultList) -> object:
    try:
        return json.loads(
            data.decode("utf-8"),
            object_pairs_hook=lambda pairs: _reject_duplicate_keys(
                pairs, faults
            ),
            parse_constant=_reject_constant,
        )
    except RecursionError:
        # A few kilobytes of nested brackets exhaust the JSON parser's stack.
        faults.add("", "too deep a nesting", "a manifest")
    except (ValueError, UnicodeDecodeError) as error:
        faults.add("", f"no JSON ({error})", "JSON in UTF-8")
    return None


def _reject_duplicate_keys(
    pairs: list[tuple[str, object]], faults: FaultList
) -> dict[str, object]:
    """Rejects duplicate keys, which JSON parsers resolve differently."""
    value = dict(pairs)
    if len(value) != len(pairs):
        faults.add("", "a key that stands twice in one object", "each key once")
    return value


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON number")


def _reject_duplicate_sockets(value: object, faults: FaultList) -> None:
    """Rejects endpoints that share an address and port.

    Across two services, callers of one service would reach the upstream of
    the other. Within one service, the load of a single upstream would be
    counted as that of two endpoints.
    """
    seen: dict[tuple[object, object], str] = {}
    for path, endpoint in _endpoints(value):
        socket = (endpoint.get("address"), endpoint.get("port"))
        if not isinstance(socket[0], str) or not isinstance(socket[1], int):
            continue
        first = seen.setdefault(socket, path)
        if first != path:
            faults.add(
                f"{path}.port",
                f"the address and port of {first}",
                "an address and port of its own",
            )


def _endpoints(value: object) -> list[tuple[str, dict[str, object]]]:
    endpoints = []
    for service_index, service in enumerate(_items(value, "services")):
        for endpoint_index, endpoint in enumerate(_items(service, "endpoints")):
            if isinstance(endpoint, dict):
                path = f"services[{service_index}].endpoints[{endpoint_index}]"
                endpoints.append((path, endpoint))
    return endpoints


def _items(value: object, key: str) -> list[object]:
    items = value.get(key) if isinstance(value, dict) else None
    return items if isinstance(items, list) else []
