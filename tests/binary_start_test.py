"""Tests of packing: the binary as a VM starts it."""

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

_PATIENCE_S = 60
"""Longest wait for a program that should answer; never part of a verdict
but for one that hangs."""

_POLL_S = 0.01
"""Between two looks at a program that comes up."""

_AUDIT = """\
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
"""Runs the binary, and tells of each process started and file written."""

_IMPORTS = """\
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
"""Loads every packed native module and looks up an entry point."""

_binary: list[pathlib.Path] = []


def setUpModule():  # noqa: N802 - unittest names it
    """Builds one binary for all tests."""
    folder = tempfile.TemporaryDirectory()
    unittest.addModuleCleanup(folder.cleanup)
    target = pathlib.Path(folder.name) / "pollenmast"
    _archive.write(_contents.gather(), target)
    _binary[:] = [target]


class BinaryTest(TestCase):
    """One file that runs by itself, in one process, without a disk."""

    def setUp(self):
        """Makes an empty working folder, and a folder of input files."""
        super().setUp()
        self.binary = _binary[0]
        self.work = self._folder()
        self.input = self._folder()
        key_file = self.input / "key"
        key_file.write_text(KEY)
        text = TEXT.format(key_file=key_file)
        # An address of this process alone: the same test may run elsewhere.
        pid = os.getpid()
        address = f"127.{100 + pid // 64516 % 64}.{pid // 254 % 254}"
        text = text.replace("127.0.1.1", f"{address}.{1 + pid % 254}")
        self.settings = self.input / "vm.ini"
        self.settings.write_text(text)
        python = self._folder() / "python3.11"
        python.symlink_to(os.path.realpath(sys.executable))
        self.environ = {
            "PATH": str(python.parent),
            "HOME": str(self.work),
            "TMPDIR": str(self.work),
        }

    def _folder(self) -> pathlib.Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name)

    def start(self, *command: str) -> subprocess.Popen:
        """Starts a command in the empty folder."""
        process = subprocess.Popen(
            [str(word) for word in command],
            cwd=self.work,
            env=self.environ,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def finish(self, *command: str) -> tuple[int, str, str]:
        """Runs a command to its end; returns its code, output, complaints."""
        process = self.start(*command)
        output, complaints = process.communicate(timeout=_PATIENCE_S)
        return process.returncode, output, complaints

    def test_version(self):
        """The file starts by its own first line, alone in its folder."""
        self.assertEqual(
            (0, f"pollenmast {pollenmast.VERSION}\n", ""),
            self.finish(self.binary, "--version"),
        )

    @parameterized.expand(
        [
            ("version", ["--version"]),
            ("settings", ["settings", "check", "SETTINGS"]),
            ("schema", ["manifest", "schema"]),
        ]
    )
    def test_short_command(self, _, words):
        """A packed program unpacks itself or starts a helper process.

        On a VM without a disk it would not start at all, and a helper that
        outlives it would be left behind.
        """
        words = [w.replace("SETTINGS", str(self.settings)) for w in words]
        python = self.environ["PATH"] + "/python3.11"
        code, _, complaints = self.finish(
            python, "-IBSc", _AUDIT, self.binary, *words
        )
        self.assertEqual((0, ""), (code, complaints))
        self.assertEqual([], list(self.work.iterdir()))

    @parameterized.expand([("relay",), ("agent",)])
    def test_program(self, name):
        """A running program is one process that holds no file for writing.

        A signal ends it in an orderly way, although nobody else of its fleet
        is there.
        """
        process = self.start(self.binary, name, "--settings", self.settings)
        started = process.stderr.readline()
        self.assertIn('"started"', started)
        folder = pathlib.Path("/proc") / str(process.pid)
        while process.poll() is None and not _takes_sigterm(folder):
            time.sleep(_POLL_S)
        self.assertEqual([], _children(folder))
        self.assertEqual([], _written_files(folder))
        process.send_signal(signal.SIGTERM)
        _, complaints = process.communicate(timeout=_PATIENCE_S)
        self.assertEqual(0, process.returncode, complaints)
        self.assertIn('"stopped"', complaints)
        self.assertEqual([], list(self.work.iterdir()))

    def test_native_modules(self):
        """Every native module loads from memory, and entry points are found.

        A module that does not load would be noticed only when a VM comes to
        need it.
        """
        python = self.environ["PATH"] + "/python3.11"
        self.assertEqual(
            (0, "", ""),
            self.finish(python, "-IBSc", _IMPORTS, self.binary),
        )

    def test_contents(self):
        """The product and its libraries are packed; tests and bench are not."""
        with zipfile.ZipFile(self.binary) as archive:
            tops = {name.split("/")[0] for name in archive.namelist()}
        self.assertIn("pollenmast", tops)
        unwanted = {"tests", "bench", "standins", "hypothesis", "pytest"}
        self.assertEqual(set(), tops & unwanted)

    def test_reproducible(self):
        """The same contents give the same bytes."""
        entries = _contents.gather()
        targets = [self.input / "one", self.input / "other"]
        for target in targets:
            _archive.write(entries, target)
        self.assertEqual(*[target.read_bytes() for target in targets])
        # The product's own files may be edited while this test runs.
        first, again = _library_entries(entries), _contents.gather()
        self.assertEqual(first, _library_entries(again))


def _library_entries(entries: list[_contents.Entry]) -> dict[str, bytes]:
    return {
        entry.name: entry.data
        for entry in entries
        if not entry.name.startswith("pollenmast/")
    }


def _takes_sigterm(folder: pathlib.Path) -> bool:
    """Tells whether a process handles the signal, and so has come up."""
    status = (folder / "status").read_text()
    handled = int(status.split("SigCgt:")[1].split()[0], 16)
    return bool(handled >> (signal.SIGTERM - 1) & 1)


def _children(folder: pathlib.Path) -> list[str]:
    return [
        child
        for task in (folder / "task").iterdir()
        for child in (task / "children").read_text().split()
    ]


def _written_files(folder: pathlib.Path) -> list[str]:
    """Returns the files on a disk that a process holds for writing."""
    found = []
    for entry in (folder / "fd").iterdir():
        target = os.readlink(entry)
        flags = (folder / "fdinfo" / entry.name).read_text().split("flags:")[1]
        writes = int(flags.split()[0], 8) & (os.O_WRONLY | os.O_RDWR)
        in_memory = target.startswith(("/memfd:", "/dev/null"))
        if writes and target.startswith("/") and not in_memory:
            found.append(target)
    return found
