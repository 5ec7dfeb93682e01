"""A forwarding entry imports only libraries of its build, and most after it listens.

These tests guard against a missing library in the deployed build, and against imports
that delay the listening sockets after a restart.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]

# Import names of the libraries in deploy/requirements.txt.
BUILD_LIBRARIES = {
    "absl",
    "click",
    "httptools",
    "msgspec",
    "prometheus_client",
    "tornado",
}

# Modules that compiled extensions create, and libraries that are used only if present.
IGNORED_MODULES = {"cython_runtime", "typing_extensions"}


def imported_names(module: str) -> set[str]:
    """Return the top-level names of all modules that importing ``module`` loads."""
    code = (
        f"import sys; before = set(sys.modules); import {module};"
        "print(*{n.partition('.')[0] for n in set(sys.modules) - before})"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


# The module that the command imports first, and those that it imports when its sockets
# already listen.
COMMAND_MODULE = "railfold._internal.commands.forward"
ENTRY_MODULES = (
    "railfold._internal.forwarding.process, railfold._internal.platform.adapter"
)


def test_only_libraries_of_the_build_are_imported() -> None:
    names = imported_names(COMMAND_MODULE) | imported_names(ENTRY_MODULES)
    foreign = {n for n in names if n not in sys.stdlib_module_names}
    foreign -= {n for n in foreign if n.startswith("_")}
    assert foreign <= BUILD_LIBRARIES | IGNORED_MODULES | {"railfold"}


def test_the_metrics_library_is_imported_only_when_metrics_are_requested() -> None:
    names = imported_names(COMMAND_MODULE) | imported_names(ENTRY_MODULES)
    assert "prometheus_client" not in names
    assert "prometheus_client" in imported_names(
        "railfold._internal.observability.prometheus"
    )


def test_sockets_listen_before_slow_imports() -> None:
    names = imported_names(COMMAND_MODULE)
    assert not names & {"asyncio", "tornado", "httptools"}


def test_every_library_is_pinned() -> None:
    lines = (ROOT / "deploy/requirements.txt").read_text().splitlines()
    requirements = [line for line in lines if line and not line.startswith("#")]
    assert all(re.fullmatch(r"[a-z-]+==[0-9.]+", line) for line in requirements)


def test_platform_protocol_names_are_used_only_in_the_platform_folder() -> None:
    pattern = re.compile(
        r"railfold/(log-|report|order|ready)|At-Server|Hop-Count|Target-Instance"
        r"|target_version|Response-Seal|keyed\."
    )
    package = ROOT / "src/railfold/_internal"
    other_files = [p for p in package.rglob("*.py") if "platform" not in p.parts]
    assert [p.name for p in other_files if pattern.search(p.read_text())] == []
