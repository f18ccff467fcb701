"""Consul-compatible catalogues: `ServiceWatch` alone, then a source against a stand-in over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.membership import (
    Apply,
    Event,
    HealthReported,
    InvalidVersionOffered,
    Membership,
    MembershipRules,
    NodeState,
    SourceFailed,
    VersionOffered,
)
from flintlatch.membership import catalogue as catalogue_module
from flintlatch.membership import consul as consul_module
from flintlatch.membership.catalogue import CatalogueSource
from flintlatch.membership.consul import ServiceWatch
from flintlatch.standin.consul import Consul
from tests.fleet.support import daemon
from tests.loopback import run


def response_body(*uids: str, critical: tuple[str, ...] = (), **service: Any) -> bytes:
    consul = Consul()
    for index, uid in enumerate(uids):
        consul.put(uid, f"127.0.0.1:{9000 + index}", "critical" if uid in critical else "passing")
        consul.instances[uid]["Service"].update(service)
    return orjson.dumps(list(consul.instances.values()))


def headers(index: object, **others: str) -> dict[str, str]:
    return {"x-consul-index": str(index), "x-consul-lastcontact": "0"} | others


def service_watch() -> ServiceWatch:
    return ServiceWatch("c", "review", 30.0, 10.0)


def offers_in(events: list[Event]) -> list[VersionOffered]:
    return [event for event in events if isinstance(event, VersionOffered)]


@given(st.lists(st.tuples(st.integers(-2, 9), st.sets(st.sampled_from("abcd"), max_size=4)), max_size=40))
def test_version_numbers_grow_and_an_index_that_goes_back_is_reset(responses: list[Any]) -> None:
    # For any sequence of indexes and lists: each offer is one complete response, and its number is above all
    # earlier ones unless the list is the same.
    source, offers = service_watch(), []
    for position, (index, uids) in enumerate(responses):
        previous_index = source.index
        events = source.on_response(1000.0 + position, 200, headers(index), response_body(*sorted(uids)))
        if index <= 0 or (previous_index and index < previous_index):
            assert (
                [type(event) for event in events] == [SourceFailed]
                and source.index == 0
                and source.delay_s > 0
            )
            assert "index=" not in source.next_query().path
            continue
        (offer,) = offers_in(events)
        assert {node.uid for node in offer.version.nodes} == {f"m1/{uid}" for uid in uids}
        assert source.next_query().path.endswith(f"index={index}&wait=30s")
        offers.append(offer.version)
    for before, after in zip(offers, offers[1:], strict=False):
        assert after.number > before.number or (after.number == before.number and after.nodes == before.nodes)


@pytest.mark.parametrize(
    ("status", "response_headers", "content", "expected_text"),
    [
        (500, headers(5), b"", "status 500"),
        (200, headers(0), b"[]", "X-Consul-Index"),
        (200, headers("nan"), b"[]", "X-Consul-Index"),
        (200, headers(10**19), b"[]", "X-Consul-Index"),
        (200, headers(5, **{"x-consul-knownleader": "false"}), b"[]", "leader"),
        (200, headers(5, **{"x-consul-lastcontact": "10001"}), b"[]", "10001"),
    ],
)
def test_unusable_response_is_a_failure_with_growing_delays(
    status: int, response_headers: dict[str, str], content: bytes, expected_text: str
) -> None:
    source = service_watch()
    source.on_response(1.0, 200, headers(4), response_body("a"))
    (event,) = source.on_response(2.0, status, response_headers, content)
    assert isinstance(event, SourceFailed) and expected_text in event.reason
    delays = []
    for _ in range(12):
        source.on_failure("again")
        delays.append(source.delay_s)
    assert delays == sorted(delays) and delays[-1] == consul_module.RETRY_DELAY_RANGE_S[1]
    assert source.on_response(3.0, 200, headers(1), response_body("a")) and source.delay_s == 0


@pytest.mark.parametrize(
    ("content", "where"),
    [
        (b"[", "answer"),
        (b"{}", "answer"),
        (b'[{"Node": 1}]', "instance[0]"),
        (response_body("a", Port=0), "node[0].address"),
        (response_body("a", Port=None), "node[0].address"),
        (response_body("a", Address="name.example"), "node[0].address"),
        (response_body("a", Weights={"Passing": -1}), "node[0].weight"),
        (response_body("a", Weights={"Passing": 1e308}), "node[0].weight"),
        (response_body("a", Meta={"cell": "x"}), "node[0].cell"),
        (response_body("a", "b", ID="a"), "node[1].uid"),
    ],
)
def test_list_with_a_fault_is_rejected_and_the_fault_is_named(content: bytes, where: str) -> None:
    source = service_watch()
    (event,) = source.on_response(1.0, 200, headers(4), content)
    assert isinstance(event, InvalidVersionOffered) and any(
        fault.where.startswith(where) for fault in event.faults
    )
    assert source.index == 0 and source.delay_s > 0


def test_health_checks_drain_nodes_until_they_pass() -> None:
    source, membership = service_watch(), Membership(MembershipRules(("c",)))

    def states_after(index: int, *critical: str, uids: str = "abc") -> dict[str, NodeState]:
        for event in source.on_response(
            float(index), 200, headers(index), response_body(*uids, critical=critical)
        ):
            membership.step(index, event)
        return {uid: node.state for uid, node in membership.nodes.items()}

    active, draining = NodeState.ACTIVE, NodeState.DRAINING
    assert states_after(1) == {"m1/a": active, "m1/b": active, "m1/c": active}
    assert states_after(2, "b") == {"m1/a": active, "m1/b": draining, "m1/c": active}
    # With most of the pool critical, none is drained.
    assert set(states_after(3, "a", "b").values()) == {active}
    assert states_after(4, "b")["m1/b"] is draining
    assert states_after(5)["m1/b"] is active
    # A report about a removed node must not apply to a later node of the same name.
    states_after(6, "c")
    assert "m1/c" not in states_after(7, uids="ab")
    assert not membership.sources["c"].unhealthy


def test_empty_list_after_an_outage_is_rejected_and_the_next_accepted() -> None:
    source, membership = service_watch(), Membership(MembershipRules(("c",)))
    for number, uids in enumerate(("ab", "", "", "ab", "abc"), 1):
        for event in source.on_response(float(number), 200, headers(number), response_body(*uids)):
            membership.step(number, event)
        assert set(membership.nodes) >= {"m1/a", "m1/b"}
    assert set(membership.nodes) == {"m1/a", "m1/b", "m1/c"}
    assert membership.sources["c"].rejection_count == 2


# Over loopback


@asynccontextmanager
async def watched(wait_s: float = 30.0) -> AsyncIterator[tuple[Consul, CatalogueSource, Membership]]:
    consul = await Consul().open()
    consul.put("a", "127.0.0.1:9001")
    consul.put("b", "127.0.0.1:9002", weight=3, zone="z2")
    membership = Membership(MembershipRules(("c",)))
    source = CatalogueSource(
        f"http://{consul.address}",
        "secret",
        ServiceWatch("c", "review", wait_s, 10.0),
        lambda event: None if membership.step(0.0, event) else None,
    )
    try:
        yield consul, source, membership
    finally:
        source.close()
        consul.close()


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.002)


def test_source_follows_a_catalogue_with_blocking_queries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with watched() as (consul, source, membership):
            await until(lambda: len(membership.nodes) == 2)
            node = membership.nodes["m1/b"]
            assert (node.address, node.weight, node.zone, node.pool) == (
                "127.0.0.1:9002",
                3.0,
                "z2",
                "review",
            )
            assert membership.nodes["m1/a"].zone == "dc1"
            await until(lambda: len(consul.request_targets) == 2)
            assert consul.request_targets[1].endswith(f"?index={consul.index}&wait=30s")
            assert set(consul.tokens) == {"secret"}
            consul.put("c", "127.0.0.1:9003")
            await until(lambda: len(membership.nodes) == 3)
            consul.drop("a")
            await until(lambda: "m1/a" not in membership.nodes)
            assert source.query_count <= 6  # queries block until there is a change

    run(test())


@pytest.mark.parametrize("fault", ["hang", "reset", "status", "noise", "stale", "back", "zero"])
def test_list_is_unchanged_during_a_fault_and_updated_after_it(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    monkeypatch.setattr(consul_module, "RETRY_DELAY_RANGE_S", (0.01, 0.05))
    monkeypatch.setattr(catalogue_module, "RESPONSE_MARGIN_S", 0.2)
    monkeypatch.setattr(catalogue_module, "MIN_QUERY_INTERVAL_S", 0.001)

    async def test() -> None:
        async with watched(wait_s=0.2) as (consul, _, membership):
            await until(lambda: len(membership.nodes) == 2)
            before = dict(membership.nodes)
            query_count = len(consul.request_targets)
            if fault == "hang":
                consul.hang = True
            elif fault == "reset":
                for task in list(consul.tasks):
                    task.cancel()
                consul.status = 503
            elif fault == "status":
                consul.status = 500
            elif fault == "noise":
                consul.body = b"<html>"
            elif fault == "stale":
                consul.leader = False
            elif fault == "back":
                consul.fake_index = "1"
            else:
                consul.fake_index = "0"
            consul.put("x", "127.0.0.1:9099")  # a valid instance, which must not appear while the fault lasts
            await until(lambda: len(consul.request_targets) >= query_count + 3)
            if fault == "back":  # the index is reset, so the next response is used
                await until(lambda: "m1/x" in membership.nodes)
            else:
                assert membership.nodes == before
            del consul.instances["x"]
            consul.hang, consul.status, consul.body = False, 200, None
            consul.leader, consul.fake_index = True, None
            consul.put("d", "127.0.0.1:9004")
            await until(lambda: "m1/d" in membership.nodes)

    run(test())


def test_fleet_gets_its_nodes_from_a_catalogue_and_drains_critical_ones(tmp_path: Path) -> None:
    async def test() -> None:
        consul = await Consul().open()
        async with daemon(tmp_path, fleet={"instances": 2}) as made:
            for node in made.rig.nodes:
                consul.put(node.uid, node.address)
            text = made.rig.config.read_text()
            i, j = text.index("[nodes]"), text.index("[[class]]")
            table = f'[nodes]\nsource = "catalogue"\ncatalogue = "http://{consul.address}"\n'
            table += 'services = ["review"]\nkeep = "kept"\nconnect_timeout_ms = 1000\n\n'
            made.rig.config.write_text(f"{text[:i]}{table}{text[j:]}")
            answer = await made.fleet.ask("reload")
            assert answer["ok"], answer
            await made.clients.run(100, 1, {"answer": 1})
            count = len(made.rig.nodes)
            consul.put("s0", made.rig.nodes[0].address, "critical")
            await made.fleet.wait_for_log("accepted")
            await asyncio.sleep(0.3)
            seen = len([run for run in made.rig.ledger.runs if run.node == "s0"])
            await made.clients.run(100, 1, {"answer": 1})
            assert len([run for run in made.rig.ledger.runs if run.node == "s0"]) == seen and count > 1
            made.assert_rules_kept()
        consul.close()

    run(test())


def test_first_response_adds_its_nodes_and_reports_no_health() -> None:
    source, membership = service_watch(), Membership(MembershipRules(("c",)))
    actions = []
    for event in source.on_response(5.0, 200, headers(3), response_body("a")):
        actions += membership.step(5.0, event)
    (applied,) = [action for action in actions if isinstance(action, Apply)]
    assert [node.uid for node in applied.change.added] == ["m1/a"]
    assert not [
        event
        for event in source.on_response(6.0, 200, headers(3), response_body("a"))
        if isinstance(event, HealthReported)
    ]
