"""Monotonic counters of instances and their totals. No I/O.

An instance reports everything that it has counted since its start. The supervisor keeps the latest report of
each running instance and the sum of the last reports of all ended ones, so a total never decreases when an
instance ends.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Any

# Upper bounds of the buckets, from the latency that the proxy itself adds to transfers of minutes. Up to 10
# s, each bound is 2 to 2.5 times the one before.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0, 600.0)
Histogram = tuple[list[int], float]  # count of each bucket, the last one unbounded; sum in s


class Counts:
    """The counters of one instance."""

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, int]] = Counter()  # by class and status
        self.attempts: Counter[str] = Counter()  # by result
        self.first_byte_histograms: dict[
            str, Histogram
        ] = {}  # time to the first byte of the response, by class
        self.up_bytes = self.down_bytes = 0

    def count_request(
        self, cls: str, status: int, first_s: float | None, up_bytes: int, down_bytes: int
    ) -> None:
        self.requests[cls, status] += 1
        self.up_bytes += up_bytes
        self.down_bytes += down_bytes
        if first_s is not None:
            buckets, sum_s = self.first_byte_histograms.get(cls) or ([0] * (len(BUCKET_BOUNDS_S) + 1), 0.0)
            buckets[bisect_left(BUCKET_BOUNDS_S, first_s)] += 1
            self.first_byte_histograms[cls] = (buckets, sum_s + first_s)

    def count_attempt(self, result: str) -> None:
        self.attempts[result] += 1

    def as_json(self) -> dict[str, Any]:
        """All counters as JSON, for the report to the supervisor."""
        return {
            "requests": [[cls, status, count] for (cls, status), count in self.requests.items()],
            "attempts": dict(self.attempts),
            "seconds": {
                cls: [buckets, sum_s] for cls, (buckets, sum_s) in self.first_byte_histograms.items()
            },
            "up_bytes": self.up_bytes,
            "down_bytes": self.down_bytes,
        }


class Totals:
    """The counters of a fleet. `worker` is the worker number of an instance."""

    def __init__(self) -> None:
        self.ended_instances = Counts()
        self.latest: dict[int, Counts] = {}

    def replace_report(self, worker: int, report: dict[str, Any]) -> None:
        self.latest[worker] = parse_report(report)

    def on_instance_ended(self, worker: int) -> None:
        if (counts := self.latest.pop(worker, None)) is not None:
            add_counts(self.ended_instances, counts)

    def fleet_counts(self) -> Counts:
        total = Counts()
        for counts in (self.ended_instances, *self.latest.values()):
            add_counts(total, counts)
        return total


def parse_report(report: dict[str, Any]) -> Counts:
    counts = Counts()
    for cls, status, count in report["requests"]:
        counts.requests[str(cls), int(status)] = int(count)
    counts.attempts.update({str(name): int(count) for name, count in report["attempts"].items()})
    for cls, (buckets, sum_s) in report["seconds"].items():
        counts.first_byte_histograms[cls] = ([int(count) for count in buckets], float(sum_s))
    counts.up_bytes, counts.down_bytes = int(report["up_bytes"]), int(report["down_bytes"])
    return counts


def add_counts(total: Counts, more: Counts) -> None:
    total.requests.update(more.requests)
    total.attempts.update(more.attempts)
    total.up_bytes += more.up_bytes
    total.down_bytes += more.down_bytes
    for cls, (buckets, more_sum_s) in more.first_byte_histograms.items():
        own_buckets, own_sum_s = total.first_byte_histograms.get(cls) or ([0] * len(buckets), 0.0)
        total.first_byte_histograms[cls] = (
            [a + b for a, b in zip(own_buckets, buckets, strict=True)],
            own_sum_s + more_sum_s,
        )
