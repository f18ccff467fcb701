"""Property tests: an oracle checks the actions for arbitrary valid event sequences.

It checks rules 1 to 3 of test_rules.py and the permissions that the settings give.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from flintlatch.api import (
    NEVER_RAN,
    Action,
    Arrival,
    Cancel,
    ClientDisconnected,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Probe,
    Refuse,
    RequestClass,
    Result,
    Scope,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from flintlatch.choice import Balancer

CLASSES = (
    RequestClass(300.0, 900.0, worth=3.0),
    RequestClass(300.0, 900.0, Effect.UNSAFE, worth=1.0),
    RequestClass(200.0, 900.0, Effect.KEYED, Scope.ALL, 250.0, late_worth=0.5),
    RequestClass(200.0, 900.0, Effect.KEYED, Scope.CELL, 150.0, worth=0.5),
    RequestClass(500.0, 900.0, Effect.KEYED, Scope.ZONE, 400.0, worth=2.0),
)
CONFIGS = (
    Settings(CLASSES, proxies=40, may_cancel=True, may_duplicate=True, max_attempts=6, key_affinity=True,
             weights_report_load=True, start_capacity=0.1, cold_ms=5000.0, tick_ms=5.0),
    Settings(CLASSES, proxies=3, may_cancel=True, max_attempts=4, tick_ms=5.0),
    Settings(CLASSES, quotas=(5.0, 2.0), over_share_worth=0.1, max_attempts=2, ask_for_list=True),
    Settings(CLASSES, proxies=2, may_cancel=True, may_duplicate=True, may_probe=True, max_attempts=6,
             retry_after=True, max_retry_after_ms=500.0, key_affinity=True, start_capacity=0.1,
             cold_ms=5000.0, tick_ms=5.0),
    Settings(CLASSES, proxies=300, me=17, zones=2, quotas=(5.0, 0.0), over_share_worth=0.1, may_cancel=True,
             max_attempts=3, ask_for_list=True, start_capacity=0.1, cold_ms=5000.0, tick_ms=5.0),
    Settings(CLASSES, proxies=8, me=3, zone=1, zones=2, max_attempts=5, retry_after=True,
             max_retry_after_ms=500.0, tick_ms=2.0),
)  # fmt: skip
SERVER_NAMES = [f"s{i}" for i in range(6)]


@dataclass
class SentAttempt:
    server: ServerInfo  # its entry at the time of the send
    sent_at: float
    timeout_ms: float
    result: Result | None = None
    cancelled: bool = False


@dataclass
class ClientRequest:
    cls: int
    deadline: float
    finished: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


class Oracle:
    """Simulates clients, servers and the server list, and checks each action against the rules."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.balancer, self.now = config, Balancer(config, seed), 0.0
        self.requests: dict[str, ClientRequest] = {}
        self.listed: dict[str, ServerInfo] = {}
        self.timers: list[float] = []

    def step(self, events: list[Event]) -> None:
        for action in self.balancer.step(self.now, events):
            self.check(action)
        for name, request in self.requests.items():
            in_progress = any(a.result is None for a in request.attempts)
            assert request.finished or in_progress or self.now < request.deadline, f"{name} lost"

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append(self.now + action.delay_ms)
        elif isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, (Fail, Refuse)):
            request = self.requests[action.request]
            assert not request.finished, "answered twice"
            request.finished = True
            if isinstance(action, Refuse):
                assert not self.executions(request) or CLASSES[request.cls].effect is Effect.SAFE
                assert action.retry_after_ms <= self.config.max_retry_after_ms
        elif isinstance(action, Cancel):
            assert self.config.may_cancel
            attempt = self.requests[action.request].attempts[action.attempt]
            attempt.cancelled = True
        elif isinstance(action, Probe):
            assert self.config.may_probe

    def executions(self, request: ClientRequest) -> list[SentAttempt]:
        """Returns the attempts that the server may have executed."""
        return [a for a in request.attempts if a.result not in NEVER_RAN]

    def check_send(self, action: Send) -> None:
        request = self.requests[action.request]
        spec = CLASSES[request.cls]
        assert not request.finished, "sent after the final answer"
        entry = self.listed[action.server]
        assert entry.state is ServerState.ACTIVE, "sent to a draining or removed server"
        assert len(request.attempts) < self.config.max_attempts
        executions = self.executions(request)
        if not self.config.may_duplicate:
            assert all(a.result is not None for a in request.attempts), "two attempts at once"
        if executions and spec.effect is Effect.UNSAFE:
            raise AssertionError("unsafe request retried after it may have run")
        if executions and spec.effect is Effect.KEYED:
            assert self.now <= executions[0].sent_at + spec.window_ms, "retried outside the window"
            # It must also be written by then, however long the connection takes.
            assert self.now + action.write_within_ms <= executions[0].sent_at + spec.window_ms + 0.001, (
                "written too late"
            )
            server = executions[0].server
            assert spec.scope is not Scope.CELL or entry.cell == server.cell
            assert spec.scope is not Scope.ZONE or entry.zone == server.zone
        assert action.attempt_timeout_ms > 0
        request.attempts.append(SentAttempt(entry, self.now, action.attempt_timeout_ms))

    def send_list(self, kind: ListKind, entries: list[ServerInfo]) -> None:
        if kind is ListKind.FAILED:
            self.step([ServerList(kind)])
            return
        if kind is not ListKind.DELTA:
            self.listed = {}
        for entry in entries:
            self.listed[entry.server] = entry
        self.step([ServerList(kind, tuple(entries))])

    def due_events(self) -> list[Event]:
        """Returns the events of expired timers and of attempts past their timeout or deadline."""
        events: list[Event] = []
        for when in [t for t in self.timers if t <= self.now]:
            self.timers.remove(when)
            events.append(TimerFired(0))
        for name, request in self.requests.items():
            for number, attempt in enumerate(request.attempts):
                end = min(attempt.sent_at + attempt.timeout_ms, request.deadline)
                if attempt.result is None and attempt.cancelled:
                    events.append(self.end(name, number, Result.CANCELLED))
                elif attempt.result is None and self.now >= end:
                    events.append(self.end(name, number, Result.TIMEOUT))
        return events

    def end(self, name: str, number: int, result: Result) -> Outcome:
        request = self.requests[name]
        attempt = request.attempts[number]
        attempt.result = result
        if result is Result.OK:
            request.finished = True
        return Outcome(name, number, result, self.now - attempt.sent_at, request.finished)


ENTRY = st.builds(
    ServerInfo,
    server=st.sampled_from(SERVER_NAMES),
    state=st.sampled_from([ServerState.ACTIVE] * 4 + [ServerState.DRAINING, ServerState.GONE]),
    zone=st.integers(0, 1),
    kind=st.integers(0, 1),
    cell=st.integers(0, 1),
    started=st.sampled_from([None, None, 1.0, 400.0]),
)
# The kind of the move and two arguments that depend on it.
MOVE = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.sampled_from([0.0, 3.0, 150.0, 400.0, 900.0])),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.just(900.0)),
    st.tuples(st.just("pass"), st.sampled_from([5.0, 20.0, 60.0, 200.0]), st.just(0)),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(list(Result))),
    st.tuples(st.just("leave"), st.integers(0, 30), st.booleans()),
    st.tuples(st.just("list"), st.sampled_from(list(ListKind)), st.lists(ENTRY, max_size=5)),
)


@settings(max_examples=250, derandomize=True, deadline=None, suppress_health_check=tuple(HealthCheck))
@given(
    st.sampled_from(CONFIGS),
    st.integers(0, 3),
    st.lists(ENTRY, max_size=6),
    st.lists(MOVE, min_size=10, max_size=70),
)
def test_rules_hold_for_arbitrary_events(
    config: Settings, seed: int, initial: list[ServerInfo], moves: list[tuple[str, object, object]]
) -> None:
    oracle = Oracle(config, seed)
    oracle.send_list(ListKind.SAVED, [e for e in initial if e.state is not ServerState.GONE])
    for count, (kind, a, b) in enumerate(moves):
        if kind == "arrive":
            assert isinstance(a, int) and isinstance(b, float)
            name = f"r{count}"
            oracle.requests[name] = ClientRequest(a, oracle.now + b + (0.001 if b else 0))
            oracle.step([Arrival(name, a, count % 3, count % 4, oracle.requests[name].deadline)])
        elif kind == "pass":
            assert isinstance(a, float)
            for _ in range(int(a / 5)):
                oracle.now += 5
                oracle.step(oracle.due_events())
        elif kind == "list":
            assert isinstance(a, ListKind) and isinstance(b, list)
            oracle.send_list(a, b)
        else:
            assert isinstance(a, int)
            names = list(oracle.requests)
            if not names:
                continue
            name = names[a % len(names)]
            request = oracle.requests[name]
            if kind == "leave":
                if not request.finished:
                    request.finished = True
                    oracle.step([ClientDisconnected(name)] * (2 if b else 1))
                continue
            assert isinstance(b, Result)
            open_attempts = [n for n, x in enumerate(request.attempts) if x.result is None]
            if open_attempts and (b is not Result.CANCELLED or request.attempts[open_attempts[0]].cancelled):
                oracle.step([oracle.end(name, open_attempts[0], b)])
    for _ in range(500):  # until every request has ended
        oracle.now += 5
        oracle.step(oracle.due_events())
    assert all(r.finished for r in oracle.requests.values())
    assert oracle.balancer.requests == {}
    assert all(s.inflight == 0 for s in oracle.balancer.servers.values())
