"""A holder's decisions on one limit: which grant it follows, and what its instances get of it. No I/O, no
clock.

It never goes back to a grant before the one that it has followed. It says that it follows one only when none
of its instances can use more any longer: each has said that it follows what it was told, or that is over.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from flintlatch.limits.model import NO_MARK, Lease, LeaseRequest, LeaseVersion
from flintlatch.limits.rows import LeaseSettings, Limit, PartitionPolicy
from flintlatch.limits.split import EPS, Split

NEED_PART = 0.5  # of a new measure in the smoothed need, as it falls; as it rises it counts at once
AHEAD = 1.15  # of what is asked for now: what may come until the next word
FLOOR_PART = 0.02  # of the limit that idle holders ask for together: their next request should not wait long


@dataclass(frozen=True, slots=True)
class Part:
    """What one instance may use: a second, at once, and until when (the holder's clock)."""

    per_s: float
    burst: float
    version: LeaseVersion
    until: float


class LeaseHolder:
    def __init__(
        self, limit: Limit, terms: LeaseSettings, reserved: float = 0.0, fixed_from: float = 0.0
    ) -> None:
        """`fixed`: what is ours for good, from `fixed_from` on: instances of a process before us may hold it
        until then."""
        self.limit, self.terms, self.reserved, self.fixed_from = limit, terms, reserved, fixed_from
        self.version = NO_MARK
        self.lessor = ""
        self.amount = 0.0
        self.expires_at = 0.0
        self.ledger = Split()  # over our instances
        self.place = 0
        self.demand = 0.0

    def accept_lease(self, now: float, keeper: str, grant: Lease, ends: float) -> None:
        """A grant that holds until `ends`. An older one than that we follow is none, while that holds."""
        if grant.version > self.version or now >= self.expires_at:
            amount = min(grant.amount, self.leased(now)) if grant.carried else grant.amount
            self.version, self.lessor, self.amount, self.expires_at = grant.version, keeper, amount, ends
        elif grant.version == self.version and keeper == self.lessor:
            self.expires_at = max(self.expires_at, ends)

    def leased(self, now: float) -> float:
        return self.amount if now < self.expires_at else 0.0

    def own(self, now: float) -> float:
        return self.reserved if now >= self.fixed_from else 0.0

    def record_demand(self, asked_per_s: float) -> None:
        """What came in the last moments, refused ones included."""
        if asked_per_s >= self.demand:
            self.demand = asked_per_s
        else:
            self.demand += (asked_per_s - self.demand) * NEED_PART

    def request(self, now: float, keeper: str) -> LeaseRequest:
        """What to say. `keeper`: whom we hold for it. A strict limit's is asked for as long as its grant
        holds."""
        out = self.ledger.outstanding(now)
        came_down = out <= self.leased(now) + self.own(now) + EPS
        need = self.demand * AHEAD + FLOOR_PART * self.limit.leasable_per_s() / self.terms.fleets
        held = now < self.expires_at
        version = self.version if came_down and held else NO_MARK
        used = max(out - self.own(now), self.leased(now))
        stays = held and self.limit.when_cut is PartitionPolicy.STRICT
        asked = self.lessor if stays else keeper
        return LeaseRequest(need, asked, self.lessor if held else "", version, used, self.limit.per_s)

    def allocate(
        self,
        now: float,
        follows: Mapping[str, LeaseVersion],
        needs: Mapping[str, float],
        term_s: float,
        due: bool,
    ) -> dict[str, Part]:
        """What to tell our instances now. `follows`: what each says it follows. None outlasts the grant."""
        for name, version in follows.items():
            self.ledger.ack(name, version)
        lent = self.leased(now) + self.own(now)
        if self.limit.when_cut is PartitionPolicy.OPEN and now >= self.expires_at:
            lent = max(
                lent, self.limit.fallback_per_s(self.terms)
            )  # nobody grants: as a part with nobody else
        told = self.ledger.deal(now, lent, needs)
        until = min(self.expires_at, now + term_s) if self.leased(now) else now + term_s
        if not lent:
            return {}
        parts = {}
        for name, amount in sorted(told.items()):
            if not due and self.ledger.slight(now, name, amount, lent):
                continue
            self.place += 1
            version = LeaseVersion(1, self.place)
            self.ledger.give(name, version, amount, until)
            parts[name] = Part(amount, self.limit.burst * amount / self.limit.per_s, version, until)
        return parts
