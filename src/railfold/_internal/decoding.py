"""Decoding of what other processes have written, in which any bytes may occur."""

from __future__ import annotations

from typing import Any, Protocol, TypeVar

import msgspec

__all__ = ["decode", "decode_json"]

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)

# Errors of the interpreter that some input causes in a decoder: values that are nested
# too deeply, and numbers beyond every range.
_INPUT_ERRORS = (RecursionError, OverflowError, MemoryError)


class Decoder(Protocol[T_co]):
    """A decoder of msgspec; those of JSON take text, too."""

    def decode(self, data: Any, /) -> T_co:
        """Return the decoded value."""


def decode(decoder: Decoder[T], data: bytes | str) -> T:
    """Return the decoded value.

    :raises msgspec.DecodeError: the data can't be decoded, for any reason.
    """
    try:
        return decoder.decode(data)
    except _INPUT_ERRORS as error:
        raise msgspec.DecodeError(f"it can't be decoded: {error}") from error


def decode_json(data: bytes | str, type_: type[T]) -> T:
    """Return the value of a type that a JSON text contains.

    :raises msgspec.DecodeError: the text can't be decoded, for any reason.
    """
    return decode(msgspec.json.Decoder(type_), data)
