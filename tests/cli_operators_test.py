"""Tests of `status` and `explain`, and of their output."""

import http.server
import json
import threading

from parameterized import parameterized
from testtools import TestCase

from pollenmast.cli import ExitCode
from pollenmast.cli._report import format_report
from tests.cli_app_test import CommandCase

_STATUS = {
    "vm": {"name": "relay-1", "ready": True},
    "manifest": {"version": 3, "age_s": 12.25},
    "members": [
        {"name": "relay-1", "state": "alive"},
        {"name": "relay-2", "state": "suspect"},
    ],
    "counters": [{"name": "refusals", "reason": "busy", "value": 7}],
}


class _AgentHandler(http.server.BaseHTTPRequestHandler):
    """Answers like an agent, or like another program on its port."""

    def do_GET(self):  # noqa: N802 - the library names it
        """Answers one request."""
        answers = {
            "/status": (200, json.dumps(_STATUS).encode()),
            "/explain?subject=registry%2Fregistry-1": (
                200,
                json.dumps({"subject": "x", "lines": ["it drains"]}).encode(),
            ),
            "/explain?subject=": (503, b"the relay does not answer\n"),
            "/explain?subject=page": (200, b"<html>"),
            "/explain?subject=steer": (200, b'{"lines": ["\\u001b[2J"]}'),
        }
        status, body = answers[self.path]
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Writes no log."""


class OperatorsTest(CommandCase):
    """Operators query a VM."""

    def setUp(self):
        """Starts a stand-in for an agent."""
        super().setUp()
        server = http.server.HTTPServer(("127.0.0.1", 0), _AgentHandler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        self.address = f"127.0.0.1:{server.server_port}"

    def ask(self, *words: str) -> tuple[int, str, str]:
        """Runs a command with the address of the stand-in."""
        return self.run_command(*words, "--address", self.address)

    def test_status(self):
        """The status is printed as tables, and unchanged as JSON."""
        code, output, _ = self.ask("status")
        self.assertEqual(ExitCode.OK, code)
        for text in ("relay-2  suspect", "refusals  busy", "12.2", "ready"):
            self.assertIn(text, output)
        _, output, _ = self.ask("status", "--json")
        self.assertEqual(_STATUS, json.loads(output))

    @parameterized.expand(
        [
            ("known", "registry/registry-1", 0, "it drains\n", ""),
            ("steering", "steer", 0, "?[2J\n", ""),
            ("silent", "", 1, "", "answered 503 the relay does not answer"),
            ("stranger", "page", 1, "", "something else than JSON"),
        ]
    )
    def test_explain(self, _, subject, code, output, error):
        """The lines of an answer, or an error without one, are printed."""
        exit_code, output_text, errors = self.ask("explain", subject)
        self.assertEqual((code, output), (exit_code, output_text))
        self.assertIn(error, errors)

    def test_no_agent(self):
        """Without an agent on the port: exit code 1 and one line of error."""
        code, _, errors = self.run_command("status", "--address", "127.0.0.1:1")
        self.assertEqual((1, 1), (code, len(errors.splitlines())))


class ReportTest(TestCase):
    """Every answer can be shown, also that of an unknown version."""

    @parameterized.expand(
        [
            ("text", "x", "x"),
            ("empty", {"members": []}, "members\nnone"),
            ("absent", {"a": None}, "WHAT  VALUE\na     -"),
            ("nested", {"a": {"b": {"c": 1}}}, "a\nWHAT  VALUE\nb.c   1"),
            ("numbers", {"a": [1, 2]}, "a\n1\n2"),
            ("uneven", {"a": [{"b": 1}, {"c": 2}]}, "a\nB  C\n1  -\n-  2"),
        ]
    )
    def test_report(self, _, answer, expected):
        """Each shape of JSON has a readable form."""
        self.assertEqual(expected, format_report(answer))
