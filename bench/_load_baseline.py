"""Baseline dispatcher.

It places flows at random, without limits or a hold queue, and learns nothing
from the outcome of flows.
"""

import random

from pollenmast.counters import RefusalReason
from pollenmast.decisions import Placed, Refused
from pollenmast.manifest import EndpointState, Manifest


class RandomDispatcher:
    """Places each flow at a random serving endpoint of the manifest.

    Implements the dispatcher's interface; all feedback is ignored.
    """

    def __init__(self, zone: str, rng: random.Random):
        self._rng = rng
        self._names: list[str] = []

    def set_manifest(self, manifest: Manifest, now: float) -> None:
        """Stores the names of the serving endpoints."""
        self._names = [
            endpoint.name
            for endpoint in manifest.services[0].endpoints
            if endpoint.state is EndpointState.SERVING
        ]

    def set_fleet(self, relays: int) -> None:
        """Ignored."""

    def on_report(self, report, now: float) -> None:
        """Ignored."""

    def on_new_flow(self, request, now: float) -> Placed:
        """Places the flow at a random endpoint."""
        return Placed(self._rng.choice(self._names), False, "random")

    def release(self, now: float) -> list:
        """Returns no flows, as none are held."""
        return []

    def on_answered(self, service: int, endpoint: str, now: float) -> None:
        """Ignored."""

    def on_flow_ended(self, service: int, endpoint: str, now: float) -> None:
        """Ignored."""

    def on_unanswered(self, service: int, endpoint: str, now: float) -> None:
        """Ignored."""

    def retry(self, request, tried, now: float) -> Placed | Refused:
        """Places the flow at another endpoint, without a retry budget."""
        others = [name for name in self._names if name not in tried]
        if not others:
            return Refused(RefusalReason.NO_ENDPOINT, 1000)
        return Placed(self._rng.choice(others), False, "random")
