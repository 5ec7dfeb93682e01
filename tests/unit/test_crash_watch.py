"""Which runs a server's end is held against."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.quarantine import RequestContent
from railfold._internal.decisions.routing_table import CredentialOwner
from railfold._internal.forwarding.messages import ClientRequest, RequestSize
from railfold._internal.forwarding.quarantine.content_digest import ContentDigests
from railfold._internal.forwarding.quarantine.crash_watch import (
    CrashWatch,
    EndedRun,
    RunFigures,
)

OWNER = CredentialOwner("quality", None)

Seen = list[tuple[str, list[str]]]


def request(name: str, **changes: object) -> ClientRequest:
    fields: dict[str, object] = {
        "request_id": name,
        "method": "POST",
        "target": "/draft/1?x=2",
        "path": "/draft/1",
        "host": "h",
        "headers": (),
        "body": b"body",
        "credential": "key",
        "received_s": 0.0,
        "deadline_s": None,
        "last_event_id": None,
        "size": RequestSize(),
        **changes,
    }
    return ClientRequest(**fields)  # type: ignore[arg-type]


def run(name: str, *servers: str, **changes: float) -> EndedRun:
    content = RequestContent(name, "llm", "draft", "quality")
    figures = RunFigures(
        "llm", servers, began_s=1.0, moved_s=changes.get("moved_s", 0.0), after_event=0
    )
    return EndedRun(content, figures, changes.get("ended_s", 1.2))


@pytest.fixture
def seen() -> Seen:
    return []


@pytest.fixture
def watch(seen: Seen) -> CrashWatch:
    def on_crash(server_id: str, runs: list[EndedRun]) -> None:
        seen.append((server_id, [run.content.digest for run in runs]))

    return CrashWatch(on_crash)


def test_an_answer_that_breaks_off_is_no_crash(watch: CrashWatch, seen: Seen) -> None:
    watch.run_ended(run("r", "a"))
    watch.server_ended("b", 1.3)
    assert seen == []


def test_it_is_one_once_its_server_surely_ended(watch: CrashWatch, seen: Seen) -> None:
    watch.run_ended(run("r", "a"))
    watch.server_ended("a", 3.0)
    watch.server_ended("a", 3.1)
    assert seen == [("a", ["r"])]


def test_that_may_be_known_before_the_run_breaks_off(
    watch: CrashWatch, seen: Seen
) -> None:
    watch.server_ended("a", 1.1)
    watch.run_ended(run("r", "a"))
    assert seen == [("a", ["r"])]


def test_any_server_of_a_chain_may_have_ended(watch: CrashWatch, seen: Seen) -> None:
    watch.run_ended(run("r", "a", "b", "c"))
    watch.server_ended("c", 1.3)
    assert seen == [("c", ["r"])]


def test_a_run_ends_once(watch: CrashWatch, seen: Seen) -> None:
    """The next server of its chain ends under others."""
    watch.run_ended(run("r", "a", "b"))
    watch.server_ended("a", 1.3)
    watch.run_ended(run("q", "b"))
    watch.server_ended("b", 1.5)
    assert seen == [("a", ["r"]), ("b", ["q"])]


@pytest.mark.parametrize(
    ("changes", "suspicious"),
    [
        ({}, True),
        ({"moved_s": 0.3}, True),
        ({"moved_s": 1.5}, False),
        ({"ended_s": 7.0}, False),
        # It waited for its turn, and then ended its server at once.
        ({"ended_s": 9.0, "moved_s": 0.1}, True),
    ],
)
def test_only_what_had_just_begun_is_suspicious(
    watch: CrashWatch, seen: Seen, changes: dict[str, float], suspicious: bool
) -> None:
    watch.run_ended(run("r", "a", **changes))
    watch.server_ended("a", 9.1)
    assert bool(seen) is suspicious


def test_what_broke_off_long_before_isnt_remembered(
    watch: CrashWatch, seen: Seen
) -> None:
    watch.run_ended(run("r", "a"))
    watch.server_ended("b", 20.0)
    watch.server_ended("a", 20.0)
    assert seen == []


def digest(owner: CredentialOwner | None = OWNER, **changes: object) -> str:
    digests = ContentDigests()
    digests.set_key(b"k" * 32)
    return digests.of(request("r", **changes), owner)


def test_a_content_is_path_caller_and_body() -> None:
    same = digest()
    assert digest(request_id="another", headers=(("X-Try", "2"),)) == same
    assert digest(last_event_id=7, deadline_s=3.0) == same
    for changed in (
        digest(target="/draft/2"),
        digest(body=b"bodY"),
        digest(CredentialOwner("another", None)),
        digest(None),
        digest(host="h2"),
    ):
        assert changed != same


def test_fields_cant_run_into_each_other() -> None:
    assert digest(host="ab", target="c") != digest(host="a", target="bc")


def test_another_workspaces_request_is_never_the_same() -> None:
    """Nobody can have another's requests held back."""
    one = digest(CredentialOwner("one", None), credential="key")
    assert one != digest(CredentialOwner("two", None), credential="key")
    assert digest(None, credential="a") != digest(None, credential="b")


def test_of_a_large_body_the_length_and_both_ends_count() -> None:
    large = b"a" * 300_000
    same = digest(body=large)
    assert digest(body=large[:-1] + b"b") != same
    assert digest(body=b"b" + large[1:]) != same
    assert digest(body=large + b"a") != same


def test_the_key_decides() -> None:
    other = ContentDigests()
    other.set_key(b"x" * 32)
    assert other.of(request("r"), OWNER) != digest()


def test_a_server_that_is_back_under_its_id_may_end_again(
    watch: CrashWatch, seen: Seen
) -> None:
    """Plain servers get work before their registration tells of their new start.

    What users saw: 8 of 20 ends of such servers counted for nothing, so that the
    request that ended them went on.
    """
    watch.run_ended(run("a", "i-1"))
    watch.server_ended("i-1", 1.3)
    watch.server_answered("i-1", 1.4)  # It had sent that before.
    watch.server_ended("i-1", 1.5)
    watch.server_answered("i-1", 2.9)
    watch.run_ended(run("a", "i-1", ended_s=3.1))
    watch.server_ended("i-1", 3.2)
    assert seen == [("i-1", ["a"]), ("i-1+1", ["a"])]
