"""Case 1: bad clients that stay hold every place, and requests of all other clients are never answered.

Each bad client sends a valid request and, before its answer, one with two Content-Length lines; it reads its
answer and stays. Without trouble the same clients send the valid request alone, and stay.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import rig  # noqa: E402

SOCKETS, MEMORY_MB = 512, 96  # the limits of the scored days, cut by half
BAD_CLIENTS, BAD_PER_S = 300, 60
PIECE_PAUSE_S = 0.01  # shorter than a backend's work
OWED_S = 3.0  # by then a bad client has its error or close
CLASSES = (("plan-purchase", 1200), ("card-answer", 750))
SLACK_S = 0.050 + 0.500  # on sockets; up to half a second late only earns nothing
GOOD_REQUESTS, GOOD_PER_S = 60, 6
AMBIGUOUS = (
    b"POST /plan-purchase HTTP/1.1\r\nHost: backend.local\r\n"
    b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"
)


async def bad_client(port: int, record: rig.Record, ends: list[asyncio.StreamWriter]) -> str:
    """Sends what it has at once, then stays. Returns what it got until `OWED_S` later."""
    call = rig.new_call()
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    ends.append(writer)
    writer.write(rig.request_bytes(call, 1200, "plan-purchase"))
    record.line(f"client that stays, {call}: sent a valid request")
    if rig.trouble():
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(AMBIGUOUS)
        record.line(f"client that stays, {call}: sent a request with two Content-Length lines")
    got = []
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(OWED_S):
            while (head := await rig.read_head(reader)) is not None:
                await rig.read_body(reader, head)
                got.append(head.first[1])
            got.append("close")
    record.line(f"client that stays, {call}: got {got or 'nothing'} within {OWED_S} s")
    return " ".join(got) or "nothing"


async def good_request(port: int, record: rig.Record, dice: random.Random) -> str:
    """Sends one request on a new connection. Returns its status, or "lost"."""
    call, (cls, budget_ms) = rig.new_call(), dice.choice(CLASSES)
    sent_at, writer = time.monotonic(), None
    try:
        async with asyncio.timeout(budget_ms / 1000 + SLACK_S):
            reader, writer = await asyncio.open_connection(rig.HOST, port)
            writer.write(rig.request_bytes(call, budget_ms, cls, b"", "Connection: close"))
            sent_at = time.monotonic()
            record.line(f"{call}: sent, {cls}, budget {budget_ms} ms")
            head = await rig.read_head(reader)
            if head is not None:
                await rig.read_body(reader, head)
    except TimeoutError:
        ms = (time.monotonic() - sent_at) * 1000
        if writer is None or rig.unacknowledged_bytes(writer.get_extra_info("socket")):
            record.line(f"{call}: the proxy's machine does not have it; it was not taken")
            return "not taken"
        record.line(
            f"{call}: LOST, the proxy's machine has it, {ms:.0f} ms later no answer (of {budget_ms} ms)"
        )
        return "lost"
    except OSError as error:
        record.line(f"{call}: {error}")
        return "shut unread"
    finally:
        if writer is not None:
            writer.close()
    if head is None:
        record.line(f"{call}: closed with no answer")
        return "shut unread"
    record.line(f"{call}: answered {head.first[1]}")
    return head.first[1]


async def case(record: rig.Record) -> int:
    discovery = await rig.Discovery(record).open()
    backends = [await rig.Backend(f"s-{n}", record, rig.plain_answer, 0.05, n // 3).open() for n in range(9)]
    discovery.put(*backends)
    proxy = rig.Proxy(record, discovery, rig.SETTINGS, sockets=SOCKETS, memory_mb=MEMORY_MB)
    ends: list[asyncio.StreamWriter] = []
    try:
        await proxy.start()
        dice = random.Random(4)
        before = [await good_request(proxy.port, record, dice) for _ in range(5)]
        record.line(f"good clients before: {before}")
        stays = []
        for _ in range(BAD_CLIENTS):
            stays.append(asyncio.ensure_future(bad_client(proxy.port, record, ends)))
            await asyncio.sleep(1 / BAD_PER_S)
        got = await asyncio.gather(*stays)
        await asyncio.sleep(OWED_S)
        requests = []
        for _ in range(GOOD_REQUESTS):
            requests.append(asyncio.ensure_future(good_request(proxy.port, record, dice)))
            await asyncio.sleep(1 / GOOD_PER_S)
        results = await asyncio.gather(*requests)
        for line in await proxy.closed_connections():
            record.line(f"figure of the proxy: {line}")
    finally:
        for writer in ends:
            writer.close()
        await proxy.end()
        discovery.close()
        for backend in backends:
            backend.close()
    of_bad = {result: got.count(result) for result in sorted(set(got))}
    of_good = {result: results.count(result) for result in sorted(set(results))}
    text = f"clients that stay got: {of_bad}; requests of the other clients: {of_good}"
    record.line(text)
    print(text)
    if "200" not in before:
        raise RuntimeError("no request was served before the bad clients came")
    return rig.BROKEN if of_good.get("lost") else rig.PASSED


rig.main(case, FOLDER)
