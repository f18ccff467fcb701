"""What is limited, and what members tell each other of it. No I/O, no clock. Times are seconds.

Words of three topics, all EACH (one from each member, the later by its epoch):

    vote   subject "seat"            whom I hold for the keeper of the strict limits, with a number
    ask    subject LIMIT             what I need, and the grant that all of mine have come down to
    grant  subject HOLDER LIMIT      what you may use, said by a keeper
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from flintlatch.limits.rows import MAX_HOLDERS, MAX_LIMITS, LeaseSettings, Limit, PartitionPolicy
from flintlatch.peers import Merge, Topic
from flintlatch.peers.words import MAX_CLOCK_DRIFT

GRANTS_MOST = MAX_LIMITS * MAX_HOLDERS  # words of one keeper


def term_validity_s(terms: LeaseSettings) -> float:
    """When nobody believes a word of a term any more, counted on any clock since it was said."""
    return terms.term_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT) + 0.01 * terms.term_s


def max_admitted(
    limit: Limit, terms: LeaseSettings, window_s: float, instances: int, cut: bool = True
) -> float:
    """The stated bound: requests taken by all fleets in any window. A rate's clock may be fast by DRIFT; each
    instance may hold one whole request beyond its part of the burst."""
    factor = terms.cut_factor if cut and limit.when_cut is PartitionPolicy.OPEN else 1.0
    return factor * (limit.per_s * window_s * (1 + MAX_CLOCK_DRIFT) + limit.burst) + instances


def limit_topics(term_s: float) -> tuple[Topic, Topic, Topic]:
    return (
        Topic("vote", Merge.PER_MEMBER, term_s, max_per_member=1, max_entries=1024),
        Topic(
            "ask",
            Merge.PER_MEMBER,
            term_s,
            max_per_member=MAX_LIMITS,
            max_entries=MAX_LIMITS * MAX_HOLDERS,
            weight=2.0,
        ),
        Topic(
            "grant",
            Merge.PER_MEMBER,
            term_s,
            max_per_member=GRANTS_MOST,
            max_entries=4 * GRANTS_MOST,
            weight=4.0,
        ),
    )


class LeaseVersion(NamedTuple):
    """Which grant: the keeper's number (higher with each keeper) and, of its own, the place."""

    term: int
    place: int


NO_MARK = LeaseVersion(0, 0)


class Vote(NamedTuple):
    candidate: str
    term: int


class LeaseRequest(NamedTuple):
    demand: float  # a second
    lessor: str  # who is asked: one at a time
    lease_lessor: str  # whose grant is followed
    version: LeaseVersion  # of that grant; all that was larger before it is out of use
    in_use: float  # a second: the most that may still be in use by anybody's grant
    per_s: float = 0.0  # the whole limit, as the holder's configuration has it
    run_id: int = 0  # of the process: what one before it left in use is a holder of its own


class Lease(NamedTuple):
    amount: float  # a second
    version: LeaseVersion
    carried: bool  # by a new keeper: no more of it than the holder may use already


def holder_id(name: str, run_id: int) -> str:
    """A holder: one process of one fleet."""
    return f"{name}/{run_id:x}"


class Malformed(Exception):
    """Bytes that say nothing of the kind."""


_encoder = msgspec.msgpack.Encoder()
_vote = msgspec.msgpack.Decoder(tuple[str, int])
_ask = msgspec.msgpack.Decoder(tuple[float, str, str, int, int, float, float, int])
_grant = msgspec.msgpack.Decoder(tuple[float, int, int, bool])
MOST_NUMBER = 2**48  # a number at or beyond it is none: no keeper could come after it
MOST_AMOUNT = 1e9


def write_vote(vote: Vote) -> bytes:
    return _encoder.encode(tuple(vote))


def write_lease_request(ask: LeaseRequest) -> bytes:
    return _encoder.encode(
        (ask.demand, ask.lessor, ask.lease_lessor, *ask.version, ask.in_use, ask.per_s, ask.run_id)
    )


def write_lease(grant: Lease) -> bytes:
    return _encoder.encode((grant.amount, *grant.version, grant.carried))


def _amount(value: float) -> float:
    if not 0 <= value <= MOST_AMOUNT:
        raise Malformed(f"an amount of {value}, expected 0 to {MOST_AMOUNT:g}")
    return value


def _mark(term: int, place: int) -> LeaseVersion:
    if not (0 <= term < MOST_NUMBER and 0 <= place < MOST_NUMBER):
        raise Malformed(f"a mark of {term}, {place}")
    return LeaseVersion(term, place)


def read_vote(value: bytes) -> Vote:
    """Raises Malformed, as the next two do."""
    try:
        keeper, term = _vote.decode(value)
    except msgspec.DecodeError as error:
        raise Malformed(str(error)) from None
    return Vote(keeper, _mark(term, 0).term)


def read_lease_request(value: bytes) -> LeaseRequest:
    try:
        need, keeper, of, term, place, used, per_s, run_id = _ask.decode(value)
    except msgspec.DecodeError as error:
        raise Malformed(str(error)) from None
    return LeaseRequest(_amount(need), keeper, of, _mark(term, place), _amount(used), _amount(per_s), run_id)


def read_lease(value: bytes) -> Lease:
    try:
        amount, term, place, carried = _grant.decode(value)
    except msgspec.DecodeError as error:
        raise Malformed(str(error)) from None
    return Lease(_amount(amount), _mark(term, place), carried)
