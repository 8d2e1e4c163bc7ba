"""Load-balancing decisions as pure logic, without I/O.

Callers pass in typed events and the current time, and get outcomes back.
"""

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
