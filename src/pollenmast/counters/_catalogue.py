"""Every counter of the product and the reasons that each one tells apart."""

import enum

import attrs


class DropReason(str, enum.Enum):
    """Why a datagram was thrown away without an answer."""

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
    """Too short, or its length field does not fit."""

    NO_ROUTE_YET = "no_route_yet"
    """No route is known, by a configuration too old to say that none is."""

    NO_ENDPOINT_YET = "no_endpoint_yet"
    """No endpoint is known, by a list too old to say that there is none."""

    UNKNOWN_TOKEN = "unknown_token"
    """The packet names an endpoint that this VM does not know."""

    DUPLICATE_SYN = "duplicate_syn"
    """A copy that waited in a buffer with its original, just sent on."""

    BACKLOG = "backlog"
    """A SYN that waited through a pause; its client has gone on."""


class ResetReason(str, enum.Enum):
    """Why a client was told that its flow has ended."""

    NO_ROUTE = "no_route"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_DOWN = "endpoint_down"
    """Segments went unanswered and then a health check did."""

    ENDPOINT_GONE = "endpoint_gone"
    """The endpoint has left the directory and answers no more."""

    ZONE_DRAINED = "zone_drained"
    """Every endpoint of the service is in a zone that is drained."""

    WARMING_UP = "warming_up"
    """Every endpoint that is left warms up and has its share of flows."""


class PlacementReason(str, enum.Enum):
    """Why a new flow went where it went."""

    OWN_ZONE = "own_zone"
    OTHER_ZONE = "other_zone"
    """The own zone has no endpoint with room."""

    RETRY = "retry"
    """A copy of a SYN: another endpoint than the one that did not answer."""

    LAST_RESORT = "last_resort"
    """Every endpoint is doubted; the least doubtful one is tried."""


class CheckReason(str, enum.Enum):
    """Why an endpoint was asked for its health."""

    REPEATED = "repeated"
    """A client sent a SYN or data again."""

    UNOPENED = "unopened"
    """A client did not go on after its SYN."""

    SILENT = "silent"
    """A request went unanswered for unusually long."""

    LAPSED = "lapsed"
    """Its entry has vanished from the directory."""

    MISSING = "missing"
    """Its entry has not come back."""

    REPORTED = "reported"
    """Another VM finds it down."""

    TOLD = "told"
    """A reader of the zone finds it down, and flows go to it here."""

    UNANSWERED = "unanswered"
    """The check before went unanswered."""

    UNSURE = "unsure"
    """The check before said nothing, by this VM's own fault."""

    DOWN = "down"
    """It was down a while ago."""

    REVIVED = "revived"
    """It was down, and a client has received something from it."""

    REACH = "reach"
    """The VM's zone is drained, and no client of another zone's endpoints has
    gone on."""

    CONTROL = "control"
    """Beside another one's check, to tell whose fault a timeout is."""


class EnvelopeFault(str, enum.Enum):
    """Why an envelope or control message was thrown away."""

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
    """No endpoint had room within the hold."""

    CALLER_LIMIT = "caller_limit"
    """The caller, or its network, already has its share of held flows."""

    HOLD_FULL = "hold_full"
    NO_ENDPOINT = "no_endpoint"
    """No endpoint of the service takes new flows."""

    RETRY_SPENT = "retry_spent"
    """The endpoint did not answer and the retry budget is spent."""

    DRAINING = "draining"
    FLOW_TABLE_FULL = "flow_table_full"
    NO_RELAY = "no_relay"
    """No VM that is known has a relay; the agent of one answers."""


class RetryReason(str, enum.Enum):
    """Why a flow's first packets were tried at another endpoint."""

    UNANSWERED = "unanswered"


class RepathReason(str, enum.Enum):
    """Why a flow got a new path to its upstream."""

    SILENT = "silent"
    ADOPTED = "adopted"
    TRANSFERRED = "transferred"
    CALLER_MOVED = "caller_moved"


class ForwardReason(str, enum.Enum):
    """Why a datagram was passed to another relay."""

    OWNER = "owner"
    HOLDER = "holder"
    ASK = "ask"
    RETURNED = "returned"
    NOT_READY = "not_ready"
    """A new flow, by an owner whose beliefs are too old to open it."""

    STANDBY = "standby"
    """By an agent whose relay is silent."""


class ManifestOutcome(str, enum.Enum):
    """What became of a manifest that was offered."""

    ACCEPTED = "accepted"
    OLDER = "older"
    KNOWN = "known"
    CONFLICT_LOST = "conflict_lost"
    CONFLICT = "conflict"
    """One version came with two contents; counted besides the outcome."""

    INVALID = "invalid"


@attrs.frozen
class CounterDefinition:
    """A counter: its name, unit, meaning and the reasons it tells apart."""

    name: str
    unit: str
    description: str
    reasons: tuple[str, ...] = ("",)


def _all(reasons: type[enum.Enum]) -> tuple[str, ...]:
    return tuple(reason.value for reason in reasons)


DROPS = CounterDefinition(
    "drops", "{datagram}", "Datagrams dropped.", _all(DropReason)
)
ENVELOPE_FAULTS = CounterDefinition(
    "envelope_faults",
    "{message}",
    "Envelopes and control messages dropped.",
    _all(EnvelopeFault),
)
REFUSALS = CounterDefinition(
    "refusals", "{flow}", "New flows refused.", _all(RefusalReason)
)
RETRIES = CounterDefinition(
    "retries",
    "{flow}",
    "First packets tried at another endpoint.",
    _all(RetryReason),
)
REPATHS = CounterDefinition(
    "repaths", "{flow}", "Flows given a new path.", _all(RepathReason)
)
FORWARDS = CounterDefinition(
    "forwards",
    "{datagram}",
    "Datagrams passed to another relay.",
    _all(ForwardReason),
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
    "resets", "{flow}", "Flows ended towards the client.", _all(ResetReason)
)
PLACEMENTS = CounterDefinition(
    "placements",
    "{flow}",
    "Flows placed by the packets' token.",
    _all(PlacementReason),
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
    "manifests", "{manifest}", "Manifests offered.", _all(ManifestOutcome)
)
PROBES = CounterDefinition(
    "probes", "{probe}", "Endpoint probes.", ("answered", "failed", "malformed")
)
CHECKS = CounterDefinition(
    "checks",
    "{check}",
    "Endpoints asked for their health, controls among them.",
    _all(CheckReason),
)
EJECTIONS = CounterDefinition(
    "ejections",
    "{endpoint}",
    "Endpoints kept from new flows as they failed requests.",
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
    EJECTIONS,
    RESETS,
    PLACEMENTS,
    SEGMENTS,
)
