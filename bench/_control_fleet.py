"""Runs a fleet of real agents with stubs for all other components."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

import attrs

from bench import _control_stubs as stubs
from standins._addresses import Addresses, Reservation

ZONES = ("hall-bor", "hall-fres", "hall-sag")
PLATFORM_PORT, ADMIN_PORT = 8501, 8502
LINK_PORT, OPERATORS_PORT = 7502, 7505
LOAD_PORTS = tuple(range(6501, 6512))
"""Load ports of eleven endpoints: seven of cellvakt, four of profilarkiv."""

_SETTINGS = """[vm]
name = {name}
availability_zone = {zone}
address = {address}
[fleet]
key_file = {key_file}
[platform]
address = {platform}
port = {platform_port}
[relay]
peer_port = 7501
link_port = {link_port}
grace_s = 5
[agent]
gossip_port = 7503
fetch_port = 7504
operators_port = {operators_port}
"""


@attrs.frozen
class Usage:
    """Resources that a process has used since it started."""

    cpu_s: float
    rss_mb: float
    sent_bytes: dict[str, int]


@attrs.define
class AgentProcess:
    """An agent process with its addresses."""

    name: str
    zone: str
    address: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None

    def usage(self) -> Usage:
        """Returns the resources used since the process started."""
        proc = pathlib.Path(f"/proc/{self.process.pid}")
        fields = (proc / "stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        pages = int((proc / "statm").read_text().split()[1])
        sent = {
            counter["reason"]: counter["value"]
            for counter in self.status()["counters"]
            if counter["name"] == "control_bytes"
            and counter["program"] == "agent"
        }
        return Usage(
            ticks / os.sysconf("SC_CLK_TCK"),
            pages * os.sysconf("SC_PAGE_SIZE") / 2**20,
            sent,
        )

    def status(self) -> dict:
        """Returns the status from the agent's operator port."""
        url = f"http://{self.address}:{OPERATORS_PORT}/status"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.load(answer)

    def send_signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)


def _manifest(upstream: str, version: int, padding: int) -> bytes:
    endpoints = [
        {
            "name": f"cellvakt-{n}",
            "address": upstream,
            "port": 5500 + n,
            "load_port": port,
            "zone": ZONES[n % len(ZONES)],
            "slots": 2,
            "connections": 2000,
            "state": "serving",
        }
        for n, port in enumerate(LOAD_PORTS)
    ]
    services = [
        {
            "name": name,
            "number": number,
            "port": 4500 + number,
            "kind": kind,
            "idempotent": kind == "request",
            "endpoints": chosen,
        }
        for name, number, kind, chosen in (
            ("cellvakt", 1, "session", endpoints[:7]),
            ("profilarkiv", 2, "request", endpoints[7:]),
        )
    ]
    text = json.dumps({"version": version, "services": services})
    return (text + " " * padding).encode()


class Fleet:
    """Context manager that starts and stops the processes of a fleet."""

    def __init__(self, size: int):
        # Two benchmarks running at once would compete for the ports, and each
        # would measure the other's agents.
        self._reservation = Reservation()
        self._addresses: Addresses = self._reservation.addresses
        self._folder = tempfile.TemporaryDirectory()
        root = pathlib.Path(self._folder.name)
        key_file = root / "key"
        key_file.write_text(stubs.KEY.hex())
        key_file.chmod(0o600)
        self.events: list[dict] = []
        self._others: list[subprocess.Popen] = []
        self.agents = [self._agent(n, root, key_file) for n in range(size)]

    def __enter__(self) -> "Fleet":
        self._start_stubs()
        self.publish(1)
        self.list_vms()
        for agent in self.agents:
            self.start(agent)
        return self

    def __exit__(self, *_: object) -> None:
        running = [agent.process for agent in self.agents if agent.process]
        for process in (*running, *self._others):
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()
        self._reservation.release()

    def start(self, agent: AgentProcess) -> None:
        """Starts or restarts an agent."""
        agent.process = self._run(
            "pollenmast", "agent", "--settings", str(agent.settings)
        )

    def publish(self, version: int, padding: int = 0) -> None:
        """Publishes a manifest followed by `padding` bytes of whitespace."""
        upstream = self._addresses.upstream(1)
        self.platform_admin("/publish", _manifest(upstream, version, padding))

    def list_vms(self) -> None:
        """Makes the platform stand-in list every VM."""
        vms = [
            {
                "name": agent.name,
                "zone": agent.zone,
                "address": agent.address,
                "relay_port": 7501,
                "gossip_port": 7503,
                "fetch_port": 7504,
                "state": "live",
            }
            for agent in self.agents
        ]
        body = json.dumps({"vms": vms, "at_once": True}).encode()
        self.platform_admin("/vms", body)

    def platform_admin(self, path: str, body: bytes | None = None) -> dict:
        """Sends a request to the admin port of the platform stand-in."""
        url = f"http://{self._addresses.platform}:{ADMIN_PORT}{path}"
        method = "GET" if body is None else "POST"
        request = urllib.request.Request(url, body, method=method)
        with urllib.request.urlopen(request, timeout=5) as answer:
            return json.load(answer)

    def wait_until(self, met, timeout_s: float = 20.0) -> bool:
        """Polls `met()` until it is true; returns False on timeout."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if met():
                return True
            time.sleep(0.02)
        return False

    def first_event_times(self, **fields: object) -> dict[str, float]:
        """Returns the time of the first matching event, by VM."""
        times: dict[str, float] = {}
        for event in list(self.events):
            if fields.items() <= event.items():
                times.setdefault(event["vm"], event["at"])
        return times

    def _agent(
        self, n: int, root: pathlib.Path, key_file: pathlib.Path
    ) -> AgentProcess:
        name, address = f"vm-{n + 1}", self._addresses.vm(n + 1)
        zone = ZONES[n % len(ZONES)]
        path = root / f"{name}.ini"
        path.write_text(
            _SETTINGS.format(
                name=name,
                zone=zone,
                address=address,
                key_file=key_file,
                platform=self._addresses.platform,
                platform_port=PLATFORM_PORT,
                link_port=LINK_PORT,
                operators_port=OPERATORS_PORT,
            )
        )
        return AgentProcess(name, zone, address, path)

    def _start_stubs(self) -> None:
        platform = self._run(
            "standins.platform",
            *(
                "--address",
                self._addresses.platform,
                "--port",
                str(PLATFORM_PORT),
            ),
            *("--admin-port", str(ADMIN_PORT)),
        )
        vms = [f"{agent.name}={agent.address}" for agent in self.agents]
        stub = self._run(
            "bench._control_stubs",
            *(
                "--upstreams",
                self._addresses.upstream(1),
                "--link-port",
                str(LINK_PORT),
            ),
            *("--load-ports", *map(str, LOAD_PORTS), "--vms", *vms),
            stdout=subprocess.PIPE,
        )
        self._others = [platform, stub]
        threading.Thread(
            target=self._collect_events, args=(stub,), daemon=True
        ).start()
        platform.stdout.readline()

    def _collect_events(self, stub: subprocess.Popen) -> None:
        for line in stub.stdout:
            self.events.append(json.loads(line))

    def _run(
        self, module: str, *options: str, stdout: int | None = None
    ) -> subprocess.Popen:
        pipe = module == "standins.platform"
        log = None if os.environ.get("BENCH_LOGS") else subprocess.DEVNULL
        out = subprocess.PIPE if pipe else stdout or subprocess.DEVNULL
        return subprocess.Popen(
            [sys.executable, "-m", module, *options], stdout=out, stderr=log
        )


KILL = signal.SIGKILL
