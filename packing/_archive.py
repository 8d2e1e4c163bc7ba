"""Writes the binary: an interpreter line followed by a zip archive."""

import pathlib
import stat
import zipfile

from packing._contents import Entry

INTERPRETER = b"#!/usr/bin/env -S python3.11 -IBS\n"
"""Interpreter line; its flags make sure that only packed code runs.

Python is isolated from the environment (-I), ignores installed libraries (-S)
and writes no compiled modules (-B).
"""

_DATE = (1980, 1, 1, 0, 0, 0)
"""Fixed time of all files, so that equal contents give equal binaries."""

_MODE = 0o755


def write(entries: list[Entry], target: pathlib.Path) -> None:
    """Writes the entries into one executable file."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with target.open("wb") as stream:
        stream.write(INTERPRETER)
        with zipfile.ZipFile(stream, "w") as archive:
            for folder in _folders(entries):
                archive.writestr(zipfile.ZipInfo(folder, _DATE), b"")
            for entry in entries:
                archive.writestr(
                    zipfile.ZipInfo(entry.name, _DATE),
                    entry.data,
                    zipfile.ZIP_DEFLATED,
                )
    target.chmod(stat.S_IFMT(target.stat().st_mode) | _MODE)


def _folders(entries: list[Entry]) -> list[str]:
    """Returns the folders of the entries, each with a trailing slash.

    Importing a package without `__init__.py` (a namespace package) from a zip
    fails unless the zip has an entry for its folder.
    """
    folders: set[str] = set()
    for entry in entries:
        parents = pathlib.PurePosixPath(entry.name).parents
        folders.update(f"{parent}/" for parent in parents if parent.name)
    return sorted(folders)
