"""Decisions of a lessor on one limit: the lease of each holder, also after another lessor. No I/O, no clock.

A new lessor does not know which leases its predecessor has outstanding. Until all of those have expired, its
leases are *carried over*: a holder uses no more of such a lease than it may use already, so no allocation
grows. After that the lessor distributes the whole limit.

For an open limit each side of a partition has its own lessor. A lessor distributes the limit times
`cut_factor` times the fraction of all configured instances that name it as their lessor, and never more than
the limit. A holder names one lessor at a time, so the sum over all sides is at most `cut_factor` times the
limit, however the network is partitioned.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flintlatch.limits.model import Lease, LeaseRequest, LeaseVersion, term_validity_s
from flintlatch.limits.rows import LeaseSettings, Limit, PartitionPolicy
from flintlatch.limits.split import LeaseLedger


class Lessor:
    def __init__(self, limit: Limit, settings: LeaseSettings) -> None:
        self.limit, self.settings = limit, settings
        self.ledger = LeaseLedger()
        self.term = 0
        self.sequence = 0

    def capacity(self, following: int, configured: int, requests: Iterable[LeaseRequest] = ()) -> float:
        """The rate that this lessor may distribute.

        `following`: instances whose fleets name this lessor; `configured`: instances of all fleets. If fleets
        have different rows for the limit, the lowest rate applies: while a reload is rolled out, and
        permanently if a fleet was left out of it."""
        lowest = min([self.limit.per_s, *(request.per_s for request in requests if request.per_s)])
        leasable = self.limit.leasable_per_s() * lowest / self.limit.per_s
        if self.limit.when_cut is PartitionPolicy.STRICT:
            return leasable
        return leasable * min(1.0, self.settings.cut_factor * following / max(configured, following, 1))

    def step(
        self,
        now: float,
        me: str,
        term: int,
        predecessors_expired: bool,
        capacity: float,
        requests: Mapping[str, LeaseRequest],
        due: bool,
    ) -> dict[str, Lease]:
        """The leases to publish now, by holder; each is valid for `term_s`.

        `term`: the current leadership term; a new one starts with an empty ledger. `due`: unchanged leases
        are renewed too."""
        if term != self.term:
            self.term, self.sequence, self.ledger = term, 0, LeaseLedger()
        for holder, request in requests.items():
            if request.lease_lessor == me and request.version.term == term:
                self.ledger.acknowledge(holder, request.version)
        demands = {name: request.demand for name, request in requests.items()}
        if not predecessors_expired:
            demands = {name: request.in_use for name, request in requests.items()}
        amounts = self.ledger.distribute(now, capacity, demands, spread=predecessors_expired)
        expires_at = now + term_validity_s(self.settings)
        leases = {}
        for holder, amount in sorted(amounts.items()):
            if not due and self.ledger.is_negligible_change(now, holder, amount, capacity):
                continue
            self.sequence += 1
            version = LeaseVersion(term, self.sequence)
            self.ledger.record_grant(holder, version, amount, expires_at)
            leases[holder] = Lease(amount, version, not predecessors_expired)
        return leases
