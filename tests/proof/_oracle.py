"""Test oracle that checks the invariants from observable events only.

It does not use owners, records or flow tables. It records the service that a
flow asked for, the packets passed to upstreams, the requests that ran, the
responses that callers got and the manifests accepted. It excuses a flow only
for the unplanned losses that docs/PROOF.md names.
"""

import enum

import attrs

from tests.proof import _traffic as traffic

SETTLE_S = 6.0
"""Seconds after which a flow must survive one unplanned loss.

Its records are replicated after 1 s, sent again for 2 s and checked again
after a change.
"""

DRAIN_S = 3.0
"""Seconds after which a draining upstream gets no new flow."""


class Invariant(enum.Enum):
    """The invariants: those of the requirements, and two more."""

    SURVIVES = "1 an open flow survives every planned change"
    RIGHT_SERVICE = "2 no packet reaches another service"
    WHOLE_ANSWER = "3 the whole answer to its own request"
    NOT_RUN = "4 told not run, not run"
    ONCE = "5 runs at most once"
    DRAINED = "6 a leaving upstream gets no new work"
    GRACEFUL = "7 a planned stop cuts nothing"
    NO_REVERT = "8 a manifest never reverts"
    AUTHENTIC = "9 forged envelopes change nothing"
    BOUNDED = "10 state stays bounded"


class ViolationError(AssertionError):
    """An invariant is violated."""

    def __init__(self, invariant: Invariant, text: str):
        super().__init__(f"invariant {invariant.value}: {text}")
        self.invariant = invariant


class Stage(enum.Enum):
    """State of a session as its caller knows it."""

    ASKED = "asked"
    OPEN = "open"
    REFUSED = "refused"
    CLOSED = "closed"


@attrs.define(eq=False)
class Flow:
    """One caller's session.

    Attributes:
        name: The session's name.
        caller: The caller's address.
        port: The service port that the caller sends to.
        requested_services: The services that had the port while the session
            was opened.
        opened_at: Time at which it was opened.
        stage: State as the caller knows it.
        excused: Why the session may break; empty if it may not.
        packets: Number of packets that the caller has sent.
        sessions: Addresses of the upstreams that opened a session for it.
        passed: Requests passed to upstreams, each with the addresses of the
            upstreams and the numbers of the relays.
        ran: Number of runs of each request.
        answers: Response parts sent by upstreams and not yet received.
        received: Response parts that the caller has received.
        duplicated: Whether the network duplicated one of its datagrams.
        chosen_upstream: The upstream whose response reached the caller
            first.
        last_active_at: Time at which the caller last sent or received a
            packet.
        former_callers: Earlier addresses of the caller.
        long_lived_at: Time of the first packet that the caller sent at a
            session age of 2 s or more.
    """

    name: str
    caller: tuple[str, int]
    port: int
    requested_services: set[int]
    opened_at: float
    stage: Stage = Stage.ASKED
    excused: str = ""
    packets: int = 0
    sessions: list[tuple[str, int]] = attrs.field(factory=list)
    passed: dict[str, set] = attrs.field(factory=dict)
    ran: dict[str, int] = attrs.field(factory=dict)
    answers: set[tuple] = attrs.field(factory=set)
    received: set[tuple] = attrs.field(factory=set)
    duplicated: bool = False
    chosen_upstream: tuple[str, int] | None = None
    last_active_at: float = 0.0
    former_callers: set[tuple[str, int]] = attrs.field(factory=set)
    long_lived_at: float | None = None

    @property
    def idempotent(self) -> bool:
        """Whether its requests may run twice."""
        return self.requested_services == {traffic.BARCODES.number}


class Oracle:
    """Checks the events that upstreams and callers observe.

    Attributes:
        flows: All flows, by name.
        keys: Version and digest of the manifest in force in each process.
        unknown_sessions: Number of packets that reached an endpoint without
            their session.
    """

    def __init__(self):
        self.flows: dict[str, Flow] = {}
        self.keys: dict[object, tuple[int, str]] = {}
        self.unknown_sessions = 0

    def on_opened(self, flow: Flow) -> None:
        """Records that a caller opens a session."""
        self.flows[flow.name] = flow

    # Invariants 2, 5 and 6: what upstreams receive.

    def on_passed(
        self, sent: traffic.PacketContent, address, relay: int, early: bool
    ) -> None:
        """Checks a packet that reached an upstream from a relay.

        A packet of an established session can run only at the upstream that
        has its keys, the one that the caller talks to. A 0-RTT packet can run
        at any upstream.

        Args:
            sent: The packet.
            address: The upstream's address.
            relay: Number of the relay's VM.
            early: Whether the datagram begins with a long header, as 0-RTT
                does.
        """
        flow = self.flows[sent.session]
        number = traffic.service_at(address)
        if number not in flow.requested_services:
            raise ViolationError(
                Invariant.RIGHT_SERVICE,
                f"{flow.name} asked for {flow.requested_services}, "
                f"reached {address}",
            )
        if not sent.request or not (early or address == flow.chosen_upstream):
            return
        if flow.stage is Stage.REFUSED:
            self._check_run_after_refusal(flow, sent.request, address)
        places = flow.passed.setdefault(sent.request, set())
        places.add((address, relay))
        addresses = {each for each, _ in places}
        if len(addresses) > 1 and not self._may_reach_two(flow):
            raise ViolationError(
                Invariant.ONCE, f"{sent.request} was passed to {addresses}"
            )

    def _may_reach_two(self, flow: Flow) -> bool:
        return flow.idempotent and (bool(flow.excused) or flow.duplicated)

    def _check_run_after_refusal(
        self, flow: Flow, request: str, address
    ) -> None:
        # While a port is being reassigned, the service that the request
        # reached decides whether it may run twice, not the one asked for.
        idempotent = traffic.service_at(address) == traffic.BARCODES.number
        if idempotent and (flow.duplicated or flow.excused):
            return
        raise ViolationError(
            Invariant.NOT_RUN,
            f"{request} of {flow.name} was passed after its refusal",
        )

    def on_new_session(
        self, flow: Flow, address, known_leaving_for: float, relay: int
    ) -> None:
        """Checks that a new session is not opened at a draining upstream.

        Args:
            flow: The flow that the session belongs to.
            address: The upstream's address.
            known_leaving_for: Seconds for which the relay or the fleet has
                known that the upstream leaves.
            relay: Number of the relay's VM.
        """
        flow.sessions.append(address)
        if known_leaving_for > DRAIN_S:
            raise ViolationError(
                Invariant.DRAINED,
                f"{flow.name} opened at {address} by {relay}, which has had "
                f"it draining for {known_leaving_for:.1f} s",
            )

    def on_unknown_session(self, flow: Flow, address, settled: bool) -> None:
        """Checks a packet that reached an endpoint without its session."""
        self.unknown_sessions += 1
        if flow.stage is Stage.OPEN and not flow.excused and settled:
            raise ViolationError(
                Invariant.SURVIVES,
                f"{flow.name} is known at {flow.sessions}, reached {address}",
            )

    def on_ran(self, flow: Flow, request: str, address) -> None:
        """Checks that a request may run, and counts the run."""
        flow.ran[request] = flow.ran.get(request, 0) + 1
        if flow.ran[request] > 1 and not flow.idempotent:
            raise ViolationError(Invariant.ONCE, f"{request} ran twice")
        if flow.stage is Stage.REFUSED:
            self._check_run_after_refusal(flow, request, address)

    # Invariants 3 and 4: what callers receive.

    def on_refused(self, flow: Flow) -> None:
        """Checks a refusal that a caller receives.

        A caller that has received a response from an upstream has discarded
        its Initial keys and ignores the refusal (RFC 9001 section 4.9.1).
        """
        if flow.stage is not Stage.ASKED:
            return
        flow.stage = Stage.REFUSED
        if flow.passed and not (flow.idempotent and flow.duplicated):
            raise ViolationError(
                Invariant.NOT_RUN,
                f"{flow.name} was refused, {sorted(flow.passed)} were passed",
            )

    def on_answered(
        self, flow: Flow, part: tuple, caller, port: int, now: float
    ) -> None:
        """Checks a response part that a relay sent to a caller.

        Args:
            flow: The session that the upstream responded on.
            part: The upstream's address and the part's number.
            caller: The address that the relay sent it to.
            port: The service port that the relay sent it from.
            now: Simulated time in seconds.
        """
        if caller in flow.former_callers and port == flow.port:
            return
        if caller != flow.caller or port != flow.port:
            raise ViolationError(
                Invariant.WHOLE_ANSWER,
                f"answer to {flow.name} ({flow.caller}, {flow.port}) went to "
                f"{caller} from {port}",
            )
        flow.received.add(part)
        flow.answers.discard(part)
        flow.last_active_at = now
        if flow.stage is Stage.ASKED:
            flow.stage = Stage.OPEN
            flow.chosen_upstream = part[0]
            flow.requested_services = {traffic.service_at(flow.chosen_upstream)}
            flow.opened_at = now

    # Invariant 8.

    def check_manifest(self, who: object, version: int, digest: str) -> None:
        """Checks that a process does not go back to an older manifest.

        Args:
            who: Identifies the process. It is or contains the process's own
                object and not its `id`, which may be reused once the object
                is freed.
            version: Version of the manifest in force.
            digest: Digest of that manifest.
        """
        before = self.keys.get(who, (0, ""))
        if (version, digest) < before:
            raise ViolationError(
                Invariant.NO_REVERT, f"went from {before} to {version}"
            )
        self.keys[who] = (version, digest)

    # Unplanned losses.

    def excuse(self, flow: Flow, why: str) -> None:
        """Records why a flow may break, unless a reason is recorded."""
        if not flow.excused:
            flow.excused = why
