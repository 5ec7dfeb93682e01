"""Client of the platform's list of live and leaving hosts.

The list is delayed and may be unavailable; the last copy then stays in use. Only this
module depends on the service's protocol.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from tornado.httpclient import HTTPError

from railfold._internal.core import parse_address
from railfold._internal.decisions.backoff import Backoff
from railfold._internal.decisions.membership import ListedHost
from railfold._internal.decoding import decode_json
from railfold._internal.observability.metrics import Metrics
from railfold._internal.store.http import CONNECT_TIMEOUT_S, HttpClient

__all__ = ["HostListPoller"]


class _HostRecord(msgspec.Struct, frozen=True):
    host: str
    address: str
    state: str


class _HostList(msgspec.Struct, frozen=True):
    hosts: list[_HostRecord]


class HostListPoller:
    """Supervised child that passes the list to ``on_list`` at intervals."""

    def __init__(
        self,
        url: str,
        http: HttpClient,
        on_list: Callable[[tuple[ListedHost, ...]], None],
        metrics: Metrics,
        interval_s: float,
        timeout_s: float,
    ) -> None:
        self._url = url
        self._http = http
        self._on_list = on_list
        self._metrics = metrics
        self._interval_s = interval_s
        self._timeout_s = timeout_s
        self._backoff = Backoff(max_s=interval_s)

    async def run(self, ready: asyncio.Event) -> None:
        """Poll the list until cancelled."""
        ready.set()
        failures = 0
        while True:
            try:
                self._on_list(await self._read())
                failures = 0
                await asyncio.sleep(self._interval_s)
            except (HTTPError, OSError, ValueError, msgspec.DecodeError):
                failures += 1
                self._metrics.count("hosts.read_failures")
                await asyncio.sleep(self._backoff.delay_s(failures))

    async def _read(self) -> tuple[ListedHost, ...]:
        response = await self._http.fetch(
            self._url,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self._timeout_s,
        )
        hosts = decode_json(response.body, _HostList).hosts
        return tuple(
            ListedHost(
                record.host,
                str(parse_address(record.address)),
                leaving=record.state == "leaving",
            )
            for record in hosts
        )
