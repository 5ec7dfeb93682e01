"""Runs operators' commands in processes of their own, as a script does."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.cluster import Cluster


@dataclass(frozen=True)
class Result:
    """Exit code and output of a command."""

    exit_code: int
    output: str
    errors: str

    @property
    def json(self) -> Any:
        """The output, parsed as JSON."""
        return json.loads(self.output)


def railfold(*arguments: str) -> Result:
    """Run a command and wait for its end."""
    completed = subprocess.run(
        [sys.executable, "-m", "railfold", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return Result(completed.returncode, completed.stdout, completed.stderr)


def start_railfold(*arguments: str) -> subprocess.Popen[str]:
    """Start a command and return without waiting."""
    return subprocess.Popen(
        [sys.executable, "-m", "railfold", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def write_body(cluster: Cluster, name: str, body: dict[str, Any]) -> str:
    """Write an object's body to a file; return its path."""
    path = Path(cluster.folder) / f"{name}.json"
    path.write_text(json.dumps(body))
    return str(path)


def service_body(cluster: Cluster, hosts: list[str]) -> str:
    """Write a service's body to a file; return its path."""
    return write_body(cluster, "-".join(["service", *hosts]), {"hosts": hosts})
