"""A folder of files as one source: a pool a file, and all of them whole or nothing."""

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


def rows(*uids: str, port: int = 9000, **more: str) -> str:
    nodes = [{"uid": uid, "address": f"127.0.0.1:{port + place}", **more} for place, uid in enumerate(uids)]
    return json.dumps({"count": len(nodes), "nodes": nodes})


@asynccontextmanager
async def watched(folder: Path, max_removed_fraction: float = 0.5) -> AsyncIterator[Watched]:
    """The core, what it was told, and each list that it took."""
    core, events = Membership(MembershipRules(("d/",), max_removed_fraction)), []
    taken: list[set[str]] = []

    def on_event(event: Event) -> None:
        events.append(event)
        for action in core.step(asyncio.get_running_loop().time(), event):
            if isinstance(action, Save):
                taken.append({f"{node.pool}/{node.uid}" for node in action.version.nodes})

    source = make_file_source("d/", str(folder), on_event)
    try:
        yield core, events, taken
    finally:
        source.close()


async def until(wanted: Callable[[], object]) -> None:
    while not wanted():
        await asyncio.sleep(0.002)


def test_files_are_pools_and_come_and_go(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "cards.json").write_text(rows("a", "b"))
        (tmp_path / "plans.json").write_text(rows("c", port=9100, pool="own"))
        (tmp_path / ".hidden.json").write_text("{")
        (tmp_path / "cards.json~").write_text("{")
        async with watched(tmp_path) as (core, _, taken):
            await until(lambda: taken)
            assert taken[-1] == {"cards/a", "cards/b", "own/c"}
            (tmp_path / "more.toml").write_text(
                'count = 1\n[[nodes]]\nuid = "d"\naddress = "127.0.0.1:9200"\n'
            )
            await until(lambda: "more/d" in taken[-1])
            (tmp_path / "plans.json").unlink()
            await until(lambda: "own/c" not in taken[-1])
            assert set(core.nodes) == {"a", "b", "d"}

    run(test())


@pytest.mark.parametrize(
    ("name", "content", "words"),
    [
        ("new.json", rows("x")[:-3], "new.json: file"),
        ("new.json", rows("a", port=9300), "none that cards.json has"),
        ("new.json", rows("x", pool="cards"), "none that cards.json has in cards"),
        ("new.toml", "count = 2\nnodes = []\n", "new.toml: count"),
    ],
)
def test_one_bad_file_leaves_the_whole_folder_as_it_was(
    tmp_path: Path, name: str, content: str, words: str
) -> None:
    async def test() -> None:
        (tmp_path / "cards.json").write_text(rows("a", "b"))
        async with watched(tmp_path) as (core, _, taken):
            await until(lambda: taken)
            (tmp_path / name).write_text(content)
            await until(lambda: core.sources["d/"].rejections)
            faults = core.sources["d/"].rejections[-1].faults
            assert any(words in str(fault) for fault in faults), faults
            # A drain beside it is not taken either, until the bad one is mended.
            (tmp_path / "cards.json").write_text(rows("a", "b", state="draining"))
            await until(lambda: core.sources["d/"].rejection_count >= 2)
            assert len(taken) == 1
            (tmp_path / name).unlink()
            await until(lambda: core.sources["d/"].held is not None)  # all nodes at once: a guard holds it

    run(test())


def test_an_empty_or_missing_folder_takes_nobody_away(tmp_path: Path) -> None:
    async def test() -> None:
        folder = tmp_path / "d"
        folder.mkdir()
        (folder / "cards.json").write_text(rows("a"))
        async with watched(folder) as (core, _, taken):
            await until(lambda: taken)
            (folder / "cards.json").unlink()
            await until(lambda: core.sources["d/"].rejection_count)
            folder.rmdir()
            await until(lambda: core.sources["d/"].failure)
            assert set(core.nodes) == {"a"} and len(taken) == 1
            folder.mkdir()
            (folder / "cards.json").write_text(rows("a", "b"))
            await until(lambda: set(core.nodes) == {"a", "b"})

    run(test())


def test_what_is_taken_is_always_one_state_of_the_folder(tmp_path: Path) -> None:
    # Two files are rewritten from a seed, by rename and by truncate-and-write, in an order of their own.
    # Every list taken must be one that the folder as a whole had at some moment.
    async def test() -> None:
        random = Random(7)
        for name in "ab":
            (tmp_path / f"{name}.json").write_text(rows(f"{name}0", port=9000 + 100 * (name == "b")))
        legal = [{"a/a0", "b/b0"}]
        now = {"a": 0, "b": 0}
        async with watched(tmp_path, max_removed_fraction=1.0) as (_, _, taken):
            await until(lambda: taken)
            for step in range(1, 60):
                name = random.choice("ab")
                now[name] = step
                path, text = tmp_path / f"{name}.json", rows(f"{name}{step}", port=9000 + 100 * (name == "b"))
                if random.random() < 0.5:
                    fresh = tmp_path / ".fresh"
                    fresh.write_text(text)
                    fresh.rename(path)
                else:
                    with open(path, "w") as file:
                        file.write(text[:20])
                        file.flush()
                        await asyncio.sleep(random.random() * 0.01)
                        file.write(text[20:])
                legal.append({f"{one}/{one}{number}" for one, number in now.items()})
                await asyncio.sleep(random.random() * 0.03)
            await until(lambda: taken[-1] == legal[-1])
            assert all(one in legal for one in taken) and len(taken) > 5

    run(test())
