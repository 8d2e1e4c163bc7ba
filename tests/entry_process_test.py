"""Tests of the platform's program as real processes, under failure.

No assertion depends on how long something took: the tests check what clients
received, and timeouts only limit the duration of a test.
"""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import anyio
import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast import http1
from standins import http
from standins.segments import Client, Endpoint, Flow, bind
from standins.store import Fault, Store

_NET = f"127.{100 + os.getpid() % 100}"
_CLIENT = f"{_NET}.1.7"
_STORE = (f"{_NET}.2.1", 8169)
_PACKETS, _READY, _CONTROL, _GOSSIP = 8172, 8167, 8166, 7720
_SERVICE = ("198.18.0.1", 443)
_TIMEOUT_S = 15.0
_CONFIGURATION = {
    "version": 3,
    "routeTable": [
        {
            "name": "feed",
            "hostname": _SERVICE[0],
            "prefix": f"/{_SERVICE[1]}/",
            "routeType": "idempotent",
            "service": "registry",
        }
    ],
    "services": [{"name": "registry", "healthPath": "/health"}],
    "limits": {"idleTimeoutMs": 15000},
}


def _settings(host: str, seeds: list[str]) -> str:
    listed = ",".join(f"{seed}:{_CONTROL}" for seed in seeds)
    return (
        f"nodeId=vm-{host}\nzone=a\n"
        f"listenAddrs.datagramAddr={host}:{_PACKETS}\n"
        f"listenAddrs.ready={host}:{_READY}\n"
        f"listenAddrs.control={host}:{_CONTROL}\n"
        f"internalPorts={_GOSSIP},7735\nseedNodes={listed}\n"
        f"bounds.graceS=6\nplatform.address={_STORE[0]}:{_STORE[1]}\n"
    )


class _Vm:
    """One process of the program."""

    def __init__(self, number: int, folder: pathlib.Path, read_log: bool):
        self.host = f"{_NET}.3.{number}"
        self._file = folder / f"{number}.conf"
        hosts = [f"{_NET}.3.{each}" for each in (1, 2, 3)]
        self._file.write_text(_settings(self.host, hosts))
        self.log = folder / f"{number}.log"
        self._read_log = read_log
        self.process: subprocess.Popen | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self.host, _PACKETS

    def start(self) -> None:
        source = pathlib.Path(__file__).parent.parent / "src"
        environment = {
            **os.environ,
            "POLLENMAST_CONFIG": str(self._file),
            "PYTHONPATH": str(source),
        }
        out = self.log.open("ab") if self._read_log else subprocess.PIPE
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pollenmast.platform"],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=out,
            stderr=subprocess.DEVNULL if not self._read_log else out,
        )

    async def status(self) -> int:
        """Returns the HTTP status of readiness, or 0 without a response."""
        connection = http1.Connection(self.host, _READY)
        answer = await connection.get("/readiness", 1.0)
        await connection.aclose()
        return answer.ok_value.status if answer.is_ok() else 0

    async def wait_for_status(self, status: int) -> None:
        with anyio.fail_after(_TIMEOUT_S):
            while await self.status() != status:
                await anyio.sleep(0.02)

    async def wait_for_exit(self) -> int:
        with anyio.fail_after(_TIMEOUT_S):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
        return self.process.returncode

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
            if self.process.stdout is not None:
                self.process.stdout.close()


@attrs.define
class _Testbed:
    store: Store
    endpoints: list[Endpoint]
    vms: list[_Vm]
    scopes: list[anyio.CancelScope]
    client: Client
    port: int = 1024

    def flow(self) -> Flow:
        self.port += 1
        return Flow(self.client, self.port, _SERVICE)

    def addresses(self, *numbers: int) -> list[tuple[str, int]]:
        return [self.vms[number].address for number in numbers]


async def _run_endpoint(endpoint: Endpoint, scope: anyio.CancelScope) -> None:
    with scope:
        await endpoint.run()


@contextlib.asynccontextmanager
async def _running_testbed(vms: int, read_log: bool = True):
    store = Store()
    store.put("op/config", _CONFIGURATION)
    endpoints = [
        Endpoint(f"i-000000a{n}", f"{_NET}.4.{n}", 8301, _PACKETS)
        for n in (1, 2)
    ]
    client = Client(_CLIENT, _PACKETS)
    with tempfile.TemporaryDirectory(prefix="pollenmast-test-") as folder:
        path = pathlib.Path(folder)
        fleet = [_Vm(n + 1, path, read_log) for n in range(vms)]
        async with anyio.create_task_group() as tasks:
            await tasks.start(http.serve, store, *_STORE)
            scopes = []
            for endpoint in endpoints:
                store.put(
                    f"servers/{endpoint.name}", endpoint.entry("registry", "a")
                )
                scopes.append(anyio.CancelScope())
                tasks.start_soon(_run_endpoint, endpoint, scopes[-1])
            try:
                for vm in fleet:
                    vm.start()
                for vm in fleet:
                    await vm.wait_for_status(200)
                yield _Testbed(store, endpoints, fleet, scopes, client)
            finally:
                for vm in fleet:
                    vm.kill()
                client.close()
                tasks.cancel_scope.cancel()


def _has_packet_port(vm: _Vm) -> bool:
    """Returns whether a VM has bound its port for clients' packets."""
    host = int.from_bytes(socket.inet_aton(vm.host), sys.byteorder)
    local = f" {host:08X}:{_PACKETS:04X} "
    return local in pathlib.Path("/proc/net/udp").read_text()


class ProgramTest(TestCase):
    """What clients receive during failures."""

    def _run_scenario(
        self, scenario, vms: int = 2, read_log: bool = True
    ) -> None:
        async def main() -> None:
            async with _running_testbed(vms, read_log) as testbed:
                await scenario(testbed)

        anyio.run(main)

    def test_flow_through_any_vm(self):
        """A flow's packets reach its endpoint through any VM."""

        async def scenario(testbed: _Testbed) -> None:
            flow = testbed.flow()
            self.assertTrue(await flow.open(testbed.addresses(0)))
            first = await flow.ask(testbed.addresses(0), b"one")
            second = await flow.ask(testbed.addresses(1), b"two")
            self.assertEqual(first, second)
            ran = [data for each in testbed.endpoints for data in each.ran]
            self.assertEqual([b"one", b"two"], ran)

        self._run_scenario(scenario)

    def test_graceful_shutdown(self):
        """A VM that shuts down still forwards the packets it receives.

        Routers keep sending to it for a second. An immediate exit would lose
        requests at each planned change.
        """

        async def scenario(testbed: _Testbed) -> None:
            flow = testbed.flow()
            await flow.open(testbed.addresses(0))
            testbed.vms[0].process.send_signal(signal.SIGTERM)
            await testbed.vms[0].wait_for_status(503)
            self.assertTrue(await flow.ask(testbed.addresses(0), b"late"))
            self.assertEqual(0, await testbed.vms[0].wait_for_exit())

        self._run_scenario(scenario, vms=1)

    def test_restart_without_store(self):
        """A VM is killed and restarted while the store is down.

        It learns routes and endpoints from another VM. Otherwise its clients
        would wait until the store is back.
        """

        async def scenario(testbed: _Testbed) -> None:
            testbed.store.fault = Fault.DOWN
            testbed.vms[0].kill()
            testbed.vms[0].start()
            await testbed.vms[0].wait_for_status(200)
            flow = testbed.flow()
            self.assertTrue(await flow.open(testbed.addresses(0)))
            self.assertTrue(await flow.ask(testbed.addresses(0), b"one"))

        self._run_scenario(scenario)

    def test_endpoint_dies(self):
        """An endpoint's process dies while a client's flow is idle.

        The client is notified, so that its next request, which may not be
        repeated, uses a working flow.
        """

        async def scenario(testbed: _Testbed) -> None:
            idle = testbed.flow()
            await idle.open(testbed.addresses(0))
            name = (await idle.ask(testbed.addresses(0), b"one")).decode()
            dead = [e.name for e in testbed.endpoints].index(name)
            testbed.scopes[dead].cancel()
            await anyio.sleep(0.1)
            # Another client's request detects the failure.
            for _ in range(4):
                await testbed.flow().open(testbed.addresses(0))
            self.assertTrue(await idle.ended(_TIMEOUT_S))
            flow = testbed.flow()
            self.assertTrue(await flow.open(testbed.addresses(0)))
            answer = await flow.ask(testbed.addresses(0), b"two")
            self.assertEqual(testbed.endpoints[1 - dead].name, answer.decode())

        self._run_scenario(scenario, vms=1)

    def test_process_suspended(self):
        """The configuration changes while a VM's process is suspended.

        It resumes with the old configuration; callers of the removed route
        must soon be refused.
        """

        async def scenario(testbed: _Testbed) -> None:
            process = testbed.vms[0].process
            process.send_signal(signal.SIGSTOP)
            removed = {**_CONFIGURATION, "version": 9, "routeTable": []}
            testbed.store.put("op/config", removed)
            await anyio.sleep(1.5)
            process.send_signal(signal.SIGCONT)
            with anyio.fail_after(_TIMEOUT_S):
                while await testbed.flow().open(testbed.addresses(0)):
                    await anyio.sleep(0.05)

        self._run_scenario(scenario, vms=1)

    @parameterized.expand([("not_read", False), ("read", True)])
    def test_log_not_read(self, _, read_log):
        """Packets are forwarded even if nobody reads the log.

        A pipe holds 64 KiB; once it is full, a blocking write would stop every
        flow.
        """

        async def scenario(testbed: _Testbed) -> None:
            sock = bind(f"{_NET}.1.8", 9)
            for _ in range(30):
                for number in range(100):
                    sock.sendto(b"junk" * number, testbed.vms[0].address)
                await anyio.sleep(0.05)
            sock.close()
            flow = testbed.flow()
            self.assertTrue(await flow.open(testbed.addresses(0)))
            self.assertTrue(await flow.ask(testbed.addresses(0), b"one"))

        self._run_scenario(scenario, vms=1, read_log=read_log)

    def test_signal_reload_at_start(self):
        """SIGHUP for changed settings arrives while a VM is still starting.

        Before the program handled the signal, the signal terminated it. The
        platform then restarted it, and clients had one VM fewer meanwhile.
        """

        async def scenario(testbed: _Testbed) -> None:
            vm = testbed.vms[0]
            vm.kill()
            vm.start()
            with anyio.fail_after(_TIMEOUT_S):
                while not _has_packet_port(vm):
                    await anyio.sleep(0.001)
            vm.process.send_signal(signal.SIGHUP)
            await vm.wait_for_status(200)
            self.assertIsNone(vm.process.poll())

        self._run_scenario(scenario, vms=1)

    def test_signal_reload(self):
        """SIGHUP for changed settings leaves the process running and ready."""

        async def scenario(testbed: _Testbed) -> None:
            testbed.vms[0].process.send_signal(signal.SIGHUP)
            with anyio.fail_after(_TIMEOUT_S):
                while (
                    b"settings_reloaded" not in testbed.vms[0].log.read_bytes()
                ):
                    await anyio.sleep(0.02)
            self.assertEqual(200, await testbed.vms[0].status())

        self._run_scenario(scenario, vms=1)
