"""Estimates since when a client may have written its whole request, while a slow server holds it back.

A request's time counts from the moment in which its client has written the last byte. While the proxy can't
read on, the client's machine goes on taking what the client writes, up to its send buffer, and nothing tells
the proxy how much is in there. So the estimate is the earliest possible moment.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024  # what a client's machine keeps at most by default, tcp(7)


class Arrival(NamedTuple):
    """How much of a body had reached this machine at one moment."""

    at_s: float
    total_bytes: int


class WriteEstimate:
    """The arrival of one body. Before its client is held back, nothing is estimated."""

    def __init__(self) -> None:
        self.is_held_back = False  # at the last observation
        self._was_full = False  # the proxy's buffer, since the last observation
        # From the moment on in which the buffer became full. Of those with which the client can't have
        # written more than has arrived since, only the last is kept.
        self._arrivals: deque[Arrival] = deque()

    def buffer_full(self, now_s: float, total_bytes: int) -> None:
        """The proxy's buffer for the body is full: from now on the client may be held back."""
        self._was_full = True
        if not self._arrivals:
            self._arrivals.append(Arrival(now_s, total_bytes))

    def observe(self, now_s: float, total_bytes: int, is_full: bool, window_closed: bool) -> None:
        """`total_bytes`: of the body that have reached this machine, read or not. `is_full`: whether the
        proxy's buffer is full. `window_closed`: whether the client's machine can't send.

        If the buffer was not full meanwhile, the server is faster than the proxy reads."""
        self.is_held_back = window_closed and (self._was_full or is_full)
        self._was_full = is_full
        if not self.is_held_back:
            self._arrivals.clear()
        if is_full and not self._arrivals:
            self._arrivals.append(Arrival(now_s, total_bytes))
        if not self.is_held_back:
            return
        if total_bytes > self._arrivals[-1].total_bytes:
            self._arrivals.append(Arrival(now_s, total_bytes))
        while len(self._arrivals) > 1 and self._is_too_early(self._arrivals[1], total_bytes):
            self._arrivals.popleft()

    def written_since(self, total_bytes: int) -> float | None:
        """Since when the client may have written the whole body, of `total_bytes`; None while it is not held
        back, or can't have written so much yet."""
        if not self.is_held_back or self._is_too_early(self._arrivals[-1], total_bytes):
            return None
        after = next(a for a in self._arrivals if not self._is_too_early(a, total_bytes))
        before = self._arrivals[max(self._arrivals.index(after) - 1, 0)]
        return self._moment_between(before, after, total_bytes - CLIENT_SEND_BUFFER_BYTES)

    @staticmethod
    def _moment_between(before: Arrival, after: Arrival, total_bytes: int) -> float:
        """When `total_bytes` had arrived, at an even pace."""
        if after.total_bytes <= before.total_bytes:
            return before.at_s
        passed = max(total_bytes - before.total_bytes, 0) / (after.total_bytes - before.total_bytes)
        return before.at_s + passed * (after.at_s - before.at_s)

    @staticmethod
    def _is_too_early(arrival: Arrival, total_bytes: int) -> bool:
        """Whether a body of `total_bytes` was too long to be written whole at this arrival."""
        return arrival.total_bytes + CLIENT_SEND_BUFFER_BYTES <= total_bytes
