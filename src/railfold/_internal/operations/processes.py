"""Inspection and drain of running processes through their operator ports."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import urlencode

import msgspec
from tornado.httpclient import HTTPError

from railfold._internal.decoding import decode_json
from railfold._internal.errors import ProcessUnreachableError, VersionNotInForceError
from railfold._internal.store.http import HttpClient

__all__ = ["drain", "explain", "fetch", "wait_until_in_force"]

_TIMEOUT_S = 5.0
_POLL_S = 0.1


async def fetch(http: HttpClient, url: str, path: str) -> Any:
    """Return the decoded JSON at a path of an operator port.

    :raises ProcessUnreachableError: the process doesn't answer, or not in JSON.
    """
    try:
        response = await http.fetch(f"{url}{path}", request_timeout=_TIMEOUT_S)
    except (HTTPError, OSError) as error:
        raise ProcessUnreachableError(
            f"the process at {url} doesn't answer",
            why=str(error),
            hint="check the address of its operator port",
        ) from error
    try:
        return decode_json(response.body, object)
    except msgspec.DecodeError as error:
        raise ProcessUnreachableError(
            f"the answer of the process at {url} isn't JSON", why=str(error)
        ) from error


async def drain(http: HttpClient, url: str) -> None:
    """Start the drain of a process.

    :raises ProcessUnreachableError: the process doesn't answer.
    """
    try:
        await http.fetch(
            f"{url}/v1/drain", method="POST", body=b"", request_timeout=_TIMEOUT_S
        )
    except (HTTPError, OSError) as error:
        raise ProcessUnreachableError(
            f"the process at {url} doesn't answer", why=str(error)
        ) from error


async def explain(http: HttpClient, url: str, pipeline: str) -> Any:
    """Return where an entry would send a request of a pipeline, and why.

    :raises ProcessUnreachableError: the entry doesn't answer.
    """
    query = urlencode({"pipeline": pipeline})
    return await fetch(http, url, f"/v1/explain?{query}")


async def wait_until_in_force(
    http: HttpClient, urls: list[str], version: int, timeout_s: float
) -> None:
    """Wait until a configuration version is in force at all entries and their agents.

    :param urls: operator ports of the entries.
    :raises VersionNotInForceError: some of them have an older version after
        ``timeout_s``; the error lists them.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        outdated = [
            description
            for url in urls
            for description in await _describe_outdated(http, url, version)
        ]
        if not outdated:
            return
        if loop.time() >= deadline_s:
            raise VersionNotInForceError(
                f"version {version} isn't in force everywhere",
                why="; ".join(outdated),
                hint="check the listed processes with 'railfold status'",
            )
        await asyncio.sleep(_POLL_S)


async def _describe_outdated(http: HttpClient, url: str, version: int) -> list[str]:
    """Return a text for each process with an older or unknown version.

    Checks an entry and, if the entry has the version, its agents.
    """
    try:
        status = await fetch(http, url, "/v1/status")
    except ProcessUnreachableError as error:
        return [error.what]
    entry_version = status["configuration_version"]
    if entry_version < version:
        return [f"entry {status['name']} is at {entry_version}"]
    return [
        f"agent {agent['host']} is at {agent['configuration_version']}"
        for agent in status["agents"]
        if agent["configuration_version"] < version
    ]
