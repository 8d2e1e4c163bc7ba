"""What the platform stand-in holds: manifest, VM list, calls and faults."""

import collections
import enum
import json

import attrs

CALLS_A_SECOND = 2_000
"""The brief's budget over all readers."""

LAG_S = 1.0
"""How long a change of the VM list stays unseen, unless set."""


class Fault(str, enum.Enum):
    """How the read port misbehaves."""

    OK = "ok"
    DOWN = "down"
    FROZEN = "frozen"
    SLOW = "slow"


@attrs.frozen
class Values:
    """What a reader sees."""

    manifest: bytes = b""
    version: int = 0
    vms: tuple[dict, ...] = ()


def version_of(manifest: bytes) -> int:
    """Returns the manifest's version, 0 where none can be read."""
    try:
        version = json.loads(manifest)["version"]
    except (ValueError, KeyError, TypeError):
        return 0
    return version if isinstance(version, int) else 0


class Budget:
    """Allows so many calls within any second."""

    def __init__(self, calls_a_second: int = CALLS_A_SECOND):
        self.calls = 0
        self.over = 0
        self.greatest = 0
        self._most = calls_a_second
        self._recent: collections.deque[float] = collections.deque()

    def take(self, now: float) -> bool:
        """Counts a call; returns whether it is within the budget."""
        self.calls += 1
        while self._recent and self._recent[0] <= now - 1.0:
            self._recent.popleft()
        if len(self._recent) >= self._most:
            self.over += 1
            return False
        self._recent.append(now)
        self.greatest = max(self.greatest, len(self._recent))
        return True


class Book:
    """The newest values, and those that readers see."""

    def __init__(self, lag_s: float = LAG_S):
        self.fault = Fault.OK
        self.delay_s = 0.0
        self._lag_s = lag_s
        self._manifest = b""
        self._version = 0
        self._lists: list[tuple[float, tuple[dict, ...]]] = [(0.0, ())]
        self._frozen = Values()

    def publish(self, manifest: bytes) -> None:
        """Stores a manifest as it is, even an older or invalid one."""
        self._manifest = manifest
        self._version = version_of(manifest)

    def list_vms(self, vms: list[dict], now: float, at_once: bool) -> None:
        """Sets the list, which shows after the lag."""
        shows = now if at_once else now + self._lag_s
        self._lists.append((shows, tuple(vms)))

    def set_fault(self, fault: Fault, delay_s: float, now: float) -> None:
        """Sets how readers are served from now on."""
        if fault is Fault.FROZEN:
            self._frozen = self.current(now)
        self.fault = fault
        self.delay_s = delay_s

    def current(self, now: float) -> Values:
        """Returns the values without the fault, the list's lag included."""
        while len(self._lists) > 1 and self._lists[1][0] <= now:
            self._lists.pop(0)
        return Values(self._manifest, self._version, self._lists[0][1])

    def seen(self, now: float) -> Values:
        """Returns what a reader sees."""
        if self.fault is Fault.FROZEN:
            return self._frozen
        return self.current(now)
