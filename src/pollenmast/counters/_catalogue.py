"""The catalogue of counters and of the reasons that each one separates."""

import enum

import attrs


class DropReason(str, enum.Enum):
    """Why a datagram was dropped without an answer."""

    EMPTY = "empty"
    TRUNCATED_HEADER = "truncated_header"
    UNSUPPORTED_VERSION = "unsupported_version"
    SHORT_INITIAL = "short_initial"
    EARLY_DATA = "early_data"
    UNKNOWN_FLOW = "unknown_flow"
    UNKNOWN_SERVICE = "unknown_service"
    TOO_MANY_HOPS = "too_many_hops"
    NO_OWNER = "no_owner"
    NOT_READY = "not_ready"
    STRANGER = "stranger"
    PORT_REUSED = "port_reused"
    SEND_FAILED = "send_failed"
    FLOW_TABLE_FULL = "flow_table_full"
    CALLER_SILENT = "caller_silent"
    MALFORMED = "malformed"
    """The packet is too short, or its length field does not match it."""

    NO_ROUTE_YET = "no_route_yet"
    """No route is known, but the configuration may be too old to have it."""

    NO_ENDPOINT_YET = "no_endpoint_yet"
    """No endpoint is known, but the list may be too old to have it."""

    UNKNOWN_TOKEN = "unknown_token"
    """The packet names an endpoint that this VM does not know."""

    DUPLICATE_SYN = "duplicate_syn"
    """A copy that was buffered together with its original, just forwarded."""

    BACKLOG = "backlog"
    """A SYN that was buffered during a pause; its client no longer waits."""

    HELD = "held"
    """A retransmission of a SYN that is held for lack of capacity."""


class ResetReason(str, enum.Enum):
    """Why a flow was reset towards its client."""

    NO_ROUTE = "no_route"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_DOWN = "endpoint_down"
    """Segments went unanswered, and then a health check did too."""

    ENDPOINT_GONE = "endpoint_gone"
    """The endpoint has left the directory and no longer answers."""

    ZONE_DRAINED = "zone_drained"
    """Every endpoint of the service is in a zone that is drained."""

    WARMING_UP = "warming_up"
    """Every remaining endpoint is warming up and at its limit of flows."""

    CONNECTION_LIMIT = "connection_limit"
    """Every remaining endpoint has this VM's share of the connections that its
    service allows."""

    NO_ROOM = "no_room"
    """The service is short of capacity, and the flows ahead would take longer
    than this one may be held."""

    HOLD_EXPIRED = "hold_expired"
    """No capacity became free while the flow was held."""

    REPEAT_LIMIT = "repeat_limit"
    """A retry of a refused attempt, beyond the retry budget."""


class AdmissionReason(str, enum.Enum):
    """How admission control admitted a new flow."""

    FREE = "free"
    """The service is not short of capacity on this VM."""

    CREDIT = "credit"
    """The VM had a free credit for the endpoint."""

    GUEST = "guest"
    """The flow went to another zone, which has spare capacity."""

    AFTER_HOLD = "after_hold"
    """The flow was held first."""


class PlacementReason(str, enum.Enum):
    """Why a new flow was sent to its endpoint."""

    OWN_ZONE = "own_zone"
    OTHER_ZONE = "other_zone"
    """No endpoint of the VM's own zone has room."""

    RETRY = "retry"
    """A repeated SYN, sent to another endpoint than the one without answer."""

    LAST_RESORT = "last_resort"
    """Every endpoint is suspected; the least suspected one is tried."""


class CheckReason(str, enum.Enum):
    """Why an endpoint's health was checked."""

    REPEATED = "repeated"
    """A client retransmitted a SYN or data."""

    UNOPENED = "unopened"
    """A client's flow made no progress after its SYN."""

    SILENT = "silent"
    """A request went unanswered for unusually long."""

    LAPSED = "lapsed"
    """The endpoint's entry has disappeared from the directory."""

    MISSING = "missing"
    """The endpoint's entry has not come back to the directory."""

    REPORTED = "reported"
    """Another VM found the endpoint down."""

    TOLD = "told"
    """A reader of this zone found it down, and this VM carries flows to it."""

    UNANSWERED = "unanswered"
    """The previous check went unanswered."""

    UNSURE = "unsure"
    """The previous check was inconclusive, through this VM's own fault."""

    DOWN = "down"
    """The endpoint was down a while ago."""

    REVIVED = "revived"
    """The endpoint was down, and a client has received data from it."""

    REACH = "reach"
    """The VM's zone is drained, and no client whose flow goes to an endpoint of
    another zone has made progress."""

    CONTROL = "control"
    """A control beside the check of another endpoint: it shows whether a
    time-out is that endpoint's fault or this VM's."""


class EnvelopeFault(str, enum.Enum):
    """Why an envelope or control message was dropped."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    UNKNOWN_KEY = "unknown_key"
    FORGED = "forged"
    REPLAYED = "replayed"
    TOO_MANY_SENDERS = "too_many_senders"
    MALFORMED = "malformed"


class RefusalReason(str, enum.Enum):
    """Why a new flow was refused with an answer."""

    BUSY = "busy"
    """No endpoint had room while the flow was held."""

    CALLER_LIMIT = "caller_limit"
    """The caller or its network is at its limit of held flows."""

    HOLD_FULL = "hold_full"
    NO_ENDPOINT = "no_endpoint"
    """No endpoint of the service accepts new flows."""

    RETRY_SPENT = "retry_spent"
    """The endpoint did not answer, and the retry budget is used up."""

    DRAINING = "draining"
    FLOW_TABLE_FULL = "flow_table_full"
    NO_RELAY = "no_relay"
    """No known VM has a running relay; an agent sent the refusal."""


class RetryReason(str, enum.Enum):
    """Why a flow's first packets were sent to another endpoint."""

    UNANSWERED = "unanswered"


class RepathReason(str, enum.Enum):
    """Why a flow got a new path to its upstream."""

    SILENT = "silent"
    ADOPTED = "adopted"
    TRANSFERRED = "transferred"
    CALLER_MOVED = "caller_moved"


class ForwardReason(str, enum.Enum):
    """Why a datagram was forwarded to another relay."""

    OWNER = "owner"
    HOLDER = "holder"
    ASK = "ask"
    RETURNED = "returned"
    NOT_READY = "not_ready"
    """A new flow whose owner's view of the fleet is too old to open it."""

    STANDBY = "standby"
    """Forwarded by an agent whose relay is silent."""


class ManifestOutcome(str, enum.Enum):
    """What was done with a manifest that was received."""

    ACCEPTED = "accepted"
    OLDER = "older"
    KNOWN = "known"
    CONFLICT_LOST = "conflict_lost"
    CONFLICT = "conflict"
    """One version came with two contents; counted besides the outcome."""

    INVALID = "invalid"


class FaultPlace(str, enum.Enum):
    """What was handled when a fault was contained."""

    PACKET = "packet"
    """A client's packet."""

    HELD = "held"
    """Held packets that were to be released."""

    REPORT = "report"
    """A datagram of another VM."""

    SENDING = "sending"
    """Reports or changes for other VMs."""

    PEER = "peer"
    """An answer or changes of another VM."""

    DIRECTORY = "directory"
    """An answer of the directory."""

    REQUEST = "request"
    """An HTTP request to this VM."""

    CHECK = "check"
    """A health check or a probe."""

    MAINTENANCE = "maintenance"
    """The periodic removal of old state."""


class EntryFault(str, enum.Enum):
    """Why an entry or configuration, or a value in it, was refused."""

    UNREADABLE = "unreadable"
    """Its bytes are no JSON object in UTF-8."""

    ID = "id"
    """Its key does not have the form of an endpoint's id."""

    FIELD = "field"
    """A required field is missing, or its value is not allowed."""

    SIZE = "size"
    """It is longer than any entry needs to be."""

    LIMIT = "limit"
    """A VM knows as many endpoints as it keeps."""

    INCOMPLETE = "incomplete"
    """It lacks an optional field that the other entries of its service have."""

    IGNORED = "ignored"
    """An optional value of a configuration is not allowed; the rest is used."""


@attrs.frozen
class CounterDefinition:
    """A counter.

    Attributes:
        name: Unique, in lower case with underscores.
        unit: The unit as OpenTelemetry writes it.
        description: What it counts, for an operator.
        reasons: The values of its reason label; `("",)` without reasons.
    """

    name: str
    unit: str
    description: str
    reasons: tuple[str, ...] = ("",)


def _values(reasons: type[enum.Enum]) -> tuple[str, ...]:
    return tuple(reason.value for reason in reasons)


DROPS = CounterDefinition(
    "drops", "{datagram}", "Datagrams dropped.", _values(DropReason)
)
ENVELOPE_FAULTS = CounterDefinition(
    "envelope_faults",
    "{message}",
    "Envelopes and control messages dropped.",
    _values(EnvelopeFault),
)
REFUSALS = CounterDefinition(
    "refusals", "{flow}", "New flows refused.", _values(RefusalReason)
)
RETRIES = CounterDefinition(
    "retries",
    "{flow}",
    "First packets tried at another endpoint.",
    _values(RetryReason),
)
REPATHS = CounterDefinition(
    "repaths", "{flow}", "Flows given a new path.", _values(RepathReason)
)
FORWARDS = CounterDefinition(
    "forwards",
    "{datagram}",
    "Datagrams passed to another relay.",
    _values(ForwardReason),
)
FLOWS_OPENED = CounterDefinition("flows_opened", "{flow}", "Flows opened.")
FLOWS_ENDED = CounterDefinition("flows_ended", "{flow}", "Flows ended.")
FLOWS_HELD = CounterDefinition("flows_held", "{flow}", "Flows held a while.")
FALLBACKS = CounterDefinition(
    "fallbacks",
    "{flow}",
    "Unknown flows in progress carried to their default endpoint.",
)
REPLICAS_SENT = CounterDefinition(
    "replicas_sent", "{record}", "Flow records replicated."
)
TRANSFERS = CounterDefinition(
    "transfers", "{flow}", "Flows handed over on a planned stop."
)
RESETS = CounterDefinition(
    "resets", "{flow}", "Flows ended towards the client.", _values(ResetReason)
)
PLACEMENTS = CounterDefinition(
    "placements",
    "{flow}",
    "Flows placed by the packets' token.",
    _values(PlacementReason),
)
ADMISSIONS = CounterDefinition(
    "admissions",
    "{flow}",
    "New flows admitted by admission control.",
    _values(AdmissionReason),
)
SEGMENTS = CounterDefinition(
    "segments", "{packet}", "Packets sent to the endpoint they name."
)
CONTROL_BYTES = CounterDefinition(
    "control_bytes",
    "By",
    "Control bytes sent.",
    ("gossip", "replication", "fetch", "probe", "platform"),
)
MANIFESTS = CounterDefinition(
    "manifests", "{manifest}", "Manifests offered.", _values(ManifestOutcome)
)
PROBES = CounterDefinition(
    "probes", "{probe}", "Endpoint probes.", ("answered", "failed", "malformed")
)
CHECKS = CounterDefinition(
    "checks",
    "{check}",
    "Endpoints asked for their health, controls among them.",
    _values(CheckReason),
)
EJECTIONS = CounterDefinition(
    "ejections",
    "{endpoint}",
    "Endpoints kept from new flows as they failed requests.",
)
ENTRIES_REFUSED = CounterDefinition(
    "entries_refused",
    "{entry}",
    "Entries of the directory, or told by a peer, that were refused.",
    _values(EntryFault),
)
FAULTS_CONTAINED = CounterDefinition(
    "faults_contained",
    "{fault}",
    "Unexpected errors while a message was handled; the program went on.",
    _values(FaultPlace),
)
TOKENS_SHARED = CounterDefinition(
    "tokens_shared",
    "{endpoint}",
    "Endpoints that get no flows, as an older one has their token.",
)
PLATFORM_CALLS = CounterDefinition(
    "platform_calls",
    "{call}",
    "Calls to the platform's service.",
    ("answered", "failed", "malformed", "too_long", "restored", "stale"),
)

CATALOGUE: tuple[CounterDefinition, ...] = (
    DROPS,
    ENVELOPE_FAULTS,
    REFUSALS,
    RETRIES,
    REPATHS,
    FORWARDS,
    FLOWS_OPENED,
    FLOWS_ENDED,
    FLOWS_HELD,
    FALLBACKS,
    REPLICAS_SENT,
    TRANSFERS,
    CONTROL_BYTES,
    MANIFESTS,
    PROBES,
    CHECKS,
    PLATFORM_CALLS,
    ENTRIES_REFUSED,
    TOKENS_SHARED,
    FAULTS_CONTAINED,
    EJECTIONS,
    RESETS,
    PLACEMENTS,
    SEGMENTS,
    ADMISSIONS,
)
