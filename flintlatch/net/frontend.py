"""Client connections: accepts them within a limit, and closes them in a drain or at a stop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum
from typing import cast

from flintlatch.net import connections
from flintlatch.net.client import Client
from flintlatch.net.clock import now_ms
from flintlatch.net.connections import ClientConnections, ConnectionState
from flintlatch.net.counts import CloseReason
from flintlatch.net.engine import Engine
from flintlatch.net.listener import open_listener, queued_connections
from flintlatch.net.log import log
from flintlatch.net.process_memory import MemoryControl
from flintlatch.net.receiving import Receiver
from flintlatch.net.request import Reader

ACCEPTS_PER_TURN = 16  # so that requests on open connections need not wait for a flood of new connections
# Where other processes accept from the same socket, so that one of them does not take all connections.
ACCEPTS_PER_TURN_SHARED = 1
MEMORY_CHECK_INTERVAL_S = 0.05  # between two looks at the size of the process
MIN_CONNECTIONS = 32  # that are accepted even while the process is too large
SWEEP_INTERVAL_S = 0.25  # between checks for expired timeouts
IDLE_TIMEOUT_S = 30.0  # for a kept connection, while at most half of the connection limit is in use
# While keep-alive is disabled: most idle clients send another request in this time, and its response closes
# the connection in an orderly way.
DRAIN_IDLE_TIMEOUT_S = 1.0
FINAL_FLUSH_S = 0.05  # at the end of a stop, for the last responses to be sent
FINAL_TRANSFERS_S = 60.0  # and for long responses that clients still read
FINAL_TRANSFERS_INTERVAL_S = 0.02  # between two looks whether there are any
FULL_RETRY_DELAY_S = 0.01  # between two looks whether a client may be evicted
CROWDED_QUEUE = 16  # connections that wait to be accepted, from which on idle ones are evicted sooner
# After an accept that failed, doubled with each further failure: connections that wait are served in time if
# it fails for a moment only.
MIN_ACCEPT_RETRY_DELAY_S, MAX_ACCEPT_RETRY_DELAY_S = 0.001, 0.05
FINAL_ACCEPT_RETRY_DELAY_S, FINAL_ACCEPT_RETRIES = 0.01, 10  # of connections queued at the end of a stop


class AcceptResult(Enum):
    """What became of accepting one connection."""

    ACCEPTED = "accepted"
    REPLACED = "replaced"  # accepted, and another client was evicted for it
    EMPTY = "empty"  # no connection is queued
    ABORTED = "aborted"  # this one has ended; others may be queued
    FULL = "full"  # the connection limit is reached, and no client may be evicted
    FAILED = "failed"  # a lack of descriptors or memory


class Frontend:
    """Accepts connections within a limit."""

    def __init__(
        self, engine: Engine, reader: Reader, max_connections: int, accepts_per_turn: int = ACCEPTS_PER_TURN
    ) -> None:
        self.engine, self.reader, self.max_connections = engine, reader, max_connections
        self.accepts_per_turn = accepts_per_turn
        self.loop = asyncio.get_running_loop()
        self.clients: ClientConnections[Client] = ClientConnections()
        self.memory_control: MemoryControl | None = None  # set where the process has a memory limit
        self.max_by_memory = max_connections
        # Descriptors in use by clients, including connections that are being opened or closed.
        self.connection_count = 0
        self.opening_tasks: set[asyncio.Task[object]] = set()
        self.stopping = self.accepting = False
        self.refusing = False  # at the end of a stop: a request that still arrives is refused at once
        self.drained_by_operator = False  # an operator has started a drain
        self.keep_alive_disabled_ms = 0.0
        self.address_still_served = False  # stopping, and another process serves the same address
        self.all_closed = asyncio.Event()
        self.listeners: list[socket.socket] = []
        self.address = ""  # of the first listening socket
        # Set where other processes accept from the same sockets. The first is called with each new
        # `connection_count`, the second before connections are accepted.
        self.on_connection_count: Callable[[int], None] | None = None
        self.should_pause_accepting: Callable[[], bool] | None = None
        self.accept_pause_s, self.accept_pause_over = 0.0, False
        self.accept_retry_delay_s = MIN_ACCEPT_RETRY_DELAY_S
        # Since when connections have waited in the kernel's queue; None: they are accepted as they come.
        self.accept_delayed_since_ms: float | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.memory_timer: asyncio.TimerHandle | None = None

    def make_client(self) -> Client:
        return Client(self)

    def listen(self, address: str) -> None:
        self.serve_on([open_listener(address)])

    def serve_on(self, listeners: list[socket.socket]) -> None:
        """Accepts from listening sockets, which are closed by `stop_accepting`."""
        self.listeners = listeners
        for sock in listeners:
            sock.setblocking(False)
        self.address = "{}:{}".format(*listeners[0].getsockname()[:2])
        self._resume_accepting()
        self._sweep()
        self._check_memory()

    def ready(self) -> bool:
        here = not self.stopping or self.address_still_served
        return here and not self.drained_by_operator and self.engine.has_servers()

    @property
    def keep_alive_disabled(self) -> bool:
        """Whether each response closes its connection."""
        return self.stopping or self.drained_by_operator

    # Accepting within the connection limit

    def _resume_accepting(self) -> None:
        if self.listeners and not self.accepting:
            self.accepting = True
            for sock in self.listeners:
                self.loop.add_reader(sock.fileno(), self._accept, sock)

    def _pause_accepting(self) -> None:
        if self.accepting:
            self.accepting = False
            for sock in self.listeners:
                self.loop.remove_reader(sock.fileno())

    def _retry_accepting_after(self, delay_s: float) -> None:
        """Pauses accepting; new connections wait in the kernel's queue."""
        self._pause_accepting()
        self.loop.call_later(delay_s, self._resume_accepting)

    def _accept(self, listener: socket.socket) -> None:
        if (
            self.should_pause_accepting is not None
            and not self.accept_pause_over
            and self.should_pause_accepting()
        ):
            self._pause_accepting()
            self.loop.call_later(self.accept_pause_s, self._resume_after_pause)
            return
        self.accept_pause_over = False
        for _ in range(self.accepts_per_turn):
            result = self._accept_one(listener)
            if result is AcceptResult.EMPTY:
                self.accept_delayed_since_ms = None
            elif self.accept_delayed_since_ms is None and result is not AcceptResult.ACCEPTED:
                self.accept_delayed_since_ms = now_ms()
            if result in (AcceptResult.ACCEPTED, AcceptResult.REPLACED):
                self.accept_retry_delay_s = MIN_ACCEPT_RETRY_DELAY_S
            elif result is AcceptResult.FULL:  # until a client leaves or may be evicted
                self._retry_accepting_after(FULL_RETRY_DELAY_S)
            elif result is AcceptResult.FAILED:
                self._retry_accepting_after(self.accept_retry_delay_s)
                self.accept_retry_delay_s = min(2 * self.accept_retry_delay_s, MAX_ACCEPT_RETRY_DELAY_S)
            if result is not AcceptResult.ACCEPTED:
                return

    def _accept_one(self, listener: socket.socket) -> AcceptResult:
        """Accepts one connection from the kernel's queue, if there is one."""
        full = self.is_full()
        evicted = None
        if full:
            is_crowded = queued_connections(listener) >= CROWDED_QUEUE
            evicted = self.clients.eviction_candidate(is_crowded)
        if full and evicted is None:
            return AcceptResult.FULL
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return AcceptResult.EMPTY
        except (InterruptedError, ConnectionAbortedError):
            return AcceptResult.ABORTED
        except OSError as error:
            log.event("accept_failed", reason=str(error), connections=self.connection_count)
            return AcceptResult.FAILED
        if evicted is not None:  # only after a connection was accepted that replaces it
            self._evict(evicted)
        self.connection_count += 1
        if self.on_connection_count is not None:
            self.on_connection_count(self.connection_count)
        client = self.make_client()
        client.queued_since_ms = self.accept_delayed_since_ms
        turns = self.engine.turns
        task = self.loop.create_task(self.loop.connect_accepted_socket(lambda: Receiver(client, turns), sock))
        self.opening_tasks.add(cast("asyncio.Task[object]", task))
        task.add_done_callback(self._on_opened)
        # The descriptor of an evicted client is freed only after this loop turn.
        return AcceptResult.ACCEPTED if evicted is None else AcceptResult.REPLACED

    def _resume_after_pause(self) -> None:
        """Accepts the connections that no other process has accepted during the pause."""
        self.accept_pause_over = True
        self._resume_accepting()

    def _on_opened(self, task: asyncio.Task[object]) -> None:
        self.opening_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(f"accept: {task.exception()}")
            self._release_descriptor()

    def _evict(self, client: Client) -> None:
        self.engine.counts.add(CloseReason.EVICTED)
        lingering = client.state is ConnectionState.LINGERING
        self.clients.move(client, ConnectionState.CLOSED)
        client.transport.abort() if lingering else client.transport.close()

    def on_client_lost(self, client: Client) -> None:
        self.clients.discard(client)
        self._release_descriptor()

    def _release_descriptor(self) -> None:
        self.connection_count -= 1
        if self.on_connection_count is not None and self.listeners:
            self.on_connection_count(self.connection_count)
        self._resume_accepting()
        if self.stopping and not self.connection_count:
            self.all_closed.set()

    def _sweep(self) -> None:
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.clients.sweep(self._idle_timeout_s())

    def _check_memory(self) -> None:
        if self.memory_control is not None:
            self.memory_timer = self.loop.call_later(MEMORY_CHECK_INTERVAL_S, self._check_memory)
            self.memory_control.check()

    def is_full(self) -> bool:
        """Whether a further connection needs the place of another one."""
        limit = self.max_connections
        if self.engine.memory.excess_bytes:
            limit = min(limit, MIN_CONNECTIONS)
        return self.connection_count >= limit

    def _idle_timeout_s(self) -> float:
        if self.keep_alive_disabled:  # the full time for each client, however long it was idle before
            drain_s = (now_ms() - self.keep_alive_disabled_ms) / 1000
            return DRAIN_IDLE_TIMEOUT_S if drain_s > DRAIN_IDLE_TIMEOUT_S else IDLE_TIMEOUT_S
        crowded = self.connection_count > self.max_connections / 2
        return connections.CROWDED_IDLE_TIMEOUT_S if crowded else IDLE_TIMEOUT_S

    # Drain by an operator

    def start_drain(self) -> None:
        """Reports unready and closes each connection after a response or once it is idle."""
        if not self.drained_by_operator:
            self.drained_by_operator, self.keep_alive_disabled_ms = True, now_ms()

    def stop_drain(self) -> None:
        self.drained_by_operator = False

    # Stopping

    def disable_keep_alive(self, address_still_served: bool = False) -> None:
        """Reports unready from now on, unless another process serves the same address. Connections are still
        accepted and served, but closed after each response."""
        self.stopping, self.address_still_served, self.keep_alive_disabled_ms = (
            True,
            address_still_served,
            now_ms(),
        )

    async def accept_queued(self) -> None:
        """Accepts all connections in the kernel's queue, regardless of the limit for one loop turn, up to the
        connection limit. Retries for a moment if that fails."""
        self._pause_accepting()
        for listener in self.listeners:
            retries = 0
            while self.connection_count < self.max_connections and retries <= FINAL_ACCEPT_RETRIES:
                result = self._accept_one(listener)
                if result is AcceptResult.EMPTY:
                    break
                if result in (AcceptResult.FAILED, AcceptResult.ABORTED):
                    retries += 1
                if result is AcceptResult.FAILED:
                    await asyncio.sleep(FINAL_ACCEPT_RETRY_DELAY_S)

    def stop_accepting(self) -> None:
        self._pause_accepting()
        for sock in self.listeners:
            sock.close()
        self.listeners = []

    async def finish(self, within_s: float) -> None:
        """Stops accepting, closes connections between requests, and waits up to `within_s` until none is
        open. Then fails what is not answered, and waits for the responses that have begun."""
        await self.accept_queued()  # queued connections may contain a request that was sent in time
        self.stop_accepting()
        for client in self.clients.members(ConnectionState.IDLE):
            client.close_when_idle()
        for client in self.clients.members(ConnectionState.READING):
            if not client.request_started:
                client.close_when_idle()
        if not await self._all_closed_within(within_s):
            log(f"stop: {self.connection_count} client connections were still open")
            # Requests on these connections are answered before the process ends.
            self.refusing = True
            self.engine.fail_all()
            await asyncio.sleep(FINAL_FLUSH_S)
            await self._finish_transfers()
        for timer in (self.sweep_timer, self.memory_timer):
            if timer is not None:
                timer.cancel()

    async def _all_closed_within(self, seconds: float) -> bool:
        if not self.connection_count:
            return True
        # The event may have been set while no connection was open after the start of the stop.
        self.all_closed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self.all_closed.wait()
        except TimeoutError:
            return False
        return True

    async def _finish_transfers(self) -> None:
        """Waits for the responses that have begun, for as long as their clients take bytes of them: the end
        of the process would cut them off. The time limits of stalled clients still hold."""
        end_at = self.loop.time() + FINAL_TRANSFERS_S
        while self.loop.time() < end_at and any(client.owes_bytes() for client in self.clients):
            await asyncio.sleep(FINAL_TRANSFERS_INTERVAL_S)
