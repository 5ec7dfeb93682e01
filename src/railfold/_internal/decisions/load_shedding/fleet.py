"""Which entries are barred from all servers of a service.

A server that sheds load answers one entry. A client that this entry has to refuse may
be served by another entry at once, unless that one is barred too.
"""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["BarredEntries"]

# A refused client meets another entry by chance. With fewer of them able to serve it is
# more likely refused again than served.
_MIN_ABLE_SHARE = 0.5


class BarredEntries:
    """The other entries that can't send to any server of a service now.

    What isn't announced isn't known: such an entry counts as able to serve.
    """

    def __init__(self) -> None:
        self._until_s: dict[tuple[str, str], float] = {}

    def announced(self, entry: str, service: str, until_s: float) -> None:
        """Take an entry's notice that it is barred until then."""
        self._until_s[entry, service] = until_s

    def others_serve(self, service: str, others: Iterable[str], now_s: float) -> bool:
        """Return whether a client does better to ask another entry at once."""
        names = list(others)
        able = [n for n in names if self._until_s.get((n, service), now_s) <= now_s]
        return bool(able) and len(able) >= _MIN_ABLE_SHARE * len(names)

    def forget(self, now_s: float) -> None:
        """Forget notices that have run out."""
        live = {key: until for key, until in self._until_s.items() if until > now_s}
        self._until_s = live
