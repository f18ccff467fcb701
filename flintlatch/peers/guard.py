"""Replay protection: accepts datagrams only from senders that have proven to be running now.

No I/O, no clock. A datagram is sealed with the fleet's key, so its sender had the key at some time, but the
datagram may be a replay of any age. Each start of a member draws a random `run_id` and numbers its datagrams.
A run is trusted once it has echoed a number that this member drew itself, in the response to a probe or in an
exchange of whole views. From then on each of its datagram numbers is accepted once, by a sliding window like
that of IPsec (RFC 4303, section 3.4.3).

The same responses relate the clocks of two members: each datagram carries its sender's clock, and the
response to a probe sent at time T was sent no earlier than T. The best such pair gives, for each later
timestamp of that sender, a local time no later than the sending, however long the datagram was buffered on
its way.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from flintlatch.peers.words import HOP_TTL_FACTOR

REPLAY_WINDOW = 1024  # numbers behind the highest that are still accepted, for datagrams that were reordered
MAX_PROBE_TIMES = 512  # probes remembered: the direct and relayed ones of some seconds
MAX_SENDERS = 8192  # runs remembered: twice the largest number of members, to allow for restarts


class Trust(Enum):
    VERIFIED = "proven"
    UNVERIFIED = "unknown"  # gets a response and is probed; its content is ignored
    REPLAY = "replay"  # dropped


@dataclass(slots=True)
class SenderState:
    highest: int
    received_bits: int  # bit n is set if number `highest - n` was received
    remote_time: float = 0.0  # a timestamp of the sender's clock ...
    local_time: float = 0.0  # ... and a local time no later than that

    def accept_number(self, number: int) -> bool:
        """Whether this number is received for the first time and lies within the window."""
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

    def earliest_send_time(self, timestamp: float) -> float:
        """A local time no later than `timestamp` of the sender, if both clock rates are within
        MAX_CLOCK_DRIFT."""
        ahead = timestamp - self.remote_time
        return self.local_time + (ahead * HOP_TTL_FACTOR if ahead >= 0 else ahead / HOP_TTL_FACTOR)

    def bind_clock(self, timestamp: float, probed_at: float) -> None:
        if not self.local_time or probed_at > self.earliest_send_time(timestamp):
            self.remote_time, self.local_time = timestamp, probed_at


class ReplayGuard:
    def __init__(self) -> None:
        self.senders: OrderedDict[int, SenderState] = OrderedDict()  # by run id
        # By probe number: when the probe was first sent.
        self.probe_times: OrderedDict[int, float] = OrderedDict()
        self.replays = self.unverified = 0

    def record_probe(self, number: int, now: float) -> None:
        self.probe_times.setdefault(number, now)
        while len(self.probe_times) > MAX_PROBE_TIMES:
            self.probe_times.popitem(last=False)

    def mark_verified(self, run_id: int, number: int, timestamp: float, probed_at: float) -> None:
        """The sender responded, on its own stream, to what was sent at `probed_at`. Its datagram numbers
        continue from `number`."""
        sender = self.senders.get(run_id)
        if sender is None:
            sender = self.senders[run_id] = SenderState(number, 1)
            while len(self.senders) > MAX_SENDERS:
                self.senders.popitem(last=False)
        sender.bind_clock(timestamp, probed_at)
        self.senders.move_to_end(run_id)

    def verify(
        self, run_id: int, number: int, timestamp: float, response_to: int | None
    ) -> tuple[Trust, float]:
        """Checks a datagram and returns a local time no later than its sending.

        `response_to`: the number of the probe that the datagram responds to, if any."""
        probed_at = self.probe_times.get(response_to) if response_to is not None else None
        sender = self.senders.get(run_id)
        if sender is None and probed_at is None:
            self.unverified += 1
            return Trust.UNVERIFIED, 0.0
        if sender is not None and not sender.accept_number(number):
            self.replays += 1
            return Trust.REPLAY, 0.0
        if probed_at is not None:
            self.mark_verified(run_id, number, timestamp, probed_at)
        sender = self.senders[run_id]
        return Trust.VERIFIED, sender.earliest_send_time(timestamp)

    def clear(self) -> None:
        self.senders.clear()
        self.probe_times.clear()
