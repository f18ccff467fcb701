"""Connection pools to the backends, keyed by uid, and the attempts that are sent on their connections."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from math import inf

from flintlatch.api import Result, ServerState
from flintlatch.exchange import NO_LIMIT_BYTES, Budget
from flintlatch.net.clock import now_ms
from flintlatch.net.guard import bugs
from flintlatch.net.http1 import Http1Connection, Response
from flintlatch.net.listing import Target
from flintlatch.net.receiving import Receiver, has_unread_data
from flintlatch.net.turns import TurnSchedule

# Fraction of a backend's idle limit after which the proxy closes an idle connection. A connection reused just
# as the backend closes it would end in a reset.
IDLE_TIMEOUT_FRACTION = 0.6
# A second response, stray bytes or the backend's close may follow directly after a response. A connection
# that has been idle for this long has received them, and is then found unusable before it is reused. The cost
# is one or two more pooled connections, not a handshake for each request.
REUSE_DELAY_MS = 10.0
LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
RESERVED_DESCRIPTORS = 40  # for the process itself, discovery and connections that are being closed
# Fraction of the other descriptors for connections to backends. Clients with open requests, each of them in
# flight once or queued in the proxy, hold at most a third of all descriptors; the others of the clients'
# share are for kept and for silent client connections.
BACKEND_FRACTION = 0.42
SWEEPS_PER_IDLE_TIMEOUT = 20


def split_descriptors(sockets: int) -> tuple[int, int]:
    """Splits a number of file descriptors into the caps on backend connections and on client connections."""
    sockets -= min(RESERVED_DESCRIPTORS, sockets // 4)
    to_backends = int(sockets * BACKEND_FRACTION)
    return to_backends, sockets - to_backends


class Attempt:
    """One attempt of a request, or a probe, at one backend. It ends exactly once, by a call of `done`."""

    def __init__(
        self,
        uid: str,
        head: bytes,
        body: bytes,
        timeout_ms: float,
        done: Callable[[Attempt, Result, Response | None], None],
        write_within_ms: float = inf,
    ) -> None:
        self.uid, self.head, self.body, self.done = uid, head, body, done
        self.start_ms = now_ms()
        self.deadline_ms = self.start_ms + timeout_ms
        # Servers deduplicate a repeated request only for a limited time: it must not be written later than
        # this.
        self.write_by_ms = self.start_ms + write_within_ms
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False
        self.result: Result | None = None
        self.ended_ms = 0.0

    def still_wanted(self) -> bool:
        """Whether the attempt may be written now: asked right before, since time has passed since it was
        decided on. If not, this call has ended it."""
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
        done, self.done = self.done, _ignore_end
        done(self, result, response)


def _ignore_end(attempt: Attempt, result: Result, response: Response | None) -> None:
    """Takes the place of the callback of an attempt that has ended: the callback refers to its request, which
    refers to the attempt, and only the garbage collector would free the cycle."""


class Backend:
    """One backend of the list. A new generation begins when its old connections must not be reused."""

    def __init__(self, target: Target) -> None:
        self.target, self.generation = target, 0
        self.last_response_ms = 0.0  # time of its last response
        self.idle_connections: list[Connection] = []  # most recently used last
        self.connecting: set[Connection] = set()

    def active(self) -> bool:
        return self.target.info.state is ServerState.ACTIVE

    def start_generation(self) -> None:
        self.generation += 1
        self.close_idle()

    def close_idle(self) -> None:
        for connection in self.idle_connections:
            connection.close()
        self.idle_connections.clear()


class Connection(Http1Connection):
    """A pooled connection to one backend; it carries one attempt at a time."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        super().__init__()
        self.pool, self.backend, self.generation = pool, backend, backend.generation
        self.attempt: Attempt | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_timeout: asyncio.Timeout | None = None
        self.idle_since_ms = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.on_connected()

    def on_connected(self) -> None:
        """Sends the attempt that this connection was opened for, unless it is not wanted any more or its
        write limit has passed."""
        self.backend.connecting.discard(self)
        if self.connect_task is not None and self.connect_task.cancelling():
            # Its timeout has fired in this loop turn. The loop will close the transport and call no
            # `connection_lost`; the cancelled task gives the attempt its outcome.
            self.transport = None
            return
        if self.connect_timeout is not None:  # otherwise it could fire before the task resumes
            self.connect_timeout.reschedule(None)
        attempt = self.attempt
        if attempt is None:
            self.close()
            return
        if now_ms() > attempt.write_by_ms:
            attempt.end(Result.NOT_SENT)  # not a failure: that would eject a healthy server
        if not attempt.ended and attempt.still_wanted():
            self.send_attempt(attempt)
        else:
            self.pool.release_connection(self)  # usable by another attempt

    def assign(self, attempt: Attempt) -> None:
        """Reserves the connection for an attempt, of which nothing is written yet."""
        self.attempt, attempt.connection = attempt, self
        self.write_incomplete = True

    def send_attempt(self, attempt: Attempt) -> None:
        """Writes the request of the attempt that the connection is assigned to."""
        budget = max(1, int(attempt.deadline_ms - now_ms()))
        self.send_request(b"%bx-budget-ms: %d\r\n\r\n%b" % (attempt.head, budget, attempt.body))

    def close(self) -> None:
        super().close()
        if self.transport is None and self.connect_task is not None:
            self.connect_task.cancel()

    def never_ran(self) -> bool:
        """Whether the last byte of the request has certainly not been written, so that the server has not run
        it."""
        return self.transport is None or self.write_incomplete

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
        if self in self.backend.idle_connections:
            self.backend.idle_connections.remove(self)
        if self.attempt is not None:
            self.attempt.end(Result.CONNECT_FAILED if self.never_ran() else Result.RESET)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.connections.discard(self)
        super().connection_lost(exc)


class Backends:
    """The connection pools of all backends on the list, under one cap on connections."""

    # Front ends for other protocols replace it.
    connection_factory: Callable[[Backends, Backend], Connection] = Connection

    def __init__(
        self,
        connect_timeout_ms: float,
        conn_idle_ms: float,
        max_connections: int,
        source_host: str = "",
        turns: TurnSchedule | None = None,
        memory: Budget | None = None,
    ) -> None:
        """`turns`, `memory`: shared with the clients' connections."""
        self.memory = memory or Budget(NO_LIMIT_BYTES)
        self.local_address = (source_host, 0) if source_host else None  # source address of the connections
        self.connect_timeout_s, self.idle_timeout_ms = (
            connect_timeout_ms / 1000,
            conn_idle_ms * IDLE_TIMEOUT_FRACTION,
        )
        self.max_connections = max_connections  # including those that are being opened
        self.on_written: Callable[[], None] = lambda: None  # called for each completely written attempt
        self.connections: set[Connection] = set()
        self.backends: dict[str, Backend] = {}
        self.loop = asyncio.get_running_loop()
        self.turns = turns or TurnSchedule(self.loop.call_soon)
        self.sweep_timer = self.loop.call_later(
            self.idle_timeout_ms / 1000 / SWEEPS_PER_IDLE_TIMEOUT, self._sweep
        )

    def update(self, targets: tuple[Target, ...], is_snapshot: bool) -> None:
        if is_snapshot:
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
                previous, backend.target = backend.target, target
                moved = (previous.host, previous.port) != (target.host, target.port)
                if moved or not backend.active():
                    self._retire(backend)
                elif previous.info.started != target.info.started:
                    backend.start_generation()

    def _retire(self, backend: Backend) -> None:
        # A draining server must not receive a new request, so attempts that wait for their connection fail
        # here.
        backend.start_generation()
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
        if not attempt.still_wanted():
            return
        seconds = max(attempt.deadline_ms - now_ms(), 0.0) / 1000
        attempt.timer = self.loop.call_later(seconds, self._on_timeout, attempt)
        reused = self._reuse_idle(backend)
        if reused is not None:
            reused.assign(attempt)
            reused.send_attempt(attempt)
            return
        if not self._make_room():
            attempt.end(Result.NO_ROOM)
            return
        connection = self.connection_factory(self, backend)
        connection.assign(attempt)
        self.connections.add(connection)
        backend.connecting.add(connection)
        connection.connect_task = self.loop.create_task(self._open(connection))

    @staticmethod
    def _reuse_idle(backend: Backend) -> Connection | None:
        """Takes the most recently used connection that has been idle for REUSE_DELAY_MS and has no unread
        bytes."""
        latest_idle_since_ms = now_ms() - REUSE_DELAY_MS
        for index in range(len(backend.idle_connections) - 1, -1, -1):
            connection = backend.idle_connections[index]
            if connection.idle_since_ms <= latest_idle_since_ms:
                del backend.idle_connections[index]
                assert connection.transport is not None
                if not connection.transport.is_closing() and not has_unread_data(connection.transport):
                    return connection
                connection.close()
        return None

    async def _open(self, connection: Connection) -> None:
        target = connection.backend.target
        try:
            async with asyncio.timeout(self.connect_timeout_s) as connection.connect_timeout:
                await self.loop.create_connection(
                    lambda: Receiver(connection, self.turns),
                    target.host,
                    target.port,
                    local_addr=self.local_address,
                )
        except OSError as error:  # refused, unreachable, no descriptor left, or timed out
            if connection.attempt is not None and connection.transport is None:
                local_shortage = error.errno in LOCAL_SHORTAGE_ERRNOS
                connection.attempt.end(Result.NO_ROOM if local_shortage else Result.CONNECT_FAILED)
        except Exception as error:
            bugs.report("opening a connection to a backend", error)
            connection.on_callback_error()
        finally:
            connection.backend.connecting.discard(connection)
            if connection.transport is None:
                self.connections.discard(connection)

    def cancel(self, attempt: Attempt) -> None:
        self._abort(attempt, Result.CANCELLED)

    def fail(self, attempt: Attempt) -> None:
        """Ends an attempt that an unexpected error has interrupted."""
        connection = attempt.connection
        never_ran = connection is None or connection.never_ran()
        self._abort(attempt, Result.CONNECT_FAILED if never_ran else Result.RESET)

    def time_out(self, attempt: Attempt) -> None:
        """Ends an attempt whose node has stalled."""
        self._abort(attempt, Result.TIMEOUT)

    def set_timeout(self, attempt: Attempt, timeout_ms: float) -> None:
        """Gives the attempt `timeout_ms` from now on. Does nothing once its response has begun, which stops
        the timer."""
        if attempt.ended or attempt.timer is None or attempt.timer.cancelled():
            return
        attempt.timer.cancel()
        attempt.deadline_ms = now_ms() + timeout_ms
        attempt.timer = self.loop.call_later(max(timeout_ms, 0.0) / 1000, self._on_timeout, attempt)

    def _on_timeout(self, attempt: Attempt) -> None:
        connection = attempt.connection
        never_ran = connection is None or connection.never_ran()
        self._abort(attempt, Result.CONNECT_FAILED if never_ran else Result.TIMEOUT)
        backend = self.backends.get(attempt.uid)
        if backend is not None and not never_ran and backend.last_response_ms < attempt.start_ms:
            # No response from this backend since the attempt started. Connections to a machine that is cut
            # off from the network still look open, so none of them is reused.
            backend.close_idle()

    def _abort(self, attempt: Attempt, result: Result) -> None:
        if attempt.connection is not None:
            self._drop(attempt.connection)
        attempt.end(result)

    def _drop(self, connection: Connection) -> None:
        connection.backend.connecting.discard(connection)
        connection.attempt = None
        connection.close()
        if connection.transport is None:
            # Its connect task may be cancelled before its first step, and does no cleanup then.
            self.connections.discard(connection)

    def release_connection(self, connection: Connection) -> None:
        backend = connection.backend
        if not connection.reusable or connection.generation != backend.generation or not backend.active():
            connection.close()
            return
        connection.idle_since_ms = now_ms()
        backend.idle_connections.append(connection)

    def _make_room(self) -> bool:
        """Closes the longest idle connection if the cap is reached. False if the cap is reached and none is
        idle."""
        if len(self.connections) < self.max_connections:
            return True
        oldest = min(
            (backend.idle_connections[0] for backend in self.backends.values() if backend.idle_connections),
            key=lambda connection: connection.idle_since_ms,
            default=None,
        )
        if oldest is None:
            return False
        oldest.backend.idle_connections.remove(oldest)
        self.connections.discard(oldest)
        oldest.close()
        return True

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(
            self.idle_timeout_ms / 1000 / SWEEPS_PER_IDLE_TIMEOUT, self._sweep
        )
        oldest_kept = now_ms() - self.idle_timeout_ms
        for backend in self.backends.values():
            while backend.idle_connections and backend.idle_connections[0].idle_since_ms < oldest_kept:
                backend.idle_connections.pop(0).close()

    def close(self) -> None:
        self.sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()
