"""The program of a VM without one of its protections: has the soak teeth?

`python -m soak.without NAME` runs a VM; each NAME takes one protection out.
"""

import sys

from result import Ok

from pollenmast.entry import _follow
from pollenmast.platform import __main__ as program
from pollenmast.platform import _first_read, _probe, _store
from pollenmast.steering import CheckResult, _catalog


def _doubt_only() -> None:
    """An endpoint that seems silent counts as dead without a check."""

    async def refused(self, endpoint, path, extra_s):
        return CheckResult.REFUSED

    _probe.EndpointProbe.check = refused


def _no_draining() -> None:
    """A leaving endpoint goes on taking new flows."""

    def serving(self, service):
        return [r for r in self.records if r.endpoint.service == service]

    _catalog.Catalog.serving = serving


def _no_proof() -> None:
    """A watch may be silent for ever, and nobody asks for himself."""
    _follow.WATCH_TIMEOUT_S = 60.0
    _follow.STALE_FRACTION = 1000.0


def _no_epoch() -> None:
    """Revisions of a restored store count as those of the one before."""
    for module in (_first_read, _store):
        module.read_epoch = lambda headers: Ok(1)


PROTECTIONS = {
    "checks": _doubt_only,
    "draining": _no_draining,
    "epoch": _no_epoch,
    "proof-of-life": _no_proof,
}


if __name__ == "__main__":
    PROTECTIONS[sys.argv[1]]()
    sys.exit(program.main())
