"""Audits a simulated fleet: when each change came into force at each proxy, and what it cost."""

from __future__ import annotations

from array import array
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from flintlatch.delivery.store import Store


@dataclass(slots=True)
class Cost:
    """The cost of one role: processor time of the steps of its cores, by the clock of the process."""

    ns: int = 0
    steps: int = 0
    longest_ns: int = 0
    frames: int = 0  # sent and received
    peak_messages: int = 0  # of one host in one second, sent and received
    peak_ns: int = 0  # of one host in one second
    peak_bytes: int = 0  # sent by one host in one second


class Audit:
    """Determines when each change came into force at each proxy, from commits and the proxies' content."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.followers: dict[str, list[str]] = defaultdict(list)
        self.history: dict[str, dict[int | None, int]] = {}  # by object name: checksum -> revision
        # by running proxy and object name: (revision, commit time)
        self.pending: dict[str, dict[str, list[tuple[int, float]]]] = {}
        self.counted_from: dict[str, float] = {}  # by proxy: when it became ready or its partition healed
        self.staleness_s = array("d")
        self.worst_staleness_s: dict[int, float] = {}  # by revision: until in force at all proxies
        self.load_times_s: list[float] = []  # from the start of a proxy until it is ready
        self.started_at: dict[str, float] = {}
        self.unknown_content: list[str] = []  # content that the origin never had

    def _checksum(self, store: Store, name: str) -> int | None:
        stored = store.objects.get(name)
        return None if stored is None else stored.checksum

    def before(self, names: Iterable[str]) -> None:
        for name in names:
            if name not in self.history:
                self.history[name] = {self._checksum(self.store, name): 0}

    def after(self, now: float, names: Iterable[str], revision: int) -> None:
        for name in names:
            self.history[name][self._checksum(self.store, name)] = revision
            for proxy in self.followers.get(name, ()):
                if proxy in self.pending:
                    self.pending[proxy].setdefault(name, []).append((revision, now))

    def start(self, now: float, proxy: str, ready: bool) -> None:
        self.pending[proxy] = {}
        self.counted_from[proxy] = now if ready else inf
        self.started_at[proxy] = now

    def ready(self, now: float, proxy: str) -> None:
        self.counted_from[proxy] = now
        self.load_times_s.append(now - self.started_at[proxy])

    def check(self, now: float, proxy: str, store: Store) -> None:
        pending = self.pending.get(proxy)
        if not pending:
            return
        for name in list(pending):
            held_revision = self.history[name].get(self._checksum(store, name))
            if held_revision is None:
                if proxy in self.counted_from and self.counted_from[proxy] < inf:
                    self.unknown_content.append(f"{proxy} {name}")
                continue
            rows = pending[name]
            for revision, committed_at in rows:
                if revision <= held_revision:
                    self._record_staleness(proxy, revision, committed_at, now)
            pending[name] = [row for row in rows if row[0] > held_revision]
            if not pending[name]:
                del pending[name]

    def _record_staleness(self, proxy: str, revision: int, committed_at: float, now: float) -> None:
        since = self.counted_from[proxy]
        if since == inf:
            return
        staleness_s = max(0.0, now - max(committed_at, since))
        self.staleness_s.append(staleness_s)
        self.worst_staleness_s[revision] = max(self.worst_staleness_s.get(revision, 0.0), staleness_s)

    def finish(self, now: float) -> int:
        """Counts the changes that are not in force yet with their staleness so far. Returns their number."""
        remaining = 0
        for proxy, pending in self.pending.items():
            for rows in pending.values():
                for revision, committed_at in rows:
                    remaining += 1
                    self._record_staleness(proxy, revision, committed_at, now)
        return remaining


@dataclass(slots=True)
class Minutes:
    """The bytes received by each proxy in each second."""

    rows: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def worst(self) -> float:
        """Bytes per second in the worst minute of any proxy; a shorter run counts as a minute."""
        max_bytes = 0
        for row in self.rows.values():
            window = now = sum(row[:60])
            for n in range(60, len(row)):
                now += row[n] - row[n - 60]
                window = max(window, now)
            max_bytes = max(max_bytes, window)
        return max_bytes / 60
