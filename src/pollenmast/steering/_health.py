"""Passive health detection: infers from traffic whether an endpoint answers.

The directory still lists an endpoint for seconds after it has died, hung or
been cut off from the network. Its answers go directly to the clients, so a VM
sees none of them. Without evidence of its own, the VM would go on placing new
flows there, and each request on a flow to it would run into its deadline. The
VM therefore watches the segments that clients send.

A client that acknowledges more than before has received something, so the
endpoint is alive. The signs of a failure are:

- A client retransmits a SYN or data: it has received nothing.
- A client sends nothing after its SYN: where no process listens, the endpoint's
  machine resets each SYN at once, and the client uses up its tries within
  milliseconds.
- A request is followed by no progress of any of the endpoint's clients for a
  while.

Each of these may be chance. It therefore only triggers a health check and keeps
new flows away until the check has completed; the check decides.
"""

import enum
import math
from collections.abc import Callable

from pollenmast.counters import CheckReason
from pollenmast.steering._answer_times import AnswerTimes
from pollenmast.steering._model import FlowKey

REPEAT_GRACE_S = 0.15
"""Time without progress after which a retransmission triggers a check.

In seconds, counted over all flows of the endpoint. It is three quarters of the
clients' first retransmission timeout of 0.2 s, so that a single lost packet of
a busy endpoint causes no check.
"""

FAILURE_THRESHOLD = 3
"""Consecutive unanswered health checks after which an endpoint is down. On a
link that loses a twentieth of its packets one check in ten fails, and three in
a row one time in a thousand."""

FULL_SPAN_S = 1.5
"""Minimum time in seconds from the first to the last failed check of an
endpoint that may be full, or that is leaving, before it is down. Connects to a
full accept queue time out until the endpoint has served some of its queue,
which takes about a second at a quarter of its usual speed."""

FULL_CHECK_INTERVAL_S = 0.5
"""Interval in seconds between the checks within this span. Each one takes a
place in the accept queue of a loaded endpoint, from every VM that checks it."""

RECHECK_MIN_S = 0.5
"""First interval in seconds between checks of an endpoint that is down.

Later intervals are longer, up to `RECHECK_MAX_S`. Half a second is a tenth of
the shortest usual outage.
"""

RECHECK_MAX_S = 1.0
"""Maximum interval in seconds between checks of an endpoint that is down.

The interval doubles up to this value, as each check has a cost. After a network
cut of some seconds a service stays hidden for at most this much longer.
"""


SYN_FOLLOWUP_TIMEOUT_S = 0.04
"""How long the client's next packet may take after its SYN, in seconds. The
paths to the client and to the endpoint take about 10 ms both ways; the
endpoint's own turn takes some more."""

SILENCE_TIMEOUT_S = 0.12
"""Shortest time without progress after a request that triggers a check.

In seconds. Nine of ten requests take less, and on a busy endpoint some other
client makes progress meanwhile. Waiting for the client's retransmission would
take 0.2 s.
"""

SILENCE_FACTOR = 4.0
"""The same limit as a multiple of the usual answer time; the larger applies.
Otherwise, when all endpoints are busy, each late answer would cause a check,
which takes a slot and delays the next answer further."""

REPORTED_DOWN_S = 1.5
"""How long a report by another VM that an endpoint is down is valid, in
seconds: three of its report intervals."""

MAX_DEFER_S = 5.0
"""Maximum time in seconds between this VM's own checks of an endpoint that a
reader reports as down. Without a maximum, VMs that took each other for readers
would wait for each other for ever."""

ANSWER_VALID_S = 0.5
"""How long after an answered check silence triggers no other, in seconds. While
the set of VMs in rotation changes, a flow's next packet may pass through
another VM."""

MAX_PENDING_SYNS = 256
"""Maximum number of unanswered SYNs tracked per endpoint; beyond it the oldest
is dropped."""


class CheckResult(str, enum.Enum):
    """The result of a health check."""

    ANSWERED = "answered"
    UNHEALTHY = "unhealthy"
    """It answered that it accepts no work; the process is alive."""

    OTHER = "other"
    """Another process answered at its address."""

    REFUSED = "refused"
    """Nothing listens at its address."""

    TIMEOUT = "timeout"


_CONCLUSIVE_FAILURES = (CheckResult.OTHER, CheckResult.REFUSED)


class Health:
    """One VM's view of the health of one endpoint."""

    def __init__(self):
        self._last_alive_at = float("-inf")
        self._failed_checks = 0
        self._first_failed_at = float("-inf")
        self._failed_under_load = False
        self._down = False
        self._check_at: float | None = None
        self._check_reason = CheckReason.REPEATED
        self._recheck_interval_s = RECHECK_MIN_S
        self._answered_at = float("-inf")
        self._last_check_at = float("-inf")
        self._pending_syns: dict[FlowKey, float] = {}
        self._request_at: float | None = None
        self._answer_times = AnswerTimes()
        self._silence_timeout_s = SILENCE_TIMEOUT_S
        self._reported_down_until = float("-inf")
        self._on_schedule: Callable[[], None] = _nothing

    @property
    def next_due_at(self) -> float:
        """When `evaluate` or a check is next due, infinite if none is."""
        if self._check_at is not None:
            return self._check_at
        at = math.inf
        if self._request_at is not None:
            at = self._request_at + self._silence_timeout_s
        if self._pending_syns:
            oldest = next(iter(self._pending_syns.values()))
            at = min(at, oldest + SYN_FOLLOWUP_TIMEOUT_S)
        return at

    @property
    def down(self) -> bool:
        """Whether the endpoint is considered dead or unreachable."""
        return self._down

    @property
    def check_pending(self) -> bool:
        """Whether a check is scheduled or in progress."""
        return self._check_at is not None

    @property
    def check_reason(self) -> CheckReason:
        """The reason for the scheduled check, or for the last one."""
        return self._check_reason

    @property
    def failing(self) -> bool:
        """Whether the last checks failed, though too few to mark it down."""
        return not self._down and self._failed_checks > 0

    @property
    def last_alive_at(self) -> float:
        """When it last showed that it is alive, in seconds."""
        return self._last_alive_at

    @property
    def answer_times(self) -> AnswerTimes:
        """How long the endpoint's answers take, now and usually."""
        return self._answer_times

    def set_on_schedule(self, on_schedule: Callable[[], None]) -> None:
        """Sets the callback for when `next_due_at` may have become earlier."""
        self._on_schedule = on_schedule

    def on_syn(self, flow: FlowKey, now: float) -> None:
        """Handles a flow's SYN that was forwarded to the endpoint."""
        if len(self._pending_syns) >= MAX_PENDING_SYNS:
            del self._pending_syns[next(iter(self._pending_syns))]
        self._pending_syns.setdefault(flow, now)
        self._on_schedule()

    def on_open(self, flow: FlowKey) -> None:
        """Handles a client's first packet after its SYN, a reset included."""
        self._pending_syns.pop(flow, None)

    def on_request(self, now: float, usual_s: float = 0.0) -> None:
        """Handles a request that was forwarded to the endpoint.

        Args:
            now: The runtime's clock in seconds.
            usual_s: The usual answer time at present, in seconds.
        """
        self._answer_times.on_request(now)
        if self._request_at is None:
            self._request_at = now
            self._silence_timeout_s = max(
                SILENCE_TIMEOUT_S, SILENCE_FACTOR * usual_s
            )
            self._on_schedule()

    def evaluate(self, now: float) -> None:
        """Schedules a check if the endpoint has been silent for too long."""
        reason = None
        if self._syn_timed_out(now):
            reason = CheckReason.UNOPENED
        elif self._request_timed_out(now):
            reason = CheckReason.SILENT
        if reason is not None and now - self._answered_at >= ANSWER_VALID_S:
            self.request_check(now, reason)

    def _syn_timed_out(self, now: float) -> bool:
        oldest = next(iter(self._pending_syns.values()), now)
        if now - oldest < SYN_FOLLOWUP_TIMEOUT_S:
            return False
        self._pending_syns = {
            flow: at
            for flow, at in self._pending_syns.items()
            if now - at < SYN_FOLLOWUP_TIMEOUT_S
        }
        return self._last_alive_at < oldest

    def _request_timed_out(self, now: float) -> bool:
        if (
            self._request_at is None
            or now - self._request_at < self._silence_timeout_s
        ):
            return False
        self._request_at = None
        return True

    def on_progress(self, now: float) -> None:
        """Handles progress of a client, which shows that the endpoint is alive.

        When every endpoint of a service is down, new flows still try one. The
        first flow that opens is better evidence than the failed checks;
        resetting it would break a working flow.

        A full endpoint may leave checks unanswered while it serves its queue.
        Progress resets the count of failed checks, so that no three fail in a
        row between its answers.
        """
        self._last_alive_at = now
        self._request_at = None
        self._answer_times.on_progress(now)
        self._failed_checks = 0
        if self._down:
            self._down = False
            self._schedule_check(now, CheckReason.REVIVED)

    def on_retransmission(self, now: float) -> None:
        """Handles a client's retransmission to the endpoint."""
        if (
            now - self._last_alive_at >= REPEAT_GRACE_S
            and self._check_at is None
        ):
            self._schedule_check(now, CheckReason.REPEATED)

    def request_check(self, now: float, reason: CheckReason) -> None:
        """Schedules a check now, regardless of the traffic seen."""
        if self._check_at is None:
            self._schedule_check(now, reason)

    def request_check_unless_recent(
        self, now: float, reason: CheckReason
    ) -> None:
        """Schedules a check unless one was answered recently."""
        if now - self._answered_at >= RECHECK_MAX_S:
            self.request_check(now, reason)

    def forget(self) -> None:
        """Marks the endpoint as up and cancels its check.

        SYNs and requests without an answer are forgotten too.
        """
        self._failed_checks = 0
        self._down = False
        self._check_at = None
        self._recheck_interval_s = RECHECK_MIN_S
        self._pending_syns.clear()
        self._request_at = None
        self._answer_times.forget_request()

    def postpone(self, now: float) -> None:
        """Repeats a check later that failed because of this VM itself."""
        self._failed_checks = 0
        self._schedule_check(now + RECHECK_MIN_S, CheckReason.UNSURE)

    def avoid(self, now: float) -> None:
        """Keeps new flows away because another VM reports the endpoint down."""
        self._reported_down_until = now + REPORTED_DOWN_S

    def defer_recheck(self, now: float) -> None:
        """Delays the next check because a reader also finds it down.

        The reader checks whether the endpoint is back.
        """
        if self._down and self._check_at is not None:
            at = min(now + REPORTED_DOWN_S, self._last_check_at + MAX_DEFER_S)
            self._schedule_check(max(at, self._check_at), CheckReason.DOWN)

    def is_avoided(self, now: float) -> bool:
        """Whether another VM recently reported the endpoint down."""
        return now < self._reported_down_until

    def accepts_new_flows(self, now: float) -> bool:
        """Whether nothing speaks against placing new flows here."""
        return not self.check_pending and not self.is_avoided(now)

    def due(self, now: float) -> bool:
        """Whether a check is due now."""
        return self._check_at is not None and now >= self._check_at

    def on_check(
        self,
        result: CheckResult,
        now: float,
        may_be_full: bool = False,
        leaving: bool = False,
    ) -> bool:
        """Records a check's result.

        A connect to a full accept queue times out as it does for a dead
        endpoint, and so may one to an endpoint that takes no new work and still
        serves its open flows. Timeouts then mark the endpoint down only once
        they span `FULL_SPAN_S`. Progress of a client meanwhile restarts the
        span.

        Args:
            result: The result.
            now: The runtime's clock in seconds.
            may_be_full: Whether there are signs of load, so that the endpoint
                may be full rather than dead. It is only used for a timeout.
            leaving: Whether the endpoint announces that it takes no new work
                and has not left yet. It is only used for a timeout.

        Returns:
            Whether `down` has changed.
        """
        self._last_check_at = now
        if result in (CheckResult.ANSWERED, CheckResult.UNHEALTHY):
            return self._on_answered(now)
        if not self._failed_checks:
            self._first_failed_at = now
            self._failed_under_load = False
        self._failed_checks += 1
        self._failed_under_load |= may_be_full
        if result not in _CONCLUSIVE_FAILURES:
            at = self._confirmation_at(now, leaving)
            if at is not None:
                self._schedule_check(at, CheckReason.UNANSWERED)
                return False
        self._schedule_check(now + self._recheck_interval_s, CheckReason.DOWN)
        self._recheck_interval_s = min(
            2.0 * self._recheck_interval_s, RECHECK_MAX_S
        )
        changed = not self._down
        self._down = True
        return changed

    def _confirmation_at(self, now: float, leaving: bool) -> float | None:
        """Returns when to repeat a timed-out check, None if it is conclusive.

        Load seen at any of the failures counts for all of them, as its signs
        may end while the endpoint is still full. That an endpoint is leaving
        counts until it has left.
        """
        span_ends_at = self._first_failed_at + FULL_SPAN_S
        if (self._failed_under_load or leaving) and now < span_ends_at:
            return min(now + FULL_CHECK_INTERVAL_S, span_ends_at)
        return now if self._failed_checks < FAILURE_THRESHOLD else None

    def _schedule_check(self, at: float, reason: CheckReason) -> None:
        self._check_at = at
        self._check_reason = reason
        self._on_schedule()

    def _on_answered(self, now: float) -> bool:
        changed = self._down
        self._down = False
        self._failed_checks = 0
        self._check_at = None
        self._recheck_interval_s = RECHECK_MIN_S
        self._last_alive_at = now
        self._answered_at = now
        return changed


def _nothing() -> None:
    pass
