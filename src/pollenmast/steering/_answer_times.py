"""Measures how long an endpoint's answers take, now and usually."""

ANSWER_TIME_WEIGHT = 0.02
"""Weight of one answer in the moving average of an endpoint's answer time. The
last fifty answers outlast a load spike of some seconds, so that the average
stays a measure of normal load."""

MAX_ANSWER_S = 2.0
"""Maximum time in seconds from a request to progress that counts as an answer
time. Beyond it, the client has probably abandoned the request, and the progress
is another client's."""


class AnswerTimes:
    """An endpoint's answer times, as far as its clients' progress shows them.

    A time is that from the oldest request without progress to the progress. A
    VM rarely has two requests in progress at one endpoint; if it has, the time
    is that of the first answer, and the endpoint looks faster than it is.

    Attributes:
        usual_s: Moving average in seconds, None before the first answer.
        last_s: The last one in seconds.
        last_at: When that answer was acknowledged, in seconds.
    """

    def __init__(self):
        self.usual_s: float | None = None
        self.last_s = 0.0
        self.last_at = float("-inf")
        self._waiting_since: float | None = None

    def on_request(self, now: float) -> None:
        """Handles a request that was forwarded to the endpoint."""
        if self._waiting_since is None:
            self._waiting_since = now

    def on_progress(self, now: float) -> None:
        """Handles progress of a client of the endpoint."""
        since, self._waiting_since = self._waiting_since, None
        if since is None or now - since > MAX_ANSWER_S:
            return
        self.last_s, self.last_at = now - since, now
        if self.usual_s is None:
            self.usual_s = self.last_s
        self.usual_s += ANSWER_TIME_WEIGHT * (self.last_s - self.usual_s)

    def forget_request(self) -> None:
        """Forgets the request without progress."""
        self._waiting_since = None
