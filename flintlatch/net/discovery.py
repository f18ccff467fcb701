"""Reads the list of backends from its discovery service and keeps it up to date by long polling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

import orjson

from flintlatch.net.http1 import Http1Connection, Response, split_address
from flintlatch.net.listing import Listing, read_incomplete_listing, read_listing, restricted
from flintlatch.net.receiving import Receiver
from flintlatch.net.turns import TurnSchedule
from flintlatch.settings import Malformed, SocketSettings

# A change counts as known to the proxy PROPAGATION_LIMIT_MS after the service had it, whether or not it
# arrived; what a silent long poll misses counts as known that long after its silence began. The response to
# the next poll must therefore arrive within this limit, whatever becomes of one poll. With the decision
# module's retry delay after a failure (`WATCH_RETRY_MS_RANGE`, at most 800 ms), the longest sequences are
#   a long poll becomes silent: LONG_POLL_MS + RESPONSE_GRACE_MS + 800 + FIRST_RESPONSE_GRACE_MS = 5500
#   a request gets no response: FIRST_RESPONSE_GRACE_MS + 800 + FIRST_RESPONSE_GRACE_MS = 5200
PROPAGATION_LIMIT_MS = 6000
FIRST_LONG_POLL_MS = 1  # the first poll gets the present list, so that its success is known at once
LONG_POLL_MS = 1500  # short, because silence is detected only after this time
RESPONSE_GRACE_MS = 1000  # beyond the long poll; then the service counts as silent
# The service handles requests one after another, and a request may be queued for 2 s. A client that
# disconnects earlier has still used a turn and then sends the request again: if many clients do this, none
# gets a response.
FIRST_RESPONSE_GRACE_MS = 2200
# An agent on this machine responds at once or, while discovery is down, not at all. What it learns when
# discovery returns counts as known to the proxy at once, so the proxy polls it continuously, with a timeout
# far above the agent's response time.
AGENT_TIMEOUT_MS = 250
AGENT_RETRY_DELAY_S = 0.05
# Bytes: twice 3,200 indented entries. The process may have only 32 MB of memory.
MAX_LIST = 2 * 1024 * 1024
QUIET_S = 0.02  # without a byte of a list that has begun
RESYNC_INTERVAL_S = 1.0  # between two polls that follow an outdated revision at once


class ListConnection(Http1Connection):
    """A persistent connection to the list service, with one request at a time.

    A list is JSON, which tells itself whether it is whole. So a response is complete once its list is, also
    if its length is wrong or absent. `on_progress` is called when a list that is not whole stops arriving.
    """

    def __init__(self, on_progress: Callable[[bytes], None]) -> None:
        super().__init__(MAX_LIST)
        self.on_progress = on_progress
        self.loop = asyncio.get_running_loop()
        self.response: asyncio.Future[Response] | None = None
        self.announced_bytes = 0  # Content-Length of the response, if it has one
        self.quiet_timer: asyncio.TimerHandle | None = None

    async def get(self, request: bytes) -> Response:
        self.response, self.announced_bytes = self.loop.create_future(), 0
        self.send_request(request)
        return await self.response

    def on_response(self, response: Response) -> None:
        self._cancel_quiet_timer()
        if self.response is not None and not self.response.done():
            self.response.set_result(response)

    def accepts_framing(self, lengths: list[bytes], codings: list[bytes]) -> bool:
        if len(lengths) == 1 and lengths[0].strip().isdigit():
            self.announced_bytes = int(lengths[0].strip()[:18])
        if self._status == 200 and not lengths and not codings:
            return True  # the body ends with the list or with the connection
        return super().accepts_framing(lengths, codings)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self._cancel_quiet_timer()
        if self.awaiting_response:
            self.quiet_timer = self.loop.call_later(QUIET_S, self._on_quiet)

    def _on_quiet(self) -> None:
        if not self.awaiting_response:
            return
        if self._has_whole_list():
            self._complete, self._keep_alive = True, False
            self._finish()
        else:
            self.on_progress(self.received_body())

    def received_body(self) -> bytes:
        """What has arrived of a list, complete or not."""
        has_begun = self.response is not None and self._head_done and self._status == 200
        return bytes(self._body) if has_begun else b""

    def has_received(self) -> bool:
        """Whether any byte of the response has arrived."""
        return self._message_bytes > 0

    def _has_whole_list(self) -> bool:
        body = self.received_body()
        if not body.rstrip().endswith(b"}"):
            return False
        try:
            orjson.loads(body)
        except orjson.JSONDecodeError:
            return False
        return True

    def _cancel_quiet_timer(self) -> None:
        if self.quiet_timer is not None:
            self.quiet_timer.cancel()
            self.quiet_timer = None

    def close(self) -> None:
        self._cancel_quiet_timer()
        super().close()

    def on_broken(self) -> None:
        if self.response is None or self.response.done():
            return
        if max(self.announced_bytes, len(self._body)) > MAX_LIST:
            size = f"{self.announced_bytes}" if self.announced_bytes > MAX_LIST else f"over {MAX_LIST}"
            self.response.set_exception(Malformed(f"a list of {size} bytes, {MAX_LIST} at most can be taken"))
        elif self._has_whole_list():
            self.response.set_result(Response(self._status, self._headers, self.received_body()))
        else:
            self.response.set_exception(ConnectionError("connection broken"))


class Discovery:
    """Long-polls the list service from `watch` on, until a request fails.

    An agent on this machine (`from_agent`) is polled on after failures too: a request costs nothing there,
    and what the agent knows counts as known to the proxy.
    """

    def __init__(
        self,
        address: str,
        wire: SocketSettings,
        revision: int | None,
        on_list: Callable[[Listing], None],
        on_failure: Callable[[str], None],
        from_agent: bool = False,
    ) -> None:
        self.address, self.wire, self.revision, self.from_agent = address, wire, revision, from_agent
        self.on_list, self.on_failure = on_list, on_failure
        self.connection: ListConnection | None = None
        self.resynced_at = -inf  # loop time of the last poll that followed an outdated revision at once
        self.task: asyncio.Task[None] | None = None
        self.turns: TurnSchedule | None = None

    def watch(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    def change_address(self, address: str) -> bool:
        """Polls the service at `address` from the next `watch` on. False if that is the present address."""
        if address == self.address:
            return False
        self.close()  # a cancelled poll is not reported as a failure
        self.task = None
        # Revisions of another service: `since` would skip changes.
        self.address, self.revision = address, None
        return True

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self._disconnect()

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def _run(self) -> None:
        first_grace_ms = AGENT_TIMEOUT_MS if self.from_agent else FIRST_RESPONSE_GRACE_MS
        long_poll_ms, grace_ms = FIRST_LONG_POLL_MS, first_grace_ms
        while True:
            try:
                async with asyncio.timeout((long_poll_ms + grace_ms) / 1000):
                    update = await self._fetch(long_poll_ms)
                if self._is_outdated(update):
                    self._resync(update)
                    long_poll_ms, grace_ms = FIRST_LONG_POLL_MS, first_grace_ms
                    continue
                self.on_list(update)
            except Exception as error:
                # Any failure must be reported: if polling stopped silently, the decision module would rely on
                # an outdated list and send requests to draining servers.
                self._apply_received()
                self._disconnect()
                self.on_failure(f"{type(error).__name__}: {error}")
                if not self.from_agent:
                    return  # the decision module decides when to poll again
                await asyncio.sleep(AGENT_RETRY_DELAY_S)
                long_poll_ms, grace_ms = FIRST_LONG_POLL_MS, first_grace_ms
                continue
            self.revision, long_poll_ms, grace_ms = update.revision, LONG_POLL_MS, RESPONSE_GRACE_MS

    def _is_outdated(self, update: Listing) -> bool:
        return self.revision is not None and update.revision < self.revision

    def _resync(self, update: Listing) -> None:
        """Handles a revision older than the one held: applies what it takes away, and makes the next poll
        request a snapshot, which is accepted with any revision. The service may have restarted, and numbers
        its revisions anew. Raises Malformed if that happens again soon."""
        held_revision, self.revision = self.revision, None
        self.on_list(restricted(update)._replace(revision=held_revision or 0, is_partial=True))
        now = asyncio.get_running_loop().time()
        if now < self.resynced_at + RESYNC_INTERVAL_S:
            raise Malformed(f"list: version {update.revision} after {held_revision}")
        self.resynced_at = now

    def _apply_received(self) -> None:
        """Applies the drains in a list that has not arrived whole."""
        if self.connection is not None:
            self._apply_incomplete(self.connection.received_body())

    def _apply_incomplete(self, body: bytes) -> None:
        try:
            listing = read_incomplete_listing(body, self.revision or 0)
            if listing is not None:
                self.on_list(listing)
        except Exception as error:  # must not end the polling
            self.on_failure(f"{type(error).__name__}: {error}")

    async def _fetch(self, long_poll_ms: int) -> Listing:
        path = "/registry/instances"
        if self.revision is not None:
            path += f"?since={self.revision}&timeout_ms={long_poll_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()
        kept = self.connection
        try:
            response = await (await self._connect()).get(request)
        except ConnectionError:
            # The service may close a kept connection while a request is on its way.
            if kept is None or self.connection is not kept or kept.has_received():
                raise
            response = await (await self._connect()).get(request)
        if response.status != 200:
            raise Malformed(f"the list service answered with status {response.status}, expected 200")
        try:
            return read_listing(orjson.loads(response.body), self.wire)
        except orjson.JSONDecodeError as error:
            raise Malformed(f"not JSON: {error}") from None

    async def _connect(self) -> ListConnection:
        """The kept connection, or a new one if there is none that can be used."""
        if self.connection is None or not self.connection.reusable:
            self._disconnect()
            host, port = split_address(self.address)
            local_address = (self.wire.source_host, 0) if self.wire.source_host else None
            connection = ListConnection(self._apply_incomplete)
            loop = asyncio.get_running_loop()
            turns = self.turns or TurnSchedule(loop.call_soon)
            self.turns = turns
            await loop.create_connection(
                lambda: Receiver(connection, turns), host, port, local_addr=local_address
            )
            self.connection = connection
        return self.connection
