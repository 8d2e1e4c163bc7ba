"""A stand-in for the fabric: hands each datagram to a VM picked at random.

It keeps one socket for each caller and service, bound to the caller's own
IP number, so that relays see a stable flow and know callers apart. On request
it writes the way of every datagram to a file, so that what a lost flow met can
be told datagram by datagram.
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

LIST_EVERY_S = 0.2
IDLE_S = 30.0
SWEEP_EVERY_S = 1.0
LONG_HEADER = 0x80
"""Set in the first byte of a packet of the handshake."""

MOST_CALLERS = 16_000
"""Below the usual bound of open files; the longest idle one goes first."""


@attrs.define(eq=False)
class _Caller:
    """One caller of one service."""

    address: _reactor.Address
    service: socket.socket
    port: int
    socket: socket.socket
    last: float


class Fabric:
    """The data path between callers and VMs."""

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
        """How many callers are kept."""
        return len(self._callers)

    def forget_callers(self) -> None:
        """Forgets every caller, as a router does that restarts.

        Each caller's next datagram comes to the VMs from another port.
        """
        for caller in self._callers.values():
            self._reactor.remove(caller.socket)
        self._callers.clear()

    def _from_caller(self, service, port: int, data: bytes, source) -> None:
        caller = self._callers.get((port, source))
        if caller is None:
            caller = self._open(service, port, source)
        caller.last = self._reactor.now
        self._callers.move_to_end((port, source))
        target = self.spray.pick(source[0])
        if target is None:
            self.counts["nowhere"] += 1
            return
        self.counts["to_vms"] += 1
        self.counts[f"to {target.address}"] += 1
        self._note(caller, "to", target.address, data)
        self._deliver(caller.socket, data, (target.address, port))

    def _to_caller(self, caller: _Caller, data: bytes, source) -> None:
        zone = self._zone_of(source[0])
        if self.spray.faults.cuts(zone, caller.address[0]):
            self.counts["cut"] += 1
            return
        self.counts["to_callers"] += 1
        self._note(caller, "from", source[0], data)
        self._deliver(caller.service, data, caller.address)

    def _note(self, caller: _Caller, way: str, vm: str, data: bytes) -> None:
        """Writes one datagram's way, if that was asked for."""
        if self._trace is None:
            return
        line = {
            "at": anyio.current_time(),
            "caller": caller.address[1],
            "way": way,
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
                self._later(delay, sock, data, to)
            else:
                _reactor.send(sock, data, to)

    def _later(self, delay: float, sock, data: bytes, to) -> None:
        self._reactor.at(
            self._reactor.now + delay,
            lambda: _reactor.send(sock, data, to),
        )

    def _open(self, service, port: int, source) -> _Caller:
        if len(self._callers) >= MOST_CALLERS:
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
            if now - caller.last > IDLE_S:
                del self._callers[key]
                self._reactor.remove(caller.socket)
        self._reactor.at(now + SWEEP_EVERY_S, self._sweep)


class AdminPort(http.Handler):
    """What tests and the demo turn."""

    def __init__(self, fabric: Fabric):
        self._fabric = fabric

    async def handle(self, request: http.Request) -> http.Response:
        """Sets the faults, forgets callers, or shows the counts."""
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


async def _follow_list(options, spray: _spray.Spray) -> None:
    while True:
        answer = await http.fetch(
            options.platform_address, options.platform_admin_port, "/vms"
        )
        if answer.status == 200:
            vms = json.loads(answer.body)["vms"]
            spray.targets = tuple(
                _spray.Target(vm["zone"], vm["address"]) for vm in vms
            )
        await anyio.sleep(LIST_EVERY_S)


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
        tasks.start_soon(_follow_list, options, spray)
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
