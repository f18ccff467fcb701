"""Requests for objects that are not followed: each waits until its deadline and is answered once."""

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
    follows = OnDemandFollows(10)
    assert follows.look_up(0.0, "q1", "a", 3.0) is LookupResult.WAITING
    assert follows.look_up(0.1, "q2", "a", 3.0) is LookupResult.WAITING
    assert follows.take_actions() == [Follow("a")]
    follows.on_arrived("a")
    assert follows.take_actions() == [Answer("q1", True), Answer("q2", True)]
    follows.on_arrived("a")
    follows.tick(5.0)
    assert follows.take_actions() == [] and follows.waiting_count == 0 and not follows.waiting
    assert follows.look_up(5.0, "q3", "a", 8.0) is LookupResult.HELD


def test_a_request_past_its_deadline_is_answered_as_not_found() -> None:
    follows = OnDemandFollows(10)
    follows.look_up(0.0, "q1", "a", 1.0)
    follows.look_up(0.0, "q2", "a", 2.0)
    follows.take_actions()
    follows.tick(0.99)
    assert follows.take_actions() == []
    follows.tick(1.0)
    assert follows.take_actions() == [Answer("q1", False)]
    follows.on_arrived("a")
    assert follows.take_actions() == [Answer("q2", True)]


def test_requests_for_an_unknown_name_cost_one_message_in_five_seconds() -> None:
    follows = OnDemandFollows(10)
    follows_sent = []
    for n in range(1000):
        now = n * 0.01
        result = follows.look_up(now, f"q{n}", "none", now + 1)
        follows_sent += [a for a in follows.take_actions() if isinstance(a, Follow)]
        if result is LookupResult.WAITING:
            follows.on_absent(now, "none")
            assert follows.take_actions() == [Unfollow("none"), Answer(f"q{n}", False)]
        else:
            assert result is LookupResult.ABSENT
    assert len(follows_sent) == round(10 / ABSENT_TTL_S)


def test_the_negative_cache_is_bounded() -> None:
    follows = OnDemandFollows(10)
    for n in range(100):
        follows.look_up(0.0, "q", f"none{n}", 1.0)
        follows.on_absent(0.0, f"none{n}")
    assert len(follows.absent_since) == 10 and not follows.last_used_at and follows.waiting_count == 0


def test_an_absent_permanent_name_is_held_once_it_arrives() -> None:
    follows = OnDemandFollows(10, permanent=("permanent",))
    follows.look_up(0.0, "q1", "a", 1.0)
    follows.on_absent(0.0, "a")
    follows.on_absent(0.0, "permanent")
    assert follows.look_up(0.1, "q2", "a", 1.0) is LookupResult.ABSENT
    assert follows.look_up(0.1, "q3", "permanent", 1.0) is LookupResult.ABSENT
    follows.on_arrived("permanent")
    assert follows.look_up(0.2, "q4", "permanent", 1.0) is LookupResult.HELD


def test_an_absent_permanent_name_is_answered_at_once_without_a_time_limit() -> None:
    """No new Follow is sent for a permanent name, so a waiting request would never be answered."""
    follows = OnDemandFollows(10, permanent=("permanent",))
    assert follows.look_up(0.0, "q1", "permanent", 1.0) is LookupResult.WAITING
    assert follows.take_actions() == []
    follows.on_absent(0.5, "permanent")
    assert follows.take_actions() == [Answer("q1", False)]
    assert follows.look_up(100.0, "q2", "permanent", 101.0) is LookupResult.ABSENT


def test_an_object_without_requests_is_unfollowed() -> None:
    follows = OnDemandFollows(10, permanent=("permanent",), idle_timeout_s=60.0)
    for name in ("a", "b", "permanent"):
        follows.look_up(0.0, "q", name, 1.0)
        follows.on_arrived(name)
    follows.take_actions()
    follows.look_up(30.0, "q", "a", 31.0)
    follows.tick(59.9)
    assert follows.take_actions() == []
    follows.tick(60.0)
    assert follows.take_actions() == [Unfollow("b")]
    follows.tick(90.0)
    assert follows.take_actions() == [Unfollow("a")] and follows.held == {"permanent"}
    assert follows.look_up(91.0, "q", "a", 92.0) is LookupResult.WAITING
    assert follows.take_actions() == [Follow("a")]


def test_the_least_recently_used_object_is_unfollowed_at_the_limit() -> None:
    follows = OnDemandFollows(2)
    for now, name in enumerate(("a", "b")):
        follows.look_up(now, "q", name, now + 1)
        follows.on_arrived(name)
    follows.look_up(2.0, "q", "a", 3.0)
    follows.take_actions()
    assert follows.look_up(3.0, "q", "c", 4.0) is LookupResult.WAITING
    assert follows.take_actions() == [Unfollow("b"), Follow("c")]


def test_an_object_with_waiting_requests_is_not_unfollowed_at_the_limit() -> None:
    follows = OnDemandFollows(2)
    follows.look_up(0.0, "q1", "slow", 9.0)
    follows.look_up(1.0, "q2", "b", 2.0)
    follows.on_arrived("b")
    follows.take_actions()
    assert follows.look_up(2.0, "q3", "c", 4.0) is LookupResult.WAITING
    assert follows.take_actions() == [Unfollow("b"), Follow("c")]
    assert follows.look_up(2.0, "q4", "d", 4.0) is LookupResult.FULL
    assert follows.take_actions() == [] and follows.waiting_count == 2


def test_the_number_of_waiting_requests_is_limited() -> None:
    follows = OnDemandFollows(10_000)
    for n in range(MAX_WAITING):
        assert follows.look_up(0.0, f"q{n}", f"n{n % 7}", 1.0) is LookupResult.WAITING
    assert follows.look_up(0.0, "one more", "n0", 1.0) is LookupResult.FULL
    follows.cancel("q0", "n0")
    assert follows.look_up(0.0, "one more", "n0", 1.0) is LookupResult.WAITING
    follows.take_actions()
    follows.tick(1.0)
    answers = follows.take_actions()
    assert len(answers) == MAX_WAITING and follows.waiting_count == 0 and not follows.waiting


def test_a_cancelled_request_is_not_answered() -> None:
    follows = OnDemandFollows(10)
    follows.look_up(0.0, "q1", "a", 1.0)
    follows.look_up(0.0, "q2", "a", 1.0)
    follows.cancel("q1", "a")
    follows.cancel("q1", "a")
    follows.cancel("q3", "b")
    follows.take_actions()
    follows.on_arrived("a")
    assert follows.take_actions() == [Answer("q2", True)] and follows.waiting_count == 0


def test_a_repeated_request_counts_once_with_the_later_deadline() -> None:
    follows = OnDemandFollows(10)
    follows.look_up(0.0, "q", "a", 1.0)
    follows.look_up(0.0, "q", "a", 2.0)
    follows.take_actions()
    follows.tick(1.5)
    assert follows.take_actions() == []
    follows.on_arrived("a")
    assert follows.take_actions() == [Answer("q", True)] and follows.waiting_count == 0


step_lists = st.lists(
    st.tuples(
        st.sampled_from(("look up", "look up", "look up", "arrived", "absent", "cancel", "tick")),
        st.sampled_from("abcdef"),
        st.sampled_from((0.0, 0.0, 0.3, 2.0, 6.0)),
        st.floats(0.1, 5.0),
    ),
    max_size=60,
)


@given(step_lists, st.integers(1, 4))
@settings(max_examples=200, deadline=None, derandomize=True, print_blob=True)
def test_each_waiting_request_gets_exactly_one_answer_in_time(
    plan: list[tuple[str, str, float, float]], max_names: int
) -> None:
    follows, now = OnDemandFollows(max_names, permanent=("a",), idle_timeout_s=10.0), 0.0
    waiting: dict[str, tuple[str, float]] = {}
    answers: Counter[str] = Counter()
    followed: set[str] = {"a"}

    def check() -> None:
        for action in follows.take_actions():
            if isinstance(action, Answer):
                answers[action.request] += 1
                del waiting[action.request]
            elif isinstance(action, Follow):
                assert action.name not in followed
                followed.add(action.name)
            else:
                followed.remove(action.name)
        assert follows.waiting_count == len(waiting) <= demand.MAX_WAITING
        assert (
            set(follows.last_used_at) | {"a"} == followed
            and len(follows.last_used_at) <= max_names
            and len(follows.absent_since) <= max_names
        )
        assert follows.held <= followed
        assert {name for name, _ in waiting.values()} <= followed, (
            "a request waits for an object that is not followed"
        )

    for n, (step, name, wait, timeout) in enumerate(plan):
        now += wait
        if step == "look up":
            if follows.look_up(now, f"q{n}", name, now + timeout) is LookupResult.WAITING:
                waiting[f"q{n}"] = (name, now + timeout)
        elif step == "arrived" and name in followed:
            follows.on_arrived(name)
        elif step == "absent" and name in followed:
            follows.on_absent(now, name)
        elif step == "cancel" and waiting:
            cancelled = next(iter(waiting))
            follows.cancel(cancelled, waiting.pop(cancelled)[0])
        elif step == "tick":
            follows.tick(now)
            check()
            assert all(deadline > now for _, deadline in waiting.values())
        check()
    follows.tick(now + 5.0)
    check()
    assert not waiting and all(count == 1 for count in answers.values())
