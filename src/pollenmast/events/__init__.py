"""Numbered, rate-limited log events."""

from pollenmast.events._catalogue import (
    CATALOGUE,
    CUT,
    STARTED,
    STOPPED,
    STOPPING,
    Event,
)
from pollenmast.events._log import EventLog

__all__ = [
    "CATALOGUE",
    "CUT",
    "STARTED",
    "STOPPED",
    "STOPPING",
    "Event",
    "EventLog",
]
