"""Collects the files of the binary: the product and its pinned libraries."""

import importlib.machinery
import importlib.metadata
import pathlib
import py_compile
import tempfile

import attrs

from packing.bootstrap import native_modules

_ROOT = pathlib.Path(__file__).parent.parent
_BOOTSTRAP = _ROOT / "packing" / "bootstrap"
_PRODUCT = _ROOT / "src"
_PINS = _ROOT / "requirements.txt"

_ENTRY_POINT = "__main__.py"
"""Entry point of the archive; packed as source.

It must also run on other Python versions to report the required one.
"""

_EXCLUDED_FOLDERS = frozenset({"__pycache__", "tests", "test", ".."})
"""Folders of a library that the product never imports."""

_EXCLUDED_SUFFIXES = frozenset({".pyi", ".c", ".h", ".pxd", ".pyx", ".pyc"})


@attrs.frozen
class Entry:
    """A file inside the binary."""

    name: str
    data: bytes


class MissingPinError(Exception):
    """A library is installed in another version than the pinned one."""


def gather() -> list[Entry]:
    """Returns all files of the binary, sorted by name."""
    files = {**_library_files(), **_own_files()}
    entries: list[Entry] = []
    with tempfile.TemporaryDirectory() as folder:
        target = pathlib.Path(folder) / "module.pyc"
        for name, path in files.items():
            if path.suffix == ".py" and name != _ENTRY_POINT:
                entries.append(_compile_module(name, path, target))
            else:
                entries.append(Entry(name, path.read_bytes()))
    entries.append(_native_list(entries))
    return sorted(entries, key=lambda entry: entry.name)


def _own_files() -> dict[str, pathlib.Path]:
    files = {path.name: path for path in _BOOTSTRAP.glob("*.py")}
    del files["__init__.py"]
    for path in (_PRODUCT / "pollenmast").rglob("*.py"):
        files[path.relative_to(_PRODUCT).as_posix()] = path
    return files


def _library_files() -> dict[str, pathlib.Path]:
    files: dict[str, pathlib.Path] = {}
    for pin in _PINS.read_text().split():
        name, _, version = pin.partition("==")
        library = importlib.metadata.distribution(name)
        if library.version != version:
            raise MissingPinError(f"{name} {library.version}, pinned {version}")
        for file in library.files or ():
            if _is_included(file):
                files[file.as_posix()] = pathlib.Path(library.locate_file(file))
    return files


def _is_included(file: importlib.metadata.PackagePath) -> bool:
    if _EXCLUDED_FOLDERS.intersection(file.parts):
        return False
    return file.suffix not in _EXCLUDED_SUFFIXES


def _native_list(entries: list[Entry]) -> Entry:
    suffixes = tuple(importlib.machinery.EXTENSION_SUFFIXES)
    names = [e.name for e in entries if e.name.endswith(suffixes)]
    return Entry(native_modules.LIST, "\n".join(sorted(names)).encode())


def _compile_module(
    name: str, path: pathlib.Path, target: pathlib.Path
) -> Entry:
    """Compiles a module, so that it need not be compiled at start.

    The source is left out: it would make the binary a quarter larger, and
    tracebacks show file and line without it. The invalidation mode is
    "unchecked", as there is no source to compare to.
    """
    py_compile.compile(
        str(path),
        cfile=str(target),
        dfile=name,
        doraise=True,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    return Entry(name + "c", target.read_bytes())
