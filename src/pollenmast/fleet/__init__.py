"""The fleet's VMs and its endpoints' reports; no network, no decisions."""

from pollenmast.fleet._model import (
    EndpointLoad,
    EndpointReport,
    Vm,
    VmState,
)

__all__ = ["EndpointLoad", "EndpointReport", "Vm", "VmState"]
