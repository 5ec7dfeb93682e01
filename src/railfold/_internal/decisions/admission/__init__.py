"""Admission control: starts, queues or refuses requests when capacity is scarce."""

from railfold._internal.decisions.admission.queue import (
    AdmissionLimits,
    AdmissionQueue,
    Admitted,
    Queued,
    Refused,
    Ticket,
    entry_share,
    pipeline_capacity,
)
from railfold._internal.decisions.admission.shares import (
    PriorityShedder,
    ServedShares,
    SheddingDecision,
    max_min_fair_share,
)
from railfold._internal.decisions.admission.waiting import (
    WaitingRequests,
    capacity_wait_limit_s,
)

__all__ = [
    "AdmissionLimits",
    "AdmissionQueue",
    "Admitted",
    "PriorityShedder",
    "Queued",
    "Refused",
    "ServedShares",
    "SheddingDecision",
    "Ticket",
    "WaitingRequests",
    "capacity_wait_limit_s",
    "entry_share",
    "max_min_fair_share",
    "pipeline_capacity",
]
