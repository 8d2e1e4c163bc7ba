"""Detects that the set of VMs in rotation has changed.

Routers hash flows by the number of VMs in rotation, so when one joins or leaves
nearly all flows move to other VMs at once. The ends of this VM's requests in
progress then pass through other VMs, and it would hold or refuse new flows for
lack of credits until these requests time out.

A VM is not told of a change in time, but it sees flows that others opened.
"""

import collections

from pollenmast.steering._flows import Flow
from pollenmast.steering._model import Segment

MIN_SIGNS = 3
"""Signs within `WINDOW_S` that show a change. A VM has about four requests in
progress during overload, and gets as many from other VMs. Single signs also
come from flows that were idle for longer than they are remembered."""

WINDOW_S = 0.2
"""Time within which the signs must arrive, in seconds: about the time of a
request during overload."""


class RotationDetector:
    """Collects signs of a change of the set of VMs in rotation."""

    def __init__(self):
        self._signs: collections.deque[float] = collections.deque(
            maxlen=MIN_SIGNS
        )

    def on_segment(
        self, flow: Flow | None, segment: Segment, now: float
    ) -> float | None:
        """Processes a segment that is not a SYN.

        Args:
            flow: The flow as known before the segment, None if unknown.
            segment: The segment.
            now: The runtime's clock in seconds.

        Returns:
            If this sign shows a change, the time in seconds of its first sign;
            otherwise None.
        """
        if not _is_sign(flow, segment):
            return None
        self._signs.append(now)
        first = self._signs[0]
        if len(self._signs) < MIN_SIGNS or now - first > WINDOW_S:
            return None
        return first


def _is_sign(flow: Flow | None, segment: Segment) -> bool:
    """Whether a segment shows that its flow was opened at another VM.

    An acknowledgement of an unknown flow does not: a client also sends one
    after its FIN, at which the flow is forgotten.
    """
    if segment.fin:
        return flow is None or not flow.tried
    return flow is None and segment.length > 0
