"""Stands in for the relays and upstreams of a fleet of agents.

One process, so that the agents alone show what control costs. Prints a JSON
line when a relay first sees a manifest's version in a view.
"""

import argparse
import json
import random

import anyio

from pollenmast import counters, http1
from pollenmast.fleet import EndpointLoad
from pollenmast.peers._envelope import Opener, Sealer
from pollenmast.peers._link import Link
from pollenmast.peers._messages import (
    CounterValue,
    DrainOrder,
    FleetView,
    RelayReport,
)

REPORT_S = 0.5
AGES_S = 5.0
"""Between two lines that tell how old the load in the views was."""

KEY = bytes(range(32))


class RelayStub:
    """Reports like a relay that carries flows, and takes views."""

    def __init__(self, name: str, address: str, port: int, endpoints: int):
        self._name = name
        self._link = Link(Sealer(name, KEY), Opener(KEY), counters.Counters())
        self._link.listen(address, port)
        self._view: FleetView | None = None
        self._draining = False
        self._endpoints = endpoints
        self._ages: list[float] = []

    async def tell_ages(self) -> None:
        """Prints the age of the views' load until cancelled."""
        while True:
            await anyio.sleep(AGES_S)
            ages, self._ages = self._ages, []
            self._print(ages=[round(age, 2) for age in ages])

    async def report(self) -> None:
        """Reports until cancelled."""
        while True:
            await self._link.send(self._report())
            await anyio.sleep(REPORT_S)

    async def take(self) -> None:
        """Takes views until cancelled."""
        while True:
            message = await self._link.receive()
            if isinstance(message, FleetView):
                self._see(message)
                now = anyio.current_time()
                self._ages += [
                    now - report.finished / 1000 for report in message.reports
                ]
            elif isinstance(message, DrainOrder):
                self._draining = True

    def _see(self, view: FleetView) -> None:
        before = self._view.digest if self._view else ""
        has = view.manifest is not None
        if view.digest != before and (has or not view.digest):
            self._view = view
            self._print(version=view.version)
        elif self._view is not None and view.digest == before:
            dead = {vm.name for vm in self._view.vms}
            dead -= {vm.name for vm in view.vms}
            self._view = view
            for name in dead:
                self._print(gone=name)

    def _print(self, **fields: object) -> None:
        at = anyio.current_time()
        line = json.dumps({"vm": self._name, "at": at, **fields})
        print(line, flush=True)

    def _report(self) -> RelayReport:
        view = self._view
        values = tuple(
            CounterValue(name, reason, value + 12345)
            for name, reason, value in counters.Counters().items()
        )
        loads = tuple(
            EndpointLoad(1, f"registry-{n}", 100, 0.14, "its default share")
            for n in range(self._endpoints)
        )
        return RelayReport(
            version=view.version if view else 0,
            digest=view.digest if view else "",
            ready=view is not None,
            draining=self._draining,
            drained=self._draining,
            flows=1000,
            held=0,
            replicas=1000,
            counters=values,
            endpoints=loads,
        )


async def serve_load(address: str, port: int, rng: random.Random) -> None:
    """Serves a load report that changes with each probe, like a busy one."""

    async def handle(_: http1.Request) -> http1.ServerResponse:
        load = {
            "accepting": True,
            "running": rng.randint(0, 2),
            "queued": rng.randint(0, 2),
            "connections": 1000 + rng.randint(-20, 20),
            # The time of the report, from which its age in a view is told.
            "finished": int(anyio.current_time() * 1000),
            "uptime_s": anyio.current_time(),
        }
        return http1.ServerResponse(200, json.dumps(load).encode())

    listener = await anyio.create_tcp_listener(
        local_host=address, local_port=port
    )
    await http1.serve(listener, handle)


async def serve(options: argparse.Namespace) -> None:
    """Runs every stub until cancelled."""
    rng = random.Random(1)
    async with anyio.create_task_group() as tasks:
        for port in options.load_ports:
            tasks.start_soon(serve_load, options.upstreams, port, rng)
        for vm in options.vms:
            name, address = vm.split("=")
            stub = RelayStub(
                name, address, options.link_port, len(options.load_ports)
            )
            tasks.start_soon(stub.report)
            tasks.start_soon(stub.take)
            tasks.start_soon(stub.tell_ages)


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(prog="bench._control_stubs")
    parser.add_argument("--upstreams", required=True)
    parser.add_argument("--load-ports", type=int, nargs="+", required=True)
    parser.add_argument("--vms", nargs="+", required=True)
    parser.add_argument("--link-port", type=int, required=True)
    anyio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
