"""Run stand-ins: ``python -m standins platform|engines|service ...``."""

from __future__ import annotations

import asyncio
import json

import click
from tornado.httpserver import HTTPServer
from tornado.web import Application

from standins import engine, platform, service


async def _serve(applications: list[tuple[Application, int]]) -> None:
    for application, port in applications:
        HTTPServer(application).listen(port, "127.0.0.1")
    print("listening", flush=True)
    await asyncio.Event().wait()


@click.group()
def cli() -> None:
    """Run a stand-in on the loopback interface."""


@cli.command("platform")
@click.option("--port", type=int, required=True)
def run_platform(port: int) -> None:
    """Run the log service and the host list."""

    async def run() -> None:
        application = platform.make_application(platform.Platform())
        await _serve([(application, port)])

    asyncio.run(run())


@cli.command("engines")
@click.argument("specs")
def run_engines(specs: str) -> None:
    """Run engines. SPECS is a JSON list of [port, {engine fields}]."""

    async def run() -> None:
        await _serve(
            [
                (engine.make_application(engine.EngineSpec(**fields)), port)
                for port, fields in json.loads(specs)
            ]
        )

    asyncio.run(run())


@cli.command("service")
@click.option("--port", type=int, required=True)
def run_service(port: int) -> None:
    """Run a plain service."""

    async def run() -> None:
        await _serve([(service.make_application(), port)])

    asyncio.run(run())


if __name__ == "__main__":
    cli()
