"""Segments, endpoints and routes, as the steering core sees them."""

import zlib

import attrs


@attrs.frozen(cache_hash=True)
class FlowKey:
    """The four addresses and ports that name a flow.

    Attributes:
        client_host: The client's address, dotted.
        client_port: The client's port.
        service_host: The address that the client asked for.
        service_port: The port that the client asked for.
    """

    client_host: str
    client_port: int
    service_host: str
    service_port: int

    @property
    def digest(self) -> int:
        """A hash that is the same on every VM, unlike `hash`."""
        text = (
            f"{self.client_host}:{self.client_port}"
            f">{self.service_host}:{self.service_port}"
        )
        return zlib.crc32(text.encode())

    def __str__(self) -> str:
        return (
            f"{self.client_host}:{self.client_port}"
            f">{self.service_host}:{self.service_port}"
        )


@attrs.define(eq=False)
class Segment:
    """One datagram of a client, decoded.

    Attributes:
        flow: Whose it is.
        syn: Whether it opens the flow.
        fin: Whether the client sends nothing more.
        rst: Whether the client gives the flow up.
        token: What the flow's endpoint was named by, 0 on a SYN.
        sequence: The number of the first byte of data.
        acknowledged: The number up to which the client has received.
        syn_copies: How many times a SYN was sent before.
        length: Bytes of data.
        datagram: The datagram as it came.
    """

    flow: FlowKey
    syn: bool
    fin: bool
    rst: bool
    token: int
    sequence: int
    acknowledged: int
    syn_copies: int
    length: int
    datagram: bytes


@attrs.frozen
class Endpoint:
    """An upstream process as it has announced itself.

    Attributes:
        name: Unique for one start of the process.
        number: The name as the number that precedes each datagram to it.
        token: The 32 bits by which a client's packets name it; never 0.
        host: Its address.
        port: Its port, for datagrams and for health checks.
        service: The service that it serves.
        zone: Its availability zone.
        slots: Requests that it runs at the same time.
        draining: Whether it takes no new flows.
        warm_in_s: Seconds for which it stays slow after its start, counted
            from the announcement.
    """

    name: str
    number: int
    token: int
    host: str
    port: int
    service: str
    zone: str
    slots: int = 2
    draining: bool = False
    warm_in_s: float = 0.0


@attrs.frozen
class Split:
    """One service of a route and its share of new flows.

    Attributes:
        service: The service's name.
        weight: Its share, compared with the route's other weights.
    """

    service: str
    weight: int


@attrs.frozen
class Route:
    """Where new flows to one address and port go.

    Attributes:
        name: The route's name.
        host: The address that clients ask for.
        port: The port that clients ask for.
        splits: The services, those without a share left out.
        idempotent: Whether its requests may run twice.
    """

    name: str
    host: str
    port: int
    splits: tuple[Split, ...]
    idempotent: bool

    def services(self, digest: int) -> list[str]:
        """Returns the services in the order in which a flow tries them.

        The first is drawn by weight from the flow's digest, so that every VM
        and every copy of a SYN draws the same.
        """
        total = sum(split.weight for split in self.splits)
        if total <= 0:
            return []
        point = digest % total
        names = [split.service for split in self.splits]
        for index, split in enumerate(self.splits):
            if point < split.weight:
                return names[index:] + names[:index]
            point -= split.weight
        return names


@attrs.frozen
class Warmup:
    """How a service's endpoints start.

    Attributes:
        duration_s: For how long an endpoint stays cold.
        flows_per_s: New flows a second that it bears meanwhile.
    """

    duration_s: float
    flows_per_s: float


@attrs.frozen
class RouteTable:
    """One version of the operator's configuration.

    Attributes:
        version: Grows with each change.
        routes: Every route by address and port.
        health_paths: The path of each service's health check.
        idle_timeout_s: Idle flows older than this may be forgotten.
        warmups: How the endpoints of a service start, where it says so.
    """

    version: int
    routes: dict[tuple[str, int], Route]
    health_paths: dict[str, str]
    idle_timeout_s: float
    warmups: dict[str, Warmup] = attrs.field(factory=dict)
