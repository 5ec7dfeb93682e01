"""The platform's own headers in answers of backend servers.

A header that isn't listed here is new on the platform. It may state a limit that
entries must respect, so entries report it rather than ignore it.
"""

from __future__ import annotations

from collections.abc import Iterable

from railfold._internal.forwarding.messages import Header

__all__ = ["IGNORED_HEADERS", "READ_HEADERS", "unlisted_headers"]

# Read by the dialect, which translates answers to requests and health checks.
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

# Passed on to clients, but not needed here: the address and the start time in a health
# check identify the server, and the version of the weights only matters to the client.
IGNORED_HEADERS = frozenset({"railfold-instance-id", "railfold-weight-versions"})

_LISTED_HEADERS = READ_HEADERS | IGNORED_HEADERS

# Prefixes of the platform's own header names.
_PLATFORM_PREFIXES = ("railfold-", "server-", "at-")


def unlisted_headers(headers: Iterable[Header]) -> list[str]:
    """Return the lower-case names of platform headers that aren't listed here."""
    names = (name.lower() for name, _ in headers)
    return [
        n
        for n in names
        if n.startswith(_PLATFORM_PREFIXES) and n not in _LISTED_HEADERS
    ]
