"""Counts that only grow, as plain values that go over the channel. No I/O.

An instance tells all that it has counted since it began; the supervisor keeps the last word of each and
what those that have ended had. So a total never falls, whichever instance goes.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Any

# s, upper ends: from what a proxy adds by itself to a transfer of minutes, by factors of about 2.5
BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0, 600.0)
Seconds = tuple[list[int], float]  # of each bucket, the last without an end; their sum in s


class Counts:
    """Of one instance."""

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, int]] = Counter()  # by class and status
        self.attempts: Counter[str] = Counter()  # by result
        self.seconds: dict[str, Seconds] = {}  # to the first byte of the answer, by class
        self.up_bytes = self.down_bytes = 0

    def count_request(
        self, cls: str, status: int, first_s: float | None, up_bytes: int, down_bytes: int
    ) -> None:
        self.requests[cls, status] += 1
        self.up_bytes += up_bytes
        self.down_bytes += down_bytes
        if first_s is not None:
            buckets, total = self.seconds.get(cls) or ([0] * (len(BOUNDS_S) + 1), 0.0)
            buckets[bisect_left(BOUNDS_S, first_s)] += 1
            self.seconds[cls] = (buckets, total + first_s)

    def count_attempt(self, result: str) -> None:
        self.attempts[result] += 1

    def as_json(self) -> dict[str, Any]:
        """All of it, as JSON."""
        return {
            "requests": [[cls, status, count] for (cls, status), count in self.requests.items()],
            "attempts": dict(self.attempts),
            "seconds": {cls: [buckets, total] for cls, (buckets, total) in self.seconds.items()},
            "up_bytes": self.up_bytes,
            "down_bytes": self.down_bytes,
        }


class Totals:
    """Of a fleet. `replace_report` and `on_instance_ended` take the worker number of an instance."""

    def __init__(self) -> None:
        self.gone = Counts()
        self.last: dict[int, Counts] = {}

    def replace_report(self, worker: int, told: dict[str, Any]) -> None:
        self.last[worker] = read(told)

    def on_instance_ended(self, worker: int) -> None:
        if (last := self.last.pop(worker, None)) is not None:
            add(self.gone, last)

    def fleet_counts(self) -> Counts:
        total = Counts()
        for counts in (self.gone, *self.last.values()):
            add(total, counts)
        return total


def read(told: dict[str, Any]) -> Counts:
    counts = Counts()
    for cls, status, count in told["requests"]:
        counts.requests[str(cls), int(status)] = int(count)
    counts.attempts.update({str(name): int(count) for name, count in told["attempts"].items()})
    for cls, (buckets, total) in told["seconds"].items():
        counts.seconds[cls] = ([int(count) for count in buckets], float(total))
    counts.up_bytes, counts.down_bytes = int(told["up_bytes"]), int(told["down_bytes"])
    return counts


def add(to: Counts, more: Counts) -> None:
    to.requests.update(more.requests)
    to.attempts.update(more.attempts)
    to.up_bytes += more.up_bytes
    to.down_bytes += more.down_bytes
    for cls, (buckets, total) in more.seconds.items():
        own, sum_s = to.seconds.get(cls) or ([0] * len(buckets), 0.0)
        to.seconds[cls] = ([a + b for a, b in zip(own, buckets, strict=True)], sum_s + total)
