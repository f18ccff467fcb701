"""Leader election, the distribution of a limit, and the limits that an instance applies."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import copy
from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.api import LimitAllocation, Refuse, TierMembership
from flintlatch.fleet.heard import ReceivedEntries
from flintlatch.lab.explore import InvariantViolation, explore, random_walks
from flintlatch.limits.api import (
    Leadership,
    LeaseLedger,
    LeaseSettings,
    Lessor,
    Limit,
    Malformed,
    PartitionPolicy,
    Vote,
    max_min_fair,
    term_validity_s,
)
from flintlatch.limits.model import (
    Lease,
    LeaseRequest,
    LeaseVersion,
    read_lease,
    read_lease_request,
    read_vote,
    write_lease,
    write_lease_request,
)
from tests.support import Driver, actions_of, server_entries
from tests.support import settings as module_settings

SETTINGS = LeaseSettings(("a", "b", "c"), 3, term_s=2.0)
NAMES = SETTINGS.voters
LONG_AGO_S = -10.0  # a start at this time is far enough in the past for a vote at time 0


@dataclass(frozen=True)
class World:
    """Three voters: the last vote of each with its expiry, the votes that each has received, and the voters
    that each believes to be alive."""

    now: float
    voters: tuple[Leadership, ...]
    votes: tuple[tuple[Vote, float] | None, ...]
    received: tuple[tuple[tuple[Vote, float] | None, ...], ...]  # by receiver
    alive: tuple[frozenset[str], ...]
    leader_until: tuple[float, ...]  # until when each considers itself the leader
    faults: int


def replaced_at(items: tuple, index: int, item: object) -> tuple:  # type: ignore[type-arg]
    return (*items[:index], item, *items[index + 1 :])


def start(faults: int) -> World:
    voters = tuple(Leadership(name, SETTINGS, LONG_AGO_S) for name in NAMES)
    none = (None, None, None)
    return World(0.0, voters, none, (none,) * 3, (frozenset(NAMES),) * 3, (0.0,) * 3, faults)


def voter_step(world: World, n: int) -> World:
    leadership = copy(world.voters[n])
    vote = leadership.vote(world.now, world.alive[n].__contains__)
    published, received = world.votes, world.received
    if vote is not None:
        published = replaced_at(published, n, (vote, world.now + SETTINGS.term_s))
        received = replaced_at(received, n, replaced_at(received[n], n, published[n]))
    votes = {
        NAMES[m]: vote_entry
        for m, vote_entry in enumerate(received[n])
        if vote_entry is not None and vote_entry[1] > world.now
    }
    is_leader = leadership.update(world.now, votes)
    leader_until = replaced_at(world.leader_until, n, leadership.leader_until if is_leader else 0.0)
    return replace(
        world,
        voters=replaced_at(world.voters, n, leadership),
        votes=published,
        received=received,
        leader_until=leader_until,
    )


def steps(world: World) -> Iterator[tuple[str, World]]:
    if world.now < 12:
        yield "time", replace(world, now=world.now + 0.9)
    for n, name in enumerate(NAMES):
        yield f"{name} acts", voter_step(world, n)
        for m, other in enumerate(NAMES):
            vote_entry = world.votes[m]
            if (
                m != n
                and vote_entry is not None
                and vote_entry[1] > world.now
                and vote_entry != world.received[n][m]
            ):
                leadership = copy(world.voters[n])
                leadership.observe(vote_entry[0])
                received = replaced_at(world.received, n, replaced_at(world.received[n], m, vote_entry))
                yield (
                    f"{name} receives {other}",
                    voter_step(
                        replace(world, voters=replaced_at(world.voters, n, leadership), received=received), n
                    ),
                )
    if world.faults:
        after_fault = replace(world, faults=world.faults - 1)
        for n, name in enumerate(NAMES):
            for other in NAMES:
                alive = world.alive[n] - {other} if other in world.alive[n] else world.alive[n] | {other}
                yield (
                    f"{name} changes its view of {other}",
                    replace(after_fault, alive=replaced_at(world.alive, n, alive)),
                )
            fresh = Leadership(name, SETTINGS, world.now)
            none_received = replaced_at(world.received, n, (None, None, None))
            yield (
                f"{name} restarts",
                replace(
                    after_fault,
                    voters=replaced_at(world.voters, n, fresh),
                    received=none_received,
                    leader_until=replaced_at(world.leader_until, n, 0.0),
                ),
            )


def state_key(world: World) -> Hashable:
    now = world.now

    def leadership(s: Leadership) -> Hashable:
        is_leader = s.leader_since is not None
        return (
            s.voted_for,
            max(s.may_switch_at - now, 0),
            s.highest_term,
            s.term,
            is_leader,
            max(s.leader_until - now, 0),
        )

    def live(vote_entry: tuple[Vote, float] | None) -> Hashable:
        return None if vote_entry is None or vote_entry[1] <= now else (vote_entry[0], vote_entry[1] - now)

    return (
        now,
        tuple(map(leadership, world.voters)),
        tuple(map(live, world.votes)),
        tuple(live(vote_entry) for row in world.received for vote_entry in row),
        world.alive,
        tuple(max(until - now, 0) for until in world.leader_until),
        world.faults,
    )


def invariant_violation(world: World) -> str:
    leaders = [name for name, until in zip(NAMES, world.leader_until, strict=True) if until > world.now]
    return f"{' and '.join(leaders)} are leaders at {world.now:g}" if len(leaders) > 1 else ""


def test_no_order_of_votes_elects_two_leaders_at_once() -> None:
    found = explore(start(2), steps, state_key, invariant_violation, 5)
    print(found)
    assert found.states > 1000
    for seed in range(4):
        random_walks(start(5), steps, invariant_violation, seed, 150, 80)


@pytest.mark.parametrize(
    "mutation", ["switches its vote at once", "votes at once after a restart", "no majority"]
)
def test_a_mutation_of_the_election_is_found(mutation: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if mutation == "switches its vote at once":
        original = Leadership.vote

        def vote(self: Leadership, now: float, is_alive: object) -> Vote | None:
            self.may_switch_at = 0.0
            return original(self, now, is_alive)  # type: ignore[arg-type]

        monkeypatch.setattr(Leadership, "vote", vote)
    elif mutation == "votes at once after a restart":
        original_init = Leadership.__init__
        monkeypatch.setattr(
            Leadership,
            "__init__",
            lambda self, me, settings, now: original_init(self, me, settings, LONG_AGO_S),
        )
    else:
        monkeypatch.setattr(Leadership, "majority", lambda self: 1)
    with pytest.raises(InvariantViolation):
        for seed in range(20):
            random_walks(start(5), steps, invariant_violation, seed, 300, 80)


def test_a_gap_in_the_votes_during_a_pause_ends_the_leadership() -> None:
    leadership = Leadership("a", SETTINGS, LONG_AGO_S)
    votes = {name: (Vote("a", 1), 2.0) for name in NAMES}
    assert (
        leadership.update(0.0, votes)
        and not leadership.predecessors_expired(1.0)
        and leadership.predecessors_expired(term_validity_s(SETTINGS))
    )
    first_term = leadership.term
    # After a pause of 50 s it receives the new votes before anything else.
    later_votes = {name: (Vote("a", 1), 52.0) for name in NAMES}
    assert (
        leadership.update(50.0, later_votes)
        and not leadership.predecessors_expired(50.0)
        and leadership.term > first_term
    )


demand_maps = st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 100), min_size=1)


@given(st.floats(0, 200), demand_maps, st.booleans())
@settings(max_examples=300, deadline=None)
def test_max_min_fair_stays_within_the_capacity_and_no_unmet_demand_gets_less_than_another(
    capacity: float, demands: dict[str, float], spread: bool
) -> None:
    allocated = max_min_fair(capacity, demands, spread)
    assert sum(allocated.values()) <= capacity + 1e-6
    for name, amount in allocated.items():
        if amount < demands[name] - 1e-6:  # an unmet demand gets as much as any other
            assert all(amount >= other - 1e-6 for other in allocated.values())
    if not spread:
        assert all(allocated[name] <= demands[name] + 1e-9 for name in demands)
    elif sum(demands.values()) >= capacity or spread:
        assert sum(allocated.values()) == pytest.approx(capacity, abs=1e-6)


def test_a_huge_claimed_demand_gets_no_more_than_its_fair_share() -> None:
    allocated = max_min_fair(100.0, {"c": 1e9, "a": 40.0, "b": 40.0})
    assert set(map(round, allocated.values())) == {33}


def test_an_open_limit_stays_within_its_factor_however_the_network_is_partitioned() -> None:
    limit = Limit("l", "", "", 100.0, 0.0, PartitionPolicy.OPEN, reserve=0.0)
    lessor = Lessor(limit, LeaseSettings((), 12, cut_factor=1.5))
    for sides in ([12], [6, 6], [4, 4, 4], [1] * 12, [7, 3, 1, 1]):
        assert sum(lessor.capacity(side, 12) for side in sides) <= 150.0 + 1e-9


def test_messages_survive_encoding_and_invalid_ones_are_rejected() -> None:
    request = LeaseRequest(1.5, "k", "o", LeaseVersion(2, 3), 4.0, 5.0, 6)
    assert read_lease_request(write_lease_request(request)) == request
    lease = Lease(3.0, LeaseVersion(1, 2), True)
    assert read_lease(write_lease(lease)) == lease
    for invalid in (b"", b"\xc0", write_lease(lease)[:-1], write_lease(lease._replace(amount=float("nan")))):
        with pytest.raises(Malformed):
            read_lease(invalid)
    with pytest.raises(Malformed):
        read_lease_request(write_lease_request(request._replace(demand=-1.0)))
    with pytest.raises(Malformed):
        read_vote(b"\x93\xa1a\x01\x02")


def test_a_lowered_grant_frees_capacity_only_once_it_is_acknowledged() -> None:
    ledger = LeaseLedger()
    amounts = ledger.distribute(0.0, 10.0, {"a": 10.0})
    ledger.record_grant("a", LeaseVersion(1, 1), amounts["a"], 2.0)
    amounts = ledger.distribute(0.1, 10.0, {"a": 0.0, "b": 10.0})
    assert amounts == {"a": 0.0, "b": 0.0}
    ledger.record_grant("a", LeaseVersion(1, 2), 0.0, 2.1)
    assert ledger.distribute(0.2, 10.0, {"a": 0.0, "b": 10.0})["b"] == 0.0
    ledger.acknowledge("a", LeaseVersion(1, 2))
    assert ledger.distribute(0.3, 10.0, {"a": 0.0, "b": 10.0})["b"] == pytest.approx(10.0)


LIMIT = LimitAllocation("l", -1, -1, 5.0, 1.0)


def make_instance(now: list[float], log: list[str] | None = None) -> ReceivedEntries:
    return ReceivedEntries(
        1, TierMembership(2, 1), (LIMIT,), lambda: now[0], (log if log is not None else []).append
    )


def test_an_instance_applies_an_allocation_until_it_expires_and_then_its_fallback() -> None:
    now, log = [0.0], list[str]()
    received = make_instance(now, log)
    assert received.pending_events(0) == [LIMIT]
    received.on_entry({"about": "proxies", "value": [9, 4], "until": 3.0})
    received.on_entry({"about": "limit", "limit": "l", "value": [50.0, 7.0, 1, 4], "until": 2.0})
    allocated = LIMIT._replace(per_s=50.0, burst=7.0)
    assert received.pending_events(0) == [allocated, TierMembership(9, 5)] and received.applied_leases == {
        "l": [1, 4]
    }
    assert received.pending_events(0) == []
    # The first call for a second decision module, started after a fault of the first.
    assert received.pending_events(1) == [allocated]
    now[0] = 2.0
    assert received.pending_events(1) == [LIMIT] and received.applied_leases == {"l": []}
    now[0] = 3.0
    assert received.pending_events(1) == [TierMembership(2, 1)] and len(log) == 1
    # This entry expired while it waited in a buffer.
    received.on_entry({"about": "limit", "limit": "l", "value": [50.0, 7.0, 1, 5], "until": 2.5})
    received.on_entry({"about": "limit", "limit": "unknown", "value": [], "until": 9.0})
    received.on_entry({"about": "weather", "value": "fine"})
    assert received.pending_events(1) == [] and len(log) == 1


def test_the_module_admits_no_more_than_its_allocation_and_sends_retry_after() -> None:
    driver = Driver(module_settings(retry_after=True, max_retry_after_ms=60_000.0), *server_entries(10))
    driver.step(LimitAllocation("l", 0, -1, 10.0, 2.0))
    admitted, waits, started_at = 0, [], driver.now
    for _ in range(500):  # 5 s at 100 a second
        request = driver.arrive()
        if request in driver.sends:
            admitted += 1
            driver.end(request, after=1.0)
        waits += [a.retry_after_ms for a in actions_of(Refuse, driver.last)]
        driver.tick(after=10.0)
    span_s = (driver.now - started_at) / 1000
    assert 10 * span_s - 2 <= admitted <= 10 * span_s + 2
    # Each wait lasts until the next whole token.
    assert len(waits) + admitted == 500 and all(0 < wait <= 100.0 for wait in waits)
    assert driver.balancer.buckets["l"].demand == 500
    driver.step(LimitAllocation("l", 0, -1, 0.0, 0.0))
    driver.tick_for(5000)
    assert driver.arrive() not in driver.sends  # no tokens are kept beyond the new burst
    driver.step(LimitAllocation("l", 0, 3, 0.0, 0.0))
    assert driver.arrive() in driver.sends  # the limit of another tenant does not apply
