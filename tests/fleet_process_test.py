"""Tests of a small fleet of real processes and sockets, under failure.

No verdict rests on how long something took: callers are judged by what they
received and upstreams by what they ran.
"""

import pathlib
import signal
import tempfile

import anyio
from testtools import TestCase

from standins import fleet
from standins.world import Outcome, World

_VMS = 3
_SESSIONS = 30
_IMAGES_PER_S = 5.0
_RAMP_S = 1.0
_WHILE_S = 3.0
_DEADLINE_S = 40.0
_FROZEN_S = 4.0
_DRAIN = {"relay": {"drain_quiet_s": "5"}}


async def _play(script) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="pollenmast-test-") as folder:
        world = World(pathlib.Path(folder), overrides=_DRAIN)
        async with world.running(_VMS):
            world.start_callers(
                "publishers",
                "session",
                fleet.REGISTRY,
                count=_SESSIONS,
                rate=0.5,
                ramp_s=_RAMP_S,
                deadline_s=_DEADLINE_S,
            )
            world.start_callers(
                "images",
                "image",
                fleet.BARCODES,
                rate=_IMAGES_PER_S,
                deadline_s=_DEADLINE_S,
            )
            await anyio.sleep(_RAMP_S + _WHILE_S)
            await script(world)
            await anyio.sleep(_WHILE_S)
            return await world.end_callers()


class FleetTest(TestCase):
    """What callers receive while processes of the fleet fail."""

    def _judge(self, script, unplanned: bool = False) -> Outcome:
        outcome = anyio.run(_play, script)
        promised = outcome.ledger.promised
        after = outcome.ledger.after_loss
        self.assertGreater(promised.answered + after.answered, _SESSIONS)
        self.assertEqual(0, promised.faults())
        self.assertEqual(0, after.never_excused())
        if not unplanned:
            self.assertEqual(0, after.flows)
        return outcome

    def test_graceful_replacement(self):
        """A VM is replaced in order; its sessions go on by the others."""

        async def script(world: World) -> None:
            await world.replace(1, 4, within_s=60.0)

        self._judge(script)

    def test_relay_killed(self):
        """A relay crashes while its agent lives on.

        The platform lists VMs and not programs, so the fabric went on handing
        this one a third of all datagrams, and nobody read them. An image of
        which every repeat of one packet went there was lost, 15 s after a
        handshake of 0.2 s; in the fabric's trace all eight datagrams of its
        request have that VM's address. Now the agent finds its link closed,
        tells the fleet, and passes on what comes to the relay's ports. What
        was never excused stays at zero.
        """

        async def script(world: World) -> None:
            world.mark_loss()
            world.vms[2].programs["relay"].signal(signal.SIGKILL)
            await anyio.sleep(2 * _WHILE_S)

        self._judge(script, unplanned=True)

    def test_relay_frozen(self):
        """A relay stands still for some seconds and wakes with old beliefs.

        Others have taken its flows over meanwhile. It must run nothing twice
        and lead no caller astray.
        """

        async def script(world: World) -> None:
            world.mark_loss()
            relay = world.vms[2].programs["relay"]
            relay.signal(signal.SIGSTOP)
            await anyio.sleep(_FROZEN_S)
            relay.signal(signal.SIGCONT)
            await anyio.sleep(_WHILE_S)

        self._judge(script, unplanned=True)

    def test_platform_outage(self):
        """The platform is down, and a VM is replaced meanwhile.

        The new VM takes manifest and members from its peers; callers notice
        nothing.
        """

        async def script(world: World) -> None:
            await world.around.platform_fault("down")
            await world.replace(3, 4, within_s=60.0)
            await world.around.platform_fault("ok")

        self._judge(script)

    def test_stale_platform(self):
        """The platform forgets a manifest that the fleet has accepted.

        It serves an older one again, as after a restore. No VM goes back, a
        new one included.
        """

        async def script(world: World) -> None:
            await world.publish(frozenset({"registry-1"}))
            older = fleet.manifest(1, world.places)
            await world.around.publish(older)
            await world.replace(2, 4, within_s=60.0)
            versions = [
                (await vm.status())["manifest"]["version"]
                for vm in world.vms.values()
            ]
            self.assertEqual([2] * _VMS, versions)

        self._judge(script)
