"""Stand-in callers with long sessions, or with a new flow for each image.

The program runs until SIGTERM or for `--duration-s`. It then makes no more
requests, waits for open ones, and writes its records to stdout as one JSON
object.
"""

import argparse
import json
import random
import sys

import anyio

from standins import _caller_context, _image, _programs, _reactor, _session

CLOSE_TIMEOUT_S = 1.0
"""Time allowed for flows to close at the end, in seconds."""

POLL_INTERVAL_S = 0.05


class Program:
    """The callers of one process, all of the same kind."""

    def __init__(self, shared: _caller_context.CallerContext, kind: str):
        self._shared = shared
        self._kind = kind
        self._sessions: list[_session.SessionCaller] = []

    def start(self) -> None:
        """Starts to open flows."""
        if self._kind == "image":
            self._open_next_image()
            return
        plan = self._shared.plan
        for number in range(plan.count):
            caller = _session.SessionCaller(self._shared)
            self._sessions.append(caller)
            delay_s = plan.ramp_s * number / plan.count
            self._shared.reactor.at(
                self._shared.reactor.now + delay_s, caller.open
            )

    async def finish(self) -> None:
        """Stops making requests, waits for open ones, and closes all flows."""
        shared = self._shared
        shared.finishing = True
        shared.end_unretried()
        until = anyio.current_time() + shared.plan.deadline_s
        while self._has_pending() and anyio.current_time() < until:
            await anyio.sleep(POLL_INTERVAL_S)
        shared.end_unretried()
        for session in self._sessions:
            session.close()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while shared.open_flows:
                await anyio.sleep(POLL_INTERVAL_S)

    def _has_pending(self) -> bool:
        if self._kind == "image":
            return self._shared.open_flows > 0
        return any(session.pending for session in self._sessions)

    def _open_next_image(self) -> None:
        shared = self._shared
        if shared.finishing:
            return
        _image.ImageCaller(shared).open()
        delay_s = shared.rng.expovariate(shared.plan.rate)
        shared.reactor.at(shared.reactor.now + delay_s, self._open_next_image)


async def _run(options: argparse.Namespace) -> None:
    reactor = _reactor.Reactor()
    reactor.now = anyio.current_time()
    shared = _caller_context.CallerContext(
        reactor, _plan(options), random.Random(options.seed)
    )
    program = Program(shared, options.kind)
    async with anyio.create_task_group() as tasks:
        program.start()
        tasks.start_soon(reactor.run)
        with anyio.move_on_after(options.duration_s):
            await _programs.wait_for_signal()
        await program.finish()
        tasks.cancel_scope.cancel()
    json.dump(shared.results.to_json(), sys.stdout)
    sys.stdout.write("\n")


def _plan(options: argparse.Namespace) -> _caller_context.LoadPlan:
    return _caller_context.LoadPlan(
        name=options.name,
        service=options.service,
        remote=(options.remote, options.port),
        local=options.local,
        count=options.count,
        ramp_s=options.ramp_s,
        rate=options.rate,
        work_s=options.work_s,
        size=options.size,
        deadline_s=options.deadline_s,
        feed_s=options.feed_s,
        lifetime_s=options.lifetime_s,
        keepalive_s=options.keepalive_s,
        idle_s=options.idle_s,
    )


def main() -> None:
    """Runs the program."""
    parser = argparse.ArgumentParser(prog="standins.callers")
    parser.add_argument("--kind", choices=["session", "image"], required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--remote", default="127.0.4.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--local", default="127.0.5.1")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--ramp-s", type=float, default=1.0)
    parser.add_argument("--rate", type=float, default=1.0)
    parser.add_argument("--work-s", type=float, default=0.01)
    parser.add_argument("--size", type=int, default=20_000)
    parser.add_argument("--deadline-s", type=float, default=10.0)
    parser.add_argument("--feed-s", type=float, default=1.0)
    parser.add_argument("--lifetime-s", type=float, default=0.0)
    parser.add_argument("--keepalive-s", type=float, default=2.0)
    parser.add_argument("--idle-s", type=float, default=15.0)
    parser.add_argument("--duration-s", type=float, default=None)
    parser.add_argument("--seed", type=int, default=1)
    anyio.run(_run, parser.parse_args(), backend="asyncio")


if __name__ == "__main__":
    main()
