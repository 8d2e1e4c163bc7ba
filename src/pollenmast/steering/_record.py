"""What a VM believes of one endpoint."""

import enum

import attrs

from pollenmast.steering._health import Health
from pollenmast.steering._model import Endpoint

COLD_SHARE = 0.6
"""Share of new flows of an endpoint that has just started: it is slower for
some seconds, and its flows stay with it for long."""


class Presence(str, enum.Enum):
    """How surely an endpoint exists."""

    LISTED = "listed"
    LAPSED = "lapsed"
    GONE = "gone"


@attrs.define(eq=False)
class Record:
    """One endpoint and what this VM believes of it.

    Attributes:
        endpoint: Its latest announcement.
        revision: The directory's revision of that.
        announced_at: When this VM learned of it, in seconds.
        presence: How surely it exists.
        lapsed_at: When its entry vanished.
        cold_until: Until when it is cold whatever it has announced.
        listed: What a restored directory lists of it, while what was known
            before the restore goes first; else None.
        health: What passed by.
    """

    endpoint: Endpoint
    revision: int
    announced_at: float
    presence: Presence = Presence.LISTED
    lapsed_at: float = 0.0
    cold_until: float = float("-inf")
    listed: Endpoint | None = None
    health: Health = attrs.field(factory=Health)

    @property
    def announced(self) -> Endpoint | None:
        """What the directory lists of it now, None if nothing."""
        if self.listed is not None:
            return self.listed
        return self.endpoint if self.presence is Presence.LISTED else None

    def is_cold(self, now: float) -> bool:
        """Whether it still warms up."""
        announced_until = self.announced_at + self.endpoint.warm_in_s
        return now < max(announced_until, self.cold_until)

    def warmth(self, now: float) -> float:
        """Returns its share of new flows, less while it is cold."""
        return COLD_SHARE if self.is_cold(now) else 1.0
