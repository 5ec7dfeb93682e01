"""Headers and fields from servers and the platform are read, or listed with a reason.

Guards against a statement of a server that no code reads, such as a rate limit, a
Retry-After or an announcement of leaving: entries would then send the server requests
that it has asked not to get. The documented table must match the decoders.
"""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from railfold._internal.platform import configuration, engines
from railfold._internal.platform.answer_headers import IGNORED_HEADERS, READ_HEADERS

ROOT = Path(__file__).parent.parent.parent
TABLE = ROOT / "docs" / "design" / "server-statements.md"
SOURCES = ROOT / "src" / "railfold" / "_internal"

_ROW = re.compile(r"\| `([^`]+)` \| (yes|no) \|(.*)\|")


def documented_names(section: str, *, read: bool) -> set[str]:
    """Return the names in a section of the table that are documented as (not) read."""
    text = TABLE.read_text().split(f"## {section}\n")[1].split("\n## ")[0]
    rows = [_ROW.fullmatch(line) for line in text.splitlines()]
    found = [row for row in rows if row is not None]
    assert all(row[2] == "yes" or row[3].strip() for row in found)
    return {row[1] for row in found if (row[2] == "yes") is read}


def fields_of(struct: type[msgspec.Struct]) -> set[str]:
    return set(struct.__struct_encode_fields__)


def standard_headers_read() -> set[str]:
    """Return the names of the standard headers that the sources read from answers."""
    texts = [
        path.read_text()
        for folder in ("forwarding", "platform")
        for path in (SOURCES / folder).rglob("*.py")
    ]
    literal = re.compile(r'head\.get\(\s*"([A-Za-z-]+)"')
    found = {name for text in texts for name in literal.findall(text)}
    retry_after = (SOURCES / "platform" / "retry_after.py").read_text()
    found |= set(re.findall(r'_NAME = "([A-Za-z-]+)"', retry_after))
    return found


def test_answer_headers_match_the_documented_ones() -> None:
    section = "Headers in answers of backend servers"
    standard = {name.lower() for name in standard_headers_read()}
    read = {name.lower() for name in documented_names(section, read=True)}
    unread = {name.lower() for name in documented_names(section, read=False)}
    assert read == READ_HEADERS | standard
    assert unread == IGNORED_HEADERS


@pytest.mark.parametrize(
    ("section", "struct", "checked_only"),
    [
        (
            "Registrations",
            engines._RegistrationRecord,
            {"cold_left_ms", "seq", "stage"},
        ),
        ("Reports of engines", engines._Report, set()),
    ],
)
def test_registration_and_report_fields_match_the_documented_ones(
    section: str, struct: type[msgspec.Struct], checked_only: set[str]
) -> None:
    assert documented_names(section, read=True) | checked_only == fields_of(struct)
    assert checked_only <= documented_names(section, read=False)


def test_configuration_fields_match_the_documented_ones() -> None:
    parts = {
        "": configuration._Configuration,
        "route.": configuration._Route,
        "service.": configuration._Service,
        "engine.": configuration._Engine,
        "limits.": configuration._Limits,
    }
    fields = {
        prefix + name for prefix, struct in parts.items() for name in fields_of(struct)
    }
    assert documented_names("Configuration", read=True) == fields
