"""A relay as a whole: it follows everything above it and serves what it holds to those below."""

from __future__ import annotations

from typing import NamedTuple

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import RELAY_RULES, Participant, Role, Rules
from flintlatch.peers.model import Chance


class SubscriberEvent(NamedTuple):
    """An event of its own subscription."""

    event: subscriber.Event


class RelayEvent(NamedTuple):
    """An event of those that it serves."""

    event: relay.Event


class SubscriberAction(NamedTuple):
    action: subscriber.Action


class RelayAction(NamedTuple):
    action: relay.Action


class RelayNode:
    """`rules`: of those below; it follows its origins by `upward`."""

    def __init__(
        self,
        me: Participant,
        origins: tuple[Participant, ...],
        rules: Rules,
        rng: Chance,
        now: float,
        upward: Rules = RELAY_RULES,
    ) -> None:
        self.subscriber = subscriber.Subscriber(me, Role.RELAY, origins, upward, rng, now, everything=True)
        self.relay = relay.Relay(me.name, self.subscriber.store, rules, self.age)

    def age(self, now: float) -> float | None:
        return self.subscriber.age(now) if self.subscriber.ready() else None

    def step(self, now: float, event: SubscriberEvent | RelayEvent) -> list[SubscriberAction | RelayAction]:
        if isinstance(event, RelayEvent):
            return [RelayAction(action) for action in self.relay.step(now, event.event)]
        out: list[SubscriberAction | RelayAction] = []
        for action in self.subscriber.step(now, event.event):
            if isinstance(action, subscriber.Changed):
                names = tuple(change.name for change in action.changes)
                out += [RelayAction(a) for a in self.relay.step(now, relay.Committed(names))]
            else:
                out.append(SubscriberAction(action))
        return out
