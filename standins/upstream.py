"""A stand-in for one upstream endpoint: QUIC, load report and faults."""

import argparse
import functools
import json
import os

import anyio

from standins import (
    _listener,
    _programs,
    _quic,
    _reactor,
    _slots,
    _work,
    http,
)

COLD_S = 2.0


class LoadPort(http.Handler):
    """The HTTP port that agents probe for the load report."""

    def __init__(self, endpoint: _work.Endpoint, listener, started: float):
        self._endpoint = endpoint
        self._listener = listener
        self._started = started
        self._frozen: dict | None = None

    async def handle(self, request: http.Request) -> http.Response:
        """Returns the load report, falsified by some faults."""
        if request.path != "/load":
            return http.NOT_FOUND
        fault = self._endpoint.fault
        if fault is not _work.Fault.FROZEN_REPORT:
            self._frozen = None
        elif self._frozen is None:
            self._frozen = self.report()
        report = self._frozen or self.report()
        if fault is _work.Fault.LYING:
            report |= {"running": 0, "queued": 0, "connections": 0}
        return http.json_response(report)

    def report(self) -> dict:
        """Returns the actual load."""
        slots = self._endpoint.slots
        return {
            "accepting": self._endpoint.draining_since is None,
            "running": slots.running,
            "queued": slots.queued,
            "connections": self._listener.open_connections,
            "finished": slots.finished,
            "uptime_s": anyio.current_time() - self._started,
        }


class AdminPort(http.Handler):
    """The HTTP port by which tests and the demo control the upstream."""

    def __init__(self, endpoint: _work.Endpoint, listener, load: LoadPort):
        self._endpoint = endpoint
        self._listener = listener
        self._load = load

    async def handle(self, request: http.Request) -> http.Response:
        """Sets a fault, starts a drain, or returns the counters."""
        match request.method, request.path:
            case "POST", "/fault":
                self._set_fault(_work.Fault(request.json()["mode"]))
            case "POST", "/drain":
                self._endpoint.draining_since = anyio.current_time()
            case "GET", "/executions":
                return http.json_response(self._executions())
            case _:
                return http.NOT_FOUND
        return http.json_response({})

    def _set_fault(self, fault: _work.Fault) -> None:
        if fault is _work.Fault.DEAD:
            os._exit(1)
        self._endpoint.fault = fault
        self._listener.discarding = fault is _work.Fault.SILENT

    def _executions(self) -> dict:
        tally = self._endpoint.tally
        return {
            "executions": dict(tally.executions),
            "wrong_service": tally.wrong_service,
            "cut": tally.cut,
            "shed": tally.shed,
            "late_connections": tally.late_connections,
            "refused": self._listener.refused,
            "unknown": self._listener.unknown,
            "load": self._load.report(),
        }


async def serve(options: argparse.Namespace) -> None:
    """Serves until cancelled."""
    reactor = _reactor.Reactor()
    reactor.now = started = anyio.current_time()
    slots = _slots.Slots(options.slots, options.queue)
    endpoint = _work.Endpoint(
        reactor, options.service, slots, options.cold, started
    )
    listener = _listener.Listener(
        reactor,
        (options.address, options.port),
        _quic.server_configuration(options.name, options.idle),
        endpoint,
        options.connections,
    )
    load = LoadPort(endpoint, listener, started)
    admin = AdminPort(endpoint, listener, load)
    async with anyio.create_task_group() as tasks:
        address = options.address
        await tasks.start(http.serve, load, address, options.load_port)
        await tasks.start(http.serve, admin, address, options.admin_port)
        tasks.start_soon(reactor.run)
        print(json.dumps({"ready": options.name}), flush=True)


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(prog="standins.upstream")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, default=5001)
    parser.add_argument("--load-port", type=int, default=6001)
    parser.add_argument("--admin-port", type=int, default=6101)
    parser.add_argument("--slots", type=int, default=_slots.SLOTS)
    parser.add_argument("--queue", type=int, default=_slots.QUEUE)
    parser.add_argument(
        "--connections", type=int, default=_listener.MAX_CONNECTIONS
    )
    parser.add_argument("--cold", type=float, default=COLD_S)
    parser.add_argument("--idle", type=float, default=_quic.IDLE_S)
    _programs.run(functools.partial(serve, parser.parse_args()))


if __name__ == "__main__":
    main()
