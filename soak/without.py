"""The program of a VM without one of its protections: has the soak teeth?

`python -m soak.without NAME` runs a VM; each NAME takes one protection out.
"""

import sys

from pollenmast.entry import _follow
from pollenmast.platform import __main__ as program
from pollenmast.platform import _packet
from pollenmast.steering import Reset, Steering, _catalog
from pollenmast.steering._core import ResetReason


def _reset_unknown() -> None:
    """A packet whose endpoint is not known is answered by a reset."""
    decide = Steering._decide

    def replaced(self, segment, now):
        known = self._catalog.by_token(segment.token) is not None
        if segment.syn or known:
            return decide(self, segment, now)
        reason = ResetReason.ENDPOINT_GONE
        return Reset(segment.flow, segment.acknowledged, reason, "")

    Steering._decide = replaced


def _any_endpoint() -> None:
    """Packets do not name the endpoint that they are meant for."""
    for_endpoint = _packet.PlatformPackets.for_endpoint

    def replaced(self, segment, endpoint):
        return bytes(8) + for_endpoint(self, segment, endpoint)[8:]

    _packet.PlatformPackets.for_endpoint = replaced


def _no_proof() -> None:
    """A watch may be silent for ever, and nobody asks for himself."""
    _follow.WATCH_S = 60.0
    _follow.STALE_PART = 1000.0


def _no_lapse() -> None:
    """An entry that vanishes counts as gone at once, without a check."""
    _catalog.LAPSE_S = 0.0
    remove = _catalog.Catalog._remove

    def replaced(self, name, revision, now):
        records = remove(self, name, revision, now)
        for record in records:
            record.presence = _catalog.Presence.GONE
        return records

    _catalog.Catalog._remove = replaced


PROTECTIONS = {
    "unknown-tokens": _reset_unknown,
    "endpoint-ids": _any_endpoint,
    "proof-of-life": _no_proof,
    "lapses": _no_lapse,
}


if __name__ == "__main__":
    PROTECTIONS[sys.argv[1]]()
    sys.exit(program.main())
