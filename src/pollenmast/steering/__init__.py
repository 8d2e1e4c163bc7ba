"""Steers packets to the endpoint whose token they carry, without any I/O."""

from pollenmast.steering._attributes import (
    is_integer,
    is_name,
    is_text,
    valid_host,
    valid_max_conns,
    valid_priority,
    valid_time_ms,
    valid_time_s,
)
from pollenmast.steering._catalog import Catalog
from pollenmast.steering._changes import (
    START_POSITION,
    Change,
    Directory,
    DirectoryFault,
    EndpointAnnounced,
    EndpointRemoved,
    RefusedEntry,
    RoutesDelta,
    RoutesPublished,
    Update,
    ZoneDrained,
    ZoneRestored,
)
from pollenmast.steering._cold_limit import ColdAllowance, ColdLimit
from pollenmast.steering._core import Applied, Steering
from pollenmast.steering._drains import Drains
from pollenmast.steering._health import CheckResult, Health
from pollenmast.steering._load import EndpointLoads, Rates
from pollenmast.steering._load_signs import LoadSigns
from pollenmast.steering._members import Members
from pollenmast.steering._model import (
    NO_START_STATED,
    Endpoint,
    EndpointIdentity,
    FlowKey,
    InvalidEndpointError,
    Route,
    RouteTable,
    Segment,
    Warmup,
    WeightedService,
)
from pollenmast.steering._outcomes import (
    Drop,
    Forward,
    Held,
    Outcome,
    Released,
    Reset,
)
from pollenmast.steering._outliers import Failures, Outliers
from pollenmast.steering._position import Position
from pollenmast.steering._reach import Reach
from pollenmast.steering._record import Presence, Record

__all__ = [
    "NO_START_STATED",
    "START_POSITION",
    "Applied",
    "Catalog",
    "Change",
    "CheckResult",
    "ColdAllowance",
    "ColdLimit",
    "Directory",
    "DirectoryFault",
    "Drains",
    "Drop",
    "Endpoint",
    "EndpointAnnounced",
    "EndpointIdentity",
    "EndpointRemoved",
    "Failures",
    "FlowKey",
    "Forward",
    "Health",
    "Held",
    "EndpointLoads",
    "LoadSigns",
    "InvalidEndpointError",
    "Members",
    "Outcome",
    "Outliers",
    "Position",
    "Presence",
    "Rates",
    "Reach",
    "Record",
    "RefusedEntry",
    "Released",
    "Reset",
    "Route",
    "RouteTable",
    "RoutesDelta",
    "RoutesPublished",
    "Segment",
    "WeightedService",
    "Steering",
    "Update",
    "Warmup",
    "ZoneDrained",
    "ZoneRestored",
    "is_integer",
    "is_name",
    "is_text",
    "valid_host",
    "valid_max_conns",
    "valid_priority",
    "valid_time_ms",
    "valid_time_s",
]
