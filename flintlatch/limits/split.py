"""Distributes one limit over its holders so that the sum never exceeds the limit.

No I/O, no clock. A holder may use its latest grant until that expires, and any earlier grant for as long as
it may not have received the newer one. The amount in use by a holder is therefore at most the largest of its
unexpired grants since the one that it acknowledged. A smaller grant is sent at once but frees nothing; the
difference can be granted to others once the holder acknowledges the smaller grant or the larger one expires.
The sum of these upper bounds never exceeds the limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from flintlatch.limits.model import NO_VERSION, LeaseVersion

NEGLIGIBLE_FRACTION = 0.02  # of the limit: a smaller change waits until the grant is due for renewal
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Grant:
    version: LeaseVersion
    amount: float
    expires_at: float  # on the clock of the side that grants: expired on any clock by then


@dataclass(slots=True)
class HolderGrants:
    """The grants that one holder may still use."""

    grants: list[Grant] = field(default_factory=list)  # oldest first
    acknowledged: LeaseVersion = NO_VERSION

    def max_in_use(self, now: float) -> float:
        return max(
            (
                grant.amount
                for grant in self.grants
                if grant.version >= self.acknowledged and grant.expires_at > now
            ),
            default=0.0,
        )

    def latest(self, now: float) -> float:
        """The amount of the latest grant, 0 if it has expired."""
        return self.grants[-1].amount if self.grants and self.grants[-1].expires_at > now else 0.0

    def prune(self, now: float) -> None:
        self.grants = [
            grant for grant in self.grants if grant.expires_at > now and grant.version >= self.acknowledged
        ]


class LeaseLedger:
    def __init__(self) -> None:
        self.by_holder: dict[str, HolderGrants] = {}

    def outstanding(self, now: float) -> float:
        return sum(holder_grants.max_in_use(now) for holder_grants in self.by_holder.values())

    def record_grant(self, holder: str, version: LeaseVersion, amount: float, expires_at: float) -> None:
        self.by_holder.setdefault(holder, HolderGrants()).grants.append(Grant(version, amount, expires_at))

    def acknowledge(self, holder: str, version: LeaseVersion) -> None:
        """The holder has applied that grant and no longer uses a larger one from before it."""
        holder_grants = self.by_holder.get(holder)
        if (
            holder_grants is not None
            and version > holder_grants.acknowledged
            and any(grant.version == version for grant in holder_grants.grants)
        ):
            holder_grants.acknowledged = version

    def distribute(
        self, now: float, capacity: float, demands: Mapping[str, float], spread: bool = True
    ) -> dict[str, float]:
        """The new grant of each holder in `demands`. With all that is outstanding they stay within
        `capacity`."""
        for holder, holder_grants in list(self.by_holder.items()):
            holder_grants.prune(now)
            if not holder_grants.grants and holder not in demands:
                del self.by_holder[holder]
        targets = max_min_fair(capacity, demands, spread)
        free = max(0.0, capacity - self.outstanding(now))
        shortfalls: dict[str, float] = {}
        amounts: dict[str, float] = {}
        for holder, target in targets.items():
            in_use = self.by_holder[holder].max_in_use(now) if holder in self.by_holder else 0.0
            amounts[holder] = min(target, in_use)
            if target > in_use:
                shortfalls[holder] = target - in_use
        # Free capacity is divided max-min fair over the shortfalls.
        for holder, increase in max_min_fair(free, shortfalls, spread=False).items():
            amounts[holder] += increase
        return amounts

    def is_negligible_change(self, now: float, holder: str, amount: float, capacity: float) -> bool:
        """Whether `amount` is so close to the holder's latest grant that it can wait until the grant is
        due."""
        holder_grants = self.by_holder.get(holder)
        return (
            holder_grants is not None
            and abs(holder_grants.latest(now) - amount) <= NEGLIGIBLE_FRACTION * capacity
        )


def max_min_fair(capacity: float, demands: Mapping[str, float], spread: bool = True) -> dict[str, float]:
    """Max-min fair allocation (Bertsekas and Gallager, Data Networks, 6.5.2).

    No name gets more than its demand while another name with unmet demand has less. With `spread`, capacity
    that exceeds all demands is added in equal parts."""
    allocated = dict.fromkeys(demands, 0.0)
    remaining, unserved = capacity, sorted(demands, key=lambda name: (demands[name], name))
    while unserved:
        equal_share = remaining / len(unserved)
        name = unserved.pop(0)
        allocated[name] = min(max(demands[name], 0.0), equal_share)
        remaining -= allocated[name]
    if spread and allocated and remaining > EPSILON:
        for name in allocated:
            allocated[name] += remaining / len(allocated)
    return allocated
