"""Load tests of the decisions of admission control.

Each case is a load at which endpoints have, or seem to have, too little
capacity. The bounds are the targets of docs/design/hard-load.md.
"""

import functools

import attrs
from parameterized import parameterized
from testtools import TestCase

from pollenmast.admission import AdmissionSettings
from tests import admission_load_group as group

NORMAL_USE = 0.28
"""Slots in use at normal load, as a fraction."""

MAX_MORE_WAIT_S = 0.003
"""By how much admission control may prolong the mean wait at normal load."""

MIN_URGENT = 0.98
MIN_GOODPUT = 0.95
MAX_REJECTED = 1 / 20
"""Rejections as a fraction of those without admission control."""

MIN_SHARE_KEPT = 0.9
"""What an account gets in time beside one that asks ten times its share."""

MAX_EPISODE_S = 2.0
"""How long after its cause flows may still be refused, in seconds."""


@attrs.frozen
class Case:
    """A load and the targets' time window.

    Attributes:
        name: The name.
        begin: When the cause begins in seconds.
        end: When it ends.
        load: Multiple of the normal load in between.
        vms: The number of VMs.
        endpoints: The number of endpoints.
        slow: The fraction of endpoints that are four times as slow.
        gone: The fraction of endpoints that are gone, from `begin` less the
            time until all VMs have found out.
        backlog: The number of flows at `begin`.
        members_at: When the VMs know each other.
    """

    name: str
    begin: float
    end: float
    load: float = 1.0
    vms: int = 68
    endpoints: int = 60
    slow: float = 0.0
    gone: float = 0.0
    backlog: int = 0
    members_at: float = 0.0

    @property
    def phases(self) -> list[tuple[float, float, float]]:
        """The phases of load, with two seconds and a half afterwards."""
        slots = self.endpoints * group.SLOTS
        rate = NORMAL_USE * slots / group.WORK_S
        last = self.end + MAX_EPISODE_S
        phases = [
            (self.begin, self.end, self.load * rate),
            (self.end, last + 0.5, rate),
        ]
        if self.begin and not self.backlog:
            phases.append((0.0, self.begin, rate))
        return phases


@attrs.frozen
class Result:
    """What the clients got from flows between `begin` and `end`.

    Attributes:
        urgent: Fraction of the urgent flows answered in time.
        others: Fraction of the other flows answered in time.
        goodput: Work of the answers in time, as a fraction of what the slots
            can handle, or of the work that was asked if that is less.
        rejected: Attempts that endpoints rejected.
        refused: Attempts that VMs refused.
        refused_after: Those of flows that arrived after the episode's end.
        wait_s: Mean time of an answered flow beyond its work.
    """

    urgent: float
    others: float
    goodput: float
    rejected: int
    refused: int
    refused_after: int
    wait_s: float


@functools.cache
def play(case: Case, credits: bool) -> Result:
    """Plays a case with or without admission control."""
    settings = AdmissionSettings(credits=credits)
    model = group.Model(case.vms, case.endpoints, settings, case.members_at)
    for endpoint in model.endpoints[: round(case.slow * case.endpoints)]:
        endpoint.slowness = 4.0
    for endpoint in model.endpoints[: round(case.gone * case.endpoints)]:
        endpoint.gone_at = case.begin - group.CHECK_S
    flows = group.arrivals(case.phases, case.backlog)
    model.play(flows)
    return _result(case, model, flows)


def _result(case, model, flows) -> Result:
    within = [f for f in flows if case.begin <= f.at < case.end]
    urgent = [f.in_time for f in within if f.priority == 0]
    others = [f.in_time for f in within if f.priority]
    answered = [f for f in flows if f.answered_at < float("inf")]
    after = case.end + MAX_EPISODE_S
    waits = [f.answered_at - f.at - f.work_s for f in answered]
    return Result(
        urgent=sum(urgent) / len(urgent),
        others=sum(others) / len(others),
        goodput=_goodput(case, model, flows, within),
        rejected=model.rejected,
        refused=sum(f.refused for f in flows),
        refused_after=sum(f.refused for f in flows if f.at > after),
        wait_s=sum(waits) / len(waits),
    )


def _goodput(case, model, flows, within) -> float:
    if case.backlog:
        # The slots can handle all of it within the target latencies.
        backlog = [f for f in within if f.at == case.begin]
        return sum(f.in_time for f in backlog) / len(backlog)
    left = [e for e in model.endpoints if e.gone_at > case.end]
    capacity_s = group.SLOTS * len(left) * (case.end - case.begin)
    speed = sum(1 / e.slowness for e in left) / len(left)
    asked_s = sum(f.work_s for f in within)
    done_s = sum(_work_within(case, f) for f in flows if f.in_time)
    return done_s / min(speed * capacity_s, asked_s)


def _work_within(case, flow) -> float:
    """Returns the part of a flow's work that was done in the time window."""
    begin = max(flow.begun_at, case.begin)
    end = min(flow.answered_at, case.end)
    took_s = flow.answered_at - flow.begun_at
    return flow.work_s * max(end - begin, 0.0) / took_s


NORMAL = Case("normal", 0.0, 5.0)
CASES = [
    Case("spike", 1.0, 7.0, load=5),
    Case("spike_6_vms", 1.0, 7.0, load=5, vms=6, endpoints=6),
    # Shorter, as it has four times as many flows.
    Case("spike_280_vms", 0.2, 1.2, load=5, vms=280, endpoints=247),
    Case("slow_third", 0.0, 5.0, slow=1 / 3),
    Case("two_thirds_gone", 1.5, 5.0, gone=2 / 3),
    Case("backlog", 1.0, 1.5, backlog=1000),
    Case("no_member_list", 0.0, 2.0, load=5, members_at=1.0),
]
TABLE = [(case.name, case) for case in CASES]
PASSING = [(c.name, c) for c in CASES if not c.slow and not c.gone]
"""The cases whose cause ends."""


class LoadTest(TestCase):
    """Clients get the targets whatever the load is.

    Without admission control endpoints reject what their queues cannot hold,
    urgent or not, while other endpoints are idle.
    """

    def test_normal_load(self):
        """With spare capacity no flow is refused or noticeably delayed."""
        result, without = play(NORMAL, True), play(NORMAL, False)
        self.assertEqual((0, 0), (result.refused, result.rejected))
        more_s = result.wait_s - without.wait_s
        self.assertLessEqual(more_s, MAX_MORE_WAIT_S)

    @parameterized.expand(TABLE)
    def test_urgent(self, _, case):
        """Urgent flows, which fit the slots, are answered in time."""
        self.assertGreaterEqual(play(case, True).urgent, MIN_URGENT)

    @parameterized.expand(TABLE)
    def test_goodput(self, _, case):
        """No capacity is wasted on rejections, idle slots or late answers."""
        self.assertGreaterEqual(play(case, True).goodput, MIN_GOODPUT)

    @parameterized.expand(TABLE)
    def test_rejections(self, _, case):
        """Endpoints reject few attempts; each costs time and is retried."""
        most = MAX_REJECTED * play(case, False).rejected
        self.assertLess(play(case, True).rejected, most)

    @parameterized.expand(PASSING)
    def test_episode_ends(self, _, case):
        """The retries of refused clients do not prolong the overload."""
        self.assertEqual(0, play(case, True).refused_after)

    @parameterized.expand([("urgent", 0), ("others", 1)])
    def test_heavy_account(self, _, priority):
        """An account that asks ten times its share costs the others little.

        Nine accounts ask for half of the slots and one for all of them. If its
        held flows counted as ahead of the others' flows, these were refused.
        """
        asked = [f for f in _with_heavy_account() if f.priority == priority]
        in_time = sum(f.in_time for f in asked)
        self.assertGreaterEqual(in_time, MIN_SHARE_KEPT * len(asked))


@functools.cache
def _with_heavy_account():
    """Returns the flows of the other accounts."""
    slots = 60 * group.SLOTS / group.WORK_S
    others = group.arrivals([(0.0, 3.0, 0.5 * slots)], accounts=9)
    heavy = group.arrivals([(0.0, 3.0, 1.0 * slots)], seed=8)
    for flow in heavy:
        flow.caller = "10.0.200.1"
    model = group.Model(68, 60, AdmissionSettings())
    model.play(others + heavy)
    return others
