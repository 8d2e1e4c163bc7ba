"""The numbered catalogue of events; docs/EVENTS.md is made from it.

Numbers are never used twice. 1xx: the programs; 2xx: flows and callers;
3xx: upstreams; 4xx: manifest and platform; 5xx: VMs of the fleet.
"""

import attrs


@attrs.frozen
class Event:
    """One kind of log line.

    Attributes:
        number: Unique and stable.
        name: Unique, in lower case with underscores.
        meaning: What happened, for an operator.
        action: What an operator does about it.
    """

    number: int
    name: str
    meaning: str
    action: str


STARTED = Event(101, "started", "A program started.", "Nothing.")
STOPPING = Event(
    102,
    "stopping",
    "A graceful shutdown began.",
    "Nothing; a second signal ends it at once.",
)
STOPPED = Event(
    103, "stopped", "A program ended in an orderly way.", "Nothing."
)
CUT = Event(
    104,
    "cut",
    "A program ended at once; open flows may have lost their carrier.",
    "Look at `flows`; callers that send go on by another VM.",
)

CATALOGUE: tuple[Event, ...] = (STARTED, STOPPING, STOPPED, CUT)
