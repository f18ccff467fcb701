"""Delivery on real sockets: a client follows names at relays; a server is the origin or a relay.

The cores decide; here are the sockets, the clock and the ticks. What comes of carrying out an action (a full
socket, an end) is a further event, taken once all actions of the one before are carried out: so no frame
overtakes another.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from flintlatch.delivery import node, relay, subscriber
from flintlatch.delivery.model import RELAY_RULES, Participant, Role, Rules
from flintlatch.delivery.shell_above import Above
from flintlatch.delivery.shell_below import Below
from flintlatch.delivery.store import Store
from flintlatch.delivery.stream import Counts
from flintlatch.delivery.subscriber import Changed
from flintlatch.peers.clock import clock

TICK_S = 0.1
Event = TypeVar("Event")


class Turns(Generic[Event]):
    """One event after the other: those that come while one is worked on wait, at most some for each open
    connection."""

    def __init__(self, step: Callable[[Event], None]) -> None:
        self.step = step
        self.waiting: deque[Event] = deque()
        self.working = False

    def take(self, event: Event) -> None:
        self.waiting.append(event)
        if self.working:
            return
        self.working = True
        try:
            while self.waiting:
                self.step(self.waiting.popleft())
        finally:
            self.working = False


class Ticking:
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
    """`on_changed` hears what has come into force, `on_absent` of names that the origin has not, `on_told` of
    lines for the log. `local_host`: the address that connections come from, empty for the system's choice."""

    def __init__(
        self,
        me: Participant,
        role: Role,
        relays: tuple[Participant, ...],
        rules: Rules,
        keys: tuple[bytes, ...],
        on_changed: Callable[[Changed], None],
        on_absent: Callable[[tuple[str, ...]], None],
        on_told: Callable[[str], None],
        local_host: str = "",
    ) -> None:
        rng: Any = random.SystemRandom()
        everything = role is Role.RELAY
        self.subscriber = subscriber.Subscriber(me, role, relays, rules, rng, clock(), everything)
        self.on_changed, self.on_absent, self.on_told = on_changed, on_absent, on_told
        self.turns: Turns[subscriber.Event] = Turns(self._step)
        self.above = Above(keys, local_host, self.turns.take)
        self.ticking = Ticking(lambda: self.turns.take(subscriber.Tick()))

    @property
    def counts(self) -> Counts:
        return self.above.counts

    def open(self) -> None:
        self.ticking.start()

    def close(self) -> None:
        self.ticking.stop()
        self.above.close()

    def follow(self, names: tuple[str, ...]) -> None:
        self.turns.take(subscriber.Follow(names))

    def unfollow(self, names: tuple[str, ...]) -> None:
        self.turns.take(subscriber.Unfollow(names))

    def change_keys(self, keys: tuple[bytes, ...]) -> None:
        """For connections from now on."""
        self.above.keys = keys

    def relay_name(self) -> str:
        """The name of the one that it follows at, or is about to; empty: none."""
        main = self.subscriber.active_session
        return main.relay.name if main is not None and main.state is subscriber.State.LIVE else ""

    def _step(self, event: subscriber.Event) -> None:
        for action in self.subscriber.step(clock(), event):
            if isinstance(action, Changed):
                self.on_changed(action)
            elif isinstance(action, subscriber.Absent):
                self.on_absent(action.names)
            elif isinstance(action, subscriber.LogLine):
                self.on_told(action.text)
            else:
                self.above.carry_out(action)


class Server:
    """With `origins` a relay below them; without it is the origin, whose `store` its owner fills and then
    calls `committed`. `rules`: of those that it serves, `upward`: by which it follows."""

    def __init__(
        self,
        me: Participant,
        bind: str,
        rules: Rules,
        keys: tuple[bytes, ...],
        on_told: Callable[[str], None],
        origins: tuple[Participant, ...] = (),
        local_host: str = "",
        upward: Rules = RELAY_RULES,
    ) -> None:
        self.me, self.on_told = me, on_told
        self.turns: Turns[node.SubscriberEvent | node.RelayEvent] = Turns(self._step)
        self.below = Below(bind, keys, lambda event: self.turns.take(node.RelayEvent(event)))
        self.above = Above(keys, local_host, lambda event: self.turns.take(node.SubscriberEvent(event)))
        self.ticking = Ticking(self._tick)
        self.node: node.RelayNode | None = None
        self.filled = False  # the origin's store holds what its owner wants
        self.told_held = False
        if origins:
            rng: Any = random.SystemRandom()
            self.node = node.RelayNode(me, origins, rules, rng, clock(), upward)
            self.relay, self.store = self.node.relay, self.node.subscriber.store
        else:
            self.store = Store()
            self.relay = relay.Relay(me.name, self.store, rules, self._age, is_origin=True)

    def _age(self, now: float) -> float | None:
        return 0.0 if self.filled else None

    @property
    def address(self) -> str:
        """host:port that was bound."""
        return self.below.address

    async def open(self) -> None:
        """Raises NotBound."""
        await self.below.open()
        self.ticking.start()

    def close(self) -> None:
        self.ticking.stop()
        self.above.close()
        self.below.close()

    def committed(self, names: tuple[str, ...]) -> None:
        """The origin's store holds news of these objects."""
        self.filled = True
        self.turns.take(node.RelayEvent(relay.Committed(names)))

    def age(self) -> float | None:
        return self.relay.age(clock())

    def status(self) -> str:
        sessions = [s for s in self.relay.sessions.values() if s.greeted]
        lacking = sum(not s.current() for s in sessions)
        age, up, down = self.age(), self.above.counts, self.below.counts
        main = self.node.subscriber.active_session if self.node is not None else None
        at = f" at {main.relay.name}" if main is not None else ""
        known = "nothing held yet" if age is None else f"at most {age:.1f} s old"
        return (
            f"revision {self.store.revision}{at}, {known}; {len(self.store.objects)} objects; "
            f"{len(sessions)} subscribers, {lacking} of them to be sent something; bytes from above "
            f"{up.bytes_in}, to below {down.bytes_out}, from below {down.bytes_in}; ended: "
            f"{up.foreign + down.foreign} foreign, {up.unreadable + down.unreadable} unreadable, "
            f"{down.half_open} half open, {up.overfull + down.overfull} overfull"
        )

    def _tick(self) -> None:
        if self.node is not None:
            self.turns.take(node.SubscriberEvent(subscriber.Tick()))
            if not self.told_held and self.age() is not None:
                self.told_held = True
                count = len(self.store.objects)
                self.on_told(f"delivery: holds revision {self.store.revision}, {count} objects; serving")
        self.turns.take(node.RelayEvent(relay.Tick()))

    def _step(self, event: node.SubscriberEvent | node.RelayEvent) -> None:
        now = clock()
        if self.node is not None:
            for action in self.node.step(now, event):
                if isinstance(action, node.RelayAction):
                    self._serve(action.action)
                else:
                    self._follow(action.action)
        elif isinstance(event, node.RelayEvent):
            for downward in self.relay.step(now, event.event):
                self._serve(downward)

    def _serve(self, action: relay.Action) -> None:
        if isinstance(action, relay.LogLine):
            self.on_told(action.text)
        else:
            self.below.carry_out(action)

    def _follow(self, action: subscriber.Action) -> None:
        if isinstance(action, subscriber.LogLine):
            self.on_told(action.text)
        elif isinstance(action, subscriber.Connect | subscriber.Disconnect | subscriber.Transmit):
            self.above.carry_out(action)
