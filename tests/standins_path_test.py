"""Tests of callers, fabric, upstream and platform as processes."""

import json
import pathlib
import signal
import tempfile

import anyio
from testtools import TestCase

from standins import _ledger, _processes, _records, fleet, http

_RESERVATION = fleet.Reservation()
_ADDRESSES = _RESERVATION.addresses
_PLATFORM = _ADDRESSES.platform
_FABRIC = _ADDRESSES.fabric
_UPSTREAM = _ADDRESSES.upstream(1)
_LATEST_S = 30.0
"""Ends a hanging test; no verdict depends on it."""


async def _start(processes: _processes.Processes, connections: int) -> None:
    started = [
        processes.start(
            "platform", "standins.platform", "--address", _PLATFORM
        ),
        processes.start(
            "fabric",
            "standins.fabric",
            *("--address", _FABRIC, "--platform-address", _PLATFORM),
        ),
        processes.start(
            "registry-1",
            "standins.upstream",
            *("--name", "registry-1", "--service", "registry"),
            *("--address", _UPSTREAM, "--port", "4001"),
            *("--connections", str(connections)),
        ),
    ]
    for process in started:
        assert await process.ready(_LATEST_S), process.err.read_text()
    # The upstream stands where a VM would: the fabric sends to it directly.
    vms = [{"zone": "a", "address": _UPSTREAM}]
    await http.post(_PLATFORM, 8101, "/vms", {"vms": vms, "at_once": True})


def _callers(processes, name: str, service: str, kind: str, count: int):
    return processes.start(
        name,
        "standins.callers",
        *("--name", name, "--service", service, "--kind", kind),
        *(
            "--remote",
            _FABRIC,
            "--port",
            "4001",
            "--local",
            _ADDRESSES.caller(1),
        ),
        *("--count", str(count), "--rate", "10", "--ramp-s", "0"),
    )


async def _until_run(count: int) -> dict:
    while True:
        answer = await http.fetch(_UPSTREAM, 6101, "/executions")
        counted = json.loads(answer.body)
        if counted["load"]["finished"] >= count:
            return counted
        await anyio.sleep(0.05)


async def _end(process: _processes.Process) -> _records.Results:
    process.signal(signal.SIGTERM)
    assert await process.ended(_LATEST_S)
    return _records.from_json(json.loads(process.out.read_text()))


class PathTest(TestCase):
    """Requests pass from callers through the fabric to an upstream."""

    def _run(self, scenario, connections=100) -> None:
        async def main():
            with tempfile.TemporaryDirectory() as folder:
                processes = _processes.Processes(pathlib.Path(folder))
                try:
                    with anyio.fail_after(2 * _LATEST_S):
                        await _start(processes, connections)
                        await scenario(processes)
                finally:
                    await processes.stop()
                self.assertEqual([], processes.running)

        anyio.run(main)

    def test_every_request_is_answered_and_run_once(self):
        """Sessions and images through a whole path come out whole."""

        async def scenario(processes):
            sessions = _callers(processes, "s", "registry", "session", 2)
            images = _callers(processes, "i", "registry", "image", 1)
            await _until_run(20)
            results = [await _end(sessions), await _end(images)]
            executions = _ledger.Executions({"u": await _until_run(20)})
            tally = _ledger.join(results, executions).promised
            self.assertEqual(0, tally.faults(), tally)
            self.assertEqual(tally.requests, tally.answered + tally.refused)

        self._run(scenario)

    def test_full_endpoint_refuses_and_nothing_of_it_runs(self):
        """More sessions come than the endpoint holds connections.

        Callers beyond that are refused at once and told when to come back;
        nothing that they asked has run.
        """

        async def scenario(processes):
            sessions = _callers(processes, "s", "registry", "session", 5)
            counted = await _until_run(5)
            while counted["refused"] < 2:
                counted = await _until_run(5)
            results = await _end(sessions)
            fates = [flow.fate for flow in results.flows]
            self.assertEqual(3, fates.count(_records.Fate.CLOSED))
            self.assertEqual([], [f for f in fates if f.value == "broken"])
            executions = _ledger.Executions({"u": await _until_run(5)})
            self.assertEqual(
                0, _ledger.join([results], executions).promised.faults()
            )

        self._run(scenario, connections=3)

    def test_wrong_service_is_counted(self):
        """A caller's packet reached another service's endpoint.

        The endpoint counts it and runs nothing.
        """

        async def scenario(processes):
            callers = _callers(processes, "x", "cellvakt", "image", 1)
            counted = await _until_run(0)
            while not counted["wrong_service"]:
                counted = await _until_run(0)
            results = await _end(callers)
            self.assertEqual({}, counted["executions"])
            outcomes = {request.outcome for request in results.requests}
            self.assertEqual({_records.Outcome.WRONG}, outcomes)

        self._run(scenario)
