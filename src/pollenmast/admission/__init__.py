"""Admission control: which flows are placed, held or refused, without I/O.

The package is used by `steering` and by `decisions` and imports neither.
"""

from pollenmast.admission._admission import Admission
from pollenmast.admission._credits import OCCUPANCY_PER_SLOT, allocate
from pollenmast.admission._fairness import FairQueue, HeldFlow
from pollenmast.admission._in_progress import RequestsInProgress
from pollenmast.admission._model import (
    AdmissionSettings,
    Admit,
    AdmitReason,
    EndpointView,
    FlowArrival,
    Hold,
    Refuse,
    RefuseReason,
    Release,
    ServiceStatus,
)
from pollenmast.admission._retry import RetryBudget
from pollenmast.admission._token_bucket import TokenBucket

__all__ = [
    "OCCUPANCY_PER_SLOT",
    "Admission",
    "AdmissionSettings",
    "Admit",
    "AdmitReason",
    "EndpointView",
    "FairQueue",
    "FlowArrival",
    "HeldFlow",
    "Hold",
    "Refuse",
    "RefuseReason",
    "Release",
    "RequestsInProgress",
    "RetryBudget",
    "ServiceStatus",
    "TokenBucket",
    "allocate",
]
