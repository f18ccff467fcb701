"""A keeper's decisions on one limit: whom to grant what, now and after another keeper. No I/O, no clock.

A new keeper does not know what the one before has out. Until all of that is over its grants are *carried*: of
each a holder uses no more than it may use already, so nobody's part grows. Then it deals out the whole.

Of an open limit each side of a cut has a keeper of its own. It deals out the limit times `cut_factor` times
the part of all configured instances that name it as their keeper, and never more than the limit. A holder
names one keeper at a time, so over all sides together it is at most `cut_factor` times the limit, whatever it
is cut into.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from flintlatch.limits.model import Lease, LeaseRequest, LeaseVersion, term_validity_s
from flintlatch.limits.rows import LeaseSettings, Limit, PartitionPolicy
from flintlatch.limits.split import Split


class Lessor:
    def __init__(self, limit: Limit, terms: LeaseSettings) -> None:
        self.limit, self.terms = limit, terms
        self.ledger = Split()
        self.term = 0
        self.place = 0

    def capacity(self, following: int, configured: int, asks: Iterable[LeaseRequest] = ()) -> float:
        """Of all instances that are configured so many name us as their keeper. Where rows contradict each
        other the lowest holds: while a reload goes round, and for good if somebody forgot one."""
        lowest = min([self.limit.per_s, *(ask.per_s for ask in asks if ask.per_s)])
        lent = self.limit.leasable_per_s() * lowest / self.limit.per_s
        if self.limit.when_cut is PartitionPolicy.STRICT:
            return lent
        return lent * min(1.0, self.terms.cut_factor * following / max(configured, following, 1))

    def step(
        self,
        now: float,
        me: str,
        term: int,
        settled: bool,
        capacity: float,
        asks: Mapping[str, LeaseRequest],
        due: bool,
    ) -> dict[str, Lease]:
        """Grants to say now, each for a term, by holder. `due`: what was said must be said anew. `number`:
        under which we keep; a new one means that we have begun anew."""
        if term != self.term:
            self.term, self.place, self.ledger = term, 0, Split()
        for holder, ask in asks.items():
            if ask.lease_lessor == me and ask.version.term == term:
                self.ledger.ack(holder, ask.version)
        needs = {name: ask.demand for name, ask in asks.items()}
        if not settled:
            needs = {name: ask.in_use for name, ask in asks.items()}
        told = self.ledger.deal(now, capacity, needs, spread=settled)
        over = now + term_validity_s(self.terms)
        grants = {}
        for holder, amount in sorted(told.items()):
            if not due and self.ledger.slight(now, holder, amount, capacity):
                continue
            self.place += 1
            version = LeaseVersion(term, self.place)
            self.ledger.give(holder, version, amount, over)
            grants[holder] = Lease(amount, version, not settled)
        return grants
