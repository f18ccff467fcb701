"""How many instances there are in all, and the place of ours among them. No I/O, no clock.

What hangs on the number is a part of something that all share: too large a part of one adds up to too much.
So the number rises at once and falls late: while the view is in doubt it is the largest that was believed of
late, and then it comes down by steps. A fresh start believes the configuration's number until it has met
others and `hold_s` have passed: it may be one of those that have not heard of each other yet.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

FALL_PER_S = 0.1  # of the number, each second, once nothing is in doubt: no step that all take together


class FleetPosition(NamedTuple):
    proxies: int  # instances of all fleets that are believed in
    first: int  # number of this fleet's first among them


@dataclass(frozen=True, slots=True)
class CensusView:
    """What the view says at a moment."""

    instances: int  # of all members that count, ours included
    before: int  # of those whose names come before ours
    uncertain: bool  # someone is under suspicion, or nobody has been met yet


class Census:
    """Times in seconds. `configured`: instances of all fleets, as the configuration has it."""

    def __init__(self, own: int, configured: int, hold_s: float, now: float) -> None:
        self.own, self.hold_s = own, hold_s
        self.estimate = float(max(configured, own))  # believed
        self.hold_until = now + hold_s
        self.updated_at = now
        self.history: deque[tuple[float, int]] = deque()  # (when, number), falling: a maximum over hold_s
        self.view = CensusView(own, 0, True)

    def update(self, now: float, sight: CensusView) -> None:
        self.read(now)
        if sight.uncertain or sight.instances < self.view.instances:
            self.hold_until = now + self.hold_s
        self.view = sight
        while self.history and self.history[-1][1] <= sight.instances:
            self.history.pop()
        self.history.append((now, sight.instances))
        self.estimate = max(self.estimate, float(sight.instances))

    def read(self, now: float) -> FleetPosition:
        while len(self.history) > 1 and self.history[1][0] <= now - self.hold_s:
            self.history.popleft()
        target = max([self.view.instances, self.own, *(n for _, n in self.history)])
        calm = now - max(self.updated_at, self.hold_until)
        if self.estimate > target and calm > 0:
            self.estimate = max(float(target), self.estimate * (1 - FALL_PER_S) ** calm)
        self.updated_at = now
        proxies = max(round(self.estimate), target)
        return FleetPosition(proxies, min(self.view.before, proxies - self.own))

    @staticmethod
    def overcount_bound_s(detection_s: float, hold_s: float) -> float:
        """The stated bound on how long a number that is too large may stand before it begins to fall: from a
        death until it is found, and then the wait. A number that is too small stands for no longer than a
        member that there is takes to be heard of."""
        return detection_s + hold_s
