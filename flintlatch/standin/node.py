"""A stand-in node, after the protocol page: capacity, queue, cold start, drain, and faults on demand.

`slots` requests are at work at once, each for `work_ms`; `queue` wait; one more is turned away with
`X-Rejected: 1`. A cold node starts with a part of its slots' speed and falls over (ends every connection
and refuses new ones for a while) when more work than `fall_multiple` times its capacity is sent to it
within `fall_ms`.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import cast

import httptools

from flintlatch.net.clock import now_ms
from flintlatch.standin.ledger import Execution, Ledger

MOST_BODY = 1024 * 1024
DOWN_MS = 1000.0  # ms that a node which fell over is away
SLACK = 1.25  # on the cold budget: chance, as on the platform


class Fault(Enum):
    NONE = "none"
    REJECT = "reject"  # 503 with X-Rejected
    ERROR = "error"  # 500
    RESET_BEFORE = "reset before"  # the connection ends before the answer, the work may have been done
    RESET_DURING = "reset during"  # half an answer, then the end
    RESET_AFTER = "reset after"  # a whole answer, then the end of the connection
    SILENT = "silent"  # never an answer
    SPOILT = "spoilt"  # noise in place of an answer


@dataclass(slots=True)
class Shape:
    """What a node is; times in ms."""

    slots: int = 8
    queue: int = 32
    work_ms: float = 10.0
    zone: int = 0
    cell: int = 0
    cold_ms: float = 0.0  # from its start to full capacity
    start_capacity: float = 1.0
    fall_multiple: float = 2.0
    fall_ms: float = 1000.0
    faults: dict[Fault, float] = field(default_factory=dict)  # chance of each, drawn for each request


class _Connection(asyncio.Protocol):
    def __init__(self, node: Node) -> None:
        self.node = node
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.url, self.headers, self.body = b"", {}, bytearray()
        self.first_ms = 0.0

    headers: dict[bytes, bytes]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self)
        self.node.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.first_ms:
            self.first_ms = now_ms()
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MOST_BODY:
            self.transport.close()

    def on_message_complete(self) -> None:
        request_id = self.headers.get(b"x-call-id", b"").decode("latin-1")
        key = self.headers.get(b"idempotency-key")
        call = Call(self, request_id, key, self.url, bytes(self.body), self.first_ms)
        self._reset()
        self.node._take(call)


@dataclass(slots=True)
class Call:
    """A request that the node has read whole."""

    connection: _Connection
    id: str
    key: bytes | None
    url: bytes
    body: bytes
    first_ms: float

    def reply(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        transport = self.connection.transport
        if not transport.is_closing():
            head = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n" % (status, len(body), headers)
            transport.write(head + body)


class Node:
    """`keys` is shared by nodes that know one another's keys (one scope)."""

    def __init__(
        self,
        uid: str,
        shape: Shape,
        ledger: Ledger,
        seed: int = 1,
        keys: dict[bytes, float] | None = None,
        intercept: Callable[[Call], bool] | None = None,
    ) -> None:
        """`intercept` may take a call out of the node's hands: it returns true, and answers it by itself."""
        self.uid, self.shape, self.ledger = uid, shape, ledger
        self.random = Random(f"{seed}/{uid}")
        self.keys: dict[bytes, float] = {} if keys is None else keys
        self.intercept = intercept
        self.address = ""
        self.server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.waiting: deque[Call] = deque()
        self.busy = self.accepted = self.served = self.falls = 0
        self.born_ms = now_ms()
        self.draining = False
        self.sent: deque[tuple[float, float]] = deque()  # work sent while cold: when, ms
        self.timers: set[asyncio.TimerHandle] = set()

    async def open(self, address: str = "127.0.0.1:0") -> Node:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, int(port), backlog=512
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        self.born_ms = now_ms()
        return self

    def die(self) -> None:
        """Gone at once, as a killed process: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.waiting.clear()
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        self.busy = 0

    def capacity(self) -> float:
        """The part of its full speed that it has now."""
        shape = self.shape
        if not shape.cold_ms:
            return 1.0
        age = min((now_ms() - self.born_ms) / shape.cold_ms, 1.0)
        return shape.start_capacity + (1 - shape.start_capacity) * age

    def _take(self, call: Call) -> None:
        self.ledger.receive(self.uid, call.id, call.first_ms)
        if not call.id:
            call.reply(404)
            return
        if self.intercept is not None and self.intercept(call):
            self._note(call, True)
            return
        fault = self._draw()
        if fault is Fault.REJECT or self.draining or len(self.waiting) >= self.shape.queue:
            call.reply(503, headers=b"x-rejected: 1\r\n")
            return
        if self._push():
            return
        if self.busy < self.shape.slots:
            self._begin(call, fault)
        else:
            self.waiting.append(call)

    def _draw(self) -> Fault:
        point = self.random.random()
        for fault, chance in self.shape.faults.items():
            point -= chance
            if point < 0:
                return fault
        return Fault.NONE

    def _push(self) -> bool:
        """Count work sent to a cold node; true if this was too much for it."""
        shape, now = self.shape, now_ms()
        if not shape.cold_ms or now > self.born_ms + shape.cold_ms:
            return False
        self.sent.append((now, shape.work_ms))
        while self.sent and self.sent[0][0] < now - shape.fall_ms:
            self.sent.popleft()
        budget = shape.fall_multiple * self.capacity() * shape.slots * shape.fall_ms * SLACK
        if sum(work for _, work in self.sent) <= budget:
            return False
        self.falls += 1
        self.ledger.overload_crashes.append((self.uid, now))
        address = self.address
        self.die()
        loop = asyncio.get_running_loop()
        loop.call_later(DOWN_MS / 1000, lambda: loop.create_task(self.open(address)))
        self.sent.clear()
        return True

    def _begin(self, call: Call, fault: Fault) -> None:
        self.busy += 1
        known = call.key is not None and call.key in self.keys
        if call.key is not None and not known:
            self.keys[call.key] = now_ms()
        self._note(call, not known)
        work = self.shape.work_ms * self.random.uniform(0.5, 1.5) / self.capacity() / 1000
        timer: asyncio.TimerHandle

        def end() -> None:
            self.timers.discard(timer)
            self._end(call, fault)

        timer = asyncio.get_running_loop().call_later(work, end)
        self.timers.add(timer)

    def _note(self, call: Call, effect: bool) -> None:
        key = call.key.decode("latin-1") if call.key is not None else None
        self.ledger.run(Execution(call.id, key, self.uid, self.shape.zone, self.shape.cell, now_ms(), effect))

    def _end(self, call: Call, fault: Fault) -> None:
        self.busy -= 1
        self.served += 1
        transport = call.connection.transport
        body = f"{self.uid} {call.id}".encode()
        if fault is Fault.ERROR:
            call.reply(500)
        elif fault is Fault.RESET_BEFORE:
            transport.abort()
        elif fault is Fault.RESET_DURING:
            transport.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body[:3]))
            transport.close()
        elif fault is Fault.SPOILT:
            transport.write(b"\x00\x01 noise\r\n\r\n")
        elif fault is not Fault.SILENT:
            call.reply(200, body)
            if fault is Fault.RESET_AFTER:
                transport.close()
        while self.waiting and self.busy < self.shape.slots:
            waiting = self.waiting.popleft()
            if not waiting.connection.transport.is_closing():  # else its proxy has given it up
                self._begin(waiting, Fault.NONE)
