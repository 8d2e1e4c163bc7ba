"""A stand-in for the platform's configuration service.

The read port serves `/manifest` and `/vms` under a common call budget. The
admin port publishes manifests, sets the VM list, and sets faults.
"""

import argparse
import functools
import json

import anyio

from standins import _platform_state, _programs, http

POLL_S = 0.02
MAX_WATCH_S = 60.0
TOO_MANY_CALLS = http.Response(429, b'{"error": "too many calls"}')
NO_NEWER_MANIFEST = http.Response(204)


class ReadPort(http.Handler):
    """The HTTP port that the fleet reads and watches."""

    def __init__(
        self,
        state: _platform_state.PlatformState,
        budget: _platform_state.Budget,
    ):
        self._state = state
        self._budget = budget

    async def handle(self, request: http.Request) -> http.Response:
        """Returns the response to one call under the budget and the fault."""
        if not self._budget.take(anyio.current_time()):
            return TOO_MANY_CALLS
        if self._state.fault is _platform_state.Fault.DOWN:
            return http.CLOSE_UNANSWERED
        if self._state.fault is _platform_state.Fault.SLOW:
            await anyio.sleep(self._state.delay_s)
        if request.path == "/vms":
            visible = self._state.visible(anyio.current_time())
            return http.json_response({"vms": visible.vms})
        if request.path == "/manifest":
            return await self._manifest(request)
        return http.NOT_FOUND

    async def _manifest(self, request: http.Request) -> http.Response:
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        until = anyio.current_time() + min(wait, MAX_WATCH_S)
        while True:
            if self._state.fault is _platform_state.Fault.DOWN:
                return http.CLOSE_UNANSWERED
            now = anyio.current_time()
            visible = self._state.visible(now)
            if visible.manifest and (visible.version > after or after == 0):
                return http.Response(200, visible.manifest)
            if now >= until:
                return NO_NEWER_MANIFEST
            await anyio.sleep(POLL_S)


class AdminPort(http.Handler):
    """The HTTP port by which tests and the demo control the platform."""

    def __init__(
        self,
        state: _platform_state.PlatformState,
        budget: _platform_state.Budget,
    ):
        self._state = state
        self._budget = budget

    async def handle(self, request: http.Request) -> http.Response:
        """Applies one change, or returns the actual values."""
        now = anyio.current_time()
        match request.method, request.path:
            case "POST", "/publish":
                self._state.publish(request.body)
            case "POST", "/vms":
                body = request.json()
                at_once = bool(body.get("at_once", False))
                self._state.list_vms(body["vms"], now, at_once)
            case "POST", "/fault":
                body = request.json()
                fault = _platform_state.Fault(body["mode"])
                self._state.set_fault(fault, body.get("delay_s", 0.0), now)
            case "GET", "/vms":
                return http.json_response({"vms": self._state.current(now).vms})
            case "GET", "/calls":
                return self._calls()
            case _:
                return http.NOT_FOUND
        return http.json_response({})

    def _calls(self) -> http.Response:
        budget = self._budget
        return http.json_response(
            {
                "calls": budget.calls,
                "over_budget": budget.over,
                "greatest_in_a_second": budget.peak,
            }
        )


async def serve(options: argparse.Namespace) -> None:
    """Serves both ports until cancelled."""
    state = _platform_state.PlatformState(options.lag)
    budget = _platform_state.Budget(options.budget)
    reads = ReadPort(state, budget)
    admin = AdminPort(state, budget)
    async with anyio.create_task_group() as tasks:
        address = options.address
        await tasks.start(http.serve, reads, address, options.port)
        await tasks.start(http.serve, admin, address, options.admin_port)
        print(json.dumps({"ready": "platform"}), flush=True)


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--address", default="127.0.3.1")
    parser.add_argument("--port", type=int, default=8001)
    parser.add_argument("--admin-port", type=int, default=8101)
    parser.add_argument("--lag", type=float, default=_platform_state.LAG_S)
    parser.add_argument(
        "--budget", type=int, default=_platform_state.CALLS_PER_S
    )
    _programs.run(functools.partial(serve, parser.parse_args()))


if __name__ == "__main__":
    main()
