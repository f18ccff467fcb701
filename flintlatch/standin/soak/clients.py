"""The clients of the soak: good ones that may leave, and bad ones."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping
from contextlib import suppress
from random import Random
from typing import Any

from flintlatch.api import RequestClass
from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients, _Connection
from flintlatch.standin.ledger import RequestRecord
from flintlatch.standin.soak.audit import Audit

CROWD_CLIENTS = 300
BAD_CLIENTS = 12
BAD_CLIENT_S = 4.0
LEFT = "its client left"
SHUT_UNREAD = "shut unread, with a crowd"
NOT_ACCEPTED = "not accepted, the process stops"
NOT_SENT = "not sent"
KILLED = "the process was killed"


class SoakClients(Clients):
    """Clients whose close is audited. While `reuse_only` is set, they use only connections that are open."""

    def __init__(
        self, address: str, classes: Mapping[str, RequestClass], audit: Audit, seed: int, leaving: float = 0.0
    ) -> None:
        super().__init__(address, classes, audit.ledger, seed, max_connections=80)
        self.audit = audit
        self.leaving = leaving  # fraction of the requests whose client leaves before the answer
        self.reuse_only = False
        self.has_crowd = False
        self.connecting: set[str] = set()  # requests whose connection is being opened
        self.connecting_at_kill: set[str] = set()

    def ask(self, name: str, key: str | None = None) -> RequestRecord:
        request = super().ask(name, key)
        if self.random.random() < self.leaving:
            delay_s = self.random.uniform(0.0, request.spec.deadline_ms / 1000)
            asyncio.get_running_loop().call_later(delay_s, self._leave, request)
        return request

    def on_write(self, request: RequestRecord) -> None:
        """The time of a request counts from its last byte, not from its wait for a connection."""
        request.sent_ms = now_ms()
        request.deadline_ms = request.sent_ms + request.spec.deadline_ms

    def _open(self, request: RequestRecord, message: bytes) -> Coroutine[Any, Any, None]:
        self.connecting.add(request.id)  # now, and not when the task first runs
        return self._connect(request, message)

    async def _connect(self, request: RequestRecord, message: bytes) -> None:
        try:
            await super()._open(request, message)
        finally:
            self.connecting.discard(request.id)

    def on_kill(self, ports: set[int]) -> None:
        """The process is killed. Excuses the requests on its connections, given by their local ports, those
        whose connection is only being opened, and those that wait for one."""
        self.excuse(ports, KILLED)
        self.connecting_at_kill |= self.connecting
        self.drop_unsent()

    def drop_unsent(self) -> None:
        """Gives up the requests that wait for a connection."""
        unsent, self.queue = self.queue, []
        for request, _ in unsent:
            request.excused = NOT_SENT
            self.on_done(request)

    def _leave(self, request: RequestRecord) -> None:
        for connection in list(self.connections):
            if connection.pending is request:
                connection.excuse = LEFT
                self.audit.closed_ms[request.id] = now_ms()
                connection.transport.abort()

    def ask_on_open_connection(self, name: str) -> bool:
        """Sends a request if a connection is open and idle."""
        self.idle = [c for c in self.idle if not c.transport.is_closing()]
        if not self.idle:
            return False
        self.ask(name)
        return True

    def on_done(self, request: RequestRecord) -> None:
        if not request.answers and not request.excused:
            refused = "could not connect" in request.failure
            new_connection = "on its 1. request, 0 bytes" in request.failure
            if request.id in self.connecting_at_kill:
                request.excused = KILLED
            elif self.reuse_only and (refused or (new_connection and request.close_races)):
                request.excused = NOT_ACCEPTED
            elif self.has_crowd and (refused or new_connection):
                request.excused = SHUT_UNREAD
        super().on_done(request)

    def open_connections(self) -> set[_Connection]:
        return set(self.connections)


class BadClients:
    """Connections that send nothing, half a request, slowly, or much at once and leave."""

    def __init__(self, address: str, seed: int) -> None:
        self.address, self.random = address, Random(f"{seed}/bad")
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    def start_crowd(self) -> None:
        for _ in range(CROWD_CLIENTS):
            self._task(self._idle())

    def start_bad(self) -> None:
        for _ in range(BAD_CLIENTS):
            self._task(self.random.choice((self._idle, self._half, self._slow, self._flood))())

    def _task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self) -> asyncio.StreamWriter:
        host, _, port = self.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        return writer

    def _request(self) -> bytes:
        self.count += 1
        return b"GET /answer/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: bad-%d-%x\r\nX-Budget-Ms: 500\r\n\r\n" % (
            self.count,
            self.random.getrandbits(32),
        )

    async def _idle(self) -> None:
        with suppress(OSError):
            writer = await self._open()
            await asyncio.sleep(BAD_CLIENT_S)
            writer.close()

    async def _half(self) -> None:
        with suppress(OSError):
            writer = await self._open()
            request = self._request()
            writer.write(request[: self.random.randint(1, len(request) - 1)])
            await asyncio.sleep(BAD_CLIENT_S)
            writer.close()

    async def _slow(self) -> None:
        with suppress(OSError):
            writer = await self._open()
            for byte in self._request()[:60]:
                if writer.transport.is_closing():
                    return
                writer.write(bytes((byte,)))
                await asyncio.sleep(0.05)
            writer.close()

    async def _flood(self) -> None:
        """Many requests at once, and a close right after. None of them is in the ledger."""
        with suppress(OSError):
            writer = await self._open()
            writer.write(b"".join(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n" for _ in range(50)))
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
            writer.transport.abort()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
