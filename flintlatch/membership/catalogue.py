"""Watches one service in a Consul-compatible catalogue over HTTP, with one blocking query after another.

`consul` builds the queries and interprets the responses; this module does the I/O.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.membership.consul import ServiceWatch
from flintlatch.membership.core import Event
from flintlatch.membership.document import MAX_DOCUMENT_BYTES
from flintlatch.net.clock import now_ms

CONNECT_TIMEOUT_S = 5.0
# In addition to the wait time and Consul's jitter of up to a sixteenth of it: the time to process the query.
RESPONSE_MARGIN_S = 10.0
MIN_QUERY_INTERVAL_S = 0.05  # limits the load if a catalogue answers each blocking query at once


class CatalogueSource:
    """Calls `on_event` on the event loop with the events of one service, until it is closed."""

    def __init__(self, url: str, token: str, watch: ServiceWatch, on_event: Callable[[Event], None]) -> None:
        """Starts to query the catalogue.

        `url`: for example http://127.0.0.1:8500. `token`: the ACL token, or empty for none. Raises
        ImportError if the optional dependency httpx is not installed.
        """
        import httpx  # optional dependency: only installations that use a catalogue need it

        self.httpx, self.url, self.token = httpx, url.rstrip("/"), token
        self.watch, self.on_event = watch, on_event
        self.query_count = 0
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        headers = {"X-Consul-Token": self.token} if self.token else {}
        async with self.httpx.AsyncClient(headers=headers, trust_env=False, base_url=self.url) as client:
            while True:
                for event in await self._query(client):
                    self.on_event(event)
                await asyncio.sleep(max(self.watch.delay_s, MIN_QUERY_INTERVAL_S))

    async def _query(self, client: object) -> list[Event]:
        assert isinstance(client, self.httpx.AsyncClient)
        query, httpx = self.watch.next_query(), self.httpx
        self.query_count += 1
        response_timeout_s = query.wait_s * 17 / 16 + RESPONSE_MARGIN_S
        try:
            async with asyncio.timeout(response_timeout_s + CONNECT_TIMEOUT_S):
                timeout = httpx.Timeout(response_timeout_s, connect=CONNECT_TIMEOUT_S)
                async with client.stream("GET", query.path, timeout=timeout) as response:
                    body = bytearray()
                    async for chunk in response.aiter_bytes():
                        body += chunk
                        if len(body) > MAX_DOCUMENT_BYTES:
                            break
        except TimeoutError:
            return self.watch.on_failure(f"{self.url}: no response within the time limit")
        except httpx.HTTPError as error:
            return self.watch.on_failure(f"{self.url}: {type(error).__name__}: {error}".rstrip(": "))
        headers = {name.lower(): value for name, value in response.headers.items()}
        return self.watch.on_response(now_ms(), response.status_code, headers, bytes(body))

    def close(self) -> None:
        self.task.cancel()
