"""Passive health check: ejects endpoints that do not answer this VM.

When an endpoint dies or hangs, its reports still say that it is healthy,
because they are seconds old or come from another process. Without a passive
check each new flow placed there waits for a retry time, and one caller in seven
notices. An answer is better evidence than any report, so a single one resets
the count of unanswered flows.

An ejected endpoint returns by itself with a small share that grows. So a
wrong ejection corrects itself, and retrying a dead endpoint costs little.
"""

MAX_CONSECUTIVE_UNANSWERED = 3
"""Consecutive unanswered flows after which an endpoint is ejected.

If one first flight in a hundred is lost, a healthy endpoint is ejected once
in a million flows. A dead endpoint costs each VM three retries.
"""

BASE_EJECTION_S = 2.0
"""Seconds of the first ejection.

They are four probe periods, so that the reports can catch up.
"""

MAX_EJECTION_S = 30.0
"""Maximum seconds of an ejection, up to which each one doubles.

A recovered endpoint is found within this time.
"""

RECOVERY_S = 5.0
"""Seconds over which the share grows back to 1 after an ejection."""

RECOVERY_INITIAL_SHARE = 0.1


class PassiveHealthCheck:
    """Answers and silence of one endpoint as seen by one VM."""

    def __init__(self):
        self._unanswered = 0
        self._ejections = 0
        self._ejected_at = 0.0
        self._ejected_until: float | None = None

    def on_answered(self, now: float) -> None:
        """Records that the endpoint sent a packet for a flow of this VM."""
        self._unanswered = 0
        if self._ejected_until is None:
            return
        if now >= self._ejected_until + RECOVERY_S:
            self._ejected_until = None
            self._ejections = 0

    def on_unanswered(self, now: float) -> None:
        """Records that a new flow got no answer within the retry time."""
        self._unanswered += 1
        if (
            self._is_recovering(now)
            or not self.is_ejected(now)
            and (self._unanswered >= MAX_CONSECUTIVE_UNANSWERED)
        ):
            self._eject(now)

    def is_ejected(self, now: float) -> bool:
        """Whether the endpoint is ejected now and gets no new flows."""
        return self._ejected_until is not None and now < self._ejected_until

    def share(self, now: float) -> float:
        """Returns the share, 0 if ejected, growing to 1 after the ejection."""
        if self._ejected_until is None:
            return 1.0
        if now < self._ejected_until:
            return 0.0
        grown = min((now - self._ejected_until) / RECOVERY_S, 1.0)
        return RECOVERY_INITIAL_SHARE + (1.0 - RECOVERY_INITIAL_SHARE) * grown

    def _is_recovering(self, now: float) -> bool:
        """Whether the endpoint is recovering after an ejection.

        In recovery one unanswered flow ejects it again. Otherwise each return
        of a dead endpoint would cost three more callers a retry time.
        """
        return (
            self._ejected_until is not None
            and self._ejected_until <= now < self._ejected_until + RECOVERY_S
        )

    def _eject(self, now: float) -> None:
        length = BASE_EJECTION_S * 2.0**self._ejections
        self._ejected_until = now + min(length, MAX_EJECTION_S)
        self._ejections = min(self._ejections + 1, 8)
        self._unanswered = 0
