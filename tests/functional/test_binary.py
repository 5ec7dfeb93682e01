"""Tests of the single-file binary.

They guard against a binary that starts child processes, writes to a file other than its
log, or needs a disk for its libraries instead of an in-memory file system.
"""

from __future__ import annotations

import os
import subprocess
import tempfile
from collections.abc import Iterator
from pathlib import Path

import psutil
import pytest

from standins.cluster import Cluster, EngineHost
from tests.lib.callers import StreamCaller

PROJECT = Path(__file__).parent.parent.parent
HOST = EngineHost("meter-a1", 0, 11)
MEMORY_DIRECTORY = "/dev/shm"


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Path of the binary, built by ``scripts/build``."""
    path = tmp_path_factory.mktemp("dist") / "railfold"
    subprocess.run(
        [PROJECT / "scripts" / "build", str(path)], check=True, capture_output=True
    )
    return path


@pytest.fixture
def memory_directory() -> Iterator[str]:
    """A directory on an in-memory file system."""
    with tempfile.TemporaryDirectory(dir=MEMORY_DIRECTORY) as directory:
        yield directory


@pytest.mark.timeout(300)
def test_binary_serves_without_children_or_disk(
    binary: Path, memory_directory: str
) -> None:
    environment = {"SHIV_ROOT": memory_directory, "PYTHONPATH": ""}
    with Cluster([HOST], command=[str(binary)], environment=environment) as cluster:
        client = StreamCaller(cluster.callers_url(), "unit 1", 20)
        client.assert_complete()
        for name in ("entry-0", f"agent-{HOST.host}"):
            process = psutil.Process(cluster.processes[name].popen.pid)
            assert process.children() == []
            own_log_path = str(cluster.folder / f"{name}.log")
            written_paths = [
                open_file.path
                for open_file in process.open_files()
                if open_file.mode != "r"
            ]
            assert set(written_paths) <= {own_log_path}
            assert runs_libraries_from(process, memory_directory)


def runs_libraries_from(process: psutil.Process, directory: str) -> bool:
    """Return whether the process runs compiled libraries from ``directory``."""
    return any(
        os.path.commonpath([directory, mapped.path]) == directory
        for mapped in process.memory_maps()
        if mapped.path.startswith("/")
    )
