"""Writes the binary: a line that names the interpreter, then a zip."""

import pathlib
import stat
import zipfile

from packing._contents import Entry

INTERPRETER = b"#!/usr/bin/env -S python3.11 -IBS\n"
"""Isolated (-I), without the machine's own libraries (-S), and without
writing compiled modules (-B): what runs is what was packed."""

_DATE = (1980, 1, 1, 0, 0, 0)
"""The same for every file, so that equal contents give equal binaries."""

_MODE = 0o755


def write(entries: list[Entry], target: pathlib.Path) -> None:
    """Writes the entries into one file that can be started."""
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
    """Returns the folders of the entries, each with its final slash.

    A package without `__init__.py` (a namespace package) is found inside a
    zip only where the zip lists its folder; without, its import fails.
    """
    folders: set[str] = set()
    for entry in entries:
        parents = pathlib.PurePosixPath(entry.name).parents
        folders.update(f"{parent}/" for parent in parents if parent.name)
    return sorted(folders)
