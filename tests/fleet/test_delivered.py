"""A fleet whose nodes come by delivery: origin and relays as processes of their own, killed while it runs."""

from __future__ import annotations

import asyncio
import io
import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager, redirect_stdout, suppress
from pathlib import Path
from typing import Any

import pytest

from flintlatch.api import ListKind
from flintlatch.cli import main
from flintlatch.config import parse
from flintlatch.config.delivery import read_delivery_rules
from flintlatch.config.reader import Reader
from flintlatch.delivery.model import ObjectChange, Place
from flintlatch.delivery.shell import Server
from flintlatch.delivery.source import LOOK_S
from flintlatch.fleet.delivered import Supply
from flintlatch.fleet.nodes import Nodes, described
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Listing, read_listing
from flintlatch.net.engine import Engine
from flintlatch.peers.clock import clock
from flintlatch.standin.client import Clients
from flintlatch.standin.delivery import KEY, QUICK, Child
from flintlatch.standin.node import Shape
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import CLASSES, Rig, configuration, toml
from tests.fleet.support import Daemon, none_left, run

SERVICE = "service/answers"
RULES = read_delivery_rules(Reader("quick", "rules", QUICK, []))
LOADED_S = 4.0  # that a machine with more to do than cores may add to a bound
ROOT = Path(__file__).parent.parent.parent


def text_of(relays: list[str], rules: Mapping[str, Any], registry: str = "127.0.0.1:1", **tables: Any) -> str:
    """A fleet's configuration; relays `rK` at these addresses."""
    nodes: dict[str, Any] = {"source": "delivery", "service": SERVICE} | tables.pop("nodes", {})
    tables = {"delivery": {"key_file": "key"}, "delivery.rules": rules, "nodes": nodes, **tables}
    rows = [{"name": f"r{n}", "address": address} for n, address in enumerate(relays)]
    return configuration(registry, {"delivery.relays": rows}, **tables)


class Plain(Child):
    """With the interpreter's own compiled modules: one folder of them for each test takes seconds to fill."""

    def _env(self) -> dict[str, str]:
        return dict(os.environ) | {"PYTHONPATH": str(ROOT)}


class Delivering(Daemon):
    """A fleet with its origin, two relays and stand-in nodes."""

    def __init__(self, folder: Path, rig: Rig) -> None:
        super().__init__(folder, rig)
        self.folder = folder
        self.children: dict[str, Child] = {}
        self.rows: dict[str, dict[str, Any]] = {}

    async def start(self, command: str, name: str, **keys: Any) -> str:
        """The address of an origin or a relay that has been started."""
        path = self.folder / f"{name}.toml"
        keys |= {"name": name, "key_file": "key.theirs", "bind": "127.0.0.1:0"}
        lines = ["[delivery]", *(f"{key} = {toml(value)}" for key, value in keys.items())]
        lines += ["[delivery.rules]", *(f"{key} = {toml(value)}" for key, value in QUICK.items())]
        path.write_text("\n".join(lines) + "\n")
        child = self.children[name] = await Plain(command, path).start()
        return child.log[await child.said("listens on ") - 1].split()[-1]

    def row(self, place: int, **more: Any) -> None:
        node = self.rig.nodes[place]
        self.rows[node.uid] = {"address": node.address, "cell": place} | more

    async def commit(self) -> int:
        """Put the rows in place as the origin's file; its revision, once the origin has committed it."""
        origin, fresh = self.children["origin"], self.folder / "objects.new"
        start = len(origin.log)
        fresh.write_text(json.dumps({SERVICE: self.rows}))
        fresh.rename(self.folder / "objects.json")
        line = origin.log[await origin.said("revision ", start) - 1]
        return int(line.partition("revision ")[2].partition(":")[0])

    async def taken(self, revision: int, within_s: float) -> None:
        """The fleet and every instance have it. Counted from here."""
        async with asyncio.timeout(within_s):
            await self.fleet.said(f"{SERVICE}: version {revision} taken")
            await self.fleet.until(
                lambda s: {one["rev"] for one in s["instances"]} == {s["generations"][-1]["nodes"]["rev"]}
            )

    async def source(self) -> dict[str, Any]:
        (source,) = (await self.fleet.ask("nodes"))["sources"]
        return dict(source)

    async def states(self) -> dict[str, str]:
        listed = (await self.fleet.ask("nodes"))["list"]["targets"]
        return {target["uid"]: target["state"] for target in listed}

    async def until_source(self, good: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        async with asyncio.timeout(RULES.detect_s() + 2 * RULES.stale_s + 4 * LOADED_S):
            while not good(source := await self.source()):
                await asyncio.sleep(0.02)
            return source

    async def command(self, *arguments: str) -> str:
        """What `flintlatch ...` prints."""
        out = io.StringIO()
        with redirect_stdout(out):
            assert await asyncio.to_thread(main, list(arguments)) == 0, self.fleet.log
        return out.getvalue()

    def said(self, words: str) -> int:
        return sum(words in line for line in self.fleet.log)


@asynccontextmanager
async def delivering(folder: Path, count: int, instances: int, **nodes: Any) -> AsyncIterator[Delivering]:
    rig = await Rig(folder, 1).open(count, Shape())
    made = Delivering(folder, rig)
    (folder / "key").write_text(KEY)
    (folder / "key.theirs").write_text(KEY)
    for place in range(count):
        made.row(place)
    (folder / "objects.json").write_text(json.dumps({SERVICE: made.rows}))
    try:
        origin = await made.start("origin", "origin", source="objects.json")
        both = (made.start("relay", f"r{n}", origin=origin) for n in range(2))
        relays = list(await asyncio.gather(*both))
        fleet = {"instances": instances}
        nodes = {"connect_timeout_ms": 1000, **nodes}
        rig.config.write_text(text_of(relays, QUICK, fleet=fleet, drain={"idle_s": 0.1}, nodes=nodes))
        made.fleet = FleetProcess(rig.config, made.env)
        await (await made.fleet.start()).ready()
        made.clients = Clients(made.fleet.address, CLASSES, rig.ledger, 1)
        yield made
        await made.clients.none_open.wait()
        await made.pids_now()
        assert await made.fleet.stop() == 0, made.fleet.log
        await none_left(made.pids)
        children = [line for child in made.children.values() for line in child.log]
        bugs = [line for line in (*made.fleet.log, *children) if "bug" in line or "Traceback" in line]
        assert not bugs, bugs
        made.good()
    finally:
        if hasattr(made, "clients"):
            made.clients.close()
        if hasattr(made, "fleet"):
            await made.fleet.close()
        for child in made.children.values():
            with suppress(ProcessLookupError):
                await child.end()
        rig.close()


def test_drains_relays_killed_and_a_wrong_key_while_traffic_runs(tmp_path: Path) -> None:
    async def test() -> None:
        async with delivering(tmp_path, 4, 2) as made:
            ledger = made.rig.ledger
            first = await made.source()
            assert (first["source"], first["nodes"], first["old"], first["failure"]) == (
                SERVICE,
                4,
                False,
                "",
            )
            assert first["delivery"]["relay"] in ("r0", "r1") and first["delivery"]["complaint"] == ""
            told = await made.command("nodes", str(made.rig.config))
            assert f"{SERVICE}: version {first['version']}, 4 nodes, 0 rejected" in told
            line = (
                rf"revision {first['version']}, at most [0-9.]+ s old, relay {first['delivery']['relay']}\n"
            )
            assert re.search(line, told), told
            traffic = asyncio.create_task(made.clients.run(100, 60, {"answer": 0.8, "grade": 0.2}))

            # A drain in the origin's file: nothing new at that node past the bound and its grace.
            made.row(0, state="draining")
            bound_s = LOOK_S + RULES.staleness_s(0, 0.0)
            ledger.told_draining["s0"] = now_ms() + 1000 * bound_s
            await made.taken(await made.commit(), bound_s + LOADED_S)
            assert await made.states() == {"s0": "leaving", "s1": "active", "s2": "active", "s3": "active"}

            # The relay that it follows at is killed: requests go on, and the next change comes in its bound.
            lost = (await made.source())["delivery"]["relay"]
            answered = made.clients.statuses[200]
            await made.children[lost].end()
            made.row(1, state="draining")
            began, revision = clock(), await made.commit()
            await made.taken(revision, LOOK_S + RULES.staleness_s(1, 0.0) + LOADED_S)
            print(f"a change with its relay killed came after {clock() - began:.2f} s")
            ledger.told_draining["s1"] = now_ms()
            source = await made.source()
            assert source["version"] == revision and source["delivery"]["relay"] not in ("", lost)
            assert made.clients.statuses[200] > answered
            assert not made.said("no relay with news")

            # Another key: the relay refuses it and tells, and what was taken stands over the reload.
            left = source["delivery"]["relay"]
            (tmp_path / "key").write_text("5d" * 32)
            assert (await made.fleet.ask("reload"))["ok"]
            await made.children[left].said("no key of ours sealed")
            await made.rig.add(Shape())
            made.row(4)
            missed = await made.commit()
            await made.fleet.said("no relay with news")
            assert made.said("nothing is held by this client; a list taken before stands") == 1
            source = await made.source()
            assert source["old"] and source["version"] == revision and "s4" not in await made.states()
            assert f"{SERVICE}: no relay with news for" in source["delivery"]["complaint"]
            status = await made.fleet.status()
            known = status["generations"][-1]["nodes"]
            assert "no relay with news" in known["failure"] and known["age_s"] >= 2 * RULES.stale_s
            (tmp_path / "key").write_text(KEY)
            assert (await made.fleet.ask("reload"))["ok"]
            await made.taken(missed, RULES.connect_s + RULES.staleness_s(0, 0.0) + LOADED_S)
            assert (await made.states())["s4"] == "active" and not (await made.source())["old"]

            # No relay at all: serves on, says so once, and keeps what it has over a reload.
            place = len(made.fleet.log)
            await made.children[left].end()
            place = await made.fleet.said("no relay with news", place)
            assert f"serving on with revision {missed}" in made.fleet.log[place - 1]
            made.fleet.signal(signal.SIGHUP)
            await made.fleet.until(lambda s: s["summary"].startswith("generation 4: 2 of 2"))
            answered = made.clients.statuses[200]
            assert (await made.states())["s4"] == "active" and (await made.source())["version"] == missed
            assert f"relay none; {SERVICE}: no relay with news for" in await made.command(
                "nodes", str(made.rig.config)
            )
            await made.clients.run(100, 0.5, {"answer": 1})
            assert made.clients.statuses[200] > answered
            assert sum("no relay with news" in line for line in made.fleet.log[place:]) == 0
            traffic.cancel()

    run(test())


def test_bad_rows_and_too_much_at_once_wait_and_a_restart_without_relays_serves_what_was_kept(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with delivering(tmp_path, 4, 1, keep="kept", hold_s=60.0) as made:
            good = made.rows["s1"]
            made.row(1, weight=-1)
            made.row(0, state="draining")
            await made.commit()
            await made.fleet.said("rejected: item['s1'].weight: found -1, expected a number from 0.01")
            assert set((await made.states()).values()) == {"active"}
            made.rows["s1"] = good
            revision = await made.commit()
            await made.taken(revision, LOOK_S + RULES.staleness_s(0, 0.0) + LOADED_S)
            assert (await made.states())["s0"] == "leaving"
            told = (await made.fleet.status())["generations"][-1]["nodes"]
            assert told["rejected"] == 1 and "item['s1'].weight" in told["last_rejection"]

            # Half of the items, so that the origin lets it pass, and two of three active nodes.
            made.rows = {"s0": made.rows["s0"], "s3": made.rows["s3"]}
            held = await made.commit()
            await made.fleet.said(f"version {held} held for 60 s: it takes away 2 of 3 active nodes")
            assert (await made.source())["held"] == held and len(await made.states()) == 4
            # A reload does not let through what is held.
            assert (await made.fleet.ask("reload"))["ok"]
            await made.until_source(lambda source: source["held"] == held)
            assert (await made.source())["version"] == revision
            await made.command("nodes", str(made.rig.config), "--confirm", SERVICE, str(held))
            await made.fleet.said(f"version {held} taken")
            async with asyncio.timeout(LOADED_S):
                while f'"version":{held},'.encode() not in (tmp_path / "kept.0").read_bytes():
                    await asyncio.sleep(0.01)  # it is kept off the loop

            # The object is gone: told, and nothing of it is taken away.
            (tmp_path / "objects.new").write_text('{"other": {"a": 1}, "$confirm": true}')
            (tmp_path / "objects.new").rename(tmp_path / "objects.json")
            await made.fleet.said("the origin has no such object; the list held stands")
            assert (await made.source())["failure"] == "the origin has no such object"

            # No relay, no supervisor of before: the kept one serves.
            await asyncio.gather(*(made.children[name].end() for name in ("r0", "r1")))
            await made.pids_now()
            assert await made.fleet.stop() == 0
            made.clients.close()
            made.fleet = await (await FleetProcess(made.rig.config, made.env).start()).ready()
            made.clients = Clients(made.fleet.address, CLASSES, made.rig.ledger, 2)
            await made.fleet.said(f"{SERVICE}: version {held} of before, until there is a newer one")
            assert await made.states() == {"s0": "leaving", "s3": "active"}
            assert (await made.source())["old"]
            await made.clients.run(50, 0.3, {"answer": 1})
            assert made.clients.statuses[200] > 0

    run(test())


class Inside:
    """A relay and the part of a supervisor that follows, in this process; `news` is what workers are told."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "key").write_text(KEY)
        self.log: list[str] = []
        self.news: list[Listing] = []
        self.server = Server(Place("r0"), "127.0.0.1:0", RULES, (bytes.fromhex(KEY),), self.log.append)
        self.supply = Supply(lambda level, text: self.log.append(f"{level}: {text}"))
        self.drawn: list[Nodes] = []

    async def open(self, count: int) -> Nodes:
        await self.server.open()
        self.commit({f"s{n}": {"address": f"10.0.{n >> 8}.{n & 255}:80", "zone": "a"} for n in range(count)})
        return await self.draw()

    def commit(
        self, rows: dict[str, Any], removed: tuple[str, ...] = (), name: str = SERVICE, gone: bool = False
    ) -> None:
        items = {uid: json.dumps(row).encode() for uid, row in rows.items()}
        names = self.server.store.commit([ObjectChange(name, items, removed, gone)])
        self.server.committed(tuple(names))

    async def draw(
        self, within_s: float = RULES.staleness_s(0, 0.0) + LOADED_S, service: str = SERVICE
    ) -> Nodes:
        """As a reload does. Raises TimeoutError."""
        path = str(self.folder / "fleet.toml")
        config = parse(text_of([self.server.address], QUICK, nodes={"service": service}), path)
        nodes = Nodes(config, lambda _, news: self.news.append(news), lambda *line: None, self.supply)
        self.drawn.append(nodes)
        async with asyncio.timeout(within_s):
            await nodes.first()
        return nodes

    async def until(self, good: Callable[[], bool]) -> None:
        async with asyncio.timeout(RULES.detect_s() + 2 * RULES.stale_s + LOADED_S):
            while not good():
                await asyncio.sleep(0.01)

    def close(self) -> None:
        for nodes in self.drawn:
            nodes.close()
        self.supply.close()
        self.server.close()


def test_one_backend_that_changes_reaches_the_module_as_a_change_of_one(tmp_path: Path) -> None:
    async def test() -> None:
        made = Inside(tmp_path)
        nodes = await made.open(2000)
        config = parse(text_of(["127.0.0.1:1"], {}), "f.toml")
        engine = Engine(config.settings(0), config.socket_settings(), 1, 100)
        whole = described(nodes.whole())
        engine.on_list(read_listing(whole, config.socket_settings()))
        engine.list_events.clear()
        made.commit({"s7": {"address": "10.0.0.7:80", "zone": "a", "state": "draining"}})
        await made.until(lambda: bool(made.news))
        (news,) = made.news
        message = json.dumps(described(news))  # what each worker is sent
        assert len(message) < 300 < len(json.dumps(whole)) / 500
        engine.on_list(read_listing(json.loads(message), config.socket_settings()))
        (told,) = engine.list_events
        assert told.kind is ListKind.DELTA and [entry.server for entry in told.entries] == ["s7"]
        assert len(engine.backends.backends) == 2000
        made.commit({}, ("s9",))
        await made.until(lambda: len(made.news) == 2)
        assert [(t.uid, t.info.state.name) for t in made.news[1].targets] == [("s9", "GONE")]
        engine.close()
        made.close()

    run(test())


def test_reloads_share_a_client_and_a_key_file_gone_bad_leaves_the_keys_of_before(tmp_path: Path) -> None:
    async def test() -> None:
        made = Inside(tmp_path)
        first = await made.open(3)
        (feed,) = made.supply.feeds
        second = await made.draw()
        (tmp_path / "key").write_text("no key")
        third = await made.draw()
        assert made.supply.feeds == [feed] and len(made.server.relay.sessions) == 1
        assert any("going on with the keys of before" in line for line in made.log)
        made.commit({"s3": {"address": "10.0.0.3:80"}})
        await made.until(lambda: all(len(nodes.targets) == 4 for nodes in (first, second, third)))
        first.close()
        second.close()
        made.commit({"s4": {"address": "10.0.0.4:80"}})
        await made.until(lambda: len(third.targets) == 5)
        assert len(first.targets) == len(second.targets) == 4
        # A new key that the relay has not: what was taken stands, and the old client goes with its last user.
        (tmp_path / "key").write_text("5d" * 32)
        fourth = await made.draw()
        assert fourth.failure == f"{SERVICE}: no relay has answered yet"
        assert len(fourth.targets) == 5 and len(made.supply.feeds) == 2
        third.close()
        assert feed not in made.supply.feeds
        (tmp_path / "key").write_text(KEY)
        fifth = await made.draw()
        fourth.close()
        await made.until(lambda: fifth.failure == "")
        made.commit({"s5": {"address": "10.0.0.5:80"}})
        await made.until(lambda: len(fifth.targets) == 6)
        fifth.close()
        assert made.supply.feeds == []
        await made.until(lambda: not made.server.relay.sessions)
        made.drawn.clear()
        made.close()

    run(test())


def test_a_reload_that_names_another_object_follows_it_and_leaves_the_one_before(tmp_path: Path) -> None:
    async def test() -> None:
        made = Inside(tmp_path)
        first = await made.open(2)
        made.commit({"t0": {"address": "10.0.1.0:80"}}, name="service/other")
        second = await made.draw(service="service/other")
        assert (set(first.targets), set(second.targets)) == ({"s0", "s1"}, {"t0"})
        (feed,) = made.supply.feeds
        assert set(feed.client.subscriber.names) == {SERVICE, "service/other"}
        first.close()
        assert set(feed.client.subscriber.names) == {"service/other"}
        # Gone and back again: what was taken stands meanwhile.
        made.commit({}, name="service/other", gone=True)
        await made.until(lambda: second.failure == "the origin has no such object")
        third = await made.draw(service="service/other")
        await made.until(lambda: third.failure == "the origin has no such object")
        assert set(second.targets) == set(third.targets) == {"t0"}
        made.commit(
            {"t0": {"address": "10.0.1.0:80"}, "t1": {"address": "10.0.1.1:80"}}, name="service/other"
        )
        await made.until(lambda: set(second.targets) == set(third.targets) == {"t0", "t1"})
        assert second.failure == third.failure == ""
        # One that the origin has not gives no list, and says why.
        with pytest.raises(TimeoutError):
            await made.draw(RULES.staleness_s(0, 0.0), service="service/none")
        await made.until(lambda: made.drawn[-1].failure == "the origin has no such object")
        made.close()

    run(test())


def test_without_a_key_nothing_is_followed_and_it_is_told_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        made = Inside(tmp_path)
        await made.server.open()
        (tmp_path / "key").write_text("no key")
        with pytest.raises(TimeoutError):
            await made.draw(0.1)
        (nodes,) = made.drawn
        expected = f"{tmp_path / 'key'}: line 1: expected 64 hexadecimal digits"
        assert made.log == [f"error: delivery: {expected}; nothing is followed until a reload"]
        assert (
            nodes.failure == expected and made.supply.feeds == []
        )  # never what stands there: it may be a key
        assert nodes.members is not None and nodes.members.report()[0]["delivery"]["complaint"] == expected
        made.close()

    run(test())


def test_a_fleet_without_the_table_loads_nothing_of_delivery() -> None:
    code = (
        "import sys, flintlatch.cli, flintlatch.fleet.supervisor, flintlatch.fleet.worker\n"
        "from flintlatch.config import load\n"
        f"load({str(ROOT / 'deploy' / 'fleet.toml')!r})\n"
        "print([n for n in sys.modules if 'deliver' in n or n in ('msgspec', 'cryptography')])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.stdout == "[]\n", done.stdout + done.stderr
