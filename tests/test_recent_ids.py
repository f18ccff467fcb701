"""An id that comes again runs once: after its client has left, after its answer, and at the other process of
a hot restart (operators' picture c)."""

from __future__ import annotations

import asyncio
import json
import os
from hashlib import blake2b
from pathlib import Path

import pytest

from flintlatch.net import recent_ids as recent_ids_module
from flintlatch.net.recent_ids import WINDOW, RecentIds, SharedIds, key_of
from flintlatch.ops.succession import HotRestart, find_predecessor
from flintlatch.program import Config, start
from tests.loopback import Client, configuration, proxy, run, target
from tests.test_leaving import until


class Clock:
    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ms = 1e6
        monkeypatch.setattr(recent_ids_module, "now_ms", lambda: self.ms)


def test_an_id_is_remembered_from_the_end_of_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was remembered for 4 s from its arrival, so an upload that took longer was forgotten at its end."""
    clock, ids = Clock(monkeypatch), RecentIds()
    ids.add("upload")
    clock.ms += 60_000  # open, so that its request is looked for elsewhere
    ids.end("upload")
    clock.ms += recent_ids_module.RETENTION_MS - 1
    assert "upload" in ids and "other" not in ids
    clock.ms += 2
    assert "upload" not in ids
    ids.add("other")
    assert len(ids) == 1


@pytest.mark.parametrize("first", ["old", "new"])
def test_two_processes_share_their_ids(first: str, monkeypatch: pytest.MonkeyPatch) -> None:
    clock, old = Clock(monkeypatch), RecentIds()
    old.add("before")
    new = RecentIds()
    new.join(os.dup(old.share()))
    assert "before" in new
    one, other = (old, new) if first == "old" else (new, old)
    one.add("open")
    clock.ms += 60_000
    assert "open" in other  # it may still run
    one.end("open")
    clock.ms += recent_ids_module.RETENTION_MS - 1
    assert "open" in other
    clock.ms += 2
    assert "open" not in other


def test_a_full_table_forgets_what_ends_first(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock(monkeypatch)
    table = SharedIds()
    keys = [7 + number * recent_ids_module.SLOTS for number in range(WINDOW + 1)]
    for number, key in enumerate(keys):
        table.put(key, clock.ms + 100 + number)
    assert keys[0] not in table and all(key in table for key in keys[1:])
    clock.ms += 1000
    assert not any(key in table for key in keys)


def test_keys_do_not_depend_on_the_process() -> None:
    # The hash of a string does, PYTHONHASHSEED.
    assert key_of("c1") == int.from_bytes(blake2b(b"c1", digest_size=8).digest(), "little")


def test_an_id_of_a_long_upload_that_comes_again_is_not_run_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """As seen: the id of an upload of 4.5 s ran twice when it came again 50 ms after its client had left."""
    monkeypatch.setattr(recent_ids_module, "RETENTION_MS", 300.0)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="up", content_length="100000")
            for _ in range(10):
                client.writer.write(b"u" * 10_000)
                await asyncio.sleep(0.05)
            await p.backends[0].requests.get()
            client.close()
            await until(lambda: not p.engine.requests)
            again = await p.client()
            assert (await again.ask(x_call_id="up")).status == 400
            assert p.backends[0].requests.empty()

    run(test())


def test_an_id_that_comes_again_at_the_successor_is_not_run_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with proxy() as old:
            restart = HotRestart(old.engine, old.frontend, 1000)
            restart.offer_listeners(str(tmp_path), old.frontend.address)
            predecessor = await asyncio.to_thread(find_predecessor, str(tmp_path), old.frontend.address)
            assert predecessor is not None
            for sock in predecessor.listeners:
                sock.close()
            path = tmp_path / "config.json"
            known = [target("s0", old.backends[0].address)]
            path.write_text(json.dumps(configuration("127.0.0.1:9", *known)))
            engine, frontend = start(Config({"LB_CONFIG": str(path)}))
            HotRestart(engine, frontend, 1000).share_recent_ids(predecessor)
            client = await old.client()
            client.send(x_call_id="one")
            await old.backends[0].requests.get()
            client.close()
            other = await Client.open(frontend.address)
            assert (await other.ask(x_call_id="one")).status == 400
            other.send(x_call_id="two")
            (await old.backends[0].requests.get()).reply()
            assert (await other.reply()).status == 200
            again = await old.client()
            assert (await again.ask(x_call_id="two")).status == 400
            await frontend.finish(0.0)
            engine.close()
            restart.close()

    run(test())
