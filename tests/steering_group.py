"""Helpers of the steering tests: endpoints, routes and segments."""

import random

from pollenmast.counters import Counters
from pollenmast.steering import (
    Endpoint,
    EndpointAnnounced,
    FlowKey,
    Route,
    RoutesPublished,
    RouteTable,
    Segment,
    Steering,
    Update,
    WeightedService,
)
from standins import segments

VIP = "198.18.0.1"
PORT = 443
ZONE = "pos-frederick"
OTHER_ZONE = "pos-woodbrook"


def endpoint(number: int, zone: str = ZONE, **fields) -> Endpoint:
    """Returns an endpoint of the service `registry`."""
    values = {
        "name": f"i-{number:010x}",
        "number": number,
        "token": number,
        "host": f"10.1.64.{number % 256}",
        "port": 8301,
        "service": "registry",
        "zone": zone,
    }
    return Endpoint(**{**values, **fields})


def table(version: int = 1, *services: str) -> RouteTable:
    """Returns a configuration with one route, split evenly among services."""
    splits = tuple(
        WeightedService(name, 1) for name in services or ("registry",)
    )
    route = Route("feed", VIP, PORT, splits, True)
    paths = {split.service: "/health" for split in splits}
    return RouteTable(version, {(VIP, PORT): route}, paths, 15.0)


def listing(
    *endpoints: Endpoint, revision: int = 10, routes=None, epoch: int = 0
) -> Update:
    """Returns a complete listing of endpoints and a configuration."""
    changes = [EndpointAnnounced(each, revision) for each in endpoints]
    published = RoutesPublished(routes or table(), revision)
    return Update((published, *changes), revision, complete=True, epoch=epoch)


def flow(number: int = 1) -> FlowKey:
    """Returns a client's flow key; `number` selects the client's port."""
    return FlowKey("100.64.0.7", 1024 + number, VIP, PORT)


def segment(key: FlowKey, token: int = 0, **fields) -> Segment:
    """Returns a segment in the middle of a flow."""
    values = {
        "flow": key,
        "syn": False,
        "fin": False,
        "rst": False,
        "token": token,
        "sequence": 1,
        "acknowledged": 1,
        "syn_copies": 0,
        "length": 0,
        "datagram": b"",
    }
    return Segment(**{**values, **fields})


def syn(key: FlowKey, copies: int = 0) -> Segment:
    """Returns a SYN, or a copy of it."""
    return segment(key, syn=True, syn_copies=copies)


def syn_datagram(key: FlowKey) -> bytes:
    """Returns the datagram of a flow's SYN."""
    head = segments.Head(
        0,
        key.client_port,
        key.client_host,
        key.service_port,
        key.service_host,
        1,
        0,
        segments.SYN,
    )
    return head.encode()


def steering(
    *endpoints: Endpoint,
    now: float = 0.0,
    zone=ZONE,
    routes=None,
    epoch: int = 0,
    counters: Counters | None = None,
) -> Steering:
    """Returns the steering core of a VM that has read a complete listing."""
    core = Steering(zone, counters or Counters(), random.Random(1))
    core.apply(listing(*endpoints, routes=routes, epoch=epoch), now)
    core.on_confirmed(now)
    return core
