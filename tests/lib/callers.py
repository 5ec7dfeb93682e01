"""Clients for functional tests."""

from __future__ import annotations

import json
import queue
import threading
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import Any

from standins.cluster import (
    LAYER_COUNT,
    PIPELINE,
    SERVICE,
    Event,
    caller_headers,
    stream_generate,
)
from standins.engine import expected_tokens

WAIT_S = 20.0


@dataclass(frozen=True)
class Answer:
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: Any

    @property
    def outcome(self) -> str:
        """The outcome from the header; empty if there is none."""
        return self.headers.get("Railfold-Outcome", "")


def send(
    url: str,
    body: Any = None,
    *,
    method: str = "POST",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request and return its answer, whatever its status."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        url,
        data=None if method == "GET" else data,
        headers=caller_headers() if headers is None else headers,
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=60.0) as response:
            return _answer(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return _answer(error.code, error.headers, error.read())


def _answer(status: int, headers: Any, body: bytes) -> Answer:
    is_json = headers.get("Content-Type", "").startswith("application/json")
    return Answer(status, dict(headers), json.loads(body) if is_json else body)


def generate(base_url: str, prompt: str, max_tokens: int, **headers: str) -> Answer:
    """Send a generate request for a JSON answer."""
    return send(
        f"{base_url}/v1/pipelines/{PIPELINE}/generate",
        {"prompt": prompt, "max_tokens": max_tokens},
        headers=caller_headers(**headers),
    )


def log_slip(base_url: str, slip: str, **headers: str) -> Answer:
    """Send the request to the plain service that must not be repeated."""
    return send(
        f"{base_url}/v1/services/{SERVICE}/slips/{slip}",
        {"defect": "crack"},
        headers=caller_headers(**headers),
    )


class StreamCaller:
    """A client that reads a streamed answer in its own thread."""

    def __init__(
        self, base_url: str, prompt: str, max_tokens: int, **headers: str
    ) -> None:
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.token_ids: list[int] = []
        self.outcome: dict[str, Any] = {}
        self.error: Exception | None = None
        self._events: queue.Queue[Event] = queue.Queue()
        self._thread = threading.Thread(
            target=self._run, args=(base_url, headers), daemon=True
        )
        self._thread.start()

    def _run(self, base_url: str, headers: dict[str, str]) -> None:
        try:
            for event in stream_generate(
                base_url, self.prompt, self.max_tokens, **headers
            ):
                if event.name == "tokens":
                    self.token_ids += event.data["token_ids"]
                else:
                    self.outcome = event.data
                self._events.put(event)
        except Exception as error:
            self.error = error

    def wait_for_tokens(self, count: int) -> None:
        """Wait until at least ``count`` tokens have arrived."""
        while len(self.token_ids) < count:
            self._events.get(timeout=WAIT_S)

    def finish(self) -> None:
        """Wait until the answer has ended."""
        self._thread.join(WAIT_S)
        assert not self._thread.is_alive(), "the answer didn't end"

    def assert_complete(self) -> None:
        """Check that the answer has all expected tokens, and its outcome."""
        self.finish()
        assert self.error is None
        assert self.outcome.get("outcome") == "answered", self.outcome
        expected = expected_tokens(self.prompt, LAYER_COUNT, self.max_tokens)
        assert self.token_ids == expected
