"""Stubs for the relays and upstreams of a fleet of agents.

All stubs run in one process, so that the agent processes show the cost of
control alone. Prints a JSON line when a relay first receives a view with a new
manifest version.
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

REPORT_INTERVAL_S = 0.5
LOAD_AGES_INTERVAL_S = 5.0
"""Seconds between printed lines with the age of the load data in views."""

KEY = bytes(range(32))


class RelayStub:
    """Reports like a relay that carries flows, and receives views."""

    def __init__(self, name: str, address: str, port: int, endpoints: int):
        self._name = name
        self._link = Link(Sealer(name, KEY), Opener(KEY), counters.Counters())
        self._link.listen(address, port)
        self._view: FleetView | None = None
        self._draining = False
        self._endpoints = endpoints
        self._ages: list[float] = []

    async def print_load_ages(self) -> None:
        """Periodically prints the age of load data in views until cancelled."""
        while True:
            await anyio.sleep(LOAD_AGES_INTERVAL_S)
            ages, self._ages = self._ages, []
            self._print(ages=[round(age, 2) for age in ages])

    async def send_reports(self) -> None:
        """Sends periodic relay reports until cancelled."""
        while True:
            await self._link.send(self._build_report())
            await anyio.sleep(REPORT_INTERVAL_S)

    async def receive_messages(self) -> None:
        """Receives views and drain orders until cancelled."""
        while True:
            message = await self._link.receive()
            if isinstance(message, FleetView):
                self._apply_view(message)
                now = anyio.current_time()
                self._ages += [
                    now - report.finished / 1000 for report in message.reports
                ]
            elif isinstance(message, DrainOrder):
                self._draining = True

    def _apply_view(self, view: FleetView) -> None:
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

    def _build_report(self) -> RelayReport:
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
    """Serves a load report that changes with each probe.

    This is how the report of a busy endpoint behaves.
    """

    async def handle(_: http1.Request) -> http1.ServerResponse:
        load = {
            "accepting": True,
            "running": rng.randint(0, 2),
            "queued": rng.randint(0, 2),
            "connections": 1000 + rng.randint(-20, 20),
            # The report's timestamp; its age in a view is computed from it.
            "finished": int(anyio.current_time() * 1000),
            "uptime_s": anyio.current_time(),
        }
        return http1.ServerResponse(200, json.dumps(load).encode())

    listener = await anyio.create_tcp_listener(
        local_host=address, local_port=port
    )
    await http1.serve(listener, handle)


async def serve(options: argparse.Namespace) -> None:
    """Runs all stubs until cancelled."""
    rng = random.Random(1)
    async with anyio.create_task_group() as tasks:
        for port in options.load_ports:
            tasks.start_soon(serve_load, options.upstreams, port, rng)
        for vm in options.vms:
            name, address = vm.split("=")
            stub = RelayStub(
                name, address, options.link_port, len(options.load_ports)
            )
            tasks.start_soon(stub.send_reports)
            tasks.start_soon(stub.receive_messages)
            tasks.start_soon(stub.print_load_ages)


def main() -> None:
    """Runs the stubs with the options of the command line."""
    parser = argparse.ArgumentParser(prog="bench._control_stubs")
    parser.add_argument("--upstreams", required=True)
    parser.add_argument("--load-ports", type=int, nargs="+", required=True)
    parser.add_argument("--vms", nargs="+", required=True)
    parser.add_argument("--link-port", type=int, required=True)
    anyio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
