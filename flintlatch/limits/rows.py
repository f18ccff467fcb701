"""The rows of the configuration on limits. Plain values, no library."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_LIMITS = 64  # of one fleet: each member asks for each of them by a word of its own
MAX_HOLDERS = 256  # fleets under one limit


class PartitionPolicy(Enum):
    STRICT = "strict"  # never over, even if some of it can't be used
    OPEN = "open"  # service goes on; over by at most a stated factor


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """`voters`: names of the fleets, a majority of which makes a keeper of the strict limits. `fleets`: how
    many there are to be: a fixed part is dealt out to each."""

    voters: tuple[str, ...]
    fleets: int
    term_s: float = 2.0  # that a grant holds, and a vote
    cut_factor: float = 2.0  # by which an open limit may be over, whatever it is cut into


@dataclass(frozen=True, slots=True)
class Limit:
    """Of requests taken, by tenant, by class, or both; empty: any. All fleets have the same rows."""

    name: str
    tenant: str
    cls: str
    per_s: float
    burst: float  # requests at once beyond the rate
    when_cut: PartitionPolicy
    reserve: float = 0.02  # part that is dealt out for good, evenly over the configured fleets

    def leasable_per_s(self) -> float:
        """What keepers deal out: a second."""
        return self.per_s * (1 - self.reserve)

    def reserved_per_s(self, fleets: int) -> float:
        """What each of so many configured fleets may use for good, beside what it is lent."""
        return self.per_s * self.reserve / max(fleets, 1)

    def fallback_per_s(self, terms: LeaseSettings) -> float:
        """What the instances of a fleet may use whose supervisor says nothing. Of an open limit as a part of
        a cut with nobody else in it; of a strict one nothing, since another process may deal out the same."""
        if self.when_cut is PartitionPolicy.STRICT:
            return 0.0
        return min(self.per_s, self.per_s * terms.cut_factor / max(terms.fleets, 1))
