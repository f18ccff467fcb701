"""Simulates the clients of the protocol page: mixed requests on keep-alive connections, recorded in a ledger.

The close of an idle keep-alive connection can race with the next request. If the connection closes before a
byte of the answer, the client retries once on a new connection, as the page specifies. If a node has already
received the request, it was accepted, and so the missing answer counts as lost.
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

LATE_ANSWER_MS = 500.0  # wait beyond the deadline, which distinguishes a late answer from a lost one
CONNECT_S = 5.0


class _Connection(asyncio.Protocol):
    def __init__(self, owner: Clients) -> None:
        self.owner = owner
        self.transport: asyncio.Transport
        self.parser: httptools.HttpResponseParser | None = None
        self.pending: RequestRecord | None = None  # the request that awaits its answer
        self.previous: RequestRecord | None = None
        self.message = b""
        self.received_bytes = 0  # bytes of the answer
        self.request_count = 0
        self.keep_alive = False
        self.port = 0
        self.excuse = ""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port = int(transport.get_extra_info("sockname")[1])
        self.owner.connections.add(self)

    def ask(self, request: RequestRecord, message: bytes) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.pending, self.message, self.received_bytes = request, message, 0
        self.request_count += 1
        self.owner.on_write(request)
        timeout_s = (request.deadline_ms + LATE_ANSWER_MS - now_ms()) / 1000
        self.timer = asyncio.get_running_loop().call_later(max(timeout_s, 0.0), self._time_out)
        self.transport.write(message)

    def _time_out(self) -> None:
        if self.pending is not None:
            self.pending.failure = "no answer by its deadline"
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.pending is None:
            if self.previous is not None:
                self.previous.trailing_bytes += len(data)
            self.transport.abort()
            return
        self.received_bytes += len(data)
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.pending is not None:
                self.pending.failure = f"answer that can't be read: {error}"
            elif self.previous is not None:
                self.previous.trailing_bytes += len(data)
            self.transport.abort()

    def on_message_complete(self) -> None:
        request, self.pending = self.pending, None
        assert self.parser is not None
        if request is None:
            if self.previous is not None:
                self.previous.answers += 1
            return
        self.previous, self.keep_alive = request, self.parser.should_keep_alive()
        self._stop_timer()
        self.owner.on_answer(request, self.parser.get_status_code())
        if self.keep_alive:
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
        request, self.pending, self.parser = self.pending, None, None
        if request is None:
            return
        reached_node = owner.ledger.received[request.id] > 0
        if self.excuse:
            request.excused = self.excuse
            owner.on_done(request)
        elif (
            self.request_count > 1
            and not self.received_bytes
            and not request.close_races
            and not reached_node
            and not request.failure
        ):
            request.close_races += 1
            owner.retry(request, self.message)
        else:
            where = "after a node had it" if reached_node else f"on its {self.request_count}. request"
            request.failure = (
                request.failure or f"connection ended {where}, {self.received_bytes} bytes of an answer"
            )
            owner.on_done(request)


class Clients:
    """Clients of one or more fleets. `classes`: by name, which is the first segment of the path."""

    def __init__(
        self,
        address: str | Sequence[str],
        classes: Mapping[str, RequestClass],
        ledger: Ledger,
        seed: int,
        max_connections: int = 64,
        keep_requests: int = 50,
    ) -> None:
        """Clients close a connection after about `keep_requests` requests, so that new ones keep arriving."""
        self.addresses = [address] if isinstance(address, str) else list(address)
        self.classes, self.ledger = dict(classes), ledger
        self.random, self.seed = Random(f"{seed}/clients"), seed
        self.max_connections, self.keep_requests = max_connections, keep_requests
        self.connections: set[_Connection] = set()
        self.idle: list[_Connection] = []
        self.opening = 0
        self.queue: list[tuple[RequestRecord, bytes]] = []
        self.count = 0
        self.in_flight = 0
        self.all_answered = asyncio.Event()
        self.all_answered.set()
        self.latencies: dict[str, list[float]] = {name: [] for name in self.classes}
        self.class_names: dict[str, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.refused_connections = 0
        self.statuses: Counter[int] = Counter()

    # Requests

    def ask(self, name: str, key: str | None = None) -> RequestRecord:
        """Send a request of the class, and return its record, which is updated when the answer arrives."""
        spec = self.classes[name]
        self.count += 1
        request_id = f"{self.seed:x}-{self.count:x}-{self.random.getrandbits(32):08x}"
        if spec.effect is Effect.KEYED and key is None:
            key = f"{self.random.getrandbits(64):016x}"
        now = now_ms()
        request = RequestRecord(request_id, spec, key, now, now + spec.deadline_ms)
        self.ledger.ask(request)
        self.class_names[request_id] = name
        method, body = ("GET", b"") if spec.effect is Effect.SAFE else ("POST", b"x" * 100)
        head = f"{method} /{name}/{self.count} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {request_id}\r\n"
        head += f"X-Budget-Ms: {spec.deadline_ms:.0f}\r\n"
        if key is not None:
            head += f"Idempotency-Key: {key}\r\n"
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.in_flight += 1
        self.all_answered.clear()
        self._send(request, head.encode() + b"\r\n" + body)
        return request

    def _send(self, request: RequestRecord, message: bytes, new_connection: bool = False) -> None:
        while self.idle and not new_connection:
            connection = self.idle.pop()
            if connection.transport.is_closing():
                continue
            if connection.request_count >= self.keep_requests:
                connection.transport.close()
                continue
            connection.ask(request, message)
            return
        if len(self.connections) + self.opening < self.max_connections or new_connection:
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
            self.on_done(request)
            return
        finally:
            self.opening -= 1
        connection.ask(request, message)

    def retry(self, request: RequestRecord, message: bytes) -> None:
        self._send(request, message, new_connection=True)

    def on_write(self, request: RequestRecord) -> None:
        """Called before a request is written to a connection."""

    # Answers

    def on_answer(self, request: RequestRecord, status: int) -> None:
        now = now_ms()
        self.statuses[status] += 1
        self.ledger.answer(request.id, status, now)
        if status == 200:
            self.latencies[self.class_names[request.id]].append(now - request.sent_ms)
        self.on_done(request)

    def on_done(self, request: RequestRecord) -> None:
        self.class_names.pop(request.id, None)
        self.in_flight -= 1
        if not self.in_flight:
            self.all_answered.set()
        if self.queue:
            queued = self.queue.pop(0)
            asyncio.get_running_loop().call_soon(self._send, *queued)

    def excuse(self, ports: set[int], reason: str) -> None:
        """Excuse missing answers on connections from these local ports: the server will be killed."""
        for connection in self.connections:
            if connection.port in ports:
                connection.excuse = reason

    # Traffic

    async def run(self, rate: float, seconds: float, mix: Mapping[str, float]) -> None:
        """Send Poisson traffic at `rate` requests a second in total, and wait until all have ended.

        `mix`: by class name, the fraction of the requests.
        """
        loop = asyncio.get_running_loop()
        names, weights = list(mix), list(mix.values())
        next_at, end_at = loop.time(), loop.time() + seconds
        while (next_at := next_at + self.random.expovariate(rate)) < end_at:
            if (wait_s := next_at - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            self.ask(self.random.choices(names, weights)[0])
        await self.all_answered.wait()

    def close(self) -> None:
        for connection in list(self.connections):
            connection.transport.abort()
        for task in self.tasks:
            task.cancel()

    def quantile(self, fraction: float) -> float:
        """Return the quantile of the latencies of all served requests in ms, or 0 if there are none."""
        values = sorted(value for values in self.latencies.values() for value in values)
        return values[min(int(fraction * len(values)), len(values) - 1)] if values else 0.0


class Prober:
    """Requests the readiness of a fleet on a new connection, `every_s` after the last probe ended."""

    def __init__(self, address: str, every_s: float = 0.02) -> None:
        self.address, self.every_s = address, every_s
        self.success_times_ms: list[float] = []
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
            self.success_times_ms.append(now_ms())
        else:
            self.failures.append(line.decode("latin-1").strip() or "closed with no answer")

    def stop(self) -> float:
        """Stop probing, and return the longest time between two successful probes in ms."""
        if self.task is not None:
            self.task.cancel()
        return max(
            (b - a for a, b in zip(self.success_times_ms, self.success_times_ms[1:], strict=False)),
            default=0.0,
        )
