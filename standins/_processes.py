"""Starts and stops the processes of a stand-in fleet, by process id."""

import pathlib
import signal
import subprocess
import sys
import time

import anyio
import attrs

from standins import _programs

POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 2.0
"""Time between SIGTERM and SIGKILL at the end of a run, in seconds.

Flows have ended by then, so no longer handover is needed.
"""


@attrs.frozen
class Usage:
    """Resource usage of one process as the kernel reports it.

    Attributes:
        cpu_s: Processor time, in seconds.
        peak_bytes: Peak resident set size, in bytes.
    """

    cpu_s: float
    peak_bytes: int


class Process:
    """A child process whose output goes to files."""

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path):
        self.name = name
        self.out = folder / f"{name}.out"
        self.err = folder / f"{name}.err"
        with self.out.open("wb") as out, self.err.open("wb") as err:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                preexec_fn=_programs.exit_with_parent,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._popen.poll()

    def signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.exit_code is None:
            self._popen.send_signal(number)

    async def ready(self, within_s: float) -> bool:
        """Waits until a stand-in reports that it is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until and self.exit_code is None:
            if b'"ready"' in self.out.read_bytes():
                return True
            await anyio.sleep(POLL_INTERVAL_S)
        return False

    async def ended(self, within_s: float) -> bool:
        """Waits for the process to exit; returns whether it did."""
        until = time.monotonic() + within_s
        while self.exit_code is None and time.monotonic() < until:
            await anyio.sleep(POLL_INTERVAL_S)
        return self.exit_code is not None

    def usage(self) -> Usage:
        """Returns the resource usage of a running process."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        peak = next(
            line for line in status.splitlines() if line.startswith("VmHWM")
        )
        nanoseconds = sum(
            int(thread.read_text().split()[0])
            for thread in pathlib.Path(f"/proc/{self.pid}/task").glob(
                "*/schedstat"
            )
        )
        return Usage(nanoseconds / 1e9, int(peak.split()[1]) * 1024)


class Processes:
    """The child processes that one program started."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self.all: list[Process] = []

    def start(self, name: str, *arguments: str) -> Process:
        """Starts `python -m ARGUMENTS`."""
        process = Process(name, list(arguments), self._folder)
        self.all.append(process)
        return process

    @property
    def failed(self) -> list[Process]:
        """Processes that exited by themselves with an error code."""
        return [each for each in self.all if (each.exit_code or 0) > 0]

    @property
    def running(self) -> list[Process]:
        """Processes that have not exited."""
        return [each for each in self.all if each.exit_code is None]

    async def stop(self) -> None:
        """Stops all processes, with SIGKILL after `STOP_TIMEOUT_S`."""
        with anyio.CancelScope(shield=True):
            for number in (signal.SIGTERM, signal.SIGKILL):
                for process in self.running:
                    process.signal(number)
                until = time.monotonic() + STOP_TIMEOUT_S
                while self.running and time.monotonic() < until:
                    await anyio.sleep(POLL_INTERVAL_S)
