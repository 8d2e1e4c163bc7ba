"""Weighted rendezvous hashing of flows to default endpoints.

Any VM may receive any packet of a flow, even after the VM that carried the
flow has died. Every VM therefore computes the same default endpoint from the
manifest alone. Without a common default, every placement would have to be
replicated, or the flow would break with its VM.

Each endpoint has a score computed from the flow's hash, and the endpoint with
the greatest score is the default. When an endpoint is added or removed, only
its own share of the flows changes its default. Draining endpoints are
included, because their open flows must still be found.
"""

import hashlib
import math

from pollenmast.manifest import Service, ServiceKind

_MASK = (1 << 64) - 1
_SCALE = 2.0**-64


def _seed(service: int, endpoint: str) -> int:
    text = f"{service}/{endpoint}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def mix(value: int) -> int:
    """Returns a 64-bit hash of a 64-bit value (finaliser of splitmix64)."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


class Rendezvous:
    """Computes the default endpoints of one service."""

    def __init__(self, service: Service):
        by_slots = service.kind is ServiceKind.REQUEST
        self._entries = [
            (
                endpoint.name,
                _seed(service.number, endpoint.name),
                endpoint.slots if by_slots else endpoint.connections,
            )
            for endpoint in service.endpoints
        ]
        self._equal_weights = (
            len({weight for _, _, weight in self._entries}) == 1
        )

    def default(self, flow_hash: int) -> str | None:
        """Returns the name of the flow's default endpoint.

        Returns None if the service has no endpoints.
        """
        if not self._entries:
            return None
        if self._equal_weights:
            return max(self._entries, key=lambda e: mix(flow_hash ^ e[1]))[0]
        return max(self._entries, key=lambda e: _score(flow_hash, e))[0]


def _score(flow_hash: int, entry: tuple[str, int, int]) -> float:
    uniform = (mix(flow_hash ^ entry[1]) + 0.5) * _SCALE
    return entry[2] / -math.log(uniform) if uniform < 1.0 else math.inf
