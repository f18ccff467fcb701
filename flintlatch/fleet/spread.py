"""Spreads persistent connections evenly over the workers, which accept from the same listening sockets.

The workers of a fleet share a page of memory in which each publishes how many connections it has open. A
worker with more than its fair share waits for a moment before it accepts, and accepts only if no other worker
has.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from mmap import mmap
from struct import Struct

MAX_WORKERS = 512  # two generations of at most 256 instances
COUNTER = Struct("=i")
YIELD_S = 0.01  # far above the time in which another worker wakes up, far below what a client notices
TOLERANCE_FRACTION, MIN_TOLERANCE_CONNECTIONS = 0.02, 1  # that a worker may exceed the mean by


def exceeds_fair_share(own_count: int, all_counts: Sequence[int]) -> bool:
    """Whether a worker with `own_count` connections should let others accept first. `all_counts`: of all
    workers that accept, itself included. False for the worker with the fewest, so one always accepts at
    once."""
    if len(all_counts) < 2:
        return False
    mean = sum(all_counts) / len(all_counts)
    return own_count > mean + max(MIN_TOLERANCE_CONNECTIONS, TOLERANCE_FRACTION * mean)


def create_page() -> int:
    """Create the shared page; returns its descriptor, which the caller has to close."""
    fd = os.memfd_create("flintlatch-spread", os.MFD_CLOEXEC)
    os.ftruncate(fd, MAX_WORKERS * COUNTER.size)
    return fd


class ConnectionSpread:
    """Access to the shared page: a worker's counter, by its id, or all counters, for the supervisor. The page
    holds the number of connections plus one; 0 means that no worker accepts there."""

    def __init__(self, fd: int, worker: int) -> None:
        self.page = mmap(fd, MAX_WORKERS * COUNTER.size)
        self.index = worker % MAX_WORKERS
        self.connections = 0
        self.yield_count = 0  # how often it has let others accept first

    def publish(self, connections: int) -> None:
        self.connections = connections
        COUNTER.pack_into(self.page, self.index * COUNTER.size, connections + 1)

    def clear(self, worker: int | None = None) -> None:
        """Marks a worker, by default the own one, as not accepting any more."""
        index = self.index if worker is None else worker % MAX_WORKERS
        COUNTER.pack_into(self.page, index * COUNTER.size, 0)

    def counts(self) -> list[int]:
        return [count - 1 for (count,) in COUNTER.iter_unpack(self.page[:]) if count > 0]

    def should_yield(self) -> bool:
        yielding = exceeds_fair_share(self.connections, self.counts())
        self.yield_count += yielding
        return yielding
