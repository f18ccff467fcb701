"""What an instance was told that the fleets agree on: words with an end, as events to the decision module.

The end is a moment of the machine's clock, set by the supervisor no later than its saying, and is tested
before each step of the module. Past it the instance is where it would be alone, and says so once. A module
that took over after a fault is told all of it anew, before its first request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from flintlatch.api import Event, Part, Proxies, Shun


class ReceivedEntries:
    def __init__(
        self,
        number: int,
        alone: Proxies,
        limits: Iterable[Part],
        clock: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:
        """`number`: of this instance in its fleet. `alone`, `limits`: what holds with no word."""
        self.number, self.alone, self.clock, self.log = number, alone, clock, log
        self.place, self.until = alone, 0.0
        self.applied_proxies = alone
        self.lone = True
        self.life = -1  # of the module that was told
        self.fixed = {part.limit: part for part in limits}
        self.lent: dict[str, tuple[Part, float, list[int]]] = {}  # what, until, which grant
        self.told: dict[str, Part] = {}
        self.applied_leases: dict[str, list[int]] = {}  # grants that the module goes by, by limit
        self.next_end, self.news = 0.0, True
        self.ejected: set[str] = set()  # as the module was told
        self.shun: tuple[set[str], float] = set(), 0.0  # as we were, and until when
        self.reported_servers: set[str] = (
            set()
        )  # servers that somebody finds bad: what we see of them is asked for
        self.shun_news = False

    def on_entry(self, word: dict[str, Any]) -> None:
        """Raises KeyError, TypeError or ValueError for what is no word. One about something else is left."""
        if word["about"] == "proxies":
            proxies, first = map(int, word["value"])
            self.place = Proxies(max(proxies, 1), max(first, 0) + self.number)
            self.until = float(word["until"])
        elif word["about"] == "shun":
            self.shun = set(map(str, word["value"])), float(word["until"])
            self.reported_servers = set(map(str, word["accused"]))
            self.shun_news = True
        elif word["about"] == "limit" and word["limit"] in self.fixed:
            per_s, burst, *mark = word["value"]
            alone = self.fixed[word["limit"]]
            part = alone._replace(per_s=float(per_s), burst=float(burst))
            self.lent[part.limit] = part, float(word["until"]), [int(one) for one in mark]
            self.news = True

    def pending_events(self, life: int) -> list[Event]:
        now = self.clock()
        if life != self.life:
            self.life, self.told, self.news = life, {}, True
            self.ejected, self.shun_news = set(), True
        events: list[Event] = []
        if self.news or now >= self.next_end:
            events += self._parts(now)
        if self.shun_news or self.ejected:
            events += self._shuns(now)
        lone = now >= self.until
        wanted = self.alone if lone else self.place
        if lone and not self.lone:
            self.log(f"the word on other fleets has ended: counting {wanted.proxies} proxies, as configured")
        self.lone = lone
        if wanted != self.applied_proxies:
            self.applied_proxies = wanted
            events.append(wanted)
        return events

    def _shuns(self, now: float) -> list[Event]:
        servers, until = self.shun
        if not self.shun_news:
            if now >= until:  # each has its end in the module too
                self.ejected = set()
            return []
        self.shun_news = False
        left = max(until - now, 0.0) * 1000
        wanted = servers if left else set()
        ended = [Shun(server, 0.0) for server in sorted(self.ejected - wanted)]
        self.ejected = set(wanted)
        return [*ended, *(Shun(server, left) for server in sorted(wanted))]

    def _parts(self, now: float) -> list[Event]:
        self.news, self.next_end = False, inf
        changed: list[Event] = []
        for name, alone in self.fixed.items():
            part, until, mark = self.lent.get(name, (alone, 0.0, []))
            if now >= until:
                part, mark = alone, []
            else:
                self.next_end = min(self.next_end, until)
            if part != self.told.get(name):
                self.told[name] = part
                changed.append(part)
            self.applied_leases[name] = mark
        return changed
