"""Connections to backends and the attempts on them: pools by uid, limits, and how each attempt ended."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from math import inf

from flintlatch.api import Result, ServerState
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Target
from flintlatch.net.http1 import Exchange, Response, unread

IDLE_PART = 0.6  # part of the backend's idle limit after which we close first: a late reuse ends as a reset
# A second answer, noise, or the server's close may come right behind an answer: lent out later than this, the
# connection shows it. The pool needs a connection or two more for that, not a handshake each time.
REUSE_DELAY_MS = 10.0
OWN_LACK = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
SPARE_SOCKETS = 40  # descriptors for the program itself, discovery, and those that are just closing
# Of the other descriptors: clients hold a third of all for requests at most, each in flight once or waiting
# here, and beside them there are kept and silent ones.
BACKEND_PART = 0.42
SWEEPS = 20  # looks at idle connections within that limit


def split_descriptors(sockets: int) -> tuple[int, int]:
    """Of so many descriptors: how many connections to backends there may be, and how many of clients."""
    sockets -= min(SPARE_SOCKETS, sockets // 4)
    to_backends = int(sockets * BACKEND_PART)
    return to_backends, sockets - to_backends


class Attempt:
    """One sending of a request, or a probe, to one backend. It ends once, by a call of `done`."""

    def __init__(
        self,
        uid: str,
        head: bytes,
        body: bytes,
        limit_ms: float,
        done: Callable[[Attempt, Result, Response | None], None],
        within_ms: float = inf,
    ) -> None:
        self.uid, self.head, self.body, self.done = uid, head, body, done
        self.start_ms = now_ms()
        self.deadline = self.start_ms + limit_ms
        # Servers drop a repeat for so long only: a connection that comes up later must not carry it.
        self.write_by = self.start_ms + within_ms
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.result: Result | None = None
        self.ended_ms = 0.0

    def wanted(self) -> bool:
        """Whether somebody waits for it still; if not, it has ended now and must not be written."""
        return True

    def end(self, result: Result, response: Response | None = None) -> None:
        if self.ended:
            return
        self.ended, self.result, self.ended_ms = True, result, now_ms()
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.attempt = None
        self.connection = None
        self.done(self, result, response)


class Backend:
    """One uid of the list. A new generation begins when its old connections must not be used again."""

    def __init__(self, target: Target) -> None:
        self.target, self.generation = target, 0
        self.last_response_ms = 0.0  # when it last answered
        self.idle: list[Connection] = []  # the most recently used last
        self.connecting: set[Connection] = set()

    def active(self) -> bool:
        return self.target.info.state is ServerState.ACTIVE

    def renew(self) -> None:
        self.generation += 1
        self.close_idle()

    def close_idle(self) -> None:
        for connection in self.idle:
            connection.close()
        self.idle.clear()


class Connection(Exchange):
    def __init__(self, pool: Backends, backend: Backend) -> None:
        super().__init__()
        self.pool, self.backend, self.generation = pool, backend, backend.generation
        self.attempt: Attempt | None = None
        self.opener: asyncio.Task[None] | None = None
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.on_connected()

    def on_connected(self) -> None:
        """Carry what it was opened for, unless nobody waits for that, or it is too late to be written."""
        self.backend.connecting.discard(self)
        attempt = self.attempt
        if attempt is None:
            self.close()
            return
        self.attempt = attempt.connection = None
        if now_ms() > attempt.write_by:
            self.pool.release_connection(self)
            attempt.end(Result.NOT_SENT)  # its server is well: a failure would rest it
        elif attempt.wanted():
            self.send_attempt(attempt)
        else:
            self.pool.release_connection(self)  # fit for another's

    def send_attempt(self, attempt: Attempt) -> None:
        self.attempt, attempt.connection = attempt, self
        budget = max(1, int(attempt.deadline - now_ms()))
        self.ask(b"%bx-budget-ms: %d\r\n\r\n%b" % (attempt.head, budget, attempt.body))

    def close(self) -> None:
        super().close()
        if self.transport is None and self.opener is not None:
            self.opener.cancel()

    def never_ran(self) -> bool:
        """The last byte of the request was surely not written."""
        return self.transport is None or self.unsent

    def on_response(self, response: Response) -> None:
        attempt, self.attempt = self.attempt, None
        self.backend.last_response_ms = now_ms()
        self.pool.release_connection(self)
        if attempt is None:
            return
        if response.status == 200:
            attempt.end(Result.OK, response)
        elif response.status in (503, 504) and response.header(b"x-rejected") == b"1":
            attempt.end(Result.FULL)
        elif 400 <= response.status < 500:
            attempt.end(Result.INVALID)
        else:
            attempt.end(Result.ERROR)

    def on_written(self) -> None:
        self.pool.on_written()

    def on_broken(self) -> None:
        if self in self.backend.idle:
            self.backend.idle.remove(self)
        if self.attempt is not None:
            self.attempt.end(Result.CONNECT_FAILED if self.never_ran() else Result.RESET)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections.discard(self)
        super().connection_lost(exc)


class Backends:
    make: Callable[[Backends, Backend], Connection] = Connection  # a front of another kind has its own

    def __init__(
        self, connect_timeout_ms: float, conn_idle_ms: float, most: int, source_host: str = ""
    ) -> None:
        self.local = (source_host, 0) if source_host else None  # where connections come from
        self.connect_timeout_s, self.idle_ms = connect_timeout_ms / 1000, conn_idle_ms * IDLE_PART
        self.most = most  # connections, those being opened included
        self.on_written: Callable[[], None] = lambda: None  # told of each attempt that is written whole
        self.connections: set[Connection] = set()
        self.backends: dict[str, Backend] = {}
        self.loop = asyncio.get_running_loop()
        self.sweeper = self.loop.call_later(self.idle_ms / 1000 / SWEEPS, self._sweep)

    def update(self, targets: tuple[Target, ...], whole: bool) -> None:
        if whole:
            listed = {target.uid for target in targets}
            for uid in [uid for uid in self.backends if uid not in listed]:
                self._retire(self.backends.pop(uid))
        for target in targets:
            backend = self.backends.get(target.uid)
            if target.info.state is ServerState.GONE:
                if backend is not None:
                    self._retire(self.backends.pop(target.uid))
            elif backend is None:
                self.backends[target.uid] = Backend(target)
            else:
                old, backend.target = backend.target, target
                moved = (old.host, old.port) != (target.host, target.port)
                if moved or not backend.active():
                    self._retire(backend)
                elif old.info.started != target.info.started:
                    backend.renew()

    def _retire(self, backend: Backend) -> None:
        # A drain counts from the first byte sent: what still waits for its connection must not go out.
        backend.renew()
        for connection in list(backend.connecting):
            attempt = connection.attempt
            self._drop(connection)
            if attempt is not None:
                attempt.end(Result.CONNECT_FAILED)

    def active(self) -> int:
        return sum(backend.active() for backend in self.backends.values())

    def start(self, attempt: Attempt) -> None:
        backend = self.backends.get(attempt.uid)
        if backend is None or not backend.active():
            attempt.end(Result.CONNECT_FAILED)
            return
        if not attempt.wanted():
            return
        seconds = max(attempt.deadline - now_ms(), 0.0) / 1000
        attempt.timer = self.loop.call_later(seconds, self._limit, attempt)
        kept = self._lend(backend)
        if kept is not None:
            kept.send_attempt(attempt)
            return
        if not self._make_room():
            attempt.end(Result.NO_ROOM)
            return
        connection = self.make(self, backend)
        connection.attempt, attempt.connection = attempt, connection
        self.connections.add(connection)
        backend.connecting.add(connection)
        connection.opener = self.loop.create_task(self._open(connection))

    @staticmethod
    def _lend(backend: Backend) -> Connection | None:
        """The connection used last that has rested since, with nothing on it that nobody asked for."""
        rested = now_ms() - REUSE_DELAY_MS
        for place in range(len(backend.idle) - 1, -1, -1):
            connection = backend.idle[place]
            if connection.idle_since <= rested:
                del backend.idle[place]
                assert connection.transport is not None
                if not connection.transport.is_closing() and not unread(connection.transport):
                    return connection
                connection.close()
        return None

    async def _open(self, connection: Connection) -> None:
        target = connection.backend.target
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                await self.loop.create_connection(
                    lambda: connection, target.host, target.port, local_addr=self.local
                )
        except OSError as error:  # refused, unreachable, out of descriptors, or too slow
            # The time may run out just as the connection comes up: the request is written then, and how it
            # ended is told by the connection.
            if connection.attempt is not None and connection.transport is None:
                lack = error.errno in OWN_LACK
                connection.attempt.end(Result.NO_ROOM if lack else Result.CONNECT_FAILED)
        finally:
            connection.backend.connecting.discard(connection)
            if connection.transport is None:
                self.connections.discard(connection)

    def cancel(self, attempt: Attempt) -> None:
        self._give_up(attempt, Result.CANCELLED)

    def time_out(self, attempt: Attempt) -> None:
        """Its node has kept it waiting for too long."""
        self._give_up(attempt, Result.TIMEOUT)

    def limit(self, attempt: Attempt, limit_ms: float) -> None:
        """It may take so long from now on. One whose answer has begun has no limit any more."""
        if attempt.ended or attempt.timer is None or attempt.timer.cancelled():
            return
        attempt.timer.cancel()
        attempt.deadline = now_ms() + limit_ms
        attempt.timer = self.loop.call_later(max(limit_ms, 0.0) / 1000, self._limit, attempt)

    def _limit(self, attempt: Attempt) -> None:
        connection = attempt.connection
        never = connection is None or connection.never_ran()
        self._give_up(attempt, Result.CONNECT_FAILED if never else Result.TIMEOUT)
        backend = self.backends.get(attempt.uid)
        if backend is not None and not never and backend.last_response_ms < attempt.start_ms:
            # Nothing came from there in all that time: a machine cut off leaves connections that look fit.
            backend.close_idle()

    def _give_up(self, attempt: Attempt, result: Result) -> None:
        if attempt.connection is not None:
            self._drop(attempt.connection)
        attempt.end(result)

    def _drop(self, connection: Connection) -> None:
        connection.backend.connecting.discard(connection)
        connection.attempt = None
        connection.close()
        if (
            connection.transport is None
        ):  # its opener may be cancelled before it has begun, and clear up nothing
            self.connections.discard(connection)

    def release_connection(self, connection: Connection) -> None:
        backend = connection.backend
        if not connection.reusable or connection.generation != backend.generation or not backend.active():
            connection.close()
            return
        connection.idle_since = now_ms()
        backend.idle.append(connection)

    def _make_room(self) -> bool:
        """At the cap the connection that has been idle for longest goes; with none idle there is no room."""
        if len(self.connections) < self.most:
            return True
        oldest = min(
            (b.idle[0] for b in self.backends.values() if b.idle), key=lambda c: c.idle_since, default=None
        )
        if oldest is None:
            return False
        oldest.backend.idle.remove(oldest)
        self.connections.discard(oldest)
        oldest.close()
        return True

    def _sweep(self) -> None:
        self.sweeper = self.loop.call_later(self.idle_ms / 1000 / SWEEPS, self._sweep)
        oldest = now_ms() - self.idle_ms
        for backend in self.backends.values():
            while backend.idle and backend.idle[0].idle_since < oldest:
                backend.idle.pop(0).close()

    def close(self) -> None:
        self.sweeper.cancel()
        for connection in list(self.connections):
            connection.close()
