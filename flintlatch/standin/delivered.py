"""Audits a delivery: compares the output of followers with the commits, without relying on their counters."""

from __future__ import annotations

import hashlib
import json
from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Any

MARK = "mark"  # an object that every commit changes and every follower follows
ROUNDING_S = 0.002  # rounding of an age in the output
Objects = dict[str, dict[str, Any]]


def digest(items: Mapping[str, Any]) -> str:
    """Return the digest that a follower writes, by an independent implementation."""
    text = json.dumps(items, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclass(slots=True)
class Commit:
    published_at: float  # when the file was replaced
    digests: dict[str, str]
    committed_at: float = inf  # when the origin's log reported it


@dataclass
class Audit:
    """Compares the output of followers with the commits. It doesn't read their counters."""

    commits: list[Commit] = field(default_factory=list)
    commit_by_mark: dict[str, int] = field(default_factory=dict)  # commit number by the digest of its `mark`

    def commit(self, published_at: float, objects: Objects) -> None:
        digests = {name: digest(items) for name, items in objects.items()}
        self.commit_by_mark[digests[MARK]] = len(self.commits)
        self.commits.append(Commit(published_at, digests))

    def check(
        self, name: str, followed_names: tuple[str, ...], rows: list[dict[str, Any]]
    ) -> list[tuple[float, int]]:
        """Return the time at which follower `name` received each commit, from its rows of output.

        Raises AssertionError if its state mixed commits or matched none, if it went back to an older commit,
        or if it was older than the age that it reported.
        """
        state: dict[str, str] = {}
        received: list[tuple[float, int]] = []
        revision = -1
        for row in rows:
            assert row["revision"] >= revision, f"{name} went back to revision {row['revision']}: {row}"
            revision = row["revision"]
            if row["what"] == "changed":
                state.update({n: d for n, d in row["objects"].items() if d is not None})
                for removed in (n for n, d in row["objects"].items() if d is None):
                    state.pop(removed, None)
                assert state.get(MARK) in self.commit_by_mark, (
                    f"{name} holds a mark of no known commit: {row}"
                )
                commit = self.commit_by_mark[state[MARK]]
                expected = {n: d for n, d in self.commits[commit].digests.items() if n in followed_names}
                assert state == expected, f"{name} differs from commit {commit}: {row}"
                assert not received or commit >= received[-1][1], (
                    f"{name} went back to commit {commit}: {row}"
                )
                received.append((row["at"], commit))
            if row["ready"] and received and received[-1][1] + 1 < len(self.commits):
                behind_s = row["at"] - self.commits[received[-1][1] + 1].committed_at
                assert row["age_s"] + ROUNDING_S >= behind_s, (
                    f"{name} is {behind_s:.2f} s behind and reports {row}"
                )
        return received

    def delays(self, received: list[tuple[float, int]]) -> dict[int, float]:
        """Return, by commit number, the seconds until the follower had it or a later one.

        Commits that it has not reached, and those from before its start, are left out.
        """
        delays, numbers = {}, [number for _, number in received]
        for number, commit in enumerate(self.commits):
            index = bisect_left(numbers, number)
            if index < len(received) and received[0][0] <= commit.published_at:
                delays[number] = received[index][0] - commit.published_at
        return delays
