"""Long responses whose body comes late: the time of an attempt is that to the beginning of its response."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from flintlatch.choice import Balancer
from flintlatch.net.http1 import MAX_BODY
from tests.http.support import read_head
from tests.loopback import run
from tests.test_turns import HEAD, platform_proxy, sent

ATTEMPT_TIMEOUT_MS, BODY_DELAY_S = 150.0, 0.3
FRAMINGS = {
    "length": "content-length: {size}",
    "chunked": "transfer-encoding: chunked",
    "close": "connection: close",
}
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def late_body(framing: str, size: int, first: int) -> Handler:
    """A server that sends a head and `first` bytes at once, and the rest after the time of the attempt."""

    def encoded(part: int) -> bytes:
        return b"%x\r\n%b\r\n" % (part, b"." * part) if framing == "chunked" else b"." * part

    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(f"HTTP/1.1 200 OK\r\n{FRAMINGS[framing].format(size=size)}\r\n\r\n".encode())
        if first:
            writer.write(encoded(first))
        await asyncio.sleep(BODY_DELAY_S)
        writer.write(encoded(size - first))
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        if framing == "close":
            writer.close()

    return handler


async def response_to(reader: asyncio.StreamReader) -> tuple[bytes, int]:
    """The status line, and the number of bytes of the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    status, received = head.partition(b"\r\n")[0], 0
    if b"chunked" not in head:
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        return status, len(await reader.readexactly(length))
    while size := int(await reader.readline(), 16):
        received += len((await reader.readexactly(size + 2))[:-2])
    return status, received


@pytest.mark.parametrize("first", [0, 1, 3000, 40_000])
@pytest.mark.parametrize("size", [MAX_BODY + 1, 200_000])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_response_whose_body_comes_late_arrives_whole(
    framing: str, size: int, first: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Evidence 2 of issue 64: heads after 10 ms, bodies over 0.9 s, and the client got 504 after 0.3 s.
    monkeypatch.setattr(Balancer, "attempt_timeout_ms", lambda *_: ATTEMPT_TIMEOUT_MS)

    async def test() -> None:
        request = HEAD + b"content-length: 0\r\n\r\n"
        handler = late_body(framing, size, first)
        async with platform_proxy(handler) as p, sent(p.frontend.address, request) as reader:
            assert await response_to(reader) == (b"HTTP/1.1 200 OK", size)

    run(test())
