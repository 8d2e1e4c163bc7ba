"""Case 1: an entry of another writer that can't be read ends every VM."""

import json
import random
import sys

import anyio

from review import lab

ZONES = ["pos-frederick"] * 3 + ["pos-woodbrook"] * 2 + ["pos-laventille"]
ROUTE = "198.18.0.1:8443"
FOREIGN_KEY = "servers/i-5a5a0001"
FIRST_WRITE_S, LAST_WRITE_S, END_S = 12.0, 34.0, 38.0
HEARTBEAT_S = 1.2
ENDS, SHARE, LEAST = 3, 0.1, 2
"""RULES.md, Fault: three times in the day, on a tenth of the machines in use,
two at least."""


def foreign_entry(number: int) -> bytes:
    """Returns an entry whose text is not UTF-8: it can't be read.

    The bytes ED A0 80 are ill-formed; everything else is as in an entry.
    """
    entry = {
        "service": "?",
        "address": "127.0.0.1:9",
        "zone": "pos-frederick",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
        "seqNo": number,
    }
    return json.dumps(entry).encode().replace(b"?", b"batch\xed\xa0\x80")


async def _call(deployment: lab.Lab, number: int) -> None:
    flow = deployment.flow(ROUTE)
    vms = [random.choice(deployment.vms).packets]
    opened = await flow.open(vms)
    answer = await flow.ask(vms, b"r%d" % number) if opened else b""
    deployment.record.write(
        f"request {number} through {vms[0][0]}: opened {opened}, "
        f"answer {answer.decode() or 'none'}"
    )


async def _calls(deployment: lab.Lab, tasks: anyio.abc.TaskGroup) -> None:
    number = 0
    while True:
        number += 1
        tasks.start_soon(_call, deployment, number)
        await anyio.sleep(0.2)


async def case(record: lab.Record, trouble: bool) -> bool:
    """Runs the case; returns whether the rule held."""
    with lab.temporary_lab(record, ZONES) as deployment:
        async with anyio.create_task_group() as tasks:
            await deployment.start_services(tasks)
            routes = {ROUTE: "registry"}
            deployment.put(
                "op/config", lab.configuration(7, routes), "configuration"
            )
            for number, zone in enumerate(sorted(set(ZONES)) * 2):
                name = f"i-7f3a910{number}"
                deployment.add_endpoint(tasks, name, "registry", zone)
                if number < 5:
                    deployment.register(name)
            deployment.write_settings(None)
            for vm in deployment.vms:
                vm.start()
            tasks.start_soon(deployment.supervise)
            await deployment.wait_ready()
            record.write("all VMs are ready")
            tasks.start_soon(_calls, deployment, tasks)
            await anyio.sleep(2.0)
            # An ordinary change: one more endpoint comes.
            deployment.register("i-7f3a9105")
            await _write(deployment, trouble)
            tasks.cancel_scope.cancel()
        for vm in deployment.vms:
            times = ", ".join(f"{at:.1f}" for at in vm.own_ends) or "never"
            record.raw(f"{vm.name} ended by itself at: {times}")
            for line in _last_error(vm):
                record.raw(f"  {line}")
        ended = [v for v in deployment.vms if len(v.own_ends) >= ENDS]
        bound = max(LEAST, SHARE * len(deployment.vms))
        record.raw(
            f"VMs that ended by themselves {ENDS} times or more: {len(ended)} "
            f"of {len(deployment.vms)}; the rule allows fewer than {bound:g}"
        )
        return len(ended) < bound


async def _write(deployment: lab.Lab, trouble: bool) -> None:
    await anyio.sleep(FIRST_WRITE_S - deployment.record.now())
    number = 0
    while deployment.record.now() < LAST_WRITE_S:
        number += 1
        if trouble:
            deployment.put(FOREIGN_KEY, foreign_entry(number), "another writer")
        await anyio.sleep(HEARTBEAT_S)
    await anyio.sleep(END_S - deployment.record.now())


def _last_error(vm: lab.Vm) -> list[str]:
    lines = vm.log.read_text(errors="replace").splitlines()
    errors = [line.strip(" |+") for line in lines if "Error" in line]
    return sorted(set(errors))[:3]


if __name__ == "__main__":
    sys.exit(lab.run(case, __file__))
