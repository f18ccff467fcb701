"""Writes the access log of an instance and counts its requests, from the exchanges that have ended."""

from __future__ import annotations

from collections.abc import Iterable

from flintlatch.accesslog import AccessLog, AttemptRecord, PathDetail, Record, logged_path
from flintlatch.api import NEVER_RAN
from flintlatch.config import Config, resolve_config_path
from flintlatch.exchange import Exchange
from flintlatch.metrics import Counts
from flintlatch.net.backends import Attempt
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Engine, PendingRequest
from flintlatch.net.relay import Refusal, RelayEngine


class Observer:
    """Observes the engine of the instance with the given number."""

    def __init__(self, config: Config, number: int) -> None:
        table = config.access_log
        self.counts = Counts()
        self.classes = [row.name for row in config.classes]
        self.tenants = [row.name for row in config.tenants]
        self.paths = PathDetail(table.paths) if table is not None else PathDetail.NONE
        self.log: AccessLog | None = None
        if table is not None:
            self.log = AccessLog(resolve_config_path(config.path, table.file), config.fleet.name, number)

    def attach(self, engine: Engine) -> None:
        if isinstance(engine, RelayEngine):
            engine.exchange_observer = self.on_exchange
            engine.refusal_observer = self.on_refusal
        else:
            engine.request_observer = self.on_request

    def on_exchange(self, exchange: Exchange, attempts: list[Attempt]) -> None:
        request, began_s = exchange.routing, exchange.arrived_s

        def ms_after_start(at_s: float) -> float | None:
            return (at_s - began_s) * 1000 if at_s else None

        self.record(
            Record(
                began_s * 1000,
                request.id,
                self.classes[request.cls],
                self._tenant(request.tenant),
                exchange.request.method.decode("latin-1"),
                logged_path(exchange.request.target, self.paths),
                exchange.status,
                exchange.ending.value if exchange.ending is not None else "",
                (exchange.ended_s - began_s) * 1000,
                ms_after_start(exchange.first_byte_s),
                ms_after_start(exchange.request_complete_s),
                exchange.upload.total_bytes,
                exchange.response_pipe.arrived_bytes if exchange.response_pipe is not None else 0,
                attempt_records(attempts, began_s * 1000),
            )
        )

    def on_refusal(self, refusal: Refusal) -> None:
        path, method = logged_path(refusal.target, self.paths), refusal.method.decode("latin-1")
        at_ms = now_ms()
        self.record(
            Record(at_ms, "", "", "", method, path, refusal.status, refusal.reason, 0.0, 0.0, None, 0, 0, ())
        )

    def on_request(self, request: PendingRequest) -> None:
        """A request in the platform's protocol, where requests and responses are short and buffered whole."""
        received = request.request
        method, target, *_ = *received.head.split(b" ", 2), b""
        total_ms = request.completed_ms - request.arrived_ms
        self.record(
            Record(
                request.arrived_ms,
                received.id,
                self.classes[received.cls],
                self._tenant(received.tenant),
                method.decode("latin-1"),
                logged_path(target, self.paths),
                request.status,
                "client left"
                if not request.status
                else "answered"
                if request.status == 200
                else "own answer",
                total_ms,
                total_ms if request.status else None,
                0.0,
                len(received.body),
                request.response_body_bytes,
                attempt_records(request.attempts, request.arrived_ms),
            )
        )

    def record(self, entry: Record) -> None:
        first_s = None if entry.first_ms is None else entry.first_ms / 1000
        self.counts.count_request(entry.cls, entry.status, first_s, entry.up_bytes, entry.down_bytes)
        for attempt in entry.attempts:
            self.counts.count_attempt(attempt.result)
        if self.log is not None:
            self.log.put(entry)

    def _tenant(self, index: int) -> str:
        return self.tenants[index] if index < len(self.tenants) else ""


def attempt_records(attempts: Iterable[Attempt], start_ms: float) -> tuple[AttemptRecord, ...]:
    return tuple(
        AttemptRecord(
            attempt.uid,
            attempt.result.value if attempt.result is not None else "",
            attempt.start_ms - start_ms,
            attempt.ended_ms - attempt.start_ms,
            attempt.result not in NEVER_RAN,
        )
        for attempt in attempts
    )
