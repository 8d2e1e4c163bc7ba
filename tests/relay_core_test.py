"""Tests of relay._core: traffic between callers and upstreams."""

import json
from random import Random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast import counters as c
from pollenmast.callers import PacketType, parse_packet
from pollenmast.relay._core import RelayCore
from standins.memory import (
    BARCODES,
    FakeTransport,
    Net,
    early_data,
    initial,
    manifest,
    settings,
    short,
)

_CALLERS = [f"c{n}" for n in range(40)]


class ForwardTest(TestCase):
    """A flow's packets reach its endpoint through any VM."""

    def test_any_vm(self):
        """Packets spread over all VMs reach one endpoint, in order."""
        net = Net(vms=3)
        for tag in _CALLERS:
            net.open(tag)
            for text in ("1", "2", "3", "4"):
                net.say(tag, text)
        ran = [net.sessions[tag].ran for tag in _CALLERS]
        self.assertEqual([["1", "2", "3", "4"]] * len(_CALLERS), ran)
        self.assertEqual([], net.strangers)

    def test_one_holder(self):
        """Each flow is in the flow table of exactly one VM."""
        net = Net(vms=5)
        for tag in _CALLERS:
            net.open(tag)
        self.assertEqual({1}, {len(net.holders(tag)) for tag in _CALLERS})

    def test_services_apart(self):
        """One caller's flows to two services go to their own endpoints."""
        net = Net(vms=3)
        net.open("c1")
        net.send("c1b", initial("c1b"), service=BARCODES)
        self.assertNotEqual(
            net.sessions["c1"].upstream, net.sessions["c1b"].upstream
        )
        self.assertEqual("127.0.2.1", net.sessions["c1"].upstream[0][:9])

    @parameterized.expand(
        [
            ("empty", b"", c.DropReason.EMPTY),
            (
                "short_initial",
                initial("x")[:900],
                c.DropReason.TRUNCATED_HEADER,
            ),
            (
                "other_version",
                b"\xc0" + b"\xff" * 1250,
                c.DropReason.UNSUPPORTED_VERSION,
            ),
            (
                "cut_header",
                b"\xc0\x00\x00\x00\x01\x08ab",
                c.DropReason.TRUNCATED_HEADER,
            ),
            ("tiny", b"\x40" * 12, c.DropReason.TRUNCATED_HEADER),
            ("early_data_first", early_data("x"), c.DropReason.EARLY_DATA),
        ]
    )
    def test_malformed(self, _, data, reason):
        """A malformed packet is dropped and counted by reason.

        It must reach no upstream and use no memory.
        """
        net = Net(vms=1)
        net.send("x", data)
        self.assertEqual(1, net.dropped(c.DROPS, reason))
        self.assertEqual(0, net.relays[1].table.flows)

    def test_early_data_not_passed(self):
        """0-RTT is not forwarded to a service that is not idempotent.

        A submission sent as 0-RTT could be replayed, and a number would be
        used up twice. The Initial is forwarded at full length; the submission
        has to wait for the handshake.
        """
        net = Net(vms=1)
        net.send("c1", initial("c1", early=early_data("c1")))
        self.assertEqual(1, net.dropped(c.DROPS, c.DropReason.EARLY_DATA))
        self.assertIn("c1", net.sessions)

    def test_early_data_idempotent(self):
        """0-RTT is forwarded to an idempotent service."""
        net = Net(vms=1)
        data = initial("c1", early=early_data("c1"))
        net.send("c1", data, service=BARCODES)
        self.assertEqual(0, net.dropped(c.DROPS, c.DropReason.EARLY_DATA))


class OpenTest(TestCase):
    """New flows are placed, retried or refused without delay."""

    def test_retry(self):
        """A dead endpoint with a good report does not delay callers.

        Without a retry, callers would wait for their handshake timeout. After
        the retry time the Initial goes to another endpoint, which has not seen
        it. Once the retry budget is spent, the caller is refused, so that no
        caller is left without an answer.
        """
        net = Net(vms=1)
        net.silent_upstreams.add(("127.0.2.10", 5001))
        for tag in _CALLERS:
            net.open(tag)
        net.advance(1.0)
        told = {tag for tag in _CALLERS if net.answers_to(tag)}
        spent = net.dropped(c.REFUSALS, c.RefusalReason.RETRY_SPENT)
        self.assertEqual(set(_CALLERS), told)
        self.assertEqual(len(_CALLERS), len(net.sessions) + spent)
        self.assertGreater(net.dropped(c.RETRIES, c.RetryReason.UNANSWERED), 0)

    def test_refused_never_ran(self):
        """With all endpoints dead, every new flow is refused in the end.

        The refusal is an Initial, smaller than the caller's, and no upstream
        has a session of a refused caller.
        """
        net = Net(vms=1)
        net.silent_upstreams.update(
            (f"127.0.2.{10 + n}", 5001) for n in range(3)
        )
        net.open("c1")
        net.advance(6.0)
        (answer,) = net.answers_to("c1")
        self.assertEqual(PacketType.INITIAL, parse_packet(answer).unwrap().type)
        self.assertLess(len(answer), 1200)
        self.assertEqual({}, net.sessions)

    def test_not_ready(self):
        """A relay that has lost its agent opens no flows.

        Its view of the fleet is stale, so a new flow could go to an endpoint
        that has left. Known flows continue; new ones are left to other VMs.
        """
        net = Net(vms=1)
        net.open("c1")
        net.advance(5.0, renew=False)
        net.open("c2")
        net.say("c1", "1")
        self.assertNotIn("c2", net.sessions)
        self.assertEqual(["1"], net.sessions["c1"].ran)
        self.assertEqual(1, net.dropped(c.DROPS, c.DropReason.NOT_READY))

    def test_joining_knows_reports(self):
        """A VM that has just joined waits for reports of all endpoints.

        It has the manifest at once. Without the reports it would send new
        sessions to upstreams that report that they are draining. It opens no
        flows until every endpoint is reported, or for at most three seconds.
        """
        net = Net(vms=1)
        core = net.relays[1]
        told = net.view(core)
        joining = RelayCore(
            settings(3), FakeTransport(net, 3), Random(3), net.now
        )
        joining.on_view(attrs.evolve(told, reports=()), net.now)
        self.assertFalse(joining.ready(net.now))
        joining.on_view(told, net.now)
        self.assertTrue(joining.ready(net.now))

    def test_joining_wait_is_bounded(self):
        """A VM does not wait longer for a report that never comes."""
        net = Net(vms=1)
        view = attrs.evolve(net.view(net.relays[1]), reports=())
        joining = RelayCore(
            settings(3), FakeTransport(net, 3), Random(3), net.now
        )
        joining.on_view(view, net.now)
        for _ in range(30):
            net.now += 0.1
            joining.tick(net.now)
            self.assertFalse(joining.ready(net.now - 0.1))
        net.now += 0.1
        joining.on_view(view, net.now)
        self.assertTrue(joining.ready(net.now))

    def test_draining_endpoint(self):
        """A draining endpoint gets no new flows and keeps its open ones."""
        net = Net(vms=3)
        for tag in _CALLERS:
            net.open(tag)
        kept = [
            tag
            for tag in _CALLERS
            if net.sessions[tag].upstream[0] == "127.0.2.10"
        ]
        net.manifest = manifest(version=2, draining=("registry-0",))
        net.publish()
        later = [f"d{n}" for n in range(100, 140)]
        for tag in later:
            net.open(tag)
        for tag in kept:
            net.say(tag, "after")
        self.assertNotIn(
            "127.0.2.10", {net.sessions[tag].upstream[0] for tag in later}
        )
        self.assertEqual(
            [["after"]] * len(kept), [net.sessions[tag].ran for tag in kept]
        )


class ReusedPortTest(TestCase):
    """A port reassigned to another service misroutes no session."""

    def test_repeated_initial(self):
        """A repeated Initial opens no flow on a reassigned port.

        A session's VM dies, its port is reassigned, and the network repeats
        its Initial. If that opened a flow to the port's new service, the
        session's packets would follow it there.
        """
        net = Net(vms=2)
        net.open("c1")
        (holder,) = net.holders("c1")
        net.kill(holder)
        net.declare_dead(holder)
        swapped = json.loads(manifest(version=2))
        first, second = swapped["services"]
        first["port"], second["port"] = second["port"], first["port"]
        net.manifest = json.dumps(swapped).encode()
        net.publish()
        net.send("c1", initial("c1"), service=BARCODES)
        net.send("c1", short("c1", "1"), service=BARCODES)
        net.advance(1.0)
        reached = {net.sessions["c1"].upstream, *dict(net.strangers).values()}
        self.assertEqual({"127.0.2.1"}, {ip[:9] for ip, _ in reached})
        reason = c.DropReason.PORT_REUSED
        self.assertGreater(net.dropped(c.DROPS, reason), 0)


class SilenceTest(TestCase):
    """A flow whose path is broken gets another one."""

    def test_new_path(self):
        """A flow that a firewall has forgotten moves to a new local port.

        The endpoint still answers all other flows. Without the move, made
        after some unanswered packets, the caller's session would hang forever.
        """
        net = Net(vms=1)
        for tag in ("c1", "c2"):
            net.open(tag)
        net.sessions["c2"].upstream = net.sessions["c1"].upstream
        net.silent_paths.add(net.sessions["c1"].path)
        other = next(
            tag
            for tag in (f"o{n}" for n in range(50, 99))
            if net.open(tag) is None
            and net.sessions[tag].upstream == net.sessions["c1"].upstream
        )
        for step in range(8):
            net.say("c1", str(step))
            net.say(other, "alive")
            net.advance(0.5)
        self.assertEqual("7", net.sessions["c1"].ran[-1])
        self.assertEqual(1, net.dropped(c.REPATHS, c.RepathReason.SILENT))

    def test_dead_endpoint_not_repathed(self):
        """Flows to an endpoint that answers nobody get no new path.

        A new path cannot help it, and thousands of moves would add load.
        """
        net = Net(vms=1)
        net.open("c1")
        net.silent_upstreams.add(net.sessions["c1"].upstream)
        for step in range(8):
            net.say("c1", str(step))
            net.advance(0.5)
        self.assertEqual(0, net.dropped(c.REPATHS, c.RepathReason.SILENT))


class FloodTest(TestCase):
    """Floods use bounded memory and do not affect flows in progress."""

    def test_unknown_flows(self):
        """Forged packets of unknown flows do not fill the flow table.

        If they did, real callers would be refused. Guessed flows that no
        upstream answers are removed within seconds.
        """
        net = Net(vms=1)
        net.open("c1")
        for n in range(300):
            net.send(f"f{n + 100}", short(f"f{n + 100}", "x"))
        net.advance(8.0)
        net.say("c1", "1")
        self.assertEqual(1, net.relays[1].table.flows)
        self.assertEqual(["1"], net.sessions["c1"].ran)
