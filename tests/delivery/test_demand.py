"""Requests for objects that are not followed: they wait within their deadline, and are answered once."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from flintlatch.delivery import demand
from flintlatch.delivery.demand import (
    ABSENT_TTL_S,
    MAX_WAITING,
    Answer,
    Follow,
    LookupResult,
    OnDemandFollows,
    Unfollow,
)


def test_a_request_waits_for_its_object_and_is_answered_once() -> None:
    one = OnDemandFollows(10)
    assert one.look_up(0.0, "q1", "a", 3.0) is LookupResult.WAITING
    assert one.look_up(0.1, "q2", "a", 3.0) is LookupResult.WAITING
    assert one.take_actions() == [Follow("a")]
    one.on_arrived("a")
    assert one.take_actions() == [Answer("q1", True), Answer("q2", True)]
    one.on_arrived("a")
    one.tick(5.0)
    assert one.take_actions() == [] and one.waiting_count == 0 and not one.waiting
    assert one.look_up(5.0, "q3", "a", 8.0) is LookupResult.HELD


def test_a_request_whose_time_is_over_is_answered_plainly() -> None:
    one = OnDemandFollows(10)
    one.look_up(0.0, "q1", "a", 1.0)
    one.look_up(0.0, "q2", "a", 2.0)
    one.take_actions()
    one.tick(0.99)
    assert one.take_actions() == []
    one.tick(1.0)
    assert one.take_actions() == [Answer("q1", False)]
    one.on_arrived("a")
    assert one.take_actions() == [Answer("q2", True)]


def test_a_name_that_is_none_costs_one_message_in_five_seconds() -> None:
    one = OnDemandFollows(10)
    messages = []
    for n in range(1000):
        now = n * 0.01
        verdict = one.look_up(now, f"q{n}", "none", now + 1)
        messages += [a for a in one.take_actions() if isinstance(a, Follow)]
        if verdict is LookupResult.WAITING:
            one.on_absent(now, "none")
            assert one.take_actions() == [Unfollow("none"), Answer(f"q{n}", False)]
        else:
            assert verdict is LookupResult.ABSENT
    assert len(messages) == round(10 / ABSENT_TTL_S)


def test_names_that_are_none_are_remembered_within_a_bound() -> None:
    one = OnDemandFollows(10)
    for n in range(100):
        one.look_up(0.0, "q", f"none{n}", 1.0)
        one.on_absent(0.0, f"none{n}")
    assert len(one.absent_since) == 10 and not one.last_used_at and one.waiting_count == 0


def test_a_name_that_was_none_is_there_once_it_arrives() -> None:
    one = OnDemandFollows(10, permanent=("mine",))
    one.look_up(0.0, "q1", "a", 1.0)
    one.on_absent(0.0, "a")
    one.on_absent(0.0, "mine")
    assert one.look_up(0.1, "q2", "a", 1.0) is LookupResult.ABSENT
    assert one.look_up(0.1, "q3", "mine", 1.0) is LookupResult.ABSENT
    one.on_arrived("mine")
    assert one.look_up(0.2, "q4", "mine", 1.0) is LookupResult.HELD


def test_a_name_that_is_always_followed_and_is_none_is_answered_at_once_however_late() -> None:
    """It is not asked for anew: nothing would answer who waits."""
    one = OnDemandFollows(10, permanent=("mine",))
    assert one.look_up(0.0, "q1", "mine", 1.0) is LookupResult.WAITING
    assert one.take_actions() == []
    one.on_absent(0.5, "mine")
    assert one.take_actions() == [Answer("q1", False)]
    assert one.look_up(100.0, "q2", "mine", 101.0) is LookupResult.ABSENT


def test_an_object_that_nobody_asks_for_is_followed_no_more() -> None:
    one = OnDemandFollows(10, permanent=("mine",), idle_timeout_s=60.0)
    for name in ("a", "b", "mine"):
        one.look_up(0.0, "q", name, 1.0)
        one.on_arrived(name)
    one.take_actions()
    one.look_up(30.0, "q", "a", 31.0)
    one.tick(59.9)
    assert one.take_actions() == []
    one.tick(60.0)
    assert one.take_actions() == [Unfollow("b")]
    one.tick(90.0)
    assert one.take_actions() == [Unfollow("a")] and one.held == {"mine"}
    assert one.look_up(91.0, "q", "a", 92.0) is LookupResult.WAITING
    assert one.take_actions() == [Follow("a")]


def test_the_one_used_longest_ago_makes_room() -> None:
    one = OnDemandFollows(2)
    for now, name in enumerate(("a", "b")):
        one.look_up(now, "q", name, now + 1)
        one.on_arrived(name)
    one.look_up(2.0, "q", "a", 3.0)
    one.take_actions()
    assert one.look_up(3.0, "q", "c", 4.0) is LookupResult.WAITING
    assert one.take_actions() == [Unfollow("b"), Follow("c")]


def test_one_that_waits_keeps_no_other_from_making_room() -> None:
    one = OnDemandFollows(2)
    one.look_up(0.0, "q1", "slow", 9.0)
    one.look_up(1.0, "q2", "b", 2.0)
    one.on_arrived("b")
    one.take_actions()
    assert one.look_up(2.0, "q3", "c", 4.0) is LookupResult.WAITING
    assert one.take_actions() == [Unfollow("b"), Follow("c")]
    assert one.look_up(2.0, "q4", "d", 4.0) is LookupResult.FULL
    assert one.take_actions() == [] and one.waiting_count == 2


def test_so_many_requests_wait_and_no_more() -> None:
    one = OnDemandFollows(10_000)
    for n in range(MAX_WAITING):
        assert one.look_up(0.0, f"q{n}", f"n{n % 7}", 1.0) is LookupResult.WAITING
    assert one.look_up(0.0, "one more", "n0", 1.0) is LookupResult.FULL
    one.cancel("q0", "n0")
    assert one.look_up(0.0, "one more", "n0", 1.0) is LookupResult.WAITING
    one.take_actions()
    one.tick(1.0)
    answers = one.take_actions()
    assert len(answers) == MAX_WAITING and one.waiting_count == 0 and not one.waiting


def test_a_request_whose_client_has_gone_is_not_answered() -> None:
    one = OnDemandFollows(10)
    one.look_up(0.0, "q1", "a", 1.0)
    one.look_up(0.0, "q2", "a", 1.0)
    one.cancel("q1", "a")
    one.cancel("q1", "a")
    one.cancel("q3", "b")
    one.take_actions()
    one.on_arrived("a")
    assert one.take_actions() == [Answer("q2", True)] and one.waiting_count == 0


def test_a_request_that_asks_twice_is_one() -> None:
    one = OnDemandFollows(10)
    one.look_up(0.0, "q", "a", 1.0)
    one.look_up(0.0, "q", "a", 2.0)
    one.take_actions()
    one.tick(1.5)
    assert one.take_actions() == []
    one.on_arrived("a")
    assert one.take_actions() == [Answer("q", True)] and one.waiting_count == 0


steps = st.lists(
    st.tuples(
        st.sampled_from(("ask", "ask", "ask", "arrived", "gone", "cancel", "tick")),
        st.sampled_from("abcdef"),
        st.sampled_from((0.0, 0.0, 0.3, 2.0, 6.0)),
        st.floats(0.1, 5.0),
    ),
    max_size=60,
)


@given(steps, st.integers(1, 4))
@settings(max_examples=200, deadline=None, derandomize=True, print_blob=True)
def test_each_request_that_waits_gets_exactly_one_answer_in_time(
    plan: list[tuple[str, str, float, float]], most: int
) -> None:
    one, now = OnDemandFollows(most, permanent=("a",), idle_timeout_s=10.0), 0.0
    waiting: dict[str, tuple[str, float]] = {}
    answers: Counter[str] = Counter()
    followed: set[str] = {"a"}

    def look() -> None:
        for action in one.take_actions():
            if isinstance(action, Answer):
                answers[action.request] += 1
                del waiting[action.request]
            elif isinstance(action, Follow):
                assert action.name not in followed
                followed.add(action.name)
            else:
                followed.remove(action.name)
        assert one.waiting_count == len(waiting) <= demand.MAX_WAITING
        assert (
            set(one.last_used_at) | {"a"} == followed
            and len(one.last_used_at) <= most
            and len(one.absent_since) <= most
        )
        assert one.held <= followed
        assert {name for name, _ in waiting.values()} <= followed, "nothing will answer it"

    for n, (what, name, wait, patience) in enumerate(plan):
        now += wait
        if what == "ask":
            if one.look_up(now, f"q{n}", name, now + patience) is LookupResult.WAITING:
                waiting[f"q{n}"] = (name, now + patience)
        elif what == "arrived" and name in followed:
            one.on_arrived(name)
        elif what == "gone" and name in followed:
            one.on_absent(now, name)
        elif what == "cancel" and waiting:
            request = next(iter(waiting))
            one.cancel(request, waiting.pop(request)[0])
        elif what == "tick":
            one.tick(now)
            look()
            assert all(deadline > now for _, deadline in waiting.values())
        look()
    one.tick(now + 5.0)
    look()
    assert not waiting and all(count == 1 for count in answers.values())
