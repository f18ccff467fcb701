"""The clock of a member: seconds that never go back, the same in all processes of a machine."""

from __future__ import annotations

import time

# CLOCK_BOOTTIME also runs while the machine is suspended (clock_gettime(2)), so entries expire during that
# time.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def clock() -> float:
    return time.clock_gettime(CLOCK)
