"""The numbered catalogue of events; docs/EVENTS.md is made from it.

Numbers are never used twice. 1xx: the programs; 2xx: flows and callers;
3xx: upstreams; 4xx: manifest and platform; 5xx: VMs of the fleet.
"""

import attrs

BURST = 20
"""Lines of one event written within one second; the rest are counted.

A line costs about 11 microseconds (docs/EVENTS.md), so that the whole
catalogue flooded at once stays near half a hundredth of a core."""

REQUEST_BURST = 100
"""The same for requests: twice what a small VM carries at its usual greatest
load, so that on a usual day each request's id leads to its flow."""


@attrs.frozen
class Event:
    """One kind of log line.

    Attributes:
        number: Unique and stable.
        name: Unique, in lower case with underscores.
        meaning: What happened, for an operator.
        action: What an operator does about it.
        burst: Lines of it written within one second; the rest are counted.
    """

    number: int
    name: str
    meaning: str
    action: str
    burst: int = BURST


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
LISTEN_FAILED = Event(
    105,
    "listen_failed",
    "A service's port towards callers did not open.",
    "Look which program holds the port; until then the fabric's packets for"
    " this service are lost at this VM.",
)
CUT = Event(
    104,
    "cut",
    "A program ended at once; open flows may have lost their carrier.",
    "Look at `flows`; callers that send go on by another VM.",
)
START_FAILED = Event(
    107,
    "start_failed",
    "A program could not have its ports; nothing was started.",
    "Look whether another one runs on this VM, and check the addresses.",
)
SUPPRESSED = Event(
    106,
    "suppressed",
    "More lines of event `of` came within one second than are written.",
    "Look at the counters, which count every case.",
)
UPSTREAM_UNHEALTHY = Event(
    301,
    "upstream_unhealthy",
    "An endpoint gave no load report, or takes no work.",
    "Look at the endpoint, unless it was meant to stop.",
)
UPSTREAM_HEALTHY = Event(
    302, "upstream_healthy", "An endpoint takes work again.", "Nothing."
)
MANIFEST_IN_FORCE = Event(
    401, "manifest_in_force", "A manifest came into force.", "Nothing."
)
MANIFEST_INVALID = Event(
    402,
    "manifest_invalid",
    "A manifest was refused whole; the one in force stays.",
    "Mend the manifest at the named path and publish a greater version.",
)
MANIFEST_CONFLICT = Event(
    403,
    "manifest_conflict",
    "One version was published with two contents; the greater digest wins.",
    "Publish a greater version; find the second pipeline that publishes.",
)
MANIFEST_OLDER = Event(
    404,
    "manifest_older",
    "An older manifest was offered and not taken.",
    "Look at the platform: it is stale, or someone published an old version.",
)
PLATFORM_LOST = Event(
    411,
    "platform_lost",
    "The platform does not answer; the manifest in force stays.",
    "Look at the platform and the network towards it.",
)
PLATFORM_BACK = Event(
    412, "platform_back", "The platform answers again.", "Nothing."
)
VM_JOINED = Event(501, "vm_joined", "A VM was heard of first.", "Nothing.")
VM_SUSPECT = Event(
    502,
    "vm_suspect",
    "A VM missed its heartbeat, asked directly and through others.",
    "Nothing yet; if it recurs, look at that VM's load.",
)
VM_DEAD = Event(
    503,
    "vm_dead",
    "A VM refuted no suspicion, or has ended; its flows have new owners.",
    "Look at that VM, unless it was meant to stop.",
)
VM_LEAVING = Event(
    504, "vm_leaving", "A VM stops in an orderly way.", "Nothing."
)
VM_RETURNED = Event(
    505,
    "vm_returned",
    "A VM believed dead is heard again: restarted, woken or reachable again.",
    "If it did not restart, look for a cut between availability zones.",
)
VM_UPDATED = Event(
    506,
    "vm_updated",
    "A VM told something new of itself, or refuted a suspicion.",
    "Nothing.",
)
REFRESH_BEGAN = Event(
    507,
    "refresh_began",
    "This VM may hold old beliefs (started, paused, cut off, or declared"
    " dead); it opens no flows until a peer has told it what it missed.",
    "If it recurs, look for pauses of this VM.",
)
REFRESH_ENDED = Event(
    508,
    "refresh_ended",
    "This VM's beliefs count as fresh again; `alone` when nobody answered.",
    "If alone, look at the network between the availability zones.",
)
RELAY_SILENT = Event(
    511,
    "relay_silent",
    "The relay of this VM does not report; others own its flows.",
    "Look at the relay's log.",
)
RELAY_HEARD = Event(
    512, "relay_heard", "The relay of this VM reports again.", "Nothing."
)
STANDBY_BEGAN = Event(
    513,
    "standby_began",
    "The agent reads callers' packets in place of its relay and passes them"
    " on to the relays that own their flows.",
    "Look at the relay's log; restart the relay alone.",
)
STANDBY_ENDED = Event(
    514,
    "standby_ended",
    "The relay reads its ports again; `passed_on` packets went by the agent.",
    "Nothing.",
)
STANDBY_FAILED = Event(
    515,
    "standby_failed",
    "The agent cannot have a service's port in place of its relay; the"
    " fabric's packets for it are lost at this VM.",
    "Take the VM off the fabric's list; look which program holds the port.",
)

PAUSED = Event(
    108,
    "paused",
    "The VM stood still for `gap_s` seconds; its beliefs are read anew.",
    "Look at the VM if this recurs.",
)
SETTINGS_RELOADED = Event(
    109, "settings_reloaded", "The settings file was read again.", "Nothing."
)
SETTINGS_REFUSED = Event(
    110,
    "settings_refused",
    "A changed settings file is invalid; the settings in force stay.",
    "Mend the file at the named field.",
)
LOAD_FAILED = Event(
    111,
    "load_failed",
    "A part of the program could not be loaded; packets are carried without"
    " it for a while, and it is tried again.",
    "Look at `error`, and at the VM's memory and files.",
)
FLOW_PLACED = Event(
    201,
    "flow_placed",
    "A new flow was sent to `endpoint`; `reason` says why there.",
    "Nothing. `retry` means that the endpoints in `tried` did not answer.",
)
FLOW_RESET = Event(
    202,
    "flow_reset",
    "A client was told that its flow has ended; `reason` says why.",
    "Look at the endpoint, or for `no_route` at the configuration.",
)
SEGMENT_DROPPED = Event(
    203,
    "segment_dropped",
    "A client's packet was thrown away without an answer.",
    "Look at `reason`; `unknown_token` names an endpoint not known here.",
)
REQUEST_CARRIED = Event(
    204,
    "request_carried",
    "A request's first packet was sent to `endpoint`.",
    "Nothing. It joins a request's id to its flow.",
    REQUEST_BURST,
)
ENDPOINT_CHANGED = Event(
    303,
    "endpoint_changed",
    "The directory lists an endpoint, or lists it differently.",
    "Nothing.",
)
ENDPOINT_LAPSED = Event(
    304,
    "endpoint_lapsed",
    "An endpoint's entry has vanished; it may come back.",
    "Look at the endpoint, unless it was meant to stop.",
)
ENDPOINT_DOWN = Event(
    305,
    "endpoint_down",
    "An endpoint answers neither clients nor a health check.",
    "Look at the endpoint and the network towards it.",
)
ENDPOINT_UP = Event(
    306, "endpoint_up", "An endpoint answers again.", "Nothing."
)
ENDPOINT_GONE = Event(
    307,
    "endpoint_gone",
    "An endpoint that vanished does not answer; its flows were ended.",
    "Nothing, if it was meant to stop.",
)
CHECKS_UNSURE = Event(
    308,
    "checks_unsure",
    "An endpoint did not answer, nor did others that had just shown life:"
    " this VM's own link or processor is at fault.",
    "Look at this VM's link if it goes on.",
)
ENDPOINT_CHECKED = Event(
    309,
    "endpoint_checked",
    "An endpoint was asked for its health; `reason` says why, `flows` how many"
    " open flows go there by this VM.",
    "Nothing. Many of one reason on many VMs tell what the fleet doubts.",
)
ROUTES_IN_FORCE = Event(
    421, "routes_in_force", "A configuration came into force.", "Nothing."
)
ENTRY_REFUSED = Event(
    422,
    "entry_refused",
    "An entry or configuration could not be understood; the rest holds.",
    "Look who wrote the entry.",
)
HISTORY_GONE = Event(
    423,
    "history_gone",
    "The directory cannot tell what changed since; everything is read anew.",
    "With `fault` restored see 429; else nothing.",
)
DIRECTORY_RESTORED = Event(
    429,
    "directory_restored",
    "The directory came back from an older copy: its revisions start lower.",
    "Compare `known` and `revision`; ask the platform's team for the reason.",
)
ZONE_DRAINED = Event(
    425,
    "zone_drained",
    "The operator drains an availability zone; it takes no new flows.",
    "Wait for this event from every VM before work on the zone begins.",
)
ZONE_RESTORED = Event(
    426,
    "zone_restored",
    "An availability zone takes new flows again.",
    "Nothing.",
)
ENDPOINT_EJECTED = Event(
    310,
    "endpoint_ejected",
    "An endpoint fails far more requests than others; it gets no new flows.",
    "Look at the endpoint: its health check may say well all the same.",
)
ZONES_UNREACHED = Event(
    427,
    "zones_unreached",
    "The VM's zone is drained and it reaches no other one; it is not ready.",
    "Look at the network between the zones, or end the drain.",
)
ZONES_REACHED = Event(
    428,
    "zones_reached",
    "The VM reaches another zone again, or does not depend on it.",
    "Nothing.",
)
PEER_TOLD = Event(
    424,
    "peer_told",
    "While the directory is away a peer told what it knows.",
    "Nothing.",
)

CATALOGUE: tuple[Event, ...] = (
    STARTED,
    STOPPING,
    STOPPED,
    CUT,
    LISTEN_FAILED,
    SUPPRESSED,
    START_FAILED,
    UPSTREAM_UNHEALTHY,
    UPSTREAM_HEALTHY,
    MANIFEST_IN_FORCE,
    MANIFEST_INVALID,
    MANIFEST_CONFLICT,
    MANIFEST_OLDER,
    PLATFORM_LOST,
    PLATFORM_BACK,
    VM_JOINED,
    VM_SUSPECT,
    VM_DEAD,
    VM_LEAVING,
    VM_RETURNED,
    VM_UPDATED,
    REFRESH_BEGAN,
    REFRESH_ENDED,
    RELAY_SILENT,
    RELAY_HEARD,
    STANDBY_BEGAN,
    STANDBY_ENDED,
    STANDBY_FAILED,
    PAUSED,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    LOAD_FAILED,
    FLOW_PLACED,
    FLOW_RESET,
    SEGMENT_DROPPED,
    REQUEST_CARRIED,
    ENDPOINT_CHANGED,
    ENDPOINT_LAPSED,
    ENDPOINT_DOWN,
    ENDPOINT_UP,
    ENDPOINT_GONE,
    CHECKS_UNSURE,
    ENDPOINT_CHECKED,
    ROUTES_IN_FORCE,
    ENTRY_REFUSED,
    HISTORY_GONE,
    DIRECTORY_RESTORED,
    PEER_TOLD,
    ZONE_DRAINED,
    ZONE_RESTORED,
    ZONES_UNREACHED,
    ZONES_REACHED,
    ENDPOINT_EJECTED,
)
