"""The log and the counters tell what became of each list and why a request was not served."""

from __future__ import annotations

import asyncio
import json
import os
import re
import subprocess
import sys
import time

import pytest

from flintlatch.api import EndReason, Result
from flintlatch.net.counts import CloseReason, ListEvent, RetryEvent
from flintlatch.net.log import Logger, field_text
from tests.loopback import listing, proxy, run, target


def events_of(log_text: str, name: str) -> list[dict[str, str]]:
    """The fields of each log line of an event."""
    lines = [line for line in log_text.splitlines() if f"event={name} " in line]
    return [dict(re.findall(r'(\w+)=("[^"]*"|\S+)', line)) for line in lines]


def test_each_change_of_the_list_is_logged_with_time_version_and_states(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            first = await p.registry.requests.get()
            drained = target("s0", p.backends[0].address, "leaving")
            first.reply(json.dumps(listing(7, drained, snapshot=False)).encode())
            second = await p.registry.requests.get()
            second.reply(json.dumps(listing(8, snapshot=False)).encode())
            (await p.registry.requests.get()).reply(b"{")
            await (await p.client()).ask("/health/ready", "GET")
            values = p.engine.counts.values
            assert values[ListEvent.APPLIED] == 3  # with the saved one
            assert values[ListEvent.FAILED] == 1

    run(test())
    log_text = capsys.readouterr().err
    (applied,) = events_of(log_text, "list_applied")
    assert (applied["revision"], applied["kind"], applied["active"], applied["changed"]) == (
        "7",
        "changes",
        "1",
        "1",
    )
    assert abs(float(applied["t"]) - time.time()) < 60
    (failed,) = events_of(log_text, "list_failed")
    assert failed["revision"] == "8" and "JSON" in failed["reason"] and float(failed["age_ms"]) < 60_000


def test_an_unserved_request_and_its_retries_are_logged_by_id_without_contents(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def test() -> None:
        async with proxy(backends=2) as p:
            client = await p.client()
            client.send("/lookup", "GET", x_call_id="lost-1", x_caller="secret-tenant")
            for server in p.backends * 2:
                async with asyncio.timeout(5):
                    while all(backend.requests.empty() for backend in p.backends):
                        await asyncio.sleep(0.001)
                waiting = next(backend for backend in p.backends if not backend.requests.empty())
                if server is p.backends[1]:
                    break
                (await waiting.requests.get()).reply(status=500)
            p.engine.fail_all()
            await client.reply()
            values = p.engine.counts.values
            assert values[RetryEvent.SENT] >= 1 and values[Result.ERROR] >= 1
            assert sum(values[reason] for reason in EndReason) == 1

    run(test())
    log_text = capsys.readouterr().err
    assert events_of(log_text, "retry")[0]["previous_result"] == "error"
    (unserved,) = events_of(log_text, "request_not_served")
    assert unserved["id"] == "lost-1" and unserved["last_server"] in ("s0", "s1")
    assert "secret" not in log_text


def test_a_closed_client_connection_is_counted_by_its_reason() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await client.ask("/health/ready", "GET")
            p.frontend.disable_keep_alive()
            await client.ask("/health/ready", "GET")
            assert await client.ended()
            assert p.engine.counts.values[CloseReason.LAST_RESPONSE] == 1

    run(test())


def test_a_field_with_spaces_or_quotes_stays_one_field() -> None:
    assert field_text("plain-1.2:80") == "plain-1.2:80"
    assert field_text('a "b"\nc') == '"a \\"b\\"\\nc"'
    assert (field_text(True), field_text(1.25), field_text("")) == ("true", "1.2", '""')


def test_events_are_limited_and_the_dropped_ones_counted(capsys: pytest.CaptureFixture[str]) -> None:
    log = Logger(max_lines_per_s=2)
    for number in range(10):
        log.event("e", number=number)
    log.second -= 1  # the next second
    log.event("e", number=10)
    numbers = [event["number"] for event in events_of(capsys.readouterr().err, "e")]
    assert numbers[:2] == ["0", "1"] and numbers[-1] == "10" and len(numbers) <= 5


PROGRAM_WITH_A_LOG = """
import os, sys
from flintlatch.net.log import Logger
log = Logger(max_lines_per_s=10**9)
if sys.argv[1] == "closed":
    os.close(2)
for number in range(3000):
    log.event("e", number=number, text="x" * 100)
log("y" * 100_000)
os.write(1, b"done %d" % (log.dropped > 0))
"""


@pytest.mark.parametrize("how", ["closed", "reader gone", "not read"])
def test_a_log_that_is_closed_or_not_read_neither_fails_nor_blocks(how: str) -> None:
    reading, writing = os.pipe()
    if how == "reader gone":
        os.close(reading)
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM_WITH_A_LOG, how],
        stdout=subprocess.PIPE,
        stderr=writing,
        timeout=30,
        check=True,
    )
    assert done.stdout == b"done 1"
    os.close(writing)
    if how != "reader gone":
        os.close(reading)
