"""`python -m packing [TARGET]`: builds the binary."""

import pathlib
import sys

from packing import _archive, _contents

_TARGET = pathlib.Path(__file__).parent.parent / "dist" / "pollenmast"


def main() -> int:
    """Builds the binary and says what came of it."""
    target = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else _TARGET
    entries = _contents.gather()
    _archive.write(entries, target)
    size = target.stat().st_size
    print(f"{target.name}: {len(entries)} files, {size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
