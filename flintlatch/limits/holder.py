"""Decisions of a lease holder on one limit: which lease applies and what each local instance may use.

No I/O, no clock. A holder never returns to an older lease while the newer one is valid. It acknowledges a
lease only when none of its instances can use more any longer: each has acknowledged its allocation, or its
larger allocation has expired.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from flintlatch.limits.model import NO_VERSION, Lease, LeaseRequest, LeaseVersion
from flintlatch.limits.rows import LeaseSettings, Limit, PartitionPolicy
from flintlatch.limits.split import EPSILON, LeaseLedger

DEMAND_FALL_WEIGHT = 0.5  # of a new sample in the smoothed demand when it falls; a rise counts at once
DEMAND_HEADROOM = 1.15  # factor on the demand, for growth until the next request
IDLE_DEMAND_FRACTION = 0.02  # of the limit, for all idle holders together: their next request must not wait


@dataclass(frozen=True, slots=True)
class InstanceAllocation:
    """What one instance may use: a rate per second, a burst, and an expiry on the holder's clock."""

    per_s: float
    burst: float
    version: LeaseVersion
    until: float


class LeaseHolder:
    def __init__(
        self, limit: Limit, settings: LeaseSettings, reserved: float = 0.0, reserved_from: float = 0.0
    ) -> None:
        """`reserved`: the permanent allocation, usable from `reserved_from` on; until then it may be in use
        by instances of a predecessor process."""
        self.limit, self.settings, self.reserved, self.reserved_from = (
            limit,
            settings,
            reserved,
            reserved_from,
        )
        self.version = NO_VERSION
        self.lessor = ""
        self.amount = 0.0
        self.expires_at = 0.0
        self.ledger = LeaseLedger()  # of the local instances
        self.sequence = 0
        self.demand = 0.0

    def accept_lease(self, now: float, lessor: str, lease: Lease, expires_at: float) -> None:
        """Applies a lease unless it is older than the current one and that is still valid."""
        if lease.version > self.version or now >= self.expires_at:
            amount = min(lease.amount, self.leased(now)) if lease.carried_over else lease.amount
            self.version, self.lessor, self.amount, self.expires_at = (
                lease.version,
                lessor,
                amount,
                expires_at,
            )
        elif lease.version == self.version and lessor == self.lessor:
            self.expires_at = max(self.expires_at, expires_at)

    def leased(self, now: float) -> float:
        return self.amount if now < self.expires_at else 0.0

    def reserved_now(self, now: float) -> float:
        return self.reserved if now >= self.reserved_from else 0.0

    def record_demand(self, arrivals_per_s: float) -> None:
        """Updates the smoothed demand with the recent arrival rate, rejected requests included."""
        if arrivals_per_s >= self.demand:
            self.demand = arrivals_per_s
        else:
            self.demand += (arrivals_per_s - self.demand) * DEMAND_FALL_WEIGHT

    def request(self, now: float, lessor: str) -> LeaseRequest:
        """The request to publish. `lessor`: the presumed lessor. For a strict limit the lessor of the current
        lease is asked for as long as that lease is valid."""
        outstanding = self.ledger.outstanding(now)
        within_lease = outstanding <= self.leased(now) + self.reserved_now(now) + EPSILON
        demand = (
            self.demand * DEMAND_HEADROOM
            + IDLE_DEMAND_FRACTION * self.limit.leasable_per_s() / self.settings.fleets
        )
        valid = now < self.expires_at
        version = self.version if within_lease and valid else NO_VERSION
        in_use = max(outstanding - self.reserved_now(now), self.leased(now))
        keeps_lessor = valid and self.limit.when_cut is PartitionPolicy.STRICT
        requested_from = self.lessor if keeps_lessor else lessor
        return LeaseRequest(
            demand, requested_from, self.lessor if valid else "", version, in_use, self.limit.per_s
        )

    def allocate(
        self,
        now: float,
        acknowledged: Mapping[str, LeaseVersion],
        demands: Mapping[str, float],
        term_s: float,
        due: bool,
    ) -> dict[str, InstanceAllocation]:
        """The allocations to send to local instances now. None outlasts the lease.

        `acknowledged`: the version that each instance has applied. `due`: unchanged allocations are renewed
        too."""
        for name, version in acknowledged.items():
            self.ledger.acknowledge(name, version)
        capacity = self.leased(now) + self.reserved_now(now)
        if self.limit.when_cut is PartitionPolicy.OPEN and now >= self.expires_at:
            # No lessor: as if this fleet were alone on its side of a partition.
            capacity = max(capacity, self.limit.fallback_per_s(self.settings))
        amounts = self.ledger.distribute(now, capacity, demands)
        until = min(self.expires_at, now + term_s) if self.leased(now) else now + term_s
        if not capacity:
            return {}
        allocations = {}
        for name, amount in sorted(amounts.items()):
            if not due and self.ledger.is_negligible_change(now, name, amount, capacity):
                continue
            self.sequence += 1
            version = LeaseVersion(1, self.sequence)
            self.ledger.record_grant(name, version, amount, until)
            allocations[name] = InstanceAllocation(
                amount, self.limit.burst * amount / self.limit.per_s, version, until
            )
        return allocations
