"""Nodes by delivery, in the supervisor: one client follows for all generations, and reloads don't end it.

What was taken of an object stands over a reload, whoever can be reached meanwhile. A reload with another
table or key gets a client of its own; the one before goes on for as long as a generation draws on it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from flintlatch.config import Config, beside
from flintlatch.config.tables import DeliveryTable
from flintlatch.delivery.model import Place, Role, Rules
from flintlatch.delivery.shell import Client
from flintlatch.delivery.subscriber import Changed
from flintlatch.membership import Event, Version, VersionRestored
from flintlatch.membership.delivered import DeliveredNodeList
from flintlatch.net.clock import now_ms
from flintlatch.peers.clock import clock
from flintlatch.peers.seal import BadKeys, read_keys


class Feed:
    """A client and who draws on it. `as_of`: when what was held before it was surely the origin's."""

    def __init__(
        self,
        table: DeliveryTable,
        keys: tuple[bytes, ...],
        local_host: str,
        as_of: float,
        on_told: Callable[[Feed, str], None],
    ) -> None:
        self.made_for = (table, keys, local_host)
        rules = table.rules or Rules()
        self.stale_s = 2 * rules.stale_s  # age of what is held at which the client tells of it
        self.before = as_of
        self.drawn: dict[str, list[Followed]] = {}
        self.revisions: dict[str, int] = {}  # of each object's last change
        self.absent: set[str] = set()
        me = Place(table.name, table.region, table.zone)
        relays = tuple(Place(row.name, row.region, row.zone, row.address) for row in table.relays)
        self.client = Client(
            me,
            Role.PROXY,
            relays,
            rules,
            keys,
            self._on_changed,
            self._on_absent,
            lambda text: on_told(self, text),
            local_host,
        )
        self.client.open()

    def as_of(self) -> float:
        return max(self.before, self.client.subscriber.as_of)

    def age_s(self) -> float:
        """Since what is held was surely the origin's; while nothing is, since it was first asked for."""
        as_of = self.as_of()
        return clock() - (as_of if as_of >= 0 else self.client.subscriber.began)

    def _on_changed(self, changed: Changed) -> None:
        for change in changed.changes:
            if change.gone:
                continue  # `_on_absent` hears of it too
            self.revisions[change.name] = changed.revision
            self.absent.discard(change.name)
            for followed in list(self.drawn.get(change.name, ())):
                if followed.begun:  # else it takes all of it when it begins
                    rows = followed.rows
                    followed.tell(rows.on_delta(now_ms(), changed.revision, change.items, change.removed))

    def _on_absent(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.absent.add(name)
            for followed in list(self.drawn.get(name, ())):
                if followed.begun:
                    followed.tell(followed.rows.on_object_absent())


class Followed:
    """One generation's part of a feed: events of one object to `on_event`, on the loop, until closed. Without
    a feed there was no key, and `complaint` says why."""

    def __init__(
        self,
        supply: Supply,
        feed: Feed | None,
        service: str,
        on_event: Callable[[Event], None],
        complaint: str = "",
    ) -> None:
        self.supply, self.feed, self.service, self.on_event = supply, feed, service, on_event
        self.complaint = complaint
        self.rows = DeliveredNodeList(service)
        self.begun = False
        self.beginning = asyncio.get_running_loop().call_soon(self._begin)
        if feed is not None:
            feed.drawn.setdefault(service, []).append(self)
            feed.client.follow((service,))

    def _begin(self) -> None:
        """With what was taken last, and what is held by now."""
        self.begun = True
        if (version := self.supply.taken.get(self.service)) is not None:
            self.on_event(VersionRestored(version))
        if self.feed is None:
            return
        held = self.feed.client.subscriber.store.objects.get(self.service)
        revision = self.feed.revisions.get(self.service)
        if held is not None and revision is not None:
            self.tell(self.rows.on_snapshot(now_ms(), revision, held.items))
        elif self.service in self.feed.absent:
            self.tell(self.rows.on_object_absent())

    def tell(self, events: list[Event]) -> None:
        for event in events:
            self.on_event(event)

    def took(self, version: Version) -> None:
        """Membership's core has taken it: it stands over reloads, unless a later generation is beyond it."""
        before = self.supply.taken.get(self.service)
        if before is None or version.number >= before.number:
            self.supply.taken[self.service] = version

    def heard_ms(self) -> float:
        """Unix time at which what is held was surely the origin's."""
        return now_ms() - 1000 * self.feed.age_s() if self.feed is not None else 0.0

    def failure(self) -> str:
        """Empty while its age is within the bound."""
        if self.feed is None:
            return self.complaint
        age = self.feed.age_s()
        if age > self.feed.stale_s:
            return f"{self.service}: no relay with news for {age:.0f} s"
        return "" if self.feed.client.subscriber.ready() else f"{self.service}: no relay has answered yet"

    def report(self) -> dict[str, Any]:
        """`relay`: at which it follows, empty while at none. `revision`: whose state is held, of all objects
        together."""
        if self.feed is None:
            return {"relay": "", "revision": 0, "age_s": None, "complaint": self.complaint}
        client = self.feed.client
        return {
            "relay": client.relay(),
            "revision": client.subscriber.store.revision,
            "age_s": round(self.feed.age_s(), 1),
            "complaint": self.failure(),
        }

    def close(self) -> None:
        self.beginning.cancel()
        self.supply.leave(self)


class Supply:
    """All that delivery brings this fleet, over its generations."""

    def __init__(self, log: Callable[[str, str], None]) -> None:
        self.log = log
        self.feeds: list[Feed] = []
        self.taken: dict[str, Version] = {}  # by service
        self.keeps = False  # whether a list may stand that is kept over restarts

    def follow(self, config: Config, on_event: Callable[[Event], None]) -> Followed:
        table, service = config.delivery, config.nodes.service
        assert table is not None
        self.keeps = bool(config.nodes.keep)
        path = beside(config.path, table.key_file)
        try:
            with open(path, encoding="ascii", errors="replace") as file:
                keys = read_keys(file.read(65536), path)
        except (BadKeys, OSError) as error:
            if not self.feeds:
                self.log("error", f"delivery: {error}; nothing is followed until a reload")
                return Followed(self, None, service, on_event, str(error))
            self.log("error", f"delivery: {error}; going on with the keys of before")
            keys = self.feeds[-1].made_for[1]
        made_for = (table, keys, config.nodes.source_host)
        feed = next((feed for feed in self.feeds if feed.made_for == made_for), None)
        if feed is None:
            as_of = max((feed.as_of() for feed in self.feeds), default=-1.0)
            feed = Feed(*made_for, as_of, self._on_told)
            self.feeds.append(feed)
        return Followed(self, feed, service, on_event)

    def leave(self, followed: Followed) -> None:
        feed, name = followed.feed, followed.service
        if feed is None or followed not in feed.drawn.get(name, ()):
            return
        feed.drawn[name].remove(followed)
        if not feed.drawn[name]:
            del feed.drawn[name]
            feed.revisions.pop(name, None)
            feed.absent.discard(name)
            feed.client.unfollow((name,))
        if not feed.drawn:
            feed.client.close()
            self.feeds.remove(feed)

    def _on_told(self, feed: Feed, text: str) -> None:
        if feed.client.subscriber.as_of < 0 and (self.taken or self.keeps):
            text += " by this client; a list taken before stands"
        self.log("warning", text)

    def close(self) -> None:
        for feed in self.feeds:
            feed.client.close()
