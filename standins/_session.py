"""A caller with a long-lived session that has a live feed and submissions."""

import json

from standins import _caller_context, _flow, _records

REOPEN_DELAY_S = 1.0
RETIRE_POLL_S = 0.05
LATE_S = 0.5
"""Age in seconds beyond which an alert is recorded as late."""

MAX_STALLS = 50


class SessionCaller(_flow.FlowOwner):
    """A publisher or cell controller.

    A submission whose outcome is unknown is never retried, because it may
    have run. A submission that was refused without being run is retried under
    the same id.
    """

    def __init__(self, shared: _caller_context.CallerContext):
        self._shared = shared
        self._flow: _flow.Flow | None = None
        self._feed: int | None = None
        self._feed_buffer = b""
        self._last_alert: float | None = None
        self._pending: dict[int, _records.RequestRecord] = {}
        self._answers: dict[int, _caller_context.Answer] = {}
        self._to_retry: list[_records.RequestRecord] = []

    def open(self) -> None:
        """Opens a session, unless the program is finishing."""
        shared = self._shared
        if shared.finishing:
            return
        self._feed = None
        self._feed_buffer = b""
        self._last_alert = None
        plan = shared.plan
        self._flow = _flow.Flow(
            shared.reactor,
            plan.local,
            plan.remote,
            self,
            shared.new_flow(),
            plan.idle_s,
        )

    @property
    def pending(self) -> int:
        """Number of submissions that have no outcome yet."""
        return len(self._pending)

    def close(self) -> None:
        """Ends the session."""
        if self._flow is not None:
            self._flow.close()

    def on_connected(self) -> None:
        """Opens the feed, retries refused submissions and starts timers."""
        plan = self._shared.plan
        if plan.feed_s:
            self._open_feed()
        again, self._to_retry = self._to_retry, []
        for record in again:
            self._submit(record)
        flow = self._flow
        self._schedule(plan.keepalive_s, lambda: self._keep_alive(flow))
        if plan.rate:
            first_s = self._shared.rng.random() / plan.rate
            self._schedule(first_s, lambda: self._submit_next(flow))
        if plan.lifetime_s:
            self._schedule(plan.lifetime_s, lambda: self._retire(flow))

    def on_data(self, stream: int, data: bytes, end: bool) -> None:
        """Handles data of the feed or of an answer."""
        if stream == self._feed:
            self._handle_alerts(data)
            return
        record = self._pending.get(stream)
        if record is None:
            return
        answer = self._answers[stream]
        answer.add(data)
        if end:
            outcome = answer.outcome(self._shared.plan.service, None)
            self._end_request(stream, outcome)

    def on_end(self, ending: _flow.Ending) -> None:
        """Records the outcome of open submissions and schedules a new session.

        Submissions of a refused flow are kept to be retried.
        """
        self._shared.open_flows -= 1
        refused = ending.fate is _records.Fate.REFUSED
        for stream, record in list(self._pending.items()):
            if refused:
                self._shared.record_refusal(record)
                self._to_retry.append(record)
            elif self._answers[stream].has_data:
                record.end(_records.Outcome.CUT, self._shared.reactor.now)
            else:
                record.end(_records.Outcome.LOST, self._shared.reactor.now)
        self._pending.clear()
        self._answers.clear()
        self._schedule(ending.retry_after_s or REOPEN_DELAY_S, self.open)

    def _retire(self, flow: _flow.Flow) -> None:
        if self._is_over(flow):
            return
        if self._pending:
            self._schedule(RETIRE_POLL_S, lambda: self._retire(flow))
        else:
            flow.close()

    def _open_feed(self) -> None:
        plan = self._shared.plan
        request = {
            "id": "feed",
            "op": "feed",
            "service": plan.service,
            "interval_s": plan.feed_s,
        }
        self._feed = self._flow.ask(json.dumps(request).encode())

    def _handle_alerts(self, data: bytes) -> None:
        lines = (self._feed_buffer + data).split(b"\n")
        self._feed_buffer = lines.pop()
        record = self._flow.record
        now = self._shared.reactor.now
        for line in lines:
            lateness_s = now - json.loads(line)["at"]
            self._record_alert(record, now, lateness_s)

    def _record_alert(self, record, now: float, lateness_s: float) -> None:
        last = now if self._last_alert is None else self._last_alert
        silence_s = now - last
        self._last_alert = now
        record.alerts += 1
        record.lateness_s = max(record.lateness_s, lateness_s)
        record.silence_s = max(record.silence_s, silence_s)
        late = silence_s > 2 * self._shared.plan.feed_s or lateness_s > LATE_S
        if late and len(record.stalls) < MAX_STALLS:
            record.stalls.append(_records.Stall(now, silence_s, lateness_s))

    def _keep_alive(self, flow: _flow.Flow) -> None:
        if self._is_over(flow):
            return
        flow.ping()
        interval_s = self._shared.plan.keepalive_s
        self._schedule(interval_s, lambda: self._keep_alive(flow))

    def _submit_next(self, flow: _flow.Flow) -> None:
        if self._is_over(flow) or self._shared.finishing:
            return
        self._submit(self._shared.new_request(flow.record.opened))
        interval_s = self._shared.rng.expovariate(self._shared.plan.rate)
        self._schedule(interval_s, lambda: self._submit_next(flow))

    def _submit(self, record: _records.RequestRecord) -> None:
        record.flow_opened = self._flow.record.opened
        stream = self._flow.ask(self._shared.line(record, "submit"))
        self._pending[stream] = record
        self._answers[stream] = _caller_context.Answer()
        flow = self._flow
        self._schedule(
            self._shared.plan.deadline_s,
            lambda: self._on_deadline(flow, stream, record),
        )

    def _on_deadline(self, flow, stream: int, record) -> None:
        if flow is self._flow and self._pending.get(stream) is record:
            begun = self._answers[stream].has_data
            lost, cut = _records.Outcome.LOST, _records.Outcome.CUT
            self._end_request(stream, cut if begun else lost)

    def _end_request(self, stream: int, outcome: _records.Outcome) -> None:
        record = self._pending.pop(stream)
        del self._answers[stream]
        if outcome is _records.Outcome.SHED:
            record.refused_attempts.append(record.attempt)
        record.end(outcome, self._shared.reactor.now)

    def _is_over(self, flow: _flow.Flow) -> bool:
        return flow.is_over

    def _schedule(self, delay_s: float, callback) -> None:
        self._shared.reactor.at(self._shared.reactor.now + delay_s, callback)
