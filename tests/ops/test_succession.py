"""A new version beside the one that serves, as the platform starts it: nobody is turned away unheard."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import tempfile
from pathlib import Path

import pytest

from flintlatch import handover
from flintlatch.net.backends import split_descriptors
from flintlatch.ops.succession import HotRestart, find_predecessor, offer_path_prefix
from flintlatch.standin.proxy import ProxyProcess, free_address, write
from tests.loopback import Client, Peer, configuration, proxy, run, target


async def ready(address: str) -> int:
    """On a connection of its own; 0 where that was refused, reset or closed without a word."""
    try:
        client = await Client.open(address)
        try:
            return (await client.ask("/health/ready", "GET", connection="close")).status
        finally:
            client.close()
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_no_connection_is_refused_or_reset_while_versions_change(tmp_path: Path, number: int) -> None:
    # Guards against the queue of a listening socket that dies with its process, and against a new version
    # that can't have the address.
    async def test() -> None:
        backend, address = await Peer().open(), free_address()
        with tempfile.TemporaryDirectory(prefix="fl", dir="/tmp") as folder:
            config = write(
                tmp_path / "config.json", configuration("127.0.0.1:1", target("s", backend.address))
            )
            found: list[int] = []
            over = asyncio.Event()

            async def load() -> None:
                while not over.is_set():
                    found.append(await ready(address))

            program = await ProxyProcess.start(config, LB_LISTEN=address, TMPDIR=folder)
            callers = [asyncio.create_task(load()) for _ in range(4)]
            kept = await Client.open(address)
            assert (await kept.ask("/health/ready", "GET")).status == 200
            for _ in range(2):
                successor = await ProxyProcess.start(config, LB_LISTEN=address, TMPDIR=folder)
                await program.said("a successor serves")
                if number == signal.SIGTERM:
                    old, program = program, successor
                    stop = asyncio.create_task(old.end())
                    # The one that goes still answers on a connection that was kept, and closes it then.
                    reply = await kept.ask("/health/ready", "GET")
                    assert reply.status == 200
                    assert await stop == 0 and not any("bug" in line for line in old.lines)
                    kept.close()
                    kept = await Client.open(address)
                    assert (await kept.ask("/health/ready", "GET")).status == 200
                else:
                    assert await program.end(number) == -number  # of those that it held nothing is known
                    program = successor
                await program.said("the predecessor is gone")
            over.set()
            await asyncio.gather(*callers)
            assert len(found) > 20
            if number == signal.SIGTERM:
                assert set(found) == {200}
            else:
                assert found.count(200) >= len(found) - 2 * len(callers)
            kept.close()
            assert await program.end() == 0
            assert os.listdir(folder) == [] or number == signal.SIGKILL
        backend.close()

    run(test())


def test_what_a_killed_process_left_is_no_predecessor(tmp_path: Path) -> None:
    address = "127.0.0.1:9"
    path = f"{offer_path_prefix(str(tmp_path), address)}+1"
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(path)
    assert find_predecessor(str(tmp_path), address) is None
    assert not os.path.exists(path)
    assert find_predecessor("", address) is None


def test_two_together_hold_what_one_may_until_either_is_gone(tmp_path: Path) -> None:
    # Guards against a limit on descriptors that counts for both, and each using it whole.
    async def test() -> None:
        async with proxy() as first:
            whole, half = split_descriptors(1000), split_descriptors(500)
            old = HotRestart(first.engine, first.frontend, 1000)
            old.offer_listeners(str(tmp_path), first.frontend.address)
            before = await asyncio.to_thread(find_predecessor, str(tmp_path), first.frontend.address)
            assert before is not None
            assert before.listeners[0].getsockname() == first.frontend.listeners[0].getsockname()
            sock = await asyncio.to_thread(handover.announce_serving, before.path)
            assert sock is not None
            assert old.successor_serves
            assert (first.engine.backends.max_connections, first.frontend.max_connections) == half
            sock.close()  # it dies
            while old.successor_serves:
                await asyncio.sleep(0.001)
            assert (first.engine.backends.max_connections, first.frontend.max_connections) == whole
            before.listeners[0].close()
            old.close()

    run(test())
