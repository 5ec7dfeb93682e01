"""Converts crashes to and from messages, which give times as ages.

Clocks of different hosts differ, so that times themselves can't be compared.
"""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.decisions.quarantine import Crash, RequestContent
from railfold._internal.forwarding.peers.peer_messages import (
    CrashesNotice,
    CrashNotice,
)

__all__ = ["age_ms", "crashes_from_notice", "crashes_notice"]


def age_ms(now_s: float, at_s: float) -> int:
    """Return the time since ``at_s`` in whole milliseconds, at least 0."""
    return max(0, int((now_s - at_s) * 1000))


def crashes_notice(
    content: RequestContent, crashes: Sequence[Crash], now_s: float
) -> CrashesNotice:
    """Return the message that announces the crashes of a content."""
    notices = [
        CrashNotice(
            crash.server_id,
            age_ms(now_s, crash.began_s),
            age_ms(now_s, crash.ended_s),
            crash.version,
            crash.after_event,
            crash.silent,
        )
        for crash in crashes
    ]
    return CrashesNotice(
        content.digest, content.service, content.route, content.workspace, notices
    )


def crashes_from_notice(message: CrashesNotice, now_s: float) -> list[Crash]:
    """Return the crashes in a message, with times on the clock of this process."""
    return [
        Crash(
            notice.server_id,
            now_s - notice.began_ago_ms / 1000.0,
            now_s - notice.ended_ago_ms / 1000.0,
            notice.version,
            notice.after_event,
            notice.silent,
        )
        for notice in message.crashes
    ]
