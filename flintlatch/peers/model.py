"""Membership data types: records, their precedence, messages and settings. No I/O, no clock.

After SWIM (Das, Gupta, Motivala: SWIM, DSN 2002, sections 4.2 and 4.3) and Lifeguard (Dadgar, Phillips,
Currey: Lifeguard, DSN-W 2018). Times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from math import log10
from typing import Any, NamedTuple, Protocol, TypeAlias

from rpds import HashTrieMap

MAX_INCARNATION = 2**31  # exclusive: a member could not refute a record with a higher incarnation
MAX_NAME_CHARS, MAX_ADDRESS_CHARS, MAX_ZONE_CHARS = 64, 64, 32
MAX_INSTANCES = 10_000  # of one fleet


class RandomSource(Protocol):
    """The part of `random.Random` that the cores use; they are given a seeded or an unseeded one."""

    def random(self) -> float: ...
    def uniform(self, a: float, b: float) -> float: ...
    def choice(self, seq: Sequence[Any]) -> Any: ...
    def sample(self, population: Sequence[Any], k: int) -> list[Any]: ...
    def shuffle(self, x: list[Any]) -> None: ...


class State(IntEnum):
    """Of two records with the same incarnation the one with the higher state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(NamedTuple):
    """What is known of one member. Only the member itself raises its incarnation."""

    name: str
    address: str  # host:port that it advertises
    incarnation: int
    state: State
    run_id: int  # random, drawn at each start: distinguishes two processes with the same name
    instances: int = 1
    zone: str = ""
    region: str = ""
    reporter: str = ""  # the member that suspects it: independent reporters shorten the suspicion timeout

    def supersedes(self, other: Record | None) -> bool:
        """Whether this record replaces `other`. The same records in any order leave the same one in place."""
        if other is None:
            return True
        return (self.incarnation, self.state, self.run_id) > (other.incarnation, other.state, other.run_id)

    def encoded_bytes(self) -> int:
        """Upper bound on its size in a datagram."""
        texts = (self.name, self.address, self.zone, self.region, self.reporter)
        return 32 + sum(len(text.encode()) + 2 for text in texts)


class Malformed(Exception):
    """A record that no member can have sent intentionally. The text names the field, its value and the
    expected range."""


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
    PING_REQ = 2  # asks the receiver to probe `target` on the sender's behalf
    NACK = 3  # the relayed probe of `target` got no response
    GOSSIP = 4  # carries only new entries and needs no response


class Message(NamedTuple):
    kind: Kind
    number: int  # of the probe, as assigned by the member that started it
    target: str  # name of the probed member
    gossip: tuple[Record, ...] = ()


def log_scale(members: int) -> float:
    """The decimal logarithm of the number of members, at least 1: timeouts and retransmissions grow with
    it."""
    return max(1.0, log10(max(members, 1)))


View: TypeAlias = "HashTrieMap[str, Record]"  # immutable: a reader holds one complete version of it


@dataclass(frozen=True, slots=True)
class Rules:
    """Times are in seconds."""

    period_s: float = 1.0  # between two probes by one member
    ack_s: float = 0.3  # wait for the response to a direct probe before other members are asked to probe
    helpers: int = 3  # members asked for an indirect probe
    suspicion: float = 4.0  # shortest suspicion timeout, in periods, times the log scale of the members
    suspicion_max_factor: float = 6.0  # longest timeout, with one reporter, in multiples of the shortest
    confirmations: int = 3  # independent reporters after which the shortest timeout applies
    retransmit: int = 4  # times that each record is passed on, times the log scale of the members
    max_gossip_records: int = 12  # in one datagram
    max_gossip_bytes: int = 800  # of these records; the rest of 1,400 is for entries, header and seal
    max_health: int = 8  # steps by which a member slows down its probes when its own connectivity is in doubt
    sync_s: float = 20.0  # longest interval between two exchanges of whole views
    forget_s: float = 120.0  # for which records of dead members and of members that left are kept
    max_members: int = 4096  # records of further names are rejected
    max_incarnation_step: int = 1000  # by which one record may exceed the known incarnation

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
            raise ValueError(
                f"suspicion is {self.suspicion} and sync_s is {self.sync_s}, expected above 0; "
                f"suspicion_max_factor is {self.suspicion_max_factor}, expected at least 1"
            )
        if self.forget_s <= 2 * self.sync_s:
            raise ValueError(
                f"forget_s is {self.forget_s}, expected more than twice sync_s ({self.sync_s}): "
                "otherwise a late record could bring back a dead member"
            )
