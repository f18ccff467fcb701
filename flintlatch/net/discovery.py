"""The list of backends: reading it, and the watch that keeps it fresh."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from ipaddress import ip_address
from typing import NamedTuple

import orjson

from flintlatch.api import ServerInfo, ServerState
from flintlatch.net.http1 import Exchange, Response, split_address
from flintlatch.settings import Malformed, Wire, choice, listing, mapping, number, text, whole

SERVER_STATES = {"active": ServerState.ACTIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
# A change counts as told NOTICE_MS after discovery had it, whether or not it arrived, and what a silent watch
# misses so long after its silence began. So whatever becomes of one call, the next one's answer must be here
# by then. With the module's wait after a failure (`ASK_RETRY_MS` there, 800 ms at most) the longest are
#   a watch falls silent:   WAIT_MS + GRACE_MS + 800 + FIRST_GRACE_MS = 5500
#   a call is not answered: FIRST_GRACE_MS + 800 + FIRST_GRACE_MS = 5200
NOTICE_MS = 6000
FIRST_WAIT_MS = 1  # a new watch asks for what is known now, so that success shows at once
WAIT_MS = 1500  # how long a watch waits for news: short, since silence is noticed only after it
GRACE_MS = 1000  # time beyond that wait after which the service counts as silent
# The service works through calls in turn and lets one wait for 2 s. Who hangs up earlier has used a turn for
# nothing and asks again: where many do, none is answered any more.
FIRST_GRACE_MS = 2200
# An agent on this machine answers at once or, while discovery is down, not at all; what it gets at the return
# counts as told at once. So it is asked again and again, with a limit that its answers are far below.
AGENT_GRACE_MS = 250
AGENT_RETRY_S = 0.05
MAX_LIST = 1024 * 1024  # bytes; a list of some 8,000 servers. Memory may be 32 MB


class Target(NamedTuple):
    uid: str
    host: str
    port: int
    info: ServerInfo


class Listing(NamedTuple):
    revision: int
    is_snapshot: bool
    targets: tuple[Target, ...]


def place(names: dict[str, int], value: object, member: str) -> int:
    """The number of a zone or kind; one that the settings do not name gets the next."""
    if value is None:
        return 0
    return value if type(value) is int else names.setdefault(text(value, member), len(names))


def read_target(raw: object, wire: Wire) -> Target:
    entry = mapping(raw, "targets")
    uid, started = text(entry["uid"], "uid"), entry.get("boot_ms")
    host, port = split_address(text(entry["endpoint"], "endpoint"))
    ip_address(host)  # a name would have to be looked up, and there is no DNS
    info = ServerInfo(
        uid,
        choice(SERVER_STATES, entry["state"], "state"),
        place(wire.zones, entry.get("az"), "az"),
        place(wire.kinds, entry.get("model"), "model"),
        whole(entry.get("pod_group") or 0, "pod_group"),
        number(started, "boot_ms") if started else None,
        number(entry.get("capacity_hint") or 1, "capacity_hint"),
    )
    return Target(uid, host, port, info)


def read_listing(raw: object, wire: Wire) -> Listing:
    try:
        data = mapping(raw, "list")
        targets = tuple(read_target(entry, wire) for entry in listing(data["targets"], "targets"))
        return Listing(whole(data["rev"], "rev"), data["all"] is True, targets)
    except KeyError as error:
        raise Malformed(f"list: {error.args[0]} is missing") from None
    except ValueError as error:
        raise Malformed(f"list: {error}") from None


class Call(Exchange):
    """A kept connection to the list service; each answer is awaited."""

    def __init__(self) -> None:
        super().__init__(MAX_LIST)
        self.answer: asyncio.Future[Response] | None = None
        self.told = 0  # the length of an answer that is too long, where it tells it

    async def get(self, request: bytes) -> Response:
        self.answer = asyncio.get_running_loop().create_future()
        self.ask(request)
        return await self.answer

    def on_response(self, response: Response) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(response)

    def fits(self, lengths: list[bytes], codings: list[bytes]) -> bool:
        if len(lengths) == 1 and lengths[0].strip().isdigit():
            self.told = int(lengths[0].strip()[:18])
        return super().fits(lengths, codings)

    def on_broken(self) -> None:
        if self.answer is None or self.answer.done():
            return
        if max(self.told, len(self._body)) > MAX_LIST:
            size = f"{self.told}" if self.told > MAX_LIST else f"over {MAX_LIST}"
            self.answer.set_exception(Malformed(f"a list of {size} bytes, {MAX_LIST} at most can be taken"))
        else:
            self.answer.set_exception(ConnectionError("connection broken"))


class Discovery:
    """Watches back to back from `watch` on, until a call fails. An agent (`pushed`) is called on and on,
    whatever becomes of a call: asking costs nothing there, and what it has counts as told."""

    def __init__(
        self,
        address: str,
        wire: Wire,
        rev: int | None,
        on_list: Callable[[Listing], None],
        on_failure: Callable[[str], None],
        pushed: bool = False,
    ) -> None:
        self.address, self.wire, self.rev, self.pushed = address, wire, rev, pushed
        self.on_list, self.on_failure = on_list, on_failure
        self.call: Call | None = None
        self.task: asyncio.Task[None] | None = None

    def watch(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: str) -> bool:
        """Ask the service at `address` from the next watch on; False if that is the one asked already."""
        if address == self.address:
            return False
        self.close()  # a watch called off is no failed one
        self.task = None
        self.address, self.rev = address, None  # its versions are its own: `since` would skip news
        return True

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self._hang_up()

    def _hang_up(self) -> None:
        if self.call is not None:
            self.call.close()
        self.call = None

    async def _run(self) -> None:
        first = AGENT_GRACE_MS if self.pushed else FIRST_GRACE_MS
        wait, grace = FIRST_WAIT_MS, first
        while True:
            try:
                async with asyncio.timeout((wait + grace) / 1000):
                    news = await self._fetch(wait)
                self._check_order(news)
                self.on_list(news)
            except Exception as error:
                # Whatever went wrong here, the module must hear of it: with a watch that has died unseen it
                # would believe its list for good and send to what drains.
                self._hang_up()
                self.on_failure(f"{type(error).__name__}: {error}")
                if not self.pushed:
                    return  # the module says when to ask again
                await asyncio.sleep(AGENT_RETRY_S)
                wait, grace = FIRST_WAIT_MS, first
                continue
            self.rev, wait, grace = news.revision, WAIT_MS, GRACE_MS

    def _check_order(self, news: Listing) -> None:
        """A version older than the one held is no news: the whole list is asked for, and that answer stands,
        as a service that has begun anew counts from its own start."""
        held = self.rev
        if held is not None and news.revision < held:
            self.rev = None
            raise Malformed(f"list: version {news.revision} after {held}")

    async def _fetch(self, wait: int) -> Listing:
        if self.call is None or not self.call.reusable:
            self._hang_up()
            host, port = split_address(self.address)
            local = (self.wire.source_host, 0) if self.wire.source_host else None
            loop = asyncio.get_running_loop()
            _, self.call = await loop.create_connection(Call, host, port, local_addr=local)
        path = "/registry/instances"
        if self.rev is not None:
            path += f"?since={self.rev}&timeout_ms={wait}"
        response = await self.call.get(f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())
        if response.status != 200:
            raise Malformed(f"status {response.status}")
        try:
            return read_listing(orjson.loads(response.body), self.wire)
        except orjson.JSONDecodeError as error:
            raise Malformed(f"not JSON: {error}") from None
