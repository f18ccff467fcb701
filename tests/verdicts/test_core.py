"""Shared ejection: what observers decide together, and that no single observer can cause an ejection."""

from __future__ import annotations

from hypothesis import example, given, settings
from hypothesis import strategies as st

from flintlatch.api import Ejection, Result, TierMembership
from flintlatch.fleet.heard import ReceivedEntries
from flintlatch.verdicts.api import EjectionRules, decide_ejections
from flintlatch.verdicts.core import MAX_COUNTED_FAILURES
from tests.support import Driver, server_entries
from tests.support import settings as module_settings

RULES = EjectionRules()
FLEETS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "b3": "b"}


def test_reports_from_two_zones_eject_a_server_for_all_but_three_probers() -> None:
    decision = decide_ejections({"s": {"a1": 2, "b1": 2}}, {}, FLEETS, 10, RULES)
    ejection = decision.ejected["s"]
    assert ejection.zone == "" and len(ejection.probers) == RULES.quorum + 1
    avoiding = {f for f, z in FLEETS.items() if "s" in decision.ejected_for(f, z)}
    assert avoiding == FLEETS.keys() - set(ejection.probers)


def test_one_observer_alone_ejects_no_server_however_many_failures_it_reports() -> None:
    assert not decide_ejections({"s": {"a1": 10**9}}, {}, FLEETS, 10, RULES).ejected
    # Two single failures by chance are not enough either.
    assert not decide_ejections({"s": {"a1": 1, "b1": 1}}, {}, FLEETS, 10, RULES).ejected


def test_failures_in_one_zone_only_eject_the_server_for_that_zone() -> None:
    decision = decide_ejections({"s": {"b1": 3, "b2": 3}}, {"s": {"a1", "a2"}}, FLEETS, 10, RULES)
    assert decision.ejected["s"].zone == "b"
    assert not any(decision.ejected_for(f, "a") for f in ("a1", "a2"))
    # All three fleets of the zone are probers.
    assert sum("s" in decision.ejected_for(f, "b") for f in ("b1", "b2", "b3")) == 0
    without_successes = decide_ejections({"s": {"b1": 3, "b2": 3}}, {}, FLEETS, 10, RULES)
    # The other zones report neither failures nor successes, so it is ejected for all.
    assert without_successes.ejected["s"].zone == ""


def test_a_fleet_that_alone_reports_most_servers_is_unreliable_and_ignored() -> None:
    failures = {f"s{n}": {"a1": 3} for n in range(8)} | {"s0": {"a1": 3, "b1": 1}}
    decision = decide_ejections(failures, {}, FLEETS, 10, RULES)
    assert decision.unreliable == {"a1"} and not decision.ejected
    assert not decision.ejected_for("a1", "a")


def test_too_many_ejections_at_once_are_suppressed_and_counted() -> None:
    failures = {f"s{n}": {"a1": 3, "b1": 3} for n in range(4)}
    assert decide_ejections(failures, {}, FLEETS, 10, RULES).suppressed == 4
    assert not decide_ejections(failures, {}, FLEETS, 10, RULES).ejected
    assert len(decide_ejections(dict(list(failures.items())[:3]), {}, FLEETS, 10, RULES).ejected) == 3


def test_successes_of_other_fleets_prevent_an_ejection() -> None:
    failures = {"s": {"a1": 3, "b1": 3, "b2": 3}}
    assert decide_ejections(failures, {"s": {"a2"}}, FLEETS, 10, RULES).ejected["s"].zone == ""
    assert not decide_ejections(failures, {"s": {"a2", "b3"}}, FLEETS, 10, RULES).ejected
    # Once only the probers report, a success of one of them lifts the ejection.
    assert not decide_ejections({"s": {"a1": 3, "b2": 3}}, {"s": {"b1"}}, FLEETS, 10, RULES).ejected


def test_the_other_probers_stay_when_one_of_them_dies() -> None:
    failures = {"s": dict.fromkeys(FLEETS, 3)}
    before = decide_ejections(failures, {}, FLEETS, 10, RULES).ejected["s"].probers
    remaining = {f: z for f, z in FLEETS.items() if f != before[0]}
    after = decide_ejections(failures, {}, remaining, 10, RULES).ejected["s"].probers
    assert len(after) == 3 and set(before[1:]) <= set(after)


failure_counts = st.dictionaries(st.sampled_from(sorted(FLEETS)), st.integers(-5, 10**6))
failure_maps = st.dictionaries(st.sampled_from([f"s{n}" for n in range(8)]), failure_counts)


@given(failure_maps, st.sampled_from(sorted(FLEETS)), failure_counts)
@example({"s0": {"a1": 0, "a2": 1, "b1": -4}}, "a1", {})  # b1 is in another zone than the ejection
@settings(max_examples=300, deadline=None)
def test_no_single_fleet_can_eject_a_server_for_others(
    failures: dict[str, dict[str, int]], faulty: str, false_counts: dict[str, int]
) -> None:
    """One fleet sends arbitrary false reports: other fleets report each ejected server too, and with them the
    quorum is reached."""
    reported = {server: dict(reports) for server, reports in failures.items()}
    for server in reported:
        reported[server][faulty] = false_counts.get(faulty, 10**9)
    decision = decide_ejections(reported, {}, FLEETS, 8, RULES)
    for server, ejection in decision.ejected.items():
        others = {f: n for f, n in reported[server].items() if f != faulty}
        assert others, server
        weight = sum(min(reported[server][fleet], MAX_COUNTED_FAILURES) for fleet in ejection.reporters)
        assert len(ejection.reporters) >= RULES.quorum and weight >= RULES.strikes
    assert len(decision.ejected) <= RULES.most_out * 8


def test_an_ejected_server_is_avoided_unless_it_just_responded_and_resumes_with_one_probe() -> None:
    driver = Driver(module_settings(), *server_entries(2))
    first, second = "10.0.0.0:80", "10.0.0.1:80"
    driver.step(Ejection(first, 2000.0))
    for _ in range(20):
        request = driver.arrive()
        assert driver.sends[request] == [second]
        driver.end(request)
    driver.step(Ejection(second, 60_000.0))  # ignored: the server has just responded to this instance
    assert driver.sends[driver.arrive()] == [second]
    driver.tick_for(3000)
    requests = [driver.arrive() for _ in range(6)]
    probes = [r for r in requests if driver.sends.get(r) == [first]]
    assert len(probes) == 1  # a half-open probe
    driver.end(probes[0])
    assert driver.balancer.servers[first].has_capacity(driver.now)


def test_own_failures_are_reported_until_they_age_and_ejections_by_others_are_not() -> None:
    driver = Driver(module_settings(), *server_entries(4))
    driver.step(Ejection("10.0.0.3:80", 5000.0))
    assert not driver.balancer.failing_servers(driver.now)
    request = driver.arrive()
    failed = driver.sends[request][0]
    driver.end(request, Result.ERROR, done=True)
    assert driver.balancer.failing_servers(driver.now) == {failed: 1}
    assert driver.balancer.healthy_servers(driver.now, [failed, "unknown"]) == []
    driver.tick_for(11_000)
    assert not driver.balancer.failing_servers(driver.now)  # older than FAILURE_EVIDENCE_MS


def test_an_ejection_expires_in_an_instance_that_receives_no_renewal() -> None:
    now = [0.0]
    received = ReceivedEntries(0, TierMembership(1, 0), (), lambda: now[0], lambda text: None)
    received.on_entry({"about": "shun", "value": ["s1", "s2"], "accused": [], "until": 2.0})
    assert received.pending_events(0) == [Ejection("s1", 2000.0), Ejection("s2", 2000.0)]
    received.on_entry({"about": "shun", "value": ["s2"], "accused": ["s2"], "until": 2.5})
    assert received.pending_events(0) == [Ejection("s1", 0.0), Ejection("s2", 2500.0)]
    # The first call for a second decision module, started after a fault of the first.
    assert received.pending_events(1) == [Ejection("s2", 2500.0)]
    now[0] = 3.0
    assert received.pending_events(1) == [] and not received.ejected
    # This entry expired while it waited in a buffer.
    received.on_entry({"about": "shun", "value": ["s1"], "accused": [], "until": 2.9})
    assert received.pending_events(1) == []
