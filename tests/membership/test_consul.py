"""A catalogue's word: what is taken of it, and what says nothing. The core alone, then over loopback."""

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

from flintlatch.membership import Apply, Event, Failed, Health, Membership, NodeState, Offered, Rules, Unread
from flintlatch.membership import catalogue as catalogue_module
from flintlatch.membership import consul as consul_module
from flintlatch.membership.catalogue import CatalogueSource
from flintlatch.membership.consul import Catalogue
from flintlatch.standin.consul import Consul
from tests.fleet.support import daemon
from tests.loopback import run


def body(*uids: str, bad: tuple[str, ...] = (), **service: Any) -> bytes:
    made = Consul()
    for place, uid in enumerate(uids):
        made.put(uid, f"127.0.0.1:{9000 + place}", "critical" if uid in bad else "passing")
        made.instances[uid]["Service"].update(service)
    return orjson.dumps(list(made.instances.values()))


def headers(index: object, **more: str) -> dict[str, str]:
    return {"x-consul-index": str(index), "x-consul-lastcontact": "0"} | more


def catalogue() -> Catalogue:
    return Catalogue("c", "review", 30.0, 10.0)


def offered(events: list[Event]) -> list[Offered]:
    return [event for event in events if isinstance(event, Offered)]


@given(st.lists(st.tuples(st.integers(-2, 9), st.sets(st.sampled_from("abcd"), max_size=4)), max_size=40))
def test_numbers_only_grow_and_an_index_that_goes_back_is_begun_anew(answers: list[Any]) -> None:
    # Whatever indexes and lists come, in whatever order: what is offered is a whole answer, numbered above
    # all that was offered before unless it is the same list.
    source, offers = catalogue(), []
    for place, (index, uids) in enumerate(answers):
        asked = source.index
        events = source.answered(1000.0 + place, 200, headers(index), body(*sorted(uids)))
        if index <= 0 or (asked and index < asked):
            assert [type(event) for event in events] == [Failed] and source.index == 0 and source.rest_s > 0
            assert "index=" not in source.ask().path
            continue
        (offer,) = offered(events)
        assert {node.uid for node in offer.version.nodes} == {f"m1/{uid}" for uid in uids}
        assert source.ask().path.endswith(f"index={index}&wait=30s")
        offers.append(offer.version)
    for before, after in zip(offers, offers[1:], strict=False):
        assert after.number > before.number or (after.number == before.number and after.nodes == before.nodes)


@pytest.mark.parametrize(
    ("status", "told", "sent", "words"),
    [
        (500, headers(5), b"", "status 500"),
        (200, headers(0), b"[]", "X-Consul-Index"),
        (200, headers("nan"), b"[]", "X-Consul-Index"),
        (200, headers(10**19), b"[]", "X-Consul-Index"),
        (200, headers(5, **{"x-consul-knownleader": "false"}), b"[]", "leader"),
        (200, headers(5, **{"x-consul-lastcontact": "10001"}), b"[]", "10001"),
    ],
)
def test_what_says_nothing_leaves_what_is_held(
    status: int, told: dict[str, str], sent: bytes, words: str
) -> None:
    source = catalogue()
    source.answered(1.0, 200, headers(4), body("a"))
    (event,) = source.answered(2.0, status, told, sent)
    assert isinstance(event, Failed) and words in event.reason
    rests = []
    for _ in range(12):
        source.failed("again")
        rests.append(source.rest_s)
    assert rests == sorted(rests) and rests[-1] == consul_module.RETRY_S[1]
    assert source.answered(3.0, 200, headers(1), body("a")) and source.rest_s == 0


@pytest.mark.parametrize(
    ("sent", "where"),
    [
        (b"[", "answer"),
        (b"{}", "answer"),
        (b'[{"Node": 1}]', "instance[0]"),
        (body("a", Port=0), "node[0].address"),
        (body("a", Port=None), "node[0].address"),
        (body("a", Address="name.example"), "node[0].address"),
        (body("a", Weights={"Passing": -1}), "node[0].weight"),
        (body("a", Weights={"Passing": 1e308}), "node[0].weight"),
        (body("a", Meta={"cell": "x"}), "node[0].cell"),
        (body("a", "b", ID="a"), "node[1].uid"),
    ],
)
def test_a_list_with_one_fault_is_not_taken_and_the_fault_is_named(sent: bytes, where: str) -> None:
    source = catalogue()
    (event,) = source.answered(1.0, 200, headers(4), sent)
    assert isinstance(event, Unread) and any(fault.where.startswith(where) for fault in event.faults)
    assert source.index == 0 and source.rest_s > 0


def test_checks_are_evidence_beside_the_list_and_are_taken_back() -> None:
    source, core = catalogue(), Membership(Rules(("c",)))

    def told(index: int, *bad: str, uids: str = "abc") -> dict[str, NodeState]:
        for event in source.answered(float(index), 200, headers(index), body(*uids, bad=bad)):
            core.step(index, event)
        return {uid: node.state for uid, node in core.nodes.items()}

    active, draining = NodeState.ACTIVE, NodeState.DRAINING
    assert told(1) == {"m1/a": active, "m1/b": active, "m1/c": active}
    assert told(2, "b") == {"m1/a": active, "m1/b": draining, "m1/c": active}
    # Most of them called bad at once is not believed.
    assert set(told(3, "a", "b").values()) == {active}
    assert told(4, "b")["m1/b"] is draining
    assert told(5)["m1/b"] is active
    # A claim on one that has gone does not wait for another of its name.
    told(6, "c")
    assert "m1/c" not in told(7, uids="ab")
    assert not core.sources["c"].unhealthy


def test_an_empty_list_after_an_outage_is_refused_and_the_next_one_taken() -> None:
    source, core = catalogue(), Membership(Rules(("c",)))
    for number, uids in enumerate(("ab", "", "", "ab", "abc"), 1):
        for event in source.answered(float(number), 200, headers(number), body(*uids)):
            core.step(number, event)
        assert set(core.nodes) >= {"m1/a", "m1/b"}
    assert set(core.nodes) == {"m1/a", "m1/b", "m1/c"}
    assert core.sources["c"].rejected == 2


# Over loopback


@asynccontextmanager
async def watched(wait_s: float = 30.0) -> AsyncIterator[tuple[Consul, CatalogueSource, Membership]]:
    consul = await Consul().open()
    consul.put("a", "127.0.0.1:9001")
    consul.put("b", "127.0.0.1:9002", weight=3, zone="z2")
    core = Membership(Rules(("c",)))
    source = CatalogueSource(
        f"http://{consul.address}",
        "secret",
        Catalogue("c", "review", wait_s, 10.0),
        lambda event: None if core.step(0.0, event) else None,
    )
    try:
        yield consul, source, core
    finally:
        source.close()
        consul.close()


async def until(wanted: Callable[[], object]) -> None:
    while not wanted():
        await asyncio.sleep(0.002)


def test_a_catalogue_is_followed_by_blocking_queries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with watched() as (consul, source, core):
            await until(lambda: len(core.nodes) == 2)
            node = core.nodes["m1/b"]
            assert (node.address, node.weight, node.zone, node.pool) == (
                "127.0.0.1:9002",
                3.0,
                "z2",
                "review",
            )
            assert core.nodes["m1/a"].zone == "dc1"
            await until(lambda: len(consul.request_targets) == 2)
            assert consul.request_targets[1].endswith(f"?index={consul.index}&wait=30s")
            assert set(consul.tokens) == {"secret"}
            consul.put("c", "127.0.0.1:9003")
            await until(lambda: len(core.nodes) == 3)
            consul.drop("a")
            await until(lambda: "m1/a" not in core.nodes)
            assert source.queries <= 6  # it waits for news, and does not ask again and again

    run(test())


@pytest.mark.parametrize("fault", ["hang", "reset", "status", "noise", "stale", "back", "zero"])
def test_each_fault_leaves_the_list_and_ends_when_it_is_mended(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    monkeypatch.setattr(consul_module, "RETRY_S", (0.01, 0.05))
    monkeypatch.setattr(catalogue_module, "ANSWER_S", 0.2)
    monkeypatch.setattr(catalogue_module, "LEAST_S", 0.001)

    async def test() -> None:
        async with watched(wait_s=0.2) as (consul, _, core):
            await until(lambda: len(core.nodes) == 2)
            before = dict(core.nodes)
            asked = len(consul.request_targets)
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
            consul.put("x", "127.0.0.1:9099")  # a good instance: taken, if the fault were not seen
            await until(lambda: len(consul.request_targets) >= asked + 3)
            if fault == "back":  # begun anew, its word counts from the next answer on
                await until(lambda: "m1/x" in core.nodes)
            else:
                assert core.nodes == before
            del consul.instances["x"]
            consul.hang, consul.status, consul.body = False, 200, None
            consul.leader, consul.fake_index = True, None
            consul.put("d", "127.0.0.1:9004")
            await until(lambda: "m1/d" in core.nodes)

    run(test())


def test_a_fleet_serves_by_a_catalogue_and_drains_what_its_checks_call_bad(tmp_path: Path) -> None:
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
            await made.fleet.wait_for_log("taken")
            await asyncio.sleep(0.3)
            seen = len([run for run in made.rig.ledger.runs if run.node == "s0"])
            await made.clients.run(100, 1, {"answer": 1})
            assert len([run for run in made.rig.ledger.runs if run.node == "s0"]) == seen and count > 1
            made.assert_rules_kept()
        consul.close()

    run(test())


def test_applied_changes_name_the_catalogue_by_its_nodes() -> None:
    source, core = catalogue(), Membership(Rules(("c",)))
    actions = []
    for event in source.answered(5.0, 200, headers(3), body("a")):
        actions += core.step(5.0, event)
    (applied,) = [action for action in actions if isinstance(action, Apply)]
    assert [node.uid for node in applied.change.added] == ["m1/a"]
    assert not [
        event for event in source.answered(6.0, 200, headers(3), body("a")) if isinstance(event, Health)
    ]
