"""Whether an endpoint answers, from what passes by this VM.

Load pattern: an endpoint dies, hangs or is cut off while the directory still
lists it, for seconds. Its answers go straight to the clients, so a VM sees
none of them. Without own evidence each request on a flow to it waits out its
deadline, and new flows go on being placed there.

A client that acknowledges more than before has received something: the
endpoint lives. The signs of the opposite are

- a client that sends a SYN or data again: it has received nothing;
- a client that does not go on after its SYN: where no process listens, its
  machine resets each SYN at once, and the client uses up its tries within
  milliseconds;
- a request, and no client of the endpoint that advances for a while after it.

Each may be chance, so it only asks for a health check and keeps new flows
away until that has answered; the check decides.
"""

import enum
import math
from collections.abc import Callable

from pollenmast.counters import CheckReason
from pollenmast.steering._model import FlowKey

CALM_S = 0.15
"""A repeat counts only where no other flow of the endpoint has advanced for
so long: three quarters of the clients' first retransmission time of 0.2 s, so
that a single lost packet of a busy endpoint costs no check."""

FAILED_CHECKS = 3
"""Unanswered health checks in a row that make an endpoint down. On a link
that loses a twentieth of its packets one check in ten fails, and three in a
row one time in a thousand."""

RECHECK_S = 0.5
"""Between two checks of an endpoint that is down. Its return is seen within
this; half a second is a tenth of the shortest usual outage."""

RECHECK_MOST_S = 1.0
"""The longest such pause; it doubles up to here, as each check has a cost. A
cut of some seconds hides a service for at most this much longer."""


OPEN_S = 0.04
"""How long the client's next packet may take after its SYN: two ways to the
client and the endpoint are about 10 ms, the endpoint's turn some more."""

SILENT_S = 0.12
"""How long an endpoint may show no life after a request. Nine of ten requests
take less, and of a busy endpoint's clients some other one advances meanwhile;
waiting for the client's repeat would take 0.2 s."""

SILENT_FACTOR = 4.0
"""The same in usual answer times, if that is more. When all endpoints are
busy, each late answer would else cause a check, which takes a slot and makes
the next answer later."""

AVOID_S = 1.5
"""How long another VM's finding counts: three of its reports."""

MOST_DEFER_S = 5.0
"""The longest between two looks of this VM at an endpoint that is down, while
a reader reports it so. VMs that took each other for readers would otherwise
wait for each other for good."""

TRUST_S = 0.5
"""After an answered check no other is asked for by silence: while the VMs in
rotation change, a flow's next packet may pass by another VM."""

MOST_PENDING = 256
"""SYNs awaited for one endpoint; beyond that the oldest is given up."""


class CheckResult(str, enum.Enum):
    """What a health check showed."""

    ANSWERED = "answered"
    UNHEALTHY = "unhealthy"
    """It answered that it takes no work; the process lives."""

    OTHER = "other"
    """Another process answered at its address."""

    REFUSED = "refused"
    """Nothing listens at its address."""

    TIMEOUT = "timeout"


_CERTAIN = (CheckResult.OTHER, CheckResult.REFUSED)


class Health:
    """What one VM has seen of one endpoint."""

    def __init__(self):
        self._advanced_at = float("-inf")
        self._failed = 0
        self._down = False
        self._check_at: float | None = None
        self._check_reason = CheckReason.REPEATED
        self._pause_s = RECHECK_S
        self._checked_at = float("-inf")
        self._tried_at = float("-inf")
        self._pending: dict[FlowKey, float] = {}
        self._asked_at: float | None = None
        self._silent_s = SILENT_S
        self._avoided_until = float("-inf")
        self._on_expect: Callable[[], None] = _nothing

    @property
    def look_at(self) -> float:
        """When it needs the next look, infinite while none is needed."""
        if self._check_at is not None:
            return self._check_at
        at = math.inf
        if self._asked_at is not None:
            at = self._asked_at + self._silent_s
        if self._pending:
            oldest = next(iter(self._pending.values()))
            at = min(at, oldest + OPEN_S)
        return at

    @property
    def down(self) -> bool:
        """Whether it counts as dead or out of reach."""
        return self._down

    @property
    def doubted(self) -> bool:
        """Whether a check is due or under way."""
        return self._check_at is not None

    @property
    def check_reason(self) -> CheckReason:
        """Why the check is due, or the last one was."""
        return self._check_reason

    @property
    def failing(self) -> bool:
        """Whether further unanswered checks make it down."""
        return not self._down and self._failed > 0

    @property
    def advanced_at(self) -> float:
        """When it last showed life."""
        return self._advanced_at

    def notify(self, on_expect: Callable[[], None]) -> None:
        """Sets what is called when something comes to be expected."""
        self._on_expect = on_expect

    def on_syn(self, flow: FlowKey, now: float) -> None:
        """A flow's SYN was sent to it."""
        if len(self._pending) >= MOST_PENDING:
            del self._pending[next(iter(self._pending))]
        self._pending.setdefault(flow, now)
        self._on_expect()

    def on_open(self, flow: FlowKey) -> None:
        """A client has gone on after its SYN, or has given the flow up."""
        self._pending.pop(flow, None)

    def on_request(self, now: float, usual_s: float = 0.0) -> None:
        """A client's request was sent to it.

        Args:
            now: The runtime's clock in seconds.
            usual_s: How long answers take at present.
        """
        if self._asked_at is None:
            self._asked_at = now
            self._silent_s = max(SILENT_S, SILENT_FACTOR * usual_s)
            self._on_expect()

    def look(self, now: float) -> None:
        """Asks for a check if it has been silent for too long."""
        reason = None
        if self._unopened(now):
            reason = CheckReason.UNOPENED
        elif self._unanswered(now):
            reason = CheckReason.SILENT
        if reason is not None and now - self._checked_at >= TRUST_S:
            self.ask(now, reason)

    def _unopened(self, now: float) -> bool:
        oldest = next(iter(self._pending.values()), now)
        if now - oldest < OPEN_S:
            return False
        self._pending = {
            flow: at for flow, at in self._pending.items() if now - at < OPEN_S
        }
        return self._advanced_at < oldest

    def _unanswered(self, now: float) -> bool:
        if self._asked_at is None or now - self._asked_at < self._silent_s:
            return False
        self._asked_at = None
        return True

    def on_advance(self, now: float) -> None:
        """A client has received something from it: it lives.

        Where every endpoint of a service is down, new flows try one all the
        same. The first that opens is better evidence than the failed checks;
        a reset after it would cut a flow that works.

        An endpoint that is full may leave checks unanswered and still serve
        its queue. Between its answers no three checks in a row fail.
        """
        self._advanced_at = now
        self._asked_at = None
        self._failed = 0
        if self._down:
            self._down = False
            self._expect_check(now, CheckReason.REVIVED)

    def on_repeat(self, now: float) -> None:
        """A client has sent something to it again."""
        if now - self._advanced_at >= CALM_S and self._check_at is None:
            self._expect_check(now, CheckReason.REPEATED)

    def ask(self, now: float, reason: CheckReason) -> None:
        """Has it checked, whatever passed by."""
        if self._check_at is None:
            self._expect_check(now, reason)

    def ask_again(self, now: float, reason: CheckReason) -> None:
        """Has it checked, unless it has answered a check just now."""
        if now - self._checked_at >= RECHECK_MOST_S:
            self.ask(now, reason)

    def forget(self) -> None:
        """Nothing is believed or expected of it any more."""
        self._failed = 0
        self._down = False
        self._check_at = None
        self._pause_s = RECHECK_S
        self._pending.clear()
        self._asked_at = None

    def postpone(self, now: float) -> None:
        """A check said nothing, by this VM's own fault: not again at once."""
        self._failed = 0
        self._expect_check(now + RECHECK_S, CheckReason.UNSURE)

    def avoid(self, now: float) -> None:
        """Another VM finds it down: new flows had better go elsewhere."""
        self._avoided_until = now + AVOID_S

    def defer(self, now: float) -> None:
        """A reader finds it down as well, and looks whether it is back."""
        if self._down and self._check_at is not None:
            at = min(now + AVOID_S, self._tried_at + MOST_DEFER_S)
            self._expect_check(max(at, self._check_at), CheckReason.DOWN)

    def is_avoided(self, now: float) -> bool:
        """Whether another VM has found it down lately."""
        return now < self._avoided_until

    def is_sure(self, now: float) -> bool:
        """Whether nothing speaks against new flows."""
        return not self.doubted and not self.is_avoided(now)

    def due(self, now: float) -> bool:
        """Whether a check is to be made now."""
        return self._check_at is not None and now >= self._check_at

    def on_check(self, result: CheckResult, now: float) -> bool:
        """Takes in a check; returns whether the belief has changed."""
        self._tried_at = now
        if result in (CheckResult.ANSWERED, CheckResult.UNHEALTHY):
            return self._on_answered(now)
        self._failed += 1
        if result not in _CERTAIN and self._failed < FAILED_CHECKS:
            self._expect_check(now, CheckReason.UNANSWERED)
            return False
        self._expect_check(now + self._pause_s, CheckReason.DOWN)
        self._pause_s = min(2.0 * self._pause_s, RECHECK_MOST_S)
        changed = not self._down
        self._down = True
        return changed

    def _expect_check(self, at: float, reason: CheckReason) -> None:
        self._check_at = at
        self._check_reason = reason
        self._on_expect()

    def _on_answered(self, now: float) -> bool:
        changed = self._down
        self._down = False
        self._failed = 0
        self._check_at = None
        self._pause_s = RECHECK_S
        self._advanced_at = now
        self._checked_at = now
        return changed


def _nothing() -> None:
    pass
