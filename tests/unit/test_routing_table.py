"""Routes are found by host and path prefix, and credentials are checked."""

from __future__ import annotations

import pytest

from railfold._internal.decisions.routing_table import (
    ClientLimits,
    CredentialOwner,
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
    require_table,
)
from railfold._internal.errors import (
    NotReadyError,
    UnauthorizedError,
    UnknownTargetError,
)


def route(prefix: str, *, host: str = "a.example", **fields: object) -> Route:
    values: dict[str, object] = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "kind": RouteKind.SAFE,
        "services": (WeightedService("records", 1.0),),
        "timeout_s": 1.0,
        "objective_s": 0.3,
        "priority": 1,
        "max_attempts": 2,
        "public": False,
        "resumable": False,
        **fields,
    }
    return Route(**values)  # type: ignore[arg-type]


@pytest.fixture
def table() -> RoutingTable:
    routes = (route("/a/"), route("/a/b/"), route("/open/", public=True))
    owners = {"secret": CredentialOwner("depot", 1)}
    return RoutingTable(3, routes, {}, owners, ClientLimits())


@pytest.mark.parametrize(
    ("path", "prefix"), [("/a/x", "/a/"), ("/a/b/x", "/a/b/"), ("/a/b", "/a/")]
)
def test_route_with_the_longest_prefix_is_found(
    table: RoutingTable, path: str, prefix: str
) -> None:
    assert table.find("a.example", path).path_prefix == prefix


@pytest.mark.parametrize(("host", "path"), [("a.example", "/a"), ("b.example", "/a/x")])
def test_request_without_a_route_is_rejected(
    table: RoutingTable, host: str, path: str
) -> None:
    with pytest.raises(UnknownTargetError):
        table.find(host, path)


def test_credential_is_required_unless_the_route_is_public(table: RoutingTable) -> None:
    owner = table.authorize(table.find("a.example", "/a/x"), "secret")
    assert owner == CredentialOwner("depot", 1)
    with pytest.raises(UnauthorizedError):
        table.authorize(table.find("a.example", "/a/x"), "wrong")
    assert table.authorize(table.find("a.example", "/open/x"), "") is None


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, True, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_only_safe_and_resumable_requests_may_run_twice(
    kind: RouteKind, resumable: bool, repeatable: bool
) -> None:
    assert route("/x/", kind=kind, resumable=resumable).repeatable is repeatable


def test_requests_get_a_retryable_error_before_the_first_configuration() -> None:
    with pytest.raises(NotReadyError):
        require_table(None)
