"""The manifest: its model, its checks, its schema and its differences."""

from pollenmast.manifest._model import (
    Endpoint,
    EndpointState,
    Limits,
    Manifest,
    Service,
    ServiceKind,
)

__all__ = [
    "Endpoint",
    "EndpointState",
    "Limits",
    "Manifest",
    "Service",
    "ServiceKind",
]
