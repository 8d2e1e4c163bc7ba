"""Records the environment of a benchmark run."""

import datetime
import os
import pathlib
import platform
import subprocess
import time

NOTE = "machine"


class RunNote:
    """Records the machine and its load from the start to the end of a run."""

    def __init__(self) -> None:
        self._load = os.getloadavg()[0]
        self._began = time.monotonic()

    def end(self) -> dict:
        """Returns the note; to be called when the measurement has ended."""
        return {
            "when": datetime.datetime.now(datetime.UTC).strftime(
                "%Y-%m-%d %H:%M UTC"
            ),
            "commit": _commit(),
            "python": platform.python_version(),
            "cores": os.cpu_count(),
            "cores_usable": len(os.sched_getaffinity(0)),
            "load_before": round(self._load, 1),
            "load_after": round(os.getloadavg()[0], 1),
            "wall_s": round(time.monotonic() - self._began, 1),
        }


def _commit() -> str:
    """Returns the commit hash, with `+` if src or bench has local changes."""
    root = pathlib.Path(__file__).parent.parent
    try:
        head = _git(root, "rev-parse", "--short", "HEAD")
        changed = _git(root, "status", "--short", "--", "src", "bench")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return head + ("+" if changed else "")


def _git(root: pathlib.Path, *arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments],
        cwd=root,
        check=True,
        capture_output=True,
        text=True,
    )
    return done.stdout.strip()
