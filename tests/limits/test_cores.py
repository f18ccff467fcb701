"""The seat, the dealing out, and what an instance goes by."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import copy
from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.api import LimitAllocation, Refuse, TierMembership
from flintlatch.fleet.heard import Heard
from flintlatch.lab.explore import InvariantViolation, explore, random_walks
from flintlatch.limits.api import Keeper, Limit, Malformed, Seat, Split, Terms, Vote, WhenCut, fair, over_s
from flintlatch.limits.model import Ask, Grant, Mark, read_ask, read_grant, read_vote, write_ask, write_grant
from tests.support import Driver, actions_of, server_entries
from tests.support import settings as module_settings

TERMS = Terms(("a", "b", "c"), 3, term_s=2.0)
NAMES = TERMS.voters


@dataclass(frozen=True)
class World:
    """Three voters; what each said last and until when; what each has heard of each; who is held to be
    there."""

    now: float
    seats: tuple[Seat, ...]
    said: tuple[tuple[Vote, float] | None, ...]
    heard: tuple[tuple[tuple[Vote, float] | None, ...], ...]  # by hearer
    there: tuple[frozenset[str], ...]
    held: tuple[float, ...]  # until when each may believe to have the seat, as it found last
    faults: int


def put(items: tuple, place: int, item: object) -> tuple:  # type: ignore[type-arg]
    return (*items[:place], item, *items[place + 1 :])


def start(faults: int) -> World:
    seats = tuple(Seat(name, TERMS, -10.0) for name in NAMES)
    none = (None, None, None)
    return World(0.0, seats, none, (none,) * 3, (frozenset(NAMES),) * 3, (0.0,) * 3, faults)


def act(world: World, n: int) -> World:
    seat = copy(world.seats[n])
    vote = seat.vote(world.now, world.there[n].__contains__)
    said, heard = world.said, world.heard
    if vote is not None:
        said = put(said, n, (vote, world.now + TERMS.term_s))
        heard = put(heard, n, put(heard[n], n, said[n]))
    votes = {NAMES[m]: one for m, one in enumerate(heard[n]) if one is not None and one[1] > world.now}
    has = seat.look(world.now, votes)
    held = put(world.held, n, seat.kept_until if has else 0.0)
    return replace(world, seats=put(world.seats, n, seat), said=said, heard=heard, held=held)


def steps(world: World) -> Iterator[tuple[str, World]]:
    if world.now < 12:
        yield "time", replace(world, now=world.now + 0.9)
    for n, name in enumerate(NAMES):
        yield f"{name} acts", act(world, n)
        for m, other in enumerate(NAMES):
            one = world.said[m]
            if m != n and one is not None and one[1] > world.now and one != world.heard[n][m]:
                seat = copy(world.seats[n])
                seat.hear(one[0])
                heard = put(world.heard, n, put(world.heard[n], m, one))
                yield (
                    f"{name} hears {other}",
                    act(replace(world, seats=put(world.seats, n, seat), heard=heard), n),
                )
    if world.faults:
        fewer = replace(world, faults=world.faults - 1)
        for n, name in enumerate(NAMES):
            for other in NAMES:
                gone = world.there[n] - {other} if other in world.there[n] else world.there[n] | {other}
                yield f"{name} turns its mind on {other}", replace(fewer, there=put(world.there, n, gone))
            fresh = Seat(name, TERMS, world.now)
            blank = put(world.heard, n, (None, None, None))
            yield (
                f"{name} restarts",
                replace(fewer, seats=put(world.seats, n, fresh), heard=blank, held=put(world.held, n, 0.0)),
            )


def key(world: World) -> Hashable:
    now = world.now

    def seat(s: Seat) -> Hashable:
        kept = s.kept_since is not None
        return s.named, max(s.free_at - now, 0), s.number, s.mine, kept, max(s.kept_until - now, 0)

    def live(one: tuple[Vote, float] | None) -> Hashable:
        return None if one is None or one[1] <= now else (one[0], one[1] - now)

    return (
        now,
        tuple(map(seat, world.seats)),
        tuple(map(live, world.said)),
        tuple(live(one) for row in world.heard for one in row),
        world.there,
        tuple(max(until - now, 0) for until in world.held),
        world.faults,
    )


def check(world: World) -> str:
    holders = [name for name, until in zip(NAMES, world.held, strict=True) if until > world.now]
    return f"{' and '.join(holders)} hold the seat at {world.now:g}" if len(holders) > 1 else ""


def test_no_order_of_votes_seats_two_at_once() -> None:
    found = explore(start(2), steps, key, check, 5)
    print(found)
    assert found.states > 1000
    for seed in range(4):
        random_walks(start(5), steps, check, seed, 150, 80)


@pytest.mark.parametrize("fault", ["names another at once", "votes after a restart", "no majority"])
def test_a_fault_in_the_seat_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if fault == "names another at once":
        plain = Seat.vote

        def vote(self: Seat, now: float, there: object) -> Vote | None:
            self.free_at = 0.0
            return plain(self, now, there)  # type: ignore[arg-type]

        monkeypatch.setattr(Seat, "vote", vote)
    elif fault == "votes after a restart":
        plain_init = Seat.__init__
        monkeypatch.setattr(Seat, "__init__", lambda self, me, terms, now: plain_init(self, me, terms, -10.0))
    else:
        monkeypatch.setattr(Seat, "majority", lambda self: 1)
    with pytest.raises(InvariantViolation):
        for seed in range(20):
            random_walks(start(5), steps, check, seed, 300, 80)


def test_a_break_that_the_keeper_slept_through_ends_its_seat() -> None:
    seat = Seat("a", TERMS, -10.0)
    votes = {name: (Vote("a", 1), 2.0) for name in NAMES}
    assert seat.look(0.0, votes) and not seat.settled(1.0) and seat.settled(over_s(TERMS))
    number = seat.mine
    again = {name: (Vote("a", 1), 52.0) for name in NAMES}  # it slept for 50 s, and hears new votes first
    assert seat.look(50.0, again) and not seat.settled(50.0) and seat.mine > number


needs = st.dictionaries(st.sampled_from("abcdef"), st.floats(0, 100), min_size=1)


@given(st.floats(0, 200), needs, st.booleans())
@settings(max_examples=300, deadline=None)
def test_the_fair_part_is_the_limit_at_most_and_nobody_lacks_while_another_has_more(
    capacity: float, asked: dict[str, float], spread: bool
) -> None:
    given_ = fair(capacity, asked, spread)
    assert sum(given_.values()) <= capacity + 1e-6
    for name, amount in given_.items():
        if amount < asked[name] - 1e-6:  # who lacks has as much as anybody
            assert all(amount >= other - 1e-6 for other in given_.values())
    if not spread:
        assert all(given_[name] <= asked[name] + 1e-9 for name in asked)
    elif sum(asked.values()) >= capacity or spread:
        assert sum(given_.values()) == pytest.approx(capacity, abs=1e-6)


def test_one_that_claims_huge_demand_gets_no_more_than_its_fair_part() -> None:
    given_ = fair(100.0, {"liar": 1e9, "a": 40.0, "b": 40.0})
    assert set(map(round, given_.values())) == {33}


def test_an_open_limit_s_parts_of_a_cut_stay_within_its_factor() -> None:
    limit = Limit("l", "", "", 100.0, 0.0, WhenCut.OPEN, reserve=0.0)
    keeper = Keeper(limit, Terms((), 12, cut_factor=1.5))
    for parts in ([12], [6, 6], [4, 4, 4], [1] * 12, [7, 3, 1, 1]):
        assert sum(keeper.capacity(part, 12) for part in parts) <= 150.0 + 1e-9


def test_words_of_limits_that_nobody_can_have_meant_are_refused() -> None:
    ask = Ask(1.5, "k", "o", Mark(2, 3), 4.0, 5.0, 6)
    assert read_ask(write_ask(ask)) == ask
    grant = Grant(3.0, Mark(1, 2), True)
    assert read_grant(write_grant(grant)) == grant
    for bad in (b"", b"\xc0", write_grant(grant)[:-1], write_grant(grant._replace(amount=float("nan")))):
        with pytest.raises(Malformed):
            read_grant(bad)
    with pytest.raises(Malformed):
        read_ask(write_ask(ask._replace(need=-1.0)))
    with pytest.raises(Malformed):
        read_vote(b"\x93\xa1a\x01\x02")


def test_what_is_lowered_is_free_only_once_it_is_answered_or_over() -> None:
    split = Split()
    told = split.deal(0.0, 10.0, {"a": 10.0})
    split.give("a", Mark(1, 1), told["a"], 2.0)
    told = split.deal(0.1, 10.0, {"a": 0.0, "b": 10.0})
    assert told == {"a": 0.0, "b": 0.0}
    split.give("a", Mark(1, 2), 0.0, 2.1)
    assert split.deal(0.2, 10.0, {"a": 0.0, "b": 10.0})["b"] == 0.0
    split.ack("a", Mark(1, 2))
    assert split.deal(0.3, 10.0, {"a": 0.0, "b": 10.0})["b"] == pytest.approx(10.0)


LIMIT = LimitAllocation("l", -1, -1, 5.0, 1.0)


def heard(now: list[float], said: list[str] | None = None) -> Heard:
    return Heard(1, TierMembership(2, 1), (LIMIT,), lambda: now[0], (said if said is not None else []).append)


def test_an_instance_goes_by_a_word_until_its_end_and_then_by_what_it_knows_alone() -> None:
    now, said = [0.0], list[str]()
    core = heard(now, said)
    assert core.due(0) == [LIMIT]
    core.on_word({"about": "proxies", "value": [9, 4], "until": 3.0})
    core.on_word({"about": "limit", "limit": "l", "value": [50.0, 7.0, 1, 4], "until": 2.0})
    lent = LIMIT._replace(per_s=50.0, burst=7.0)
    assert core.due(0) == [lent, TierMembership(9, 5)] and core.follows == {"l": [1, 4]}
    assert core.due(0) == []
    assert core.due(1) == [lent]  # a module that took over after a fault
    now[0] = 2.0
    assert core.due(1) == [LIMIT] and core.follows == {"l": []}
    now[0] = 3.0
    assert core.due(1) == [TierMembership(2, 1)] and len(said) == 1
    core.on_word(
        {"about": "limit", "limit": "l", "value": [50.0, 7.0, 1, 5], "until": 2.5}
    )  # old, from a buffer
    core.on_word({"about": "limit", "limit": "unknown", "value": [], "until": 9.0})
    core.on_word({"about": "weather", "value": "fine"})
    assert core.due(1) == [] and len(said) == 1


def test_the_module_takes_no_more_than_its_part_and_says_when_there_is_room() -> None:
    driver = Driver(module_settings(retry_after=True, max_retry_after_ms=60_000.0), *server_entries(10))
    driver.step(LimitAllocation("l", 0, -1, 10.0, 2.0))
    taken, waits, began = 0, [], driver.now
    for _ in range(500):  # 5 s at 100 a second
        request = driver.arrive()
        if request in driver.sends:
            taken += 1
            driver.end(request, after=1.0)
        waits += [a.retry_after_ms for a in actions_of(Refuse, driver.last)]
        driver.tick(after=10.0)
    span = (driver.now - began) / 1000
    assert 10 * span - 2 <= taken <= 10 * span + 2
    assert len(waits) + taken == 500 and all(0 < wait <= 100.0 for wait in waits)  # the next whole one
    assert driver.balancer.buckets["l"].demand == 500
    driver.step(LimitAllocation("l", 0, -1, 0.0, 0.0))
    driver.tick_for(5000)
    assert driver.arrive() not in driver.sends  # nothing is kept beyond the new burst
    driver.step(LimitAllocation("l", 0, 3, 0.0, 0.0))
    assert driver.arrive() in driver.sends  # another tenant's limit is none of this one's
