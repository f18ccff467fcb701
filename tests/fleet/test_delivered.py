"""A fleet whose nodes come by delivery, with the origin and the relays as separate processes that are
killed."""

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
from flintlatch.delivery.model import ObjectChange, Participant
from flintlatch.delivery.shell import Server
from flintlatch.delivery.source import POLL_INTERVAL_S
from flintlatch.fleet.delivered import DeliveryFeeds
from flintlatch.fleet.nodes import NodeList, encode_listing
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Engine
from flintlatch.net.listing import Listing, read_listing
from flintlatch.peers.clock import clock
from flintlatch.standin.client import Clients
from flintlatch.standin.delivery import KEY, QUICK, Child
from flintlatch.standin.node import Shape
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import CLASSES, Rig, configuration, toml
from tests.fleet.support import Daemon, none_left, run

SERVICE = "service/answers"
RULES = read_delivery_rules(Reader("quick", "rules", QUICK, []))
LOAD_MARGIN_S = 4.0  # added to time bounds, for a machine with more runnable processes than cores
ROOT = Path(__file__).parent.parent.parent


def configuration_text(
    relays: list[str], rules: Mapping[str, Any], registry: str = "127.0.0.1:1", **tables: Any
) -> str:
    """The configuration of a fleet with the relays r0, r1, ... at the given addresses."""
    nodes: dict[str, Any] = {"source": "delivery", "service": SERVICE} | tables.pop("nodes", {})
    tables = {"delivery": {"key_file": "key"}, "delivery.rules": rules, "nodes": nodes, **tables}
    relay_rows = [{"name": f"r{n}", "address": address} for n, address in enumerate(relays)]
    return configuration(registry, {"delivery.relays": relay_rows}, **tables)


class ChildWithBytecode(Child):
    """A child process that uses the shared bytecode cache: filling one per test takes seconds."""

    def _env(self) -> dict[str, str]:
        return dict(os.environ) | {"PYTHONPATH": str(ROOT)}


class DeliveryDaemon(Daemon):
    """A fleet with its origin, two relays and stand-in nodes."""

    def __init__(self, folder: Path, rig: Rig) -> None:
        super().__init__(folder, rig)
        self.folder = folder
        self.children: dict[str, Child] = {}
        self.rows: dict[str, dict[str, Any]] = {}

    async def start(self, command: str, name: str, **keys: Any) -> str:
        """Starts an origin or a relay, and returns its address."""
        path = self.folder / f"{name}.toml"
        keys |= {"name": name, "key_file": "key.theirs", "bind": "127.0.0.1:0"}
        lines = ["[delivery]", *(f"{key} = {toml(value)}" for key, value in keys.items())]
        lines += ["[delivery.rules]", *(f"{key} = {toml(value)}" for key, value in QUICK.items())]
        path.write_text("\n".join(lines) + "\n")
        child = self.children[name] = await ChildWithBytecode(command, path).start()
        return child.log[await child.wait_for_log("listens on ") - 1].split()[-1]

    def set_row(self, index: int, **fields: Any) -> None:
        node = self.rig.nodes[index]
        self.rows[node.uid] = {"address": node.address, "cell": index} | fields

    async def commit(self) -> int:
        """Writes the rows as the origin's file, and returns the revision once the origin has committed it."""
        origin, temporary = self.children["origin"], self.folder / "objects.new"
        log_position = len(origin.log)
        temporary.write_text(json.dumps({SERVICE: self.rows}))
        temporary.rename(self.folder / "objects.json")
        line = origin.log[await origin.wait_for_log("revision ", log_position) - 1]
        return int(line.partition("revision ")[2].partition(":")[0])

    async def wait_until_in_use(self, revision: int, timeout_s: float) -> None:
        """Waits until the fleet and every instance use the revision, at most `timeout_s` from now."""
        async with asyncio.timeout(timeout_s):
            await self.fleet.wait_for_log(f"{SERVICE}: version {revision} accepted")
            await self.fleet.until(
                lambda s: (
                    {instance["rev"] for instance in s["instances"]} == {s["generations"][-1]["nodes"]["rev"]}
                )
            )

    async def source(self) -> dict[str, Any]:
        (source,) = (await self.fleet.ask("nodes"))["sources"]
        return dict(source)

    async def node_states(self) -> dict[str, str]:
        targets = (await self.fleet.ask("nodes"))["list"]["targets"]
        return {target["uid"]: target["state"] for target in targets}

    async def wait_for_source(self, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        async with asyncio.timeout(RULES.failure_detection_s() + 2 * RULES.stale_s + 4 * LOAD_MARGIN_S):
            while not condition(source := await self.source()):
                await asyncio.sleep(0.02)
            return source

    async def command(self, *arguments: str) -> str:
        """Runs `flintlatch` with the arguments, and returns its output."""
        output = io.StringIO()
        with redirect_stdout(output):
            assert await asyncio.to_thread(main, list(arguments)) == 0, self.fleet.log
        return output.getvalue()

    def count_logged(self, text: str) -> int:
        return sum(text in line for line in self.fleet.log)


@asynccontextmanager
async def delivery_daemon(
    folder: Path, count: int, instances: int, **nodes: Any
) -> AsyncIterator[DeliveryDaemon]:
    rig = await Rig(folder, 1).open(count, Shape())
    harness = DeliveryDaemon(folder, rig)
    (folder / "key").write_text(KEY)
    (folder / "key.theirs").write_text(KEY)
    for index in range(count):
        harness.set_row(index)
    (folder / "objects.json").write_text(json.dumps({SERVICE: harness.rows}))
    try:
        origin = await harness.start("origin", "origin", source="objects.json")
        relay_starts = (harness.start("relay", f"r{n}", origin=origin) for n in range(2))
        relays = list(await asyncio.gather(*relay_starts))
        fleet = {"instances": instances}
        nodes = {"connect_timeout_ms": 1000, **nodes}
        rig.config.write_text(
            configuration_text(relays, QUICK, fleet=fleet, drain={"idle_s": 0.1}, nodes=nodes)
        )
        harness.fleet = FleetProcess(rig.config, harness.env)
        await (await harness.fleet.start()).ready()
        harness.clients = Clients(harness.fleet.address, CLASSES, rig.ledger, 1)
        yield harness
        await harness.clients.all_answered.wait()
        await harness.pids_now()
        assert await harness.fleet.stop() == 0, harness.fleet.log
        await none_left(harness.pids)
        children = [line for child in harness.children.values() for line in child.log]
        bugs = [line for line in (*harness.fleet.log, *children) if "bug" in line or "Traceback" in line]
        assert not bugs, bugs
        harness.assert_rules_kept()
    finally:
        if hasattr(harness, "clients"):
            harness.clients.close()
        if hasattr(harness, "fleet"):
            await harness.fleet.close()
        for child in harness.children.values():
            with suppress(ProcessLookupError):
                await child.end()
        rig.close()


def test_drains_relay_failures_and_a_wrong_key_under_traffic(tmp_path: Path) -> None:
    async def test() -> None:
        async with delivery_daemon(tmp_path, 4, 2) as harness:
            ledger = harness.rig.ledger
            first = await harness.source()
            assert (first["source"], first["nodes"], first["old"], first["failure"]) == (
                SERVICE,
                4,
                False,
                "",
            )
            assert first["delivery"]["relay"] in ("r0", "r1") and first["delivery"]["complaint"] == ""
            output = await harness.command("nodes", str(harness.rig.config))
            assert f"{SERVICE}: version {first['version']}, 4 nodes, 0 rejected" in output
            expected_line = (
                rf"revision {first['version']}, at most [0-9.]+ s old, relay {first['delivery']['relay']}\n"
            )
            assert re.search(expected_line, output), output
            traffic = asyncio.create_task(harness.clients.run(100, 60, {"answer": 0.8, "grade": 0.2}))

            # A drain in the origin's file: no new request may reach that node after the stated bound.
            harness.set_row(0, state="draining")
            bound_s = POLL_INTERVAL_S + RULES.staleness_bound_s(0, 0.0)
            ledger.drain_announced_ms["s0"] = now_ms() + 1000 * bound_s
            await harness.wait_until_in_use(await harness.commit(), bound_s + LOAD_MARGIN_S)
            assert await harness.node_states() == {
                "s0": "leaving",
                "s1": "active",
                "s2": "active",
                "s3": "active",
            }

            # The relay that the fleet follows is killed: requests are served, and the next change arrives
            # within the bound.
            stopped_relay = (await harness.source())["delivery"]["relay"]
            answered_before = harness.clients.statuses[200]
            await harness.children[stopped_relay].end()
            harness.set_row(1, state="draining")
            started, revision = clock(), await harness.commit()
            await harness.wait_until_in_use(
                revision, POLL_INTERVAL_S + RULES.staleness_bound_s(1, 0.0) + LOAD_MARGIN_S
            )
            print(f"a change with its relay killed came after {clock() - started:.2f} s")
            ledger.drain_announced_ms["s1"] = now_ms()
            source = await harness.source()
            assert source["version"] == revision and source["delivery"]["relay"] not in ("", stopped_relay)
            assert harness.clients.statuses[200] > answered_before
            assert not harness.count_logged("no relay with news")

            # Another key: the relay refuses and logs it, and the last accepted version stays over the reload.
            remaining_relay = source["delivery"]["relay"]
            (tmp_path / "key").write_text("5d" * 32)
            assert (await harness.fleet.ask("reload"))["ok"]
            await harness.children[remaining_relay].wait_for_log("no key of ours sealed")
            await harness.rig.add(Shape())
            harness.set_row(4)
            later_revision = await harness.commit()
            await harness.fleet.wait_for_log("no relay with news")
            assert harness.count_logged("nothing is held by this client; a list taken before stands") == 1
            source = await harness.source()
            assert source["old"] and source["version"] == revision and "s4" not in await harness.node_states()
            assert f"{SERVICE}: no relay with news for" in source["delivery"]["complaint"]
            status = await harness.fleet.status()
            list_status = status["generations"][-1]["nodes"]
            assert (
                "no relay with news" in list_status["failure"] and list_status["age_s"] >= 2 * RULES.stale_s
            )
            (tmp_path / "key").write_text(KEY)
            assert (await harness.fleet.ask("reload"))["ok"]
            await harness.wait_until_in_use(
                later_revision, RULES.connect_s + RULES.staleness_bound_s(0, 0.0) + LOAD_MARGIN_S
            )
            assert (await harness.node_states())["s4"] == "active" and not (await harness.source())["old"]

            # No relay left: the fleet serves on, logs that once, and keeps its list over a reload.
            log_position = len(harness.fleet.log)
            await harness.children[remaining_relay].end()
            log_position = await harness.fleet.wait_for_log("no relay with news", log_position)
            assert f"serving on with revision {later_revision}" in harness.fleet.log[log_position - 1]
            harness.fleet.signal(signal.SIGHUP)
            await harness.fleet.until(lambda s: s["summary"].startswith("generation 4: 2 of 2"))
            answered_before = harness.clients.statuses[200]
            assert (await harness.node_states())["s4"] == "active" and (await harness.source())[
                "version"
            ] == later_revision
            assert f"relay none; {SERVICE}: no relay with news for" in await harness.command(
                "nodes", str(harness.rig.config)
            )
            await harness.clients.run(100, 0.5, {"answer": 1})
            assert harness.clients.statuses[200] > answered_before
            assert sum("no relay with news" in line for line in harness.fleet.log[log_position:]) == 0
            traffic.cancel()

    run(test())


def test_invalid_and_risky_versions_are_stopped_and_the_saved_one_serves_without_relays(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with delivery_daemon(tmp_path, 4, 1, keep="kept", hold_s=60.0) as harness:
            valid_row = harness.rows["s1"]
            harness.set_row(1, weight=-1)
            harness.set_row(0, state="draining")
            await harness.commit()
            await harness.fleet.wait_for_log(
                "rejected: item['s1'].weight: found -1, expected a number from 0.01"
            )
            assert set((await harness.node_states()).values()) == {"active"}
            harness.rows["s1"] = valid_row
            revision = await harness.commit()
            await harness.wait_until_in_use(
                revision, POLL_INTERVAL_S + RULES.staleness_bound_s(0, 0.0) + LOAD_MARGIN_S
            )
            assert (await harness.node_states())["s0"] == "leaving"
            list_status = (await harness.fleet.status())["generations"][-1]["nodes"]
            assert list_status["rejected"] == 1 and "item['s1'].weight" in list_status["last_rejection"]

            # This removes half of the items, which the origin allows, and two of three active nodes.
            harness.rows = {"s0": harness.rows["s0"], "s3": harness.rows["s3"]}
            held_revision = await harness.commit()
            await harness.fleet.wait_for_log(
                f"version {held_revision} held for 60 s: it takes away 2 of 3 active nodes"
            )
            assert (await harness.source())["held"] == held_revision and len(await harness.node_states()) == 4
            # A reload does not apply a version that is on hold.
            assert (await harness.fleet.ask("reload"))["ok"]
            await harness.wait_for_source(lambda source: source["held"] == held_revision)
            assert (await harness.source())["version"] == revision
            await harness.command("nodes", str(harness.rig.config), "--confirm", SERVICE, str(held_revision))
            await harness.fleet.wait_for_log(f"version {held_revision} accepted")
            async with asyncio.timeout(LOAD_MARGIN_S):
                while f'"version":{held_revision},'.encode() not in (tmp_path / "kept.0").read_bytes():
                    await asyncio.sleep(0.01)  # saved in a thread

            # The object is deleted at the origin: that is logged, and no node is removed.
            (tmp_path / "objects.new").write_text('{"other": {"a": 1}, "$confirm": true}')
            (tmp_path / "objects.new").rename(tmp_path / "objects.json")
            await harness.fleet.wait_for_log("the origin has no such object; the list held stands")
            assert (await harness.source())["failure"] == "the origin has no such object"

            # After a restart without any relay the saved version is used.
            await asyncio.gather(*(harness.children[name].end() for name in ("r0", "r1")))
            await harness.pids_now()
            assert await harness.fleet.stop() == 0
            harness.clients.close()
            harness.fleet = await (await FleetProcess(harness.rig.config, harness.env).start()).ready()
            harness.clients = Clients(harness.fleet.address, CLASSES, harness.rig.ledger, 2)
            await harness.fleet.wait_for_log(
                f"{SERVICE}: version {held_revision} of before, until there is a newer one"
            )
            assert await harness.node_states() == {"s0": "leaving", "s3": "active"}
            assert (await harness.source())["old"]
            await harness.clients.run(50, 0.3, {"answer": 1})
            assert harness.clients.statuses[200] > 0

    run(test())


class InProcessFeed:
    """A relay and the feeds of a supervisor in this process; `listings` are those sent to workers."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        (folder / "key").write_text(KEY)
        self.log: list[str] = []
        self.listings: list[Listing] = []
        self.server = Server(Participant("r0"), "127.0.0.1:0", RULES, (bytes.fromhex(KEY),), self.log.append)
        self.delivery_feeds = DeliveryFeeds(lambda level, text: self.log.append(f"{level}: {text}"))
        self.node_lists: list[NodeList] = []

    async def open(self, count: int) -> NodeList:
        await self.server.open()
        self.commit({f"s{n}": {"address": f"10.0.{n >> 8}.{n & 255}:80", "zone": "a"} for n in range(count)})
        return await self.open_nodes()

    def commit(
        self, rows: dict[str, Any], removed: tuple[str, ...] = (), name: str = SERVICE, gone: bool = False
    ) -> None:
        items = {uid: json.dumps(row).encode() for uid, row in rows.items()}
        changed_names = self.server.store.commit([ObjectChange(name, items, removed, gone)])
        self.server.committed(tuple(changed_names))

    async def open_nodes(
        self, timeout_s: float = RULES.staleness_bound_s(0, 0.0) + LOAD_MARGIN_S, service: str = SERVICE
    ) -> NodeList:
        """Opens a node list as a reload does. Raises TimeoutError."""
        path = str(self.folder / "fleet.toml")
        config = parse(configuration_text([self.server.address], QUICK, nodes={"service": service}), path)
        node_list = NodeList(
            config, lambda _, listing: self.listings.append(listing), lambda *line: None, self.delivery_feeds
        )
        self.node_lists.append(node_list)
        async with asyncio.timeout(timeout_s):
            await node_list.wait_for_first()
        return node_list

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(RULES.failure_detection_s() + 2 * RULES.stale_s + LOAD_MARGIN_S):
            while not condition():
                await asyncio.sleep(0.01)

    def close(self) -> None:
        for node_list in self.node_lists:
            node_list.close()
        self.delivery_feeds.close()
        self.server.close()


def test_change_of_one_backend_reaches_the_decision_module_as_a_delta(tmp_path: Path) -> None:
    async def test() -> None:
        harness = InProcessFeed(tmp_path)
        node_list = await harness.open(2000)
        config = parse(configuration_text(["127.0.0.1:1"], {}), "f.toml")
        engine = Engine(config.settings(0), config.socket_settings(), 1, 100)
        snapshot = encode_listing(node_list.snapshot())
        engine.on_list(read_listing(snapshot, config.socket_settings()))
        engine.list_events.clear()
        harness.commit({"s7": {"address": "10.0.0.7:80", "zone": "a", "state": "draining"}})
        await harness.until(lambda: bool(harness.listings))
        (delta,) = harness.listings
        message = json.dumps(encode_listing(delta))  # as sent to each worker
        assert len(message) < 300 < len(json.dumps(snapshot)) / 500
        engine.on_list(read_listing(json.loads(message), config.socket_settings()))
        (change,) = engine.list_events
        assert change.kind is ListKind.DELTA and [entry.server for entry in change.entries] == ["s7"]
        assert len(engine.backends.backends) == 2000
        harness.commit({}, ("s9",))
        await harness.until(lambda: len(harness.listings) == 2)
        assert [(t.uid, t.info.state.name) for t in harness.listings[1].targets] == [("s9", "GONE")]
        engine.close()
        harness.close()

    run(test())


def test_reloads_share_a_client_and_an_invalid_key_file_keeps_the_previous_keys(tmp_path: Path) -> None:
    async def test() -> None:
        harness = InProcessFeed(tmp_path)
        first = await harness.open(3)
        (feed,) = harness.delivery_feeds.feeds
        second = await harness.open_nodes()
        (tmp_path / "key").write_text("no key")
        third = await harness.open_nodes()
        assert harness.delivery_feeds.feeds == [feed] and len(harness.server.relay.sessions) == 1
        assert any("going on with the keys of before" in line for line in harness.log)
        harness.commit({"s3": {"address": "10.0.0.3:80"}})
        await harness.until(lambda: all(len(node_list.targets) == 4 for node_list in (first, second, third)))
        first.close()
        second.close()
        harness.commit({"s4": {"address": "10.0.0.4:80"}})
        await harness.until(lambda: len(third.targets) == 5)
        assert len(first.targets) == len(second.targets) == 4
        # A key that the relay does not have: the accepted version stays in use, and the previous client is
        # closed with its last subscription.
        (tmp_path / "key").write_text("5d" * 32)
        fourth = await harness.open_nodes()
        assert fourth.failure == f"{SERVICE}: no relay has answered yet"
        assert len(fourth.targets) == 5 and len(harness.delivery_feeds.feeds) == 2
        third.close()
        assert feed not in harness.delivery_feeds.feeds
        (tmp_path / "key").write_text(KEY)
        fifth = await harness.open_nodes()
        fourth.close()
        await harness.until(lambda: fifth.failure == "")
        harness.commit({"s5": {"address": "10.0.0.5:80"}})
        await harness.until(lambda: len(fifth.targets) == 6)
        fifth.close()
        assert harness.delivery_feeds.feeds == []
        await harness.until(lambda: not harness.server.relay.sessions)
        harness.node_lists.clear()
        harness.close()

    run(test())


def test_reload_with_another_object_follows_it_and_unfollows_the_previous_one(tmp_path: Path) -> None:
    async def test() -> None:
        harness = InProcessFeed(tmp_path)
        first = await harness.open(2)
        harness.commit({"t0": {"address": "10.0.1.0:80"}}, name="service/other")
        second = await harness.open_nodes(service="service/other")
        assert (set(first.targets), set(second.targets)) == ({"s0", "s1"}, {"t0"})
        (feed,) = harness.delivery_feeds.feeds
        assert set(feed.client.subscriber.names) == {SERVICE, "service/other"}
        first.close()
        assert set(feed.client.subscriber.names) == {"service/other"}
        # The object is deleted and created again: the accepted version stays in use meanwhile.
        harness.commit({}, name="service/other", gone=True)
        await harness.until(lambda: second.failure == "the origin has no such object")
        third = await harness.open_nodes(service="service/other")
        await harness.until(lambda: third.failure == "the origin has no such object")
        assert set(second.targets) == set(third.targets) == {"t0"}
        harness.commit(
            {"t0": {"address": "10.0.1.0:80"}, "t1": {"address": "10.0.1.1:80"}}, name="service/other"
        )
        await harness.until(lambda: set(second.targets) == set(third.targets) == {"t0", "t1"})
        assert second.failure == third.failure == ""
        # An object that the origin does not have gives no list, and the failure says why.
        with pytest.raises(TimeoutError):
            await harness.open_nodes(RULES.staleness_bound_s(0, 0.0), service="service/none")
        await harness.until(lambda: harness.node_lists[-1].failure == "the origin has no such object")
        harness.close()

    run(test())


def test_invalid_key_file_at_the_start_is_logged_and_nothing_is_followed(tmp_path: Path) -> None:
    async def test() -> None:
        harness = InProcessFeed(tmp_path)
        await harness.server.open()
        (tmp_path / "key").write_text("no key")
        with pytest.raises(TimeoutError):
            await harness.open_nodes(0.1)
        (node_list,) = harness.node_lists
        expected = f"{tmp_path / 'key'}: line 1: expected 64 hexadecimal digits"
        assert harness.log == [f"error: delivery: {expected}; nothing is followed until a reload"]
        # The message never quotes the content of the file, which may be a key.
        assert node_list.failure == expected and harness.delivery_feeds.feeds == []
        assert (
            node_list.node_sources is not None
            and node_list.node_sources.report()[0]["delivery"]["complaint"] == expected
        )
        harness.close()

    run(test())


def test_fleet_without_delivery_does_not_import_it() -> None:
    code = (
        "import sys, flintlatch.cli, flintlatch.fleet.supervisor, flintlatch.fleet.worker\n"
        "from flintlatch.config import load\n"
        f"load({str(ROOT / 'deploy' / 'fleet.toml')!r})\n"
        "print([n for n in sys.modules if 'deliver' in n or n in ('msgspec', 'cryptography')])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30
    )
    assert completed.stdout == "[]\n", completed.stdout + completed.stderr
