"""Writes the pages of docs/ that repeat what the code says."""

from docs_tool import _events, _imports, _manifest, _settings

PAGES = {
    "EVENTS.md": _events.page,
    "IMPORTS.md": _imports.page,
    "MANIFEST.md": _manifest.page,
    "SETTINGS.md": _settings.page,
}
"""Each page's name and what makes its text."""
