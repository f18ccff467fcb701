"""Tests that the ledger reports each kind of violation, and none where every rule was kept."""

from __future__ import annotations

import asyncio

import pytest

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.net.clock import now_ms
from flintlatch.standin.client import Clients
from flintlatch.standin.ledger import Execution, Ledger, RequestRecord
from flintlatch.standin.node import Fault, Node, Shape
from flintlatch.standin.rig import CLASSES
from tests.loopback import Client, run

SAFE = RequestClass(100, 300, Effect.SAFE)
UNSAFE = RequestClass(100, 300, Effect.UNSAFE)
KEYED = RequestClass(100, 300, Effect.KEYED, Scope.CELL, 1000)


def recorded(spec: RequestClass = SAFE, answer_ms: float | None = 50.0, status: int = 200) -> Ledger:
    """Return a ledger with the request "r": sent at 0, run by node "a", answered at `answer_ms` if set."""
    ledger = Ledger(500.0)
    ledger.ask(RequestRecord("r", spec, "k" if spec.effect is Effect.KEYED else None, 0.0, 300.0))
    ledger.receive("a", "r", 5.0)
    ledger.run(Execution("r", "k", "a", 0, 1, 10.0, True))
    if answer_ms is not None:
        ledger.answer("r", status, answer_ms)
    return ledger


def rules(ledger: Ledger) -> list[str]:
    return [violation.rule for violation in ledger.violations()]


@pytest.mark.parametrize("spec", [SAFE, UNSAFE, KEYED])
def test_correct_request_is_no_violation(spec: RequestClass) -> None:
    ledger = recorded(spec)
    assert rules(ledger) == [] and ledger.counts()["served"] == 1
    assert rules(recorded(spec, 349.0, 504)) == []  # a failure, but answered in time


def test_lost_late_and_duplicate_answers_are_violations() -> None:
    assert rules(recorded(answer_ms=None)) == ["lost"]
    assert rules(recorded(answer_ms=351.0)) == ["late"]
    ledger = recorded()
    ledger.answer("r", 200, 60.0)
    assert rules(ledger) == ["doubled"]
    ledger = recorded()
    ledger.requests["r"].trailing_bytes = 3
    assert rules(ledger) == ["followed"]


def test_request_of_a_killed_process_is_excused_and_counted() -> None:
    ledger = recorded(answer_ms=None)
    ledger.requests["r"].excused = "process 1 was killed"
    assert rules(ledger) == [] and ledger.counts()["excused by a kill"] == 1


def test_answer_or_execution_without_counterpart_is_a_violation() -> None:
    ledger = Ledger(500.0)
    ledger.ask(RequestRecord("r", SAFE, None, 0.0, 300.0))
    ledger.answer("r", 200, 10.0)
    assert rules(ledger) == ["invented"]
    ledger = recorded()
    ledger.run(Execution("x", None, "a", 0, 0, 1.0, True))
    assert rules(ledger) == ["invented"]


@pytest.mark.parametrize(
    ("spec", "cell", "at_ms", "expected"),
    [
        (SAFE, 2, 200.0, []),
        (UNSAFE, 1, 200.0, ["repeated"]),
        (KEYED, 1, 200.0, []),
        (KEYED, 2, 200.0, ["repeated"]),
        (KEYED, 1, 1061.0, ["repeated"]),
    ],
)
def test_second_execution(spec: RequestClass, cell: int, at_ms: float, expected: list[str]) -> None:
    ledger = recorded(spec)
    ledger.run(Execution("r", "k", "b", 0, cell, at_ms, False))
    assert rules(ledger) == expected


def test_request_after_the_drain_grace_and_overload_crash_are_violations() -> None:
    ledger = recorded()
    ledger.drain_announced_ms["a"] = 1000.0
    ledger.receive("a", "r", 1549.0)
    assert rules(ledger) == []
    ledger.receive("a", "r", 1551.0)
    ledger.overload_crashes.append(("a", 1.0))
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
        (Fault.GARBLED, True),
        (Fault.SILENT, True),
    ],
)
def test_clients_record_each_fault_of_a_node(fault: Fault, lost: bool) -> None:
    # The clients connect to the node directly, in place of a proxy: each fault that loses a request has to
    # reach the ledger.
    async def test() -> None:
        ledger = Ledger(500.0)
        node = await Node("a", Shape(faults={fault: 1.0}), ledger).open()
        clients = Clients(node.address, {"grade": CLASSES["grade"]}, ledger, 1)
        for _ in range(3):
            clients.ask("grade")
        await clients.all_answered.wait()
        assert set(rules(ledger)) == ({"lost"} if lost else set())
        node.crash()
        clients.close()

    run(test())


def test_overloaded_node_in_slow_start_crashes_and_restarts() -> None:
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
        assert rules(ledger)[-1] == "pushed over" and node.crashes == 1
        while node.server is None:
            await asyncio.sleep(0.01)
        assert node.address == address
        node.crash()

    run(test())


def test_node_rejects_requests_beyond_its_queue() -> None:
    async def test() -> None:
        node = await Node("a", Shape(slots=1, queue=1, work_ms=50), Ledger(500.0)).open()
        clients = [await Client.open(node.address) for _ in range(3)]
        started_ms = now_ms()
        statuses = []
        for number, client in enumerate(clients):
            client.send(x_call_id=f"c{number}")
            await asyncio.sleep(0.005)
        for client in clients:
            reply = await client.reply()
            statuses.append((reply.status, reply.headers.get("x-rejected")))
            client.close()
        assert statuses == [(200, None), (200, None), (503, "1")]
        assert now_ms() - started_ms > 50  # the second request was queued until the first was done
        node.crash()

    run(test())
