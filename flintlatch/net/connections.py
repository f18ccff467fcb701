"""The client connections of a front end by state, with their time limits and the choice of one to evict.

Every open connection is in exactly one state, and every state has its own end:

| state     | ended by                                                      | may be evicted               |
| --------- | ------------------------------------------------------------- | ---------------------------- |
| READING   | a complete request, REQUEST_READ_TIMEOUT_S                    | after an eviction grace      |
| IDLE      | the next request, the idle timeout                            | yes                          |
| SERVING   | the last response (its deadline, the limits of its transfer)  | no                           |
| FINISHING | as SERVING                                                    | no                           |
| LINGERING | the peer's close, LINGER_TIMEOUT_S after it has everything    | once the peer has everything |
| CLOSED    | the event loop, in its next turn                              | no                           |

A connection whose peer takes no byte of what is written to it ends after OUTPUT_STALL_TIMEOUT_S in any state,
in IDLE after its idle timeout.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Generic, Protocol, TypeVar

from flintlatch.net.clock import now_ms
from flintlatch.net.counts import CloseReason
from flintlatch.net.guard import bugs
from flintlatch.net.receiving import has_unread_data
from flintlatch.net.sending import OutputProgress, unsent_bytes

# For a head, from connecting or from its first byte. A well-behaved client may take 2 s, and an incomplete
# request must be ended after 3 s. A body may take longer as long as bytes arrive.
REQUEST_READ_TIMEOUT_S = 2.5
CROWDED_IDLE_TIMEOUT_S = 2.0  # between two requests, while over half of the connection limit is in use
EVICTION_GRACE_MS = 250.0  # for a new connection at the limit, whose first request is on the way
# The same while others wait to be accepted, whose requests may have arrived: their wait is the length of the
# queue over the connections that this grace lets go in a second.
CROWDED_EVICTION_GRACE_MS = 25.0
LINGER_TIMEOUT_S = 1.0  # for the peer to close once it has the last response; then the connection is aborted
# For the peer to take a byte of what is written to it. Its machine tells of room in its receive buffer in
# steps of 64 KB up to a sixteenth of the buffer, which may be some MB: a client that reads 4 KiB a second is
# seen to take something once in some minutes.
OUTPUT_STALL_TIMEOUT_S = 600.0


class ConnectionState(Enum):
    READING = "reading"  # new, or a request has begun to arrive and is not complete
    IDLE = "idle"  # kept open between two requests
    SERVING = "serving"  # a request is handled, or waits for the one before it
    FINISHING = "finishing"  # as SERVING, but no further request is read, and the last response closes
    LINGERING = "lingering"  # the last response is written; the peer has to receive it and to close
    CLOSED = "closed"

    @property
    def reads_requests(self) -> bool:
        return self in (ConnectionState.READING, ConnectionState.IDLE, ConnectionState.SERVING)


TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.READING: frozenset(ConnectionState),
    ConnectionState.IDLE: frozenset(ConnectionState),
    ConnectionState.SERVING: frozenset(ConnectionState),
    ConnectionState.FINISHING: frozenset((ConnectionState.LINGERING, ConnectionState.CLOSED)),
    ConnectionState.LINGERING: frozenset((ConnectionState.CLOSED,)),
    ConnectionState.CLOSED: frozenset(),
}


class InvalidTransition(Exception):
    """A connection was to enter a state that can't follow its present one."""


class ManagedConnection(Protocol):
    """What the groups have to know of a client connection."""

    transport: asyncio.Transport
    state: ConnectionState
    request_started: bool  # a request has begun and is not complete
    reading_since_ms: float  # since when the client could have sent the rest of an incomplete request
    progress: OutputProgress | None  # set while the peer has to take bytes

    def on_read_timeout(self) -> None: ...
    def close_when_idle(self) -> None: ...
    def abort_for(self, reason: CloseReason) -> None: ...
    def gone(self) -> bool: ...
    def waits_for_reader(self) -> bool: ...


ConnectionT = TypeVar("ConnectionT", bound=ManagedConnection)


class ClientConnections(Generic[ConnectionT]):
    """All open client connections of a front end, grouped by state. Iterates over all of them."""

    def __init__(self) -> None:
        # With the time at which each connection entered its state; the oldest entry is first.
        self._groups: dict[ConnectionState, dict[ConnectionT, float]] = {
            state: {} for state in ConnectionState
        }
        self.paused: set[ConnectionT] = set()  # not read, so their end has to be asked for

    def __iter__(self) -> Iterator[ConnectionT]:
        for group in list(self._groups.values()):
            yield from list(group)

    def __len__(self) -> int:
        return sum(map(len, self._groups.values()))

    def members(self, state: ConnectionState) -> list[ConnectionT]:
        """The connections in `state`, the one that has been in it for longest first."""
        return list(self._groups[state])

    def since_ms(self, connection: ConnectionT) -> float:
        """When the connection entered its state."""
        return self._groups[connection.state][connection]

    def add(self, connection: ConnectionT) -> None:
        """Adds a new connection, in the state READING."""
        connection.state, connection.reading_since_ms = ConnectionState.READING, now_ms()
        self._groups[connection.state][connection] = now_ms()

    def move(self, connection: ConnectionT, state: ConnectionState) -> None:
        """Moves a connection to another state. An idle one starts its time anew, since it was used.

        Raises InvalidTransition."""
        previous = connection.state
        if state is previous and state is not ConnectionState.IDLE:
            return
        if state not in TRANSITIONS[previous]:
            raise InvalidTransition(f"{state} after {previous}")
        if self._groups[previous].pop(connection, None) is None:
            return  # lost: it is in no group any more
        connection.state = state
        self._groups[state][connection] = now_ms()

    def discard(self, connection: ConnectionT) -> None:
        """Removes a connection that is lost."""
        self._groups[connection.state].pop(connection, None)
        connection.state = ConnectionState.CLOSED
        self.paused.discard(connection)

    def eviction_candidate(self, is_crowded: bool = False) -> ConnectionT | None:
        """The connection to evict for a new one: one in lingering close, then one past the idle timeout under
        load, then one that has not sent a request, and only then one that was recently active. `is_crowded`:
        many connections wait to be accepted."""
        reading = self._groups[ConnectionState.READING]
        silent = {one: since_ms for one, since_ms in reading.items() if not one.request_started}
        grace_ms = CROWDED_EVICTION_GRACE_MS if is_crowded else EVICTION_GRACE_MS
        return (
            oldest_evictable(self._groups[ConnectionState.LINGERING], EVICTION_GRACE_MS)
            or oldest_evictable(self._groups[ConnectionState.IDLE], CROWDED_IDLE_TIMEOUT_S * 1000)
            # One that has begun a request keeps its place as long as there is one that has not.
            or oldest_evictable(silent or reading, grace_ms if silent else EVICTION_GRACE_MS)
            or oldest_evictable(self._groups[ConnectionState.IDLE], 0.0)
        )

    def sweep(self, idle_timeout_s: float) -> None:
        """Ends the connections that are past a time limit, so that no peer can hold one forever."""
        now = now_ms()
        reading = self.members(ConnectionState.READING)
        latest_ms = now - REQUEST_READ_TIMEOUT_S * 1000
        late = [connection for connection in reading if connection.reading_since_ms <= latest_ms]
        self._check(late, lambda connection: connection.on_read_timeout())
        idle = self._idle_since(now - idle_timeout_s * 1000)
        self._check(idle, lambda connection: connection.close_when_idle())
        self._check(self.members(ConnectionState.LINGERING), end_lingering)
        self._check(self.members(ConnectionState.SERVING), end_stalled)
        self._check(self.members(ConnectionState.FINISHING), end_stalled)
        self._check(list(self.paused), lambda connection: connection.gone())

    @staticmethod
    def _check(connections: list[ConnectionT], check: Callable[[ConnectionT], object]) -> None:
        """An unexpected error ends its connection, and not the checks of the others."""
        for connection in connections:
            try:
                check(connection)
            except Exception as error:
                bugs.report("a time limit of a client connection", error)
                connection.transport.abort()

    def _idle_since(self, oldest_ms: float) -> list[ConnectionT]:
        overdue = []
        for connection, since_ms in self._groups[ConnectionState.IDLE].items():
            if since_ms > oldest_ms:
                break
            overdue.append(connection)
        return overdue


def oldest_evictable(group: dict[ConnectionT, float], grace_ms: float) -> ConnectionT | None:
    """The first connection of a group that may be evicted and has been in it for longer than `grace_ms`."""
    latest_ms = now_ms() - grace_ms
    for connection, since_ms in group.items():
        if since_ms > latest_ms:
            return None
        if may_be_evicted(connection):
            return connection
    return None


def may_be_evicted(connection: ManagedConnection) -> bool:
    """Whether nothing is lost with the connection: unread bytes in the kernel are a request that was sent in
    time, and unsent ones are a response."""
    if connection.state is not ConnectionState.LINGERING and has_unread_data(connection.transport):
        return False
    return not unsent_bytes(connection.transport)


def end_lingering(connection: ManagedConnection) -> None:
    if connection.progress is None:
        connection.progress = OutputProgress(unsent_bytes(connection.transport))
    reason = linger_expiry(connection.progress, unsent_bytes(connection.transport))
    if reason is not None:
        connection.abort_for(reason)


def linger_expiry(progress: OutputProgress, unsent: int) -> CloseReason | None:
    """Why a lingering close is over: the peer has everything and does not close, or it takes nothing for too
    long."""
    stalled_s = progress.stalled_s(unsent)
    if not unsent and stalled_s >= LINGER_TIMEOUT_S:
        return CloseReason.LINGER_TIMEOUT
    return CloseReason.UNREAD_RESPONSES if stalled_s >= OUTPUT_STALL_TIMEOUT_S else None


def end_stalled(connection: ManagedConnection) -> None:
    """Aborts a connection whose next request waits for a peer that takes nothing of the responses before
    it."""
    if not connection.waits_for_reader():
        connection.progress = None
        return
    unsent = unsent_bytes(connection.transport)
    if connection.progress is None:
        connection.progress = OutputProgress(unsent)
    elif connection.progress.stalled_s(unsent) >= OUTPUT_STALL_TIMEOUT_S:
        connection.abort_for(CloseReason.UNREAD_RESPONSES)
