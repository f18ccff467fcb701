"""Stand-in clients, after the protocol page: mixed requests on kept connections, each noted in the ledger.

A kept connection that closes before a byte of the answer may have crossed the request: it is sent once
more on a new one, as the page has it. But one that a node had already was taken, and so it is lost.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine, Mapping, Sequence
from random import Random
from typing import Any, cast

import httptools

from flintlatch.api import Effect, RequestClass
from flintlatch.net.clock import now_ms
from flintlatch.standin.ledger import Ledger, RequestRecord

WAIT_ON_MS = 500.0  # ms past its deadline that an answer is still waited for, to tell late from lost
CONNECT_S = 5.0


class _Connection(asyncio.Protocol):
    def __init__(self, owner: Clients) -> None:
        self.owner = owner
        self.transport: asyncio.Transport
        self.parser: httptools.HttpResponseParser | None = None
        self.open: RequestRecord | None = None  # the request without an answer
        self.last: RequestRecord | None = None
        self.message = b""
        self.heard = 0  # bytes of the answer
        self.used = 0
        self.keep = False
        self.port = 0
        self.excused = ""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port = int(transport.get_extra_info("sockname")[1])
        self.owner.connections.add(self)

    def ask(self, request: RequestRecord, message: bytes) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.open, self.message, self.heard = request, message, 0
        self.used += 1
        wait = (request.deadline_ms + WAIT_ON_MS - now_ms()) / 1000
        self.timer = asyncio.get_running_loop().call_later(max(wait, 0.0), self._too_late)
        self.transport.write(message)

    def _too_late(self) -> None:
        if self.open is not None:
            self.open.failure = "no answer by its deadline"
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.open is None:
            if self.last is not None:
                self.last.trailing_bytes += len(data)
            self.transport.abort()
            return
        self.heard += len(data)
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.open is not None:
                self.open.failure = f"answer that can't be read: {error}"
            elif self.last is not None:
                self.last.trailing_bytes += len(data)
            self.transport.abort()

    def on_message_complete(self) -> None:
        request, self.open = self.open, None
        assert self.parser is not None
        if request is None:
            if self.last is not None:
                self.last.answers += 1
            return
        self.last, self.keep = request, self.parser.should_keep_alive()
        self._stop_timer()
        self.owner.answered(request, self.parser.get_status_code())
        if self.keep:
            self.owner.idle.append(self)
        else:
            self.transport.close()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        owner = self.owner
        owner.connections.discard(self)
        if self in owner.idle:
            owner.idle.remove(self)
        self._stop_timer()
        request, self.open, self.parser = self.open, None, None
        if request is None:
            return
        seen = owner.ledger.received[request.id] > 0
        if self.excused:
            request.excused = self.excused
            owner.ended(request)
        elif (
            self.used > 1 and not self.heard and not request.close_races and not seen and not request.failure
        ):
            request.close_races += 1
            owner.again(request, self.message)
        else:
            where = "after a node had it" if seen else f"on its {self.used}. request"
            request.failure = request.failure or f"connection ended {where}, {self.heard} bytes of an answer"
            owner.ended(request)


class Clients:
    """Traffic for one fleet. `classes`: name (first part of the path) to class; `mix`: share of each."""

    def __init__(
        self,
        address: str | Sequence[str],
        classes: Mapping[str, RequestClass],
        ledger: Ledger,
        seed: int,
        max_connections: int = 64,
        keep_requests: int = 50,
    ) -> None:
        """A connection is closed by its client after about `keep_requests`, so new ones keep coming."""
        self.addresses = [address] if isinstance(address, str) else list(address)
        self.classes, self.ledger = dict(classes), ledger
        self.random, self.seed = Random(f"{seed}/clients"), seed
        self.most, self.keep_requests = max_connections, keep_requests
        self.connections: set[_Connection] = set()
        self.idle: list[_Connection] = []
        self.opening = 0
        self.queue: list[tuple[RequestRecord, bytes]] = []
        self.count = 0
        self.open = 0
        self.all_answered = asyncio.Event()
        self.all_answered.set()
        self.latencies: dict[str, list[float]] = {name: [] for name in self.classes}
        self.names: dict[str, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.refused_connections = 0
        self.statuses: Counter[int] = Counter()

    # Asking

    def ask(self, name: str, key: str | None = None) -> RequestRecord:
        """Send one request of the class now; the result fills itself in."""
        spec = self.classes[name]
        self.count += 1
        request_id = f"{self.seed:x}-{self.count:x}-{self.random.getrandbits(32):08x}"
        if spec.effect is Effect.KEYED and key is None:
            key = f"{self.random.getrandbits(64):016x}"
        now = now_ms()
        request = RequestRecord(request_id, spec, key, now, now + spec.deadline_ms)
        self.ledger.ask(request)
        self.names[request_id] = name
        method, body = ("GET", b"") if spec.effect is Effect.SAFE else ("POST", b"x" * 100)
        lines = (
            f"{method} /{name}/{self.count} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {request_id}\r\n"
        )
        lines += f"X-Budget-Ms: {spec.deadline_ms:.0f}\r\n"
        if key is not None:
            lines += f"Idempotency-Key: {key}\r\n"
        if body:
            lines += f"Content-Length: {len(body)}\r\n"
        self.open += 1
        self.all_answered.clear()
        self._send(request, lines.encode() + b"\r\n" + body)
        return request

    def _send(self, request: RequestRecord, message: bytes, fresh: bool = False) -> None:
        while self.idle and not fresh:
            connection = self.idle.pop()
            if connection.transport.is_closing():
                continue
            if connection.used >= self.keep_requests:
                connection.transport.close()
                continue
            connection.ask(request, message)
            return
        if len(self.connections) + self.opening < self.most or fresh:
            self._task(self._open(request, message))
        else:
            self.queue.append((request, message))

    def _task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self, request: RequestRecord, message: bytes) -> None:
        host, _, port = self.random.choice(self.addresses).rpartition(":")
        self.opening += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: _Connection(self), host, int(port)
                )
        except OSError as error:
            self.refused_connections += 1
            request.failure = f"could not connect: {error}"
            self.ended(request)
            return
        finally:
            self.opening -= 1
        connection.ask(request, message)

    def again(self, request: RequestRecord, message: bytes) -> None:
        self._send(request, message, fresh=True)

    # Answers

    def answered(self, request: RequestRecord, status: int) -> None:
        now = now_ms()
        self.statuses[status] += 1
        self.ledger.answer(request.id, status, now)
        if status == 200:
            self.latencies[self.names[request.id]].append(now - request.sent_ms)
        self.ended(request)

    def ended(self, request: RequestRecord) -> None:
        self.names.pop(request.id, None)
        self.open -= 1
        if not self.open:
            self.all_answered.set()
        if self.queue:
            waiting = self.queue.pop(0)
            asyncio.get_running_loop().call_soon(self._send, *waiting)

    def excuse(self, ports: set[int], why: str) -> None:
        """The process that holds the other ends of these local ports is about to be killed."""
        for connection in self.connections:
            if connection.port in ports:
                connection.excused = why

    # Runs

    async def run(self, rate: float, seconds: float, mix: Mapping[str, float]) -> None:
        """Poisson arrivals at `rate` a second in all; returns when the last is answered."""
        loop = asyncio.get_running_loop()
        names, shares = list(mix), list(mix.values())
        at, until = loop.time(), loop.time() + seconds
        while (at := at + self.random.expovariate(rate)) < until:
            if (wait := at - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.ask(self.random.choices(names, shares)[0])
        await self.all_answered.wait()

    def close(self) -> None:
        for connection in list(self.connections):
            connection.transport.abort()
        for task in self.tasks:
            task.cancel()

    def quantile(self, part: float) -> float:
        """Of all answers served, ms; 0 if there are none."""
        values = sorted(value for values in self.latencies.values() for value in values)
        return values[min(int(part * len(values)), len(values) - 1)] if values else 0.0


class Prober:
    """Opens a new connection every `every_s` and asks whether the fleet is ready there."""

    def __init__(self, address: str, every_s: float = 0.02) -> None:
        self.address, self.every_s = address, every_s
        self.done_ms: list[float] = []
        self.failures: list[str] = []
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while True:
            await self._probe()
            await asyncio.sleep(self.every_s)

    async def _probe(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except OSError as error:
            self.failures.append(str(error) or type(error).__name__)
            return
        if b" 200 " in line:
            self.done_ms.append(now_ms())
        else:
            self.failures.append(line.decode("latin-1").strip() or "closed with no answer")

    def stop(self) -> float:
        """The longest time between two good answers, ms."""
        if self.task is not None:
            self.task.cancel()
        return max((b - a for a, b in zip(self.done_ms, self.done_ms[1:], strict=False)), default=0.0)
