"""An entry of another writer, with a field missing, is used as an endpoint."""

import pathlib
import random
import sys

import anyio

from review import lab_2 as lab

ZONES = {"kar-north": 2, "kar-depot": 2, "kar-south": 2}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 5000,
    "ackMs": 8000,
    "catchupS": 6,
    "drainMs": 5000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 5000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 15000,
    "recoveryS": 15,
    "flowMs": 2000,
    "flowMaxS": 60,
}
ROUTES = {443: "parts-desk", 8443: "manual-library"}
LENGTH_S = 25.0
WRITE_AT_S = 8.0
DEADLINE_S = 2.7


def foreign_entry(named: lab.Server) -> dict[str, object]:
    """Returns an entry as PROTOCOL.md lists it, but without `seqNo`.

    Args:
        named: The server that has the entry's address by now.
    """
    return {
        "service": "parts-desk",
        "address": f"{named.host}:{named.port}",
        "zone": named.zone,
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
    }


class Traffic:
    """Clients that open a flow for each request, which may run once."""

    def __init__(self, world: lab.World):
        self.world = world
        self.service: dict[str, str] = {}
        self.ended: dict[str, str] = {}

    async def call(self, client: lab.Client, port: int) -> None:
        """Makes one call."""
        name = f"{random.getrandbits(64):016x}"
        self.service[name] = ROUTES[port]
        self.ended[name] = "unopened"
        record = self.world.record
        for _ in range(3):
            flow = client.flow(port)
            if await flow.open():
                record.line(f"{name} sent by {flow.name} to {ROUTES[port]}")
                self.ended[name] = await flow.ask(name, DEADLINE_S)
                flow.close()
                break
        record.line(f"{name} ends: {self.ended[name]}")

    async def run(self, client: lab.Client, port: int) -> None:
        """Makes calls until cancelled."""
        while True:
            self.world.start_soon(self.call, client, port)
            await anyio.sleep(random.uniform(0.1, 0.3))


def run_elsewhere(world: lab.World, traffic: Traffic) -> list[str]:
    """Returns the requests that another service has run, and records them."""
    wrong = []
    for server in world.servers:
        for at, name in server.ran:
            service = traffic.service.get(name, "nobody")
            if service != server.service:
                wrong.append(name)
                world.record.line(
                    f"{name}, sent to {service}, was run at {at:.3f} by "
                    f"{server.name} of {server.service}"
                )
    return wrong


async def test(folder: pathlib.Path, record: lab.Record) -> int:
    """Plays the case; returns 1 if the rule was broken, else 0."""
    world = lab.World(folder, record, ZONES, BOUNDS)
    for z, zone in enumerate(ZONES):
        for n in range(2):
            digits = f"{random.randrange(1 << 39, 1 << 40):010x}"
            world.server(digits, f"4.{1 + 2 * z + n}", "parts-desk", zone)
        digits = f"{random.randrange(1 << 39, 1 << 40):010x}"
        world.server(digits, f"5.{1 + z}", "manual-library", zone)
    library = [s for s in world.servers if s.service == "manual-library"]
    async with world.running():
        for server in world.servers:
            world.start_server(server)
        await anyio.sleep(0.1)
        world.configuration(7, ROUTES)
        await world.ready()
        traffic = Traffic(world)
        for n, zone in enumerate(ZONES):
            client = world.client(f"3.{n + 1}", zone)
            for port in ROUTES:
                world.start_soon(traffic.run, client, port)
        await anyio.sleep(WRITE_AT_S - record.now())
        if lab.trouble():
            entry = foreign_entry(library[0])
            world.store.put("servers/i-0000000000", entry)
            record.say(f"another writer's entry, i-0000000000: {entry}")
        await anyio.sleep(LENGTH_S - record.now())
    wrong = run_elsewhere(world, traffic)
    counts: dict[str, int] = {}
    for how in traffic.ended.values():
        counts[how] = counts.get(how, 0) + 1
    record.say(f"requests: {counts}; run by another service: {len(wrong)}")
    record.say("broken: ROUTE" if wrong else "the rule held")
    return int(bool(wrong))


if __name__ == "__main__":
    sys.exit(lab.main(pathlib.Path(__file__).parent, test))
