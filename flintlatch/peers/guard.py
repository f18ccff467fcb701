"""Whose datagrams are believed: members that have shown that they live now. No I/O, no clock.

A datagram is sealed by the fleet's key, so its sender had that key once; it may still be a replay, of a
second ago or of yesterday. Each start of a member draws a `life`, and numbers what it sends. A life counts
once it has echoed a number that we drew ourselves (the answer to a probe of ours, or an exchange of whole
views); from then on each of its numbers is taken once, in a window like that of IPsec (RFC 4303, section
3.4.3).

The same answers bind clocks: what a member sends says its own clock, and an answer to a question that we
asked at T was sent no earlier than T. From the best such pair follows a moment of our clock no later than the
sending of anything that it stamps, however long that then lies in a buffer.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from flintlatch.peers.words import SHRINK

WINDOW = 1024  # numbers behind the highest that may still come: reordering on a link, not a replay
ASKED_MOST = 512  # questions remembered: probes and helpers' probes of some seconds
LIVES_MOST = 8192  # lives known: twice the most members, restarts included


class Trust(Enum):
    PROVEN = "proven"
    UNKNOWN = "unknown"  # answered and asked back; what it tells is not believed
    REPLAY = "replay"  # dropped


@dataclass(slots=True)
class Life:
    highest: int
    seen: int  # bit n: highest - n has come
    theirs: float = 0.0  # a stamp of its clock ...
    ours: float = 0.0  # ... and a moment of ours no later than that

    def accept_number(self, number: int) -> bool:
        """Whether this number comes for the first time, and not from too far back."""
        ahead = number - self.highest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = number
            return True
        if -ahead >= WINDOW or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True

    def sent(self, stamp: float) -> float:
        """A moment of our clock no later than that of its stamp, for clocks whose rates are within DRIFT."""
        ahead = stamp - self.theirs
        return self.ours + (ahead * SHRINK if ahead >= 0 else ahead / SHRINK)

    def bind(self, stamp: float, asked: float) -> None:
        if not self.ours or asked > self.sent(stamp):
            self.theirs, self.ours = stamp, asked


class Guard:
    def __init__(self) -> None:
        self.senders: OrderedDict[int, Life] = OrderedDict()
        self.asked: OrderedDict[int, float] = (
            OrderedDict()
        )  # numbers of questions: when they were first asked
        self.replays = self.unverified = 0

    def ask(self, number: int, now: float) -> None:
        self.asked.setdefault(number, now)
        while len(self.asked) > ASKED_MOST:
            self.asked.popitem(last=False)

    def mark_verified(self, run_id: int, number: int, stamp: float, asked: float) -> None:
        """It answered, on a stream of its own, what we asked at `asked`. Numbers go on from `number`."""
        known = self.senders.get(run_id)
        if known is None:
            known = self.senders[run_id] = Life(number, 1)
            while len(self.senders) > LIVES_MOST:
                self.senders.popitem(last=False)
        known.bind(stamp, asked)
        self.senders.move_to_end(run_id)

    def hear(self, run_id: int, number: int, stamp: float, answer: int | None) -> tuple[Trust, float]:
        """A datagram, and a moment of our clock no later than its sending. `answer`: the number of the
        question that it answers, if it does."""
        asked = self.asked.get(answer) if answer is not None else None
        known = self.senders.get(run_id)
        if known is None and asked is None:
            self.unverified += 1
            return Trust.UNKNOWN, 0.0
        if known is not None and not known.accept_number(number):
            self.replays += 1
            return Trust.REPLAY, 0.0
        if asked is not None:
            self.mark_verified(run_id, number, stamp, asked)
        known = self.senders[run_id]
        return Trust.PROVEN, known.sent(stamp)

    def forget(self) -> None:
        self.senders.clear()
        self.asked.clear()
