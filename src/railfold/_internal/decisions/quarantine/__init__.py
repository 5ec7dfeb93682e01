"""Decides which requests to hold back because they crash the servers that run them."""

from railfold._internal.decisions.quarantine.models import (
    UNKNOWN_VERSION,
    Crash,
    QuarantineChange,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
)
from railfold._internal.decisions.quarantine.quarantine import Quarantine

__all__ = [
    "UNKNOWN_VERSION",
    "Crash",
    "Quarantine",
    "QuarantineChange",
    "QuarantineDecision",
    "QuarantineState",
    "RequestContent",
]
