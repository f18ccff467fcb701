"""The servers of the soak: stand-in nodes whose attempts are audited."""

from __future__ import annotations

import asyncio
from collections import deque

from flintlatch.net.clock import now_ms
from flintlatch.standin.crowd import UNAUDITED
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.node import Call, Node, Shape, _Connection
from flintlatch.standin.soak.audit import Audit, slow_start_limit

LONG_UPLOAD = b"/purchase/long"
RESET_WITHIN_BYTES = 72 * 1024
RESET_PROBABILITY = 0.15  # for each part of it that is read


class SoakServer(Node):
    """A node that reports each attempt to the audit, and does not fall when it is overloaded."""

    def __init__(
        self, uid: str, shape: Shape, ledger: Ledger, seed: int, keys: dict[bytes, float], audit: Audit
    ) -> None:
        super().__init__(uid, shape, ledger, seed, keys)
        self.audit = audit
        self.hangs = False
        self.cold_attempts: deque[tuple[float, bool]] = deque()  # time, and whether its start was told
        self.overload_reported = False

    def _receive(self, call: Call) -> None:
        if call.id.startswith(UNAUDITED):
            call.reply(200, self.response_body(call))
            return
        if call.id:
            self.audit.on_attempt(self.uid, call.id, call.first_byte_ms, call.budget_ms)
        if self.hangs and call.id:
            self.ledger.receive(self.uid, call.id, call.first_byte_ms)
            return
        super()._receive(call)

    def _crash_if_overloaded(self) -> bool:
        """Reports an overload in the slow start, if two thirds of it came after the start was told."""
        shape, now = self.shape, now_ms()
        if not shape.cold_ms or now > self.started_ms + shape.cold_ms:
            return False
        attempts = self.cold_attempts
        attempts.append((now, self.uid in self.audit.registry.start_told))
        while attempts and attempts[0][0] < now - shape.fall_ms:
            attempts.popleft()
        allowed = shape.fall_multiple * self.capacity() * shape.slots * shape.fall_ms / shape.work_ms
        told = sum(was_told for _, was_told in attempts)
        if len(attempts) > slow_start_limit(allowed) and told > 2 * len(attempts) / 3:
            if not self.overload_reported:
                self.audit.add("overload", f"{self.uid}: {len(attempts)} attempts, {allowed:.0f} allowed")
            self.overload_reported = True
        return False

    def on_body(self, connection: _Connection, url: bytes) -> None:
        """Resets some connections somewhere within the first part of an upload."""
        first_bytes = len(connection.body) <= RESET_WITHIN_BYTES
        if url.startswith(LONG_UPLOAD) and first_bytes and self.random.random() < RESET_PROBABILITY:
            connection.transport.abort()

    def crash(self) -> None:
        self.audit.interrupted_ms = now_ms()
        super().crash()

    async def restart(self, address: str = "") -> None:
        """Restarts cold, at its address or at another one."""
        address = address or self.address
        self.crash()
        self.cold_attempts.clear()
        self.overload_reported = False
        self.hangs = False
        for _ in range(100):
            try:
                await self.open(address)
                return
            except OSError:
                await asyncio.sleep(0.02)
        raise OSError(f"{self.uid}: {address} is not free")

    def close_idle(self) -> None:
        """Closes the connections that carry no request."""
        for connection in list(self.connections):
            if not connection.first_byte_ms:
                connection.transport.close()
