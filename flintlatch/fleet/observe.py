"""From what an instance has served to its access log and its counts."""

from __future__ import annotations

from collections.abc import Iterable

from flintlatch.accesslog import AccessLog, AttemptRecord, PathDetail, Record, logged_path
from flintlatch.api import NEVER_RAN
from flintlatch.config import Config, beside
from flintlatch.exchange import Exchange
from flintlatch.metrics import Counts
from flintlatch.net.backends import Attempt
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Engine, PendingRequest
from flintlatch.net.relay import Refusal, RelayEngine


class Observer:
    def __init__(self, config: Config, number: int) -> None:
        table = config.access_log
        self.counts = Counts()
        self.classes = [row.name for row in config.classes]
        self.tenants = [row.name for row in config.tenants]
        self.paths = PathDetail(table.paths) if table is not None else PathDetail.NONE
        self.log: AccessLog | None = None
        if table is not None:
            self.log = AccessLog(beside(config.path, table.file), config.fleet.name, number)

    def watch(self, engine: Engine) -> None:
        if isinstance(engine, RelayEngine):
            engine.exchange_observer = self.on_exchange
            engine.refusal_observer = self.on_refusal
        else:
            engine.request_observer = self.on_held

    def on_exchange(self, exchange: Exchange, attempts: list[Attempt]) -> None:
        ask, began = exchange.routing, exchange.arrived_s

        def after(moment_s: float) -> float | None:
            return (moment_s - began) * 1000 if moment_s else None

        self.put(
            Record(
                began * 1000,
                ask.id,
                self.classes[ask.cls],
                self._tenant(ask.tenant),
                exchange.request.method.decode("latin-1"),
                logged_path(exchange.request.target, self.paths),
                exchange.status,
                exchange.ending.value if exchange.ending is not None else "",
                (exchange.ended_s - began) * 1000,
                after(exchange.first_byte_s),
                after(exchange.request_complete_s),
                exchange.upload.total_bytes,
                exchange.response_pipe.arrived_bytes if exchange.response_pipe is not None else 0,
                attempts_of(attempts, began * 1000),
            )
        )

    def on_refusal(self, refusal: Refusal) -> None:
        path, method = logged_path(refusal.target, self.paths), refusal.method.decode("latin-1")
        at = now_ms()
        self.put(
            Record(at, "", "", "", method, path, refusal.status, refusal.reason, 0.0, 0.0, None, 0, 0, ())
        )

    def on_held(self, held: PendingRequest) -> None:
        """The platform's protocol: requests and answers are whole, and short."""
        taken = held.request
        method, target, *_ = *taken.head.split(b" ", 2), b""
        total = held.completed_ms - held.arrived_ms
        self.put(
            Record(
                held.arrived_ms,
                taken.id,
                self.classes[taken.cls],
                self._tenant(taken.tenant),
                method.decode("latin-1"),
                logged_path(target, self.paths),
                held.status,
                "client left" if not held.status else "answered" if held.status == 200 else "own answer",
                total,
                total if held.status else None,
                0.0,
                len(taken.body),
                held.response_body_bytes,
                attempts_of(held.attempts, held.arrived_ms),
            )
        )

    def put(self, record: Record) -> None:
        first_s = None if record.first_ms is None else record.first_ms / 1000
        self.counts.count_request(record.cls, record.status, first_s, record.up_bytes, record.down_bytes)
        for attempt in record.attempts:
            self.counts.count_attempt(attempt.result)
        if self.log is not None:
            self.log.put(record)

    def _tenant(self, tenant: int) -> str:
        return self.tenants[tenant] if tenant < len(self.tenants) else ""


def attempts_of(attempts: Iterable[Attempt], came_ms: float) -> tuple[AttemptRecord, ...]:
    return tuple(
        AttemptRecord(
            attempt.uid,
            attempt.result.value if attempt.result is not None else "",
            attempt.start_ms - came_ms,
            attempt.ended_ms - attempt.start_ms,
            attempt.result not in NEVER_RAN,
        )
        for attempt in attempts
    )
