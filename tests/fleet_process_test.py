"""Failure tests of a small fleet of real processes and sockets.

No assertion depends on how long something took: the tests check what callers
received and what upstreams executed.
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
_STEP_S = 3.0
_DEADLINE_S = 40.0
_FREEZE_S = 4.0
_DRAIN_SETTINGS = {"relay": {"drain_quiet_s": "5"}}


async def _run_fleet(script) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="pollenmast-test-") as folder:
        world = World(pathlib.Path(folder), overrides=_DRAIN_SETTINGS)
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
            await anyio.sleep(_RAMP_S + _STEP_S)
            await script(world)
            await anyio.sleep(_STEP_S)
            return await world.end_callers()


class FleetTest(TestCase):
    """What callers receive while processes of the fleet fail."""

    def _run_and_check(self, script, unplanned: bool = False) -> Outcome:
        outcome = anyio.run(_run_fleet, script)
        promised = outcome.ledger.promised
        after = outcome.ledger.after_loss
        self.assertGreater(promised.answered + after.answered, _SESSIONS)
        self.assertEqual(0, promised.faults())
        self.assertEqual(0, after.never_excused())
        if not unplanned:
            self.assertEqual(0, after.flows)
        return outcome

    def test_graceful_replacement(self):
        """Sessions of a VM that is replaced gracefully go on through others."""

        async def script(world: World) -> None:
            await world.replace(1, 4, within_s=60.0)

        self._run_and_check(script)

    def test_relay_killed(self):
        """The agent forwards datagrams for a relay that has crashed.

        The platform lists VMs and not programs, so the fabric goes on
        delivering a third of all datagrams to the VM. Without a reader there,
        an image was lost 15 s after a handshake of 0.2 s, because all eight
        datagrams of its request, retransmissions included, went to that VM. The
        agent has to detect the closed link, notify the fleet and forward what
        arrives on the relay's ports. Faults that are never excused stay at
        zero.
        """

        async def script(world: World) -> None:
            world.mark_loss()
            world.vms[2].programs["relay"].signal(signal.SIGKILL)
            await anyio.sleep(2 * _STEP_S)

        self._run_and_check(script, unplanned=True)

    def test_relay_frozen(self):
        """A relay that was frozen for some seconds resumes with stale state.

        Other relays have taken over its flows meanwhile. It must not execute
        anything twice nor misdirect callers.
        """

        async def script(world: World) -> None:
            world.mark_loss()
            relay = world.vms[2].programs["relay"]
            relay.signal(signal.SIGSTOP)
            await anyio.sleep(_FREEZE_S)
            relay.signal(signal.SIGCONT)
            await anyio.sleep(_STEP_S)

        self._run_and_check(script, unplanned=True)

    def test_platform_outage(self):
        """A VM is replaced during an outage of the platform.

        The new VM gets the manifest and the members from its peers; callers are
        not affected.
        """

        async def script(world: World) -> None:
            await world.around.platform_fault("down")
            await world.replace(3, 4, within_s=60.0)
            await world.around.platform_fault("ok")

        self._run_and_check(script)

    def test_stale_platform(self):
        """The platform loses a manifest that the fleet has accepted.

        It serves an older manifest again, as after a restore. No VM may return
        to the older one, and neither may a new VM adopt it.
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

        self._run_and_check(script)
