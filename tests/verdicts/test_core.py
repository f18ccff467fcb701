"""What voices together decide, and what none of them can."""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from flintlatch.api import Proxies, Result, Shun
from flintlatch.fleet.heard import ReceivedEntries
from flintlatch.verdicts.api import Rules, judge
from flintlatch.verdicts.core import EACH_MOST
from tests.support import Driver, fleet
from tests.support import settings as module_settings

RULES = Rules()
FLEETS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "b3": "b"}


def test_two_zones_that_find_a_server_bad_leave_it_and_three_go_on_trying_it() -> None:
    found = judge({"s": {"a1": 2, "b1": 2}}, {}, FLEETS, 10, RULES)
    verdict = found.out["s"]
    assert verdict.zone == "" and len(verdict.tries) == RULES.quorum + 1
    shunning = {f for f, z in FLEETS.items() if "s" in found.shuns(f, z)}
    assert shunning == FLEETS.keys() - set(verdict.tries)


def test_one_voice_makes_no_verdict_however_loud() -> None:
    assert not judge({"s": {"a1": 10**9}}, {}, FLEETS, 10, RULES).out
    assert not judge({"s": {"a1": 1, "b1": 1}}, {}, FLEETS, 10, RULES).out  # and two by chance neither


def test_what_one_zone_alone_finds_is_a_verdict_for_that_zone() -> None:
    found = judge({"s": {"b1": 3, "b2": 3}}, {"s": {"a1", "a2"}}, FLEETS, 10, RULES)
    assert found.out["s"].zone == "b"
    assert not any(found.shuns(f, "a") for f in ("a1", "a2"))
    assert sum("s" in found.shuns(f, "b") for f in ("b1", "b2", "b3")) == 0  # three try, three there are
    alone = judge({"s": {"b1": 3, "b2": 3}}, {}, FLEETS, 10, RULES)
    assert alone.out["s"].zone == ""  # that nobody else speaks of it says only that nobody else uses it


def test_one_that_finds_most_bad_is_ill_itself_and_counts_for_nothing() -> None:
    voices = {f"s{n}": {"a1": 3} for n in range(8)} | {"s0": {"a1": 3, "b1": 1}}
    found = judge(voices, {}, FLEETS, 10, RULES)
    assert found.ill == {"a1"} and not found.out
    assert not found.shuns("a1", "a")


def test_too_many_at_once_are_no_verdict_and_are_told() -> None:
    voices = {f"s{n}": {"a1": 3, "b1": 3} for n in range(4)}
    assert judge(voices, {}, FLEETS, 10, RULES).many == 4
    assert not judge(voices, {}, FLEETS, 10, RULES).out
    assert len(judge(dict(list(voices.items())[:3]), {}, FLEETS, 10, RULES).out) == 3


def test_what_it_answers_weighs_against_what_it_fails() -> None:
    voices = {"s": {"a1": 3, "b1": 3, "b2": 3}}
    assert judge(voices, {"s": {"a2"}}, FLEETS, 10, RULES).out["s"].zone == ""
    assert not judge(voices, {"s": {"a2", "b3"}}, FLEETS, 10, RULES).out
    # Only those that try it are left to speak then: one of them that it answers lifts it.
    assert not judge({"s": {"a1": 3, "b2": 3}}, {"s": {"b1"}}, FLEETS, 10, RULES).out


def test_the_turns_go_on_when_one_of_those_who_try_dies() -> None:
    voices = {"s": dict.fromkeys(FLEETS, 3)}
    before = judge(voices, {}, FLEETS, 10, RULES).out["s"].tries
    rest = {f: z for f, z in FLEETS.items() if f != before[0]}
    after = judge(voices, {}, rest, 10, RULES).out["s"].tries
    assert len(after) == 3 and set(before[1:]) <= set(after)


counts = st.dictionaries(st.sampled_from(sorted(FLEETS)), st.integers(-5, 10**6))
voices_of = st.dictionaries(st.sampled_from([f"s{n}" for n in range(8)]), counts)


@given(voices_of, st.sampled_from(sorted(FLEETS)), counts)
@example({"s0": {"a1": 0, "a2": 1, "b1": -4}}, "a1", {})  # b1 is of another zone than the verdict
@settings(max_examples=300, deadline=None)
def test_no_single_voice_takes_a_server_from_anybody_else(
    voices: dict[str, dict[str, int]], liar: str, lies: dict[str, int]
) -> None:
    """Whatever one fleet says of whatever servers: what is out has a quorum without counting on it alone."""
    said = {server: dict(named) for server, named in voices.items()}
    for server in said:
        said[server][liar] = lies.get(liar, 10**9)
    found = judge(said, {}, FLEETS, 8, RULES)
    for server, verdict in found.out.items():
        others = {f: n for f, n in said[server].items() if f != liar}
        assert others, server
        weight = sum(min(said[server][fleet], EACH_MOST) for fleet in verdict.voices)
        assert len(verdict.voices) >= RULES.quorum and weight >= RULES.strikes
    assert len(found.out) <= RULES.most_out * 8


def test_the_module_leaves_a_shunned_server_unless_it_answered_and_begins_with_one_on_trial() -> None:
    driver = Driver(module_settings(), *fleet(2))
    first, second = "10.0.0.0:80", "10.0.0.1:80"
    driver.step(Shun(first, 2000.0))
    for _ in range(20):
        request = driver.arrive()
        assert driver.sends[request] == [second]
        driver.end(request)
    driver.step(Shun(second, 60_000.0))  # it has just answered: what we see is more
    assert driver.sends[driver.arrive()] == [second]
    driver.beats(3000)
    asked = [driver.arrive() for _ in range(6)]
    trials = [r for r in asked if driver.sends.get(r) == [first]]
    assert len(trials) == 1  # one on trial
    driver.end(trials[0])
    assert driver.balancer.servers[first].room(driver.now)


def test_what_failed_us_is_evidence_until_it_answers_and_what_others_say_is_none() -> None:
    driver = Driver(module_settings(), *fleet(4))
    driver.step(Shun("10.0.0.3:80", 5000.0))
    assert not driver.balancer.found_bad(driver.now)
    request = driver.arrive()
    bad = driver.sends[request][0]
    driver.end(request, Result.ERROR, done=True)
    assert driver.balancer.found_bad(driver.now) == {bad: 1}
    assert driver.balancer.found_good(driver.now, [bad, "unknown"]) == []
    driver.beats(11_000)
    assert not driver.balancer.found_bad(driver.now)  # old by now


def test_a_word_to_shun_ends_for_an_instance_whose_supervisor_says_nothing_more() -> None:
    now = [0.0]
    core = ReceivedEntries(0, Proxies(1, 0), (), lambda: now[0], lambda text: None)
    core.on_entry({"about": "shun", "value": ["s1", "s2"], "accused": [], "until": 2.0})
    assert core.pending_events(0) == [Shun("s1", 2000.0), Shun("s2", 2000.0)]
    core.on_entry({"about": "shun", "value": ["s2"], "accused": ["s2"], "until": 2.5})
    assert core.pending_events(0) == [Shun("s1", 0.0), Shun("s2", 2500.0)]
    assert core.pending_events(1) == [Shun("s2", 2500.0)]  # a module that took over
    now[0] = 3.0
    assert core.pending_events(1) == [] and not core.ejected
    core.on_entry({"about": "shun", "value": ["s1"], "accused": [], "until": 2.9})  # old, from a buffer
    assert core.pending_events(1) == []
