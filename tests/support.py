"""Helpers for tests that give a Balancer single events."""

from __future__ import annotations

from itertools import count
from typing import Any, TypeVar

from flintlatch.api import (
    Action,
    Arrival,
    ListKind,
    Outcome,
    RequestClass,
    Result,
    Send,
    ServerInfo,
    ServerList,
    Settings,
    TimerFired,
)
from flintlatch.choice import Balancer

ActionT = TypeVar("ActionT")


def settings(*classes: RequestClass, **changes: Any) -> Settings:
    defaults: dict[str, Any] = {"max_attempts": 4, "may_cancel": True, "tick_ms": 1.0}
    return Settings(classes=classes or (RequestClass(300.0, 1000.0),), **(defaults | changes))


class Driver:
    """Drives one Balancer by a clock that the test sets; records the servers of each request's attempts."""

    def __init__(self, config: Settings, *servers: ServerInfo, seed: int = 1) -> None:
        self.balancer = Balancer(config, seed)
        self.now = 1000.0
        self.ids = count()
        self.sends: dict[str, list[str]] = {}
        self.step(ServerList(ListKind.SAVED, servers))

    def step(self, *events: Any, after: float = 0.0) -> list[Action]:
        self.now += after
        actions = self.balancer.step(self.now, list(events))
        for action in actions:
            if isinstance(action, Send):
                self.sends.setdefault(action.request, []).append(action.server)
        return actions

    def arrive(self, cls: int = 0, tenant: int = 0, key: int | None = None, wait: float = 1000.0) -> str:
        """Lets a request arrive and returns its id; the actions of that step are in `last`."""
        request = f"r{next(self.ids)}"
        self.last = self.step(Arrival(request, cls, tenant, key, self.now + wait))
        return request

    def end(self, request: str, result: Result = Result.OK, after: float = 20.0, done: bool | None = None,
            latency: float | None = None) -> list[Action]:  # fmt: skip
        """Ends the latest attempt of a request `after` ms; `latency` and `done` default to match it."""
        attempt = len(self.sends[request]) - 1
        finished = result is Result.OK if done is None else done
        latency = after if latency is None else latency
        return self.step(Outcome(request, attempt, result, latency, finished), after=after)

    def tick(self, after: float = 25.0) -> list[Action]:
        """Advances the clock and fires the housekeeping timer."""
        return self.step(TimerFired(0), after=after)

    def tick_for(self, ms: float) -> list[Action]:
        """Fires the housekeeping timer every 25 ms for `ms`."""
        actions: list[Action] = []
        for _ in range(int(ms / 25)):
            actions += self.tick()
        return actions


def actions_of(kind: type[ActionT], actions: list[Action]) -> list[ActionT]:
    return [a for a in actions if isinstance(a, kind)]


def server_entries(number: int, **fields: Any) -> list[ServerInfo]:
    return [ServerInfo(f"10.0.0.{i}:80", **fields) for i in range(number)]
