"""The operators' HTTP API: status, metrics, health and readiness."""

from pollenmast.operators._metrics import Gauges, Metrics
from pollenmast.operators._site import Knowledge, Site
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
    "Knowledge",
    "ManifestStatus",
    "MemberStatus",
    "Metrics",
    "PlatformStatus",
    "RelayStatus",
    "Site",
    "Status",
    "VmStatus",
    "to_json",
]
