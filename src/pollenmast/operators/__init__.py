"""The operators' HTTP API: status, metrics, health and readiness."""

from pollenmast.operators._metrics import Gauges, Metrics
from pollenmast.operators._site import Site, StatusProvider
from pollenmast.operators._status import (
    CounterStatus,
    EndpointStatus,
    ManifestStatus,
    MemberStatus,
    PlatformStatus,
    RelayStatus,
    Status,
    VmStatus,
    to_json,
)

__all__ = [
    "CounterStatus",
    "EndpointStatus",
    "Gauges",
    "ManifestStatus",
    "MemberStatus",
    "Metrics",
    "PlatformStatus",
    "RelayStatus",
    "Site",
    "Status",
    "StatusProvider",
    "VmStatus",
    "to_json",
]
