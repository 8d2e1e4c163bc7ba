"""A VM's program as a process of its own, and the signals it gets."""

import os
import pathlib
import signal
import subprocess
import sys

import anyio

from pollenmast import http1

PACKETS, READY, CONTROL, GOSSIP = 8172, 8167, 8166, 7720
GRACE_S = 6.0
WARMUP_OVERRUN, WARMUP_SLACK = 1.5, 5.0
"""How far cold endpoints may be overrun, where the configuration says that
they warm up."""

TOO_LATE = -1
"""Noted in place of an exit code where a VM did not end in time."""

_ROOT = pathlib.Path(__file__).parent.parent


class Vm:
    """One VM; it ends only processes that it has started."""

    def __init__(self, host, zone, seeds, store, folder, module, apply_s):
        self.host = host
        self.zone = zone
        self.module = module
        self.disturbed_at = float("-inf")
        self.exit_codes: list[int] = []
        self._file = folder / f"{host}.conf"
        self._log = folder / f"{host}.log"
        self._process: subprocess.Popen | None = None
        self._killed: subprocess.Popen | None = None
        listed = ",".join(f"{seed}:{CONTROL}" for seed in seeds)
        self._file.write_text(
            f"nodeId=vm-{host}\nzone={zone}\n"
            f"listenAddrs.datagramAddr={host}:{PACKETS}\n"
            f"listenAddrs.ready={host}:{READY}\n"
            f"listenAddrs.control={host}:{CONTROL}\n"
            f"internalPorts={GOSSIP},7735\nseedNodes={listed}\n"
            f"bounds.configApplyMs={int(apply_s * 1000)}\n"
            f"bounds.drainMs={int(apply_s * 1000)}\n"
            f"bounds.evacuateMs={int(apply_s * 1000)}\n"
            f"bounds.warmupOverrun={WARMUP_OVERRUN:g}\n"
            f"bounds.warmupSlack={WARMUP_SLACK:g}\n"
            f"bounds.graceS={GRACE_S:g}\n"
            f"platform.address={store[0]}:{store[1]}\n"
        )

    @property
    def running(self) -> bool:
        """Whether its process is there."""
        return self._process is not None and self._process.poll() is None

    def disturb(self) -> None:
        """Notes that from now on its own rules with a bound do not hold."""
        self.disturbed_at = anyio.current_time()

    def start(self) -> None:
        """Starts the process, unless another fault has started it already."""
        self.disturb()
        if self.running:
            return
        environment = {
            **os.environ,
            "POLLENMAST_CONFIG": str(self._file),
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
        """Sends a signal to the process, if it is there."""
        self.disturb()
        if self.running:
            self._process.send_signal(number)

    async def ready(self) -> bool:
        """Asks for its readiness, as the routers do."""
        connection = http1.Connection(self.host, READY)
        answer = await connection.get("/readiness", 0.5)
        await connection.aclose()
        return answer.is_ok() and answer.ok_value.status == 200

    async def stop(self) -> None:
        """Stops it in order, and notes how it ended.

        Not if another fault kills it meanwhile, or starts the next process.
        """
        process = self._process
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        code = process.poll()
        if process is self._process and process is not self._killed:
            self.exit_codes.append(TOO_LATE if code is None else code)
            self.kill()

    def kill(self) -> None:
        """Ends the process at once; a frozen one as well."""
        self.disturb()
        if self._process is not None:
            self._killed = self._process
            self._process.kill()
            self._process.wait()
