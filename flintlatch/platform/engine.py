"""Runs the exchanges of the platform's protocol."""

from __future__ import annotations

from dataclasses import dataclass

from flintlatch.exchange import Exchange, Request
from flintlatch.net.engine import Engine, PendingRequest
from flintlatch.net.relay import RelayEngine
from flintlatch.platform.memory import MIN_EXCHANGES

MAX_EXCHANGES = 1 << 30  # where the memory is not limited


@dataclass(frozen=True, slots=True)
class ForwardedRequest(Request):
    """A request with the checked head for the server: lines without the Content-Length and the final empty
    line."""

    head: bytes = b""


class PlatformEngine(RelayEngine):
    """The relay engine with the rules of the platform's protocol."""

    max_exchanges = MAX_EXCHANGES  # by the memory of the process
    min_exchanges = MIN_EXCHANGES  # that are taken even while the process is too large

    def has_room(self) -> bool:
        """Whether another exchange may be opened, for the memory that its objects take."""
        limit = self.min_exchanges if self.memory.excess_bytes else self.max_exchanges
        return len(self.exchanges) < limit

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
