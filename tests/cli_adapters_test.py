"""Tests of `--adapter` and `decode`: formats of the platform."""

import json
import os
from unittest import mock

from parameterized import parameterized

from pollenmast.cli import ExitCode
from tests.cli_app_test import CommandCase

SETTINGS = """\
nodeId=frontend-a-1
zone=a
listenAddrs.datagramAddr=10.1.0.10:8172
listenAddrs.ready=10.1.0.10:8167
internalPorts=7720,7735
seedNodes=10.1.0.10:8166,10.2.0.40:8166
platform.address=10.200.1.7:8169
unknown=1
"""

CONFIGURATION = {
    "version": 7,
    "routeTable": [
        {
            "name": "feed",
            "hostname": "198.18.0.1",
            "prefix": "/443/",
            "routeType": "idempotent",
            "trafficSplit": [
                {"service": "registry", "weight": 90},
                {"service": "spare", "weight": 10},
            ],
        }
    ],
    "services": [
        {
            "name": "registry",
            "healthPath": "/health",
            "warmupS": 2.0,
            "warmupPerS": 0.0,
        },
        {"name": "spare", "healthPath": "/health"},
    ],
    "limits": {"idleTimeoutMs": 15000},
}

SYN = (
    "a1 b2 c3 d5 00 00 00 00 9c 41 64 40 00 07 01 bb"
    " c6 12 00 01 11 22 33 44 00 00 00 01 00 00 10 00"
)


class AdapterTest(CommandCase):
    """Operators check the platform's files before a roll-out."""

    def test_settings(self):
        """The values in force are printed."""
        file = self.write("boot.conf", SETTINGS)
        code, output, _ = self.run_command(
            "settings", "check", file, "--adapter", "platform"
        )
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("10.1.0.10:8166, 10.2.0.40:8166", output)

    @parameterized.expand(
        [
            ("", ExitCode.OK, "complete"),
            ("hold, full", ExitCode.OK, "without hold,full"),
            ("queue", ExitCode.INVALID_INPUT, "'queue' is unknown"),
        ]
    )
    def test_admission(self, value, expected, words):
        """The check shows which components the environment disables.

        A misspelt name found only at the next start would take a VM out of
        service.
        """
        file = self.write("boot.conf", SETTINGS)
        with mock.patch.dict(os.environ, {"POLLENMAST_ADMISSION": value}):
            code, output, errors = self.run_command(
                "settings", "check", file, "--adapter", "platform"
            )
        self.assertEqual(expected, code)
        self.assertIn(words, output + errors)

    @parameterized.expand(
        [
            ("settings", "zone=a\n", "nodeId is missing"),
            ("manifest", "{}", "services is missing"),
        ]
    )
    def test_invalid_file(self, command, text, fault):
        """An invalid file is refused and the error names the field.

        A fault found only at the next start would take a VM out of service.
        """
        file = self.write("wrong", text)
        code, _, errors = self.run_command(
            command, "check", file, "--adapter", "platform"
        )
        self.assertEqual(ExitCode.INVALID_INPUT, code)
        self.assertIn(fault, errors)

    def test_configuration(self):
        """Each route is printed with its services and their weights."""
        file = self.write("config.json", json.dumps(CONFIGURATION))
        code, output, _ = self.run_command(
            "manifest", "check", file, "--adapter", "platform", "--json"
        )
        self.assertEqual(ExitCode.OK, code)
        read = json.loads(output)["read"]
        self.assertEqual(
            "198.18.0.1:443 to registry 90, spare 10; idempotent",
            read["route feed"],
        )
        self.assertEqual("2 s, 0 flows/s", read["warm-up of registry"])
        self.assertNotIn("warm-up of spare", read)

    def test_unknown_adapter(self):
        """The error lists the adapters that exist."""
        code, _, errors = self.run_command(
            "settings", "check", "file", "--adapter", "moon"
        )
        self.assertEqual(ExitCode.INVALID_INPUT, code)
        self.assertIn("allowed: platform", errors)

    def test_missing_file(self):
        """A missing file gives an error message, not a traceback."""
        code, _, errors = self.run_command(
            "settings", "check", "/nowhere", "--adapter", "platform"
        )
        self.assertEqual(ExitCode.INVALID_INPUT, code)
        self.assertIn("/nowhere", errors)


class DecodeTest(CommandCase):
    """`decode` prints the fields of a captured packet."""

    def test_syn(self):
        """A SYN's flow and the number of its earlier copies are printed."""
        code, output, _ = self.run_command("decode", SYN)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("100.64.0.7:40001", output)
        self.assertRegex(output, "sent before +1 times")

    @parameterized.expand([("odd", "abc"), ("words", "xy"), ("short", "00")])
    def test_invalid_packet(self, _, text):
        """Input that is not a packet is refused."""
        code, _, errors = self.run_command("decode", text)
        self.assertEqual(ExitCode.INVALID_INPUT, code)
        self.assertTrue(errors)
