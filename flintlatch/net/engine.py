"""Between the decision module and the sockets: events in, actions out, requests and attempts by id."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import NamedTuple

from flintlatch.api import (
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Proxies,
    Refuse,
    Result,
    Send,
    ServerList,
    ServiceMoved,
    SetTimer,
    Settings,
    TimerFired,
    Watch,
)
from flintlatch.choice import Balancer
from flintlatch.net.backends import Attempt, Backends
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Discovery, Listing
from flintlatch.net.http1 import Response
from flintlatch.settings import Malformed, Wire

MODULE_REST_S = 0.1  # s from the end of a broken module to the first step of the next
KNOWN_AFTER_S = 1.0  # s that an agent has for its first answer before the list known from before counts
KNOWN_S = 4.0  # s at least that an id is remembered after its request came: no client waits for longer
KNOWN_MOST = 20_000  # ids remembered at most
LOG_LINES = 20  # lines a second: whatever floods the log must not keep the proxy from its work
# What a client needs to read a body; all else is between the proxy and the backend.
PASSED_ON = (b"content-type", b"content-encoding", b"content-language")
PROBE_HEAD = b"GET /stats HTTP/1.1\r\nhost: backend.local\r\n"


class Logger:
    """Lines to standard error, so many a second; how many more there were is told in the next one."""

    def __init__(self) -> None:
        self.second, self.lines, self.dropped = 0, 0, 0

    def __call__(self, line: str) -> None:
        second = int(now_ms() / 1000)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        if self.lines > LOG_LINES:
            self.dropped += 1
            return
        if self.dropped:
            line, self.dropped = f"{line} ({self.dropped} lines before it left out)", 0
        self.write(line)

    def write(self, line: str) -> None:
        print(f"flintlatch: {line}", file=sys.stderr, flush=True)


log = Logger()


class Answer(NamedTuple):
    status: int
    headers: bytes = b""  # whole lines
    body: bytes = b""
    retry_after_ms: float = 0.0  # the same that the headers say


class Taken(NamedTuple):
    """A request that the proxy has read whole."""

    id: str
    cls: int
    tenant: int
    key: int | None
    budget_ms: float
    repeat: bool
    head: bytes  # request line and headers for the backend, without the empty line at the end
    body: bytes
    answer: Callable[[Answer], None]
    after_ms: float = inf  # what is left once an upload is here whole
    uploading: bool = False  # the body is still on the way
    holds: int = 0  # bytes that it may take up here


class PendingRequest:
    """A request until it is answered and its last attempt has ended."""

    def __init__(self, taken: Taken) -> None:
        self.request = taken
        self.attempts: list[Attempt] = []
        self.over = False
        self.arrived_ms = now_ms()
        self.response_body_bytes = 0  # of the final answer's body
        self.status, self.completed_ms = 0, 0.0  # of the final answer; 0: the client left before it
        self.timer: asyncio.TimerHandle | None = None


class Engine:
    def __init__(self, settings: Settings, wire: Wire, seed: int, most_connections: int) -> None:
        self.settings, self.seed = settings, seed
        self.balancer = Balancer(settings, seed)
        self.backends = Backends(
            wire.connect_timeout_ms, wire.conn_idle_ms, most_connections, wire.source_host
        )
        self.probe_limit_ms = wire.connect_timeout_ms
        self.discovery: Discovery | None = None
        self.requests: dict[str, PendingRequest] = {}
        self.known: dict[str, float] = {}  # ids of late, with the time at which they came, oldest first
        self.longest_ms = max(c.deadline_ms for c in settings.classes)
        self.list_revision = 0  # version of the list held
        self.list_complaint = ""  # why the last call for it failed
        self.list_events: list[ServerList] = []
        self.events: list[Event] = []
        self.ended: list[PendingRequest] = []  # to be forgotten once the module has been told of their end
        self.turn: asyncio.Handle | None = None
        self.life = 0  # of the module; a new one starts after it broke
        # What others agreed on, as events that are due: asked before each step, so that the end of a word is
        # tested when it is used.
        self.agreed_events: Callable[[int], list[Event]] | None = None  # given the module's life
        self.request_observer: Callable[[PendingRequest], None] | None = (
            None  # hears of each request when all of it is over
        )
        self.on_end: Callable[[int, int], None] = lambda cls, status: None  # of each final answer, at once
        self.loop = asyncio.get_running_loop()

    # What happens outside

    def on_list(self, listing: Listing, kind: ListKind | None = None) -> None:
        """Raises Malformed for a whole list without a server while one with some is held: a service that
        recovers may say so, and there is nobody to serve by it."""
        if (
            listing.is_snapshot
            and not listing.targets
            and self.backends.backends
            and kind is not ListKind.SAVED
        ):
            raise Malformed("list: empty, and the one held is not")
        self.list_complaint = ""
        # The pools hear of a drain here and now, before anything else of this turn can be written.
        self.list_revision = listing.revision
        self.backends.update(listing.targets, listing.is_snapshot)
        kind = kind or (ListKind.FULL if listing.is_snapshot else ListKind.CHANGES)
        self.list_events.append(ServerList(kind, tuple(target.info for target in listing.targets)))
        self._wake()

    def watch_agent(self, known: Listing) -> None:
        """Watch an agent. Until it has answered, `known` may name servers that drain and count as told of; if
        it does not answer, or names nobody, `known` is all there is."""
        assert self.discovery is not None
        self.discovery.watch()
        self.loop.call_later(KNOWN_AFTER_S, self._fall_back, known)

    def _fall_back(self, known: Listing) -> None:
        if not self.backends.backends:
            self.on_list(known, ListKind.SAVED)

    def on_list_failure(self, reason: str) -> None:
        if reason != self.list_complaint:  # said once, not at each of the calls that follow
            log(f"list: {reason}")
        self.list_complaint = reason
        if self.settings.ask_for_list:
            self.list_events.append(ServerList(ListKind.FAILED))
            self._wake()

    def move_list(self, address: str) -> None:
        """The list comes from another service from now on; the one held stands until that has answered."""
        if self.discovery is not None and self.discovery.change_address(address):
            log(f"list: now from {address}")
            if self.settings.ask_for_list:
                self._raise(ServiceMoved())
            else:
                self.discovery.watch()

    def take(self, taken: Taken) -> bool:
        """False if a request of this id is open or was of late: ids don't return, and another's must not."""
        self._forget_ids()
        if taken.id in self.known or taken.id in self.requests:
            return False
        self.known[taken.id] = now_ms()
        # No client waits longer than its class allows: a larger budget would skew what the module learns.
        budget = taken.budget_ms
        if not taken.uploading:
            budget = min(budget, self.settings.classes[taken.cls].deadline_ms)
        held = self.requests[taken.id] = PendingRequest(taken)
        held.timer = self.loop.call_later(max(budget, 0.0) / 1000, self._deadline, held)
        key, repeat = taken.key, taken.repeat
        until = now_ms() + budget
        more = (taken.after_ms, taken.uploading, taken.holds)
        self._raise(Arrival(taken.id, taken.cls, taken.tenant, key, until, repeat, *more))
        return True

    def _forget_ids(self) -> None:
        oldest = now_ms() - max(KNOWN_S * 1000, self.longest_ms)
        while self.known:
            first = next(iter(self.known))
            if self.known[first] > oldest and len(self.known) < KNOWN_MOST:
                break
            del self.known[first]

    def client_gone(self, request_id: str) -> None:
        held = self.requests.get(request_id)
        if held is None or held.over:
            return
        self._close(held)
        self._raise(ClientGone(request_id))

    def _deadline(self, held: PendingRequest) -> None:
        """The module let the client's time run out; the client gets its one answer all the same."""
        if not held.over:
            self._answer(held, Answer(504))
            self._raise(ClientGone(held.request.id))

    def fail_all(self) -> None:
        """The proxy ends: whatever has no answer yet gets its final one now."""
        for held in list(self.requests.values()):
            self._deadline(held)

    def unavailable(self) -> int:
        """Servers on the list that get nothing new, by the module's word."""
        return self.balancer.unavailable(now_ms())

    def open_requests(self) -> int:
        return sum(not held.over for held in self.requests.values())

    def _on_attempt(
        self, held: PendingRequest, number: int, attempt: Attempt, result: Result, got: Response | None
    ) -> None:
        if result is Result.OK and got is not None and not held.over:
            headers = b"".join(b"%b: %b\r\n" % pair for pair in got.headers if pair[0] in PASSED_ON)
            self._answer(held, Answer(200, headers, got.body))
        delay = now_ms() - attempt.start_ms
        self._raise(Outcome(held.request.id, number, result, delay, held.over))
        self._forget(held)

    def _on_probe(self, attempt: Attempt, result: Result, _: Response | None) -> None:
        self._raise(ProbeResult(attempt.uid, result, now_ms() - attempt.start_ms))

    def _on_timer(self, token: int, life: int) -> None:
        if life == self.life:
            self._raise(TimerFired(token))

    # One turn of the loop, one step

    def _raise(self, event: Event) -> None:
        self.events.append(event)
        self._wake()

    def wake(self) -> None:
        """A step in the next turn, whatever has happened."""
        self._wake()

    def _wake(self) -> None:
        if self.turn is None:
            self.turn = self.loop.call_soon(self._step)

    def _step(self) -> None:
        self.turn = None
        batch: list[Event] = [*self.list_events, *self.events]
        if self.agreed_events is not None and (words := self.agreed_events(self.life)):
            batch = [*words, *batch]
            for word in words:
                if isinstance(word, Proxies):  # a module that takes over after a fault begins there
                    self.settings = replace(self.settings, proxies=max(word.proxies, 1), me=word.me)
        self.list_events, self.events = [], []
        ended, self.ended = self.ended, []
        try:
            actions = self.balancer.step(now_ms(), batch)
        except Exception:
            self._restart_decision_module()
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # the other actions of the batch, the next beat among them, must not go with it
                log(f"bug: {action} was not carried out\n{traceback.format_exc()}")
        for held in ended:
            # Not earlier: the module may have sent it again in the step that told it of the end, and each
            # sending is owed its outcome.
            if self.requests.get(held.request.id) is held and all(attempt.ended for attempt in held.attempts):
                del self.requests[held.request.id]
                if self.request_observer is not None:
                    self.request_observer(held)

    def _restart_decision_module(self) -> None:
        """What a module that raised still knows can't be trusted: its requests fail, a new one takes over."""
        log(f"the decision module broke\n{traceback.format_exc()}")
        self.life += 1
        self.balancer = Balancer(self.settings, self.seed + self.life)
        entries = tuple(backend.target.info for backend in self.backends.backends.values())
        self.list_events, self.events, self.ended = [ServerList(ListKind.SAVED, entries)], [], []
        # One that breaks at once, again and again, must leave time for answering.
        self.turn = self.loop.call_later(MODULE_REST_S, self._step)
        # An answer may bring the next request of its connection, which is the new module's.
        broken, self.requests = self.requests, {}
        for held in broken.values():
            for attempt in held.attempts:
                self.backends.cancel(attempt)
            if not held.over:
                self._answer(held, Answer(500))

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, (Refuse, Fail)):
            held = self.requests.get(action.request)
            if held is not None and not held.over:
                self._answer(held, refusal(action) if isinstance(action, Refuse) else Answer(504))
        elif isinstance(action, Cancel):
            held = self.requests.get(action.request)
            if held is not None and action.attempt < len(held.attempts):
                self.backends.cancel(held.attempts[action.attempt])
        elif isinstance(action, SetTimer):
            self.loop.call_later(action.delay_ms / 1000, self._on_timer, action.token, self.life)
        elif isinstance(action, Watch):
            if self.discovery is not None:
                self.discovery.watch()
        elif isinstance(action, Probe):
            self.backends.start(Attempt(action.server, PROBE_HEAD, b"", self.probe_limit_ms, self._on_probe))
        elif isinstance(action, Log):
            log(action.text)

    def _send(self, action: Send) -> None:
        held = self.requests.get(action.request)
        if held is None:
            return
        number, taken = len(held.attempts), held.request
        attempt = Attempt(
            action.server,
            taken.head,
            taken.body,
            action.limit_ms,
            lambda ended, result, response: self._on_attempt(held, number, ended, result, response),
            action.within_ms,
        )
        held.attempts.append(attempt)
        if held.over or number >= self.settings.most_attempts:
            attempt.end(Result.NOT_SENT)
        else:
            self.backends.start(attempt)

    def close(self) -> None:
        self.backends.close()
        if self.discovery is not None:
            self.discovery.close()

    # The end of a request

    def _answer(self, held: PendingRequest, answer: Answer) -> None:
        held.status, held.response_body_bytes = answer.status, len(answer.body)
        self.on_end(held.request.cls, answer.status)
        self._close(held)
        held.request.answer(answer)

    def _close(self, held: PendingRequest) -> None:
        held.over, held.completed_ms = True, now_ms()
        if held.timer is not None:
            held.timer.cancel()
        self._forget(held)

    def _forget(self, held: PendingRequest) -> None:
        if held.over and all(attempt.ended for attempt in held.attempts):
            self.ended.append(held)


def refusal(action: Refuse) -> Answer:
    if action.retry_after_ms <= 0:
        return Answer(503)
    line = b"retry-after: %.3f\r\n" % (action.retry_after_ms / 1000)
    return Answer(503, line, retry_after_ms=action.retry_after_ms)
