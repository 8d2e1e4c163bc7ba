"""Linear fits of control-plane costs: manifest, views, membership, reports."""

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable

import attrs

from bench._slopes import Slope
from pollenmast import manifest as manifests
from pollenmast.decisions import Dispatcher, _probing
from pollenmast.decisions._membership import Membership
from pollenmast.fleet import EndpointLoad, EndpointReport, Vm
from pollenmast.peers import _codec, _gossip
from pollenmast.peers import _messages as messages

ENDPOINTS_PER_SERVICE = 4.4
_MANIFEST_SIZES = (100, 1_000, 4_000)
_VIEW_SIZES = ((9, 10), (100, 800), (400, 3_200))
_ASSIGNMENT_SIZES = ((50, 400), (200, 1_600), (400, 3_200))
_MEMBER_SIZES = (50, 200, 800)
_REPORT_COUNTS = (1, 4, 8)
_REPEATS = 3
_ZONES = 7


def manifest_text(endpoints: int) -> bytes:
    """Returns a manifest with four or five endpoints per service."""
    services = []
    made = 0
    while made < endpoints:
        count = min(4 + len(services) % 2, endpoints - made)
        number = len(services) + 1
        services.append(
            {
                "name": f"service-{number}",
                "number": number,
                "port": 4000 + number,
                "kind": "session",
                "idempotent": False,
                "endpoints": [_endpoint(made + each) for each in range(count)],
            }
        )
        made += count
    text = json.dumps({"version": 1, "services": services})
    return manifests.render(manifests.parse(text.encode()).unwrap())


def _endpoint(number: int) -> dict:
    return {
        "name": f"endpoint-{number}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
        "port": 5001,
        "load_port": 6001,
        "zone": f"zone-{number % _ZONES}",
    }


def manifest_bytes(at_size: float) -> Slope:
    """Returns the size of the manifest text in MB, by endpoints."""
    points = tuple(
        (size, len(manifest_text(size)) / 1e6) for size in _MANIFEST_SIZES
    )
    return Slope("manifest", "MB", "endpoints", points, at_size)


def manifest_parse(at_size: float) -> Slope:
    """Returns the CPU time to validate and apply a manifest."""
    points = []
    for size in _MANIFEST_SIZES:
        text = manifest_text(size)
        best = float("inf")
        for _ in range(_REPEATS):
            start = time.process_time()
            manifest = manifests.parse(text).unwrap()
            Dispatcher("zone-0", random.Random(1)).set_manifest(manifest, 0.0)
            best = min(best, time.process_time() - start)
        points.append((size, best * 1e3))
    return Slope(
        "a manifest comes into force", "ms", "endpoints", tuple(points), at_size
    )


def manifest_memory(at_size: float) -> Slope:
    """Returns the memory of a manifest and its placement state in a relay."""
    points = []
    for size in _MANIFEST_SIZES:
        text = manifest_text(size)
        tracemalloc.start()
        manifest = manifests.parse(text).unwrap()
        dispatcher = Dispatcher("zone-0", random.Random(1))
        dispatcher.set_manifest(manifest, 0.0)
        points.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
    return Slope(
        "manifest and decisions", "MB", "endpoints", tuple(points), at_size
    )


def _view(vms: int, endpoints: int) -> messages.FleetView:
    members = tuple(_vm(number) for number in range(vms))
    reports = tuple(
        EndpointReport(
            1 + number // 4, f"endpoint-{number}", number, True, uptime_s=500.0
        )
        for number in range(endpoints)
    )
    return messages.FleetView(1, None, 1, "", members, reports)


def _vm(number: int) -> Vm:
    return Vm(
        name=f"vm-{number}",
        zone=f"zone-{number % _ZONES}",
        address=f"10.0.{number >> 8}.{number & 255}",
        relay_port=7001,
        gossip_port=7003,
        fetch_port=7004,
        incarnation=1_796_000_000,
    )


def _min_cpu_s(work: Callable[[], object]) -> float:
    """Returns the minimum CPU time over several runs, in seconds.

    The minimum is used because other work on the machine and garbage left by
    earlier runs can only add to the time.
    """
    least = float("inf")
    for _ in range(_REPEATS):
        gc.collect()
        start = time.process_time()
        work()
        least = min(least, time.process_time() - start)
    return least


def view_cost(at_size: float) -> Slope:
    """Returns the agent's CPU share for one view per second to its relay."""
    points = []
    for vms, endpoints in _VIEW_SIZES:
        view = _view(vms, endpoints)
        spent = _min_cpu_s(lambda view=view: _codec.encode(view))
        points.append((vms + endpoints, spent * 100))
    return Slope(
        "views to the relay",
        "% core",
        "VMs and endpoints",
        tuple(points),
        at_size,
    )


def report_cost(at_size: float) -> Slope:
    """Returns the agent's CPU share for two relay reports per second."""
    points = []
    for _, endpoints in _VIEW_SIZES:
        loads = tuple(
            EndpointLoad(1, f"endpoint-{number}", 3, 0.2, "well")
            for number in range(endpoints)
        )
        report = messages.RelayReport(
            1, "", True, False, False, 1, 0, 0, (), loads
        )
        data = _codec.encode(report)
        spent = _min_cpu_s(lambda data=data: _codec.decode(data))
        points.append((endpoints, spent * 2 * 100))
    return Slope(
        "reports of the relay", "% core", "endpoints", tuple(points), at_size
    )


def member_memory(at_size: float) -> Slope:
    """Returns the memory of an agent's membership table."""
    points = []
    for size in _MEMBER_SIZES:
        tracemalloc.start()
        membership = _membership(size)
        points.append((size, tracemalloc.get_traced_memory()[0] / 1e6))
        tracemalloc.stop()
        del membership
    return Slope("members", "MB", "VMs", tuple(points), at_size)


def _membership(size: int) -> Membership:
    own = _vm(0)
    membership = Membership(own, 1000.0, random.Random(1))
    for first in range(1, size, 8):
        news = tuple(_vm(n) for n in range(first, min(first + 8, size)))
        message = _gossip.Gossip(
            _gossip.GossipType.UPDATE, 1, news[0], members=news
        )
        source = (news[0].address, news[0].gossip_port)
        membership.receive(message, source, 1000.0)
    membership.take_changes()
    return membership


def heartbeat_cost(at_size: float) -> Slope:
    """Returns the CPU share of membership with two ticks and pings a second."""
    points = []
    for size in _MEMBER_SIZES:
        membership = _membership(size)
        now = 1000.0
        peer = _vm(1)
        seconds = 40
        start = time.process_time()
        for _ in range(seconds * 2):
            now += 0.5
            membership.due()
            membership.tick(now)
            ping = _gossip.Gossip(_gossip.GossipType.PING, 7, peer)
            source = (peer.address, peer.gossip_port)
            membership.receive(ping, source, now)
            membership.vms()
        spent = time.process_time() - start
        points.append((size, spent / seconds * 100))
    return Slope("heartbeats", "% core", "VMs", tuple(points), at_size)


def probe_assignment_cost(at_size: float) -> Slope:
    """Returns the CPU time to assign probes, by VMs times endpoints."""
    points = []
    for vms, endpoints in _ASSIGNMENT_SIZES:
        members = tuple(_vm(number) for number in range(vms))
        text = manifest_text(endpoints)
        services = manifests.parse(text).unwrap().services
        spent = _min_cpu_s(
            lambda services=services, members=members: _probing.assignments(
                services, members, "zone-0"
            )
        )
        points.append((vms * endpoints, spent * 1e3))
    return Slope(
        "sharing out the probes",
        "ms",
        "VMs x endpoints",
        tuple(points),
        at_size,
    )


def endpoint_report_bytes(at_size: float) -> Slope:
    """Returns the size of a gossip message, by endpoint reports in it."""
    report = EndpointReport(
        17, "endpoint-4711", 1_796_000_000, True, 1, 0, 812, 99_999, 500.0
    )
    points = []
    for count in _REPORT_COUNTS:
        news = _gossip.ProbeUpdate(1 << 30, report)
        message = _gossip.Gossip(
            _gossip.GossipType.ACK, 1, _vm(1), probes=(news,) * count
        )
        points.append((count, len(_gossip.encode(message))))
    return Slope("load in a message", "B", "reports", tuple(points), at_size)


@attrs.frozen
class FleetSize:
    """The size that the users expect in two years."""

    vms: int = 1_400
    endpoints: int = 11_000
    services: int = 2_500
    flows: int = 24_000_000
    new_flows_per_s: int = 58_000
    zones: int = 7
    regions: int = 3
    changes_per_day: int = 970
    restarts_per_day: int = 4_500

    @property
    def flows_per_vm(self) -> float:
        """Open flows per VM."""
        return self.flows / self.vms

    @property
    def new_flows_per_vm_s(self) -> float:
        """New flows per second per VM."""
        return self.new_flows_per_s / self.vms
