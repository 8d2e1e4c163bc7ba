"""Infers the state of endpoints from client segments.

A VM does not see answers. Whether an endpoint is alive, how long its answers
take and how long they are is inferred from what its clients acknowledge.
"""

from pollenmast import counters as c
from pollenmast.admission import RequestsInProgress
from pollenmast.counters import Histograms
from pollenmast.steering._check_policy import CheckPolicy
from pollenmast.steering._flows import FlowTable, update_flow
from pollenmast.steering._lengths import AnswerLengths
from pollenmast.steering._load import EndpointLoads
from pollenmast.steering._model import FlowKey, Segment
from pollenmast.steering._outliers import Outliers
from pollenmast.steering._record import Record
from pollenmast.steering._rotation import RotationDetector
from pollenmast.steering._waiting import PendingRequests

ANSWER_TIME_WEIGHT = 0.05
"""Weight of one answer in the moving average of the answer time; it covers
about the last twenty answers."""


class TrafficObserver:
    """Updates the state of flows and endpoints from each segment."""

    def __init__(
        self,
        flows: FlowTable,
        check_policy: CheckPolicy,
        load: EndpointLoads,
        outliers: Outliers,
        histograms: Histograms,
        in_progress: RequestsInProgress,
    ):
        self._flows = flows
        self._check_policy = check_policy
        self._load = load
        self._outliers = outliers
        self._histograms = histograms
        self._in_progress = in_progress
        self._pending = PendingRequests()
        self._rotation = RotationDetector()
        self._lengths = AnswerLengths()
        self._usual_answer_s = 0.0

    def on_segment(self, segment: Segment, record: Record, now: float) -> None:
        """Processes a segment of an open flow to an endpoint."""
        known = self._flows.get(segment.flow)
        moved_at = self._rotation.on_segment(known, segment, now)
        if moved_at is not None:
            self._in_progress.on_moved(moved_at)
        if known is None:
            self._check_policy.on_flow_moved(record, now)
        flow = self._flows.bind(segment.flow, record.endpoint.name, now)
        if not flow.opened and flow.tried:
            self._histograms.observe(c.OPEN_WAIT, now - flow.syn_sent_at)
        self._in_progress.on_opened(segment.flow)
        progress = update_flow(flow, segment, now)
        if progress.answer_time_s is not None:
            self._observe_time(progress.answer_time_s)
            short = self._observe_length(
                segment.flow, record, progress.answer_bytes, now
            )
            # A rejection takes less time than the request would have.
            self._in_progress.end(segment.flow, now, learn=not short)
        # A request also acknowledges the previous answer: handle that first.
        if progress.advanced:
            record.health.on_progress(now)
            self._pending.end(segment.flow)
        if progress.request:
            endpoint = record.endpoint
            self._load.on_request(endpoint.number, now)
            self._in_progress.begin(
                segment.flow, endpoint.service, endpoint.name, now
            )
            record.health.on_request(now, self._usual_answer_s)
            self._pending.begin(segment.flow, record.endpoint.number, now)
        if progress.repeated:
            record.health.on_retransmission(now)
        if segment.fin:
            self.forget(segment.flow)

    def forget(self, flow: FlowKey) -> None:
        """Removes a flow that has ended."""
        self._flows.forget(flow)
        self._pending.end(flow)
        self._in_progress.cancel(flow)

    def collect_late(self, now: float) -> None:
        """Records the requests that have become late since the last call."""
        for endpoint in self._pending.pop_late(now):
            self._load.on_late(endpoint, now)
            self._outliers.on_failed(endpoint, now)

    def _observe_time(self, answer_time_s: float) -> None:
        self._histograms.observe(c.ANSWER_WAIT, answer_time_s)
        change_s = answer_time_s - self._usual_answer_s
        self._usual_answer_s += ANSWER_TIME_WEIGHT * change_s

    def _observe_length(
        self, flow: FlowKey, record: Record, length: int, now: float
    ) -> bool:
        """Records an answer's length; returns whether it is unusually short."""
        route = record.endpoint.service, flow.service_host, flow.service_port
        short = self._lengths.observe(route, length)
        if short:
            self._outliers.on_failed(record.endpoint.number, now)
        return short
