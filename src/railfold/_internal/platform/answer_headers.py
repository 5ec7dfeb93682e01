"""Names of the platform's own headers in answers, and who reads them.

A name that isn't listed is new on the platform: it may state a bound that entries have
to keep, so that it is told rather than passed over.
"""

from __future__ import annotations

from collections.abc import Iterable

from railfold._internal.forwarding.messages import Header

__all__ = ["IGNORED_HEADERS", "READ_HEADERS", "unlisted_headers"]

# Of backend servers' answers; read where requests and health checks are translated.
READ_HEADERS = frozenset(
    {
        "at-server",
        "railfold-attempt-id",
        "railfold-not-executed",
        "railfold-response-seal",
        "server-leaving",
        "server-limit",
    }
)

# Passed on to clients, and not needed here: who answers a health check is told by the
# check's address and start; which weights ran is part of the answer.
IGNORED_HEADERS = frozenset({"railfold-instance-id", "railfold-weight-versions"})

_LISTED_HEADERS = READ_HEADERS | IGNORED_HEADERS

# How the platform's own names begin.
_PLATFORM_PREFIXES = ("railfold-", "server-", "at-")


def unlisted_headers(headers: Iterable[Header]) -> list[str]:
    """Return the names of the platform's own headers that aren't listed here."""
    names = (name.lower() for name, _ in headers)
    return [
        n
        for n in names
        if n.startswith(_PLATFORM_PREFIXES) and n not in _LISTED_HEADERS
    ]
