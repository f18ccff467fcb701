"""Simulates delivery in virtual time: the real cores of an origin, relays and proxies that only subscribe.

Messages on a stream arrive in order, unless a test drops, duplicates or reorders them with `Lab.tamper`. A
cut holds back the messages of open streams until it heals. If a stream is closed during a cut, the other side
is not notified, as with a half-open connection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from flintlatch.delivery import node, relay, subscriber
from flintlatch.delivery.model import RELAY_RULES, Message, ObjectChange, Participant, Role, Rules, wire_size
from flintlatch.delivery.store import Store
from flintlatch.lab.engine import Engine

TICK_S = 0.1
MAX_BUFFERED_MESSAGES = 10_000  # of a paused process, and of a stream during a cut


@dataclass(slots=True)
class Stream:
    """A connection of a subscriber to a relay. Each side has a session number of its own for it."""

    subscriber: str
    relay: str
    subscriber_session: int
    relay_session: int
    open: bool = True
    last_arrival_at: dict[str, float] = field(default_factory=dict)  # of the last message, by receiver
    held_back: list[tuple[str, Message]] = field(default_factory=list)  # by a cut: (receiver, message)


class Host:
    """A simulated process. The base class of the origin, relays and proxies."""

    def __init__(self, lab: Lab, place: Participant) -> None:
        self.lab, self.place = lab, place
        self.running, self.paused = True, False
        self.buffer: list[Callable[[], None]] = []
        self.downstream_sessions: dict[int, Stream] = {}  # streams to its subscribers, by its session number
        self.upstream_sessions: dict[int, Stream] = {}  # streams to its relays, by its session number
        self.accepted = 0  # connections; the last session number that was assigned
        self.sent_bytes = self.received_bytes = self.sent_messages = 0

    def tick(self) -> None: ...
    def on_relay_event(self, event: relay.Event) -> None: ...
    def on_subscriber_event(self, event: subscriber.Event) -> None: ...

    def run_or_buffer(self, call: Callable[[], None]) -> None:
        """Runs the call at once, or when the process resumes if it is paused; never if it is not running."""
        if self.paused:
            if len(self.buffer) < MAX_BUFFERED_MESSAGES:
                self.buffer.append(call)
        elif self.running:
            call()

    def _serve(self, actions: Iterable[relay.Action]) -> None:
        for action in actions:
            if isinstance(action, relay.Transmit):
                if (stream := self.downstream_sessions.get(action.session)) is not None:
                    self.lab.send(stream, stream.subscriber, action.message)
            elif isinstance(action, relay.Disconnect):
                if (stream := self.downstream_sessions.pop(action.session, None)) is not None:
                    self.lab.close(stream, self.place.name)
            elif isinstance(action, relay.RequestTurn):
                self.lab.engine.after(
                    0.0, lambda: self.run_or_buffer(lambda: self.on_relay_event(relay.SendTurn()))
                )
            else:
                self.lab.log_lines.append((self.lab.engine.now, self.place.name, action.text))

    def _follow(self, actions: Iterable[subscriber.Action]) -> None:
        for action in actions:
            if isinstance(action, subscriber.Transmit):
                if (stream := self.upstream_sessions.get(action.session)) is not None:
                    self.lab.send(stream, stream.relay, action.message)
            elif isinstance(action, subscriber.Connect):
                self.lab.connect(self, action.session, action.relay.name)
            elif isinstance(action, subscriber.Disconnect):
                if (stream := self.upstream_sessions.pop(action.session, None)) is not None:
                    self.lab.close(stream, self.place.name)
            elif isinstance(action, subscriber.LogLine):
                self.lab.log_lines.append((self.lab.engine.now, self.place.name, action.text))
            else:
                self.lab.on_change(self.lab.engine.now, self.place.name, action)


class Origin(Host):
    """The origin.

    `first_revision`: the revision at which it starts; by default the time in ms, which is above the revisions
    of an earlier run.
    """

    def __init__(self, lab: Lab, place: Participant, rules: Rules, first_revision: int | None = None) -> None:
        super().__init__(lab, place)
        self.store = Store()
        self.store.restamp(int(lab.engine.now * 1000) if first_revision is None else first_revision)
        self.relay = relay.Relay(place.name, self.store, rules, lambda now: 0.0, is_origin=True)

    def commit(self, changes: Iterable[ObjectChange]) -> int:
        names = self.store.commit(changes)
        self.on_relay_event(relay.Committed(tuple(names)))
        return self.store.revision

    def tick(self) -> None:
        self.on_relay_event(relay.Tick())

    def on_relay_event(self, event: relay.Event) -> None:
        self._serve(self.relay.step(self.lab.engine.now, event))


class RelayHost(Host):
    """A relay, which subscribes at an origin and serves subscribers."""

    def __init__(
        self, lab: Lab, place: Participant, origins: tuple[Participant, ...], rules: Rules, rng: Random
    ) -> None:
        super().__init__(lab, place)
        self.node = node.RelayNode(place, origins, rules, rng, lab.engine.now)

    def tick(self) -> None:
        self.on_subscriber_event(subscriber.Tick())
        self.on_relay_event(relay.Tick())

    def on_relay_event(self, event: relay.Event) -> None:
        self._out(self.node.step(self.lab.engine.now, node.RelayEvent(event)))

    def on_subscriber_event(self, event: subscriber.Event) -> None:
        self._out(self.node.step(self.lab.engine.now, node.SubscriberEvent(event)))

    def _out(self, actions: list[node.SubscriberAction | node.RelayAction]) -> None:
        for action in actions:
            if isinstance(action, node.SubscriberAction):
                self._follow([action.action])
            else:
                self._serve([action.action])


class Proxy(Host):
    """A proxy, which only subscribes: to the objects `names`."""

    def __init__(
        self,
        lab: Lab,
        place: Participant,
        relays: tuple[Participant, ...],
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
    """A simulated fleet of an origin, relays and proxies.

    `on_change(now, name, action)` is called with each `Changed` and `Absent` action of a subscriber.
    `tamper(stream, receiver, message)` returns the messages that are sent in place of the message.
    """

    def __init__(
        self,
        seed: int,
        on_change: Callable[[float, str, Any], None] = lambda now, name, action: None,
        delay_s: tuple[float, float] = (0.0005, 0.003),
    ) -> None:
        self.rng = Random(f"{seed}/delivery")
        self.engine = Engine()
        self.hosts: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()  # (sender, receiver)
        self.log_lines: list[tuple[float, str, str]] = []  # (time, process, text)
        self.on_change, self.delay_s = on_change, delay_s
        self.tamper: Callable[[Stream, str, Message], list[Message]] | None = None

    def add(self, host: Host) -> None:
        """Adds a process, or replaces the killed one of the same name, and schedules its ticks."""
        self.hosts[host.place.name] = host
        first_tick_s = self.rng.random() * TICK_S

        def tick() -> None:
            if self.hosts.get(host.place.name) is not host or not host.running:
                return
            self.engine.after(TICK_S, tick)
            if not host.paused:
                host.tick()

        self.engine.after(first_tick_s, tick)

    def origin(
        self, place: Participant, rules: Rules = RELAY_RULES, first_revision: int | None = None
    ) -> Origin:
        host = Origin(self, place, rules, first_revision)
        self.add(host)
        return host

    def relay(self, place: Participant, origins: tuple[Participant, ...], rules: Rules) -> RelayHost:
        host = RelayHost(self, place, origins, rules, Random(self.rng.random()))
        self.add(host)
        return host

    def proxy(
        self, place: Participant, relays: tuple[Participant, ...], names: tuple[str, ...], rules: Rules
    ) -> Proxy:
        host = Proxy(self, place, relays, names, rules, Random(self.rng.random()))
        self.add(host)
        return host

    # Faults

    def kill(self, name: str) -> None:
        """Ends the process; its connections are reset."""
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
        for call in buffer:
            call()

    def reset(self, stream: Stream) -> None:
        """Closes the connection at both sides at once."""
        stream.open = False
        client, server = self.hosts[stream.subscriber], self.hosts[stream.relay]
        if client.upstream_sessions.get(stream.subscriber_session) is stream:
            del client.upstream_sessions[stream.subscriber_session]
            client.run_or_buffer(
                lambda: client.on_subscriber_event(subscriber.Closed(stream.subscriber_session))
            )
        if server.downstream_sessions.get(stream.relay_session) is stream:
            del server.downstream_sessions[stream.relay_session]
            server.run_or_buffer(lambda: server.on_relay_event(relay.Closed(stream.relay_session)))

    def cut(self, senders: Iterable[str], receivers: Iterable[str], both: bool = True) -> None:
        """Holds back all messages from senders to receivers and, if `both`, from receivers to senders."""
        all_receivers = tuple(receivers)
        for sender in senders:
            self.cuts.update((sender, receiver) for receiver in all_receivers if sender != receiver)
            if both:
                self.cuts.update((receiver, sender) for receiver in all_receivers if sender != receiver)

    def heal(self) -> None:
        """Removes all cuts and sends what they held back on open streams."""
        self.cuts.clear()
        for host in list(self.hosts.values()):
            for stream in list(host.upstream_sessions.values()):
                held_back, stream.held_back = stream.held_back, []
                for receiver, message in held_back:
                    self.send(stream, receiver, message)

    # Streams

    def _delay(self) -> float:
        return self.rng.uniform(*self.delay_s)

    def connect(self, client: Host, session: int, relay_name: str) -> None:
        client_name = client.place.name

        def on_connect() -> None:
            server = self.hosts.get(relay_name)
            if (client_name, relay_name) in self.cuts or server is not None and server.paused:
                return  # no response: the subscriber's timeout ends the attempt
            if server is None or not server.running:
                self.engine.after(
                    self._delay(),
                    lambda: client.run_or_buffer(
                        lambda: client.on_subscriber_event(subscriber.Closed(session))
                    ),
                )
                return
            server.accepted += 1
            stream = Stream(client_name, relay_name, session, server.accepted)
            server.downstream_sessions[stream.relay_session] = stream
            server.on_relay_event(relay.Accepted(stream.relay_session))

            def on_accepted() -> None:
                if not stream.open or not client.running:
                    return
                client.upstream_sessions[session] = stream
                client.run_or_buffer(lambda: client.on_subscriber_event(subscriber.Connected(session)))

            if (relay_name, client_name) not in self.cuts:
                self.engine.after(self._delay(), on_accepted)

        self.engine.after(self._delay(), on_connect)

    def close(self, stream: Stream, by: str) -> None:
        """Closes the stream at the side `by` and notifies the other side, unless the link is cut."""
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
                if host.upstream_sessions.get(stream.subscriber_session) is stream:
                    del host.upstream_sessions[stream.subscriber_session]
                    host.run_or_buffer(
                        lambda: host.on_subscriber_event(subscriber.Closed(stream.subscriber_session))
                    )
            elif host.downstream_sessions.get(stream.relay_session) is stream:
                del host.downstream_sessions[stream.relay_session]
                host.run_or_buffer(lambda: host.on_relay_event(relay.Closed(stream.relay_session)))

        self.engine.after(
            max(self._delay(), stream.last_arrival_at.get(other, 0.0) - self.engine.now), arrive
        )

    def send(self, stream: Stream, receiver: str, message: Message) -> None:
        sender_name = stream.subscriber if receiver == stream.relay else stream.relay
        if (sender_name, receiver) in self.cuts:
            if len(stream.held_back) < MAX_BUFFERED_MESSAGES:
                stream.held_back.append((receiver, message))
            return
        size = wire_size(message)
        sender = self.hosts[sender_name]
        sender.sent_bytes += size
        sender.sent_messages += 1
        for sent in [message] if self.tamper is None else self.tamper(stream, receiver, message):
            arrives_at = max(self.engine.now + self._delay(), stream.last_arrival_at.get(receiver, 0.0))
            stream.last_arrival_at[receiver] = arrives_at
            self.engine.at(arrives_at, lambda sent=sent: self._arrive(stream, receiver, sent, size))  # type: ignore[misc]

    def _arrive(self, stream: Stream, receiver: str, message: Any, size: int) -> None:
        host = self.hosts.get(receiver)
        if host is None or not host.running:
            return
        host.received_bytes += size
        if receiver == stream.subscriber:
            if host.upstream_sessions.get(stream.subscriber_session) is stream:
                session = stream.subscriber_session
                host.run_or_buffer(lambda: host.on_subscriber_event(subscriber.Received(session, message)))
        elif host.downstream_sessions.get(stream.relay_session) is stream:
            session = stream.relay_session
            host.run_or_buffer(lambda: host.on_relay_event(relay.Received(session, message)))
