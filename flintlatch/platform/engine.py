"""Hosts the exchanges of the platform's protocol."""

from __future__ import annotations

from dataclasses import dataclass

from flintlatch.exchange import Exchange, Request
from flintlatch.net.engine import Engine, PendingRequest
from flintlatch.net.relay import RelayEngine


@dataclass(frozen=True, slots=True)
class Message(Request):
    """A request whose head goes on as it was checked: lines without that on the length and the last one."""

    head: bytes = b""


class PlatformEngine(RelayEngine):
    def open_requests(self) -> int:
        """Those here whole and not ended; an answer that is still passed on has not."""
        return sum(exchange.upload.complete and not exchange.over for exchange in self.exchanges.values())

    def _on_deadline(self, pending: PendingRequest) -> None:
        # Its client is leaving in this moment: nothing is promised any more.
        Engine._on_deadline(self, pending)

    def max_memory_bytes(self, exchange: Exchange, uploading: bool) -> int:
        # What is short is bounded by the clients' number, and long answers by their kept buffers.
        return exchange.terms.holds(True) if uploading else 0
