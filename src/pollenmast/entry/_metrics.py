"""Formats metrics as text in the Prometheus exposition format.

OpenTelemetry's SDK with its exporter would produce the same text, but costs
17 MB of memory and 166 ms of CPU time at start: more than the rest of the
program.
"""

import math
from collections.abc import Iterable, Iterator

from pollenmast.counters import (
    BOUNDS_S,
    CATALOGUE,
    HISTOGRAMS,
    Counters,
    Histograms,
)
from pollenmast.entry._gauges import Gauge

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def text(
    counters: Counters, histograms: Histograms, gauges: Iterable[Gauge] = ()
) -> bytes:
    """Returns all metrics in the text format."""
    lines = [
        *_gauges(gauges),
        *_counters(counters),
        *_histograms(histograms),
    ]
    # JSON can contain half a surrogate pair, which UTF-8 cannot represent.
    return "\n".join([*lines, ""]).encode(errors="replace")


def _gauges(gauges: Iterable[Gauge]) -> Iterator[str]:
    # The format allows HELP and TYPE once per name, before all its samples.
    by_name: dict[str, list[Gauge]] = {}
    for gauge in gauges:
        by_name.setdefault(gauge.name, []).append(gauge)
    for samples in by_name.values():
        name = f"pollenmast_{samples[0].name}"
        yield f"# HELP {name} {samples[0].description}"
        yield f"# TYPE {name} gauge"
        for gauge in samples:
            value = "NaN" if math.isnan(gauge.value) else f"{gauge.value:.12g}"
            yield f"{name}{_labels(gauge.labels)} {value}"


def _labels(labels: Iterable[tuple[str, str]]) -> str:
    pairs = [f'{name}="{_escape(value)}"' for name, value in labels]
    return f"{{{','.join(pairs)}}}" if pairs else ""


def _escape(value: str) -> str:
    """Escapes a label's value, which may come from the configuration."""
    text = value.replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")


def _counters(counters: Counters) -> Iterator[str]:
    for definition in CATALOGUE:
        name = f"pollenmast_{definition.name}_total"
        yield f"# HELP {name} {definition.description}"
        yield f"# TYPE {name} counter"
        for reason in definition.reasons:
            labels = f'{{reason="{reason}"}}' if reason else ""
            yield f"{name}{labels} {counters.value(definition, reason)}"


def _histograms(histograms: Histograms) -> Iterator[str]:
    for definition in HISTOGRAMS:
        name = f"pollenmast_{definition.name}_seconds"
        histogram = histograms.get(definition)
        counts = histogram.cumulative()
        yield f"# HELP {name} {definition.description}"
        yield f"# TYPE {name} histogram"
        for bound, count in zip((*BOUNDS_S, "+Inf"), counts, strict=True):
            yield f'{name}_bucket{{le="{bound}"}} {count}'
        yield f"{name}_sum {histogram.sum_s:.6f}"
        yield f"{name}_count {counts[-1]}"
