"""The row of the configuration on shared verdicts. Plain values, no library."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EjectionRules:
    quorum: int = 2  # independent voices, one a fleet, without which there is no verdict
    strikes: int = 4  # failures in a row of all voices together, three of each at the most, that make one
    part: float = 0.05  # of the fleets: as many failures at least, since many fail somewhere by chance
    most_out: float = 0.3  # part of the servers that may be out by shared verdicts
    itself: float = 0.5  # a fleet that finds more than this part bad, and others don't, is ill itself
    life_s: float = 2.0  # that a voice and a verdict hold
