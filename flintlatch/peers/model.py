"""What members say of members: records, their order, messages. No I/O, no clock.

After SWIM (Das, Gupta, Motivala: SWIM, DSN 2002, sections 4.2 and 4.3) and Lifeguard (Dadgar, Phillips,
Currey: Lifeguard, DSN-W 2018). Times are seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from math import log10
from typing import Any, NamedTuple, Protocol, TypeAlias

from rpds import HashTrieMap

MAX_INCARNATION = 2**31  # a record at or beyond it is no record: nobody could refute it
MAX_NAME_CHARS, MAX_ADDRESS_CHARS, MAX_ZONE_CHARS = 64, 64, 32  # characters
MAX_INSTANCES = 10_000  # of one fleet


class RandomSource(Protocol):
    """What a core needs of `random.Random`: it is given one, seeded or not."""

    def random(self) -> float: ...
    def uniform(self, a: float, b: float) -> float: ...
    def choice(self, seq: Sequence[Any]) -> Any: ...
    def sample(self, population: Sequence[Any], k: int) -> list[Any]: ...
    def shuffle(self, x: list[Any]) -> None: ...


class State(IntEnum):
    """Of two words of one incarnation the higher state counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(NamedTuple):
    """What is said of one member. Only the member itself raises its incarnation."""

    name: str
    address: str  # host:port that it advertises
    incarnation: int
    state: State
    run_id: int  # drawn anew at each start: two processes under one name differ in it
    instances: int = 1
    zone: str = ""
    region: str = ""
    reporter: str = ""  # who suspects it: independent voices shorten the wait

    def supersedes(self, other: Record | None) -> bool:
        """Whether it replaces what is known. The same words in any order lead to the same record."""
        if other is None:
            return True
        return (self.incarnation, self.state, self.run_id) > (other.incarnation, other.state, other.run_id)

    def encoded_bytes(self) -> int:
        """Bytes that it takes in a datagram, at the most."""
        texts = (self.name, self.address, self.zone, self.region, self.reporter)
        return 32 + sum(len(text.encode()) + 2 for text in texts)


class Malformed(Exception):
    """A record that nobody can have meant: which field, what came, what was expected."""


def check_record(record: Record) -> None:
    """Raises Malformed."""
    for field, value, most in (
        ("name", record.name, MAX_NAME_CHARS),
        ("address", record.address, MAX_ADDRESS_CHARS),
        ("zone", record.zone, MAX_ZONE_CHARS),
        ("region", record.region, MAX_ZONE_CHARS),
        ("reporter", record.reporter, MAX_NAME_CHARS),
    ):
        least = 1 if field in ("name", "address") else 0
        if not least <= len(value) <= most:
            raise Malformed(f"{field}: {len(value)} characters, expected {least} to {most}")
    if not 0 <= record.incarnation < MAX_INCARNATION:
        raise Malformed(f"incarnation: {record.incarnation}, expected 0 to {MAX_INCARNATION - 1}")
    if not 0 <= record.instances <= MAX_INSTANCES:
        raise Malformed(f"instances: {record.instances}, expected 0 to {MAX_INSTANCES}")


class Kind(IntEnum):
    PING = 0
    ACK = 1
    PING_REQ = 2  # probe `target` for me
    NACK = 3  # I have asked, and it has not answered me either
    GOSSIP = 4  # nothing but words that are new: no answer is due


class Message(NamedTuple):
    kind: Kind
    number: int  # of the probe, as its first sender counts
    target: str  # name of who is probed
    gossip: tuple[Record, ...] = ()


def log_scale(members: int) -> float:
    """The decimal logarithm of the number of members, at least one: what grows with a fleet grows by it."""
    return max(1.0, log10(max(members, 1)))


View: TypeAlias = "HashTrieMap[str, Record]"  # whole and immutable: a reader holds one version of it


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in seconds."""

    period_s: float = 1.0  # between two probes of one member
    ack_s: float = 0.3  # a direct probe's answer is waited for so long before others are asked
    helpers: int = 3  # members asked to probe for us
    suspicion: float = 4.0  # least time under suspicion, in periods, times the tenfolds of members
    suspicion_max_factor: float = 6.0  # the longest, with nobody else suspecting, as a multiple of the least
    confirmations: int = 3  # independent accusers after which the least time holds
    retransmit: int = 4  # each word is passed on so many times, times the tenfolds of members
    max_gossip_records: int = 12  # records in one datagram
    max_gossip_bytes: int = 800  # that they may take: of 1,400 the rest is for words, head and seal
    max_health: int = 8  # steps by which a member that doubts itself slows down
    sync_s: float = 20.0  # between two whole exchanges with some member
    forget_s: float = 120.0  # the dead and those who left are kept for so long
    max_members: int = 4096  # names beyond it are not taken up
    max_incarnation_step: int = 1000  # incarnations by which one word may go beyond what is known

    def __post_init__(self) -> None:
        if not 0 < self.ack_s < self.period_s:
            raise ValueError(f"ack_s is {self.ack_s}, expected above 0 and below period_s ({self.period_s})")
        for name in (
            "helpers",
            "confirmations",
            "retransmit",
            "max_gossip_records",
            "max_members",
            "max_incarnation_step",
        ):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} is {getattr(self, name)}, expected at least 1")
        if not (self.suspicion > 0 and self.suspicion_max_factor >= 1 and self.sync_s > 0):
            raise ValueError("suspicion and sync_s are expected above 0, suspicion_most at least 1")
        if self.forget_s <= 2 * self.sync_s:
            raise ValueError("forget_s is expected above twice sync_s: a late word would bring back the dead")
