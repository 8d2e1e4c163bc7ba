"""Tests of docs_tool: pages that repeat the code are current."""

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
    """Operators read the pages in place of the code."""

    @parameterized.expand([(name,) for name in PAGES])
    def test_current(self, name):
        """The page is what `python -m docs_tool` writes."""
        self.assertEqual(PAGES[name](), (_DOCS / name).read_text())

    def test_no_circle(self):
        """No package imports one that imports it, however far around.

        A newcomer reads from the bottom up, and a package can be tested
        without those above it.
        """
        above = set()
        for level in reversed(levels(imports())):
            for package in level:
                self.assertFalse(imports()[package] & above, package)
            above |= set(level)

    def test_example_manifest(self):
        """The manifest that the page shows is taken."""
        text = _block(PAGES["MANIFEST.md"](), "json")
        json.loads(text)
        self.assertTrue(manifest.parse(text.encode()).is_ok())

    def test_example_settings(self):
        """The settings that the page shows are taken, given the key."""
        text = _block(PAGES["SETTINGS.md"](), "ini")
        with tempfile.TemporaryDirectory() as folder:
            key_file = pathlib.Path(folder) / "key"
            key_file.write_text("07" * 32)
            file = pathlib.Path(folder) / "vm.ini"
            file.write_text(text)
            environ = {settings.KEY_FILE_VARIABLE: str(key_file)}
            loaded = settings.load(file, environ)
        self.assertTrue(loaded.is_ok(), loaded)


def _block(page: str, language: str) -> str:
    return re.search(rf"```{language}\n(.*?)```", page, re.DOTALL).group(1)
