"""Limits: age of the state, bytes per minute, staleness of changes, memory per subscriber, subscriptions."""

from __future__ import annotations

import pytest

from flintlatch.delivery import relay, subscriber
from flintlatch.delivery.model import (
    Begin,
    Credit,
    Hello,
    Kind,
    Message,
    ObjectChange,
    Ping,
    Pong,
    Role,
    Rules,
    Welcome,
    wire_size,
)
from flintlatch.delivery.store import Store
from flintlatch.lab.delivery import RelayHost, Stream
from tests.delivery.reference import OBJECTS, Fleet, change_all, settled_fleet

# Age under continuous changes


def test_the_reported_age_stays_low_under_continuous_changes() -> None:
    fleet = settled_fleet()
    ages = []
    for n in range(400):
        change_all(fleet, f"{n}")
        fleet.run(0.05)
        ages += [fleet.subscriber(name).age(fleet.now) for name in (*fleet.names, *fleet.relays)]
        if n % 10 == 0:
            fleet.watch.check_all()
    assert max(ages) < 2 * (fleet.rules.ping_s + fleet.rules.gather_s + 0.25)
    assert not fleet.lab.log_lines
    assert all(
        not [key for key in fleet.subscriber(name).counts if key.startswith("lost")] for name in fleet.names
    )


# Bytes and time


def check_bytes_per_minute(fleet: Fleet, step_s: float, series: dict[str, list[int]]) -> float:
    """Checks the limit and returns the most bytes that one subscriber received in any minute. `series`
    has the running total of bytes at each step."""
    width = round(60 / step_s)
    worst = 0
    for values in series.values():
        worst = max(worst, *(b - a for a, b in zip(values, values[width:], strict=False)))
    assert worst <= fleet.rules.max_bytes_per_minute()
    return worst


TIGHT = Rules(bytes_per_s=500.0, burst_bytes=60_000.0, window_bytes=40_000.0)


def test_bytes_per_minute_are_bounded_while_relays_flap() -> None:
    fleet = settled_fleet(rules=TIGHT)
    series: dict[str, list[int]] = {name: [] for name in fleet.names}
    for n in range(1000):
        if n % 3 == 0:
            fleet.commit(*(ObjectChange(s, {f"n{n % 8}": fleet.lab.rng.randbytes(700)}) for s in OBJECTS))
        if n % 30 == 10:
            fleet.lab.kill(f"relay{n // 30 % 3}")
        if n % 30 == 20:
            fleet.start(f"relay{n // 30 % 3}")
        fleet.run(0.1)
        for name in fleet.names:
            series[name].append(fleet.lab.hosts[name].received_bytes)
    worst = check_bytes_per_minute(fleet, 0.1, series)
    assert worst > 0.5 * TIGHT.max_bytes_per_minute()  # otherwise the limit was not exercised
    for name in fleet.relays:
        if not fleet.lab.hosts[name].running:
            fleet.start(name)
    fleet.settle(200)  # 33 kB at the token rate, and what is left of them


def test_bytes_per_minute_are_bounded_after_a_long_idle_time() -> None:
    """Credit that was granted before and tokens saved since then are used in the same minute."""
    fleet = settled_fleet(relays=1, rules=TIGHT, proxies=1)
    fleet.run(300)
    series: dict[str, list[int]] = {"p0": [fleet.lab.hosts["p0"].received_bytes]}
    for n in range(700):
        if n % 2 == 0:
            fleet.commit(*(ObjectChange(s, {f"n{n % 8}": fleet.lab.rng.randbytes(1000)}) for s in OBJECTS))
        fleet.run(0.1)
        series["p0"].append(fleet.lab.hosts["p0"].received_bytes)
    worst = check_bytes_per_minute(fleet, 0.1, series)
    assert worst > 0.9 * TIGHT.max_bytes_per_minute()
    assert fleet.subscriber("p0").counts["lost: sends nothing"] == 0


@pytest.mark.parametrize("lost_relays", [0, 3])
@pytest.mark.parametrize("how", ["kill", "pause"])
def test_a_change_is_applied_within_the_staleness_bound(lost_relays: int, how: str) -> None:
    worst = 0.0
    for seed in range(4):
        fleet = settled_fleet(relays=6, seed=seed, proxies=3, rules=Rules(return_s=5.0))
        ranked = fleet.subscriber("p0").ranked_relays
        fleet.run_until(lambda fleet=fleet, ranked=ranked: fleet.relay_of("p0") == ranked[0].name, 100)  # type: ignore[misc]
        fleet.run(seed * 0.3)
        for participant in ranked[:lost_relays]:
            (fleet.lab.kill if how == "kill" else fleet.lab.pause)(participant.name)
        change_all(fleet, "new")
        worst = max(worst, fleet.run_until(lambda fleet=fleet: fleet.converged("p0"), 60, step_s=0.02))  # type: ignore[misc]
    assert worst <= Rules().staleness_bound_s(lost_relays, 0.0)
    # Otherwise the detection of a silent relay was not exercised.
    assert lost_relays == 0 or how == "kill" or worst > Rules().silence_s


# Slow subscribers


def relay_session_of(fleet: Fleet, name: str) -> tuple[relay.Relay, relay.Session]:
    host = fleet.lab.hosts[fleet.relay_of(name)]
    assert isinstance(host, RelayHost)
    core = host.node.relay
    return core, next(s for s in core.sessions.values() if s.name == name)


def test_for_a_slow_reader_only_names_are_kept_and_it_catches_up() -> None:
    fleet = settled_fleet(proxies=1)
    core, session = relay_session_of(fleet, "p0")
    host = fleet.lab.hosts[fleet.relay_of("p0")]
    host.on_relay_event(relay.Paused(session.number))
    credit = session.credit
    for n in range(300):
        change_all(fleet, f"{n}")
        fleet.run(0.02)
        assert set(session.dirty) <= set(fleet.names["p0"]) and session.batch is None
    fleet.run(1)
    assert session.credit == credit and not fleet.has_wanted_state("p0")
    fleet.wire.clear()
    host.on_relay_event(relay.Writable(session.number))
    fleet.settle(1)
    assert fleet.wire.sent["p0", Begin] == 1 and fleet.wire.parts["p0", Kind.DELTA] == 6


def test_for_a_subscriber_without_credit_only_names_are_kept_and_it_catches_up() -> None:
    fleet = settled_fleet(proxies=1)
    drop_credit = [True]

    def alter(stream: Stream, target: str, message: Message) -> list[Message]:
        return (
            [] if drop_credit[0] and isinstance(message, Credit) and stream.subscriber == "p0" else [message]
        )

    fleet.wire.alter = alter
    core, session = relay_session_of(fleet, "p0")
    sent = 0
    for _ in range(80):
        large_items = {f"n{k}": fleet.lab.rng.randbytes(1500) for k in range(8)}
        fleet.commit(*(ObjectChange(name, large_items) for name in OBJECTS))
        fleet.run(0.1)
        assert set(session.dirty) <= set(fleet.names["p0"])
        sent = sum(c for (target, _), c in fleet.wire.parts.items() if target == "p0")
    assert session.credit < fleet.rules.part_bytes + 2000 and sent < 10
    assert session.number not in core.send_queue
    drop_credit[0] = False
    fleet.settle(30)


def test_changes_during_a_batch_do_not_alter_its_content() -> None:
    """Objects are immutable, so even the last part of a batch has the content of the batch's beginning."""
    rules = Rules(bytes_per_s=20_000.0, burst_bytes=45_000.0, window_bytes=40_000.0)
    fleet = settled_fleet(relays=1, rules=rules, proxies=2)
    for _ in range(60):
        large_items = {f"n{k}": fleet.lab.rng.randbytes(1200) for k in range(8)}
        fleet.commit(*(ObjectChange(name, large_items) for name in OBJECTS))
        fleet.run(0.25)
        fleet.watch.check_all()
    fleet.settle(60)
    assert fleet.subscriber("p0").counts["batches"] > 3
    assert not [key for key in fleet.subscriber("p0").counts if key.startswith(("refused", "lost"))]


def test_a_slow_first_snapshot_is_not_logged_as_an_outage() -> None:
    fleet = Fleet(1, relays=2, rules=Rules(bytes_per_s=1000.0, burst_bytes=30_000.0, window_bytes=20_000.0))
    fleet.commit(*(ObjectChange(name, {f"n{k}": bytes(900) for k in range(8)}) for name in OBJECTS))
    fleet.proxy("p", *OBJECTS)
    took = fleet.settle(100)
    fleet.run(3)
    assert took > 40 and not fleet.log_lines("p")
    assert not [
        key for key in fleet.subscriber("p").counts if key.startswith("refused") or "sends nothing" in key
    ]


# Excessive requests


def test_a_proxy_that_requests_all_objects_is_rejected_and_logs_it_once() -> None:
    fleet = settled_fleet(proxies=1)
    host = fleet.proxy("greedy")
    host.subscriber.all_objects = True
    fleet.run(30)
    assert not host.subscriber.store.objects
    assert fleet.log_lines("greedy").count("delivery: a relay does not let us follow everything") == 1
    refused_in_all = 0
    for name in fleet.relays:
        relay_host = fleet.lab.hosts[name]
        assert isinstance(relay_host, RelayHost)
        refused = relay_host.node.relay.counts["refused: a proxy that follows everything"]
        assert len([text for text in fleet.log_lines(name) if "follows everything" in text]) == min(
            refused, 1
        )
        refused_in_all += refused
    assert 5 < refused_in_all < 40


def test_names_over_the_limit_are_reported_absent_and_the_rest_is_served() -> None:
    fleet = settled_fleet(proxies=1)
    absent: list[str] = []
    fleet.watch.listeners.append(
        lambda now, name, action: (
            absent.extend(action.names) if isinstance(action, subscriber.Absent) else None
        )
    )
    host = fleet.proxy("many", *OBJECTS, rules=Rules(most_names=9))
    host.on_subscriber_event(subscriber.Follow(OBJECTS[:11]))
    fleet.run(2)
    assert absent == [*OBJECTS[9:12], *OBJECTS[9:11]] and len(host.subscriber.names) == 9
    fleet.names["many"] = OBJECTS[:9]
    fleet.settle(3)
    assert len([text for text in fleet.log_lines("many") if "over its bound" in text]) == 1


def test_a_relay_with_a_lower_limit_rejects_names_and_lists_them() -> None:
    fleet = Fleet(1, relays=2, rules=Rules(most_names=5))
    fleet.commit(*(ObjectChange(name, {"n": b"x"}) for name in OBJECTS))
    host = fleet.proxy("p", *OBJECTS, rules=Rules())
    fleet.run(3)
    assert list(host.subscriber.names) == list(OBJECTS[:5])
    fleet.names["p"] = OBJECTS[:5]
    fleet.settle(3)
    assert host.subscriber.counts["refused: a subscription over its bound"] == 1


def test_pongs_consume_tokens() -> None:
    fleet = settled_fleet(proxies=1)
    core = fleet.subscriber("p0")
    core.step(fleet.now, subscriber.Tick())
    assert core.active_session is not None
    before, pong = core.tokens, Pong(0, 1, 1, False)
    for _ in range(100):
        core.step(fleet.now, subscriber.Received(core.active_session.number, pong))
    assert core.tokens == pytest.approx(before - 100 * wire_size(pong))


def test_messages_are_answered_while_much_is_sent_to_others() -> None:
    """Guards against a turn of sending on each event: a relay with much to send then fell behind in reading,
    and its subscribers considered it lost."""
    store = Store()
    store.commit([ObjectChange(f"s{n}", {"a": bytes(16_000)}) for n in range(100)])
    core = relay.Relay("r", store, Rules(), lambda now: 0.0)
    for number in (1, 2, 3):
        core.step(0.0, relay.Accepted(number))
    hello = Hello("below", Role.RELAY, "", "", 0, True)
    actions = core.step(0.0, relay.Received(1, hello))
    assert [type(a.message) for a in transmitted(actions)] == [Welcome] and actions[-1] == relay.RequestTurn()
    assert core.step(0.0, relay.Received(1, Credit(1 << 30))) == []  # a turn has already been requested
    first = core.step(0.0, relay.SendTurn())
    assert len(transmitted(first)) > 10 and first[-1] == relay.RequestTurn()  # there is more to send
    for message, answer_type in ((hello, Welcome), (Ping(1), Pong)):
        (action,) = core.step(0.1, relay.Received(2, message))  # no second turn is requested
        assert isinstance(action, relay.Transmit)
        assert isinstance(action.message, answer_type) and action.session == 2
    for event in (relay.Tick(), relay.Committed(("s1",)), relay.Received(2, Credit(1 << 30))):
        assert core.step(0.1, event) == []
    assert core.step(1.2, relay.Tick()) == [relay.RequestTurn()]  # an unanswered request is repeated
    assert transmitted(core.step(1.3, relay.SendTurn()))  # sending continues


def transmitted(actions: list[relay.Action]) -> list[relay.Transmit]:
    return [action for action in actions if isinstance(action, relay.Transmit)]
