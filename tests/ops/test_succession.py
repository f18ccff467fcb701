"""Hot restart as the platform does it, with the new process beside the old one: no connection is lost."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
from pathlib import Path

import pytest

from flintlatch import handover
from flintlatch.net.backends import split_descriptors
from flintlatch.net.listing import read_listing
from flintlatch.ops.succession import HotRestart, find_predecessor, offer_path_prefix
from flintlatch.program import Config, start
from flintlatch.standin.proxy import ProxyProcess, free_address, write
from tests.loopback import Client, ScriptedServer, configuration, listing, proxy, run, target


async def readiness_status(address: str) -> int:
    """The status on a new connection; 0 if it was refused, reset or closed without a response."""
    try:
        client = await Client.open(address)
        try:
            return (await client.ask("/health/ready", "GET", connection="close")).status
        finally:
            client.close()
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_no_connection_is_refused_or_reset_during_hot_restarts(tmp_path: Path, signal_number: int) -> None:
    # Guards against connections lost in the queue of a listening socket that ends with its process, and
    # against a new process that can't listen at the address.
    async def test() -> None:
        backend, address = await ScriptedServer().open(), free_address()
        with tempfile.TemporaryDirectory(prefix="fl", dir="/tmp") as folder:
            config = write(
                tmp_path / "config.json", configuration("127.0.0.1:1", target("s", backend.address))
            )
            statuses: list[int] = []
            stopped = asyncio.Event()

            async def load() -> None:
                while not stopped.is_set():
                    statuses.append(await readiness_status(address))

            serving = await ProxyProcess.start(config, LB_LISTEN=address, TMPDIR=folder)
            clients = [asyncio.create_task(load()) for _ in range(4)]
            kept = await Client.open(address)
            assert (await kept.ask("/health/ready", "GET")).status == 200
            for _ in range(2):
                successor = await ProxyProcess.start(config, LB_LISTEN=address, TMPDIR=folder)
                await serving.wait_for_log("a successor serves")
                if signal_number == signal.SIGTERM:
                    stopping, serving = serving, successor
                    stop = asyncio.create_task(stopping.end())
                    # The stopping process still answers on a kept connection, and then closes it.
                    reply = await kept.ask("/health/ready", "GET")
                    assert reply.status == 200
                    assert await stop == 0 and not any("bug" in line for line in stopping.lines)
                    kept.close()
                    kept = await Client.open(address)
                    assert (await kept.ask("/health/ready", "GET")).status == 200
                else:
                    # Its open requests get no response.
                    assert await serving.end(signal_number) == -signal_number
                    serving = successor
                await serving.wait_for_log("the predecessor is gone")
            stopped.set()
            await asyncio.gather(*clients)
            assert len(statuses) > 20
            if signal_number == signal.SIGTERM:
                assert set(statuses) == {200}
            else:
                assert statuses.count(200) >= len(statuses) - 2 * len(clients)
            kept.close()
            assert await serving.end() == 0
            assert os.listdir(folder) == [] or signal_number == signal.SIGKILL
        backend.close()

    run(test())


def test_the_socket_of_a_killed_process_is_removed(tmp_path: Path) -> None:
    address = "127.0.0.1:9"
    path = f"{offer_path_prefix(str(tmp_path), address)}+1"
    with socket.socket(socket.AF_UNIX) as stale_socket:
        stale_socket.bind(path)
    assert find_predecessor(str(tmp_path), address) is None
    assert not os.path.exists(path)
    assert find_predecessor("", address) is None


@pytest.mark.parametrize("lists", ["ask", "push"])
def test_a_successor_starts_with_the_list_of_its_predecessor(lists: str, tmp_path: Path) -> None:
    """Class of review/10: what one process was told of counts as known to the other, whatever the service
    does meanwhile. The list of the configuration is older."""

    async def test() -> None:
        async with proxy(backends=2, lists=lists) as first:
            drained, active = first.backends
            asked = await first.registry.requests.get()
            news = listing(
                7, target("s0", drained.address, "leaving"), target("s1", active.address, boot_ms=5)
            )
            asked.reply(json.dumps(news).encode())
            while first.engine.list_revision != 7:
                await asyncio.sleep(0.001)
            restart = HotRestart(first.engine, first.frontend, 1000)
            restart.offer_listeners(str(tmp_path), first.frontend.address)
            predecessor = await asyncio.to_thread(find_predecessor, str(tmp_path), first.frontend.address)
            assert predecessor is not None
            inherited = predecessor.read_list(first.engine.wire)
            assert inherited == read_listing(news, first.engine.wire)
            known = [target("s0", drained.address), target("s1", active.address)]
            path = tmp_path / "config.json"
            path.write_text(json.dumps(configuration("127.0.0.1:9", *known, lists=lists)))
            engine, frontend = start(Config({"LB_CONFIG": str(path)}), predecessor.listeners, inherited)
            states = {uid: backend.active() for uid, backend in engine.backends.backends.items()}
            assert states == {"s0": False, "s1": True} and frontend.ready()
            await frontend.finish(0.0)
            engine.close()
            restart.close()

    run(test())


def test_a_successor_of_a_process_without_a_list_gets_none(tmp_path: Path) -> None:
    async def test() -> None:
        async with proxy(lists="push") as first:
            restart = HotRestart(first.engine, first.frontend, 1000)
            restart.offer_listeners(str(tmp_path), first.frontend.address)
            predecessor = await asyncio.to_thread(find_predecessor, str(tmp_path), first.frontend.address)
            assert predecessor is not None
            assert predecessor.read_list(first.engine.wire) is None
            predecessor.listeners[0].close()
            restart.close()

    run(test())


def test_two_processes_share_the_limits_until_one_has_ended(tmp_path: Path) -> None:
    # Guards against two processes that each use the full limit, although it applies to both together.
    async def test() -> None:
        async with proxy() as first:
            full_limits, half_limits = split_descriptors(1000), split_descriptors(500)
            predecessor_restart = HotRestart(first.engine, first.frontend, 1000)
            predecessor_restart.offer_listeners(str(tmp_path), first.frontend.address)
            predecessor = await asyncio.to_thread(find_predecessor, str(tmp_path), first.frontend.address)
            assert predecessor is not None
            assert predecessor.listeners[0].getsockname() == first.frontend.listeners[0].getsockname()
            sock = await asyncio.to_thread(handover.connect_as_successor, predecessor.path)
            assert sock is not None
            assert predecessor_restart.successor_serves
            assert (first.engine.backends.max_connections, first.frontend.max_connections) == half_limits
            sock.close()  # as if the successor had ended
            while predecessor_restart.successor_serves:
                await asyncio.sleep(0.001)
            assert (first.engine.backends.max_connections, first.frontend.max_connections) == full_limits
            predecessor.listeners[0].close()
            predecessor_restart.close()

    run(test())
