"""Numbers that clients send in headers.

Guards against requests that end in an exception instead of an answer. ``isdigit`` is
true for characters such as a superscript two, which ``int`` refuses; ``int`` also
refuses a number of 5,000 digits.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from railfold._internal.forwarding.messages import ClientRequest, RequestSize
from railfold._internal.platform.dialect import PlatformDialect


def decode(**headers: str) -> ClientRequest:
    fields = [("Host", "a.example"), ("Railfold-Attempt-Id", "r-1")]
    fields += [(name.replace("_", "-"), value) for name, value in headers.items()]
    return PlatformDialect().decode_request("POST", "/draft/", fields, b"", 10.0)


def test_valid_numbers_are_decoded() -> None:
    request = decode(
        Railfold_Deadline_Ms=" 1500 ",
        Last_Event_Id="12",
        Railfold_Token_Counts="1460, 80",
    )
    assert request.deadline_s == 11.5
    assert request.last_event_id == 12
    assert request.size == RequestSize(1460, 80)


@pytest.mark.parametrize("text", ["²", "-1", "1.5", "", "9" * 5000, "٣", "1e3"])
def test_invalid_number_is_treated_as_missing(text: str) -> None:
    request = decode(
        Railfold_Deadline_Ms=text,
        Last_Event_Id=text,
        Railfold_Token_Counts=f"{text},{text}",
    )
    assert request.deadline_s is None
    assert request.last_event_id is None
    assert request.size == RequestSize()


@given(st.text(st.characters(max_codepoint=255)))
def test_arbitrary_text_raises_no_exception(text: str) -> None:
    decode(Railfold_Deadline_Ms=text, Last_Event_Id=text, Railfold_Token_Counts=text)
