"""Compares the outcomes that callers saw with the requests upstreams ran."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from standins import _records

DETECT_S = 5.0
"""Time after an unplanned loss in which new flows may still be affected.

In seconds. In this time the lease of the lost VM expires and the platform's
list is outdated.
"""

_BROKEN_FATES = (_records.Fate.BROKEN, _records.Fate.UNOPENED)


@attrs.define
class Tally:
    """Counts of a group of flows and requests.

    Attributes:
        flows: Flows started, including refused ones.
        requests: Requests made, each counted once regardless of its attempts.
        answered: Requests with a complete answer.
        refused: Requests that ended with a refusal, so were not run.
        broken_flows: Flows that ended without being closed by their caller,
            or were never answered.
        wrong_service: Requests that reached another service.
        lost: Requests without an answer, whose outcome is unknown.
        doubled: Requests run more than once.
        cut: Requests with a partial answer.
        late_refusals: Attempts that were refused as not run, but did run.
    """

    flows: int = 0
    requests: int = 0
    answered: int = 0
    refused: int = 0
    broken_flows: int = 0
    wrong_service: int = 0
    lost: int = 0
    doubled: int = 0
    cut: int = 0
    late_refusals: int = 0

    def faults(self) -> int:
        """Returns the number of faults."""
        return self.broken_flows + self.lost + self.cut + self.never_excused()

    def never_excused(self) -> int:
        """Returns the number of faults that no unplanned loss excuses."""
        return self.wrong_service + self.doubled + self.late_refusals


@attrs.frozen
class Loss:
    """An unplanned loss of a VM.

    Attributes:
        at: Time of the loss, on the monotonic clock.
    """

    at: float

    def may_affect_flow(self, flow: _records.FlowRecord) -> bool:
        """Returns whether the loss may have affected the flow."""
        ended = flow.ended is None or flow.ended >= self.at
        return flow.opened <= self.at + DETECT_S and ended

    def may_affect_request(self, request: _records.RequestRecord) -> bool:
        """Returns whether the loss may have affected the request."""
        ended = request.ended is None or request.ended >= self.at
        return request.flow_opened <= self.at + DETECT_S and ended


@attrs.frozen
class Ledger:
    """The tallies of one run.

    Attributes:
        promised: Flows and requests for which every guarantee holds.
        after_loss: Those that an unplanned loss may have broken.
    """

    promised: Tally
    after_loss: Tally


class Executions:
    """The executions of all upstreams together."""

    def __init__(self, counted: Mapping[str, Mapping]):
        self.wrong_service = 0
        self._attempts: collections.Counter[str] = collections.Counter()
        self._requests: collections.Counter[str] = collections.Counter()
        for upstream in counted.values():
            self.wrong_service += upstream["wrong_service"]
            for attempt, times in upstream["executions"].items():
                self._attempts[attempt] += times
                self._requests[attempt.rpartition("#")[0]] += times

    def of_request(self, identifier: str) -> int:
        """Returns how many times a request ran, over all attempts."""
        return self._requests[identifier]

    def of_attempt(self, identifier: str, attempt: int) -> int:
        """Returns how many times one attempt ran."""
        return self._attempts[f"{identifier}#{attempt}"]


def join(
    results: Iterable[_records.Results],
    executions: Executions,
    loss: Loss | None = None,
) -> Ledger:
    """Returns the tallies of a run.

    Args:
        results: The records of each callers program.
        executions: The executions of the upstreams.
        loss: The unplanned loss, if there was one. Flows and requests that it
            may have affected are counted separately.
    """
    promised, after = Tally(), Tally()
    for result in results:
        for flow in result.flows:
            affected = loss is not None and loss.may_affect_flow(flow)
            _count_flow(after if affected else promised, flow)
        for request in result.requests:
            affected = loss is not None and loss.may_affect_request(request)
            _count_request(after if affected else promised, request, executions)
    # Not attributable to a loss: upstreams do not know when a flow was opened.
    promised.wrong_service += executions.wrong_service
    return Ledger(promised, after)


def _count_flow(tally: Tally, flow: _records.FlowRecord) -> None:
    tally.flows += 1
    tally.broken_flows += flow.fate in _BROKEN_FATES


def _count_request(
    tally: Tally, request: _records.RequestRecord, executions: Executions
) -> None:
    tally.requests += 1
    tally.doubled += executions.of_request(request.identifier) > 1
    tally.late_refusals += sum(
        executions.of_attempt(request.identifier, attempt) > 0
        for attempt in request.refused_attempts
    )
    match request.outcome:
        case _records.Outcome.ANSWERED:
            tally.answered += 1
        case _records.Outcome.REFUSED | _records.Outcome.SHED:
            tally.refused += 1
        case _records.Outcome.CUT:
            tally.cut += 1
        case _records.Outcome.LOST | _records.Outcome.PENDING:
            tally.lost += 1
        case _records.Outcome.WRONG:
            # Counted by the upstream that received it.
            pass
