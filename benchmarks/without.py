"""Checks that tests fail when the mechanism that they cover is removed.

For each row of ``tests/mechanisms.toml``, copies the tree, replaces the mechanism's
line, and runs the named test on the copy. The test must fail there, which shows that it
detects the failure that the mechanism prevents.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

from benchmarks.lib import print_table

PROJECT = Path(__file__).parent.parent
COPIED_PATHS = ("src", "tests", "standins", "soak", "benchmarks", "pyproject.toml")


@dataclass(frozen=True)
class Mechanism:
    """A mechanism, the replacement that removes it, and the test that must fail."""

    name: str
    file: str
    old: str
    new: str
    test: str


def load_mechanisms() -> list[Mechanism]:
    """Return all mechanisms of ``tests/mechanisms.toml``."""
    data = tomllib.loads((PROJECT / "tests" / "mechanisms.toml").read_text())
    return [Mechanism(**row) for row in data["mechanism"]]


def run_test_without(mechanism: Mechanism) -> str:
    """Run the test without the mechanism and return its result.

    ``fails`` is the expected result; ``not applied`` means that the line wasn't found
    exactly once.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED_PATHS:
            source = PROJECT / name
            if source.is_dir():
                ignored = shutil.ignore_patterns("__pycache__")
                shutil.copytree(source, copy / name, ignore=ignored)
            else:
                shutil.copy(source, copy / name)
        target = copy / "src" / "railfold" / "_internal" / mechanism.file
        text = target.read_text()
        if text.count(mechanism.old) != 1:
            return "not applied"
        target.write_text(text.replace(mechanism.old, mechanism.new))
        environment = {**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"}
        result = subprocess.run(
            [sys.executable, "-m", "pytest", "-n", "0", "-x", mechanism.test],
            cwd=copy,
            env=environment,
            capture_output=True,
            check=False,
            timeout=300,
        )
    return {0: "PASSES", 1: "fails"}.get(result.returncode, f"exit {result.returncode}")


def main() -> int:
    """Run all rows, or those whose names contain the argument.

    Returns 1 if a test didn't fail, else 0.
    """
    name_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    rows = [
        [m.name, m.test.rpartition("::")[2], run_test_without(m)]
        for m in load_mechanisms()
        if name_filter in m.name
    ]
    print_table("tests without their mechanism", ["without", "test", "it"], rows)
    return int(any(row[2] != "fails" for row in rows))


if __name__ == "__main__":
    raise SystemExit(main())
