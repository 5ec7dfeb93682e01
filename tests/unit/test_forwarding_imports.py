"""A forwarding entry imports only what its build brings, and pays for no more."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]

# Import names of what deploy/requirements.txt lists.
BROUGHT = {"absl", "click", "httptools", "msgspec", "prometheus_client", "tornado"}

# Names that compiled modules make themselves, and what is only used if it is there.
HARMLESS = {"cython_runtime", "typing_extensions"}


def imported(module: str) -> set[str]:
    """Return the top-level names that importing a module brings."""
    code = (
        f"import sys; before = set(sys.modules); import {module};"
        "print(*{n.partition('.')[0] for n in set(sys.modules) - before})"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


# What the command imports at first, what it imports once its sockets listen.
COMMAND = "railfold._internal.commands.forward"
ENTRY = "railfold._internal.forwarding.process, railfold._internal.platform.adapter"


def test_only_libraries_that_the_build_brings_are_imported() -> None:
    names = imported(COMMAND) | imported(ENTRY)
    foreign = {n for n in names if n not in sys.stdlib_module_names}
    foreign -= {n for n in foreign if n.startswith("_")}
    assert foreign <= BROUGHT | HARMLESS | {"railfold"}


def test_the_metrics_library_waits_until_somebody_looks() -> None:
    names = imported(COMMAND) | imported(ENTRY)
    assert "prometheus_client" not in names
    assert "prometheus_client" in imported(
        "railfold._internal.observability.prometheus"
    )


def test_sockets_listen_before_what_takes_long_is_imported() -> None:
    names = imported(COMMAND)
    assert not names & {"asyncio", "tornado", "httptools"}


def test_every_library_is_pinned() -> None:
    lines = (ROOT / "deploy/requirements.txt").read_text().splitlines()
    wanted = [line for line in lines if line and not line.startswith("#")]
    assert all(re.fullmatch(r"[a-z-]+==[0-9.]+", line) for line in wanted)


def test_names_of_the_platform_stay_in_its_folder() -> None:
    pattern = re.compile(
        r"railfold/(log-|report|order|ready)|At-Server|Hop-Count|Target-Instance"
        r"|target_version|Response-Seal|keyed\."
    )
    package = ROOT / "src/railfold/_internal"
    outside = [p for p in package.rglob("*.py") if "platform" not in p.parts]
    assert [p.name for p in outside if pattern.search(p.read_text())] == []
