"""Runs scheduled calls in virtual time. The same seed gives the same order of all events."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class Engine:
    """A queue of calls. `now` is in seconds. Calls for the same time run in the order of their scheduling."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.events = 0  # calls run so far
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call; a time in the past counts as `now`."""
        heappush(self._queue, (max(when, self.now), next(self._sequence), call))

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        self.at(self.now + seconds, call)

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heappop(self._queue)
            self.events += 1
            call()
        self.now = max(self.now, until)
