"""What a new manifest will do, in an operator's words."""

import enum

import attrs

from pollenmast.manifest._model import (
    Endpoint,
    EndpointState,
    Manifest,
    Service,
)


class Effect(str, enum.Enum):
    """What happens to a service or an endpoint."""

    COME = "come"
    DRAIN = "drain"
    LEAVE = "leave"
    MOVE = "move"
    CHANGE = "change"
    IGNORED = "ignored"
    """The fleet will not take the new manifest at all."""

    CONFLICT = "conflict"
    """Two contents under one version; the fleet keeps one of them."""


@attrs.frozen
class Difference:
    """One effect of a new manifest.

    Attributes:
        effect: What happens.
        subject: A service, SERVICE/ENDPOINT, or `manifest`.
        words: What it means.
    """

    effect: Effect
    subject: str
    words: str


def differences(old: Manifest, new: Manifest) -> tuple[Difference, ...]:
    """Tells what the fleet does when `new` follows `old`."""
    found = _versions(old, new)
    before = {service.name: service for service in old.services}
    after = {service.name: service for service in new.services}
    for name, service in before.items():
        if name not in after:
            found.append(_service_leaves(service))
    for name, service in after.items():
        if name in before:
            found.extend(_service(before[name], service))
        else:
            found.append(_service_comes(service))
    return tuple(found)


def _versions(old: Manifest, new: Manifest) -> list[Difference]:
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


def _service_leaves(service: Service) -> Difference:
    words = (
        f"port {service.port} takes no more flows; drain its"
        f" {len(service.endpoints)} endpoints first"
    )
    return Difference(Effect.LEAVE, service.name, words)


def _service_comes(service: Service) -> Difference:
    count = len(service.endpoints)
    words = f"port {service.port} takes flows for {count} endpoints"
    return Difference(Effect.COME, service.name, words)


def _service(old: Service, new: Service) -> list[Difference]:
    found = [
        Difference(Effect.CHANGE, new.name, words)
        for words in _service_changes(old, new)
    ]
    before = {endpoint.name: endpoint for endpoint in old.endpoints}
    after = {endpoint.name: endpoint for endpoint in new.endpoints}
    for name in before:
        if name not in after:
            words = "no new flows; open ones should have ended by its drain"
            found.append(Difference(Effect.LEAVE, f"{new.name}/{name}", words))
    for name, endpoint in after.items():
        subject = f"{new.name}/{name}"
        if name not in before:
            words = f"in {endpoint.zone}, {_capacity(endpoint)}, cold at first"
            found.append(Difference(Effect.COME, subject, words))
        else:
            found.extend(_endpoint(subject, before[name], endpoint))
    return found + _shares(old, new)


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


def _endpoint(subject: str, old: Endpoint, new: Endpoint) -> list[Difference]:
    found = []
    if (old.address, old.port) != (new.address, new.port):
        words = (
            f"new flows to {new.address}:{new.port},"
            f" were {old.address}:{old.port}"
        )
        found.append(Difference(Effect.MOVE, subject, words))
    if old.zone != new.zone:
        words = f"to {new.zone} from {old.zone}"
        found.append(Difference(Effect.MOVE, subject, words))
    if old.state != new.state:
        found.append(_state(subject, new.state))
    if _capacity(old) != _capacity(new):
        words = f"{_capacity(new)}, was {_capacity(old)}"
        found.append(Difference(Effect.CHANGE, subject, words))
    if old.load_port != new.load_port:
        words = f"load report on port {new.load_port}, was {old.load_port}"
        found.append(Difference(Effect.CHANGE, subject, words))
    return found


def _state(subject: str, state: EndpointState) -> Difference:
    if state is EndpointState.DRAINING:
        words = "no new flows within seconds; open ones go on until they end"
        return Difference(Effect.DRAIN, subject, words)
    return Difference(Effect.COME, subject, "takes new flows again")


def _shares(old: Service, new: Service) -> list[Difference]:
    """Tells how new flows move between the endpoints that take them."""
    before, after = _serving(old), _serving(new)
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


def _serving(service: Service) -> list[str]:
    return [
        endpoint.name
        for endpoint in service.endpoints
        if endpoint.state is EndpointState.SERVING
    ]


def _capacity(endpoint: Endpoint) -> str:
    return f"{endpoint.slots} slots and {endpoint.connections} connections"
