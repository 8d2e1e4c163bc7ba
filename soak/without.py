"""Runs a VM with one protection disabled, to prove that the soak detects it.

`python -m soak.without NAME` runs a VM; each NAME disables one protection.
"""

import os
import sys

from result import Ok

from pollenmast.entry import ADMISSION_VARIABLE, _follow
from pollenmast.platform import __main__ as program
from pollenmast.platform import _first_read, _probe, _store
from pollenmast.steering import CheckResult, _catalog


def _doubt_only() -> None:
    """Treats an endpoint that seems silent as dead without checking it."""

    async def refused(self, endpoint, path, extra_s):
        return CheckResult.REFUSED

    _probe.EndpointProbe.check = refused


def _no_draining() -> None:
    """Lets draining endpoints get new flows."""

    def serving(self, service):
        return [r for r in self.records if r.endpoint.service == service]

    _catalog.Catalog.serving = serving


def _no_proof() -> None:
    """Lets a watch stay silent forever, without a read of the VM's own."""
    _follow.WATCH_TIMEOUT_S = 60.0
    _follow.STALE_FRACTION = 1000.0


def _no_epoch() -> None:
    """Treats revisions of a restored store as those of the store before."""
    for module in (_first_read, _store):
        module.read_epoch = lambda headers: Ok(1)


def _no_admission() -> None:
    """Places every flow immediately, however many are in progress."""
    os.environ[ADMISSION_VARIABLE] = "all"


PROTECTIONS = {
    "admission": _no_admission,
    "checks": _doubt_only,
    "draining": _no_draining,
    "epoch": _no_epoch,
    "proof-of-life": _no_proof,
}


if __name__ == "__main__":
    PROTECTIONS[sys.argv[1]]()
    sys.exit(program.main())
