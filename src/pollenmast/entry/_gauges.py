"""The current state of a VM as gauges."""

import math

import attrs

from pollenmast.steering import Steering


@attrs.frozen
class Gauge:
    """The current value of one gauge.

    Attributes:
        name: Name in lower case with underscores, with the unit if it has one.
        description: The meaning of the value, for operators.
        value: The value, or NaN if there is none.
    """

    name: str
    description: str
    value: float


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
    ]
