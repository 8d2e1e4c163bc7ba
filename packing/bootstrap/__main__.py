"""Entry point of the binary."""

import sys

_PYTHON = (3, 11)
"""The Python version that the packed native modules are built for."""


def _remove_installed_libraries() -> None:
    """Removes the machine's installed libraries from the import path.

    Otherwise an installed version of a library could be found first, and the VM
    would run an untested combination. A library spread over several folders
    could even be loaded from two versions.
    """
    sys.path[:] = [
        path
        for path in sys.path
        if not path.endswith(("site-packages", "dist-packages"))
    ]
    sys.dont_write_bytecode = True


def _main() -> int:
    if sys.version_info[:2] != _PYTHON:
        print("pollenmast: needs Python 3.11", file=sys.stderr)
        return 1
    _remove_installed_libraries()

    import native_modules

    native_modules.install(sys.path[0])
    from pollenmast.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(_main())
