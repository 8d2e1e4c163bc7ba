"""Imports native modules from the zip that contains this module.

The C library can load a native module only from a file, and a VM has no disk to
unpack it to. The module is therefore copied into an anonymous in-memory file
(memfd_create), private to this process, and loaded from there.
"""

import errno
import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipimport

_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)

LIST = "native_modules.txt"
"""File in the zip that lists its native modules.

It saves reading the names of some three thousand files at start.
"""

_MFD_EXEC = 0x10
"""The flag MFD_EXEC of memfd_create, which Python 3.11 does not define.

It requests an executable file, which Linux 6.3 requires if vm.memfd_noexec=1.
"""


class NativeFinder(importlib.abc.MetaPathFinder):
    """Import finder for native modules inside a zip."""

    def __init__(self, archive: str):
        self._archive = archive
        self._importer = zipimport.zipimporter(archive)
        names = self._read(LIST).decode().split()
        self._names = {_module_name(name): name for name in names}

    @property
    def modules(self) -> list[str]:
        """Names of the native modules in the zip."""
        return sorted(self._names)

    def find_spec(self, fullname, path=None, target=None):
        """Returns the spec of a packed native module, or None."""
        name = self._names.get(fullname)
        if name is None:
            return None
        file = _write_to_memfd(fullname, self._read(name))
        loader = importlib.machinery.ExtensionFileLoader(fullname, file)
        return importlib.util.spec_from_file_location(
            fullname, file, loader=loader
        )

    def _read(self, name: str) -> bytes:
        return self._importer.get_data(f"{self._archive}/{name}")


def install(archive: str) -> None:
    """Appends the finder to Python's own finders."""
    sys.meta_path.append(NativeFinder(archive))


def _module_name(name: str) -> str:
    # Removes the longest suffix, as ".abi3.so" also ends with ".so".
    suffix = max((s for s in _SUFFIXES if name.endswith(s)), key=len)
    return name.removesuffix(suffix).replace("/", ".")


def _write_to_memfd(name: str, data: bytes) -> str:
    """Writes the data to an anonymous file and returns its path.

    The descriptor is kept open. If it were closed, the next module would get
    the same descriptor number and so the same path. The C library would take it
    for the module already loaded, and the import would fail with "undefined
    symbol".
    """
    descriptor = _create_memfd(name)
    with open(descriptor, "wb", closefd=False) as stream:
        stream.write(data)
    return f"/proc/self/fd/{descriptor}"


def _create_memfd(name: str) -> int:
    try:
        return os.memfd_create(name, os.MFD_CLOEXEC | _MFD_EXEC)
    except OSError as error:
        if error.errno != errno.EINVAL:
            raise
        return os.memfd_create(name, os.MFD_CLOEXEC)
