"""State of the platform stand-in: manifest, VM list, call budget and fault."""

import collections
import enum
import json

import attrs

CALLS_PER_S = 2_000
"""Call budget per second over all readers, as the brief sets it."""

LAG_S = 1.0
"""Default delay until readers see a change of the VM list, in seconds."""


class Fault(str, enum.Enum):
    """A fault that the read port simulates."""

    OK = "ok"
    DOWN = "down"
    FROZEN = "frozen"
    SLOW = "slow"


@attrs.frozen
class PublishedValues:
    """A manifest and VM list as readers see them.

    Attributes:
        manifest: The manifest's text.
        version: The manifest's version, or 0.
        vms: The entries of the VM list.
    """

    manifest: bytes = b""
    version: int = 0
    vms: tuple[dict, ...] = ()


def parse_version(manifest: bytes) -> int:
    """Returns the manifest's version, or 0 if it has no valid one."""
    try:
        version = json.loads(manifest)["version"]
    except (ValueError, KeyError, TypeError):
        return 0
    return version if isinstance(version, int) else 0


class Budget:
    """Limits the number of calls within any period of one second.

    Attributes:
        calls: Number of all calls.
        over: Number of calls beyond the budget.
        peak: Greatest number of allowed calls within one second.
    """

    def __init__(self, calls_per_s: int = CALLS_PER_S):
        self.calls = 0
        self.over = 0
        self.peak = 0
        self._max_calls = calls_per_s
        self._recent: collections.deque[float] = collections.deque()

    def take(self, now: float) -> bool:
        """Counts a call and returns whether it is within the budget."""
        self.calls += 1
        while self._recent and self._recent[0] <= now - 1.0:
            self._recent.popleft()
        if len(self._recent) >= self._max_calls:
            self.over += 1
            return False
        self._recent.append(now)
        self.peak = max(self.peak, len(self._recent))
        return True


class PlatformState:
    """The published values, and the values that readers see.

    Attributes:
        fault: The simulated fault.
        delay_s: Delay of each response under `Fault.SLOW`, in seconds.
    """

    def __init__(self, lag_s: float = LAG_S):
        self.fault = Fault.OK
        self.delay_s = 0.0
        self._lag_s = lag_s
        self._manifest = b""
        self._version = 0
        self._lists: list[tuple[float, tuple[dict, ...]]] = [(0.0, ())]
        self._frozen = PublishedValues()

    def publish(self, manifest: bytes) -> None:
        """Stores a manifest unchecked, even an older or invalid one."""
        self._manifest = manifest
        self._version = parse_version(manifest)

    def list_vms(self, vms: list[dict], now: float, at_once: bool) -> None:
        """Sets the VM list, which readers see after the lag or at once."""
        visible_from = now if at_once else now + self._lag_s
        self._lists.append((visible_from, tuple(vms)))

    def set_fault(self, fault: Fault, delay_s: float, now: float) -> None:
        """Sets the fault that readers meet from now on."""
        if fault is Fault.FROZEN:
            self._frozen = self.current(now)
        self.fault = fault
        self.delay_s = delay_s

    def current(self, now: float) -> PublishedValues:
        """Returns the values regardless of the fault, but with the lag."""
        while len(self._lists) > 1 and self._lists[1][0] <= now:
            self._lists.pop(0)
        return PublishedValues(self._manifest, self._version, self._lists[0][1])

    def visible(self, now: float) -> PublishedValues:
        """Returns the values that a reader sees under the current fault."""
        if self.fault is Fault.FROZEN:
            return self._frozen
        return self.current(now)
