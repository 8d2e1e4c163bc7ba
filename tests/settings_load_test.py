"""Tests for pollenmast.settings._load."""

import pathlib
import tempfile

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from testtools import TestCase

from pollenmast.settings import KEY_FILE_VARIABLE, SETTING_KEYS, Settings, load

KEY = "07" * 32
"""Content of a fleet key file: 64 hex digits."""

TEXT = """\
[vm]
name = relay-1
availability_zone = pos-frederick
address = 127.0.1.1
[platform]
address = 127.0.3.1
port = 8000
[fleet]
key_file = {key_file}
"""
"""A minimal settings file, with only the required keys."""


class LoadCase(TestCase):
    """Base class: loads settings from a temporary directory."""

    def setUp(self):
        """Creates the directory and a key file in it."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.key_file = self.folder / "key"
        self.key_file.write_text(KEY + "\n")

    def load(self, text: str, environ: dict[str, str] | None = None):
        """Loads a text in which `{key_file}` stands for the key file's path."""
        file = self.folder / "vm.ini"
        text = text.replace("{key_file}", str(self.key_file))
        file.write_bytes(text.encode("utf-8", "surrogatepass"))
        return load(file, environ or {})

    def faults(self, text: str) -> list[str]:
        """Returns the faults in a settings text, without the file name."""
        prefix = f"{self.folder / 'vm.ini'}: "
        return [
            str(fault).removeprefix(prefix)
            for fault in self.load(text).err() or ()
        ]


class LoadTest(LoadCase):
    """A settings file is either accepted or rejected with all its faults."""

    def test_minimal_file(self):
        """A minimal file gets every default."""
        loaded = self.load(TEXT).unwrap()
        self.assertIsInstance(loaded, Settings)
        self.assertEqual("pos-frederick", loaded.vm.zone)
        self.assertEqual(bytes.fromhex(KEY), loaded.fleet.key)
        self.assertEqual(7001, loaded.relay.peer_port)

    def test_reads_every_key(self):
        """The value of every known key is read from the file."""
        text = TEXT + (
            "previous_key_file = {key_file}\n"
            "seeds = 127.0.1.2:7003, 127.0.1.3:7003\n"
            "[relay]\npeer_port = 1\nlink_port = 2\nmost_flows = 3\n"
            "idle_s = 4\nreplicate_after_s = 5\nreplication_bytes_per_s = 6\n"
            "grace_s = 7\ndrain_quiet_s = 7.5\n"
            "[agent]\ngossip_port = 8\nfetch_port = 9\n"
            "operators_port = 10\nheartbeat_s = 11\nprobe_s = 12.5\n"
        )
        loaded = self.load(text).unwrap()
        self.assertEqual(
            (("127.0.1.2", 7003), ("127.0.1.3", 7003)), loaded.fleet.seeds
        )
        self.assertEqual(bytes.fromhex(KEY), loaded.fleet.previous_key)
        self.assertEqual(
            (1, 2, 3, 4.0, 5.0, 6, 7.0, 7.5),
            _section_values(loaded.relay, "relay"),
        )
        self.assertEqual(
            (8, 9, 10, 11.0, 12.5), _section_values(loaded.agent, "agent")
        )

    def test_key_file_from_the_environment(self):
        """The environment variable takes precedence over `key_file`."""
        text = TEXT.replace("{key_file}", "/no/such/file")
        loaded = self.load(text, {KEY_FILE_VARIABLE: str(self.key_file)})
        self.assertEqual(bytes.fromhex(KEY), loaded.unwrap().fleet.key)

    @parameterized.expand(
        [
            ("section", "[carrier]\nx = 1\n", "[carrier] found an unknown"),
            ("default", "[DEFAULT]\nx = 1\n", "[DEFAULT] found an unknown"),
            ("key", "colour = 1\n", "[fleet] colour found an unknown key"),
            ("case", "[relay]\nPeer_Port = 1\n", "[relay] Peer_Port found"),
            ("type", "[relay]\npeer_port = x\n", "[relay] peer_port found 'x'"),
            ("sign", "[relay]\npeer_port = +9\n", "peer_port found '+9'"),
            ("digits", "[relay]\npeer_port = \u0663\n", "peer_port found"),
            ("range", "[relay]\npeer_port = 65536\n", "allowed: a port, 1 to"),
            ("seconds", "[agent]\nprobe_s = nan\n", "[agent] probe_s found"),
            ("seeds", "seeds = localhost:1\n", "[fleet] seeds found"),
            (
                "shared_port",
                "[agent]\nfetch_port = 7001\n",
                "a port of its own",
            ),
            ("key_twice", "seeds =\nseeds =\n", "[fleet] seeds found the key"),
            ("section_twice", "[vm]\nname = b\n", "[vm] found the section"),
            ("no_ini", "junk\n", "found no INI in line 10"),
            ("interpolation", "[relay]\ngrace_s = %(x)s\n", "found '%(x)s'"),
        ]
    )
    def test_single_fault(self, _, more, expected):
        """A single mistyped line rejects the file with one fault.

        If the line were ignored, the VM would run with an unintended default.
        """
        found = self.faults(TEXT + more)
        self.assertEqual(1, len(found), found)
        self.assertIn(expected, found[0])

    def test_reports_all_faults(self):
        """Syntax faults and invalid values are reported together."""
        found = self.faults("loose\njunk\n[vm]\nname = A\nname = b\n[x]\n")
        self.assertEqual(10, len(found), found)

    @parameterized.expand(
        [
            ("pasted", KEY, None),
            ("wrong_length", "{key_file}", KEY + "07"),
            ("no_hex", "{key_file}", "secret-words"),
        ]
    )
    def test_fault_hides_key(self, _, path, content):
        """Faults never quote a key given as a path, or an invalid key file.

        Faults are printed and logged. Anyone who reads a key there could
        impersonate a VM of the fleet.
        """
        if content:
            self.key_file.write_text(content)
        found = self.faults(TEXT.replace("{key_file}", path))
        self.assertEqual(1, len(found), found)
        self.assertNotIn((content or KEY)[:12], found[0])

    def test_repr_hides_key(self):
        """The repr of settings, which may reach logs, omits the key."""
        loaded = self.load(TEXT).unwrap()
        self.assertNotIn("\\x07", repr(loaded))

    @parameterized.expand(
        [
            ("missing", "nothing-here", b""),
            ("not_text", "vm.ini", b"\xff\xfe"),
            ("with_zeros", "vm.ini", b"[vm]\0"),
            ("too_long", "vm.ini", b"#" * 70_000),
        ]
    )
    def test_unreadable_file(self, _, name, content):
        """A file that cannot be read or decoded gives exactly one fault."""
        (self.folder / "vm.ini").write_bytes(content)
        self.assertEqual(1, len(load(self.folder / name, {}).unwrap_err()))


_LINES = st.lists(
    st.sampled_from(
        ["[vm]", "[", "]", "=", "  x", "[fleet]", "# c", "x = 1", "[]", "\r"]
    )
    | st.builds(
        "{} = {}".format,
        st.sampled_from([key.name for key in SETTING_KEYS]),
        st.text(max_size=8),
    )
    | st.text(max_size=8),
    max_size=12,
)


class FuzzTest(LoadCase):
    """Loading never raises, whatever the text."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(_LINES)
    def test_lines(self, lines):
        """Lines that resemble INI are rejected without an exception."""
        loaded = self.load("\n".join(lines))
        self.assertTrue(loaded.err())

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.sampled_from(SETTING_KEYS), st.text(max_size=20))
    def test_values(self, key, value):
        """Any text as the value of any key is either accepted or rejected."""
        loaded = self.load(f"{TEXT}[{key.section}]\n{key.name} = {value}\n")
        self.assertEqual(loaded.is_err(), bool(loaded.err()))


def _section_values(values: object, section: str) -> tuple[object, ...]:
    names = [key.name for key in SETTING_KEYS if key.section == section]
    return tuple(getattr(values, name) for name in names)
