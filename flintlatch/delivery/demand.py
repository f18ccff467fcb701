"""Requests for objects that are not followed yet: they wait within their deadline and are answered once.

An object asked for by name is followed from then on, until nobody has asked for it for a while.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

IDLE_S = 600.0  # without a request after which an object is followed no more
WAITING_MOST = 1024  # requests that wait at once
ABSENT_S = 5.0  # for which "there is none" is not asked anew: unknown names must not cost a message each


class Verdict(Enum):
    HELD = "held"  # go on
    WAITS = "waits"  # `Answer` will come
    ABSENT = "absent"  # there is no such object
    FULL = "full"  # too many wait, or too much is followed


class Follow(NamedTuple):
    name: str


class Unfollow(NamedTuple):
    name: str


class Answer(NamedTuple):
    """Of a request that waited. `found`: the object is here; otherwise there is none, or its time is over."""

    request: str
    found: bool


Action = Follow | Unfollow | Answer


class Demand:
    """`most`: names that are followed at once because they were asked for. Those in `always` are no matter of
    demand."""

    def __init__(self, most: int, always: tuple[str, ...] = (), idle_s: float = IDLE_S) -> None:
        self.most, self.idle_s = most, idle_s
        self.always = frozenset(always)
        self.used: OrderedDict[str, float] = OrderedDict()  # followed on demand, by last use
        self.held: set[str] = set()
        self.absent: OrderedDict[str, float] = OrderedDict()
        self.missing: set[str] = set()  # of `always`: there is none until one arrives
        self.waiting: dict[str, dict[str, float]] = {}  # by object, requests with their deadlines
        self.waits = 0
        self.out: list[Action] = []

    def take(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    def ask(self, now: float, request: str, name: str, deadline: float) -> Verdict:
        if name in self.used:
            self.used[name] = now
            self.used.move_to_end(name)
        if name in self.held:
            return Verdict.HELD
        if name in self.missing or name in self.absent and now - self.absent[name] < ABSENT_S:
            return Verdict.ABSENT
        if self.waits >= WAITING_MOST:
            return Verdict.FULL
        if name not in self.used and name not in self.always and not self._add(now, name):
            return Verdict.FULL
        requests = self.waiting.setdefault(name, {})
        self.waits += request not in requests
        requests[request] = deadline
        return Verdict.WAITS

    def _add(self, now: float, name: str) -> bool:
        if len(self.used) >= self.most:
            oldest = next((one for one in self.used if one not in self.waiting), None)
            if oldest is None:
                return False
            self._drop(oldest)
        self.used[name] = now
        self.out.append(Follow(name))
        return True

    def _drop(self, name: str) -> None:
        del self.used[name]
        self.held.discard(name)
        self.out.append(Unfollow(name))

    def arrived(self, name: str) -> None:
        """The object is here."""
        self.absent.pop(name, None)
        self.missing.discard(name)
        if name in self.used or name in self.always:
            self.held.add(name)
        self._answer(name, True)

    def gone(self, now: float, name: str) -> None:
        """There is none, or no more."""
        self.held.discard(name)
        if name in self.always:
            self.missing.add(name)
        else:
            if name in self.used:
                self._drop(name)
            self.absent.pop(name, None)
            self.absent[name] = now
            while len(self.absent) > self.most:
                self.absent.popitem(last=False)
        self._answer(name, False)

    def cancel(self, request: str, name: str) -> None:
        """Its client has gone."""
        if self.waiting.get(name, {}).pop(request, None) is not None:
            self.waits -= 1
            self._tidy(name)

    def tick(self, now: float) -> None:
        for name, requests in list(self.waiting.items()):
            for request in [r for r, deadline in requests.items() if deadline <= now]:
                del requests[request]
                self.waits -= 1
                self.out.append(Answer(request, False))
            self._tidy(name)
        while self.used:
            name, used = next(iter(self.used.items()))
            if now - used < self.idle_s or name in self.waiting:
                return
            self._drop(name)

    def _answer(self, name: str, found: bool) -> None:
        for request in self.waiting.pop(name, {}):
            self.waits -= 1
            self.out.append(Answer(request, found))

    def _tidy(self, name: str) -> None:
        if not self.waiting.get(name, True):
            del self.waiting[name]
