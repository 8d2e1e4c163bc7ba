"""Tests of callers, fabric, upstream and platform as separate processes."""

import json
import pathlib
import signal
import tempfile

import anyio
from testtools import TestCase

from standins import _ledger, _processes, _records, fleet, http

_LATEST_S = 60.0
"""Time-out in seconds that ends a hanging test; no assertion depends on it."""

_LATEST = str(_LATEST_S)


class _Path:
    """A platform, a fabric, and an upstream in place of a VM."""

    def __init__(self, processes: _processes.Processes, addresses):
        self._processes = processes
        self._platform = addresses.platform
        self._fabric = addresses.fabric
        self._upstream = addresses.upstream(1)
        self._local = addresses.caller(1)

    async def start(self, connections: int) -> None:
        start = self._processes.start
        started = [
            start("platform", "standins.platform", "--address", self._platform),
            start(
                "fabric",
                "standins.fabric",
                *("--address", self._fabric),
                *("--platform-address", self._platform),
            ),
            start(
                "registry-1",
                "standins.upstream",
                *("--name", "registry-1", "--service", "registry"),
                *("--address", self._upstream, "--port", "4001"),
                *("--connections", str(connections), "--idle", _LATEST),
            ),
        ]
        for process in started:
            ready = await process.ready(_LATEST_S)
            assert ready, process.err.read_text()
        # The fabric sends directly to the upstream.
        vms = [{"zone": "a", "address": self._upstream}]
        body = {"vms": vms, "at_once": True}
        await http.post(self._platform, 8101, "/vms", body)

    def callers(self, name: str, service: str, kind: str, count: int):
        return self._processes.start(
            name,
            "standins.callers",
            *("--name", name, "--service", service, "--kind", kind),
            *("--remote", self._fabric, "--port", "4001"),
            *("--local", self._local, "--count", str(count)),
            *("--rate", "10", "--ramp-s", "0"),
            *("--deadline-s", _LATEST, "--idle-s", _LATEST),
        )

    async def until_run(self, count: int) -> dict:
        while True:
            answer = await http.fetch(self._upstream, 6101, "/executions")
            counted = json.loads(answer.body)
            if counted["load"]["finished"] >= count:
                return counted
            await anyio.sleep(0.05)


async def _end(process: _processes.Process) -> _records.Results:
    process.signal(signal.SIGTERM)
    assert await process.ended(_LATEST_S)
    return _records.from_json(json.loads(process.out.read_text()))


class PathTest(TestCase):
    """Tests of requests from callers through the fabric to an upstream."""

    def _run(self, scenario, connections=100) -> None:
        async def main():
            reservation = fleet.Reservation()
            with tempfile.TemporaryDirectory() as folder:
                processes = _processes.Processes(pathlib.Path(folder))
                path = _Path(processes, reservation.addresses)
                try:
                    with anyio.fail_after(2 * _LATEST_S):
                        await path.start(connections)
                        await scenario(path)
                finally:
                    await processes.stop()
                    reservation.release()
                self.assertEqual([], processes.running)

        anyio.run(main)

    def test_every_request_is_answered_and_run_once(self):
        """All session and image requests are answered and run once."""

        async def scenario(path):
            sessions = path.callers("s", "registry", "session", 2)
            images = path.callers("i", "registry", "image", 1)
            await path.until_run(20)
            results = [await _end(sessions), await _end(images)]
            executions = _ledger.Executions({"u": await path.until_run(20)})
            tally = _ledger.join(results, executions).promised
            self.assertEqual(0, tally.faults(), tally)
            self.assertEqual(tally.requests, tally.answered + tally.refused)

        self._run(scenario)

    def test_full_endpoint_refuses_without_running_requests(self):
        """More sessions are opened than the endpoint accepts connections.

        Callers beyond the limit are refused at once and told when to retry.
        None of their requests is run.
        """

        async def scenario(path):
            sessions = path.callers("s", "registry", "session", 5)
            counted = await path.until_run(5)
            while counted["refused"] < 2:
                counted = await path.until_run(5)
            results = await _end(sessions)
            fates = [flow.fate for flow in results.flows]
            self.assertEqual(3, fates.count(_records.Fate.CLOSED))
            self.assertEqual([], [f for f in fates if f.value == "broken"])
            executions = _ledger.Executions({"u": await path.until_run(5)})
            self.assertEqual(
                0, _ledger.join([results], executions).promised.faults()
            )

        self._run(scenario, connections=3)

    def test_wrong_service_is_counted(self):
        """A caller's packet reaches the endpoint of another service.

        The endpoint counts the request and does not run it.
        """

        async def scenario(path):
            callers = path.callers("x", "cellvakt", "image", 1)
            counted = await path.until_run(0)
            while not counted["wrong_service"]:
                counted = await path.until_run(0)
            results = await _end(callers)
            self.assertEqual({}, counted["executions"])
            outcomes = {request.outcome for request in results.requests}
            self.assertEqual({_records.Outcome.WRONG}, outcomes)

        self._run(scenario)
