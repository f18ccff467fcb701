"""Leader election for the strict limits: the lessor is the member that a majority of the voters supports.

A vote is a soft-state entry, so it expires: no member counts it past a stated time. A voter supports one
member, and switches to another only once its last vote for the previous one has expired everywhere. Two
members therefore never both hold valid votes of a majority, because a voter in both majorities would have
voted for two. After a start a voter does not vote until every vote of its previous run has expired, so no
vote has to be kept on disk.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from zlib import crc32

from flintlatch.limits.model import MAX_TERM, Vote, term_validity_s
from flintlatch.limits.rows import LeaseSettings


def preferred_candidate(voters: Iterable[str], is_alive: Callable[[str], bool]) -> str:
    """The live voter that ranks first by rendezvous hashing: the same in every view with the same live
    voters."""
    return max(
        (voter for voter in voters if is_alive(voter)),
        key=lambda voter: (crc32(f"seat {voter}".encode()), voter),
        default="",
    )


class Leadership:
    def __init__(self, me: str, settings: LeaseSettings, now: float) -> None:
        self.me, self.settings = me, settings
        self.voted_for = ""  # candidate of the last vote
        self.may_switch_at = now + term_validity_s(settings)  # earliest time to vote for another candidate
        self.highest_term = 0  # received so far
        self.leader_since: float | None = None  # start of the current uninterrupted leadership
        self.leader_until = 0.0  # by the votes of the last update
        self.term = 0  # of the current or last leadership of this member

    @property
    def is_voter(self) -> bool:
        return self.me in self.settings.voters

    def majority(self) -> int:
        return len(self.settings.voters) // 2 + 1

    def vote(self, now: float, is_alive: Callable[[str], bool]) -> Vote | None:
        """The vote to publish now; it is valid for `term_s`. None: publish nothing and let the last vote
        expire.

        The previous candidate is kept while it is alive, since each change of the lessor costs a term."""
        if not self.is_voter:
            return None
        candidate = (
            self.voted_for
            if self.voted_for and is_alive(self.voted_for)
            else preferred_candidate(self.settings.voters, is_alive)
        )
        if not candidate:
            return None
        if candidate != self.voted_for:
            if now < self.may_switch_at:
                return None
            self.voted_for = candidate
            self.highest_term += 1
        self.may_switch_at = now + term_validity_s(self.settings)
        return Vote(candidate, self.highest_term)

    def observe(self, vote: Vote) -> None:
        if vote.term < MAX_TERM - 1:
            self.highest_term = max(self.highest_term, vote.term)

    def update(self, now: float, votes: dict[str, tuple[Vote, float]]) -> bool:
        """Whether this member is the leader now, by the votes and their expiry times.

        A gap in the votes that was missed because this process was paused also ends a leadership: another
        member may have been the leader meanwhile."""
        expiries = sorted(
            (
                expires_at
                for voter, (vote, expires_at) in votes.items()
                if voter in self.settings.voters and vote.candidate == self.me
            ),
            reverse=True,
        )
        if now >= self.leader_until:
            self.leader_since = None
        if len(expiries) < self.majority() or now >= expiries[self.majority() - 1]:
            self.leader_since = None
            return False
        self.leader_until = expiries[self.majority() - 1]
        if self.leader_since is None:
            self.leader_since = now
            self.highest_term += 1
            self.term = self.highest_term
        return True

    def predecessors_expired(self, now: float) -> bool:
        """Whether every lease of a previous lessor has expired."""
        return self.leader_since is not None and now >= self.leader_since + term_validity_s(self.settings)
