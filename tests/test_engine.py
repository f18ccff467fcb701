"""The engine with a scripted decision module: steps, final responses, and a module that fails."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from flintlatch.api import (
    Action,
    Arrival,
    Cancel,
    ClientDisconnected,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Result,
    Send,
    ServerList,
    SetTimer,
    Settings,
    TimerFired,
    Watch,
)
from flintlatch.net import engine as engine_module
from flintlatch.net.clock import now_ms
from flintlatch.net.log import MAX_LINES_PER_S, Logger
from tests.loopback import proxy, run

Step = Callable[[list[Any]], list[Action]]


class ScriptedModule:
    """Replaces the decision module: records each batch of events and returns the actions of `respond`."""

    respond: Step
    batches: list[list[Any]]
    instances: int

    def __init__(self, settings: Settings, seed: int) -> None:
        ScriptedModule.instances += 1

    def step(self, now: float, events: list[Any]) -> list[Action]:
        ScriptedModule.batches.append(events)
        return ScriptedModule.respond(events)


@pytest.fixture
def script(monkeypatch: pytest.MonkeyPatch) -> type[ScriptedModule]:
    ScriptedModule.respond, ScriptedModule.batches, ScriptedModule.instances = (
        staticmethod(lambda events: []),
        [],
        0,
    )
    monkeypatch.setattr(engine_module, "Balancer", ScriptedModule)
    return ScriptedModule


def on_each(kind: type[Any], actions_for: Callable[[Any], list[Action]]) -> Step:
    return staticmethod(lambda events: [a for e in events if isinstance(e, kind) for a in actions_for(e)])


def recorded_events(kind: type[Any]) -> list[Any]:
    return [e for batch in ScriptedModule.batches for e in batch if isinstance(e, kind)]


async def until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def test_the_saved_list_is_the_first_event(script: type[ScriptedModule]) -> None:
    async def test() -> None:
        async with proxy(backends=2):
            await until(lambda: script.batches)
            (saved,) = script.batches[0]
            assert (saved.kind, [e.server for e in saved.entries]) == (ListKind.SAVED, ["s0", "s1"])

    run(test())


def test_a_request_reaches_the_module_with_its_headers(script: type[ScriptedModule]) -> None:
    script.respond = on_each(Arrival, lambda e: [Fail(e.request)])

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            await client.ask("/purchase/x", idempotency_key="k", x_route_hash="7f3a9c21e0b4d655", x_again="1")
            (arrival,) = recorded_events(Arrival)
            assert (arrival.request, arrival.cls, arrival.key) == ("c1", 0, 0x7F3A9C21E0B4D655)
            assert arrival.is_retry

    run(test())


def test_the_budget_of_a_client_is_capped_by_its_class(script: type[ScriptedModule]) -> None:
    # The decision module takes the largest budget seen in a class for that of a first attempt, so one client
    # must not raise it.
    script.respond = on_each(Arrival, lambda e: [Fail(e.request)])

    async def test() -> None:
        async with proxy() as p:
            await (await p.client()).ask(x_budget_ms="999999999")
            assert recorded_events(Arrival)[0].client_deadline <= now_ms() + 30000

    run(test())


def test_refusals_and_failures_are_sent_at_once(script: type[ScriptedModule]) -> None:
    script.respond = on_each(
        Arrival,
        lambda e: [Fail(e.request)] if e.request == "f" else [Refuse(e.request, 250.0 * (e.request == "r"))],
    )

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            refused = await client.ask(x_call_id="r")
            assert (refused.status, refused.headers["retry-after"]) == (503, "0.250")
            plain = await client.ask(x_call_id="p")
            assert plain.status == 503 and "retry-after" not in plain.headers
            assert (await client.ask(x_call_id="f")).status == 504
            assert p.backends[0].connections == 0 and not recorded_events(ClientDisconnected)

    run(test())


def test_a_request_without_an_action_is_answered_at_its_deadline(script: type[ScriptedModule]) -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.ask(x_budget_ms="30")).status == 504
            await until(lambda: recorded_events(ClientDisconnected))

    run(test())


def test_events_of_one_loop_turn_go_to_one_step_and_lists_are_first(script: type[ScriptedModule]) -> None:
    async def test() -> None:
        async with proxy() as p:
            await until(lambda: script.batches)
            script.batches.clear()
            p.engine.client_gone("nobody")  # not a pending request: no event
            p.engine._on_timer(7, p.engine.module_generation)
            p.engine.on_list_failure("test")
            p.engine._on_timer(8, p.engine.module_generation)
            await until(lambda: script.batches)
            assert script.batches == [[ServerList(ListKind.FAILED), TimerFired(7), TimerFired(8)]]

    run(test())


def test_events_caused_by_actions_go_to_a_later_step(script: type[ScriptedModule]) -> None:
    script.respond = on_each(Arrival, lambda e: [Send(e.request, "unknown", 1000.0), Log("after")])

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            await until(lambda: recorded_events(Outcome))
            assert not any(
                isinstance(e, Outcome) for b in script.batches for e in b if Arrival in map(type, b)
            )
            assert recorded_events(Outcome)[0][:3] == ("c1", 0, Result.CONNECT_FAILED)

    run(test())


def test_an_attempt_after_the_final_response_is_not_sent_and_gets_an_outcome(
    script: type[ScriptedModule],
) -> None:
    script.respond = on_each(Arrival, lambda e: [Fail(e.request), Send(e.request, "s0", 1000.0)])

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            assert (await client.ask()).status == 504
            await until(lambda: recorded_events(Outcome))
            assert [(e.result, e.finished) for e in recorded_events(Outcome)] == [(Result.NOT_SENT, True)]
            assert p.backends[0].connections == 0
            await until(lambda: not p.engine.requests)

    run(test())


def test_a_retry_is_not_sent_if_its_client_leaves_at_the_same_time(script: type[ScriptedModule]) -> None:
    # One step reports both the outcome and that the client left, and the module has started a retry in
    # between.
    def respond(batch: list[Any]) -> list[Action]:
        actions: list[Action] = [Send(e.request, "s0", 9000.0) for e in batch if isinstance(e, Arrival)]
        for event in batch:
            if isinstance(event, Outcome) and event.attempt == 0:
                actions += [Send(event.request, "s0", 9000.0), Cancel(event.request, 1)]
        return actions

    script.respond = staticmethod(respond)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            await p.backends[0].requests.get()
            pending = p.engine.requests["c1"]
            pending.attempts[0].end(Result.FULL)
            p.engine.client_gone("c1")
            await until(lambda: len(recorded_events(Outcome)) == 2)
            assert [(e.attempt, e.result) for e in recorded_events(Outcome)] == [
                (0, Result.FULL),
                (1, Result.NOT_SENT),
            ]
            assert p.backends[0].requests.empty()
            await until(lambda: not p.engine.requests)

    run(test())


def test_timers_polls_and_probes_are_executed(script: type[ScriptedModule]) -> None:
    script.respond = on_each(
        ServerList, lambda e: [SetTimer(1.0, 42), Probe("s0"), Watch()] * (e.kind is ListKind.SAVED)
    )

    async def test() -> None:
        async with proxy() as p:
            probe = await p.backends[0].requests.get()
            assert probe.line == "GET /stats HTTP/1.1" and "x-call-id" not in probe.headers
            probe.reply()
            watch = await p.registry.requests.get()
            assert watch.line.startswith("GET /registry/instances?since=1&")
            await until(lambda: recorded_events(TimerFired) and recorded_events(ProbeResult))
            assert recorded_events(TimerFired) == [TimerFired(42)]
            assert recorded_events(ProbeResult)[0][:2] == ("s0", Result.OK)

    run(test())


def test_a_failed_module_is_logged_and_fails_its_requests_once(
    script: type[ScriptedModule], capsys: pytest.CaptureFixture[str]
) -> None:
    def respond(batch: list[Any]) -> list[Action]:
        arrivals = [e.request for e in batch if isinstance(e, Arrival)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the module")
        return [Send(request, "s0", 9000.0) for request in arrivals]

    script.respond = staticmethod(respond)

    async def test() -> None:
        async with proxy() as p:
            first, second = await p.client(), await p.client()
            first.send(x_call_id="held")
            received = await p.backends[0].requests.get()
            assert (await second.ask(x_call_id="break")).status == 500
            assert (await first.reply()).status == 500
            await received.closed.wait()
            first.send(x_call_id="later")  # a new module continues with the present list
            (await p.backends[0].requests.get()).reply()
            assert (await first.reply()).status == 200
            assert [e.kind for e in recorded_events(ServerList)] == [ListKind.SAVED, ListKind.SAVED]
            assert script.instances == 2

    run(test())
    stderr = capsys.readouterr().err
    assert stderr.count("the decision module failed and is replaced") == 1 and "in the module" in stderr


def test_a_request_pipelined_before_a_module_failure_is_served_by_the_new_module(
    script: type[ScriptedModule],
) -> None:
    def respond(batch: list[Any]) -> list[Action]:
        arrivals = [e.request for e in batch if isinstance(e, Arrival)]
        if "break" in arrivals:
            raise ZeroDivisionError("in the module")
        return [Send(request, "s0", 9000.0) for request in arrivals]

    script.respond = staticmethod(respond)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send(x_call_id="break")
            client.send(x_call_id="next")
            assert (await client.reply()).status == 500
            (await p.backends[0].requests.get()).reply()
            assert (await client.reply()).status == 200

    run(test())


def test_an_action_that_raises_does_not_stop_the_others(
    script: type[ScriptedModule], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    script.respond = on_each(Arrival, lambda e: [Probe("s0"), Fail(e.request)])

    async def test() -> None:
        async with proxy() as p:
            monkeypatch.setattr(p.engine.backends, "start", lambda attempt: 1 / 0)
            assert (await (await p.client()).ask()).status == 504

    run(test(), expected_bugs=1)
    assert "was not carried out" in capsys.readouterr().err


def test_a_flood_of_log_lines_is_limited_and_counted(capsys: pytest.CaptureFixture[str]) -> None:
    log = Logger()
    for number in range(1000):
        log(f"line {number}")
    log.second -= 1  # the next second
    log("later")
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) < 3 * MAX_LINES_PER_S and "were dropped" in lines[-1]
