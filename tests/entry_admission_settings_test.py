"""Tests of entry._admission_settings."""

import contextlib
import io
import os
import socket
from unittest import mock

from parameterized import parameterized
from result import Err, Ok
from testtools import TestCase

from pollenmast.admission import AdmissionSettings
from pollenmast.entry import (
    ADMISSION_VARIABLE,
    COMPONENTS,
    EXIT_SETTINGS,
    disabled_components,
    parse_admission,
)
from pollenmast.platform._settings import parse_settings
from pollenmast.platform._start import start
from tests.platform_entries_test import SETTINGS

_NONE = AdmissionSettings(
    credits=False, guests=False, hold=False, repeats=False, full=False
)


class AdmissionSettingsTest(TestCase):
    """Operators disable a component without a new build."""

    @parameterized.expand(
        [
            ("missing", "", AdmissionSettings()),
            ("blank", "  ", AdmissionSettings()),
            ("only_commas", " , ,", AdmissionSettings()),
            ("credits", "credits", AdmissionSettings(credits=False)),
            ("guests", "guests", AdmissionSettings(guests=False)),
            ("hold", "hold", AdmissionSettings(hold=False)),
            ("repeats", "repeats", AdmissionSettings(repeats=False)),
            ("full", "full", AdmissionSettings(full=False)),
            (
                "several",
                "full,guests",
                AdmissionSettings(full=False, guests=False),
            ),
            ("repeated", "hold,hold", AdmissionSettings(hold=False)),
            (
                "padded",
                " hold ,\tguests\n",
                AdmissionSettings(hold=False, guests=False),
            ),
            ("trailing_comma", "hold,", AdmissionSettings(hold=False)),
            ("all", "all", _NONE),
            ("all_and_one", "hold,all", _NONE),
        ]
    )
    def test_valid(self, _, text, expected):
        """Exactly the listed components are disabled.

        A value that disables too much would switch off protection that the
        operator relies on.
        """
        self.assertEqual(Ok(expected), parse_admission(text))

    @parameterized.expand(
        [
            ("unknown", "queue", "'queue'"),
            ("after_valid", "hold,queue", "'queue'"),
            ("after_all", "all,queue", "'queue'"),
            ("upper_case", "Hold", "'Hold'"),
            ("other_separator", "hold guests", "'hold guests'"),
            ("negated", "!hold", "'!hold'"),
            ("none", "none", "'none'"),
            ("control_character", "\x1b[2J", r"'\x1b[2J'"),
        ]
    )
    def test_unknown(self, _, text, shown):
        """An unknown name is refused, with the value and the allowed ones.

        A misspelt name that is ignored leaves a component in force that the
        operator believes to be disabled.
        """
        read = parse_admission(text)
        self.assertIsInstance(read, Err)
        for part in (ADMISSION_VARIABLE, shown, *COMPONENTS, "all"):
            self.assertIn(part, read.err_value)

    @parameterized.expand(
        [("none", ""), ("one", "hold"), ("all", ",".join(COMPONENTS))]
    )
    def test_round_trip(self, _, text):
        """What is shown to operators is what the variable takes."""
        read = parse_admission(text).ok_value
        self.assertEqual(text, disabled_components(read))

    def test_part_of_the_settings(self):
        """The program's settings contain the value, or are refused with it.

        A value that is parsed but not passed on would have no effect.
        """
        read = parse_settings(SETTINGS, "hold").ok_value
        self.assertEqual(AdmissionSettings(hold=False), read.admission)
        self.assertEqual(
            AdmissionSettings(), parse_settings(SETTINGS).ok_value.admission
        )
        refused = parse_settings(SETTINGS, "queue")
        self.assertIn("'queue'", refused.err_value)

    @mock.patch.dict(os.environ, {ADMISSION_VARIABLE: "queue"})
    def test_refused_at_start(self):
        """A VM with an unknown name does not start, and says why.

        Otherwise it would run with components that the operator disabled.
        """
        errors = io.StringIO()
        with socket.socket() as sock, contextlib.redirect_stderr(errors):
            code = start(SETTINGS, sock, None, lambda: SETTINGS)
        self.assertEqual(EXIT_SETTINGS, code)
        self.assertIn("'queue'", errors.getvalue())
