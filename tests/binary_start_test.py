"""Tests of packing: the binary is run the way a VM runs it."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import zipfile

from parameterized import parameterized
from testtools import TestCase

import pollenmast
from packing import _archive, _contents
from tests.settings_load_test import KEY, TEXT

_TIMEOUT_S = 60
"""Timeout in seconds for a program to respond.

It affects the result only if the program hangs.
"""

_POLL_S = 0.01
"""Polling interval in seconds while a program starts."""

_AUDIT_SCRIPT = """\
import os, runpy, sys
def watch(event, arguments):
    if event in ("os.fork", "os.exec", "os.posix_spawn", "subprocess.Popen"):
        os.write(2, f"starts: {event}\\n".encode())
    if event == "open" and isinstance(arguments[0], str):
        if arguments[2] & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
            os.write(2, f"writes: {arguments[0]}\\n".encode())
sys.addaudithook(watch)
sys.argv = sys.argv[1:]
sys.path.insert(0, sys.argv[0])
runpy.run_path(sys.argv[0], run_name="__main__")
"""
"""Runs the binary and reports each process started and file written."""

_IMPORT_SCRIPT = """\
import sys
sys.path.insert(0, sys.argv[1])
import native_modules
native_modules.install(sys.argv[1])
for name in native_modules.NativeFinder(sys.argv[1]).modules:
    __import__(name)
    assert sys.modules[name].__file__.startswith("/proc/self/fd/"), name
import importlib.metadata
group = importlib.metadata.entry_points(group="opentelemetry_context")
assert "contextvars_context" in group.names
"""
"""Imports every packed native module and looks up an entry point."""

_binary: list[pathlib.Path] = []


def setUpModule():  # noqa: N802 - unittest names it
    """Builds one binary for all tests."""
    folder = tempfile.TemporaryDirectory()
    unittest.addModuleCleanup(folder.cleanup)
    target = pathlib.Path(folder.name) / "pollenmast"
    _archive.write(_contents.gather(), target)
    _binary[:] = [target]


class BinaryTest(TestCase):
    """The binary is one file that runs in one process without a disk."""

    def setUp(self):
        """Creates an empty working directory and a directory of input files."""
        super().setUp()
        self.binary = _binary[0]
        self.work_directory = self._make_directory()
        self.input_directory = self._make_directory()
        key_file = self.input_directory / "key"
        key_file.write_text(KEY)
        text = TEXT.format(key_file=key_file)
        # An address unique to this process: the test may run in parallel.
        pid = os.getpid()
        address = f"127.{100 + pid // 64516 % 64}.{pid // 254 % 254}"
        text = text.replace("127.0.1.1", f"{address}.{1 + pid % 254}")
        self.settings = self.input_directory / "vm.ini"
        self.settings.write_text(text)
        python = self._make_directory() / "python3.11"
        python.symlink_to(os.path.realpath(sys.executable))
        self.environ = {
            "PATH": str(python.parent),
            "HOME": str(self.work_directory),
            "TMPDIR": str(self.work_directory),
        }

    def _make_directory(self) -> pathlib.Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name)

    def start(self, *command: str) -> subprocess.Popen:
        """Starts a command in the empty working directory."""
        process = subprocess.Popen(
            [str(word) for word in command],
            cwd=self.work_directory,
            env=self.environ,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def run_command(self, *command: str) -> tuple[int, str, str]:
        """Runs a command and returns its exit status, stdout and stderr."""
        process = self.start(*command)
        output, errors = process.communicate(timeout=_TIMEOUT_S)
        return process.returncode, output, errors

    def test_version(self):
        """The file runs by its own shebang line, alone in its directory."""
        self.assertEqual(
            (0, f"pollenmast {pollenmast.VERSION}\n", ""),
            self.run_command(self.binary, "--version"),
        )

    @parameterized.expand(
        [
            ("version", ["--version"]),
            ("settings", ["settings", "check", "SETTINGS"]),
            ("schema", ["manifest", "schema"]),
        ]
    )
    def test_short_command(self, _, words):
        """A short command writes no file and starts no process.

        A binary that unpacks itself does not start on a VM without a disk,
        and a helper process may outlive the command.
        """
        words = [w.replace("SETTINGS", str(self.settings)) for w in words]
        python = self.environ["PATH"] + "/python3.11"
        code, _, errors = self.run_command(
            python, "-IBSc", _AUDIT_SCRIPT, self.binary, *words
        )
        self.assertEqual((0, ""), (code, errors))
        self.assertEqual([], list(self.work_directory.iterdir()))

    @parameterized.expand([("relay",), ("agent",)])
    def test_program(self, name):
        """A running program is one process with no file open for writing.

        SIGTERM stops it cleanly even if no other VM of its fleet is up.
        """
        process = self.start(self.binary, name, "--settings", self.settings)
        started = process.stderr.readline()
        self.assertIn('"started"', started)
        folder = pathlib.Path("/proc") / str(process.pid)
        while process.poll() is None and not _handles_sigterm(folder):
            time.sleep(_POLL_S)
        self.assertEqual([], _child_processes(folder))
        self.assertEqual([], _files_open_for_writing(folder))
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(0, process.returncode, errors)
        self.assertIn('"stopped"', errors)
        self.assertEqual([], list(self.work_directory.iterdir()))

    def test_file_open_for_writing_found(self):
        """The check of open files finds a file that is open for writing.

        Otherwise it would pass for a program that does write to the disk.
        """
        with (self.work_directory / "file").open("w") as file:
            found = _files_open_for_writing(pathlib.Path("/proc/self"))
            self.assertIn(os.path.realpath(file.name), found)

    def test_native_modules(self):
        """Every native module loads from memory, and entry points are found.

        A module that fails to load would otherwise be noticed only once a VM
        needs it.
        """
        python = self.environ["PATH"] + "/python3.11"
        self.assertEqual(
            (0, "", ""),
            self.run_command(python, "-IBSc", _IMPORT_SCRIPT, self.binary),
        )

    def test_contents(self):
        """The archive has the product and its libraries, not tests or bench."""
        with zipfile.ZipFile(self.binary) as archive:
            tops = {name.split("/")[0] for name in archive.namelist()}
        self.assertIn("pollenmast", tops)
        unwanted = {"tests", "bench", "standins", "hypothesis", "pytest"}
        self.assertEqual(set(), tops & unwanted)

    def test_reproducible(self):
        """Packing the same contents twice gives the same bytes."""
        entries = _contents.gather()
        targets = [self.input_directory / "one", self.input_directory / "other"]
        for target in targets:
            _archive.write(entries, target)
        self.assertEqual(*[target.read_bytes() for target in targets])
        # The product's own sources may be edited while this test runs.
        first, again = _library_entries(entries), _contents.gather()
        self.assertEqual(first, _library_entries(again))


def _library_entries(entries: list[_contents.Entry]) -> dict[str, bytes]:
    return {
        entry.name: entry.data
        for entry in entries
        if not entry.name.startswith("pollenmast/")
    }


def _handles_sigterm(folder: pathlib.Path) -> bool:
    """Returns whether a process handles SIGTERM, and so has started up."""
    status = (folder / "status").read_text()
    handled = int(status.split("SigCgt:")[1].split()[0], 16)
    return bool(handled >> (signal.SIGTERM - 1) & 1)


def _child_processes(folder: pathlib.Path) -> list[str]:
    return [
        child
        for task in (folder / "task").iterdir()
        for child in (task / "children").read_text().split()
    ]


def _files_open_for_writing(folder: pathlib.Path) -> list[str]:
    """Returns the files on disk that a process has open for writing."""
    found = []
    for entry in (folder / "fd").iterdir():
        try:
            target = os.readlink(entry)
            fdinfo = (folder / "fdinfo" / entry.name).read_text()
        except FileNotFoundError:
            # The program closed this descriptor after it was listed.
            continue
        flags = int(fdinfo.split("flags:")[1].split()[0], 8)
        writes = flags & (os.O_WRONLY | os.O_RDWR)
        in_memory = target.startswith(("/memfd:", "/dev/null"))
        if writes and target.startswith("/") and not in_memory:
            found.append(target)
    return found
