"""Which requests are held back because each backend server that runs them ends."""

from railfold._internal.decisions.quarantine.contents import (
    UNKNOWN_VERSION,
    Content,
    Crash,
    QuarantineChange,
    QuarantineState,
    Standing,
)
from railfold._internal.decisions.quarantine.quarantine import Quarantine

__all__ = [
    "UNKNOWN_VERSION",
    "Content",
    "Crash",
    "Quarantine",
    "QuarantineChange",
    "QuarantineState",
    "Standing",
]
