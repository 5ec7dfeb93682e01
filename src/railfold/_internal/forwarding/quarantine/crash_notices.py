"""Converts crashes to and from messages, which give times as ages.

Clocks of different hosts differ, so that times themselves can't be compared.
"""

from __future__ import annotations

from collections.abc import Sequence

from railfold._internal.decisions.quarantine import (
    Crash,
    Quarantine,
    RequestContent,
)
from railfold._internal.forwarding.peers.peer_messages import (
    CrashesNotice,
    CrashNotice,
)
from railfold._internal.forwarding.quarantine.crash_watch import InterruptedRun

__all__ = [
    "age_ms",
    "content_from_notice",
    "crashes_from_notice",
    "crashes_notice",
    "most_suspicious",
]

# The maximum number of contents, and of prompt parts, that are announced when a server
# crashes. Each takes a datagram.
_MAX_CONTENTS_SENT = 8
_MAX_PROMPT_PARTS_SENT = 8


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
        content.digest,
        content.service,
        content.route,
        content.workspace,
        notices,
        content.is_prompt_part,
    )


def content_from_notice(message: CrashesNotice) -> RequestContent:
    """Return the content or prompt part that a message is about."""
    return RequestContent(
        message.digest,
        message.service,
        message.route,
        message.workspace,
        message.prompt_part,
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


def most_suspicious(
    runs: Sequence[InterruptedRun], quarantine: Quarantine
) -> list[RequestContent]:
    """Return the contents and prompt parts to announce, most suspicious first.

    Those with more known crashes come first, then prompt parts that never succeeded,
    then those whose runs had produced no event, then those whose runs began last.
    """

    def suspicion(
        suspect: tuple[RequestContent, InterruptedRun],
    ) -> tuple[int, bool, bool, float]:
        content, run = suspect
        return (
            len(quarantine.crashes_of(content.digest)),
            content.is_prompt_part and not quarantine.has_succeeded(content.digest),
            run.details.events_duration_s == 0.0,
            run.details.began_s,
        )

    suspects = [(content, run) for run in runs for content in run.suspects]
    ordered = dict.fromkeys(
        content for content, _ in sorted(suspects, key=suspicion, reverse=True)
    )
    contents = [content for content in ordered if not content.is_prompt_part]
    prompt_parts = [content for content in ordered if content.is_prompt_part]
    return contents[:_MAX_CONTENTS_SENT] + prompt_parts[:_MAX_PROMPT_PARTS_SENT]
