"""Runs a VM's program as a process and sends it signals."""

import os
import pathlib
import signal
import subprocess
import sys

import anyio

from pollenmast import http1

DATAGRAM_PORT, READY_PORT, CONTROL_PORT, GOSSIP_PORT = 8172, 8167, 8166, 7720
GRACE_S = 6.0
WARMUP_OVERRUN, WARMUP_SLACK = 1.5, 5.0
"""Bounds of the rate of new flows to an endpoint that warms up.

Where the configuration declares a warm-up period, the rate may reach
`WARMUP_OVERRUN` times the declared one, plus `WARMUP_SLACK` flows.
"""

STOP_TIMED_OUT = -1
"""Recorded in place of an exit code if a VM did not exit in time."""

_ROOT = pathlib.Path(__file__).parent.parent


class Vm:
    """The process of a VM; only processes that it started are ended.

    Attributes:
        host: The VM's address.
        zone: Its availability zone.
        module: The module to run, followed by its arguments.
        disturbed_at: When the process was last started, signalled or killed.
        exit_codes: The exit code of each orderly stop.
        peaks_mb: The peak of resident memory at each orderly stop, in MB.
    """

    def __init__(self, host, zone, seeds, store, folder, module, apply_s):
        self.host = host
        self.zone = zone
        self.module = module
        self.disturbed_at = float("-inf")
        self.exit_codes: list[int] = []
        self.peaks_mb: list[float] = []
        self._config_file = folder / f"{host}.conf"
        self._log = folder / f"{host}.log"
        self._process: subprocess.Popen | None = None
        self._killed: subprocess.Popen | None = None
        listed = ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds)
        self._config_file.write_text(
            f"nodeId=vm-{host}\nzone={zone}\n"
            f"listenAddrs.datagramAddr={host}:{DATAGRAM_PORT}\n"
            f"listenAddrs.ready={host}:{READY_PORT}\n"
            f"listenAddrs.control={host}:{CONTROL_PORT}\n"
            f"internalPorts={GOSSIP_PORT},7735\nseedNodes={listed}\n"
            f"bounds.configApplyMs={int(apply_s * 1000)}\n"
            f"bounds.drainMs={int(apply_s * 1000)}\n"
            f"bounds.evacuateMs={int(apply_s * 1000)}\n"
            f"bounds.warmupOverrun={WARMUP_OVERRUN:g}\n"
            f"bounds.warmupSlack={WARMUP_SLACK:g}\n"
            f"bounds.graceS={GRACE_S:g}\n"
            f"platform.address={store[0]}:{store[1]}\n"
        )

    @property
    def contained_faults(self) -> list[str]:
        """The log lines of faults that the program contained."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if '"fault_contained"' in line]

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def mark_disturbed(self) -> None:
        """Records that time bounds may not hold for this VM from now on."""
        self.disturbed_at = anyio.current_time()

    def start(self) -> None:
        """Starts the process unless another fault has already started it."""
        self.mark_disturbed()
        if self.running:
            return
        environment = {
            **os.environ,
            "POLLENMAST_CONFIG": str(self._config_file),
            "PYTHONPATH": f"{_ROOT / 'src'}{os.pathsep}{_ROOT}",
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self.module],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        self.mark_disturbed()
        if self.running:
            self._process.send_signal(number)

    async def ready(self) -> bool:
        """Returns whether the VM is ready, by the check that routers use."""
        connection = http1.Connection(self.host, READY_PORT)
        answer = await connection.get("/readiness", 0.5)
        await connection.aclose()
        return answer.is_ok() and answer.ok_value.status == 200

    async def stop(self) -> None:
        """Stops the process with SIGTERM and records its exit code.

        Records nothing if another fault kills the process or replaces it while
        it stops.
        """
        process = self._process
        if self.running:
            self.peaks_mb.append(_read_peak_mb(process.pid))
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        code = process.poll()
        if process is self._process and process is not self._killed:
            self.exit_codes.append(STOP_TIMED_OUT if code is None else code)
            self.kill()

    def kill(self) -> None:
        """Kills the process at once, also if it is frozen."""
        self.mark_disturbed()
        if self._process is not None:
            self._killed = self._process
            self._process.kill()
            self._process.wait()


def _read_peak_mb(pid: int) -> float:
    """Returns the peak of a process's resident memory in MB, 0 if it ended."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return sum(
        int(line.split()[1]) / 1024
        for line in lines
        if line.startswith("VmHWM:")
    )
