"""Validated requests, and the tokens that answer them."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

__all__ = ["GenerateRequest", "ServiceRequest", "Token"]


class Token(msgspec.Struct, frozen=True, array_like=True):
    """One generated token; a msgspec struct, because links send it unconverted.

    :param step: position in the answer, from 0.
    :param text: the token's text.
    :param token_id: the token's index in the model's vocabulary.
    :param final: whether the model ended the answer with this token.
    """

    step: int
    token_id: int
    text: str
    final: bool = False


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request to a model pipeline; ``deadline_s`` is in loop time."""

    request_id: str
    workspace: str
    pipeline: str
    prompt: str
    max_tokens: int
    deadline_s: float
    priority: int = 0
    repeatable: bool = True
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call of a plain service; ``deadline_s`` is in loop time."""

    request_id: str
    workspace: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    deadline_s: float
    priority: int = 0
    repeatable: bool = False
    idempotency_key: str = ""
