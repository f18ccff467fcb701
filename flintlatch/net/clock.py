"""The proxy's clock, and the conversion of other machines' Unix times to it.

The proxy's clock is monotonic milliseconds, offset once to Unix time. It does not follow steps of the wall
clock, so that all deadlines and waits are spans of real time.
"""

from __future__ import annotations

import time
from math import inf
from typing import NamedTuple

STEP_MS = 500.0  # a smaller change of the wall clock is slewing, and has no effect that matters
MAX_PERIODS = 16  # between steps of the wall clock; the oldest are forgotten


def unix_offset_ms() -> float:
    """The present difference between the wall clock and the monotonic clock."""
    return (time.time() - time.monotonic()) * 1000


_UNIX_OFFSET_MS = unix_offset_ms()


def now_ms() -> float:
    return _UNIX_OFFSET_MS + time.monotonic() * 1000


class Period(NamedTuple):
    """A time in which the wall clock was not stepped."""

    since_ms: float  # by the proxy's clock
    ahead_ms: float  # the wall clock less the proxy's clock


class WallClock:
    """Follows the steps of the wall clock. All machines read one clock, so they see the same steps."""

    def __init__(self) -> None:
        self.periods = [Period(-inf, unix_offset_ms() - _UNIX_OFFSET_MS)]
        self.sampled_ms = now_ms()

    def sample(self) -> float:
        """Looks for a step since the last sample. Returns its size in ms, 0 if there was none."""
        ahead_ms = unix_offset_ms() - _UNIX_OFFSET_MS
        step_ms = ahead_ms - self.periods[-1].ahead_ms
        previous_sample_ms, self.sampled_ms = self.sampled_ms, now_ms()
        if abs(step_ms) < STEP_MS:
            return 0.0
        # The step may have come at any time since the last sample.
        self.periods.append(Period(previous_sample_ms, ahead_ms))
        del self.periods[:-MAX_PERIODS]
        return step_ms

    def latest_local_ms(self, unix_ms: float) -> float:
        """Converts a Unix time in the past to the proxy's clock.

        The wall clock may have shown it more than once, or never: the result is the latest time at which it
        may have, and not in the future.
        """
        now = now_ms()
        candidates = [unix_ms - period.ahead_ms for period in self.periods]
        ends = [period.since_ms + STEP_MS for period in self.periods[1:]] + [now]
        shown = [
            candidate
            for candidate, period, end in zip(candidates, self.periods, ends, strict=True)
            if period.since_ms - STEP_MS <= candidate <= end
        ]
        return min(max(shown or candidates), now)
