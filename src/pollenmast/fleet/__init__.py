"""Data types of the fleet's VMs and its endpoints."""

from pollenmast.fleet._model import (
    EndpointLoad,
    EndpointReport,
    Vm,
    VmState,
)

__all__ = ["EndpointLoad", "EndpointReport", "Vm", "VmState"]
