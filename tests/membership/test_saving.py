"""Saved versions while the disk fails: the newest is saved in the end, and none is ever half a version."""

from __future__ import annotations

import asyncio
import errno
import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from flintlatch.membership import saving
from flintlatch.membership.files import load_version, save_version
from flintlatch.membership.model import Node, Version
from flintlatch.membership.saving import VersionSaver
from flintlatch.standin.shim import CallFault, Shim, compile_shim
from tests.loopback import run

NODES = tuple(Node(f"n{n}", "127.0.0.1", 9000 + n) for n in range(50))


def version(number: int) -> Version:
    return Version("file", number, NODES)


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_save_that_fails_is_repeated_until_the_newest_version_is_saved(
    error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    failures = 3

    def failing_save(path: str, saved: Version) -> None:
        nonlocal failures
        failures -= 1
        if failures >= 0:
            raise OSError(error, os.strerror(error))
        save_version(path, saved)

    monkeypatch.setattr(saving, "save_version", failing_save)
    monkeypatch.setattr(saving, "RETRY_INTERVAL_S", 0.02)

    async def test() -> None:
        reasons: list[str] = []
        saver = VersionSaver(str(tmp_path / "kept"), reasons.append)
        saver.save(version(1))
        await asyncio.sleep(0.01)
        saver.save(version(2))
        while saver.unsaved is not None:
            await asyncio.sleep(0.005)
        assert load_version(str(tmp_path / "kept")) == version(2)
        assert len(reasons) <= 2 and "version 1 not saved" in reasons[0]

    run(test())


def test_a_slow_save_never_replaces_a_newer_one(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def slow_save(path: str, saved: Version) -> None:
        time.sleep(0.1 if saved.number == 1 else 0.0)
        save_version(path, saved)

    monkeypatch.setattr(saving, "save_version", slow_save)

    async def test() -> None:
        saver = VersionSaver(str(tmp_path / "kept"), lambda reason: None)
        for number in range(1, 6):
            saver.save(version(number))
            await asyncio.sleep(0.005)
        while saver.unsaved is not None:
            await asyncio.sleep(0.005)
        assert load_version(str(tmp_path / "kept")) == version(5)

    run(test())


SAVING_PROGRAM = """
import itertools, sys
from flintlatch.membership.files import save_version
from flintlatch.membership.model import Node, Version

nodes = tuple(Node(f"n{n}", "127.0.0.1", 9000 + n) for n in range(50))
for number in itertools.count(1):
    try:
        save_version(sys.argv[1], Version("file", number, nodes))
    except OSError:
        continue
    print(number, flush=True)
"""


@pytest.mark.parametrize("seed", range(4))
def test_a_process_killed_while_its_disk_fails_leaves_a_whole_version(seed: int, tmp_path: Path) -> None:
    shim = Shim(compile_shim(tmp_path), tmp_path / "control", seed)
    shim.set_probability(CallFault.DISK, 0.1)
    path = str(tmp_path / "kept")
    program = subprocess.Popen(
        [sys.executable, "-c", SAVING_PROGRAM, path],
        env=dict(os.environ) | shim.environment(),
        stdout=subprocess.PIPE,
    )
    assert program.stdout is not None
    acknowledged = 0
    while acknowledged < 30 + seed:
        acknowledged = int(program.stdout.readline())
    program.kill()
    remaining = program.stdout.read().split()
    program.wait()
    if remaining:
        acknowledged = int(remaining[-1])
    loaded = load_version(path)
    # The version after the last acknowledged one may have been saved, but not printed.
    assert loaded is not None and loaded.nodes == NODES and loaded.number >= acknowledged
    assert shim.injected()[CallFault.DISK] > 0
    shim.close()
