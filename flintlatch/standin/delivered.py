"""An audit of delivery: what followers wrote against what was committed, by no count of theirs."""

from __future__ import annotations

import hashlib
import json
from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Any

MARK = "mark"  # an object that every commit changes and all follow
ROUNDED_S = 0.002  # of an age as it is written
Objects = dict[str, dict[str, Any]]


def digest(items: Mapping[str, Any]) -> str:
    """As a follower writes it, by other means."""
    text = json.dumps(items, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


@dataclass(slots=True)
class Commit:
    at: float  # the file is put in place
    digests: dict[str, str]
    seen: float = inf  # the origin had said so


@dataclass
class Audit:
    """Holds what followers wrote against what was committed. It reads no count of theirs."""

    commits: list[Commit] = field(default_factory=list)
    marks: dict[str, int] = field(default_factory=dict)  # commit by the mark's digest

    def commit(self, at: float, objects: Objects) -> None:
        digests = {name: digest(items) for name, items in objects.items()}
        self.marks[digests[MARK]] = len(self.commits)
        self.commits.append(Commit(at, digests))

    def check(self, name: str, names: tuple[str, ...], rows: list[dict[str, Any]]) -> list[tuple[float, int]]:
        """When it had which commit. AssertionError where what it held was of no commit or of two, where it
        went back, or was older than the age that it told."""
        state: dict[str, str] = {}
        had: list[tuple[float, int]] = []
        revision = -1
        for row in rows:
            assert row["revision"] >= revision, f"{name} went back to revision {row['revision']}: {row}"
            revision = row["revision"]
            if row["what"] == "changed":
                state.update({n: d for n, d in row["objects"].items() if d is not None})
                for gone in (n for n, d in row["objects"].items() if d is None):
                    state.pop(gone, None)
                assert state.get(MARK) in self.marks, f"{name} holds a mark of no commit: {row}"
                held = self.marks[state[MARK]]
                wanted = {n: d for n, d in self.commits[held].digests.items() if n in names}
                assert state == wanted, f"{name} holds what commit {held} was not: {row}"
                assert not had or held >= had[-1][1], f"{name} went back to commit {held}: {row}"
                had.append((row["at"], held))
            if row["ready"] and had and had[-1][1] + 1 < len(self.commits):
                older = row["at"] - self.commits[had[-1][1] + 1].seen
                assert row["age_s"] + ROUNDED_S >= older, f"{name} is {older:.2f} s behind and says {row}"
        return had

    def delays(self, had: list[tuple[float, int]]) -> dict[int, float]:
        """By commit, seconds until it or a later one was in force; those that have come."""
        found, held = {}, [number for _, number in had]
        for number, commit in enumerate(self.commits):
            place = bisect_left(held, number)
            if place < len(had) and had[0][0] <= commit.at:
                found[number] = had[place][0] - commit.at
        return found
