"""Delivery in virtual time: an origin, relays and hollow proxies, the real cores on the lab's engine.

A link is a stream: what is sent on it arrives in order, unless a test takes a frame away, doubles it or swaps
two. A cut holds frames back and then drops the session when it heals, as a half-open connection is reset.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from flintlatch.delivery import node, relay, subscriber
from flintlatch.delivery.model import RELAY_RULES, Message, ObjectChange, Place, Role, Rules, size_of
from flintlatch.delivery.store import Store
from flintlatch.lab.engine import Engine

TICK_S = 0.1
HELD_FRAMES = 10_000  # that a paused process finds in its buffers, or that a cut holds back


@dataclass(slots=True)
class Stream:
    """One connection: `below` the subscriber, `above` the relay; numbers are each side's own."""

    subscriber: str
    relay: str
    below_number: int
    above_number: int
    open: bool = True
    last: dict[str, float] = field(default_factory=dict)  # by receiver: when its last frame arrives
    held: list[tuple[str, Message]] = field(default_factory=list)  # by the cut, with their receiver


class Host:
    """What all processes here share: a name, whether it runs, its streams by its own numbers."""

    def __init__(self, lab: Lab, place: Place) -> None:
        self.lab, self.place = lab, place
        self.running, self.paused = True, False
        self.buffer: list[Callable[[], None]] = []
        self.downstream_sessions: dict[int, Stream] = {}  # of those that it serves
        self.upstream_sessions: dict[int, Stream] = {}  # of those that it follows
        self.accepted = 0
        self.sent_bytes = self.received_bytes = self.sent_messages = 0

    def tick(self) -> None: ...
    def on_relay_event(self, event: relay.Event) -> None: ...
    def on_subscriber_event(self, event: subscriber.Event) -> None: ...

    def run_or_buffer(self, what: Callable[[], None]) -> None:
        """Now, or when it wakes."""
        if self.paused:
            if len(self.buffer) < HELD_FRAMES:
                self.buffer.append(what)
        elif self.running:
            what()

    def _serve(self, actions: Iterable[relay.Action]) -> None:
        for action in actions:
            if isinstance(action, relay.Transmit):
                if (stream := self.downstream_sessions.get(action.session)) is not None:
                    self.lab.carry(stream, stream.subscriber, action.message)
            elif isinstance(action, relay.Disconnect):
                if (stream := self.downstream_sessions.pop(action.session, None)) is not None:
                    self.lab.close(stream, self.place.name)
            elif isinstance(action, relay.Again):
                self.lab.engine.after(
                    0.0, lambda: self.run_or_buffer(lambda: self.on_relay_event(relay.Go()))
                )
            else:
                self.lab.log_lines.append((self.lab.engine.now, self.place.name, action.text))

    def _follow(self, actions: Iterable[subscriber.Action]) -> None:
        for action in actions:
            if isinstance(action, subscriber.Transmit):
                if (stream := self.upstream_sessions.get(action.session)) is not None:
                    self.lab.carry(stream, stream.relay, action.message)
            elif isinstance(action, subscriber.Connect):
                self.lab.connect(self, action.session, action.relay.name)
            elif isinstance(action, subscriber.Disconnect):
                if (stream := self.upstream_sessions.pop(action.session, None)) is not None:
                    self.lab.close(stream, self.place.name)
            elif isinstance(action, subscriber.Told):
                self.lab.log_lines.append((self.lab.engine.now, self.place.name, action.text))
            else:
                self.lab.on_force(self.lab.engine.now, self.place.name, action)


class Origin(Host):
    """`first`: the revision at which it starts; else, by the clock, one above that of any life before."""

    def __init__(self, lab: Lab, place: Place, rules: Rules, first: int | None = None) -> None:
        super().__init__(lab, place)
        self.store = Store()
        self.store.restamp(int(lab.engine.now * 1000) if first is None else first)
        self.relay = relay.Relay(place.name, self.store, rules, lambda now: 0.0, authority=True)

    def commit(self, changes: Iterable[ObjectChange]) -> int:
        names = self.store.commit(changes)
        self.on_relay_event(relay.Committed(tuple(names)))
        return self.store.revision

    def tick(self) -> None:
        self.on_relay_event(relay.Tick())

    def on_relay_event(self, event: relay.Event) -> None:
        self._serve(self.relay.step(self.lab.engine.now, event))


class RelayHost(Host):
    def __init__(self, lab: Lab, place: Place, origins: tuple[Place, ...], rules: Rules, rng: Random) -> None:
        super().__init__(lab, place)
        self.node = node.Node(place, origins, rules, rng, lab.engine.now)

    def tick(self) -> None:
        self.on_subscriber_event(subscriber.Tick())
        self.on_relay_event(relay.Tick())

    def on_relay_event(self, event: relay.Event) -> None:
        self._out(self.node.step(self.lab.engine.now, node.Below(event)))

    def on_subscriber_event(self, event: subscriber.Event) -> None:
        self._out(self.node.step(self.lab.engine.now, node.Above(event)))

    def _out(self, actions: list[node.Upward | node.Downward]) -> None:
        for action in actions:
            if isinstance(action, node.Upward):
                self._follow([action.action])
            else:
                self._serve([action.action])


class Proxy(Host):
    def __init__(
        self,
        lab: Lab,
        place: Place,
        relays: tuple[Place, ...],
        names: tuple[str, ...],
        rules: Rules,
        rng: Random,
    ) -> None:
        super().__init__(lab, place)
        self.subscriber = subscriber.Subscriber(place, Role.PROXY, relays, rules, rng, lab.engine.now)
        self.on_subscriber_event(subscriber.Follow(names))

    def tick(self) -> None:
        self.on_subscriber_event(subscriber.Tick())

    def on_subscriber_event(self, event: subscriber.Event) -> None:
        self._follow(self.subscriber.step(self.lab.engine.now, event))


class Lab:
    """`on_force(now, name, action)` hears of each `Changed` and `Absent` at subscribers."""

    def __init__(
        self,
        seed: int,
        on_force: Callable[[float, str, Any], None] = lambda now, name, action: None,
        delay_s: tuple[float, float] = (0.0005, 0.003),
    ) -> None:
        self.rng = Random(f"{seed}/delivery")
        self.engine = Engine()
        self.hosts: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.log_lines: list[tuple[float, str, str]] = []
        self.on_force, self.delay_s = on_force, delay_s
        self.tamper: Callable[[Stream, str, Message], list[Message]] | None = None

    def add(self, host: Host) -> None:
        """Also in place of one that was killed."""
        self.hosts[host.place.name] = host
        offset = self.rng.random() * TICK_S

        def tick() -> None:
            if self.hosts.get(host.place.name) is not host or not host.running:
                return
            self.engine.after(TICK_S, tick)
            if not host.paused:
                host.tick()

        self.engine.after(offset, tick)

    def origin(self, place: Place, rules: Rules = RELAY_RULES, first: int | None = None) -> Origin:
        host = Origin(self, place, rules, first)
        self.add(host)
        return host

    def relay(self, place: Place, origins: tuple[Place, ...], rules: Rules) -> RelayHost:
        host = RelayHost(self, place, origins, rules, Random(self.rng.random()))
        self.add(host)
        return host

    def proxy(self, place: Place, relays: tuple[Place, ...], names: tuple[str, ...], rules: Rules) -> Proxy:
        host = Proxy(self, place, relays, names, rules, Random(self.rng.random()))
        self.add(host)
        return host

    # Faults

    def kill(self, name: str) -> None:
        """Its connections are reset."""
        host = self.hosts[name]
        host.running = False
        for stream in [*host.downstream_sessions.values(), *host.upstream_sessions.values()]:
            self.close(stream, name)
        host.downstream_sessions.clear()
        host.upstream_sessions.clear()

    def pause(self, name: str) -> None:
        self.hosts[name].paused = True

    def resume(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        buffer, host.buffer = host.buffer, []
        for what in buffer:
            what()

    def reset(self, stream: Stream) -> None:
        """The connection is lost to both sides, at once."""
        stream.open = False
        below, above = self.hosts[stream.subscriber], self.hosts[stream.relay]
        if below.upstream_sessions.get(stream.below_number) is stream:
            del below.upstream_sessions[stream.below_number]
            below.run_or_buffer(lambda: below.on_subscriber_event(subscriber.Closed(stream.below_number)))
        if above.downstream_sessions.get(stream.above_number) is stream:
            del above.downstream_sessions[stream.above_number]
            above.run_or_buffer(lambda: above.on_relay_event(relay.Closed(stream.above_number)))

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        others = tuple(other)
        for a in one:
            self.cuts.update((a, b) for b in others if a != b)
            if both:
                self.cuts.update((b, a) for b in others if a != b)

    def heal(self) -> None:
        """What was held back on open streams arrives."""
        self.cuts.clear()
        for host in list(self.hosts.values()):
            for stream in list(host.upstream_sessions.values()):
                held, stream.held = stream.held, []
                for target, message in held:
                    self.carry(stream, target, message)

    # Streams

    def _delay(self) -> float:
        return self.rng.uniform(*self.delay_s)

    def connect(self, below: Host, number: int, name: str) -> None:
        source = below.place.name

        def arrive() -> None:
            above = self.hosts.get(name)
            if (source, name) in self.cuts or above is not None and above.paused:
                return  # nothing answers: the subscriber's own limit ends it
            if above is None or not above.running:
                self.engine.after(
                    self._delay(),
                    lambda: below.run_or_buffer(lambda: below.on_subscriber_event(subscriber.Closed(number))),
                )
                return
            above.accepted += 1
            stream = Stream(source, name, number, above.accepted)
            above.downstream_sessions[stream.above_number] = stream
            above.on_relay_event(relay.Accepted(stream.above_number))

            def back() -> None:
                if not stream.open or not below.running:
                    return
                below.upstream_sessions[number] = stream
                below.run_or_buffer(lambda: below.on_subscriber_event(subscriber.Connected(number)))

            if (name, source) not in self.cuts:
                self.engine.after(self._delay(), back)

        self.engine.after(self._delay(), arrive)

    def close(self, stream: Stream, by: str) -> None:
        """The other side hears of it, unless a cut lies between."""
        if not stream.open:
            return
        stream.open = False
        other = stream.subscriber if by == stream.relay else stream.relay
        if (by, other) in self.cuts:
            return

        def arrive() -> None:
            host = self.hosts.get(other)
            if host is None:
                return
            if other == stream.subscriber:
                if host.upstream_sessions.get(stream.below_number) is stream:
                    del host.upstream_sessions[stream.below_number]
                    host.run_or_buffer(
                        lambda: host.on_subscriber_event(subscriber.Closed(stream.below_number))
                    )
            elif host.downstream_sessions.get(stream.above_number) is stream:
                del host.downstream_sessions[stream.above_number]
                host.run_or_buffer(lambda: host.on_relay_event(relay.Closed(stream.above_number)))

        self.engine.after(max(self._delay(), stream.last.get(other, 0.0) - self.engine.now), arrive)

    def carry(self, stream: Stream, target: str, message: Message) -> None:
        source = stream.subscriber if target == stream.relay else stream.relay
        if (source, target) in self.cuts:
            if len(stream.held) < HELD_FRAMES:
                stream.held.append((target, message))
            return
        size = size_of(message)
        sender = self.hosts[source]
        sender.sent_bytes += size
        sender.sent_messages += 1
        for one in [message] if self.tamper is None else self.tamper(stream, target, message):
            when = max(self.engine.now + self._delay(), stream.last.get(target, 0.0))
            stream.last[target] = when
            self.engine.at(when, lambda one=one: self._arrive(stream, target, one, size))  # type: ignore[misc]

    def _arrive(self, stream: Stream, target: str, message: Any, size: int) -> None:
        host = self.hosts.get(target)
        if host is None or not host.running:
            return
        host.received_bytes += size
        if target == stream.subscriber:
            if host.upstream_sessions.get(stream.below_number) is stream:
                number = stream.below_number
                host.run_or_buffer(lambda: host.on_subscriber_event(subscriber.Received(number, message)))
        elif host.downstream_sessions.get(stream.above_number) is stream:
            number = stream.above_number
            host.run_or_buffer(lambda: host.on_relay_event(relay.Received(number, message)))
