"""Folder sources: each file is a pool, and all files together form one version."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest

from flintlatch.membership import Event, Membership, MembershipRules, Save
from flintlatch.membership.files import make_file_source
from tests.loopback import run

Watched = tuple[Membership, list[Event], list[set[str]]]


def file_text(*uids: str, port: int = 9000, **more: str) -> str:
    nodes = [{"uid": uid, "address": f"127.0.0.1:{port + index}", **more} for index, uid in enumerate(uids)]
    return json.dumps({"count": len(nodes), "nodes": nodes})


@asynccontextmanager
async def watched(folder: Path, max_removed_fraction: float = 0.5) -> AsyncIterator[Watched]:
    """Yields the Membership, the events it received, and the pool and uid of all nodes of each accepted
    version."""
    membership, events = Membership(MembershipRules(("d/",), max_removed_fraction)), []
    accepted: list[set[str]] = []

    def on_event(event: Event) -> None:
        events.append(event)
        for action in membership.step(asyncio.get_running_loop().time(), event):
            if isinstance(action, Save):
                accepted.append({f"{node.pool}/{node.uid}" for node in action.version.nodes})

    source = make_file_source("d/", str(folder), on_event)
    try:
        yield membership, events, accepted
    finally:
        source.close()


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


def test_files_are_pools_and_can_be_added_and_removed(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "cards.json").write_text(file_text("a", "b"))
        (tmp_path / "plans.json").write_text(file_text("c", port=9100, pool="own"))
        (tmp_path / ".hidden.json").write_text("{")
        (tmp_path / "cards.json~").write_text("{")
        async with watched(tmp_path) as (membership, _, accepted):
            await until(lambda: accepted)
            assert accepted[-1] == {"cards/a", "cards/b", "own/c"}
            (tmp_path / "more.toml").write_text(
                'count = 1\n[[nodes]]\nuid = "d"\naddress = "127.0.0.1:9200"\n'
            )
            await until(lambda: "more/d" in accepted[-1])
            (tmp_path / "plans.json").unlink()
            await until(lambda: "own/c" not in accepted[-1])
            assert set(membership.nodes) == {"a", "b", "d"}

    run(test())


@pytest.mark.parametrize(
    ("name", "content", "words"),
    [
        ("new.json", file_text("x")[:-3], "new.json: file"),
        ("new.json", file_text("a", port=9300), "none that cards.json has"),
        ("new.json", file_text("x", pool="cards"), "none that cards.json has in cards"),
        ("new.toml", "count = 2\nnodes = []\n", "new.toml: count"),
    ],
)
def test_one_invalid_file_rejects_the_version_of_the_whole_folder(
    tmp_path: Path, name: str, content: str, words: str
) -> None:
    async def test() -> None:
        (tmp_path / "cards.json").write_text(file_text("a", "b"))
        async with watched(tmp_path) as (membership, _, accepted):
            await until(lambda: accepted)
            (tmp_path / name).write_text(content)
            await until(lambda: membership.sources["d/"].rejections)
            faults = membership.sources["d/"].rejections[-1].faults
            assert any(words in str(fault) for fault in faults), faults
            # A drain in another file is not applied either, until the invalid file is removed.
            (tmp_path / "cards.json").write_text(file_text("a", "b", state="draining"))
            await until(lambda: membership.sources["d/"].rejection_count >= 2)
            assert len(accepted) == 1
            (tmp_path / name).unlink()
            await until(lambda: membership.sources["d/"].held is not None)  # it drains all nodes at once

    run(test())


def test_empty_or_missing_folder_removes_no_node(tmp_path: Path) -> None:
    async def test() -> None:
        folder = tmp_path / "d"
        folder.mkdir()
        (folder / "cards.json").write_text(file_text("a"))
        async with watched(folder) as (membership, _, accepted):
            await until(lambda: accepted)
            (folder / "cards.json").unlink()
            await until(lambda: membership.sources["d/"].rejection_count)
            folder.rmdir()
            await until(lambda: membership.sources["d/"].failure)
            assert set(membership.nodes) == {"a"} and len(accepted) == 1
            folder.mkdir()
            (folder / "cards.json").write_text(file_text("a", "b"))
            await until(lambda: set(membership.nodes) == {"a", "b"})

    run(test())


def test_each_accepted_version_is_a_state_that_the_folder_had(tmp_path: Path) -> None:
    # Two files are rewritten in random order, by rename or by truncate-and-write. A version that combines
    # contents which were never in the folder at the same time must not be accepted.
    async def test() -> None:
        random = Random(7)
        for name in "ab":
            (tmp_path / f"{name}.json").write_text(file_text(f"{name}0", port=9000 + 100 * (name == "b")))
        folder_states = [{"a/a0", "b/b0"}]
        current = {"a": 0, "b": 0}
        async with watched(tmp_path, max_removed_fraction=1.0) as (_, _, accepted):
            await until(lambda: accepted)
            for step in range(1, 60):
                name = random.choice("ab")
                current[name] = step
                path, text = (
                    tmp_path / f"{name}.json",
                    file_text(f"{name}{step}", port=9000 + 100 * (name == "b")),
                )
                if random.random() < 0.5:
                    temporary = tmp_path / ".temporary"
                    temporary.write_text(text)
                    temporary.rename(path)
                else:
                    with open(path, "w") as file:
                        file.write(text[:20])
                        file.flush()
                        await asyncio.sleep(random.random() * 0.01)
                        file.write(text[20:])
                folder_states.append({f"{pool}/{pool}{number}" for pool, number in current.items()})
                await asyncio.sleep(random.random() * 0.03)
            await until(lambda: accepted[-1] == folder_states[-1])
            assert all(version in folder_states for version in accepted) and len(accepted) > 5

    run(test())
