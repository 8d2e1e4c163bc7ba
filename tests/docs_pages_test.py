"""Tests of docs_tool: pages generated from the code are up to date."""

import json
import pathlib
import re
import tempfile

from parameterized import parameterized
from testtools import TestCase

from docs_tool import PAGES
from docs_tool._imports import imports, levels
from pollenmast import manifest, settings

_DOCS = pathlib.Path(__file__).parent.parent / "docs"


class PagesTest(TestCase):
    """Operators rely on the pages instead of the code."""

    @parameterized.expand([(name,) for name in PAGES])
    def test_current(self, name):
        """The page equals the output of `python -m docs_tool`."""
        self.assertEqual(PAGES[name](), (_DOCS / name).read_text())

    def test_no_import_cycle(self):
        """There are no direct or indirect import cycles between packages.

        The code can be read from the bottom up, and a package can be tested
        without those above it.
        """
        above = set()
        for level in reversed(levels(imports())):
            for package in level:
                self.assertFalse(imports()[package] & above, package)
            above |= set(level)

    def test_example_manifest(self):
        """The example manifest on the page is valid."""
        text = _code_block(PAGES["MANIFEST.md"](), "json")
        json.loads(text)
        self.assertTrue(manifest.parse(text.encode()).is_ok())

    def test_example_settings(self):
        """The example settings on the page are valid with a key file."""
        text = _code_block(PAGES["SETTINGS.md"](), "ini")
        with tempfile.TemporaryDirectory() as folder:
            key_file = pathlib.Path(folder) / "key"
            key_file.write_text("07" * 32)
            file = pathlib.Path(folder) / "vm.ini"
            file.write_text(text)
            environ = {settings.KEY_FILE_VARIABLE: str(key_file)}
            loaded = settings.load(file, environ)
        self.assertTrue(loaded.is_ok(), loaded)


def _code_block(page: str, language: str) -> str:
    return re.search(rf"```{language}\n(.*?)```", page, re.DOTALL).group(1)
