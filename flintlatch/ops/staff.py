"""Carries the calls of the second address out on a running proxy."""

from __future__ import annotations

from flintlatch.net.engine import Engine, log
from flintlatch.net.frontend import Frontend
from flintlatch.ops.figures import Figures, Standing, end_of


class Operations:
    """`Staff` of one proxy; its figures begin with it."""

    def __init__(self, engine: Engine, frontend: Frontend, classes: list[str]) -> None:
        """`classes`: their names, in the order of the settings."""
        self.engine, self.frontend = engine, frontend
        self.figures = Figures(classes)
        engine.on_final_status = lambda cls, status: self.figures.end(cls, end_of(status))
        engine.backends.on_written = self._written

    def _written(self) -> None:
        self.figures.upstream_requests += 1

    def takes_clients(self) -> bool:
        frontend = self.frontend
        return bool(frontend.listeners) and not frontend.keep_alive_disabled

    def stats(self) -> str:
        engine = self.engine
        members = len(engine.backends.backends)
        # A list is in the pools at once, and with the module in the next turn.
        avoided = min(engine.unavailable_servers(), members)
        return self.figures.lines(Standing(engine.open_requests(), members, avoided))

    def start_drain(self) -> None:
        if not self.frontend.drained_by_operator:
            log("operators send clients away")
        self.frontend.start_drain()

    def stop_drain(self) -> None:
        if self.frontend.drained_by_operator:
            log("operators take clients back")
        self.frontend.stop_drain()
