"""Hosts exchanges: the same events and actions as everywhere between them and the decision module."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple, cast

from flintlatch.api import (
    NEVER_RAN,
    Action,
    BodyCame,
    BodyGone,
    BodySent,
    ClientGone,
    Limit,
    Outcome,
    Result,
    Send,
    Settings,
    StreamStarted,
)
from flintlatch.exchange import Budget, Ending, Exchange, NodeSide, Own, Phase, Response, Terms
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer, Engine, PendingRequest, Taken, log
from flintlatch.net.http1 import Response as ReadWhole
from flintlatch.settings import Wire

GATHER_S = 0.05  # s for the rest of a short request: most come in one or two segments, and then cost a place
TICK_S = 0.25  # s between looks at what stalls
BROKEN = 502  # stands for an answer that began and can't be finished
RETRY_MS = 1000.0  # when to come back, where the module gave no time


class Refusal(NamedTuple):
    status: int
    reason: str
    method: bytes = b""
    target: bytes = b""


class RelayAttempt(Attempt):
    """One sending of an exchange to one node."""

    def __init__(
        self,
        uid: str,
        exchange: Exchange,
        limit_ms: float,
        done: Callable[[Attempt, Result, ReadWhole | None], None],
        within_ms: float = inf,
    ) -> None:
        super().__init__(uid, b"", b"", limit_ms, done, within_ms)
        self.exchange = exchange
        self.whole_ms = self.start_ms if exchange.upload.complete else 0.0  # when its node had all of it
        self.told: StreamStarted | None = None  # its answer has begun
        self.node: NodeSide | None = None  # the connection that has carried it

    def still_wanted(self) -> bool:
        """A client that left may not have been heard yet: it is not read while it has sent much, and what it
        sent last is read before its end."""
        if not self.exchange.client.gone():
            return True
        self.end(Result.NOT_SENT)
        self.exchange.client_left(now_ms() / 1000)
        return False


class RelayEngine(Engine):
    def __init__(
        self,
        settings: Settings,
        wire: Wire,
        seed: int,
        most_connections: int,
        body_bytes: int,
        terms: tuple[Terms, ...],
        make: Callable[[Backends, Backend], Connection],
    ) -> None:
        """`body_bytes`: that the bodies of all requests may hold together. `terms`: by class. `make`: a
        connection to a node, which is a `NodeSide` too."""
        super().__init__(settings, wire, seed, most_connections)
        self.backends.connection_factory = make
        self.budget = Budget(body_bytes)
        self.terms = terms
        self.exchanges: dict[str, Exchange] = {}
        self.reserved: dict[str, int] = {}
        self.exchange_observer: Callable[[Exchange, list[Attempt]], None] | None = None
        self.refusal_observer: Callable[[Refusal], None] | None = None
        self.ticker = self.loop.call_later(TICK_S, self._tick)

    # From a front

    def open(self, exchange: Exchange, uploading: bool) -> bool:
        """Take it in, with the memory that it may need; false if there is none left. Raises KeyError if a
        request of its id is open or was of late."""
        name = exchange.ask.id
        self._forget_ids()
        if name in self.exchanges or name in self.known or name in self.requests:
            raise KeyError(name)
        # What it may hold at most is set aside at once: of many slow ones, none must find nothing left.
        holds = self.holds(exchange, uploading)
        if not self.budget.reserve(holds):
            return False
        self.exchanges[name], self.reserved[name] = exchange, holds
        return True

    def holds(self, exchange: Exchange, uploading: bool) -> int:
        """Bytes that it may hold at most."""
        return exchange.terms.holds(uploading)

    def start_gather_timer(self, exchange: Exchange) -> None:
        """Its rest may be on the way: it has a moment to come."""
        self.loop.call_later(GATHER_S, self._gathered, exchange)

    def _gathered(self, exchange: Exchange) -> None:
        if self.exchanges.get(exchange.ask.id) is exchange:
            exchange.offer(now_ms() / 1000)

    # The owner of exchanges

    def ask(self, exchange: Exchange, uploading: bool) -> None:
        ask, terms = exchange.ask, exchange.terms
        total = ask.budget_ms if ask.whole_wait or not uploading else terms.upload_ms + ask.budget_ms
        holds = self.reserved[ask.id]

        def answer(given: Answer) -> None:
            exchange.answer(now_ms() / 1000, Own(given.status, given.retry_after_ms))

        rest = (ask.budget_ms, uploading, holds)
        told = (ask.id, ask.cls, ask.tenant, ask.key, total, ask.repeat, b"", b"", answer)
        if not self.take(Taken(*told, *rest)):
            raise AssertionError(f"{ask.id} was opened, and is taken")

    def body_came(self, exchange: Exchange) -> None:
        self._raise(BodyCame(exchange.ask.id))
        held = self.requests.get(exchange.ask.id)
        if held is not None and not held.over:
            self._deadline_in(held, exchange.ask.budget_ms)

    def body_gone(self, exchange: Exchange) -> None:
        self._raise(BodyGone(exchange.ask.id))

    def body_sent(self, exchange: Exchange, node: NodeSide) -> None:
        found = self._attempt_of(exchange, node)
        if found is not None and not found[2].whole_ms:
            held, number, attempt = found
            attempt.whole_ms = now_ms()
            if not held.over:
                self._deadline_in(held, exchange.ask.budget_ms)
            self._raise(BodySent(exchange.ask.id, number))

    def begun(self, exchange: Exchange, node: NodeSide, head: Response) -> None:
        """The deadline has been met, and time is the transfer's from here on."""
        found = self._attempt_of(exchange, node)
        if found is None:
            return
        held, number, attempt = found
        if attempt.timer is not None:
            attempt.timer.cancel()
        delay = now_ms() - attempt.whole_ms if attempt.whole_ms else 0.0
        attempt.told = StreamStarted(exchange.ask.id, number, delay, result_of(head))
        self._raise(attempt.told)
        self._close(held)

    def give_up(self, exchange: Exchange) -> None:
        name = exchange.ask.id
        held = self.requests.get(name)
        if held is None:
            return
        self.client_gone(name)
        for attempt in held.attempts:
            if not attempt.ended:
                self.backends.cancel(attempt)

    def blame(self, exchange: Exchange, node: NodeSide) -> None:
        found = self._attempt_of(exchange, node)
        if found is not None:
            self.backends.time_out(found[2])

    def over(self, exchange: Exchange) -> None:
        name = exchange.ask.id
        if exchange.ending is Ending.ANSWERED:
            self.on_end(exchange.ask.cls, exchange.status)
        elif exchange.ending in (Ending.NODE_BROKE, Ending.NODE_STALLED):
            self.on_end(
                exchange.ask.cls, BROKEN
            )  # what was told before, with the status of its head, is void
        held = self.requests.get(name)
        if held is None or all(attempt.ended for attempt in held.attempts):
            self._drop(name, held)

    def report_refusal(self, refusal: Refusal) -> None:
        """A front has turned a request away before it was one."""
        if self.refusal_observer is not None:
            self.refusal_observer(refusal)

    def _attempt_of(
        self, exchange: Exchange, node: NodeSide
    ) -> tuple[PendingRequest, int, RelayAttempt] | None:
        held = self.requests.get(exchange.ask.id)
        for number, attempt in enumerate(held.attempts if held is not None else ()):
            relayed = cast(RelayAttempt, attempt)
            if not relayed.ended and relayed.node is node:
                assert held is not None
                return held, number, relayed
        return None

    # Time

    def _deadline_in(self, held: PendingRequest, budget_ms: float) -> None:
        """From here on it is waited for so long, and no longer than was said before."""
        if held.timer is not None and self.loop.time() + budget_ms / 1000 < held.timer.when():
            held.timer.cancel()
            held.timer = self.loop.call_later(budget_ms / 1000, self._deadline, held)

    def _deadline(self, held: PendingRequest) -> None:
        if held.over:
            return
        unsent = all(attempt.result in NEVER_RAN for attempt in held.attempts)
        self._raise(ClientGone(held.request.id))
        self._answer(held, Answer(503, retry_after_ms=RETRY_MS) if unsent else Answer(504))

    def _tick(self) -> None:
        self.ticker = self.loop.call_later(TICK_S, self._tick)
        now_s = now_ms() / 1000
        for exchange in list(self.exchanges.values()):
            stall = exchange.tick(now_s)
            if stall is not None:
                log(f"{exchange.ask.id}: {stall.value}")

    # The module's actions

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Limit):
            held = self.requests.get(action.request)
            if held is not None and action.attempt < len(held.attempts):
                self.backends.set_timeout(held.attempts[action.attempt], action.limit_ms)
        else:
            super()._carry_out(action)

    def _send(self, action: Send) -> None:
        held, exchange = self.requests.get(action.request), self.exchanges.get(action.request)
        if held is None:
            return
        number = len(held.attempts)
        if exchange is None:  # answered in this very step; each sending is owed its outcome
            late = Attempt(
                action.server,
                b"",
                b"",
                action.limit_ms,
                lambda ended, result, _: self._on_attempt(held, number, ended, result, None),
            )
            held.attempts.append(late)
            late.end(Result.NOT_SENT)
            return
        attempt = RelayAttempt(
            action.server,
            exchange,
            action.limit_ms,
            lambda ended, result, _: self._on_end(held, number, cast(RelayAttempt, ended), result),
            action.within_ms,
        )
        held.attempts.append(attempt)
        if held.over or number >= self.settings.most_attempts or exchange.upload.gone:
            attempt.end(Result.NOT_SENT)
        else:
            self.backends.start(attempt)

    def _on_end(self, held: PendingRequest, number: int, attempt: RelayAttempt, result: Result) -> None:
        exchange = attempt.exchange
        if attempt.node is not None:
            exchange.detach(now_ms() / 1000, attempt.node)  # nothing, if it has finished
        if attempt.told is not None and self.events and self.events[-1] is attempt.told and attempt.whole_ms:
            self.events.pop()  # a short answer, here whole in the same turn: it never was a transfer
            delay = attempt.told.delay
        else:
            delay = now_ms() - (attempt.whole_ms or attempt.start_ms)
        self._raise(Outcome(held.request.id, number, result, delay, held.over))
        self._forget(held)

    def _forget(self, held: PendingRequest) -> None:
        super()._forget(held)
        name = held.request.id
        exchange = self.exchanges.get(name)
        if held.over and all(a.ended for a in held.attempts) and (exchange is None or exchange.over):
            self._drop(name, held)

    def _drop(self, name: str, held: PendingRequest | None = None) -> None:
        exchange = self.exchanges.pop(name, None)
        if exchange is not None:
            self.budget.release(self.reserved.pop(name))
            if self.exchange_observer is not None:
                self.exchange_observer(exchange, held.attempts if held is not None else [])

    def _restart_decision_module(self) -> None:
        super()._restart_decision_module()
        for name, exchange in list(self.exchanges.items()):
            if name not in self.requests and exchange.phase is not Phase.GATHERING:
                exchange.answer(now_ms() / 1000, Own(500))
                self._drop(name)

    def close(self) -> None:
        self.ticker.cancel()
        super().close()


def result_of(head: Response) -> Result:
    """What an answer's head tells of its node. An error is the client's all the same: a front is not to
    guess what a node meant."""
    if head.status >= 500:
        return Result.ERROR
    return Result.INVALID if 400 <= head.status < 500 else Result.OK
