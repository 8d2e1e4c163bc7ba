"""The current state of a VM as gauges."""

import math
from collections.abc import Callable, Iterable

import attrs

from pollenmast.admission import ServiceStatus
from pollenmast.steering import Steering


@attrs.frozen
class Gauge:
    """The current value of one gauge.

    Attributes:
        name: Name in lower case with underscores, with the unit if it has one.
        description: The meaning of the value, for operators.
        value: The value, or NaN if there is none.
        labels: Names and values of its labels; all gauges of one name have the
            same label names.
    """

    name: str
    description: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


_ServiceGauge = tuple[str, str, Callable[[ServiceStatus], float]]

_SERVICE_GAUGES: tuple[_ServiceGauge, ...] = (
    (
        "requests_in_progress",
        "Requests that the VM has forwarded and that are not answered yet.",
        lambda status: status.in_progress,
    ),
    (
        "credits",
        "Requests that the VM may have in progress before it holds flows.",
        lambda status: status.credits,
    ),
    (
        "held_flows",
        "New flows that are held for lack of capacity.",
        lambda status: status.held,
    ),
    (
        "short_of_capacity",
        "Whether the service is short of capacity on this VM: 1 or 0.",
        lambda status: int(status.overloaded),
    ),
    (
        "service_time_seconds",
        "Estimated time from a request to its answer.",
        lambda status: status.service_time_s,
    ),
)
"""Name, description and value of the gauges of each service."""


def read(steering: Steering, now: float) -> list[Gauge]:
    """Returns the gauges of a VM.

    Args:
        steering: The VM's state.
        now: Current time by the event loop's clock, in seconds.
    """
    table = steering.table
    age_s = steering.age_s(now)
    return [
        Gauge(
            "directory_epoch",
            "Grows each time the directory is restored from a copy.",
            steering.position.epoch,
        ),
        Gauge(
            "directory_revision",
            "The revision of this epoch that the VM knows everything up to.",
            steering.revision,
        ),
        Gauge(
            "configuration_version",
            "The version of the configuration in force.",
            table.version if table is not None else math.nan,
        ),
        Gauge(
            "drained_zones",
            "Availability zones to which the VM sends no new flows.",
            len(steering.catalog.drains.zones),
        ),
        Gauge(
            "beliefs_age_seconds",
            "Since when the directory has confirmed nothing to the VM.",
            age_s if math.isfinite(age_s) else math.nan,
        ),
        *_service_gauges(steering.admission.status(now)),
    ]


def _service_gauges(statuses: Iterable[ServiceStatus]) -> list[Gauge]:
    """Returns the gauges of all services, those of one name in a row."""
    ordered = sorted(statuses, key=lambda status: status.service)
    return [
        Gauge(name, description, value(status), (("service", status.service),))
        for name, description, value in _SERVICE_GAUGES
        for status in ordered
    ]
