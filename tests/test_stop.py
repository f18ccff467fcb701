"""The end of the program: everything that it has taken is answered before the earliest SIGKILL."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from flintlatch.api import RequestClass, Settings
from flintlatch.program import MAX_DEADLINE_S, linger_duration_s, stop_duration_s
from tests.loopback import Client, ScriptedServer, configuration, proxy, run, target
from tests.test_program import COMMAND, write_config

KILL_AFTER_DEADLINE_S = 0.7
HELD_UP_S = 0.15  # a process may be held up for this long at any instruction


def test_a_request_with_a_deadline_beyond_the_earliest_sigkill_is_answered_before_it(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        config = configuration("127.0.0.1:1", target("s", backend.address))  # deadlines of 30 s
        program = await asyncio.create_subprocess_exec(
            *COMMAND, env=write_config(tmp_path, config), stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        address = (await program.stderr.readline()).decode().split()[-1]
        client = await Client.open(address)
        client.send(x_budget_ms="20000")
        await backend.requests.get()
        stopped_at = time.monotonic()
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        assert (await client.reply()).status == 504
        assert await program.wait() == 0
        assert time.monotonic() - stopped_at < MAX_DEADLINE_S + KILL_AFTER_DEADLINE_S - HELD_UP_S
        client.close()
        backend.close()

    run(test())


@pytest.mark.parametrize("deadline_ms", [100.0, 500.0, 1200.0, 3000.0, 30_000.0])
@pytest.mark.parametrize("target_fraction", [0.1, 0.5, 1.0])
def test_a_stop_ends_before_the_earliest_sigkill(deadline_ms: float, target_fraction: float) -> None:
    settings = Settings((RequestClass(target_fraction * deadline_ms, deadline_ms),))
    earliest_kill_s = min(deadline_ms / 1000, MAX_DEADLINE_S) + KILL_AFTER_DEADLINE_S
    assert stop_duration_s(settings) <= earliest_kill_s - HELD_UP_S - 0.05
    assert linger_duration_s(settings) <= max(stop_duration_s(settings), 0.55)


def test_a_request_that_arrives_in_the_last_moment_of_a_stop_is_refused_and_not_dropped() -> None:
    async def test() -> None:
        async with proxy() as p:
            slow, late = await p.client(), await p.client()
            slow.send()
            await p.backends[0].requests.get()
            late.writer.write(b"POST /answer HTTP/1.1\r\n")  # a request that has begun
            await asyncio.sleep(0.05)
            p.frontend.disable_keep_alive()
            stop = asyncio.create_task(p.frontend.finish(0.1))
            assert (await slow.reply()).status == 504
            late.writer.write(b"host: x\r\nx-call-id: c2\r\nx-budget-ms: 500\r\ncontent-length: 0\r\n\r\n")
            assert (await late.reply()).status == 503
            assert p.backends[0].requests.empty()
            await stop

    run(test())
