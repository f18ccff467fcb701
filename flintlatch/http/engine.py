"""Between the decision module and streamed requests: the same events and actions as everywhere."""

from __future__ import annotations

from flintlatch.api import BodyGone, Outcome, Result, Send, Settings, StreamStarted
from flintlatch.http.call import Call, State
from flintlatch.http.streams import StreamAttempt, StreamConnection
from flintlatch.http.transfer import Budget, Side, Stall
from flintlatch.net.backends import Attempt, Backend, Backends, Connection
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Answer, Engine, Held, Taken
from flintlatch.net.http1 import Response
from flintlatch.settings import Wire


def make_connection(pool: Backends, backend: Backend) -> Connection:
    return StreamConnection(pool, backend)


class HttpEngine(Engine):
    def __init__(
        self, settings: Settings, wire: Wire, seed: int, most_connections: int, body_bytes: int
    ) -> None:
        """`body_bytes`: that the bodies of all requests may hold together."""
        super().__init__(settings, wire, seed, most_connections)
        self.backends.make = make_connection
        self.budget = Budget(body_bytes)
        self.calls: dict[str, Call] = {}

    def take_call(self, call: Call) -> bool:
        """False if a request of this id is open or was of late."""
        read = call.read
        request_id = read.id.decode()
        taken = Taken(
            request_id, read.cls, read.tenant, read.key, read.budget_ms, False, b"", b"", call.answer
        )
        if request_id in self.calls:
            return False
        self.calls[request_id] = call
        if not self.take(taken):
            del self.calls[request_id]
            return False
        return True

    def held_of(self, call: Call) -> Held | None:
        return self.requests.get(call.read.id.decode())

    def body_gone(self, call: Call) -> None:
        self._raise(BodyGone(call.read.id.decode()))

    def unsent(self, call: Call) -> bool:
        """No attempt is out for it."""
        held = self.held_of(call)
        return held is not None and all(attempt.ended for attempt in held.attempts)

    def more_came(self, call: Call) -> None:
        """A piece of the upload is here: the attempt that is out may take it."""
        held = self.held_of(call)
        for attempt in held.attempts if held is not None else ():
            if not attempt.ended and isinstance(attempt.connection, StreamConnection):
                attempt.connection.pump()

    def committed(self, call: Call, attempt: StreamAttempt) -> None:
        """An answer has begun: the deadline has been met, and time is the transfer's from here on."""
        held = self.held_of(call)
        if held is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        number = held.attempts.index(attempt)
        self._raise(StreamStarted(call.read.id.decode(), number, now_ms() - attempt.started))
        self._close(held)

    def _send(self, action: Send) -> None:
        held, call = self.requests.get(action.request), self.calls.get(action.request)
        if held is None:
            return
        number = len(held.attempts)
        assert call is not None
        attempt = StreamAttempt(
            action.server,
            call,
            action.limit_ms,
            lambda ended, result, _: self._on_stream_end(held, number, ended, result),
        )
        held.attempts.append(attempt)
        if held.over or number >= self.settings.most_attempts or call.upload.gone:
            attempt.end(Result.NOT_SENT)
        else:
            self.backends.start(attempt)

    def _on_stream_end(self, held: Held, number: int, attempt: Attempt, result: Result) -> None:
        call = self.calls.get(held.taken.id)
        if call is not None and call.attempt is attempt:
            call.break_off()  # does nothing to one that is finished
        self._raise(Outcome(held.taken.id, number, result, now_ms() - attempt.started, held.over))
        self._forget(held)

    def left(self, call: Call) -> None:
        """The client is gone: its node's slot is free at once."""
        held = self.held_of(call)
        call.state = State.OVER
        if held is None:
            return
        self.client_gone(held.taken.id)
        for attempt in held.attempts:
            if not attempt.ended:
                self.backends.cancel(attempt)

    def stall(self, call: Call, stall: Stall) -> None:
        held = self.held_of(call)
        if held is None:
            return
        if stall.side is Side.CLIENT:
            if call.state is State.WAITING:
                call.answer(Answer(408))
                self.left(call)
            else:
                call.client.abort()  # and so it is gone
        else:
            for attempt in held.attempts:
                if not attempt.ended:
                    self.backends._give_up(attempt, Result.TIMEOUT)

    def _forget(self, held: Held) -> None:
        super()._forget(held)
        if held.over and all(attempt.ended for attempt in held.attempts):
            self._drop(held.taken.id)

    def _drop(self, request_id: str) -> None:
        if (call := self.calls.pop(request_id, None)) is not None:
            self.budget.release(call.reserved)

    def _module_broke(self) -> None:
        super()._module_broke()
        for name in [name for name in self.calls if name not in self.requests]:
            self._drop(name)

    def _on_attempt(
        self, held: Held, number: int, attempt: Attempt, result: Result, got: Response | None
    ) -> None:
        raise AssertionError("attempts here are streamed")
