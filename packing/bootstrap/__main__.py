"""Starts pollenmast from within the binary."""

import sys

_PYTHON = (3, 11)
"""The version for which the packed native modules were built."""


def _only_what_is_packed() -> None:
    """Takes the machine's own libraries off the path.

    With another version of a library found first, the VM would run what
    nobody has tested; a library spread over several folders would even mix.
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
    _only_what_is_packed()

    import native_modules

    native_modules.install(sys.path[0])
    from pollenmast.cli import main

    return main()


if __name__ == "__main__":
    sys.exit(_main())
