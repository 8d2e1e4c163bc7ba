"""The baseline: random placement, no limits, no hold, no evidence."""

import random

from pollenmast.counters import RefusalReason
from pollenmast.decisions import Placed, Refused
from pollenmast.manifest import EndpointState, Manifest


class RandomDispatcher:
    """Places each flow at a random serving endpoint of the manifest."""

    def __init__(self, zone: str, rng: random.Random):
        self._rng = rng
        self._names: list[str] = []

    def set_manifest(self, manifest: Manifest, now: float) -> None:
        """Takes the names of the serving endpoints."""
        self._names = [
            endpoint.name
            for endpoint in manifest.services[0].endpoints
            if endpoint.state is EndpointState.SERVING
        ]

    def set_fleet(self, relays: int) -> None:
        """Has no use for it."""

    def on_report(self, report, now: float) -> None:
        """Has no use for it."""

    def on_new_flow(self, request, now: float) -> Placed:
        """Places it anywhere."""
        return Placed(self._rng.choice(self._names), False, "random")

    def release(self, now: float) -> list:
        """Holds nothing."""
        return []

    def on_answered(self, service: int, endpoint: str, now: float) -> None:
        """Has no use for it."""

    def on_flow_ended(self, service: int, endpoint: str, now: float) -> None:
        """Has no use for it."""

    def on_unanswered(self, service: int, endpoint: str, now: float) -> None:
        """Has no use for it."""

    def retry(self, request, tried, now: float) -> Placed | Refused:
        """Tries another one, without a budget."""
        others = [name for name in self._names if name not in tried]
        if not others:
            return Refused(RefusalReason.NO_ENDPOINT, 1000)
        return Placed(self._rng.choice(others), False, "random")
