"""An entry in the store from another writer ends the machines' processes."""

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
LENGTH_S = 40.0
WRITE_AT_S = 8.0
WRITE_EVERY_S = 4.0
ENDS = 3
ROUTE = 443
DEADLINE_S = 2.7

# Another writer's text: each half of the last character is encoded by itself
# (CESU-8, as some runtimes write it). These bytes are not valid UTF-8.
FOREIGN_SERVICE = "spare parts \ud83d\udd27".encode(errors="surrogatepass")


def foreign_entry(left_ms: int) -> bytes:
    """Returns the entry of another writer, which can't be read."""
    return (
        b'{"service":"%s","address":"127.0.0.1:9","zone":"kar-depot",'
        b'"version":"v1","slots":2,"state":"ready","warmupLeftMs":%d,"seqNo":1}'
    ) % (FOREIGN_SERVICE, left_ms)


async def write_foreign(world: lab.World) -> None:
    """Writes the entry, and again as its `warmupLeftMs` falls."""
    for left_ms in range(20_000, -1, -int(WRITE_EVERY_S * 1000)):
        world.store.put("servers/i-5ca1ab1e00", foreign_entry(left_ms))
        world.record.line("another writer's entry: i-5ca1ab1e00")
        await anyio.sleep(WRITE_EVERY_S)


class Traffic:
    """Clients that open a flow for each request, which may run once."""

    def __init__(self, world: lab.World):
        self.world = world
        self.sent: dict[str, str] = {}

    async def call(self, client: lab.Client) -> None:
        """Makes one call."""
        name = f"{random.getrandbits(64):016x}"
        self.sent[name] = "unopened"
        record = self.world.record
        for _ in range(3):
            flow = client.flow(ROUTE)
            if await flow.open():
                record.line(f"{name} sent by {flow.name}")
                self.sent[name] = await flow.ask(name, DEADLINE_S)
                flow.close()
                break
        record.line(f"{name} ends: {self.sent[name]}")

    async def run(self, client: lab.Client) -> None:
        """Makes calls until cancelled."""
        while True:
            self.world.start_soon(self.call, client)
            await anyio.sleep(random.uniform(0.1, 0.3))


async def test(folder: pathlib.Path, record: lab.Record) -> int:
    """Plays the case; returns 1 if the rule was broken, else 0."""
    world = lab.World(folder, record, ZONES, BOUNDS)
    for zone, name in enumerate(ZONES):
        for n in range(2):
            world.server(
                f"a{zone}{n}0000001",
                f"4.{1 + 2 * zone + n}",
                "parts-desk",
                name,
            )
    async with world.running():
        for server in world.servers:
            world.start_server(server)
        await anyio.sleep(0.1)
        world.configuration(7, {ROUTE: "parts-desk"})
        await world.ready()
        traffic = Traffic(world)
        for n, zone in enumerate(ZONES):
            world.start_soon(traffic.run, world.client(f"3.{n + 1}", zone))
        await anyio.sleep(WRITE_AT_S - record.now())
        if lab.trouble():
            world.start_soon(write_foreign, world)
        await anyio.sleep(LENGTH_S - record.now())
        ends = {m.name: len(m.own_ends) for m in world.machines}
        for machine in world.machines:
            record.line(f"last error of {machine.name}: {machine.last_error()}")
    answered = sum(each == "200" for each in traffic.sent.values())
    record.say(f"requests: {len(traffic.sent)} sent, {answered} answered")
    record.say(f"processes that ended by themselves: {ends}")
    least = max(2, -(-len(ends) // 10))
    broken = sum(count >= ENDS for count in ends.values()) >= least
    record.say("broken: Fault" if broken else "the rule held")
    return int(broken)


if __name__ == "__main__":
    sys.exit(lab.main(pathlib.Path(__file__).parent, test))
