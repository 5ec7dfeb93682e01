"""Commands that inspect and drain running processes."""

from __future__ import annotations

from typing import Any

import click

from railfold._internal.cli.options import (
    as_json,
    entry_option,
    print_json,
    run,
    timeout_option,
)
from railfold._internal.operations import processes
from railfold._internal.store.http import new_http_client

__all__ = ["drain", "explain", "routes", "status", "wait"]


def _fetch_json(url: str, path: str) -> Any:
    async def fetch_json() -> Any:
        return await processes.fetch(new_http_client(), url, path)

    return run(fetch_json())


@click.command()
@entry_option
def status(url: str) -> None:
    """Show a process's status as JSON."""
    print_json(_fetch_json(url, "/v1/status"))


@click.command()
@entry_option
@as_json
def routes(url: str, json_output: bool) -> None:
    """Show the agents that an entry knows, with their state and load."""
    agents = _fetch_json(url, "/v1/status")["agents"]
    if json_output:
        print_json(agents)
        return
    for agent in agents:
        capabilities = (
            ", ".join(agent["loaded"] + agent["services"]) or "nothing loaded"
        )
        click.echo(
            f"{agent['host']:<20} {agent['state']:<12} {agent['failure_domain']:<12}"
            f" {agent['load']:>4}/{agent['capacity']:<4} {capabilities}"
        )


@click.command()
@click.argument("pipeline")
@entry_option
@as_json
def explain(pipeline: str, url: str, json_output: bool) -> None:
    """Show where an entry would send a request of PIPELINE, and why."""

    async def explain_routing() -> Any:
        return await processes.explain(new_http_client(), url, pipeline)

    explanation = run(explain_routing())
    if json_output:
        print_json(explanation)
        return
    click.echo(
        "chain: " + (" > ".join(explanation["chain"]) or explanation["no_chain"])
    )
    for host in explanation["hosts"]:
        click.echo(f"{host['host']:<20} {host['layers']:<10} {host['verdict']}")


@click.command()
@entry_option
def drain(url: str) -> None:
    """Make a process accept no new work and finish the work in flight."""

    async def start_drain() -> None:
        await processes.drain(new_http_client(), url)

    run(start_drain())
    click.echo(f"{url}: draining")


@click.command()
@click.argument("version", type=int)
@click.option(
    "--url",
    "urls",
    multiple=True,
    required=True,
    help="Operator port of an entry; repeat the option for each entry.",
)
@timeout_option
def wait(version: int, urls: tuple[str, ...], timeout_s: float) -> None:
    """Wait until VERSION is in force at the entries and their agents."""

    async def wait_for_version() -> None:
        await processes.wait_until_in_force(
            new_http_client(), list(urls), version, timeout_s
        )

    run(wait_for_version())
    click.echo(f"version {version} is in force")
