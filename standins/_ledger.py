"""Joins what callers were told with what upstreams ran."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from standins import _records

DETECT_S = 5.0
"""Flows opened so shortly after an unplanned loss still meet it: the lease of
the lost VM runs out and the platform's list lags."""

_BROKEN = (_records.Fate.BROKEN, _records.Fate.UNOPENED)


@attrs.define
class Tally:
    """Counts of one part of the flows.

    Attributes:
        flows: Flows begun, refused ones included.
        requests: Requests asked, each once however many attempts it took.
        answered: Requests answered whole.
        refused: Requests that ended with being told that they were not run.
        broken_flows: Flows that ended although their caller kept them, or
            were never answered.
        wrong_service: Requests that reached another service.
        lost: Requests without an answer, their outcome unknown.
        doubled: Requests run more than once.
        cut: Requests of which a part of the answer came.
        late_refusals: Attempts told not to have run, which ran.
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
        """Returns how much went wrong."""
        return self.broken_flows + self.lost + self.cut + self.never_excused()

    def never_excused(self) -> int:
        """Returns what must not happen even after an unplanned loss."""
        return self.wrong_service + self.doubled + self.late_refusals


@attrs.frozen
class Loss:
    """An unplanned loss of a VM, at this monotonic time."""

    at: float

    def hits_flow(self, flow: _records.FlowRecord) -> bool:
        """Returns whether the flow lived through it."""
        ended = flow.ended is None or flow.ended >= self.at
        return flow.opened <= self.at + DETECT_S and ended

    def hits_request(self, request: _records.RequestRecord) -> bool:
        """Returns whether the request, or the flow that bore it, did."""
        ended = request.ended is None or request.ended >= self.at
        return request.flow_opened <= self.at + DETECT_S and ended


@attrs.frozen
class Ledger:
    """Both parts: what is promised, and what an unplanned loss may break."""

    promised: Tally
    after_loss: Tally


class Executions:
    """What all upstreams together ran."""

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
        """Returns how often any attempt of a request ran."""
        return self._requests[identifier]

    def of_attempt(self, identifier: str, attempt: int) -> int:
        """Returns how often one attempt ran."""
        return self._attempts[f"{identifier}#{attempt}"]


def join(
    results: Iterable[_records.Results],
    executions: Executions,
    loss: Loss | None = None,
) -> Ledger:
    """Returns the counts of both parts.

    Args:
        results: What each callers program recorded.
        executions: What the upstreams ran.
        loss: The unplanned loss, if there was one. Flows and requests that
            lived through it are counted on their own.
    """
    promised, after = Tally(), Tally()
    for result in results:
        for flow in result.flows:
            hit = loss is not None and loss.hits_flow(flow)
            _count_flow(after if hit else promised, flow)
        for request in result.requests:
            hit = loss is not None and loss.hits_request(request)
            _count_request(after if hit else promised, request, executions)
    # An upstream knows the request but not when its flow was opened.
    promised.wrong_service += executions.wrong_service
    return Ledger(promised, after)


def _count_flow(tally: Tally, flow: _records.FlowRecord) -> None:
    tally.flows += 1
    tally.broken_flows += flow.fate in _BROKEN


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
            # The upstream that was reached has counted it already.
            pass
