"""A caller that opens a new flow for each requested image."""

from standins import _caller_context, _flow, _records, _work


class ImageCaller(_flow.FlowOwner):
    """One request for one image, through all of its attempts."""

    def __init__(self, shared: _caller_context.CallerContext):
        self._shared = shared
        self._record = shared.new_request(shared.reactor.now)
        self._flow: _flow.Flow | None = None
        self._answer = _caller_context.Answer()

    def open(self) -> None:
        """Starts an attempt on a new flow, unless there is an outcome."""
        shared = self._shared
        if self._record.outcome is not _records.Outcome.PENDING:
            return
        plan = shared.plan
        self._answer = _caller_context.Answer()
        self._record.flow_opened = shared.reactor.now
        flow = _flow.Flow(
            shared.reactor,
            plan.local,
            plan.remote,
            self,
            shared.new_flow(),
            plan.idle_s,
        )
        self._flow = flow
        flow.ask(shared.line(self._record, "image"))
        shared.reactor.at(self._deadline, lambda: self._on_deadline(flow))

    @property
    def _deadline(self) -> float:
        return self._record.asked + self._shared.plan.deadline_s

    def on_connected(self) -> None:
        """Does nothing, because the request has been sent already."""

    def on_data(self, stream: int, data: bytes, end: bool) -> None:
        """Collects the image; the end of the stream closes the flow."""
        self._answer.add(data)
        if end:
            expected = _work.image(
                self._record.identifier, self._shared.plan.size
            )
            outcome = self._answer.outcome(self._shared.plan.service, expected)
            if outcome is _records.Outcome.SHED:
                self._record.refused_attempts.append(self._record.attempt)
            self._record.end(outcome, self._shared.reactor.now)
            self._flow.close()

    def on_end(self, ending: _flow.Ending) -> None:
        """Retries a refused attempt, and records any other outcome."""
        shared = self._shared
        shared.open_flows -= 1
        if self._record.outcome is not _records.Outcome.PENDING:
            return
        now = shared.reactor.now
        if ending.fate is _records.Fate.REFUSED:
            self._retry(now + ending.retry_after_s)
        elif self._answer.has_data:
            self._record.end(_records.Outcome.CUT, now)
        else:
            self._record.end(_records.Outcome.LOST, now)

    def _retry(self, when: float) -> None:
        self._shared.record_refusal(self._record)
        if when < self._deadline:
            self._shared.reactor.at(when, self.open)
        else:
            self._shared.awaiting_retry.pop(self._record.identifier)
            now = self._shared.reactor.now
            self._record.end(_records.Outcome.REFUSED, now)

    def _on_deadline(self, flow: _flow.Flow) -> None:
        if flow is not self._flow:
            return
        begun = self._answer.has_data
        outcome = _records.Outcome.CUT if begun else _records.Outcome.LOST
        self._record.end(outcome, self._shared.reactor.now)
        flow.close()
