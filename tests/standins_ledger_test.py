"""Tests of standins._ledger."""

import attrs
from parameterized import parameterized
from testtools import TestCase

from standins import _ledger
from standins._records import (
    Fate,
    FlowRecord,
    Outcome,
    RequestRecord,
    Results,
    from_json,
)

_KILLED = _ledger.Loss(at=100.0)


def _request(outcome=Outcome.ANSWERED, opened=1.0, ended=2.0, refused=()):
    return RequestRecord(
        "r-1", "registry", opened, opened, ended, outcome, list(refused)
    )


def _executions(**attempts: int) -> _ledger.Executions:
    ran = {f"r-1#{name[1:]}": times for name, times in attempts.items()}
    return _ledger.Executions(
        {"registry-1": {"executions": ran, "wrong_service": 0}}
    )


def _faults(ledger: _ledger.Ledger) -> list[dict]:
    zero = attrs.asdict(_ledger.Tally())
    return [
        {
            name: value
            for name, value in attrs.asdict(tally).items()
            if value != zero[name] and name not in ("requests", "flows")
        }
        for tally in (ledger.promised, ledger.after_loss)
    ]


class JoinTest(TestCase):
    """Tests of the comparison of callers' outcomes with executions."""

    @parameterized.expand(
        [
            ("once", _request(), {"a0": 1}, {"answered": 1}),
            (
                "doubled",
                _request(),
                {"a0": 2},
                {"answered": 1, "doubled": 1},
            ),
            (
                "doubled_over_attempts",
                _request(refused=[0]),
                {"a0": 1, "a1": 1},
                {"answered": 1, "doubled": 1, "late_refusals": 1},
            ),
            (
                "refused_then_run_once",
                _request(refused=[0]),
                {"a1": 1},
                {"answered": 1},
            ),
            (
                "shed_and_run",
                _request(Outcome.SHED, refused=[0]),
                {"a0": 1},
                {"refused": 1, "late_refusals": 1},
            ),
            ("cut", _request(Outcome.CUT), {"a0": 1}, {"cut": 1}),
            ("lost", _request(Outcome.LOST), {}, {"lost": 1}),
            ("never_ended", _request(Outcome.PENDING), {}, {"lost": 1}),
        ]
    )
    def test_request(self, _, request, ran, expected):
        """Each outcome is counted in its own counters and in no others."""
        results = Results(requests=[request])
        ledger = _ledger.join([results], _executions(**ran))
        self.assertEqual([expected, {}], _faults(ledger))

    @parameterized.expand(
        [
            ("open_through_it", 90.0, 115.0, 1),
            ("just_after", 104.0, 119.0, 1),
            ("ended_before", 90.0, 99.0, 0),
            ("opened_later", 106.0, 121.0, 0),
        ]
    )
    def test_unplanned_loss(self, _, opened, ended, excused):
        """A VM is killed and a session breaks.

        The flow is counted separately only if the loss can have affected it.
        """
        flow = FlowRecord("registry", opened, opened, ended, Fate.BROKEN)
        ledger = _ledger.join([Results(flows=[flow])], _executions(), _KILLED)
        self.assertEqual(excused, ledger.after_loss.broken_flows)
        self.assertEqual(1 - excused, ledger.promised.broken_flows)

    def test_records_round_trip_through_json(self):
        """Records decoded from JSON equal the encoded ones."""
        results = Results(
            flows=[FlowRecord("registry", 1.0, fate=Fate.REFUSED)],
            requests=[_request(refused=[0])],
        )
        self.assertEqual(results, from_json(results.to_json()))
