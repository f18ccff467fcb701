"""Configuration types of fleet-wide limits: plain values without third-party imports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_LIMITS = 64  # per fleet: each member publishes one lease request entry for each limit
MAX_HOLDERS = 256  # fleets that share one limit


class PartitionPolicy(Enum):
    STRICT = "strict"  # never exceeded, even if a part of the limit cannot be used
    OPEN = "open"  # keeps serving; exceeded by at most a stated factor


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """`voters`: names of the fleets whose majority elects the lessor of the strict limits. `fleets`: number
    of configured fleets; each of them gets a reserved allocation."""

    voters: tuple[str, ...]
    fleets: int
    term_s: float = 2.0  # validity of a lease and of a vote
    cut_factor: float = 2.0  # by which an open limit may be exceeded, however the network is partitioned


@dataclass(frozen=True, slots=True)
class Limit:
    """A limit on admitted requests by tenant, by class, or both; an empty name matches all. All fleets have
    the same rows."""

    name: str
    tenant: str
    cls: str
    per_s: float
    burst: float  # requests admitted at once beyond the rate
    when_cut: PartitionPolicy
    reserve: float = 0.02  # fraction that is allocated permanently, in equal parts to the configured fleets

    def leasable_per_s(self) -> float:
        """The rate that lessors allocate, in requests per second."""
        return self.per_s * (1 - self.reserve)

    def reserved_per_s(self, fleets: int) -> float:
        """The permanent allocation of each of `fleets` configured fleets, in addition to its lease."""
        return self.per_s * self.reserve / max(fleets, 1)

    def fallback_per_s(self, settings: LeaseSettings) -> float:
        """The rate of a fleet's instances while they receive nothing from their supervisor.

        For an open limit it is the allocation of a fleet that is alone on its side of a partition. For a
        strict limit it is 0, since another process may allocate the same capacity."""
        if self.when_cut is PartitionPolicy.STRICT:
            return 0.0
        return min(self.per_s, self.per_s * settings.cut_factor / max(settings.fleets, 1))
