"""Counters since the start of one proxy process, and its current gauges. No I/O.

Written as StatsD lines, one for each metric: `proxy.NAME:VALUE|c` for a counter, `proxy.NAME:VALUE|g` for a
gauge.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

NAME_PREFIX = "proxy"


class ClientOutcome(Enum):
    """How a request ended from the point of view of its client."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


class Gauges(NamedTuple):
    """The current values. The field names are the names of the metrics."""

    pending: int  # requests accepted and not ended
    members: int  # servers on the list
    members_unavailable: int  # of these, the servers that get no new requests
    list_age_ms: int = 0  # since the list service last confirmed the list
    list_revision: int = 0


def outcome_of_status(status: int) -> ClientOutcome:
    """What a response with this status means to the client: a rejected request may be retried, and a failed
    one may have been executed."""
    if status == 200:
        return ClientOutcome.COMPLETED
    return ClientOutcome.REJECTED if status in (429, 503) else ClientOutcome.FAILED


class StatsdMetrics:
    """The counters of one proxy."""

    def __init__(self, classes: Sequence[str]) -> None:
        """`classes`: the class names, in the order of the settings."""
        self.classes = tuple(classes)
        self.counts_by_outcome = {outcome: [0] * len(self.classes) for outcome in ClientOutcome}
        self.upstream_requests = 0  # attempts completely written to servers

    def count(self, cls: int, outcome: ClientOutcome) -> None:
        """Counts the final response of a request of this class."""
        self.counts_by_outcome[outcome][cls] += 1

    def lines(self, gauges: Gauges, event_counts: Iterable[tuple[str, int]] = ()) -> str:
        """All metrics as StatsD lines. Every class is included from the start, with zero counts.
        `event_counts`: further counters by name."""
        lines = [
            f"{NAME_PREFIX}.{outcome.value}.{name}:{count}|c"
            for outcome, counts in self.counts_by_outcome.items()
            for name, count in zip(self.classes, counts, strict=True)
        ]
        lines.append(f"{NAME_PREFIX}.upstream_requests:{self.upstream_requests}|c")
        lines += [f"{NAME_PREFIX}.{name}:{count}|c" for name, count in event_counts]
        lines += [f"{NAME_PREFIX}.{name}:{value}|g" for name, value in gauges._asdict().items()]
        return "".join(f"{line}\n" for line in lines)
