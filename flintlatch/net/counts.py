"""Counters of what happened to lists, attempts, requests and client connections, by reason. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from flintlatch.api import EndReason, Result


class ListEvent(Enum):
    """What became of an answer of the list service."""

    APPLIED = "applied"
    PARTIAL = "partial"  # only the drains and removals of an incomplete or outdated answer were applied
    FAILED = "failed"  # no complete answer
    ENTRY_REJECTED = "entry_rejected"  # an entry that can't be read


class CloseReason(Enum):
    """Why the proxy closed a client connection."""

    IDLE = "idle"
    LAST_RESPONSE = "last_response"  # after a response that announced the close
    READ_TIMEOUT = "read_timeout"
    EVICTED = "evicted"  # for a new connection, at the connection limit
    UNREAD_RESPONSES = "unread_responses"
    LINGER_TIMEOUT = "linger_timeout"  # the client did not close after the last response


class RetryEvent(Enum):
    """A further attempt of a request."""

    SENT = "sent"


# The prefix of the metric name of each group.
GROUPS: dict[str, type[Enum]] = {
    "lists": ListEvent,
    "attempts": Result,
    "retries": RetryEvent,
    "not_served": EndReason,
    "closed": CloseReason,
}


class Counts:
    """The counters of one proxy, from its start."""

    def __init__(self) -> None:
        self.values: dict[Enum, int] = {key: 0 for group in GROUPS.values() for key in group}

    def add(self, key: Enum) -> None:
        self.values[key] += 1

    def items(self) -> Iterator[tuple[str, int]]:
        """Every counter with its name, also those that are zero."""
        for prefix, group in GROUPS.items():
            for key in group:
                yield f"{prefix}.{key.value}", self.values[key]
