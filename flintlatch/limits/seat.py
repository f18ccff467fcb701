"""Who keeps the strict limits: a seat that a majority of the voters gives, for as long as it gives it.

A vote is a word, so it ends: nobody believes it past a stated time. A voter names one member, and another
only once its last word for the one before is over for everybody. So two members never both hold words of a
majority: a voter of both majorities would have named two. After a start a voter names nobody until all that
it may have said before is over, which needs nothing kept on a disk.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from zlib import crc32

from flintlatch.limits.model import MOST_NUMBER, Vote, term_validity_s
from flintlatch.limits.rows import LeaseSettings


def preferred(voters: Iterable[str], there: Callable[[str], bool]) -> str:
    """Of the voters that are there, by rendezvous: the same wherever the same are held to be there."""
    return max((v for v in voters if there(v)), key=lambda v: (crc32(f"seat {v}".encode()), v), default="")


class Leadership:
    def __init__(self, me: str, terms: LeaseSettings, now: float) -> None:
        self.me, self.terms = me, terms
        self.named = ""  # whom we voted for last
        self.free_at = now + term_validity_s(terms)  # when we may name another
        self.highest_term = 0  # highest heard
        self.leader_since: float | None = None  # since when we have held the seat without a break
        self.kept_until = 0.0  # by the votes of the last look
        self.term = 0  # the number under which we hold it

    @property
    def voter(self) -> bool:
        return self.me in self.terms.voters

    def majority(self) -> int:
        return len(self.terms.voters) // 2 + 1

    def vote(self, now: float, there: Callable[[str], bool]) -> Vote | None:
        """What to say now; it holds for a term. None: nothing, and what was said before runs out. The one
        named before is kept as long as it is there: a seat that wanders costs a term each time."""
        if not self.voter:
            return None
        wanted = self.named if self.named and there(self.named) else preferred(self.terms.voters, there)
        if not wanted:
            return None
        if wanted != self.named:
            if now < self.free_at:
                return None
            self.named = wanted
            self.highest_term += 1
        self.free_at = now + term_validity_s(self.terms)
        return Vote(wanted, self.highest_term)

    def observe(self, vote: Vote) -> None:
        if vote.term < MOST_NUMBER - 1:
            self.highest_term = max(self.highest_term, vote.term)

    def update(self, now: float, votes: dict[str, tuple[Vote, float]]) -> bool:
        """Whether we hold the seat at this moment, by votes and their ends. Also a break that we did not look
        into, since we were paused, is one: another may have held it."""
        ends = sorted(
            (
                ends
                for voter, (v, ends) in votes.items()
                if voter in self.terms.voters and v.candidate == self.me
            ),
            reverse=True,
        )
        if now >= self.kept_until:
            self.leader_since = None
        if len(ends) < self.majority() or now >= ends[self.majority() - 1]:
            self.leader_since = None
            return False
        self.kept_until = ends[self.majority() - 1]
        if self.leader_since is None:
            self.leader_since = now
            self.highest_term += 1
            self.term = self.highest_term
        return True

    def predecessors_expired(self, now: float) -> bool:
        """Whether all that a keeper before us granted is over."""
        return self.leader_since is not None and now >= self.leader_since + term_validity_s(self.terms)
