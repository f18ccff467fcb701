"""The ledger finds each breach that it is there to find, and nothing where all is well."""

from __future__ import annotations

import asyncio

import pytest

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients
from flintlatch.standin.ledger import Asked, Ledger, Run
from flintlatch.standin.node import Fault, Node, Shape
from flintlatch.standin.rig import CLASSES
from tests.loopback import Client, run

SAFE = RequestClass(100, 300, Effect.SAFE)
UNSAFE = RequestClass(100, 300, Effect.UNSAFE)
KEYED = RequestClass(100, 300, Effect.KEYED, Scope.CELL, 1000)


def asked(spec: RequestClass = SAFE, answer_ms: float | None = 50.0, status: int = 200) -> Ledger:
    """One request "r", sent at 0, seen by a node, and answered unless told otherwise."""
    ledger = Ledger(500.0)
    ledger.ask(Asked("r", spec, "k" if spec.effect is Effect.KEYED else None, 0.0, 300.0))
    ledger.receive("a", "r", 5.0)
    ledger.run(Run("r", "k", "a", 0, 1, 10.0, True))
    if answer_ms is not None:
        ledger.answer("r", status, answer_ms)
    return ledger


def rules(ledger: Ledger) -> list[str]:
    return [broken.rule for broken in ledger.violations()]


@pytest.mark.parametrize("spec", [SAFE, UNSAFE, KEYED])
def test_what_went_well_breaks_nothing(spec: RequestClass) -> None:
    ledger = asked(spec)
    assert rules(ledger) == [] and ledger.counts()["served"] == 1
    assert rules(asked(spec, 349.0, 504)) == []  # the answer is a failure, and in time


def test_a_lost_a_late_and_a_doubled_answer() -> None:
    assert rules(asked(answer_ms=None)) == ["lost"]
    assert rules(asked(answer_ms=351.0)) == ["late"]
    ledger = asked()
    ledger.answer("r", 200, 60.0)
    assert rules(ledger) == ["doubled"]
    ledger = asked()
    ledger.requests["r"].followed = 3
    assert rules(ledger) == ["followed"]


def test_what_a_killed_process_held_is_excused_and_counted() -> None:
    ledger = asked(answer_ms=None)
    ledger.requests["r"].excused = "process 1 was killed"
    assert rules(ledger) == [] and ledger.counts()["excused by a kill"] == 1


def test_an_answer_that_no_node_can_have_made() -> None:
    ledger = Ledger(500.0)
    ledger.ask(Asked("r", SAFE, None, 0.0, 300.0))
    ledger.answer("r", 200, 10.0)
    assert rules(ledger) == ["invented"]
    ledger = asked()
    ledger.run(Run("x", None, "a", 0, 0, 1.0, True))
    assert rules(ledger) == ["invented"]


@pytest.mark.parametrize(
    ("spec", "cell", "at_ms", "broken"),
    [
        (SAFE, 2, 200.0, []),
        (UNSAFE, 1, 200.0, ["repeated"]),
        (KEYED, 1, 200.0, []),
        (KEYED, 2, 200.0, ["repeated"]),
        (KEYED, 1, 1061.0, ["repeated"]),
    ],
)
def test_a_second_run(spec: RequestClass, cell: int, at_ms: float, broken: list[str]) -> None:
    ledger = asked(spec)
    ledger.run(Run("r", "k", "b", 0, cell, at_ms, False))
    assert rules(ledger) == broken


def test_what_goes_to_a_drained_node_after_the_grace_and_a_cold_one_that_fell() -> None:
    ledger = asked()
    ledger.drain_announced_ms["a"] = 1000.0
    ledger.receive("a", "r", 1549.0)
    assert rules(ledger) == []
    ledger.receive("a", "r", 1551.0)
    ledger.fallen.append(("a", 1.0))
    assert rules(ledger) == ["drained", "pushed over"]


@pytest.mark.parametrize(
    ("fault", "lost"),
    [
        (Fault.NONE, False),
        (Fault.ERROR, False),
        (Fault.REJECT, False),
        (Fault.RESET_AFTER, False),
        (Fault.RESET_BEFORE, True),
        (Fault.RESET_DURING, True),
        (Fault.SPOILT, True),
        (Fault.SILENT, True),
    ],
)
def test_clients_note_what_a_node_does_to_them(fault: Fault, lost: bool) -> None:
    # The node stands where a proxy would: the ledger must see each way of failing a client.
    async def test() -> None:
        ledger = Ledger(500.0)
        node = await Node("a", Shape(faults={fault: 1.0}), ledger).open()
        clients = Clients(node.address, {"grade": CLASSES["grade"]}, ledger, 1)
        for _ in range(3):
            clients.ask("grade")
        await clients.none_open.wait()
        assert set(rules(ledger)) == ({"lost"} if lost else set())
        node.die()
        clients.close()

    run(test())


def test_a_cold_node_falls_over_when_pushed_and_comes_back() -> None:
    async def test() -> None:
        ledger = Ledger(500.0)
        shape = Shape(slots=1, work_ms=100, cold_ms=60_000, start_capacity=0.1, fall_multiple=1.0)
        node = await Node("a", shape, ledger).open()
        address, clients = node.address, [await Client.open(node.address) for _ in range(4)]
        for number, client in enumerate(clients):
            client.send(x_call_id=f"c{number}")
        for client in clients:
            assert await client.ended() is True
            client.close()
        assert rules(ledger)[-1] == "pushed over" and node.falls == 1
        while node.server is None:
            await asyncio.sleep(0.01)
        assert node.address == address
        node.die()

    run(test())


def test_a_node_turns_away_what_its_queue_cannot_hold() -> None:
    async def test() -> None:
        node = await Node("a", Shape(slots=1, queue=1, work_ms=50), Ledger(500.0)).open()
        clients = [await Client.open(node.address) for _ in range(3)]
        begun = now_ms()
        statuses = []
        for number, client in enumerate(clients):
            client.send(x_call_id=f"c{number}")
            await asyncio.sleep(0.005)
        for client in clients:
            reply = await client.reply()
            statuses.append((reply.status, reply.headers.get("x-rejected")))
            client.close()
        assert statuses == [(200, None), (200, None), (503, "1")]
        assert now_ms() - begun > 50  # the second one waited for the first
        node.die()

    run(test())
