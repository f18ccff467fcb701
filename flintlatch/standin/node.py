"""Simulates a node of the protocol page: capacity, queue, slow start, drain, and injected faults.

A node processes `slots` requests concurrently, each for about `work_ms`, and queues up to `queue` more;
beyond that it rejects with `X-Rejected: 1`. A node in slow start works at a fraction of its full speed. It
crashes (resets all connections and refuses new ones for CRASH_DOWNTIME_MS) when it receives more work within
`fall_ms` than `fall_multiple` times its capacity.
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

MAX_BODY_BYTES = 1024 * 1024
CRASH_DOWNTIME_MS = 1000.0  # from a crash by overload to the restart
OVERLOAD_TOLERANCE = 1.25  # factor on the budget in slow start for random variation, as on the platform


class Fault(Enum):
    NONE = "none"
    REJECT = "reject"  # 503 with X-Rejected
    ERROR = "error"  # 500
    RESET_BEFORE = "reset before"  # reset before the answer; the work has been done
    RESET_DURING = "reset during"  # part of the answer, then a close
    RESET_AFTER = "reset after"  # the complete answer, then a close
    SILENT = "silent"  # no answer
    GARBLED = "spoilt"  # invalid bytes in place of an answer


@dataclass(slots=True)
class Shape:
    """The properties of a node. Times are in milliseconds."""

    slots: int = 8
    queue: int = 32
    work_ms: float = 10.0
    zone: int = 0
    cell: int = 0
    cold_ms: float = 0.0  # duration of the slow start; 0: none
    start_capacity: float = 1.0  # fraction of full speed at the start
    fall_multiple: float = 2.0
    fall_ms: float = 1000.0
    faults: dict[Fault, float] = field(default_factory=dict)  # probability per request


class _Connection(asyncio.Protocol):
    def __init__(self, node: Node) -> None:
        self.node = node
        self.transport: asyncio.Transport
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.url, self.headers, self.body = b"", {}, bytearray()
        self.first_byte_ms = 0.0

    headers: dict[bytes, bytes]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self)
        self.node.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        if not self.first_byte_ms:
            self.first_byte_ms = now_ms()
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
        self.node.on_body(self, self.url)
        if len(self.body) > MAX_BODY_BYTES:
            self.transport.close()

    def on_message_complete(self) -> None:
        request_id = self.headers.get(b"x-call-id", b"").decode("latin-1")
        key = self.headers.get(b"idempotency-key")
        budget = self.headers.get(b"x-budget-ms")
        budget_ms = float(budget) if budget else None
        call = Call(self, request_id, key, self.url, bytes(self.body), self.first_byte_ms, budget_ms)
        self._reset()
        self.node._receive(call)


@dataclass(slots=True)
class Call:
    """A request that the node has read completely."""

    connection: _Connection
    id: str
    key: bytes | None
    url: bytes
    body: bytes
    first_byte_ms: float
    budget_ms: float | None = None  # for how long the proxy says that it waits

    def reply(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        transport = self.connection.transport
        if not transport.is_closing():
            head = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n" % (status, len(body), headers)
            transport.write(head + body)


class Node:
    """A simulated node. Nodes that share `keys` recognise each other's idempotency keys (one scope)."""

    def __init__(
        self,
        uid: str,
        shape: Shape,
        ledger: Ledger,
        seed: int = 1,
        keys: dict[bytes, float] | None = None,
        intercept: Callable[[Call], bool] | None = None,
    ) -> None:
        """`intercept` returns true for a call that it answers itself, in place of the node."""
        self.uid, self.shape, self.ledger = uid, shape, ledger
        self.random = Random(f"{seed}/{uid}")
        self.keys: dict[bytes, float] = {} if keys is None else keys
        self.intercept = intercept
        self.address = ""
        self.server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.queue: deque[Call] = deque()
        self.busy = self.accepted = self.served = self.crashes = 0
        self.started_ms = now_ms()
        self.draining = False
        self.recent_work: deque[tuple[float, float]] = deque()  # in slow start: time of arrival, ms of work
        self.timers: set[asyncio.TimerHandle] = set()

    async def open(self, address: str = "127.0.0.1:0") -> Node:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), host, int(port), backlog=512
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        self.started_ms = now_ms()
        return self

    def crash(self) -> None:
        """Behave like a killed process: reset all connections, and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.queue.clear()
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
        self.busy = 0

    def capacity(self) -> float:
        """Return the current fraction of the full speed."""
        shape = self.shape
        if not shape.cold_ms:
            return 1.0
        progress = min((now_ms() - self.started_ms) / shape.cold_ms, 1.0)
        return shape.start_capacity + (1 - shape.start_capacity) * progress

    def on_body(self, connection: _Connection, url: bytes) -> None:
        """A part of a request's body has been read."""

    def _receive(self, call: Call) -> None:
        self.ledger.receive(self.uid, call.id, call.first_byte_ms)
        if not call.id:
            call.reply(404)
            return
        if self.intercept is not None and self.intercept(call):
            self._record_execution(call, True)
            return
        fault = self._draw_fault()
        if fault is Fault.REJECT or self.draining or len(self.queue) >= self.shape.queue:
            call.reply(503, headers=b"x-rejected: 1\r\n")
            return
        if self._crash_if_overloaded():
            return
        if self.busy < self.shape.slots:
            self._start(call, fault)
        else:
            self.queue.append(call)

    def _draw_fault(self) -> Fault:
        sample = self.random.random()
        for fault, probability in self.shape.faults.items():
            sample -= probability
            if sample < 0:
                return fault
        return Fault.NONE

    def _crash_if_overloaded(self) -> bool:
        """Count work received in slow start; crash the node and return true if it exceeds the budget."""
        shape, now = self.shape, now_ms()
        if not shape.cold_ms or now > self.started_ms + shape.cold_ms:
            return False
        self.recent_work.append((now, shape.work_ms))
        while self.recent_work and self.recent_work[0][0] < now - shape.fall_ms:
            self.recent_work.popleft()
        budget = shape.fall_multiple * self.capacity() * shape.slots * shape.fall_ms * OVERLOAD_TOLERANCE
        if sum(work for _, work in self.recent_work) <= budget:
            return False
        self.crashes += 1
        self.ledger.overload_crashes.append((self.uid, now))
        address = self.address
        self.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DOWNTIME_MS / 1000, lambda: loop.create_task(self.open(address)))
        self.recent_work.clear()
        return True

    def _start(self, call: Call, fault: Fault) -> None:
        self.busy += 1
        duplicate = call.key is not None and call.key in self.keys
        if call.key is not None and not duplicate:
            self.keys[call.key] = now_ms()
        self._record_execution(call, not duplicate)
        work_s = self.shape.work_ms * self.random.uniform(0.5, 1.5) / self.capacity() / 1000
        timer: asyncio.TimerHandle

        def finish() -> None:
            self.timers.discard(timer)
            self._finish(call, fault)

        timer = asyncio.get_running_loop().call_later(work_s, finish)
        self.timers.add(timer)

    def response_body(self, call: Call) -> bytes:
        """Names the node and the request, or has as many bytes as the request asks for."""
        size = call.url.partition(b"?size=")[2]
        return b"." * int(size) if size else f"{self.uid} {call.id}".encode()

    def _record_execution(self, call: Call, effect: bool) -> None:
        key = call.key.decode("latin-1") if call.key is not None else None
        self.ledger.run(Execution(call.id, key, self.uid, self.shape.zone, self.shape.cell, now_ms(), effect))

    def _finish(self, call: Call, fault: Fault) -> None:
        self.busy -= 1
        self.served += 1
        transport = call.connection.transport
        body = self.response_body(call)
        if fault is Fault.ERROR:
            call.reply(500)
        elif fault is Fault.RESET_BEFORE:
            transport.abort()
        elif fault is Fault.RESET_DURING:
            transport.write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body[:3]))
            transport.close()
        elif fault is Fault.GARBLED:
            transport.write(b"\x00\x01 noise\r\n\r\n")
        elif fault is not Fault.SILENT:
            call.reply(200, body)
            if fault is Fault.RESET_AFTER:
                transport.close()
        while self.queue and self.busy < self.shape.slots:
            queued = self.queue.popleft()
            if not queued.connection.transport.is_closing():  # else the proxy has aborted the request
                self._start(queued, Fault.NONE)
