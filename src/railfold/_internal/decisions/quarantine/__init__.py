"""Decides which requests to hold back because they crash the servers that run them."""

from railfold._internal.decisions.quarantine.models import (
    UNKNOWN_VERSION,
    Crash,
    QuarantineChange,
    QuarantineDecision,
    QuarantineState,
    RequestContent,
    RequestDigests,
)
from railfold._internal.decisions.quarantine.quarantine import Quarantine
from railfold._internal.decisions.quarantine.request_decisions import RequestDecisions

__all__ = [
    "UNKNOWN_VERSION",
    "Crash",
    "Quarantine",
    "QuarantineChange",
    "QuarantineDecision",
    "QuarantineState",
    "RequestContent",
    "RequestDecisions",
    "RequestDigests",
]
