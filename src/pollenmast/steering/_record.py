"""A VM's record of one endpoint."""

import enum

import attrs

from pollenmast.steering._health import Health
from pollenmast.steering._model import Endpoint

COLD_SHARE = 0.6
"""The share of new flows for an endpoint that is warming up, relative to a
warm one. It is slower for some seconds, and the flows placed on it stay there
for a long time."""


class Presence(str, enum.Enum):
    """Whether an endpoint exists, judged by its directory entry.

    Attributes:
        LISTED: The directory lists it.
        LAPSED: Its entry was removed but may come back.
        GONE: Its entry was removed and a health check confirmed the loss.
    """

    LISTED = "listed"
    LAPSED = "lapsed"
    GONE = "gone"


@attrs.define(eq=False)
class Record:
    """An endpoint and what this VM knows about it.

    Times are in seconds of the runtime's clock.

    Attributes:
        endpoint: The endpoint as last announced.
        revision: The directory's revision of that announcement.
        announced_at: When this VM learned of the announcement.
        presence: Whether the endpoint exists.
        lapsed_at: When its entry was removed.
        cold_until: Until when it is cold regardless of its announcement.
        created: The directory's revision at which its entry was created, or
            another number by which it is compared with the endpoints that have
            the same token.
        usable_since: The number of this VM's update since which it is known and
            its service named by a configuration, or None.
        moved: Its entry as last announced, if that has another address or
            service and has not lasted yet; otherwise None.
        moved_at: When `moved` was announced.
        listed: Its entry in a restored directory while the state known before
            the restore takes precedence; otherwise None.
        health: Its health as seen by this VM.
    """

    endpoint: Endpoint
    revision: int
    announced_at: float
    presence: Presence = Presence.LISTED
    lapsed_at: float = 0.0
    cold_until: float = float("-inf")
    created: int = 0
    usable_since: int | None = None
    moved: Endpoint | None = None
    moved_at: float = float("-inf")
    listed: Endpoint | None = None
    health: Health = attrs.field(factory=Health)

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.endpoint.name

    @property
    def usable(self) -> bool:
        """Whether a configuration has named the endpoint's service."""
        return self.usable_since is not None

    @property
    def announced(self) -> Endpoint | None:
        """The endpoint as the directory lists it now, None if it does not."""
        if self.listed is not None:
            return self.listed
        if self.moved is not None:
            return self.moved
        return self.endpoint if self.presence is Presence.LISTED else None

    def is_cold(self, now: float) -> bool:
        """Whether the endpoint is still warming up."""
        announced_until = self.announced_at + self.endpoint.warmup_left_s
        return now < max(announced_until, self.cold_until)

    def relative_capacity(self, now: float) -> float:
        """Returns the endpoint's relative capacity, reduced while cold."""
        return COLD_SHARE if self.is_cold(now) else 1.0
