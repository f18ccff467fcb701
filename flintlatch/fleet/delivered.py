"""Node lists by delivery, in the supervisor: one delivery client serves all generations and outlives reloads.

The last accepted version of an object stays in use over a reload, even if no relay can be reached meanwhile.
A reload with another table or other keys opens a client of its own; the previous client stays open until no
generation uses it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from flintlatch.config import Config, resolve_config_path
from flintlatch.config.tables import DeliveryTable
from flintlatch.delivery.model import Participant, Role, Rules
from flintlatch.delivery.shell import Client
from flintlatch.delivery.subscriber import Changed
from flintlatch.membership import Event, Version, VersionRestored
from flintlatch.membership.delivered import DeliveredNodeList
from flintlatch.net.clock import now_ms
from flintlatch.peers.clock import clock
from flintlatch.peers.seal import InvalidKeyFile, read_keys


class Feed:
    """A delivery client and the subscriptions that share it. `as_of`: the last time at which the state held
    by a previous client was known to be the origin's; negative if there was none."""

    def __init__(
        self,
        table: DeliveryTable,
        keys: tuple[bytes, ...],
        local_host: str,
        as_of: float,
        on_warning: Callable[[Feed, str], None],
    ) -> None:
        self.parameters = (table, keys, local_host)
        rules = table.rules or Rules()
        self.max_age_s = 2 * rules.stale_s  # beyond this age the client warns of it
        self.initial_as_of = as_of
        self.subscriptions: dict[str, list[NodeSubscription]] = {}
        self.revisions: dict[str, int] = {}  # of each object's last change
        self.absent: set[str] = set()
        own_place = Participant(table.name, table.region, table.zone)
        relays = tuple(
            Participant(relay.name, relay.region, relay.zone, relay.address) for relay in table.relays
        )
        self.client = Client(
            own_place,
            Role.PROXY,
            relays,
            rules,
            keys,
            self._on_changed,
            self._on_absent,
            lambda text: on_warning(self, text),
            local_host,
        )
        self.client.open()

    def as_of(self) -> float:
        return max(self.initial_as_of, self.client.subscriber.as_of)

    def age_s(self) -> float:
        """Age of the state: seconds since it was known to be the origin's, or, while there is none, since the
        client was opened."""
        as_of = self.as_of()
        return clock() - (as_of if as_of >= 0 else self.client.subscriber.started_at)

    def _on_changed(self, changed: Changed) -> None:
        for change in changed.changes:
            if change.deleted:
                continue  # `_on_absent` is called as well
            self.revisions[change.name] = changed.revision
            self.absent.discard(change.name)
            for subscription in list(self.subscriptions.get(change.name, ())):
                if subscription.started:  # `_start` emits the whole object otherwise
                    source = subscription.source
                    subscription.emit(
                        source.on_delta(now_ms(), changed.revision, change.items, change.removed)
                    )

    def _on_absent(self, names: tuple[str, ...]) -> None:
        for name in names:
            self.absent.add(name)
            for subscription in list(self.subscriptions.get(name, ())):
                if subscription.started:
                    subscription.emit(subscription.source.on_object_absent())


class NodeSubscription:
    """One generation's subscription to an object: passes its events to `on_event` until closed. Without a
    feed the key file could not be used, for the reason in `error`."""

    def __init__(
        self,
        feeds: DeliveryFeeds,
        feed: Feed | None,
        service: str,
        on_event: Callable[[Event], None],
        error: str = "",
    ) -> None:
        self.feeds, self.feed, self.service, self.on_event = feeds, feed, service, on_event
        self.error = error
        self.source = DeliveredNodeList(service)
        self.started = False
        self.start_handle = asyncio.get_running_loop().call_soon(self._start)
        if feed is not None:
            feed.subscriptions.setdefault(service, []).append(self)
            feed.client.follow((service,))

    def _start(self) -> None:
        """Emits the version that was accepted last, and the state that the client holds."""
        self.started = True
        if (version := self.feeds.accepted_versions.get(self.service)) is not None:
            self.on_event(VersionRestored(version))
        if self.feed is None:
            return
        held = self.feed.client.subscriber.store.objects.get(self.service)
        revision = self.feed.revisions.get(self.service)
        if held is not None and revision is not None:
            self.emit(self.source.on_snapshot(now_ms(), revision, held.items))
        elif self.service in self.feed.absent:
            self.emit(self.source.on_object_absent())

    def emit(self, events: list[Event]) -> None:
        for event in events:
            self.on_event(event)

    def on_accepted(self, version: Version) -> None:
        """Called when the membership core has accepted a version: keeps it over reloads, unless another
        generation has accepted a newer one."""
        previous = self.feeds.accepted_versions.get(self.service)
        if previous is None or version.number >= previous.number:
            self.feeds.accepted_versions[self.service] = version

    def last_update_ms(self) -> float:
        """Unix time in ms at which the state was known to be the origin's."""
        return now_ms() - 1000 * self.feed.age_s() if self.feed is not None else 0.0

    def failure(self) -> str:
        """Why the list is missing or too old; empty while neither holds."""
        if self.feed is None:
            return self.error
        age = self.feed.age_s()
        if age > self.feed.max_age_s:
            return f"{self.service}: no relay with news for {age:.0f} s"
        # The age of a list is known only with the relay's next pong.
        answered = self.service in self.feed.revisions or self.service in self.feed.absent
        return "" if answered else f"{self.service}: no relay has answered yet"

    def report(self) -> dict[str, Any]:
        """`relay`: the one that the client follows, empty if none. `revision`: of the state of all objects
        together."""
        if self.feed is None:
            return {"relay": "", "revision": 0, "age_s": None, "complaint": self.error}
        client = self.feed.client
        return {
            "relay": client.relay_name(),
            "revision": client.subscriber.store.revision,
            "age_s": round(self.feed.age_s(), 1),
            "complaint": self.failure(),
        }

    def close(self) -> None:
        self.start_handle.cancel()
        self.feeds.unsubscribe(self)


class DeliveryFeeds:
    """The feeds of this fleet, shared by its generations, and the last accepted version of each object."""

    def __init__(self, log: Callable[[str, str], None]) -> None:
        self.log = log
        self.feeds: list[Feed] = []
        self.accepted_versions: dict[str, Version] = {}  # by service
        self.saves_lists = False  # whether accepted lists are saved to disk and used after a restart

    def subscribe(self, config: Config, on_event: Callable[[Event], None]) -> NodeSubscription:
        table, service = config.delivery, config.nodes.service
        assert table is not None
        self.saves_lists = bool(config.nodes.keep)
        path = resolve_config_path(config.path, table.key_file)
        try:
            with open(path, encoding="ascii", errors="replace") as file:
                keys = read_keys(file.read(65536), path)
        except (InvalidKeyFile, OSError) as error:
            if not self.feeds:
                self.log("error", f"delivery: {error}; nothing is followed until a reload")
                return NodeSubscription(self, None, service, on_event, str(error))
            self.log("error", f"delivery: {error}; going on with the keys of before")
            keys = self.feeds[-1].parameters[1]
        parameters = (table, keys, config.nodes.source_host)
        feed = next((feed for feed in self.feeds if feed.parameters == parameters), None)
        if feed is None:
            as_of = max((feed.as_of() for feed in self.feeds), default=-1.0)
            feed = Feed(*parameters, as_of, self._on_warning)
            self.feeds.append(feed)
        return NodeSubscription(self, feed, service, on_event)

    def unsubscribe(self, subscription: NodeSubscription) -> None:
        feed, service = subscription.feed, subscription.service
        if feed is None or subscription not in feed.subscriptions.get(service, ()):
            return
        feed.subscriptions[service].remove(subscription)
        if not feed.subscriptions[service]:
            del feed.subscriptions[service]
            feed.revisions.pop(service, None)
            feed.absent.discard(service)
            feed.client.unfollow((service,))
        if not feed.subscriptions:
            feed.client.close()
            self.feeds.remove(feed)

    def _on_warning(self, feed: Feed, text: str) -> None:
        if feed.client.subscriber.as_of < 0 and (self.accepted_versions or self.saves_lists):
            text += " by this client; a list taken before stands"
        self.log("warning", text)

    def close(self) -> None:
        for feed in self.feeds:
            feed.client.close()
