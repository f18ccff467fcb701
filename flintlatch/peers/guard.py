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

from flintlatch.peers.words import HOP_TTL_FACTOR

REPLAY_WINDOW = 1024  # numbers behind the highest that may still come: reordering on a link, not a replay
MAX_PROBE_TIMES = 512  # questions remembered: probes and helpers' probes of some seconds
MAX_SENDERS = 8192  # lives known: twice the most members, restarts included


class Trust(Enum):
    VERIFIED = "proven"
    UNVERIFIED = "unknown"  # answered and asked back; what it tells is not believed
    REPLAY = "replay"  # dropped


@dataclass(slots=True)
class SenderState:
    highest: int
    received_bits: int  # bit n: highest - n has come
    remote_time: float = 0.0  # a stamp of its clock ...
    local_time: float = 0.0  # ... and a moment of ours no later than that

    def accept_number(self, number: int) -> bool:
        """Whether this number comes for the first time, and not from too far back."""
        ahead = number - self.highest
        if ahead > 0:
            self.received_bits = (
                ((self.received_bits << ahead) | 1) & ((1 << REPLAY_WINDOW) - 1)
                if ahead < REPLAY_WINDOW
                else 1
            )
            self.highest = number
            return True
        if -ahead >= REPLAY_WINDOW or self.received_bits >> -ahead & 1:
            return False
        self.received_bits |= 1 << -ahead
        return True

    def earliest_send_time(self, stamp: float) -> float:
        """A moment of our clock no later than that of its stamp, for clocks whose rates are within DRIFT."""
        ahead = stamp - self.remote_time
        return self.local_time + (ahead * HOP_TTL_FACTOR if ahead >= 0 else ahead / HOP_TTL_FACTOR)

    def bind_clock(self, stamp: float, asked: float) -> None:
        if not self.local_time or asked > self.earliest_send_time(stamp):
            self.remote_time, self.local_time = stamp, asked


class ReplayGuard:
    def __init__(self) -> None:
        self.senders: OrderedDict[int, SenderState] = OrderedDict()
        self.probe_times: OrderedDict[int, float] = (
            OrderedDict()
        )  # numbers of questions: when they were first asked
        self.replays = self.unverified = 0

    def record_probe(self, number: int, now: float) -> None:
        self.probe_times.setdefault(number, now)
        while len(self.probe_times) > MAX_PROBE_TIMES:
            self.probe_times.popitem(last=False)

    def mark_verified(self, run_id: int, number: int, stamp: float, asked: float) -> None:
        """It answered, on a stream of its own, what we asked at `asked`. Numbers go on from `number`."""
        known = self.senders.get(run_id)
        if known is None:
            known = self.senders[run_id] = SenderState(number, 1)
            while len(self.senders) > MAX_SENDERS:
                self.senders.popitem(last=False)
        known.bind_clock(stamp, asked)
        self.senders.move_to_end(run_id)

    def verify(self, run_id: int, number: int, stamp: float, answer: int | None) -> tuple[Trust, float]:
        """A datagram, and a moment of our clock no later than its sending. `answer`: the number of the
        question that it answers, if it does."""
        asked = self.probe_times.get(answer) if answer is not None else None
        known = self.senders.get(run_id)
        if known is None and asked is None:
            self.unverified += 1
            return Trust.UNVERIFIED, 0.0
        if known is not None and not known.accept_number(number):
            self.replays += 1
            return Trust.REPLAY, 0.0
        if asked is not None:
            self.mark_verified(run_id, number, stamp, asked)
        known = self.senders[run_id]
        return Trust.VERIFIED, known.earliest_send_time(stamp)

    def clear(self) -> None:
        self.senders.clear()
        self.probe_times.clear()
