"""Differences between two manifests, described for operators."""

import enum

import attrs

from pollenmast.manifest._model import (
    Endpoint,
    EndpointState,
    Manifest,
    Service,
)


class Effect(str, enum.Enum):
    """Kind of effect on a service, an endpoint or the whole manifest."""

    COME = "come"
    """Added, or receives new flows again after a drain."""

    DRAIN = "drain"
    """Receives no new flows; open flows continue until they end."""

    LEAVE = "leave"
    """Removed."""

    MOVE = "move"
    """New flows go to another address, zone or set of endpoints."""

    CHANGE = "change"
    """Changed in another property, such as a port, a limit or the capacity."""

    IGNORED = "ignored"
    """The fleet ignores the new manifest, as its version is older."""

    CONFLICT = "conflict"
    """Same version with different content; the fleet keeps one of the two."""


@attrs.frozen
class Difference:
    """One effect of a new manifest.

    Attributes:
        effect: Kind of effect.
        subject: What is affected: SERVICE, SERVICE/ENDPOINT or `manifest`.
        words: Explanation for operators.
    """

    effect: Effect
    subject: str
    words: str


def differences(old: Manifest, new: Manifest) -> tuple[Difference, ...]:
    """Returns the effects on the fleet of replacing `old` by `new`."""
    result = _version_differences(old, new)
    before = {service.name: service for service in old.services}
    after = {service.name: service for service in new.services}
    for name, service in before.items():
        if name not in after:
            result.append(_removed_service(service))
    for name, service in after.items():
        if name in before:
            result.extend(_service_differences(before[name], service))
        else:
            result.append(_added_service(service))
    return tuple(result)


def _version_differences(old: Manifest, new: Manifest) -> list[Difference]:
    if new.digest == old.digest or new.version > old.version:
        return []
    if new.version < old.version:
        words = f"version {new.version} is older than {old.version}; raise it"
        return [Difference(Effect.IGNORED, "manifest", words)]
    kept = "the new" if new.digest > old.digest else "the old"
    words = (
        f"version {new.version} stands already with other content; the fleet"
        f" keeps the greater digest, which is {kept} one's; raise it"
    )
    return [Difference(Effect.CONFLICT, "manifest", words)]


def _removed_service(service: Service) -> Difference:
    words = (
        f"port {service.port} takes no more flows; drain its"
        f" {len(service.endpoints)} endpoints first"
    )
    return Difference(Effect.LEAVE, service.name, words)


def _added_service(service: Service) -> Difference:
    count = len(service.endpoints)
    words = f"port {service.port} takes flows for {count} endpoints"
    return Difference(Effect.COME, service.name, words)


def _service_differences(old: Service, new: Service) -> list[Difference]:
    result = [
        Difference(Effect.CHANGE, new.name, words)
        for words in _service_changes(old, new)
    ]
    before = {endpoint.name: endpoint for endpoint in old.endpoints}
    after = {endpoint.name: endpoint for endpoint in new.endpoints}
    for name in before:
        if name not in after:
            words = "no new flows; open ones should have ended by its drain"
            result.append(Difference(Effect.LEAVE, f"{new.name}/{name}", words))
    for name, endpoint in after.items():
        subject = f"{new.name}/{name}"
        if name not in before:
            words = f"in {endpoint.zone}, {_capacity(endpoint)}, cold at first"
            result.append(Difference(Effect.COME, subject, words))
        else:
            result.extend(
                _endpoint_differences(subject, before[name], endpoint)
            )
    return result + _distribution_differences(old, new)


def _service_changes(old: Service, new: Service) -> list[str]:
    changes = []
    if old.number != new.number:
        changes.append(
            f"number {old.number} becomes {new.number}; VMs that know only one"
            " of them drop each other's forwarded datagrams until they agree"
        )
    if old.port != new.port:
        changes.append(f"callers use port {new.port}, and {old.port} no longer")
    if old.kind != new.kind:
        changes.append(
            f"flows count as {new.kind.value}s, were {old.kind.value}s"
        )
    if old.idempotent != new.idempotent:
        changes.append(
            "requests may run twice: early data is let through"
            if new.idempotent
            else "requests run at most once: early data is dropped"
        )
    for name, value in attrs.asdict(new.limits).items():
        before = getattr(old.limits, name)
        if before != value:
            changes.append(f"{name} {value}, was {before}")
    return changes


def _endpoint_differences(
    subject: str, old: Endpoint, new: Endpoint
) -> list[Difference]:
    result = []
    if (old.address, old.port) != (new.address, new.port):
        words = (
            f"new flows to {new.address}:{new.port},"
            f" were {old.address}:{old.port}"
        )
        result.append(Difference(Effect.MOVE, subject, words))
    if old.zone != new.zone:
        words = f"to {new.zone} from {old.zone}"
        result.append(Difference(Effect.MOVE, subject, words))
    if old.state != new.state:
        result.append(_state_difference(subject, new.state))
    if _capacity(old) != _capacity(new):
        words = f"{_capacity(new)}, was {_capacity(old)}"
        result.append(Difference(Effect.CHANGE, subject, words))
    if old.load_port != new.load_port:
        words = f"load report on port {new.load_port}, was {old.load_port}"
        result.append(Difference(Effect.CHANGE, subject, words))
    return result


def _state_difference(subject: str, state: EndpointState) -> Difference:
    if state is EndpointState.DRAINING:
        words = "no new flows within seconds; open ones go on until they end"
        return Difference(Effect.DRAIN, subject, words)
    return Difference(Effect.COME, subject, "takes new flows again")


def _distribution_differences(old: Service, new: Service) -> list[Difference]:
    """Returns how the distribution of new flows over endpoints changes."""
    before, after = _serving_names(old), _serving_names(new)
    if set(before) == set(after):
        return []
    if not after:
        words = "no endpoint takes new flows: every new one is refused"
    else:
        words = (
            f"new flows spread over {len(after)} endpoints, were"
            f" {len(before)}; open ones stay where they are"
        )
    return [Difference(Effect.MOVE, new.name, words)]


def _serving_names(service: Service) -> list[str]:
    return [
        endpoint.name
        for endpoint in service.endpoints
        if endpoint.state is EndpointState.SERVING
    ]


def _capacity(endpoint: Endpoint) -> str:
    return f"{endpoint.slots} slots and {endpoint.connections} connections"
