"""Counts the instances of all fleets and the position of this fleet's instances among them. No I/O, no clock.

Each instance takes the fraction 1 / count of a shared capacity. If the count is too small, the allocations
add up to more than the capacity. The count therefore rises at once and falls late: while the membership is
uncertain it is the largest count of the last `hold_s`, and after that it falls gradually. After a start the
configured number counts until other members have been met and `hold_s` has passed, since this member may
belong to a group whose members have not discovered each other yet.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

FALL_PER_S = 0.1  # fraction of the count: gradual, because all fleets lower theirs at the same time


class FleetPosition(NamedTuple):
    proxies: int  # counted instances of all fleets
    first: int  # index of this fleet's first instance among them


@dataclass(frozen=True, slots=True)
class CensusView:
    """What the membership view says at one moment."""

    instances: int  # of all active members, this one included
    before: int  # instances of the members whose names sort before this one's
    uncertain: bool  # active members may be unreachable: see Peers.is_uncertain


class Census:
    """Times are in seconds. `own`: instances of this fleet. `configured`: instances of all fleets according
    to the configuration. `hold_s`: how long the count does not fall while or after the membership is
    uncertain."""

    def __init__(self, own: int, configured: int, hold_s: float, now: float) -> None:
        self.own, self.hold_s = own, hold_s
        self.estimate = float(max(configured, own))
        self.hold_until = now + hold_s
        self.updated_at = now
        # (since when, count) with decreasing counts: the first is the maximum of the last hold_s.
        self.history: deque[tuple[float, int]] = deque()
        self.view = CensusView(own, 0, True)

    def update(self, now: float, view: CensusView) -> None:
        self.read(now)
        if view.instances < self.view.instances:
            self.hold_until = now + self.hold_s
        self.view = view
        while self.history and self.history[-1][1] < view.instances:
            self.history.pop()
        if not self.history or self.history[-1][1] > view.instances:
            self.history.append((now, view.instances))
        self.estimate = max(self.estimate, float(view.instances))

    def read(self, now: float) -> FleetPosition:
        """Advances the estimate to `now` and returns the position."""
        while len(self.history) > 1 and self.history[1][0] <= now - self.hold_s:
            self.history.popleft()
        target = max([self.view.instances, self.own, *(instances for _, instances in self.history)])
        if self.view.uncertain:  # also while no further view arrives
            self.hold_until = now + self.hold_s
        falling_s = now - max(self.updated_at, self.hold_until)
        if self.estimate > target and falling_s > 0:
            self.estimate = max(float(target), self.estimate * (1 - FALL_PER_S) ** falling_s)
        self.updated_at = now
        proxies = max(round(self.estimate), target)
        return FleetPosition(proxies, min(self.view.before, proxies - self.own))

    @staticmethod
    def overcount_bound_s(death_bound_s: float, hold_s: float) -> float:
        """Upper bound on the time for which a count that is too large stands before it begins to fall: the
        time to detect a dead member, then the hold time.

        It does not bound a count that is too small, which stands until the missing members are discovered."""
        return death_bound_s + hold_s
