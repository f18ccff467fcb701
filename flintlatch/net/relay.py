"""Runs exchanges with the decision module, by the same events and actions as complete requests."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import NamedTuple, cast

from flintlatch.api import (
    NEVER_RAN,
    Action,
    BodyDiscarded,
    BodyForwarded,
    BodyReceived,
    ClientDisconnected,
    EndReason,
    Outcome,
    ResponseStarted,
    Result,
    Send,
    SetAttemptTimeout,
    Settings,
)
from flintlatch.exchange import (
    Budget,
    Ending,
    Exchange,
    ExchangeLimits,
    NodeSide,
    Phase,
    ProxyResponse,
    Response,
)
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import AcceptedRequest, Answer, Engine, PendingRequest
from flintlatch.net.guard import bugs
from flintlatch.net.http1 import Response as WholeResponse
from flintlatch.net.log import log
from flintlatch.settings import SocketSettings

# For the rest of a short request: most arrive in one or two segments. After this time the request is offered
# to the decision module, and then it occupies a slot.
GATHER_TIMEOUT_S = 0.05
STALL_CHECK_INTERVAL_S = 0.25
BROKEN_RESPONSE_STATUS = 502  # recorded for a response that began and can't be completed
DEFAULT_RETRY_AFTER_MS = 1000.0  # where the decision module gave no delay


class Refusal(NamedTuple):
    """A request that a front end rejected, for the access log."""

    status: int
    reason: str
    method: bytes = b""
    target: bytes = b""


class RelayAttempt(Attempt):
    """One attempt of an exchange at one node."""

    def __init__(
        self,
        uid: str,
        exchange: Exchange,
        timeout_ms: float,
        done: Callable[[Attempt, Result, WholeResponse | None], None],
        write_within_ms: float = inf,
    ) -> None:
        super().__init__(uid, b"", b"", timeout_ms, done, write_within_ms)
        self.exchange = exchange
        # Time at which its node had the whole request; 0: not yet.
        self.request_sent_ms = self.start_ms if exchange.upload.complete else 0.0
        self.stream_started: ResponseStarted | None = None  # set when its response begins
        self.node: NodeSide | None = None  # the connection that carries it, or did

    def still_wanted(self) -> bool:
        """As the base method: not for an exchange that has ended, nor one whose body is not complete any
        more. The loop may not have noticed yet that the client has left: a client that has sent much is not
        read for a while, and its last bytes are read before the end of the connection."""
        if self.exchange.has_ended or self.exchange.upload.discarded:
            self.end(Result.NOT_SENT)
            return False
        if not self.exchange.client.gone():
            self.exchange.look_for_end(now_ms() / 1000)
            return True
        self.end(Result.NOT_SENT)
        self.exchange.client_left(now_ms() / 1000)
        return False


class RelayEngine(Engine):
    """An engine for exchanges, whose bodies are passed on while they arrive."""

    def __init__(
        self,
        settings: Settings,
        wire: SocketSettings,
        seed: int,
        max_connections: int,
        body_bytes: int,
        terms: tuple[ExchangeLimits, ...],
        connection_factory: Callable[[Backends, Backend], Connection],
    ) -> None:
        """`body_bytes`: memory for what is held for all clients and servers together. `terms`: by class.
        `connection_factory`: makes a connection to a node, which is also a `NodeSide`."""
        super().__init__(settings, wire, seed, max_connections, Budget(body_bytes, max_connections))
        self.backends.connection_factory = connection_factory
        self.terms = terms
        self.exchanges: dict[str, Exchange] = {}
        self.reserved_bytes: dict[str, int] = {}
        self.exchange_observer: Callable[[Exchange, list[Attempt]], None] | None = None
        self.refusal_observer: Callable[[Refusal], None] | None = None
        self.stall_timer = self.loop.call_later(STALL_CHECK_INTERVAL_S, self._tick)

    # Called by a front end

    def open(self, exchange: Exchange, uploading: bool) -> bool:
        """Registers the exchange and reserves the memory that it may need; false if too little is left.
        Raises KeyError if a request with its id is open or was recently."""
        request_id = exchange.routing.id
        if request_id in self.exchanges or request_id in self.recent_ids or request_id in self.requests:
            raise KeyError(request_id)
        if not self.has_room():
            return False
        # The maximum is reserved at once, so that no slow request runs out of memory half-way.
        memory_bytes = self.max_memory_bytes(exchange, uploading)
        if not self.memory.reserve(memory_bytes):
            return False
        self.exchanges[request_id], self.reserved_bytes[request_id] = exchange, memory_bytes
        return True

    def has_room(self) -> bool:
        """Whether another exchange may be opened."""
        return True

    def max_memory_bytes(self, exchange: Exchange, uploading: bool) -> int:
        """The largest number of bytes that the exchange may buffer."""
        return exchange.limits.max_buffered_bytes(uploading)

    def start_gather_timer(self, exchange: Exchange) -> None:
        """Waits GATHER_TIMEOUT_S for the rest of a request before it is offered to the decision module."""
        self.loop.call_later(GATHER_TIMEOUT_S, self._on_gather_timeout, exchange)

    def _on_gather_timeout(self, exchange: Exchange) -> None:
        if self.exchanges.get(exchange.routing.id) is exchange:
            exchange.offer(now_ms() / 1000)

    # `Owner` of the exchanges

    def request_server(self, exchange: Exchange, uploading: bool) -> None:
        routing, limits = exchange.routing, exchange.limits
        total_budget_ms = (
            routing.budget_ms
            if routing.budget_includes_upload or not uploading
            else limits.upload_ms + routing.budget_ms
        )
        memory_bytes = self.reserved_bytes[routing.id]

        def respond(answer: Answer) -> None:
            exchange.answer(now_ms() / 1000, ProxyResponse(answer.status, answer.retry_after_ms))

        upload_fields = (routing.budget_ms, uploading, memory_bytes)
        fields = (
            routing.id,
            routing.cls,
            routing.tenant,
            routing.key,
            total_budget_ms,
            routing.is_retry,
            b"",
            b"",
            respond,
        )
        if not self.accept(AcceptedRequest(*fields, *upload_fields)):
            raise AssertionError(f"id {routing.id} was free in open(), but is in use now")

    def on_body_received(self, exchange: Exchange) -> None:
        self._post_event(BodyReceived(exchange.routing.id))
        self.on_request_arrived(exchange)

    def on_request_arrived(self, exchange: Exchange) -> None:
        pending = self.requests.get(exchange.routing.id)
        if pending is not None and not pending.completed:
            self._shorten_deadline(pending, max(exchange.left_ms(now_ms() / 1000), 0.0))

    def on_body_discarded(self, exchange: Exchange) -> None:
        self._post_event(BodyDiscarded(exchange.routing.id))

    def on_request_sent(self, exchange: Exchange, node: NodeSide) -> None:
        located = self._find_attempt(exchange, node)
        if located is not None and not located[2].request_sent_ms:
            pending, number, attempt = located
            attempt.request_sent_ms = now_ms()
            if not pending.completed:
                self._shorten_deadline(pending, exchange.routing.budget_ms)
            self._post_event(BodyForwarded(exchange.routing.id, number))

    def on_response_begun(self, exchange: Exchange, node: NodeSide, head: Response) -> None:
        """The final response has begun: the deadline is met, and only the limits of the transfer apply from
        now on."""
        located = self._find_attempt(exchange, node)
        if located is None:
            return
        pending, number, attempt = located
        if attempt.timer is not None:
            attempt.timer.cancel()
        delay = now_ms() - attempt.request_sent_ms if attempt.request_sent_ms else 0.0
        attempt.stream_started = ResponseStarted(exchange.routing.id, number, delay, result_of_head(head))
        self._post_event(attempt.stream_started)
        self._complete(pending)

    def cancel_attempts(self, exchange: Exchange) -> None:
        request_id = exchange.routing.id
        pending = self.requests.get(request_id)
        if pending is None:
            return
        self.client_gone(request_id)
        for attempt in pending.attempts:
            if not attempt.ended:
                self.backends.cancel(attempt)

    def time_out_attempt(self, exchange: Exchange, node: NodeSide) -> None:
        located = self._find_attempt(exchange, node)
        if located is not None:
            self.backends.time_out(located[2])

    def on_exchange_ended(self, exchange: Exchange) -> None:
        request_id = exchange.routing.id
        if exchange.ending is Ending.ANSWERED:
            self.on_final_status(exchange.routing.cls, exchange.status)
        elif exchange.ending in (Ending.NODE_BROKE, Ending.NODE_STALLED):
            # Replaces the status of the head, which was reported when the response began.
            self.on_final_status(exchange.routing.cls, BROKEN_RESPONSE_STATUS)
        pending = self.requests.get(request_id)
        if pending is None or all(attempt.ended for attempt in pending.attempts):
            self._remove_exchange(request_id, pending)

    def report_refusal(self, refusal: Refusal) -> None:
        """A front end rejected a request before it became an exchange."""
        if self.refusal_observer is not None:
            self.refusal_observer(refusal)

    def _find_attempt(
        self, exchange: Exchange, node: NodeSide
    ) -> tuple[PendingRequest, int, RelayAttempt] | None:
        pending = self.requests.get(exchange.routing.id)
        for number, attempt in enumerate(pending.attempts if pending is not None else ()):
            relayed = cast(RelayAttempt, attempt)
            if not relayed.ended and relayed.node is node:
                assert pending is not None
                return pending, number, relayed
        return None

    # Deadlines and stalls

    def _shorten_deadline(self, pending: PendingRequest, budget_ms: float) -> None:
        """Limits the wait for the response to `budget_ms` from now on, but never extends the deadline."""
        if pending.timer is not None and self.loop.time() + budget_ms / 1000 < pending.timer.when():
            pending.timer.cancel()
            pending.timer = self.loop.call_later(budget_ms / 1000, self._on_deadline, pending)

    def _on_deadline(self, pending: PendingRequest) -> None:
        """Answers 503 with Retry-After if no attempt can have been executed, and 504 otherwise."""
        if pending.completed:
            return
        never_ran = all(attempt.result in NEVER_RAN for attempt in pending.attempts)
        self._count_unserved(pending, EndReason.DEADLINE)
        self._post_event(ClientDisconnected(pending.request.id))
        self._respond(
            pending, Answer(503, retry_after_ms=DEFAULT_RETRY_AFTER_MS) if never_ran else Answer(504)
        )

    def _tick(self) -> None:
        self.stall_timer = self.loop.call_later(STALL_CHECK_INTERVAL_S, self._tick)
        now_s = now_ms() / 1000
        for exchange in list(self.exchanges.values()):
            try:
                self._check_exchange(exchange, now_s)
            except Exception as error:
                bugs.report(f"the check of exchange {exchange.routing.id}", error)
                exchange.client.reset()

    def _check_exchange(self, exchange: Exchange, now_s: float) -> None:
        stall = exchange.tick(now_s)
        if stall is not None:
            log.event("transfer_stalled", id=exchange.routing.id, reason=stall.value)

    # Actions of the decision module

    def _execute(self, action: Action) -> None:
        if isinstance(action, SetAttemptTimeout):
            pending = self.requests.get(action.request)
            if pending is not None and action.attempt < len(pending.attempts):
                self.backends.set_timeout(pending.attempts[action.attempt], action.attempt_timeout_ms)
        else:
            super()._execute(action)

    def _send(self, action: Send) -> None:
        pending, exchange = self.requests.get(action.request), self.exchanges.get(action.request)
        if pending is None:
            return
        number = len(pending.attempts)
        if exchange is None:  # answered in this step; each attempt needs an outcome all the same
            unsent_attempt = Attempt(
                action.server,
                b"",
                b"",
                action.attempt_timeout_ms,
                lambda ended, result, _: self._on_attempt_end(pending, number, ended, result, None),
            )
            pending.attempts.append(unsent_attempt)
            unsent_attempt.end(Result.NOT_SENT)
            return
        attempt = RelayAttempt(
            action.server,
            exchange,
            action.attempt_timeout_ms,
            lambda ended, result, _: self._on_relay_attempt_end(
                pending, number, cast(RelayAttempt, ended), result
            ),
            action.write_within_ms,
        )
        pending.attempts.append(attempt)
        if pending.completed or number >= self.settings.max_attempts or exchange.upload.discarded:
            attempt.end(Result.NOT_SENT)
        else:
            self._count_attempt(pending, number, attempt)
            self.backends.start(attempt)

    def _on_relay_attempt_end(
        self, pending: PendingRequest, number: int, attempt: RelayAttempt, result: Result
    ) -> None:
        exchange = attempt.exchange
        if attempt.node is not None:
            exchange.detach(now_ms() / 1000, attempt.node)  # no effect once the exchange has finished
        if (
            attempt.stream_started is not None
            and self.events
            and self.events[-1] is attempt.stream_started
            and attempt.request_sent_ms
        ):
            self.events.pop()  # the response was complete in the same loop turn: not a transfer
            delay = attempt.stream_started.latency_ms
        else:
            delay = now_ms() - (attempt.request_sent_ms or attempt.start_ms)
        self.counts.add(result)
        self._post_event(Outcome(pending.request.id, number, result, delay, pending.completed))
        self._forget_if_finished(pending)

    def _forget_if_finished(self, pending: PendingRequest) -> None:
        super()._forget_if_finished(pending)
        request_id = pending.request.id
        exchange = self.exchanges.get(request_id)
        if (
            pending.completed
            and all(attempt.ended for attempt in pending.attempts)
            and (exchange is None or exchange.has_ended)
        ):
            self._remove_exchange(request_id, pending)

    def _remove_exchange(self, request_id: str, pending: PendingRequest | None = None) -> None:
        exchange = self.exchanges.pop(request_id, None)
        if exchange is not None:
            self.memory.release(self.reserved_bytes.pop(request_id))
            if self.exchange_observer is not None:
                self.exchange_observer(exchange, pending.attempts if pending is not None else [])

    def _restart_decision_module(self) -> None:
        super()._restart_decision_module()
        for request_id, exchange in list(self.exchanges.items()):
            if request_id not in self.requests and exchange.phase is not Phase.GATHERING:
                exchange.answer(now_ms() / 1000, ProxyResponse(500))
                self._remove_exchange(request_id)

    def close(self) -> None:
        self.stall_timer.cancel()
        super().close()


def result_of_head(head: Response) -> Result:
    """The result of an attempt by the status of its response. A response with an error status is passed on to
    the client in any case, because the proxy can't know what the node meant by it."""
    if head.status >= 500:
        return Result.ERROR
    return Result.INVALID if 400 <= head.status < 500 else Result.OK
