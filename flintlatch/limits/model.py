"""Messages about limits that members exchange, and their encoding. No I/O, no clock. Times are in seconds.

The messages are soft-state entries of three topics, all PER_MEMBER (one entry from each member, the one with
the highest epoch stands):

    vote   subject "seat"            the candidate for lessor of the strict limits, and a term
    ask    subject LIMIT             the demand of a fleet, and the lease that all its instances have applied
    grant  subject HOLDER LIMIT      the allocation of a holder, published by a lessor
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from flintlatch.limits.rows import MAX_HOLDERS, MAX_LIMITS, LeaseSettings, Limit, PartitionPolicy
from flintlatch.peers import Merge, Topic
from flintlatch.peers.words import MAX_CLOCK_DRIFT

MAX_LEASES = MAX_LIMITS * MAX_HOLDERS  # lease entries of one lessor


def term_validity_s(settings: LeaseSettings) -> float:
    """The time after publication at which a vote or lease has expired by any clock, with a margin of 1 %."""
    return settings.term_s * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT) + 0.01 * settings.term_s


def max_admitted(
    limit: Limit, settings: LeaseSettings, window_s: float, instances: int, cut: bool = True
) -> float:
    """The stated bound on requests that all fleets admit in any window of `window_s`.

    `cut`: whether the network may be partitioned. The clock that a rate is applied by may be fast by
    MAX_CLOCK_DRIFT, and each instance may admit one whole request beyond its allocation of the burst."""
    factor = settings.cut_factor if cut and limit.when_cut is PartitionPolicy.OPEN else 1.0
    return factor * (limit.per_s * window_s * (1 + MAX_CLOCK_DRIFT) + limit.burst) + instances


def limit_topics(term_s: float) -> tuple[Topic, Topic, Topic]:
    """The topics of votes, lease requests and leases, which expire after `term_s`."""
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
            max_per_member=MAX_LEASES,
            max_entries=4 * MAX_LEASES,
            weight=4.0,
        ),
    )


class LeaseVersion(NamedTuple):
    """Identifies a lease: the lessor's term (higher for each new lessor) and a sequence number in that
    term."""

    term: int
    sequence: int


NO_VERSION = LeaseVersion(0, 0)


class Vote(NamedTuple):
    candidate: str
    term: int


class LeaseRequest(NamedTuple):
    demand: float  # per second
    lessor: str  # to which the request goes; one at a time
    lease_lessor: str  # that granted the current lease
    version: LeaseVersion  # of that lease; every larger allocation before it is no longer in use
    in_use: float  # per second: upper bound on what may still be used under any lease
    per_s: float = 0.0  # the whole limit, as the holder's configuration has it
    run_id: int = 0  # of the process: instances left by a predecessor process count as a separate holder


class Lease(NamedTuple):
    amount: float  # per second
    version: LeaseVersion
    carried_over: bool  # by a new lessor: the holder may use no more than it may use already


def holder_id(name: str, run_id: int) -> str:
    """The name of a lease holder: one process of one fleet."""
    return f"{name}/{run_id:x}"


class Malformed(Exception):
    """Bytes that are not a valid message of the expected kind."""


_encoder = msgspec.msgpack.Encoder()
_vote_decoder = msgspec.msgpack.Decoder(tuple[str, int])
_lease_request_decoder = msgspec.msgpack.Decoder(tuple[float, str, str, int, int, float, float, int])
_lease_decoder = msgspec.msgpack.Decoder(tuple[float, int, int, bool])
MAX_TERM = 2**48  # exclusive, also for sequences: no lessor could follow a higher term
MAX_AMOUNT = 1e9


def write_vote(vote: Vote) -> bytes:
    return _encoder.encode(tuple(vote))


def write_lease_request(request: LeaseRequest) -> bytes:
    return _encoder.encode(
        (
            request.demand,
            request.lessor,
            request.lease_lessor,
            *request.version,
            request.in_use,
            request.per_s,
            request.run_id,
        )
    )


def write_lease(lease: Lease) -> bytes:
    return _encoder.encode((lease.amount, *lease.version, lease.carried_over))


def _checked_amount(value: float) -> float:
    if not 0 <= value <= MAX_AMOUNT:
        raise Malformed(f"amount is {value}, expected 0 to {MAX_AMOUNT:g}")
    return value


def _checked_version(term: int, sequence: int) -> LeaseVersion:
    if not (0 <= term < MAX_TERM and 0 <= sequence < MAX_TERM):
        raise Malformed(f"lease version is {term}, {sequence}, expected two numbers from 0 to {MAX_TERM - 1}")
    return LeaseVersion(term, sequence)


def read_vote(value: bytes) -> Vote:
    """Raises Malformed, as do `read_lease_request` and `read_lease`."""
    try:
        candidate, term = _vote_decoder.decode(value)
    except msgspec.DecodeError as error:
        raise Malformed(str(error)) from None
    return Vote(candidate, _checked_version(term, 0).term)


def read_lease_request(value: bytes) -> LeaseRequest:
    try:
        demand, lessor, lease_lessor, term, sequence, in_use, per_s, run_id = _lease_request_decoder.decode(
            value
        )
    except msgspec.DecodeError as error:
        raise Malformed(str(error)) from None
    return LeaseRequest(
        _checked_amount(demand),
        lessor,
        lease_lessor,
        _checked_version(term, sequence),
        _checked_amount(in_use),
        _checked_amount(per_s),
        run_id,
    )


def read_lease(value: bytes) -> Lease:
    try:
        amount, term, sequence, carried_over = _lease_decoder.decode(value)
    except msgspec.DecodeError as error:
        raise Malformed(str(error)) from None
    return Lease(_checked_amount(amount), _checked_version(term, sequence), carried_over)
