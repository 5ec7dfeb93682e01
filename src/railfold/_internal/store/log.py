"""Client of the platform's append-only log service.

Only this module depends on the service's protocol: JSON over HTTP, streams of records
with offsets, and reads that may wait for new records.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPError

from railfold._internal.decoding import decode_json
from railfold._internal.errors import (
    LogUnavailableError,
    RecordsExpiredError,
    WriteUnsettledError,
)
from railfold._internal.store.http import (
    CONNECT_TIMEOUT_S,
    HttpClient,
    was_never_connected,
)
from railfold._internal.store.records import LogPage

__all__ = ["LogClient"]

_GONE = 410
_SERVER_ERROR = 500
_READ_LIMIT = 1000


class _Appended(msgspec.Struct, frozen=True):
    offsets: list[int]


@dataclass(frozen=True, slots=True)
class LogClient:
    """Reads streams and appends to them; never retries an append by itself.

    :param http: client for reads, which may wait for records.
    :param append_http: client for appends, which don't wait for reads.
    """

    url: str
    http: HttpClient
    append_http: HttpClient
    timeout_s: float

    async def append(self, stream: str, bodies: Sequence[Any]) -> list[int]:
        """Append records in one call; return their offsets.

        :raises LogUnavailableError: the records were not appended.
        :raises WriteUnsettledError: the records may have been appended; reading the
            stream shows whether they were.
        """
        body = msgspec.json.encode({"records": list(bodies)})
        try:
            response = await self.append_http.fetch(
                f"{self.url}/streams/{stream}/records",
                method="POST",
                body=body,
                headers={"Content-Type": "application/json"},
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=self.timeout_s,
            )
            return decode_json(response.body, _Appended).offsets
        except HTTPError as error:
            raise _append_error(error) from error
        except (OSError, msgspec.DecodeError) as error:
            raise WriteUnsettledError(
                "the log's answer to an append was lost", why=str(error)
            ) from error

    async def read(self, stream: str, offset: int, wait_s: float) -> LogPage:
        """Return records from ``offset`` on.

        :param wait_s: for how long to wait for a record if there is none.
        :raises RecordsExpiredError: ``offset`` is before the first retained record.
        :raises LogUnavailableError: the log can't be read now.
        """
        query = urlencode({"from": offset, "limit": _READ_LIMIT, "wait_s": wait_s})
        try:
            response = await self.http.fetch(
                f"{self.url}/streams/{stream}/records?{query}",
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=wait_s + self.timeout_s,
            )
            return decode_json(response.body, LogPage)
        except HTTPError as error:
            if error.code == _GONE:
                raise RecordsExpiredError(
                    f"records of {stream} from offset {offset} have expired",
                    why="the log keeps records for a limited time",
                    hint="start from a checkpoint",
                ) from error
            raise LogUnavailableError(
                f"the log can't be read (stream {stream})", why=str(error)
            ) from error
        except (OSError, msgspec.DecodeError) as error:
            raise LogUnavailableError(
                f"the log can't be read (stream {stream})", why=str(error)
            ) from error


def _append_error(error: HTTPError) -> LogUnavailableError:
    refused = error.code < _SERVER_ERROR
    if refused or was_never_connected(error):
        return LogUnavailableError(
            "the log refused an append", why=str(error), hint="try again later"
        )
    return WriteUnsettledError(
        "the log's answer to an append was lost",
        why=str(error),
        hint="whether it was appended is known once the log can be read again",
    )
