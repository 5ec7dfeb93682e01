"""Reads the parts of prompts from requests, and identifies them by digests.

Guards against prompt parts that aren't recognized from one request to another, and
against clients that invent parts without limit.
"""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.decisions.routing_table import CredentialOwner
from railfold._internal.forwarding.messages import ClientRequest
from railfold._internal.forwarding.peers.peer_messages import (
    CrashesNotice,
    CrashNotice,
)
from railfold._internal.forwarding.quarantine.content_digest import ContentDigests
from railfold._internal.forwarding.quarantine.crash_notices import content_from_notice
from railfold._internal.forwarding.store.shared_records import (
    HoldRecord,
    decode_hold,
    encode_hold,
)
from railfold._internal.platform.dialect import PlatformDialect

OWNER = CredentialOwner("quality", None)


def decode(prefix: str, body: bytes = b"") -> ClientRequest:
    fields = [
        ("Host", "a.example"),
        ("Railfold-Attempt-Id", "r-1"),
        ("Railfold-Prompt-Prefix", prefix),
    ]
    return PlatformDialect().decode_request("POST", "/draft/", fields, body, 10.0)


@pytest.fixture
def digests() -> ContentDigests:
    content_digests = ContentDigests()
    content_digests.set_key(bytes(32))
    return content_digests


def test_parts_are_read_in_order() -> None:
    assert decode("a1:20, B2:300,c3:7").prompt_parts == ("a1", "b2", "c3")


@pytest.mark.parametrize(
    "text", ["", ",", "a1", "a1:", ":3", "xyz:3", "a1:-1", "a1:3,", "a" * 129 + ":1"]
)
def test_malformed_parts_are_ignored(text: str) -> None:
    assert decode(text).prompt_parts == ()


def test_number_of_parts_is_bounded() -> None:
    assert len(decode(",".join(f"{n:x}:1" for n in range(10_000))).prompt_parts) == 32


@given(st.text(st.characters(max_codepoint=255)))
def test_arbitrary_text_raises_no_exception(text: str) -> None:
    decode(text)


def test_part_has_one_digest_for_all_callers_and_bodies(
    digests: ContentDigests,
) -> None:
    first = digests.all_of(decode("a1:20,b2:3,c3:7", b"x"), OWNER)
    second = digests.all_of(decode("b2:3,d4:7", b"y"), CredentialOwner("other", None))
    assert first.prompt_parts[1:] == second.prompt_parts
    assert first.content != second.content


def test_last_part_identifies_the_request(digests: ContentDigests) -> None:
    assert digests.all_of(decode("a1:20"), OWNER).prompt_parts == ()
    assert len(digests.all_of(decode("a1:20,a1:20,b2:3"), OWNER).prompt_parts) == 1


def test_digest_of_a_part_requires_the_shared_key(digests: ContentDigests) -> None:
    other = ContentDigests()
    other.set_key(b"1" * 32)
    request = decode("a1:20,b2:3")
    assert digests.all_of(request, OWNER) != other.all_of(request, OWNER)


def test_hold_of_a_part_is_recorded_as_one() -> None:
    hold = HoldRecord("llm", "draft", "", 1, 1, [], prompt_part=True)
    assert decode_hold(encode_hold(hold)).content("a1").is_prompt_part


def test_records_and_messages_of_the_previous_version_are_about_contents() -> None:
    hold = HoldRecord("llm", "draft", "quality", 1, 1, [])
    old_hold = msgspec.to_builtins(hold)
    del old_hold["prompt_part"]
    assert decode_hold(msgspec.json.encode(old_hold)) == hold
    notice = CrashesNotice("0" * 32, "llm", "draft", "", [CrashNotice("i-1", 9, 5)])
    old_notice = msgspec.to_builtins(notice)
    del old_notice["prompt_part"]
    decoded = msgspec.convert(old_notice, CrashesNotice)
    assert not content_from_notice(decoded).is_prompt_part
