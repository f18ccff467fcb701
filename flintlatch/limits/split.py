"""Dealing out one limit: what each holder may use, so that the sum never passes the limit. No I/O, no clock.

A holder may use what it was given last until that ends, and whatever it was given before as long as it may
not have heard of the newer. So what is *out* at a holder is the largest of what was given since the one that
it says it follows, and not yet over. Lowering is said at once and frees nothing; what it frees is dealt out
once the holder says that it has come down, or the larger grant is over. The sum of all that is out is never
above the limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from flintlatch.limits.model import NO_MARK, LeaseVersion

SLIGHT = 0.02  # of the limit: a change of a grant by less is not worth a word, unless it brings it to its aim
EPS = 1e-9


@dataclass(frozen=True, slots=True)
class Given:
    version: LeaseVersion
    amount: float
    over: float  # on the dealer's clock: nobody believes it any more


@dataclass(slots=True)
class Out:
    """What is out at one holder."""

    grants: list[Given] = field(default_factory=list)  # oldest first
    acked: LeaseVersion = NO_MARK

    def held(self, now: float) -> float:
        return max(
            (one.amount for one in self.grants if one.version >= self.acked and one.over > now), default=0.0
        )

    def last(self, now: float) -> float:
        """What it was told last, if that is not over."""
        return self.grants[-1].amount if self.grants and self.grants[-1].over > now else 0.0

    def tidy(self, now: float) -> None:
        self.grants = [one for one in self.grants if one.over > now and one.version >= self.acked]


class Split:
    def __init__(self) -> None:
        self.by_holder: dict[str, Out] = {}

    def outstanding(self, now: float) -> float:
        return sum(out.held(now) for out in self.by_holder.values())

    def give(self, holder: str, version: LeaseVersion, amount: float, over: float) -> None:
        self.by_holder.setdefault(holder, Out()).grants.append(Given(version, amount, over))

    def ack(self, holder: str, version: LeaseVersion) -> None:
        """It follows that grant, and uses nothing of what was larger before."""
        out = self.by_holder.get(holder)
        if out is not None and version > out.acked and any(one.version == version for one in out.grants):
            out.acked = version

    def deal(
        self, now: float, capacity: float, needs: Mapping[str, float], spread: bool = True
    ) -> dict[str, float]:
        """What to tell each holder now, of those that ask. Within `capacity` with all that is out."""
        for holder, out in list(self.by_holder.items()):
            out.tidy(now)
            if not out.grants and holder not in needs:
                del self.by_holder[holder]
        aims = fair(capacity, needs, spread)
        free = max(0.0, capacity - self.outstanding(now))
        lacks: dict[str, float] = {}
        told: dict[str, float] = {}
        for holder, aim in aims.items():
            held = self.by_holder[holder].held(now) if holder in self.by_holder else 0.0
            told[holder] = min(aim, held)
            if aim > held:
                lacks[holder] = aim - held
        # Room that there is goes to who lacks most, evenly among those who lack less.
        for holder, more in fair(free, lacks, spread=False).items():
            told[holder] += more
        return told

    def slight(self, now: float, holder: str, amount: float, capacity: float) -> bool:
        """Whether that differs too little from what it was told to be worth a word before it is due."""
        out = self.by_holder.get(holder)
        return out is not None and abs(out.last(now) - amount) <= SLIGHT * capacity


def fair(capacity: float, needs: Mapping[str, float], spread: bool = True) -> dict[str, float]:
    """Max-min fair (Bertsekas and Gallager, Data Networks, 6.5.2): nobody gets more than it needs while
    another that needs more has less; `spread`: what nobody needs is dealt out evenly on top."""
    given = dict.fromkeys(needs, 0.0)
    left, open_ = capacity, sorted(needs, key=lambda name: (needs[name], name))
    while open_:
        each = left / len(open_)
        name = open_.pop(0)
        given[name] = min(max(needs[name], 0.0), each)
        left -= given[name]
    if spread and given and left > EPS:
        for name in given:
            given[name] += left / len(given)
    return given
