"""Shares the turns of the event loop among the connections whose input waits to be parsed.

The cost of input depends on the number of messages and chunks in it, not on its bytes. So a turn is bounded
by time, looked at between two slices of bounded size, and every connection that waits gets its share in
order.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from flintlatch.exchange import NO_LIMIT_BYTES, Budget

CONNECTION_SHARE_S = 0.001  # of one turn, for one connection
TURN_LIMIT_S = 0.002  # for all connections; far below the shortest deadline, which takes some turns
MAX_READ_BYTES = 64 * 1024  # of one read from a socket


class InputSource(Protocol):
    """Input that can be handled in slices."""

    def handle_slice(self) -> bool:
        """Handles one slice; returns whether another one may follow at once."""


class TurnSchedule:
    """The input of all connections of one event loop."""

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        clock: Callable[[], float] = time.monotonic,
        memory: Budget | None = None,
    ) -> None:
        """`call_soon`: calls a function in the next turn. `clock`: in seconds. `memory`: for the input that
        waits."""
        self._call_soon, self._clock = call_soon, clock
        self.memory = memory or Budget(NO_LIMIT_BYTES)
        self._waiting: dict[InputSource, None] = {}  # in the order in which they get their shares
        self._spent_s = 0.0  # of this turn
        self._is_scheduled = False
        # One read at a time is in progress in a loop, so that all connections can share this buffer.
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))

    def submit(self, source: InputSource) -> None:
        """Handles new input: a share of it now, if this turn has time left, and the rest in later turns."""
        if self._waiting and source in self._waiting:
            return
        if self._spent_s >= TURN_LIMIT_S or self._handle_share(source):
            self.enqueue(source)

    def enqueue(self, source: InputSource) -> None:
        """Handles input in later turns."""
        self._waiting.setdefault(source)
        self._schedule()

    def discard(self, source: InputSource) -> None:
        """Forgets a source that has ended."""
        self._waiting.pop(source, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled, self._spent_s = False, 0.0
        for _ in range(len(self._waiting)):
            if self._spent_s >= TURN_LIMIT_S or not self._waiting:
                break
            source = next(iter(self._waiting))
            del self._waiting[source]
            if self._handle_share(source):
                self._waiting.setdefault(source)
        self._spent_s = 0.0  # new input of this turn has a limit of its own
        if self._waiting:
            self._schedule()

    def _handle_share(self, source: InputSource) -> bool:
        """Handles slices until CONNECTION_SHARE_S is used up. Returns whether the source has more."""
        if not self._is_scheduled:
            self._schedule()
        started_s = self._clock()
        while True:
            has_more = source.handle_slice()
            elapsed_s = self._clock() - started_s
            if not has_more or elapsed_s >= CONNECTION_SHARE_S:
                break
        self._spent_s += elapsed_s
        return has_more
