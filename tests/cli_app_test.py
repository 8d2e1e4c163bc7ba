"""Tests of cli: every command, called as an operator does."""

import contextlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile

from parameterized import parameterized
from testtools import TestCase
from testtools.matchers import StartsWith

import pollenmast
from pollenmast import agent, relay
from pollenmast.cli import ExitCode, main
from pollenmast.events import CATALOGUE
from tests.manifest_text_test import encode, example
from tests.settings_load_test import KEY, TEXT


class CommandCase(TestCase):
    """Base class: runs commands on files in a temporary folder."""

    def setUp(self):
        """Creates the folder with a valid file of each kind."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        key_file = self.write("key", KEY)
        self.settings = self.write("vm.ini", TEXT.format(key_file=key_file))
        self.manifest = self.write("old.json", encode(example()).decode())

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        (self.folder / name).write_text(text)
        return str(self.folder / name)

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Runs a command; returns its exit code, output and error output."""
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            code = main(list(arguments))
        return code, output.getvalue(), errors.getvalue()


class CommandTest(CommandCase):
    """The output and the exit code of each command."""

    def test_version(self):
        """`--version` prints the version of the package."""
        self.assertEqual(
            (0, f"pollenmast {pollenmast.VERSION}\n", ""),
            self.run_command("--version"),
        )

    @parameterized.expand(
        [
            (" ".join(words), words)
            for words in (
                ["relay"],
                ["agent"],
                ["status"],
                ["explain"],
                ["events"],
                ["settings", "check"],
                ["manifest", "check"],
                ["manifest", "schema"],
                ["manifest", "diff"],
            )
        ]
    )
    def test_help(self, _, words):
        """The help of each command shows an example of it."""
        code, output, _ = self.run_command(*words, "--help")
        self.assertEqual(ExitCode.OK, code)
        self.assertIn(f"Example: pollenmast {' '.join(words)}", output)

    def test_exit_codes_in_help(self):
        """The help lists every exit code."""
        _, output, _ = self.run_command("--help")
        for code in ExitCode:
            self.assertIn(f"{code.value} ", output.split("Exit codes:")[1])

    @parameterized.expand(
        [
            ("no_command", ["fly"]),
            ("no_settings", ["relay"]),
            ("unknown_option", ["events", "--colour"]),
            ("no_address", ["status"]),
            ("host_name", ["status", "--address", "localhost:7005"]),
        ]
    )
    def test_invalid_command_line(self, _, words):
        """An invalid command line gives exit code 2."""
        self.assertEqual(ExitCode.INVALID_INPUT, self.run_command(*words)[0])

    def test_events(self):
        """The whole catalogue is printed, as a table and as JSON."""
        _, output, _ = self.run_command("events", "--json")
        self.assertEqual(
            [event.number for event in CATALOGUE],
            [event["number"] for event in json.loads(output)],
        )
        _, output, _ = self.run_command("events")
        self.assertEqual(len(CATALOGUE) + 1, len(output.splitlines()))


class SettingsTest(CommandCase):
    """`settings check`, and the checks of `relay` and `agent`."""

    def test_check(self):
        """Every value in force is printed, except the key."""
        code, output, _ = self.run_command("settings", "check", self.settings)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("pos-frederick", output)
        self.assertNotIn(KEY[:8], output)
        _, output, _ = self.run_command(
            "settings", "check", self.settings, "--json"
        )
        shown = json.loads(output)
        self.assertEqual(7001, shown["settings"]["relay"]["peer_port"])
        self.assertEqual([], shown["faults"])
        self.assertNotIn(KEY[:8], output)

    @parameterized.expand(
        [
            ("check", ["settings", "check"]),
            ("relay", ["relay", "--settings"]),
            ("agent", ["agent", "--settings"]),
        ]
    )
    def test_faults(self, _, words):
        """An invalid settings file gives one line per fault.

        No program starts with the valid part of it.
        """
        file = self.write("wrong.ini", "[vm]\nname = A\n")
        code, output, errors = self.run_command(*words, file)
        self.assertEqual((ExitCode.INVALID_INPUT, ""), (code, output))
        self.assertEqual(6, len(errors.splitlines()), errors)
        for line in errors.splitlines():
            self.assertThat(line, StartsWith(f"{file}: ["))

    @parameterized.expand([("relay", relay), ("agent", agent)])
    def test_programs(self, name, package):
        """The program receives the settings; its exit code is returned."""
        received = []

        def run(settings):
            received.append(settings.vm.name)
            return int(ExitCode.FORCED)

        self.patch(package, "run", run)
        for words in (
            ["--settings", self.settings],
            [f"--settings={self.settings}"],
        ):
            code, _, _ = self.run_command(name, *words)
            self.assertEqual((ExitCode.FORCED, ["relay-1"]), (code, received))
            received.clear()

    def test_agent_imports(self):
        """The agent does not import what only the relay or short commands need.

        The modules would stay loaded for months, and the agent would exceed
        the memory allowed for control on a small VM.
        """
        code = (
            "import sys, pollenmast.cli, pollenmast.agent as agent;"
            "agent.run = lambda settings: print(*sys.modules) or 0;"
            "sys.exit(pollenmast.cli.main(sys.argv[1:]))"
        )
        words = ["agent", "--settings", self.settings]
        completed = subprocess.run(
            [sys.executable, "-c", code, *words],
            check=True,
            capture_output=True,
            text=True,
        )
        loaded = set(completed.stdout.split())
        self.assertEqual(set(), loaded & {"aioquic", "typer", "pydantic"})


class ManifestTest(CommandCase):
    """`manifest check`, `manifest schema` and `manifest diff`."""

    def test_check(self):
        """A summary of a valid manifest is printed."""
        code, output, _ = self.run_command("manifest", "check", self.manifest)
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("registry", output)
        _, output, _ = self.run_command(
            "manifest", "check", self.manifest, "--json"
        )
        self.assertEqual(3, json.loads(output)["version"])

    def test_faults(self):
        """An invalid manifest is refused with path and reason."""
        file = self.write("wrong.json", encode(example(port=0)).decode())
        code, _, errors = self.run_command("manifest", "check", file)
        self.assertEqual(ExitCode.INVALID_INPUT, code)
        self.assertEqual(
            f"{file}: services[0].endpoints[0].port: found 0, allowed: a port,"
            " 1 to 65535\n",
            errors,
        )

    @parameterized.expand(
        [
            ("check", ["manifest", "check"]),
            ("diff", ["manifest", "diff", "/"]),
        ]
    )
    def test_unreadable_file(self, _, words):
        """An unreadable file gives one line of error and no traceback."""
        code, _, errors = self.run_command(*words, "/no/such/file")
        self.assertEqual(ExitCode.INVALID_INPUT, code)
        self.assertEqual(1, len(errors.splitlines()))

    def test_schema(self):
        """The schema is printed as JSON."""
        _, output, _ = self.run_command("manifest", "schema")
        self.assertEqual("pollenmast manifest", json.loads(output)["title"])

    def test_diff(self):
        """The differences are printed as a table and as JSON."""
        value = {**example(state="draining"), "version": 4}
        new = self.write("new.json", encode(value).decode())
        code, output, _ = self.run_command(
            "manifest", "diff", self.manifest, new
        )
        self.assertEqual(ExitCode.OK, code)
        self.assertIn("drain   registry/registry-1", output)
        _, output, _ = self.run_command(
            "manifest", "diff", self.manifest, new, "--json"
        )
        self.assertEqual("drain", json.loads(output)[0]["effect"])

    def test_diff_with_older_version(self):
        """A new manifest that the fleet would ignore gives exit code 2."""
        new = self.write(
            "new.json", encode({**example(port=5), "version": 2}).decode()
        )
        code, _, _ = self.run_command("manifest", "diff", self.manifest, new)
        self.assertEqual(ExitCode.INVALID_INPUT, code)
