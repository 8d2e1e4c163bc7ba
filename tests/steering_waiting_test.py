"""Tests of steering._waiting, and of placement by late requests."""

import heapq
import random

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.steering import CheckResult
from pollenmast.steering import _load as load
from pollenmast.steering._waiting import LATE_AFTER_S, PendingRequests
from tests import steering_group as group

LASTING = 1_000_000
"""Requests of a flow that lasts for the whole simulation."""

TICK_S = 0.5
ANSWER_S = 0.04
PAUSE_S = 0.16
DEADLINE_S = 3.5


class WaitingTest(TestCase):
    """Which requests are late."""

    def test_late_once(self):
        """A hanging request is returned as late only once."""
        waiting = PendingRequests()
        waiting.begin(group.flow(1), 7, 1.0)
        self.assertEqual([], waiting.pop_late(1.0 + LATE_AFTER_S / 2))
        self.assertEqual([7], waiting.pop_late(1.0 + LATE_AFTER_S))
        self.assertEqual([], waiting.pop_late(2.0 + LATE_AFTER_S))

    def test_answered(self):
        """A request that was answered, or given up, is not late."""
        waiting = PendingRequests()
        waiting.begin(group.flow(1), 7, 1.0)
        waiting.end(group.flow(1))
        waiting.end(group.flow(2))
        self.assertEqual([], waiting.pop_late(9.0))


@attrs.define
class _Tally:
    answered: int = 0
    hung: int = 0


class _Simulation:
    """Simulates the clients of one VM; endpoints leave some requests hanging.

    A client sends a request, waits for its answer, pauses, and sends the next
    one on the same flow, up to a number of requests. If no answer arrives, it
    gives up at its deadline and continues with a new flow.
    """

    def __init__(
        self,
        endpoints: int,
        clients: int,
        hanging: dict[int, float],
        flow_requests: int = LASTING,
    ):
        self._known = [group.endpoint(n) for n in range(1, endpoints + 1)]
        self._core = group.steering(*self._known)
        self._rng = random.Random(1)
        self._hanging = hanging
        self._flow_requests = flow_requests
        self._due = []
        self._flows = 0
        self.tally = _Tally()
        for client in range(clients):
            at = 1.0 + PAUSE_S * self._rng.random()
            heapq.heappush(self._due, (at, client, None, 0))

    def run(self, until_s: float) -> _Tally:
        """Simulates until this time, in seconds."""
        tick = 1.0
        while self._due and self._due[0][0] < until_s:
            now, client, flow, sent = heapq.heappop(self._due)
            while tick < now:
                self._core.tick(tick)
                tick += TICK_S
            for record in self._core.due_checks(now):
                self._core.on_check(record, CheckResult.ANSWERED, now)
            if flow is not None and sent > self._flow_requests:
                self._close(now, flow, sent)
                flow = None
            if flow is None:
                flow, sent = self._open(now), 1
            self._ask(now, client, flow, sent)
        return self.tally

    def _open(self, now: float):
        self._flows += 1
        key = group.flow(self._flows)
        placed = self._core.on_segment(group.syn(key), now).endpoint
        opened = group.segment(key, placed.token)
        self._core.on_segment(opened, now + 0.002)
        return key, placed

    def _close(self, now: float, flow, sent: int) -> None:
        """Acknowledges the client's last answer and ends its flow."""
        key, placed = flow
        last = group.segment(
            key, placed.token, sequence=sent, acknowledged=sent, fin=True
        )
        self._core.on_segment(last, now)

    def _ask(self, now: float, client: int, flow, sent: int) -> None:
        key, placed = flow
        request = group.segment(
            key, placed.token, sequence=sent, acknowledged=sent, length=1
        )
        self._core.on_segment(request, now)
        if self._rng.random() < self._hanging.get(placed.number, 0.0):
            self.tally.hung += 1
            again = (now + DEADLINE_S, client, None, 0)
        else:
            self.tally.answered += 1
            pause = ANSWER_S + PAUSE_S * (0.5 + self._rng.random())
            again = (now + pause, client, flow, sent + 1)
        heapq.heappush(self._due, again)


class GreyFailureTest(TestCase):
    """An endpoint passes its health checks but leaves requests hanging."""

    def _hung(self, part: float, flow_requests: int) -> dict[float, int]:
        """Returns the number of hung requests by the value of `LATE_RATE`."""
        hung = {}
        for weight in (0.0, load.LATE_RATE):
            self.patch(load, "LATE_RATE", weight)
            simulation = _Simulation(10, 40, {1: part}, flow_requests)
            hung[weight] = simulation.run(20.0).hung
        return hung

    @parameterized.expand(
        [
            ("some", 0.4, 1),
            ("most", 0.9, 1),
            ("some_of_three", 0.4, 3),
            ("most_of_three", 0.9, 3),
            ("some_of_ten", 0.4, 10),
            ("most_of_ten", 0.9, 10),
        ]
    )
    def test_new_flows_avoid_endpoint(self, _, part, flow_requests):
        """New flows avoid an endpoint that leaves requests hanging.

        One of ten endpoints hangs. It gets fewer requests than the others, as
        its clients wait; by that alone it would be the first choice, and each
        new flow would hang. A client experiences each hung request as seconds
        of silence.

        In 20 s of 40 clients 56 to 142 requests hung without the weight of late
        requests, and 20 to 47 with it.
        """
        without, with_it = self._hung(part, flow_requests).values()
        self.assertLess(with_it, 0.5 * without)

    @parameterized.expand([("some", 0.4), ("most", 0.9)])
    def test_lasting_flows(self, _, part):
        """Few requests hang when flows last as long as they are answered.

        Few new flows are placed. The first clients of the endpoint leave it
        when a request hangs, and almost none comes back to it.
        """
        without, with_it = self._hung(part, LASTING).values()
        self.assertLessEqual(with_it, without)
        self.assertLessEqual(with_it, 4)

    def test_lossy_links(self):
        """Load stays evenly spread if requests to all endpoints are late."""
        everywhere = dict.fromkeys(range(1, 11), 0.05)
        simulation = _Simulation(10, 40, everywhere)
        simulation.run(20.0)
        rates = simulation._core.load.own_rates(20.0)
        work = [rates.get(number, 0.0) for number in range(1, 11)]
        self.assertLess(max(work), 3.0 * sum(work) / len(work))
