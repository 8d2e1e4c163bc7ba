"""A server is added whose id has the same 32-bit token as another one's."""

import pathlib
import random
import sys
import zlib

import anyio

from review import lab_2 as lab

ZONES = {"hall-bor": 3, "hall-fres": 2, "hall-sag": 2, "hall-kontroll": 2}
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 4000,
    "ackMs": 5000,
    "catchupS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "recoveryS": 12,
    "flowMs": 2000,
    "flowMaxS": 60,
}
ROUTE = 443
SERVICE = "cellvakt"
FLOWS_PER_ZONE = 8
DEADLINE_S = 1.0
ADD_AT_S = 10.0
LENGTH_S = 25.0


def token(number: int) -> int:
    """Returns a server's token as docs/PLATFORM.md states it."""
    return zlib.crc32(number.to_bytes(8, "big"))


def draw_ids(count: int) -> list[str]:
    """Returns the digits of ids of 40 bits; the last two share a token.

    They are drawn at random until two of them do, so nothing but the draw is
    special about them. The last one's name sorts before the other's.
    """
    seen: dict[int, int] = {}
    while True:
        number = random.randrange(1 << 32, 1 << 40)
        other = seen.setdefault(token(number), number)
        if other != number:
            break
    pair = sorted((other, number), reverse=True)
    others = random.sample(sorted(seen.values()), count)
    others = [each for each in others if each not in pair]
    return [f"{each:010x}" for each in (*others[: count - 2], *pair)]


class Traffic:
    """Clients that keep flows open for many requests, which may run once."""

    def __init__(self, world: lab.World):
        self.world = world
        self.flows: list[lab.Flow] = []
        self.ended: dict[str, str] = {}

    async def run(self, client: lab.Client) -> None:
        """Keeps one flow open, and opens the next when it ends."""
        record = self.world.record
        while True:
            await anyio.sleep(random.uniform(0.1, 0.4))
            flow = client.flow(ROUTE)
            if not await flow.open():
                continue
            self.flows.append(flow)
            while not (flow.reset_by or flow.finished):
                name = f"{random.getrandbits(64):016x}"
                record.line(f"{name} sent by {flow.name}")
                self.ended[name] = await flow.ask(name, DEADLINE_S)
                record.line(f"{name} ends: {self.ended[name]}")
                await anyio.sleep(random.uniform(0.1, 0.4))


async def test(folder: pathlib.Path, record: lab.Record) -> int:
    """Plays the case; returns 1 if the rule was broken, else 0."""
    world = lab.World(folder, record, ZONES, BOUNDS)
    zones = [zone for zone in ZONES for _ in range(2)]
    *digits, second, first = draw_ids(len(zones) + 1)
    digits.insert(0, second)
    for n, zone in enumerate(zones):
        world.server(digits[n], f"4.{n + 1}", SERVICE, zone)
    async with world.running():
        for server in world.servers:
            world.start_server(server)
        await anyio.sleep(0.1)
        world.configuration(7, {ROUTE: SERVICE})
        await world.ready()
        traffic = Traffic(world)
        for n, zone in enumerate(ZONES):
            client = world.client(f"3.{n + 1}", zone)
            for _ in range(FLOWS_PER_ZONE):
                world.start_soon(traffic.run, client)
        await anyio.sleep(ADD_AT_S - record.now())
        if not lab.trouble():
            # Any other id.
            first = f"{int(first, 16) ^ 1:010x}"
        added = world.server(first, "4.12", SERVICE, zones[0])
        world.start_server(added)
        record.say(f"{added.name} is added; {world.servers[0].name} is there")
        await anyio.sleep(LENGTH_S - record.now())
    at = {flow: server for server in world.servers for _, flow in server.opened}
    broken = []
    for flow in traffic.flows:
        server = at.get(flow.name)
        if server is None or not flow.reset_by:
            continue
        own = tuple(flow.name.rsplit(":", 1))
        if (own[0], int(own[1])) not in server.resets:
            others = [
                s.name
                for s in world.servers
                if (own[0], int(own[1])) in s.resets
            ]
            broken.append(flow)
            record.say(
                f"flow {flow.name} is open at {server.name}, which lives; its "
                f"client gets a reset from {others or flow.reset_by}"
            )
    counts: dict[str, int] = {}
    for how in traffic.ended.values():
        counts[how] = counts.get(how, 0) + 1
    record.say(f"flows: {len(traffic.flows)}, requests: {counts}")
    record.say("broken: FLOW" if broken else "the rule held")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(lab.main(pathlib.Path(__file__).parent, test))
