"""Start and orderly shutdown of stand-in programs."""

import ctypes
import signal
import sys
from collections.abc import Awaitable, Callable

import anyio

_PR_SET_PDEATHSIG = 1


def exit_with_parent() -> None:
    """Asks the kernel to kill this process when its parent exits.

    An interrupted demo would otherwise leave processes that hold ports, and
    the next demo could not start.
    """
    libc = ctypes.CDLL(None, use_errno=True)
    libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


async def wait_for_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def _run(main: Callable[[], Awaitable[None]]) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(main)
        await wait_for_signal()
        tasks.cancel_scope.cancel()


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Runs a program until a signal ends it."""
    anyio.run(_run, main, backend="asyncio")
    sys.stdout.flush()
