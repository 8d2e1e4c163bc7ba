"""Tests for bench._measurements_page, bench._aims and bench._plots."""

import json
import pathlib
import tempfile

from parameterized import parameterized
from testtools import TestCase

from bench import _aims, _measurements_page, _plots

_MOST_BYTES = 60_000


def _row(age_s, broken: int, sent: float) -> dict:
    return {
        "age_s": age_s,
        "held_by_killed": 50,
        "broken": broken,
        "bytes_per_s_a_vm": sent,
    }


def _replication() -> dict:
    return {
        "seed": 7,
        "curve": [
            _row(0.0, 0, 300.5),
            _row(1.0, 2, 120.5),
            _row("never", 9, 0),
        ],
    }


def _kill(broken: int) -> dict:
    return {
        "held_by_killed": 70,
        "broken_flows": broken,
        "latest_alert_s": 2.5,
        "never_allowed": 0,
    }


def _ownership() -> dict:
    row = {
        "owner_us": 1.0,
        "change_ms": 2.0,
        "build_ms": 3.0,
        "rendezvous_table_ms": 90.0,
    }
    return {"sizes": [{"vms": 9, **row}, {"vms": 100, **row}]}


class AimsTest(TestCase):
    """Verdicts are computed from results, never entered by hand."""

    @parameterized.expand(
        [
            ("all", (True, True), "yes"),
            ("some", (True, False), "partial"),
            ("none", (False, False), "no"),
        ]
    )
    def test_judged(self, _, met, verdict):
        """An aim is reached only if all of its conditions are met."""
        self.assertEqual(verdict, _aims.bounded_aim("aim", "1", *met).verdict)

    @parameterized.expand([("fewer", 3, "yes"), ("as many", 9, "no")])
    def test_loss(self, _, broken, verdict):
        """Replication misses its aim if it saves no flow."""
        kills = [
            {"replication": "on", **_kill(broken)},
            {"replication": "off", **_kill(9)},
        ]
        first = _aims.table("loss", {"kills": kills})[0]
        self.assertEqual(verdict, first["verdict"])


class NoWorseOffTest(TestCase):
    """Mechanisms that bring no improvement are listed."""

    @parameterized.expand(
        [
            ("no better anywhere", 90, 5.0, True),
            ("as good", 80, 7.0, True),
            ("fewer answered", 79, 5.0, False),
            ("slower", 90, 7.1, False),
        ]
    )
    def test_listed(self, _, answered, p99_ms, listed):
        """A variant is listed if both its answers and its time are no worse."""
        on = {"variant": "all on", "answered": 80, "p99_ms": 7.0}
        off = {"variant": "no x", "answered": answered, "p99_ms": p99_ms}
        found = _aims.variants_no_worse({"steady": [on, off], "sizes": [{}]})
        self.assertEqual(["no x"] * listed, [row["variant"] for row in found])


class PageTest(TestCase):
    """The page shows the results and names measurements that were not run."""

    def setUp(self):
        """Creates a folder for the plots."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _page(self, **results) -> str:
        return _measurements_page.page(results, self.folder)

    def test_figures(self):
        """Figures, seed, machine and the row of the default age are shown."""
        note = {"python": "3.11.0", "load_before": 8.25}
        page = self._page(replication={**_replication(), "machine": note})
        self.assertIn("| 1 | 50 | 2 | 120.5 |", page)
        self.assertIn("Seeds: 7.", page)
        self.assertIn("| replication | 3.11.0 | 8.25 |", page)
        self.assertIn("default 1 s: 2 of 50 broken", page)

    def test_not_run(self):
        """A measurement without a result is marked as not run."""
        page = self._page(replication=_replication())
        others = len(_measurements_page.SECTIONS) - 1
        self.assertEqual(others, page.count("\nNot run.\n"))

    def test_missed(self):
        """Missed aims are also listed at the top."""
        kills = [
            {"replication": each, **_kill(5), "never_allowed": 1}
            for each in ("on", "off")
        ]
        page = self._page(loss={"kills": kills})
        top = page[: page.index("## Packet path")]
        self.assertEqual(2, top.count("| loss |"))

    def test_merge(self):
        """If two files contain a measurement, the later file wins."""
        files = [self.folder / "a.json", self.folder / "b.json"]
        files[0].write_text(json.dumps({"loss": 1, "control": 1}))
        files[1].write_text(json.dumps({"loss": 2}))
        merged = _measurements_page.merge(files)
        self.assertEqual({"loss": 2, "control": 1}, merged)

    @parameterized.expand(
        [("replication", _replication()), ("ownership", _ownership())]
    )
    def test_plots(self, name, result):
        """Plots are PNG files below 60 kB."""
        for plot in _plots.write(name, result, self.folder):
            data = (self.folder / plot.file).read_bytes()
            self.assertEqual(b"\x89PNG", data[:4])
            self.assertLess(len(data), _MOST_BYTES)
