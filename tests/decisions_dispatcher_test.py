"""Tests of decisions._dispatcher."""

import random

from parameterized import parameterized
from testtools import TestCase

from pollenmast.counters import RefusalReason
from pollenmast.decisions import (
    Dispatcher,
    FlowRequest,
    Held,
    Placed,
    Refused,
)
from pollenmast.fleet import EndpointReport
from pollenmast.manifest import (
    Endpoint,
    EndpointState,
    Limits,
    Manifest,
    Service,
    ServiceKind,
)

_SERVICE = 1


def _endpoint(number: int, state=EndpointState.SERVING) -> Endpoint:
    return Endpoint(
        f"e{number}", f"127.0.2.{number}", 5000, 6000, "z1", 2, 2000, state
    )


def _manifest(
    *endpoints: Endpoint,
    kind: ServiceKind = ServiceKind.REQUEST,
    version: int = 1,
) -> Manifest:
    service = Service("s", _SERVICE, 4001, kind, True, endpoints, Limits())
    return Manifest(version, (service,), f"digest{version}")


def _dispatcher(*endpoints: Endpoint, **kwargs) -> Dispatcher:
    dispatcher = Dispatcher("z1", random.Random(1))
    dispatcher.set_fleet(1)
    dispatcher.set_manifest(_manifest(*endpoints, **kwargs), 0.0)
    return dispatcher


def _flow(ticket: int, caller: str = "10.0.0.1") -> FlowRequest:
    flow_hash = random.Random(ticket).getrandbits(64)
    return FlowRequest(ticket, _SERVICE, caller, flow_hash)


def _placed(dispatcher: Dispatcher, count: int, now: float) -> list[str]:
    outcomes = [dispatcher.on_new_flow(_flow(n), now) for n in range(count)]
    return [o.endpoint for o in outcomes if isinstance(o, Placed)]


class DispatcherTest(TestCase):
    """Every flow is placed, held or refused as its caller needs."""

    def test_idle_fleet_places_at_once(self):
        """As many flows as there are slots are placed without being held."""
        dispatcher = _dispatcher(_endpoint(1), _endpoint(2), _endpoint(3))
        self.assertEqual(6, len(_placed(dispatcher, 6, 0.0)))

    @parameterized.expand([("request", "REQUEST"), ("session", "SESSION")])
    def test_draining_endpoint_gets_no_flows(self, _, kind):
        """A draining endpoint gets no new flows.

        An operator drains an endpoint before its VM is replaced. With new
        flows the drain would never finish, and those flows would be cut when
        the VM stops.
        """
        dispatcher = _dispatcher(
            _endpoint(1),
            _endpoint(2, EndpointState.DRAINING),
            kind=ServiceKind[kind],
        )
        placed = _placed(dispatcher, 50, 0.0)
        self.assertEqual({"e1"}, set(placed))

    def test_draining_keeps_default_endpoints(self):
        """Draining keeps default endpoints, so open flows are still found."""
        before = _dispatcher(_endpoint(1), _endpoint(2))
        after = _dispatcher(_endpoint(1), _endpoint(2, EndpointState.DRAINING))
        for value in range(50):
            self.assertEqual(
                before.default_endpoint(_SERVICE, value << 40),
                after.default_endpoint(_SERVICE, value << 40),
            )

    def test_unknown_service_is_refused(self):
        """A flow to a service that is not in the manifest is refused."""
        dispatcher = Dispatcher("z1", random.Random(1))
        outcome = dispatcher.on_new_flow(_flow(1), 0.0)
        self.assertEqual(RefusalReason.NO_ENDPOINT, outcome.reason)

    def test_held_flow_is_placed_when_a_slot_frees(self):
        """A flow beyond the slots is held and placed within its hold."""
        dispatcher = _dispatcher(_endpoint(1))
        outcomes = [dispatcher.on_new_flow(_flow(n), 0.0) for n in range(8)]
        held = [o for o in outcomes if isinstance(o, Held)]
        self.assertTrue(held)
        released = []
        for step in range(1, 41):
            released += dispatcher.release(step / 100)
        self.assertEqual(len(held), len(released))
        self.assertIsInstance(released[0].outcome, Placed)

    def test_flow_of_gone_caller_is_dropped(self):
        """A held flow whose caller has gone never reaches an upstream."""
        dispatcher = _dispatcher(_endpoint(1))
        outcomes = {n: dispatcher.on_new_flow(_flow(n), 0.0) for n in range(8)}
        held = [n for n, o in outcomes.items() if isinstance(o, Held)]
        for ticket in held:
            dispatcher.on_caller_gone(ticket)
        self.assertEqual([], dispatcher.release(0.2))

    def test_overload_is_refused_immediately(self):
        """Flows that cannot be served within the hold are refused at once.

        Otherwise their callers would wait in vain. Without different
        retry-after times they would then all return together.
        """
        dispatcher = _dispatcher(_endpoint(1))
        outcomes = [
            dispatcher.on_new_flow(_flow(n, f"10.0.{n}.1"), 0.0)
            for n in range(100)
        ]
        refused = [o for o in outcomes if isinstance(o, Refused)]
        self.assertGreater(len(refused), 80)
        self.assertGreater(len({o.retry_after_ms for o in refused}), 40)

    def test_retry_uses_another_endpoint(self):
        """A flow whose endpoint does not answer is placed at another one."""
        dispatcher = _dispatcher(_endpoint(1), _endpoint(2))
        outcome = dispatcher.retry(_flow(1), ("e1",), 0.0)
        self.assertEqual("e2", outcome.endpoint)

    def test_endpoints_all_reported_down_are_used(self):
        """All endpoints are used if every report says that they are down.

        That happens when the network of the probes fails. The endpoints may
        well be up, and refusing all flows would turn a fault of the probes
        into an outage.
        """
        dispatcher = _dispatcher(_endpoint(1), _endpoint(2))
        for name in ("e1", "e2"):
            report = EndpointReport(_SERVICE, name, 1, healthy=False)
            dispatcher.on_report(report, 0.0)
        self.assertEqual(2, len(_placed(dispatcher, 2, 0.1)))
        self.assertIn("used all the same", dispatcher.loads(0.1)[0].why)

    def test_new_manifest_keeps_state(self):
        """A new manifest keeps the state of the endpoints it still lists."""
        dispatcher = _dispatcher(_endpoint(1))
        dispatcher.on_taken_over(_SERVICE, "e1")
        dispatcher.set_manifest(
            _manifest(_endpoint(1), _endpoint(2), version=2), 1.0
        )
        flows = {load.endpoint: load.flows for load in dispatcher.loads(1.0)}
        self.assertEqual({"e1": 1, "e2": 0}, flows)
