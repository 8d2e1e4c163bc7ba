"""Runs fleets of other sizes than the patterns' 9 VMs and 7 endpoints."""

import random

import attrs

from bench import _load_measures as measures
from bench._load_callers import SLOTS, ZONES, manifest, steady
from bench._load_model import Fleet
from pollenmast.decisions import Dispatcher

SEED = 3


@attrs.frozen
class Size:
    """Size of a fleet.

    Attributes:
        vms: Number of VMs.
        endpoints: Number of endpoints.
        mean_s: Mean request length in seconds.
    """

    vms: int
    endpoints: int
    mean_s: float


SIZES = tuple(
    Size(vms, endpoints, mean_s)
    for vms in (1, 3, 9, 30)
    for endpoints, mean_s in ((7, 0.05), (3, 0.2))
)

LOADS = (0.3, 0.7, 5.0)


def run_size(size: Size, load: float) -> dict:
    """Returns the callers' results at a load.

    Args:
        size: The size of the fleet.
        load: Offered load as a multiple of the capacity.
    """
    capacity = size.endpoints * SLOTS / size.mean_s
    end = 500.0 * size.mean_s
    dispatchers = [
        Dispatcher(ZONES[vm % len(ZONES)], random.Random(SEED * 1000 + vm))
        for vm in range(size.vms)
    ]
    fleet = Fleet(manifest(endpoints=size.endpoints), dispatchers, SEED)
    steady(
        fleet,
        load * capacity,
        0.0,
        end,
        length=lambda rng: rng.expovariate(1.0 / size.mean_s),
    )
    fleet.loop.run(end + 5.0)
    figures = measures.received(fleet.jobs, 5.0, end)
    del figures["unanswered"]
    figures["finished"] = measures.finished(fleet, 5.0, end, capacity)
    return figures


def run_sizes() -> list[dict]:
    """Returns a row of results for every size and load."""
    return [
        {**attrs.asdict(size), "load": load, **run_size(size, load)}
        for size in SIZES
        for load in LOADS
    ]
