"""Imports native modules from the zip that holds this one, through memory.

The C library loads a native module from a file only, and a VM has no disk
to unpack to. So the module is copied into an anonymous file in memory
(memfd_create) that belongs to this process alone, and loaded from there.
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
"""File of the zip that lists its native modules, so that a start need not
read the names of some three thousand files."""

_MFD_EXEC = 0x10
"""Asks for a file that may be executed, where the kernel wants to be asked
(Linux 6.3 with vm.memfd_noexec=1). Python 3.11 has no name for it."""


class NativeFinder(importlib.abc.MetaPathFinder):
    """Finds native modules inside a zip."""

    def __init__(self, archive: str):
        self._archive = archive
        self._importer = zipimport.zipimporter(archive)
        names = self._read(LIST).decode().split()
        self._names = {_module(name): name for name in names}

    @property
    def modules(self) -> list[str]:
        """The modules that it finds."""
        return sorted(self._names)

    def find_spec(self, fullname, path=None, target=None):
        """Returns the spec of a packed native module, or None."""
        name = self._names.get(fullname)
        if name is None:
            return None
        file = _in_memory(fullname, self._read(name))
        loader = importlib.machinery.ExtensionFileLoader(fullname, file)
        return importlib.util.spec_from_file_location(
            fullname, file, loader=loader
        )

    def _read(self, name: str) -> bytes:
        return self._importer.get_data(f"{self._archive}/{name}")


def install(archive: str) -> None:
    """Adds the finder after those of Python itself."""
    sys.meta_path.append(NativeFinder(archive))


def _module(name: str) -> str:
    # The longest suffix: ".abi3.so" ends with ".so" as well.
    suffix = max((s for s in _SUFFIXES if name.endswith(s)), key=len)
    return name.removesuffix(suffix).replace("/", ".")


def _in_memory(name: str, data: bytes) -> str:
    """Returns the path of an anonymous file that holds the data.

    Its descriptor stays open. Were it closed, the next module would get the
    same number and so the same path, and the C library would take it for the
    module it has already loaded: the import would end in "undefined symbol".
    """
    descriptor = _open_memory(name)
    with open(descriptor, "wb", closefd=False) as stream:
        stream.write(data)
    return f"/proc/self/fd/{descriptor}"


def _open_memory(name: str) -> int:
    try:
        return os.memfd_create(name, os.MFD_CLOEXEC | _MFD_EXEC)
    except OSError as error:
        if error.errno != errno.EINVAL:
            raise
        return os.memfd_create(name, os.MFD_CLOEXEC)
