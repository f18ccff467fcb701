"""The clock of members: seconds that only go forward, the same for all processes of a machine."""

from __future__ import annotations

import time

# CLOCK_BOOTTIME also runs while the machine is suspended (clock_gettime(2)), so words end then.
CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def clock() -> float:
    return time.clock_gettime(CLOCK)
