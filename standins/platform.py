"""A stand-in for the platform's configuration service.

The read port serves `/manifest` and `/vms` under a common call budget. The
admin port publishes manifests, sets the VM list, and sets faults.
"""

import argparse
import functools
import json

import anyio

from standins import _book, _programs, http

POLL_S = 0.02
LONGEST_WATCH_S = 60.0
TOO_MANY = http.Response(429, b'{"error": "too many calls"}')
NOTHING_NEWER = http.Response(204)


class ReadPort(http.Handler):
    """The HTTP port that the fleet reads and watches."""

    def __init__(self, book: _book.Book, budget: _book.Budget):
        self._book = book
        self._budget = budget

    async def handle(self, request: http.Request) -> http.Response:
        """Returns the response to one call under the budget and the fault."""
        if not self._budget.take(anyio.current_time()):
            return TOO_MANY
        if self._book.fault is _book.Fault.DOWN:
            return http.CLOSE_UNANSWERED
        if self._book.fault is _book.Fault.SLOW:
            await anyio.sleep(self._book.delay_s)
        if request.path == "/vms":
            seen = self._book.seen(anyio.current_time())
            return http.json_response({"vms": seen.vms})
        if request.path == "/manifest":
            return await self._manifest(request)
        return http.NOT_FOUND

    async def _manifest(self, request: http.Request) -> http.Response:
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        until = anyio.current_time() + min(wait, LONGEST_WATCH_S)
        while True:
            if self._book.fault is _book.Fault.DOWN:
                return http.CLOSE_UNANSWERED
            now = anyio.current_time()
            seen = self._book.seen(now)
            if seen.manifest and (seen.version > after or after == 0):
                return http.Response(200, seen.manifest)
            if now >= until:
                return NOTHING_NEWER
            await anyio.sleep(POLL_S)


class AdminPort(http.Handler):
    """The HTTP port by which tests and the demo control the platform."""

    def __init__(self, book: _book.Book, budget: _book.Budget):
        self._book = book
        self._budget = budget

    async def handle(self, request: http.Request) -> http.Response:
        """Applies one change, or returns the actual values."""
        now = anyio.current_time()
        match request.method, request.path:
            case "POST", "/publish":
                self._book.publish(request.body)
            case "POST", "/vms":
                body = request.json()
                at_once = bool(body.get("at_once", False))
                self._book.list_vms(body["vms"], now, at_once)
            case "POST", "/fault":
                body = request.json()
                fault = _book.Fault(body["mode"])
                self._book.set_fault(fault, body.get("delay_s", 0.0), now)
            case "GET", "/vms":
                return http.json_response({"vms": self._book.current(now).vms})
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
                "greatest_in_a_second": budget.greatest,
            }
        )


async def serve(options: argparse.Namespace) -> None:
    """Serves both ports until cancelled."""
    book = _book.Book(options.lag)
    budget = _book.Budget(options.budget)
    reads = ReadPort(book, budget)
    admin = AdminPort(book, budget)
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
    parser.add_argument("--lag", type=float, default=_book.LAG_S)
    parser.add_argument("--budget", type=int, default=_book.CALLS_A_SECOND)
    _programs.run(functools.partial(serve, parser.parse_args()))


if __name__ == "__main__":
    main()
