"""Requests for objects that are not followed yet: each waits until its deadline and is answered exactly once.

An object that is requested by name is followed from then on, until it has not been requested for a while.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

IDLE_TIMEOUT_S = 600.0  # without a request, after which an object is unfollowed
MAX_WAITING = 1024  # waiting requests
ABSENT_TTL_S = 5.0  # negative cache: requests for unknown names must not cost a message each


class LookupResult(Enum):
    HELD = "held"
    WAITING = "waits"  # an `Answer` follows
    ABSENT = "absent"  # there is no such object
    FULL = "full"  # too many requests wait, or too many objects are followed


class Follow(NamedTuple):
    name: str


class Unfollow(NamedTuple):
    name: str


class Answer(NamedTuple):
    """The answer to a waiting request. `found` is False if there is no such object or the deadline passed."""

    request: str
    found: bool


Action = Follow | Unfollow | Answer


class OnDemandFollows:
    """At most `max_names` objects are followed on demand at a time. The names in `permanent` are followed in
    any case, and do not count."""

    def __init__(
        self, max_names: int, permanent: tuple[str, ...] = (), idle_timeout_s: float = IDLE_TIMEOUT_S
    ) -> None:
        self.max_names, self.idle_timeout_s = max_names, idle_timeout_s
        self.permanent = frozenset(permanent)
        self.last_used_at: OrderedDict[str, float] = OrderedDict()  # names followed on demand, in LRU order
        self.held: set[str] = set()
        self.absent_since: OrderedDict[str, float] = OrderedDict()
        self.missing_permanent: set[str] = set()  # permanent names without an object at present
        self.waiting: dict[str, dict[str, float]] = {}  # by name: deadlines of the waiting requests
        self.waiting_count = 0
        self.actions: list[Action] = []

    def take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    def look_up(self, now: float, request: str, name: str, deadline: float) -> LookupResult:
        if name in self.last_used_at:
            self.last_used_at[name] = now
            self.last_used_at.move_to_end(name)
        if name in self.held:
            return LookupResult.HELD
        if (
            name in self.missing_permanent
            or name in self.absent_since
            and now - self.absent_since[name] < ABSENT_TTL_S
        ):
            return LookupResult.ABSENT
        if self.waiting_count >= MAX_WAITING:
            return LookupResult.FULL
        if name not in self.last_used_at and name not in self.permanent and not self._follow(now, name):
            return LookupResult.FULL
        requests = self.waiting.setdefault(name, {})
        self.waiting_count += request not in requests
        requests[request] = deadline
        return LookupResult.WAITING

    def _follow(self, now: float, name: str) -> bool:
        """False if the limit is reached and requests wait for every followed object."""
        if len(self.last_used_at) >= self.max_names:
            oldest = next((followed for followed in self.last_used_at if followed not in self.waiting), None)
            if oldest is None:
                return False
            self._unfollow(oldest)
        self.last_used_at[name] = now
        self.actions.append(Follow(name))
        return True

    def _unfollow(self, name: str) -> None:
        del self.last_used_at[name]
        self.held.discard(name)
        self.actions.append(Unfollow(name))

    def on_arrived(self, name: str) -> None:
        """The object is held from now on."""
        self.absent_since.pop(name, None)
        self.missing_permanent.discard(name)
        if name in self.last_used_at or name in self.permanent:
            self.held.add(name)
        self._answer_all(name, True)

    def on_absent(self, now: float, name: str) -> None:
        """The object does not exist or was deleted."""
        self.held.discard(name)
        if name in self.permanent:
            self.missing_permanent.add(name)
        else:
            if name in self.last_used_at:
                self._unfollow(name)
            self.absent_since.pop(name, None)
            self.absent_since[name] = now
            while len(self.absent_since) > self.max_names:
                self.absent_since.popitem(last=False)
        self._answer_all(name, False)

    def cancel(self, request: str, name: str) -> None:
        """The request's client has disconnected."""
        if self.waiting.get(name, {}).pop(request, None) is not None:
            self.waiting_count -= 1
            self._remove_if_empty(name)

    def tick(self, now: float) -> None:
        for name, requests in list(self.waiting.items()):
            for request in [r for r, deadline in requests.items() if deadline <= now]:
                del requests[request]
                self.waiting_count -= 1
                self.actions.append(Answer(request, False))
            self._remove_if_empty(name)
        while self.last_used_at:
            name, used_at = next(iter(self.last_used_at.items()))
            if now - used_at < self.idle_timeout_s or name in self.waiting:
                return
            self._unfollow(name)

    def _answer_all(self, name: str, found: bool) -> None:
        for request in self.waiting.pop(name, {}):
            self.waiting_count -= 1
            self.actions.append(Answer(request, found))

    def _remove_if_empty(self, name: str) -> None:
        if not self.waiting.get(name, True):
            del self.waiting[name]
