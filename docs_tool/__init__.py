"""Generates the pages of docs/ whose content is taken from the code."""

from docs_tool import _events, _imports, _manifest, _settings

PAGES = {
    "EVENTS.md": _events.page,
    "IMPORTS.md": _imports.page,
    "MANIFEST.md": _manifest.page,
    "SETTINGS.md": _settings.page,
}
"""Functions that generate the pages, by file name."""
