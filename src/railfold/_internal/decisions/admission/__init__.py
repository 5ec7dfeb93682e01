"""Who gets scarce room, who waits for it, and who hears at once that there is none."""

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
    RoomShares,
    ServedShares,
    Standing,
    max_min_level,
)
from railfold._internal.decisions.admission.waiting import (
    WaitingRequests,
    room_wait_limit_s,
)

__all__ = [
    "AdmissionLimits",
    "AdmissionQueue",
    "Admitted",
    "Queued",
    "Refused",
    "RoomShares",
    "ServedShares",
    "Standing",
    "Ticket",
    "WaitingRequests",
    "entry_share",
    "max_min_level",
    "pipeline_capacity",
    "room_wait_limit_s",
]
