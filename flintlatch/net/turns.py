"""Shares the turns of the event loop among the connections whose input waits to be parsed.

The cost of input depends on the number of messages and chunks in it, not on its bytes. So a turn is bounded
by time, looked at between two slices of bounded size, and of the connections that wait the one that has used
the least time lately comes first: many connections at full speed do not delay one that asks now and then.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Protocol

from flintlatch.exchange import NO_LIMIT_BYTES, Budget

CONNECTION_SHARE_S = 0.001  # of one turn, for one connection
TURN_LIMIT_S = 0.002  # for all connections; far below the shortest deadline, which takes some turns
USAGE_STEP_S = 0.002  # those whose usage is in the same step get their shares in order
USAGE_HALF_LIFE_S = 0.5  # after which the time that a connection has used counts half
MAX_READ_BYTES = 64 * 1024  # of one read from a socket


class Usage:
    """The time of the loop that one source has used lately."""

    __slots__ = ("_seconds", "_updated_s")

    def __init__(self) -> None:
        self._seconds = self._updated_s = 0.0

    def at(self, now_s: float) -> float:
        """In seconds; what was used longer ago counts less."""
        half_lives = (now_s - self._updated_s) / USAGE_HALF_LIFE_S
        return self._seconds * 0.5**half_lives if self._seconds else 0.0

    def add(self, now_s: float, seconds: float) -> None:
        self._seconds = self.at(now_s) + seconds
        self._updated_s = now_s


class InputSource(Protocol):
    """Input that can be handled in slices."""

    usage: Usage

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
        self._waiting: set[InputSource] = set()
        # By the usage of each in steps when it began to wait, then in order.
        self._order: list[tuple[int, int, InputSource]] = []
        self._numbers = count()
        self._spent_s = 0.0  # of this turn
        self._is_scheduled = False
        # One read at a time is in progress in a loop, so that all connections can share this buffer.
        self.read_buffer = memoryview(bytearray(MAX_READ_BYTES))

    def now_s(self) -> float:
        """The present time of the schedule's clock."""
        return self._clock()

    def submit(self, source: InputSource) -> None:
        """Handles new input: a share of it now, if this turn has time left, and the rest in later turns."""
        if source in self._waiting:
            return
        if self._spent_s >= TURN_LIMIT_S or self._handle_share(source):
            self.enqueue(source)

    def enqueue(self, source: InputSource) -> None:
        """Handles input in later turns."""
        if source not in self._waiting:
            self._waiting.add(source)
            usage_steps = int(source.usage.at(self._clock()) / USAGE_STEP_S)
            heappush(self._order, (usage_steps, next(self._numbers), source))
        self._schedule()

    def discard(self, source: InputSource) -> None:
        """Forgets a source that has ended."""
        if source in self._waiting:
            self._waiting.remove(source)
            self._order = [entry for entry in self._order if entry[2] is not source]
            heapify(self._order)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled, self._spent_s = False, 0.0
        handled = []
        while self._order and self._spent_s < TURN_LIMIT_S:
            source = heappop(self._order)[2]
            self._waiting.remove(source)
            if self._handle_share(source):
                handled.append(source)
        for source in handled:
            self.enqueue(source)
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
        source.usage.add(started_s + elapsed_s, elapsed_s)
        return has_more
