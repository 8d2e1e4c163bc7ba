"""The catalogue of log events; docs/EVENTS.md is generated from it.

A number is never reused. 1xx: the programs; 2xx: flows and callers;
3xx: upstreams; 4xx: manifest and platform; 5xx: VMs of the fleet.
"""

import attrs

DEFAULT_BURST = 20
"""Maximum lines of one event per second; further lines are only counted.

Writing a line takes about 11 microseconds (docs/EVENTS.md). This keeps the
cost near 0.5 % of one core even if every event is logged at its limit."""

REQUEST_BURST = 100
"""Maximum `request_carried` lines per second.

Twice the requests per second of a small VM at its usual peak load, so that
under normal load every request id can be traced to its flow."""


@attrs.frozen
class Event:
    """One kind of log event.

    Attributes:
        number: Unique, and never changed.
        name: Unique, in lower case with underscores.
        meaning: What happened, for an operator.
        action: What the operator should do.
        burst: Maximum lines per second; further lines are only counted.
    """

    number: int
    name: str
    meaning: str
    action: str
    burst: int = DEFAULT_BURST


STARTED = Event(101, "started", "A program started.", "Nothing.")
STOPPING = Event(
    102,
    "stopping",
    "A graceful shutdown began.",
    "Nothing; a second signal ends the program at once.",
)
STOPPED = Event(
    103, "stopped", "A program completed its graceful shutdown.", "Nothing."
)
LISTEN_FAILED = Event(
    105,
    "listen_failed",
    "The port on which callers reach a service could not be opened.",
    "Find the program that holds the port; until it is released, the fabric's"
    " packets for this service are lost at this VM.",
)
CUT = Event(
    104,
    "cut",
    "A program ended at once, before its graceful shutdown was complete;"
    " open flows may be lost with it.",
    "Look at `flows`; callers that keep sending are served by another VM.",
)
START_FAILED = Event(
    107,
    "start_failed",
    "A program could not open its ports; nothing was started.",
    "Check whether another instance runs on this VM, and check the addresses.",
)
SUPPRESSED = Event(
    106,
    "suppressed",
    "Event `of` exceeded its limit of lines per second; `lines` were not"
    " written.",
    "Look at the counters, which count every occurrence.",
)
UPSTREAM_UNHEALTHY = Event(
    301,
    "upstream_unhealthy",
    "An endpoint gave no load report, or does not accept work.",
    "Look at the endpoint, unless it was stopped on purpose.",
)
UPSTREAM_HEALTHY = Event(
    302, "upstream_healthy", "An endpoint accepts work again.", "Nothing."
)
MANIFEST_IN_FORCE = Event(
    401, "manifest_in_force", "A manifest came into force.", "Nothing."
)
MANIFEST_INVALID = Event(
    402,
    "manifest_invalid",
    "A manifest was refused as a whole; the one in force stays.",
    "Correct the manifest at the named path and publish a greater version.",
)
MANIFEST_CONFLICT = Event(
    403,
    "manifest_conflict",
    "One version was published with two different contents; the one with the"
    " greater digest is used.",
    "Publish a greater version; find the second pipeline that publishes.",
)
MANIFEST_OLDER = Event(
    404,
    "manifest_older",
    "A manifest older than the one in force was offered and ignored.",
    "Look at the platform: it is stale, or someone published an old version.",
)
PLATFORM_LOST = Event(
    411,
    "platform_lost",
    "The platform does not answer; the manifest in force stays.",
    "Look at the platform and the network path to it.",
)
PLATFORM_BACK = Event(
    412, "platform_back", "The platform answers again.", "Nothing."
)
VM_JOINED = Event(
    501, "vm_joined", "A VM was heard of for the first time.", "Nothing."
)
VM_SUSPECT = Event(
    502,
    "vm_suspect",
    "A VM answered a heartbeat neither directly nor through other VMs.",
    "Nothing yet; if it recurs, look at that VM's load.",
)
VM_DEAD = Event(
    503,
    "vm_dead",
    "A VM has not refuted a suspicion, or has stopped; its flows have new"
    " owners.",
    "Look at that VM, unless it was stopped on purpose.",
)
VM_LEAVING = Event(
    504, "vm_leaving", "A VM is shutting down gracefully.", "Nothing."
)
VM_RETURNED = Event(
    505,
    "vm_returned",
    "A VM believed dead was heard from again: it restarted, resumed from a"
    " pause or became reachable again.",
    "If it did not restart, look for a network cut between availability zones.",
)
VM_UPDATED = Event(
    506,
    "vm_updated",
    "A VM told the others of a change of its state, or refuted a suspicion.",
    "Nothing.",
)
REFRESH_BEGAN = Event(
    507,
    "refresh_began",
    "This VM's view of the fleet may be out of date (the VM started, was"
    " paused, cut off or declared dead); it opens no flows until a peer has"
    " told it what it missed.",
    "If it recurs, look for pauses of this VM.",
)
REFRESH_ENDED = Event(
    508,
    "refresh_ended",
    "This VM's view of the fleet counts as fresh again; `alone` when no peer"
    " answered.",
    "If alone, look at the network between the availability zones.",
)
RELAY_SILENT = Event(
    511,
    "relay_silent",
    "The relay of this VM does not report to its agent; other VMs own its"
    " flows.",
    "Look at the relay's log.",
)
RELAY_HEARD = Event(
    512, "relay_heard", "The relay of this VM reports again.", "Nothing."
)
STANDBY_BEGAN = Event(
    513,
    "standby_began",
    "The agent reads callers' packets in place of its relay and forwards them"
    " to the relays that own their flows.",
    "Look at the relay's log; restart only the relay.",
)
STANDBY_ENDED = Event(
    514,
    "standby_ended",
    "The relay reads its ports again; the agent forwarded `passed_on` packets.",
    "Nothing.",
)
STANDBY_FAILED = Event(
    515,
    "standby_failed",
    "The agent cannot open a service's port in place of its relay; the"
    " fabric's packets for this service are lost at this VM.",
    "Remove the VM from the fabric's list; find the program that holds the"
    " port.",
)

PAUSED = Event(
    108,
    "paused",
    "The VM was paused for `gap_s` seconds; its view of the platform is read"
    " again.",
    "Look at the VM if this recurs.",
)
SETTINGS_RELOADED = Event(
    109, "settings_reloaded", "The settings file was read again.", "Nothing."
)
SETTINGS_REFUSED = Event(
    110,
    "settings_refused",
    "A changed settings file is invalid; the settings in force stay.",
    "Correct the file at the named field.",
)
LOAD_FAILED = Event(
    111,
    "load_failed",
    "A module of the program could not be loaded; packets are carried without"
    " it for a while, and loading is retried.",
    "Look at `error`, and the VM's memory and files.",
)
FLOW_PLACED = Event(
    201,
    "flow_placed",
    "A new flow was sent to `endpoint`; `reason` says why it was chosen.",
    "Nothing. `retry` means that the endpoints in `tried` did not answer.",
)
FLOW_RESET = Event(
    202,
    "flow_reset",
    "A client was told by a reset that its flow has ended; `reason` says why.",
    "Look at the endpoint, or for `no_route` at the configuration. For"
    " `no_room`, `hold_expired` and `repeat_limit` the service was short of"
    " capacity: see event 311; `held_ms` is how long the flow was held.",
)
SEGMENT_DROPPED = Event(
    203,
    "segment_dropped",
    "A client's packet was dropped without an answer.",
    "Look at `reason`; `unknown_token` means that the packet names an endpoint"
    " not known here.",
)
REQUEST_CARRIED = Event(
    204,
    "request_carried",
    "The first packet of a request was sent to `endpoint`.",
    "Nothing. It links the id of a request to its flow.",
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
    "An endpoint's entry has disappeared from the directory; it may come back.",
    "Look at the endpoint, unless it was stopped on purpose.",
)
ENDPOINT_DOWN = Event(
    305,
    "endpoint_down",
    "An endpoint answers neither clients nor a health check.",
    "Look at the endpoint and the network path to it.",
)
ENDPOINT_UP = Event(
    306, "endpoint_up", "An endpoint answers again.", "Nothing."
)
ENDPOINT_GONE = Event(
    307,
    "endpoint_gone",
    "An endpoint whose entry has disappeared does not answer; its flows were"
    " ended.",
    "Nothing, if it was stopped on purpose.",
)
CHECKS_UNSURE = Event(
    308,
    "checks_unsure",
    "An endpoint did not answer, and neither did others that had shown signs"
    " of life shortly before: this VM's own link or processor is at fault.",
    "Look at this VM's link if this continues.",
)
ENDPOINT_CHECKED = Event(
    309,
    "endpoint_checked",
    "An endpoint's health was checked; `reason` says why, `flows` how many open"
    " flows this VM carries to it.",
    "Nothing. Many checks for one reason on many VMs show which endpoints the"
    " fleet suspects.",
)
ROUTES_IN_FORCE = Event(
    421, "routes_in_force", "A configuration came into force.", "Nothing."
)
ENTRY_REFUSED = Event(
    422,
    "entry_refused",
    "An entry or configuration, or a value in it, could not be parsed; the rest"
    " is in force.",
    "Find out who wrote the entry.",
)
FAULT_CONTAINED = Event(
    112,
    "fault_contained",
    "An unexpected error while a message was handled; the program went on.",
    "Report it with the line, which has the input and the trace.",
    burst=2,
)
TOKEN_SHARED = Event(
    430,
    "token_shared",
    "An endpoint has the token of an older one and gets no new flows until that"
    " one is forgotten.",
    "Start the endpoint again, so that it gets another id.",
)
HISTORY_GONE = Event(
    423,
    "history_gone",
    "The directory no longer knows what changed since the last read; everything"
    " is read again.",
    "If `fault` is restored, see event 429; otherwise nothing.",
)
DIRECTORY_RESTORED = Event(
    429,
    "directory_restored",
    "The directory was restored from an older copy: its revisions start lower.",
    "Compare `known` and `revision`; ask the platform's team for the reason.",
)
ZONE_DRAINED = Event(
    425,
    "zone_drained",
    "The operator is draining an availability zone; it takes no new flows.",
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
    "Look at the endpoint: its health check may still pass.",
)
SCARCITY_BEGAN = Event(
    311,
    "scarcity_began",
    "A service became short of capacity on this VM: its requests `in_progress`"
    " reached the VM's `credits`; new flows are held or refused.",
    "Look at the service's endpoints and load; see OPERATIONS.md.",
)
SCARCITY_ENDED = Event(
    312,
    "scarcity_ended",
    "A service is no longer short of capacity on this VM, after `lasted_s`"
    " seconds.",
    "Nothing.",
)
ZONES_UNREACHED = Event(
    427,
    "zones_unreached",
    "The VM's zone is drained and the VM reaches no other zone; it is not"
    " ready.",
    "Look at the network between the zones, or end the drain.",
)
ZONES_REACHED = Event(
    428,
    "zones_reached",
    "The VM reaches another zone again, or no longer depends on one.",
    "Nothing.",
)
PEER_TOLD = Event(
    424,
    "peer_told",
    "While the directory is unavailable, a peer told this VM what it knows.",
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
    TOKEN_SHARED,
    FAULT_CONTAINED,
    HISTORY_GONE,
    DIRECTORY_RESTORED,
    PEER_TOLD,
    ZONE_DRAINED,
    ZONE_RESTORED,
    ZONES_UNREACHED,
    ZONES_REACHED,
    ENDPOINT_EJECTED,
    SCARCITY_BEGAN,
    SCARCITY_ENDED,
)
