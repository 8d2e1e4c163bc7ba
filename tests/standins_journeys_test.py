"""Tests of standins.journeys."""

import json
import pathlib
import tempfile

from testtools import TestCase

from standins import _records, journeys


def _step(at: float, caller: int, vm: str) -> str:
    step = {"at": at, "caller": caller, "way": "to", "vm": vm}
    return json.dumps(step | {"bytes": 33, "long": False}) + "\n"


class JourneysTest(TestCase):
    """Tests of the listing of a lost flow's datagrams."""

    def test_only_lost_flow_is_listed(self):
        """Of two flows from the same port only the lost one is listed."""
        lost = _records.FlowRecord("barcodes", 10.0, 10.2, 25.0, port=7)
        lost.fate = _records.Fate.BROKEN
        closed = _records.FlowRecord("barcodes", 1.0, 1.1, 2.0, port=7)
        closed.fate = _records.Fate.CLOSED
        results = _records.Results([closed, lost])
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "images.out").write_text(json.dumps(results.to_json()))
            (folder / "fabric.trace").write_text(
                _step(1.0, 7, "early")
                + _step(10.1, 7, "second")
                + _step(10.1, 8, "stranger")
            )
            head, *datagrams = journeys.journeys(folder)
        self.assertIn("broken: opened at 10.000, connected after 0.200", head)
        self.assertEqual(1, len(datagrams))
        self.assertIn("second", datagrams[0])
