"""Decisions that need no network: typed events and a clock in, outcomes out."""

from pollenmast.decisions._dispatcher import Dispatcher
from pollenmast.decisions._outcomes import (
    FlowRequest,
    Held,
    Placed,
    Refused,
    Released,
)

__all__ = [
    "Dispatcher",
    "FlowRequest",
    "Held",
    "Placed",
    "Refused",
    "Released",
]
