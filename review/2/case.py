"""Case 2: an entry of another writer takes over a living endpoint's flows."""

import random
import sys

import anyio
import attrs

from review import lab

ZONES = ["pos-frederick"] * 3 + ["pos-woodbrook"] * 2 + ["pos-laventille"]
ROUTE = "198.18.0.1:8443"
VICTIM = "i-7f3a9102"
FOREIGN_KEY = "servers/backup-7f3a9102"
TROUBLE_AT_S, END_S = 14.0, 28.0
FLOWS = 60
PAUSE_S = 0.4


@attrs.define(eq=False)
class _LongFlow:
    """A flow that a client keeps open for many requests."""

    number: int
    endpoint: str = ""
    answered: int = 0
    lost: list[str] = attrs.field(factory=list)
    reset_at: float | None = None


class _Case:
    def __init__(self, deployment: lab.Lab):
        self._lab = deployment
        self.flows: list[_LongFlow] = []

    def _vms(self) -> list[tuple[str, int]]:
        return [random.choice(self._lab.vms).packets]

    async def keep_flow(self, number: int) -> None:
        """Opens a flow and sends requests on it until it ends."""
        record = self._lab.record
        known = _LongFlow(number)
        self.flows.append(known)
        flow = self._lab.flow(ROUTE)
        if not await flow.open(self._vms()):
            record.write(f"flow {number} did not open")
            return
        count = 0
        while True:
            count += 1
            request = b"f%d-%d" % (number, count)
            answer = await flow.ask(self._vms(), request)
            if not answer:
                known.reset_at = record.now() if flow.reset else None
                known.lost.append(request.decode())
                record.write(
                    f"flow {number} to {known.endpoint or 'no endpoint yet'}: "
                    f"request {request.decode()} has no answer, "
                    f"{'a reset came' if flow.reset else 'nothing came'}"
                )
                return
            known.endpoint = answer.decode()
            known.answered += 1
            await anyio.sleep(PAUSE_S * random.uniform(0.8, 1.2))

    def verdict(self) -> bool:
        """Records what became of the flows; returns whether the rule held."""
        record = self._lab.record
        ran = {
            request.decode()
            for endpoint in self._lab.endpoints.values()
            for request in endpoint.ran
        }
        for name, endpoint in self._lab.endpoints.items():
            mine = [flow for flow in self.flows if flow.endpoint == name]
            reset = [flow for flow in mine if flow.reset_at is not None]
            record.raw(
                f"{name}: it had {len(mine)} flows, ran {len(endpoint.ran)} "
                f"requests, sent {endpoint.resets} resets; clients of "
                f"{len(reset)} flows got a reset"
            )
        broken = [
            flow
            for flow in self.flows
            if flow.endpoint
            and flow.reset_at is not None
            and not self._lab.endpoints[flow.endpoint].resets
        ]
        lost = [name for flow in broken for name in flow.lost]
        record.raw(
            f"flows of living endpoints that were reset: {len(broken)}; their "
            f"last requests, never answered: {', '.join(lost) or 'none'}"
        )
        record.raw(f"of these, run: {', '.join(ran & set(lost)) or 'none'}")
        return not broken


async def case(record: lab.Record, trouble: bool) -> bool:
    """Runs the case; returns whether the rule held."""
    with lab.temporary_lab(record, ZONES) as deployment:
        test = _Case(deployment)
        async with anyio.create_task_group() as tasks:
            await deployment.start_services(tasks)
            deployment.put(
                "op/config",
                lab.configuration(7, {ROUTE: "registry"}),
                "configuration",
            )
            for number, zone in enumerate(sorted(set(ZONES)) * 2):
                name = f"i-7f3a910{number}"
                deployment.add_endpoint(tasks, name, "registry", zone)
                deployment.register(name)
            deployment.write_settings(None)
            for vm in deployment.vms:
                vm.start()
            tasks.start_soon(deployment.supervise)
            await deployment.wait_ready()
            await anyio.sleep(2.0)
            for number in range(FLOWS):
                tasks.start_soon(test.keep_flow, number)
                await anyio.sleep(0.1)
            await anyio.sleep(TROUBLE_AT_S - record.now())
            if trouble:
                entry = {
                    "service": "backups",
                    "address": f"{deployment.net}.4.99:{lab.ENDPOINT_PORT}",
                    "zone": "pos-frederick",
                    "version": "v1",
                    "slots": 2,
                    "state": "ready",
                    "warmupLeftMs": 0,
                    "seqNo": 1,
                }
                deployment.put(FOREIGN_KEY, entry, "another writer")
            await anyio.sleep(END_S - record.now())
            tasks.cancel_scope.cancel()
        return test.verdict()


if __name__ == "__main__":
    sys.exit(lab.run(case, __file__))
