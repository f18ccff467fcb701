"""Who audits a hollow fleet: when each change was in force where, and what was spent on it."""

from __future__ import annotations

from array import array
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from flintlatch.delivery.store import Store


@dataclass(slots=True)
class Cost:
    """Of one role. Processor time by the process's own clock, of the cores' steps only."""

    ns: int = 0
    steps: int = 0
    longest_ns: int = 0
    frames: int = 0  # sent and received
    peak_messages: int = 0  # of one host in one second, sent and received
    peak_ns: int = 0  # of one host in one second
    peak_bytes: int = 0  # sent by one host in one second


class Audit:
    """From the origin's commits and the content that proxies hold: when each change was in force at each."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.followers: dict[str, list[str]] = defaultdict(list)
        self.history: dict[str, dict[int | None, int]] = {}  # checksum: revision
        self.pending: dict[str, dict[str, list[tuple[int, float]]]] = {}  # by proxy that runs, and by name
        self.since: dict[str, float] = {}  # a proxy counts from here: it is ready, or its cut has healed
        self.stale = array("d")
        self.worst: dict[int, float] = {}  # by revision: until in force everywhere
        self.loads: list[float] = []  # from a proxy's start until it is ready
        self.began: dict[str, float] = {}
        self.torn: list[str] = []  # content that the origin never had

    def _sum(self, store: Store, name: str) -> int | None:
        one = store.objects.get(name)
        return None if one is None else one.checksum

    def before(self, names: Iterable[str]) -> None:
        for name in names:
            if name not in self.history:
                self.history[name] = {self._sum(self.store, name): 0}

    def after(self, now: float, names: Iterable[str], revision: int) -> None:
        for name in names:
            self.history[name][self._sum(self.store, name)] = revision
            for proxy in self.followers.get(name, ()):
                if proxy in self.pending:
                    self.pending[proxy].setdefault(name, []).append((revision, now))

    def start(self, now: float, proxy: str, ready: bool) -> None:
        self.pending[proxy] = {}
        self.since[proxy] = now if ready else inf
        self.began[proxy] = now

    def ready(self, now: float, proxy: str) -> None:
        self.since[proxy] = now
        self.loads.append(now - self.began[proxy])

    def check(self, now: float, proxy: str, store: Store) -> None:
        waits = self.pending.get(proxy)
        if not waits:
            return
        for name in list(waits):
            held = self.history[name].get(self._sum(store, name))
            if held is None:
                if proxy in self.since and self.since[proxy] < inf:
                    self.torn.append(f"{proxy} {name}")
                continue
            rows = waits[name]
            for revision, at in rows:
                if revision <= held:
                    self._count(proxy, revision, at, now)
            waits[name] = [row for row in rows if row[0] > held]
            if not waits[name]:
                del waits[name]

    def _count(self, proxy: str, revision: int, at: float, now: float) -> None:
        since = self.since[proxy]
        if since == inf:
            return
        stale = max(0.0, now - max(at, since))
        self.stale.append(stale)
        self.worst[revision] = max(self.worst.get(revision, 0.0), stale)

    def finish(self, now: float) -> int:
        """What is not in force at the end counts as long as it has waited; how many."""
        left = 0
        for proxy, waits in self.pending.items():
            for rows in waits.values():
                for revision, at in rows:
                    left += 1
                    self._count(proxy, revision, at, now)
        return left


@dataclass(slots=True)
class Minutes:
    """Bytes that each proxy received, by second."""

    rows: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def worst(self) -> float:
        """Bytes a second in the worst minute of any proxy, or over all where a run was shorter."""
        most = 0
        for row in self.rows.values():
            window = now = sum(row[:60])
            for n in range(60, len(row)):
                now += row[n] - row[n - 60]
                window = max(window, now)
            most = max(most, window)
        return most / 60
