"""A Consul-compatible catalogue over HTTP: the shell round `consul`, one blocking query after the other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.membership.consul import ServiceWatch
from flintlatch.membership.core import Event
from flintlatch.membership.document import MOST_BYTES
from flintlatch.net.clock import now_ms

CONNECT_S = 5.0
ANSWER_S = 10.0  # s beyond a query's own wait: Consul adds up to a sixteenth of that as jitter, and its work
LEAST_S = 0.05  # s between two queries: one that answers at once each time must not keep both sides busy


class CatalogueSource:
    """Tells the core's events of one service to `on_event`, on the loop, until closed."""

    def __init__(
        self, url: str, token: str, catalogue: ServiceWatch, on_event: Callable[[Event], None]
    ) -> None:
        """`url`: such as http://127.0.0.1:8500. `token`: of its ACL; empty for none. Raises ImportError where
        the extra for it is not installed."""
        import httpx  # an extra: only sites with a catalogue need it

        self.httpx, self.url, self.token = httpx, url.rstrip("/"), token
        self.catalogue, self.on_event = catalogue, on_event
        self.queries = 0
        self.task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        headers = {"X-Consul-Token": self.token} if self.token else {}
        async with self.httpx.AsyncClient(headers=headers, trust_env=False, base_url=self.url) as client:
            while True:
                for event in await self._query(client):
                    self.on_event(event)
                await asyncio.sleep(max(self.catalogue.rest_s, LEAST_S))

    async def _query(self, client: object) -> list[Event]:
        assert isinstance(client, self.httpx.AsyncClient)
        ask, httpx = self.catalogue.ask(), self.httpx
        self.queries += 1
        limit_s = ask.wait_s * 17 / 16 + ANSWER_S
        try:
            async with asyncio.timeout(limit_s + CONNECT_S):
                timeout = httpx.Timeout(limit_s, connect=CONNECT_S)
                async with client.stream("GET", ask.path, timeout=timeout) as answer:
                    body = bytearray()
                    async for piece in answer.aiter_bytes():
                        body += piece
                        if len(body) > MOST_BYTES:
                            break
        except TimeoutError:
            return self.catalogue.failed(f"{self.url}: no answer")
        except httpx.HTTPError as error:
            return self.catalogue.failed(f"{self.url}: {type(error).__name__}: {error}".rstrip(": "))
        told = {name.lower(): value for name, value in answer.headers.items()}
        return self.catalogue.answered(now_ms(), answer.status_code, told, bytes(body))

    def close(self) -> None:
        self.task.cancel()
