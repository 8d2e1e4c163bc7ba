"""A stand-in for the fabric that sends each datagram to a random VM.

It keeps one socket per caller and service, bound to the caller's own IP
address, so that relays see a stable source address for each flow and can tell
callers apart. It can trace every datagram to a file, so that the path of a
lost flow can be followed datagram by datagram.
"""

import argparse
import collections
import contextlib
import functools
import json
import pathlib
import random
import socket
from typing import TextIO

import anyio
import attrs

from standins import _programs, _reactor, _spray, http

VM_LIST_INTERVAL_S = 0.2
IDLE_S = 30.0
SWEEP_INTERVAL_S = 1.0
LONG_HEADER = 0x80
"""Bit in the first byte of a QUIC packet that marks a long header.

Handshake packets have long headers.
"""

MAX_CALLERS = 16_000
"""Limit on open caller sockets, below the usual limit of open files.

At the limit the caller that has been idle longest is evicted.
"""


@attrs.define(eq=False)
class _Caller:
    """The sockets of one caller and service.

    Attributes:
        address: The caller's address.
        service: The socket that the caller sends to.
        port: The service's UDP port.
        socket: The socket from which the caller's datagrams go to VMs.
        last_seen: Time of the caller's last datagram.
    """

    address: _reactor.Address
    service: socket.socket
    port: int
    socket: socket.socket
    last_seen: float


class Fabric:
    """Forwards datagrams between callers and VMs."""

    def __init__(
        self,
        reactor: _reactor.Reactor,
        spray: _spray.Spray,
        address: str,
        ports: list[int],
        trace: TextIO | None = None,
    ):
        self.spray = spray
        self.counts: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._trace = trace
        self._callers: collections.OrderedDict[
            tuple[int, _reactor.Address], _Caller
        ] = collections.OrderedDict()
        for port in ports:
            service = _reactor.udp_socket(address, port)
            take = functools.partial(self._from_caller, service, port)
            reactor.add(service, take)
        reactor.at(0.0, self._sweep)

    @property
    def callers(self) -> int:
        """Number of callers that have an open socket."""
        return len(self._callers)

    def forget_callers(self) -> None:
        """Drops the state of every caller, as a restarting router does.

        Each caller's next datagram reaches the VMs from a new source port.
        """
        for caller in self._callers.values():
            self._reactor.remove(caller.socket)
        self._callers.clear()

    def _from_caller(self, service, port: int, data: bytes, source) -> None:
        caller = self._callers.get((port, source))
        if caller is None:
            caller = self._open_caller(service, port, source)
        caller.last_seen = self._reactor.now
        self._callers.move_to_end((port, source))
        target = self.spray.pick(source[0])
        if target is None:
            self.counts["nowhere"] += 1
            return
        self.counts["to_vms"] += 1
        self.counts[f"to {target.address}"] += 1
        self._trace_datagram(caller, "to", target.address, data)
        self._deliver(caller.socket, data, (target.address, port))

    def _to_caller(self, caller: _Caller, data: bytes, source) -> None:
        zone = self._zone_of(source[0])
        if self.spray.faults.cuts(zone, caller.address[0]):
            self.counts["cut"] += 1
            return
        self.counts["to_callers"] += 1
        self._trace_datagram(caller, "from", source[0], data)
        self._deliver(caller.service, data, caller.address)

    def _trace_datagram(
        self, caller: _Caller, direction: str, vm: str, data: bytes
    ) -> None:
        """Writes one datagram to the trace, if tracing is on."""
        if self._trace is None:
            return
        line = {
            "at": anyio.current_time(),
            "caller": caller.address[1],
            "way": direction,
            "vm": vm,
            "bytes": len(data),
            "long": bool(data and data[0] & LONG_HEADER),
        }
        self._trace.write(json.dumps(line) + "\n")

    def _zone_of(self, address: str) -> str:
        if not self.spray.faults.cut_zones:
            return ""
        for target in self.spray.targets:
            if target.address == address:
                return target.zone
        return ""

    def _deliver(self, sock, data: bytes, to: _reactor.Address) -> None:
        delays = self.spray.delays()
        if not delays:
            self.counts["lost"] += 1
        for delay in delays:
            if delay:
                self._deliver_later(delay, sock, data, to)
            else:
                _reactor.send(sock, data, to)

    def _deliver_later(self, delay: float, sock, data: bytes, to) -> None:
        self._reactor.at(
            self._reactor.now + delay,
            lambda: _reactor.send(sock, data, to),
        )

    def _open_caller(self, service, port: int, source) -> _Caller:
        if len(self._callers) >= MAX_CALLERS:
            _, oldest = self._callers.popitem(last=False)
            self._reactor.remove(oldest.socket)
        sock = _reactor.udp_socket(source[0])
        caller = _Caller(source, service, port, sock, self._reactor.now)
        self._callers[port, source] = caller
        self._reactor.add(sock, functools.partial(self._to_caller, caller))
        self.counts["callers"] += 1
        return caller

    def _sweep(self) -> None:
        now = self._reactor.now
        for key, caller in list(self._callers.items()):
            if now - caller.last_seen > IDLE_S:
                del self._callers[key]
                self._reactor.remove(caller.socket)
        self._reactor.at(now + SWEEP_INTERVAL_S, self._sweep)


class AdminPort(http.Handler):
    """The HTTP port by which tests and the demo control the fabric."""

    def __init__(self, fabric: Fabric):
        self._fabric = fabric

    async def handle(self, request: http.Request) -> http.Response:
        """Sets the faults, drops caller state, or returns the counters."""
        match request.method, request.path:
            case "POST", "/fault":
                self._fabric.spray.faults = _faults(request.json())
                return http.json_response({})
            case "POST", "/forget":
                self._fabric.forget_callers()
                return http.json_response({})
            case "GET", "/counts":
                counts = dict(self._fabric.counts)
                counts["callers_now"] = self._fabric.callers
                return http.json_response(counts)
        return http.NOT_FOUND


def _faults(body: dict) -> _spray.Faults:
    zones = tuple(body.pop("cut_zones", ()))
    callers = tuple(body.pop("cut_for", ()))
    return _spray.Faults(cut_zones=zones, cut_for=callers, **body)


async def _poll_vm_list(options, spray: _spray.Spray) -> None:
    while True:
        answer = await http.fetch(
            options.platform_address, options.platform_admin_port, "/vms"
        )
        if answer.status == 200:
            vms = json.loads(answer.body)["vms"]
            spray.targets = tuple(
                _spray.Target(vm["zone"], vm["address"]) for vm in vms
            )
        await anyio.sleep(VM_LIST_INTERVAL_S)


async def serve(options: argparse.Namespace) -> None:
    """Serves until cancelled."""
    with contextlib.ExitStack() as files:
        trace = None
        if options.trace is not None:
            trace = files.enter_context(options.trace.open("w"))
        await _serve(options, trace)


async def _serve(options: argparse.Namespace, trace: TextIO | None) -> None:
    reactor = _reactor.Reactor()
    spray = _spray.Spray(random.Random(options.seed))
    fabric = Fabric(
        reactor, spray, options.address, options.service_ports, trace
    )
    async with anyio.create_task_group() as tasks:
        admin = AdminPort(fabric)
        await tasks.start(
            http.serve, admin, options.address, options.admin_port
        )
        tasks.start_soon(reactor.run)
        tasks.start_soon(_poll_vm_list, options, spray)
        print(json.dumps({"ready": "fabric"}), flush=True)


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(prog="standins.fabric")
    parser.add_argument("--address", default="127.0.4.1")
    parser.add_argument("--admin-port", type=int, default=8102)
    parser.add_argument(
        "--service-ports", type=int, nargs="+", default=[4001, 4002]
    )
    parser.add_argument("--platform-address", default="127.0.3.1")
    parser.add_argument("--platform-admin-port", type=int, default=8101)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--trace", type=pathlib.Path, default=None)
    _programs.run(functools.partial(serve, parser.parse_args()))


if __name__ == "__main__":
    main()
