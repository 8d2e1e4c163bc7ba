"""`python -m packing [--measure] [TARGET]`: builds the binary."""

import pathlib
import sys

from packing import _archive, _contents, _measure

_TARGET = pathlib.Path(__file__).parent.parent / "dist" / "pollenmast"


def main(words: list[str]) -> int:
    """Builds the binary, prints the result, and optionally measures it."""
    paths = [pathlib.Path(word) for word in words if word != "--measure"]
    target = paths[0] if paths else _TARGET
    entries = _contents.gather()
    _archive.write(entries, target)
    size = target.stat().st_size
    print(f"{target.name}: {len(entries)} files, {size / 1e6:.1f} MB")
    if "--measure" in words:
        print(_measure.report(target))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
