"""Runs the exchanges of the platform's protocol."""

from __future__ import annotations

from dataclasses import dataclass

from flintlatch.exchange import Exchange, Request
from flintlatch.net.engine import Engine, PendingRequest
from flintlatch.net.relay import RelayEngine


@dataclass(frozen=True, slots=True)
class ForwardedRequest(Request):
    """A request with the checked head for the server: lines without the Content-Length and the final empty
    line."""

    head: bytes = b""


class PlatformEngine(RelayEngine):
    """The relay engine with the rules of the platform's protocol."""

    def open_requests(self) -> int:
        """Requests that are complete and have not ended; one whose response is still passed on has not
        ended."""
        return sum(
            exchange.upload.complete and not exchange.has_ended for exchange in self.exchanges.values()
        )

    def _on_deadline(self, pending: PendingRequest) -> None:
        # The client gives up at this moment too, so there is no 503 with a Retry-After as in RelayEngine.
        Engine._on_deadline(self, pending)

    def max_memory_bytes(self, exchange: Exchange, uploading: bool) -> int:
        # Everything else is in the accounts of the connections.
        return exchange.limits.max_upload_buffer_bytes if uploading else 0
