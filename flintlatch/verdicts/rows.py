"""Configuration of shared outlier ejection: plain values without third-party imports."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EjectionRules:
    quorum: int = 2  # independent observers, one per fleet, that an ejection requires
    strikes: int = 4  # consecutive failures required, summed over observers; at most three count from each
    part: float = 0.05  # failures required as a fraction of the fleets: of many fleets some fail by chance
    most_out: float = 0.3  # largest fraction of the servers that may be ejected
    itself: float = 0.5  # a fleet that alone reports more than this fraction of the servers is unreliable
    life_s: float = 2.0  # validity of an observation and of an ejection
