"""The one binary starts no other process and needs no disk."""

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
MEMORY_FOLDER = "/dev/shm"


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The binary, built by the one command."""
    path = tmp_path_factory.mktemp("dist") / "railfold"
    subprocess.run(
        [PROJECT / "scripts" / "build", str(path)], check=True, capture_output=True
    )
    return path


@pytest.fixture
def memory_folder() -> Iterator[str]:
    """A folder on a file system that is held in memory."""
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as folder:
        yield folder


@pytest.mark.timeout(300)
def test_binary_serves_without_children_or_disk(
    binary: Path, memory_folder: str
) -> None:
    environment = {"SHIV_ROOT": memory_folder, "PYTHONPATH": ""}
    with Cluster([HOST], command=[str(binary)], environment=environment) as cluster:
        caller = StreamCaller(cluster.callers_url(), "unit 1", 20)
        caller.assert_complete()
        for name in ("entry-0", f"agent-{HOST.host}"):
            process = psutil.Process(cluster.processes[name].popen.pid)
            assert process.children() == []
            own_log = str(cluster.folder / f"{name}.log")
            written = [f.path for f in process.open_files() if f.mode != "r"]
            assert set(written) <= {own_log}
            assert mapped_from(process, memory_folder)


def mapped_from(process: psutil.Process, folder: str) -> bool:
    """Return whether the process runs compiled libraries from ``folder``."""
    return any(
        os.path.commonpath([folder, mapped.path]) == folder
        for mapped in process.memory_maps()
        if mapped.path.startswith("/")
    )
