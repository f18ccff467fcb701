"""Executes the calls of the admin address on a running proxy."""

from __future__ import annotations

from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Engine
from flintlatch.net.frontend import Frontend
from flintlatch.net.guard import bugs
from flintlatch.net.log import log
from flintlatch.ops.figures import Gauges, StatsdMetrics, outcome_of_status


class Operations:
    """`AdminActions` of one proxy. Its counters start at zero when it is created."""

    def __init__(self, engine: Engine, frontend: Frontend, classes: list[str]) -> None:
        """`classes`: the class names, in the order of the settings."""
        self.engine, self.frontend = engine, frontend
        self.metrics = StatsdMetrics(classes)
        engine.on_final_status = lambda cls, status: self.metrics.count(cls, outcome_of_status(status))
        engine.backends.on_written = self._count_upstream_request

    def _count_upstream_request(self) -> None:
        self.metrics.upstream_requests += 1

    def accepts_clients(self) -> bool:
        frontend = self.frontend
        return bool(frontend.listeners) and not frontend.keep_alive_disabled

    def stats(self) -> str:
        engine = self.engine
        members = len(engine.backends.backends)
        # A new list is in the pools at once, but reaches the decision module in the next loop turn.
        unavailable = min(engine.unavailable_servers(), members)
        age_ms = int(now_ms() - engine.list_updated_ms)
        gauges = Gauges(engine.open_requests(), members, unavailable, age_ms, engine.list_revision)
        return self.metrics.lines(gauges, [*engine.counts.items(), ("bugs", bugs.count)])

    def start_drain(self) -> None:
        if not self.frontend.drained_by_operator:
            log("an operator has started a drain")
        self.frontend.start_drain()

    def stop_drain(self) -> None:
        if self.frontend.drained_by_operator:
            log("an operator has ended the drain")
        self.frontend.stop_drain()
