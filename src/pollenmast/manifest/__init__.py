"""The manifest: data model, validation, JSON schema and diff."""

from pollenmast.manifest._diff import Difference, Effect, differences
from pollenmast.manifest._faults import MAX_FAULTS, ManifestFault
from pollenmast.manifest._key import ManifestKey
from pollenmast.manifest._model import (
    Endpoint,
    EndpointState,
    Limits,
    Manifest,
    Service,
    ServiceKind,
)
from pollenmast.manifest._shapes import Array, Field, Object
from pollenmast.manifest._text import (
    MANIFEST,
    MAX_BYTES,
    digest,
    parse,
    render,
    schema,
)

__all__ = [
    "MANIFEST",
    "MAX_BYTES",
    "MAX_FAULTS",
    "Array",
    "Difference",
    "Effect",
    "Endpoint",
    "EndpointState",
    "Field",
    "Limits",
    "Manifest",
    "ManifestFault",
    "ManifestKey",
    "Object",
    "Service",
    "ServiceKind",
    "differences",
    "digest",
    "parse",
    "render",
    "schema",
]
