"""Limits of the whole fleet, in the supervisor: the cores on the carrier of words, and parts for the
instances."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any
from zlib import crc32

from flintlatch.fleet.channel import Message
from flintlatch.limits.api import (
    Ask,
    Holder,
    Keeper,
    Limit,
    Malformed,
    Mark,
    Seat,
    Terms,
    Vote,
    WhenCut,
    most,
    over_s,
    topics,
)
from flintlatch.limits.model import holder as holder_of
from flintlatch.limits.model import (
    read_ask,
    read_grant,
    read_vote,
    write_ask,
    write_grant,
    write_vote,
)
from flintlatch.peers import State
from flintlatch.peers.clock import clock
from flintlatch.peers.shell import Shell

TICK_S = 0.1
AT_ONCE_S = 0.01  # from news to the next look at most so often: words of one turn are answered together
NEED_S = 0.5  # over which what is asked for is measured
RENEWALS_PER_TERM = 3  # times in a term that words are said anew
CHANGED = 0.05  # part of the limit by which a need has to move to be said at once


class Need:
    """Requests a second that one instance was asked for, of one limit, over the last moments."""

    def __init__(self) -> None:
        self.counts: deque[tuple[float, int]] = deque()

    def told(self, now: float, asked: int) -> None:
        self.counts.append((now, asked))
        while len(self.counts) > 2 and self.counts[1][0] <= now - NEED_S:
            self.counts.popleft()

    def per_s(self, now: float) -> float:
        if len(self.counts) < 2:
            return 0.0
        (first, before), (_, after) = self.counts[0], self.counts[-1]
        return (after - before) / max(now - first, NEED_S / 2)


class Instance:
    def __init__(self) -> None:
        self.follows: dict[str, Mark] = {}
        self.needs: dict[str, Need] = {}


class LimitState:
    """One limit, here."""

    def __init__(self, limit: Limit, terms: Terms, now: float) -> None:
        self.limit = limit
        fixed = limit.fixed(terms.fleets)
        self.holder, self.lessor = Holder(limit, terms, fixed, now + over_s(terms)), Keeper(limit, terms)
        self.keeps_since: float | None = None  # as the keeper of an open one
        self.number = 0
        self.asked: Ask | None = None
        self.ask_at = self.deal_at = self.part_at = 0.0
        self.others: list[str] = []  # whose rows are not ours
        self.over = False  # more is asked for than there is


class Limiter:
    """`tell` says a message to one instance."""

    def __init__(
        self,
        limits: tuple[Limit, ...],
        terms: Terms,
        shell: Callable[[], Shell | None],
        tell: Callable[[int, Message], None],
        log: Callable[[str, str], None],
    ) -> None:
        self.terms, self.shell, self.tell, self.log = terms, shell, tell, log
        self.rows = {limit.name: LimitState(limit, terms, clock()) for limit in limits}
        self.instances: dict[int, Instance] = {}
        self.seat: Seat | None = None
        self.vote_at = 0.0
        self.voted: Vote | None = None
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.soon: asyncio.TimerHandle | None = None

    topics = staticmethod(topics)

    def reconfigure(self, limits: tuple[Limit, ...], terms: Terms) -> None:
        """A reload. What is lent stays lent: the new figure holds once that has come down or is over."""
        if terms != self.terms:
            self.log("warning", "keepers: a change of voters or terms takes a restart of all fleets")
        for limit in limits:
            row = self.rows.setdefault(limit.name, LimitState(limit, self.terms, clock()))
            row.limit = row.holder.limit = row.lessor.limit = limit
            row.holder.fixed = limit.fixed(self.terms.fleets)
        for name in [name for name in self.rows if name not in {limit.name for limit in limits}]:
            del self.rows[name]

    def start(self) -> None:
        self.timer = self.loop.call_later(TICK_S, self.start)
        self.step()

    def close(self) -> None:
        for timer in (self.timer, self.soon):
            if timer is not None:
                timer.cancel()

    def on_entries_changed(self) -> None:
        if self.soon is None:
            self.soon = self.loop.call_later(AT_ONCE_S, self._look_soon)

    def _look_soon(self) -> None:
        self.soon = None
        self.step()

    # Instances

    def on_instance_report(self, worker: int, message: Message) -> None:
        """What it was asked for so far, and the grants that it goes by."""
        now, instance = clock(), self.instances.setdefault(worker, Instance())
        for name, asked in message["asked"].items():
            instance.needs.setdefault(name, Need()).told(now, int(asked))
        for name, mark in message["follows"].items():
            if mark:
                instance.follows[name] = Mark(int(mark[0]), int(mark[1]))
        self.on_entries_changed()

    def remove_instance(self, worker: int) -> None:
        self.instances.pop(worker, None)

    # One look: what has come, what to say

    def step(self) -> None:
        shell = self.shell()
        if shell is None:
            return
        now = clock()
        if self.seat is None:
            self.seat = Seat(shell.member.me.name, self.terms, now)
        keeping = self._seat(now, shell, self.seat)
        told: set[str] = set()
        for row in self.rows.values():
            self._hold(now, shell, row, told)
            self._keep(now, shell, row, keeping, told)
        for name in told:
            shell.push(name)

    def _there(self, shell: Shell) -> Callable[[str], bool]:
        view = shell.member.peers.view

        def there(name: str) -> bool:
            record = view.get(name)
            return record is not None and record.state is State.ALIVE

        return there

    def _seat(self, now: float, shell: Shell, seat: Seat) -> bool:
        votes: dict[str, tuple[Vote, float]] = {}
        for said in shell.member.carrier.read(now, "vote"):
            try:
                vote = read_vote(said.value)
            except Malformed:
                continue
            votes[said.origin] = vote, said.ends
            seat.hear(vote)
        vote_now = (
            seat.vote(now, self._there(shell)) if now >= self.vote_at or self.voted is None else self.voted
        )
        if vote_now is not None and (vote_now != self.voted or now >= self.vote_at):
            shell.say("vote", "seat", write_vote(vote_now), self.terms.term_s, renew=False)
            self.voted, self.vote_at = vote_now, now + self.terms.term_s / RENEWALS_PER_TERM
            # Our own counts from its saying, as everybody's: the carrier holds it.
            own = shell.member.carrier.read(now, "vote")
            votes |= {s.origin: (vote_now, s.ends) for s in own if s.origin == shell.member.me.name}
        elif vote_now is None:
            self.voted = None
        before = seat.kept_since
        keeping = seat.look(now, votes)
        if keeping and before is None:
            self.log("info", f"limits: keeper of the strict ones, number {seat.mine}")
        elif before is not None and not keeping:
            self.log("info", "limits: no longer keeper of the strict ones")
        return keeping

    def _hold(self, now: float, shell: Shell, row: LimitState, told: set[str]) -> None:
        limit, holder, me = row.limit, row.holder, shell.member.me
        mine = f"{holder_of(me.name, me.life)} {limit.name}"
        for said in shell.member.carrier.read(now, "grant", mine):
            try:
                holder.hear(now, said.origin, read_grant(said.value), said.ends)
            except Malformed:
                continue
        needs = {
            str(worker): instance.needs[limit.name].per_s(now) if limit.name in instance.needs else 0.0
            for worker, instance in self.instances.items()
        }
        follows = {
            str(worker): instance.follows[limit.name]
            for worker, instance in self.instances.items()
            if limit.name in instance.follows
        }
        holder.measure(sum(needs.values()))
        part_due = now >= row.part_at
        for worker, part in holder.parts(now, follows, needs, self.terms.term_s, part_due).items():
            self.tell(int(worker), word(limit.name, [part.per_s, part.burst, *part.mark], part.until))
        if part_due:
            row.part_at = now + self.terms.term_s / RENEWALS_PER_TERM
        ask = holder.ask(now, self._keeper_of(shell, limit))._replace(life=me.life)
        if now >= row.ask_at or row.asked is None or moved(row.asked, ask, limit):
            shell.say("ask", limit.name, write_ask(ask), self.terms.term_s, renew=False)
            row.asked, row.ask_at = ask, now + self.terms.term_s / RENEWALS_PER_TERM
            if ask.keeper and ask.keeper != me.name:
                told.add(ask.keeper)
        over = holder.need > holder.lent(now) + limit.fixed(self.terms.fleets) + 1e-9
        if over != row.over:
            row.over = over
            text = "more is asked for here than its part" if over else "its part is enough again"
            self.log("info", f"limit {limit.name}: {text}")

    def _keeper_of(self, shell: Shell, limit: Limit) -> str:
        """By rendezvous over those that are there, for the open ones; the strict ones' is whoever has the
        seat."""
        if limit.when_cut is WhenCut.STRICT:
            votes = [read_vote(s.value).keeper for s in shell.member.carrier.read(clock(), "vote")]
            return max(set(votes), key=lambda name: (votes.count(name), name), default="")
        there = [record.name for record in shell.member.peers.alive()]
        return max(there, key=lambda name: (crc32(f"{limit.name} {name}".encode()), name))

    def _keep(self, now: float, shell: Shell, row: LimitState, keeping: bool, told: set[str]) -> None:
        limit, me, seat = row.limit, shell.member.me, self.seat
        assert seat is not None
        asks: dict[str, tuple[str, Ask]] = {}
        for said in shell.member.carrier.read(now, "ask", limit.name):
            try:
                ask = read_ask(said.value)
            except Malformed:
                continue
            asks[holder_of(said.origin, ask.life)] = said.origin, ask
            row.number = max(row.number, ask.mark.number)
        if limit.when_cut is WhenCut.STRICT:
            if not keeping:
                return
            number, settled = seat.mine, seat.settled(now)
            seat.number = max(seat.number, row.number)
            mine = asks
        else:
            mine = {name: pair for name, pair in asks.items() if pair[1].keeper == me.name}
            if not mine:
                row.keeps_since = None
                return
            if row.keeps_since is None:
                row.keeps_since, row.number = now, row.number + 1
                row.lessor.number = 0
            number, settled = row.number, now >= row.keeps_since + over_s(self.terms)
            if row.lessor.number:
                number = row.lessor.number
        view = shell.member.peers.view
        following = sum(view[origin].instances if origin in view else 1 for origin, _ in mine.values())
        configured = max(self.terms.fleets * max(me.instances, 1), 1)
        capacity = row.lessor.capacity(following, configured, (ask for _, ask in mine.values()))
        others = sorted({o for o, ask in mine.values() if ask.per_s and ask.per_s != limit.per_s})
        if others != row.others:
            row.others = others
            if others:
                text = f"{', '.join(others)} have other rows than {limit.per_s:g} a second; the lowest holds"
                self.log("warning", f"limit {limit.name}: {text}")
        due = now >= row.deal_at
        heard = {name: ask for name, (_, ask) in mine.items()}
        for name, grant in row.lessor.step(now, me.name, number, settled, capacity, heard, due).items():
            shell.say("grant", f"{name} {limit.name}", write_grant(grant), self.terms.term_s, renew=False)
            if mine[name][0] != me.name:
                told.add(mine[name][0])
            else:
                self.on_entries_changed()
        if due:
            row.deal_at = now + self.terms.term_s / RENEWALS_PER_TERM

    # What people ask

    def report(self) -> list[dict[str, Any]]:
        shell, now = self.shell(), clock()
        rows = []
        for row in self.rows.values():
            limit, holder = row.limit, row.holder
            keeps = row.lessor.split.out(now)
            instances = shell.member.peers.instances() if shell is not None else 0
            rows.append(
                {
                    "limit": limit.name,
                    "tenant": limit.tenant,
                    "class": limit.cls,
                    "per_s": limit.per_s,
                    "burst": limit.burst,
                    "when_cut": limit.when_cut.value,
                    "keeper": holder.keeper if now < holder.ends else "",
                    "asked_here": round(holder.need, 2),
                    "lent_here": round(holder.lent(now), 2),
                    "fixed_here": round(limit.fixed(self.terms.fleets), 2),
                    "alone_here": round(limit.alone(self.terms), 2),
                    "granted": round(keeps, 2) if keeps else None,
                    "most_in_a_second": round(most(limit, self.terms, 1.0, instances), 2),
                    "most_without_cuts": round(most(limit, self.terms, 1.0, instances, cut=False), 2),
                    "follows_a_change_s": over_s(self.terms),
                }
            )
        return rows


def word(limit: str, value: list[float], until: float) -> Message:
    return {"kind": "word", "about": "limit", "limit": limit, "value": value, "until": until}


def moved(before: Ask, ask: Ask, limit: Limit) -> bool:
    """Whether what is said differs enough to be said at once."""
    if (before.mark, before.keeper, before.of) != (ask.mark, ask.keeper, ask.of):
        return True
    return abs(before.need - ask.need) > CHANGED * limit.per_s
