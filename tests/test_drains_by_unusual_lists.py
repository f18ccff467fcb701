"""Drains and removals reach the proxy in every form in which the list service may write them.

Each test runs the program. What the service has written counts as known to the proxy at once, so after
DRAIN_GRACE_S no server that it drained or left out may get a new request.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.loopback import Client, ReceivedRequest, ScriptedServer, configuration, listing, run, target
from tests.test_program import write_config

DRAIN_GRACE_S = 0.25 + 0.05  # of the protocol, with its slack
OBSERVED_S = 1.2  # after the list was written
REQUEST_INTERVAL_S = 0.02

WriteList = Callable[[ReceivedRequest, list[dict[str, Any]]], None]


class RunningProgram(NamedTuple):
    address: str
    backends: list[ScriptedServer]
    registry: ScriptedServer


@asynccontextmanager
async def running_program(tmp_path: Path, backends: int, **settings: Any) -> AsyncIterator[RunningProgram]:
    servers = [await ScriptedServer().open() for _ in range(backends)]
    registry = await ScriptedServer().open()
    targets = [target(f"s{number}", server.address) for number, server in enumerate(servers)]
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "flintlatch",
        env=write_config(tmp_path, configuration(registry.address, *targets, **settings)),
        stderr=asyncio.subprocess.PIPE,
    )
    assert program.stderr is not None
    address = (await program.stderr.readline()).decode().split()[-1]
    drain_log = asyncio.create_task(program.stderr.read())
    try:
        yield RunningProgram(address, servers, registry)
    finally:
        program.send_signal(signal.SIGKILL)
        await program.wait()
        await drain_log
        for server in [*servers, registry]:
            server.close()


async def serve_with_times(server: ScriptedServer, received_at: list[float]) -> None:
    while True:
        request = await server.requests.get()
        received_at.append(time.monotonic())
        request.reply()


async def send_requests(address: str, seconds: float) -> None:
    client = await Client.open(address)
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        number += 1
        client.send("/lookup", "GET", x_call_id=f"r{number}", x_budget_ms="100")
        await client.reply()
        await asyncio.sleep(REQUEST_INTERVAL_S)
    client.close()


def empty_snapshot(received: ReceivedRequest, _: list[dict[str, Any]]) -> None:
    received.reply(json.dumps(listing(9)).encode())


def empty_snapshot_of_a_new_numbering(received: ReceivedRequest, _: list[dict[str, Any]]) -> None:
    received.reply(json.dumps(listing(0)).encode())


def drains_of_a_new_numbering(received: ReceivedRequest, targets: list[dict[str, Any]]) -> None:
    drained = [entry | {"state": "leaving"} for entry in targets]
    received.reply(json.dumps(listing(0, *drained, snapshot=False)).encode())


def drains_cut_short(received: ReceivedRequest, targets: list[dict[str, Any]]) -> None:
    drained = [entry | {"state": "leaving"} for entry in targets]
    body = json.dumps(listing(9, *drained, snapshot=False)).encode()
    received.writer.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body[:-1]))
    received.writer.close()


def drains_and_then_silence(received: ReceivedRequest, targets: list[dict[str, Any]]) -> None:
    drained = [entry | {"state": "left"} for entry in targets]
    body = json.dumps(listing(9, *drained, snapshot=False)).encode()
    received.writer.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n%b" % (len(body) + 10, body))


def drains_without_a_length(received: ReceivedRequest, targets: list[dict[str, Any]]) -> None:
    drained = [entry | {"state": "leaving"} for entry in targets]
    body = json.dumps(listing(9, *drained, snapshot=False)).encode()
    received.writer.write(b"HTTP/1.1 200 X\r\n\r\n" + body)


def drains_beside_an_unreadable_entry(received: ReceivedRequest, targets: list[dict[str, Any]]) -> None:
    drained = [entry | {"state": "leaving"} for entry in targets]
    odd = target("other", "name-without-port") | {"pod_group": "x"}
    received.reply(json.dumps(listing(9, odd, *drained, snapshot=False)).encode())


UNUSUAL_LISTS: list[WriteList] = [
    empty_snapshot,
    empty_snapshot_of_a_new_numbering,
    drains_of_a_new_numbering,
    drains_cut_short,
    drains_and_then_silence,
    drains_without_a_length,
    drains_beside_an_unreadable_entry,
]


@pytest.mark.parametrize("write_list", UNUSUAL_LISTS, ids=lambda write_list: write_list.__name__)
def test_no_new_request_after_an_unusual_list_has_drained_all_servers(
    tmp_path: Path, write_list: WriteList
) -> None:
    async def test() -> None:
        async with running_program(tmp_path, backends=2) as p:
            received_at: list[float] = []
            serving = [asyncio.create_task(serve_with_times(b, received_at)) for b in p.backends]
            first = await p.registry.requests.get()
            first.reply(json.dumps(listing(1, snapshot=False)).encode())
            watch = await p.registry.requests.get()
            requests = asyncio.create_task(send_requests(p.address, 0.2 + OBSERVED_S))
            await asyncio.sleep(0.2)
            write_list(watch, [target(f"s{n}", b.address) for n, b in enumerate(p.backends)])
            written_at = time.monotonic()
            await requests
            for task in serving:
                task.cancel()
            late = [at - written_at for at in received_at if at > written_at + DRAIN_GRACE_S]
            last = f"{late[-1]:.3f} s" if late else "none"
            print(f"{len(late)} requests later than the grace, the last one {last} after the list")
            assert min(received_at) < written_at and not late

    run(test())
