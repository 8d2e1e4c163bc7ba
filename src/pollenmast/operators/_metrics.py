"""OpenTelemetry metrics in the text format that Prometheus scrapes."""

from collections.abc import Callable, Iterable

import attrs
import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource

from pollenmast.counters import CATALOGUE, CounterDefinition

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

Values = dict[tuple[str, str], int]


@attrs.frozen
class Gauges:
    """The current values of all gauges.

    Attributes:
        flows: Flows carried by the relay.
        held: Flows whose first packets are held.
        replicas: Flow records kept for other relays.
        members: Number of VMs by state.
        manifest_version: The version in force, 0 without one.
        manifest_age_s: Seconds since it came into force, 0 without one.
    """

    flows: int
    held: int
    replicas: int
    members: dict[str, int]
    manifest_version: int
    manifest_age_s: float


_GAUGES = (
    ("flows", "{flow}", "Flows carried by the relay."),
    ("held", "{flow}", "Flows whose first packets are held."),
    ("replicas", "{record}", "Flow records kept for other relays."),
    ("manifest_version", "{version}", "Version of the manifest in force."),
    ("manifest_age_s", "s", "Time since the manifest came into force."),
)


class Metrics:
    """The metrics of a VM: all counters of both programs, and the gauges."""

    def __init__(
        self,
        counters: Callable[[], dict[str, Values]],
        gauges: Callable[[], Gauges],
    ):
        """Registers all instruments.

        Args:
            counters: Returns the counter values of each program by the
                program's name; a missing counter is exported as zero.
            gauges: Returns the current gauge values.
        """
        self._counters = counters
        self._gauges = gauges
        reader = PrometheusMetricReader(disable_target_info=True)
        # An explicit resource: detecting one would start threads.
        provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource({}),
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter("pollenmast")
        for definition in CATALOGUE:
            self._register(definition)
        for name, unit, description in _GAUGES:
            self._register_gauge(name, unit, description)
        self._meter.create_observable_gauge(
            "pollenmast_members",
            [self._members],
            "{vm}",
            "VMs of the fleet, by believed state.",
        )

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()

    def _register(self, definition: CounterDefinition) -> None:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            for program, values in self._counters().items():
                for reason in definition.reasons:
                    labels = {"program": program}
                    if reason:
                        labels["reason"] = reason
                    value = values.get((definition.name, reason), 0)
                    yield Observation(value, labels)

        self._meter.create_observable_counter(
            f"pollenmast_{definition.name}",
            [observe],
            definition.unit,
            definition.description,
        )

    def _register_gauge(self, name: str, unit: str, description: str) -> None:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(getattr(self._gauges(), name))

        self._meter.create_observable_gauge(
            f"pollenmast_{name}".removesuffix("_s"),
            [observe],
            unit,
            description,
        )

    def _members(self, _: CallbackOptions) -> Iterable[Observation]:
        for state, count in self._gauges().members.items():
            yield Observation(count, {"state": state})
