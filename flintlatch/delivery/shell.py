"""Delivery over real sockets: a client follows names at relays, a server is the origin or a relay.

The state machines decide; this module has the sockets, the clock and the ticks. An event that results from
executing an action (a full socket, a lost connection) is queued until all actions of the current event are
executed, so frames are never reordered.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from flintlatch.delivery import node, relay, subscriber
from flintlatch.delivery.model import RELAY_RULES, Participant, Role, Rules
from flintlatch.delivery.shell_above import RelayConnections
from flintlatch.delivery.shell_below import SubscriberListener
from flintlatch.delivery.store import Store
from flintlatch.delivery.stream import StreamCounts
from flintlatch.delivery.subscriber import Changed
from flintlatch.peers.clock import clock

TICK_S = 0.1
Event = TypeVar("Event")


class EventQueue(Generic[Event]):
    """Handles one event at a time. Events submitted while another is being handled wait; there are at most a
    few per open connection."""

    def __init__(self, step: Callable[[Event], None]) -> None:
        self.step = step
        self.pending: deque[Event] = deque()
        self.running = False

    def submit(self, event: Event) -> None:
        self.pending.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.pending:
                self.step(self.pending.popleft())
        finally:
            self.running = False


class Ticker:
    def __init__(self, tick: Callable[[], None]) -> None:
        self.tick = tick
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(TICK_S, self.start)
        self.tick()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


class Client:
    """`on_changed` gets the changes that took effect, `on_absent` names that the origin does not have,
    `on_log` lines for the log. `local_host` is the source address of connections; empty leaves the choice to
    the system."""

    def __init__(
        self,
        identity: Participant,
        role: Role,
        relays: tuple[Participant, ...],
        rules: Rules,
        keys: tuple[bytes, ...],
        on_changed: Callable[[Changed], None],
        on_absent: Callable[[tuple[str, ...]], None],
        on_log: Callable[[str], None],
        local_host: str = "",
    ) -> None:
        rng: Any = random.SystemRandom()
        all_objects = role is Role.RELAY
        self.subscriber = subscriber.Subscriber(identity, role, relays, rules, rng, clock(), all_objects)
        self.on_changed, self.on_absent, self.on_log = on_changed, on_absent, on_log
        self.queue: EventQueue[subscriber.Event] = EventQueue(self._step)
        self.connections = RelayConnections(keys, local_host, self.queue.submit)
        self.ticker = Ticker(lambda: self.queue.submit(subscriber.Tick()))

    @property
    def counts(self) -> StreamCounts:
        return self.connections.counts

    def open(self) -> None:
        self.ticker.start()

    def close(self) -> None:
        self.ticker.stop()
        self.connections.close()

    def follow(self, names: tuple[str, ...]) -> None:
        self.queue.submit(subscriber.Follow(names))

    def unfollow(self, names: tuple[str, ...]) -> None:
        self.queue.submit(subscriber.Unfollow(names))

    def change_keys(self, keys: tuple[bytes, ...]) -> None:
        """Takes effect for new connections."""
        self.connections.keys = keys

    def relay_name(self) -> str:
        """The relay that it follows at present; empty without a live session."""
        active = self.subscriber.active_session
        return active.relay.name if active is not None and active.state is subscriber.State.LIVE else ""

    def _step(self, event: subscriber.Event) -> None:
        for action in self.subscriber.step(clock(), event):
            if isinstance(action, Changed):
                self.on_changed(action)
            elif isinstance(action, subscriber.Absent):
                self.on_absent(action.names)
            elif isinstance(action, subscriber.LogLine):
                self.on_log(action.text)
            else:
                self.connections.execute(action)


class Server:
    """A relay if there are `origins`, else the origin: its owner then fills `store` and calls `committed`.
    `rules` apply to the subscribers that it serves, `upstream_rules` to a relay's own subscription."""

    def __init__(
        self,
        identity: Participant,
        bind: str,
        rules: Rules,
        keys: tuple[bytes, ...],
        on_log: Callable[[str], None],
        origins: tuple[Participant, ...] = (),
        local_host: str = "",
        upstream_rules: Rules = RELAY_RULES,
    ) -> None:
        self.identity, self.on_log = identity, on_log
        self.queue: EventQueue[node.SubscriberEvent | node.RelayEvent] = EventQueue(self._step)
        self.listener = SubscriberListener(
            bind, keys, lambda event: self.queue.submit(node.RelayEvent(event))
        )
        self.connections = RelayConnections(
            keys, local_host, lambda event: self.queue.submit(node.SubscriberEvent(event))
        )
        self.ticker = Ticker(self._tick)
        self.relay_node: node.RelayNode | None = None
        self.has_state = False  # the origin's owner has committed its objects
        self.ready_logged = False
        if origins:
            rng: Any = random.SystemRandom()
            self.relay_node = node.RelayNode(identity, origins, rules, rng, clock(), upstream_rules)
            self.relay, self.store = self.relay_node.relay, self.relay_node.subscriber.store
        else:
            self.store = Store()
            self.relay = relay.Relay(identity.name, self.store, rules, self._origin_age, is_origin=True)

    def _origin_age(self, now: float) -> float | None:
        return 0.0 if self.has_state else None

    @property
    def address(self) -> str:
        """The host:port that the server listens on."""
        return self.listener.address

    async def open(self) -> None:
        """Raises NotBound."""
        await self.listener.open()
        self.ticker.start()

    def close(self) -> None:
        self.ticker.stop()
        self.connections.close()
        self.listener.close()

    def committed(self, names: tuple[str, ...]) -> None:
        """To be called when the origin's store has new versions of these objects."""
        self.has_state = True
        self.queue.submit(node.RelayEvent(relay.Committed(names)))

    def age(self) -> float | None:
        return self.relay.age(clock())

    def status(self) -> str:
        sessions = [s for s in self.relay.sessions.values() if s.welcomed]
        outdated = sum(not s.up_to_date() for s in sessions)
        age, upstream, downstream = self.age(), self.connections.counts, self.listener.counts
        active = self.relay_node.subscriber.active_session if self.relay_node is not None else None
        at = f" at {active.relay.name}" if active is not None else ""
        known = "nothing held yet" if age is None else f"at most {age:.1f} s old"
        return (
            f"revision {self.store.revision}{at}, {known}; {len(self.store.objects)} objects; "
            f"{len(sessions)} subscribers, {outdated} of them to be sent something; bytes from above "
            f"{upstream.bytes_in}, to below {downstream.bytes_out}, from below {downstream.bytes_in}; ended: "
            f"{upstream.foreign + downstream.foreign} foreign, "
            f"{upstream.unreadable + downstream.unreadable} unreadable, "
            f"{downstream.half_open} half open, {upstream.overfull + downstream.overfull} overfull"
        )

    def _tick(self) -> None:
        if self.relay_node is not None:
            self.queue.submit(node.SubscriberEvent(subscriber.Tick()))
            if not self.ready_logged and self.age() is not None:
                self.ready_logged = True
                count = len(self.store.objects)
                self.on_log(f"delivery: holds revision {self.store.revision}, {count} objects; serving")
        self.queue.submit(node.RelayEvent(relay.Tick()))

    def _step(self, event: node.SubscriberEvent | node.RelayEvent) -> None:
        now = clock()
        if self.relay_node is not None:
            for action in self.relay_node.step(now, event):
                if isinstance(action, node.RelayAction):
                    self._execute_relay_action(action.action)
                else:
                    self._execute_subscriber_action(action.action)
        elif isinstance(event, node.RelayEvent):
            for relay_action in self.relay.step(now, event.event):
                self._execute_relay_action(relay_action)

    def _execute_relay_action(self, action: relay.Action) -> None:
        if isinstance(action, relay.LogLine):
            self.on_log(action.text)
        else:
            self.listener.execute(action)

    def _execute_subscriber_action(self, action: subscriber.Action) -> None:
        if isinstance(action, subscriber.LogLine):
            self.on_log(action.text)
        elif isinstance(action, subscriber.Connect | subscriber.Disconnect | subscriber.Transmit):
            self.connections.execute(action)
