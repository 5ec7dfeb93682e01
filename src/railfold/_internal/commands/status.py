"""Commands that look at running processes, and drain them."""

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


def _fetch(url: str, path: str) -> Any:
    async def run_it() -> Any:
        return await processes.fetch(new_http_client(), url, path)

    return run(run_it())


@click.command()
@entry_option
def status(url: str) -> None:
    """Show a process's status as JSON."""
    print_json(_fetch(url, "/v1/status"))


@click.command()
@entry_option
@as_json
def routes(url: str, json_output: bool) -> None:
    """Show the agents that an entry knows, and whether it routes to them."""
    agents = _fetch(url, "/v1/status")["agents"]
    if json_output:
        print_json(agents)
        return
    for agent in agents:
        what = ", ".join(agent["loaded"] + agent["services"]) or "nothing loaded"
        click.echo(
            f"{agent['host']:<20} {agent['state']:<12} {agent['failure_domain']:<12}"
            f" {agent['load']:>4}/{agent['capacity']:<4} {what}"
        )


@click.command()
@click.argument("pipeline")
@entry_option
@as_json
def explain(pipeline: str, url: str, json_output: bool) -> None:
    """Say why an entry would send a request of PIPELINE where."""

    async def run_it() -> Any:
        return await processes.explain(new_http_client(), url, pipeline)

    answer = run(run_it())
    if json_output:
        print_json(answer)
        return
    click.echo("chain: " + (" > ".join(answer["chain"]) or answer["no_chain"]))
    for host in answer["hosts"]:
        click.echo(f"{host['host']:<20} {host['layers']:<10} {host['verdict']}")


@click.command()
@entry_option
def drain(url: str) -> None:
    """Make a process take no new work and finish what it has."""

    async def run_it() -> None:
        await processes.drain(new_http_client(), url)

    run(run_it())
    click.echo(f"{url}: draining")


@click.command()
@click.argument("version", type=int)
@click.option(
    "--url",
    "urls",
    multiple=True,
    required=True,
    help="Operator port of an entry; give one for each entry.",
)
@timeout_option
def wait(version: int, urls: tuple[str, ...], timeout_s: float) -> None:
    """Wait until VERSION is in force at the entries and their agents."""

    async def run_it() -> None:
        await processes.wait_in_force(new_http_client(), list(urls), version, timeout_s)

    run(run_it())
    click.echo(f"version {version} is in force")
