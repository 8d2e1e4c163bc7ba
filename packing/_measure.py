"""Measures the size of the binary and its start-up time and memory."""

import pathlib
import statistics
import subprocess
import sys
import time

_STARTS = 15
"""Number of timed starts; the median ignores a few disturbed by other work."""

_PRINT_PEAK_RSS = (
    "import resource as r;print(r.getrusage(r.RUSAGE_CHILDREN).ru_maxrss)"
)
_RUN_AND_PRINT_PEAK_RSS = (
    f"import subprocess,sys;subprocess.run(sys.argv[1:]);{_PRINT_PEAK_RSS}"
)


def report(binary: pathlib.Path) -> str:
    """Returns the measured figures, one per line."""
    packed = [sys.executable, "-IBS", str(binary), "--version"]
    plain = [sys.executable, "-m", "pollenmast", "--version"]
    lines = [f"size: {binary.stat().st_size / 1e6:.1f} MB"]
    for name, command in (("binary", packed), ("from the folder", plain)):
        lines.append(
            f"--version, {name}: median {_median_ms(command):.0f} ms of"
            f" {_STARTS} starts, {_memory_mb(command):.0f} MB resident at most"
        )
    return "\n".join(lines)


def _median_ms(command: list[str]) -> float:
    times = []
    for _ in range(_STARTS):
        start = time.perf_counter()
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        times.append(time.perf_counter() - start)
    return statistics.median(times) * 1e3


def _memory_mb(command: list[str]) -> float:
    """Returns the peak resident memory of a command.

    It is read in a separate process that has no other child.
    """
    done = subprocess.run(
        [sys.executable, "-c", _RUN_AND_PRINT_PEAK_RSS, *command],
        check=True,
        capture_output=True,
        text=True,
    )
    return int(done.stdout.split()[-1]) / 1e3
