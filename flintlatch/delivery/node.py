"""A relay process: subscribes to all objects at the origin and serves them to its own subscribers."""

from __future__ import annotations

from typing import NamedTuple

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import RELAY_RULES, Participant, Role, Rules
from flintlatch.peers.model import RandomSource


class SubscriberEvent(NamedTuple):
    """An event of the relay's own subscription."""

    event: subscriber.Event


class RelayEvent(NamedTuple):
    """An event of the subscribers that it serves."""

    event: relay.Event


class SubscriberAction(NamedTuple):
    action: subscriber.Action


class RelayAction(NamedTuple):
    action: relay.Action


class RelayNode:
    """`rules` apply to the subscribers that it serves, `upstream_rules` to its own subscription."""

    def __init__(
        self,
        identity: Participant,
        origins: tuple[Participant, ...],
        rules: Rules,
        rng: RandomSource,
        now: float,
        upstream_rules: Rules = RELAY_RULES,
    ) -> None:
        self.subscriber = subscriber.Subscriber(
            identity, Role.RELAY, origins, upstream_rules, rng, now, all_objects=True
        )
        self.relay = relay.Relay(identity.name, self.subscriber.store, rules, self.age)

    def age(self, now: float) -> float | None:
        return self.subscriber.age(now) if self.subscriber.ready() else None

    def step(self, now: float, event: SubscriberEvent | RelayEvent) -> list[SubscriberAction | RelayAction]:
        if isinstance(event, RelayEvent):
            return [RelayAction(action) for action in self.relay.step(now, event.event)]
        actions: list[SubscriberAction | RelayAction] = []
        for action in self.subscriber.step(now, event.event):
            if isinstance(action, subscriber.Changed):
                names = tuple(change.name for change in action.changes)
                actions += [RelayAction(a) for a in self.relay.step(now, relay.Committed(names))]
            else:
                actions.append(SubscriberAction(action))
        return actions
