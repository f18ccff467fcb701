"""What is bounded: age, bytes in a minute, time to be in force, what a relay keeps, what may be asked for."""

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
    size_of,
)
from flintlatch.delivery.store import Store
from flintlatch.lab.delivery import RelayHost, Stream
from tests.delivery.reference import OBJECTS, Fleet, changed, settled

# Age, while changes never end


def test_changes_without_end_do_not_make_anyone_think_that_it_is_stale() -> None:
    fleet = settled()
    ages = []
    for n in range(400):
        changed(fleet, f"{n}")
        fleet.run(0.05)
        ages += [fleet.core(name).age(fleet.now) for name in (*fleet.names, *fleet.places)]
        if n % 10 == 0:
            fleet.watch.check_all()
    assert max(ages) < 2 * (fleet.rules.ping_s + fleet.rules.gather_s + 0.25)
    assert not fleet.lab.log_lines
    assert all(not [why for why in fleet.core(name).counts if why.startswith("lost")] for name in fleet.names)


# Bounds


def minute_bound_holds(fleet: Fleet, step: float, series: dict[str, list[int]]) -> float:
    """The most bytes to one subscriber in any minute."""
    width = round(60 / step)
    worst = 0
    for values in series.values():
        worst = max(worst, *(b - a for a, b in zip(values, values[width:], strict=False)))
    assert worst <= fleet.rules.minute_bytes()
    return worst


TIGHT = Rules(rate=500.0, burst=60_000.0, window=40_000.0)


def test_the_bytes_of_a_minute_are_bounded_while_relays_flap() -> None:
    fleet = settled(rules=TIGHT)
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
    worst = minute_bound_holds(fleet, 0.1, series)
    assert worst > 0.5 * TIGHT.minute_bytes()  # it was put to the test
    for name in fleet.places:
        if not fleet.lab.hosts[name].running:
            fleet.start(name)
    fleet.settle(200)  # 33 kB at the rate, and what is left of them


def test_the_bytes_of_a_minute_are_bounded_after_a_quiet_hour() -> None:
    """What was granted long ago and what was saved since come together."""
    fleet = settled(relays=1, rules=TIGHT, proxies=1)
    fleet.run(300)
    series: dict[str, list[int]] = {"p0": [fleet.lab.hosts["p0"].received_bytes]}
    for n in range(700):
        if n % 2 == 0:
            fleet.commit(*(ObjectChange(s, {f"n{n % 8}": fleet.lab.rng.randbytes(1000)}) for s in OBJECTS))
        fleet.run(0.1)
        series["p0"].append(fleet.lab.hosts["p0"].received_bytes)
    worst = minute_bound_holds(fleet, 0.1, series)
    assert worst > 0.9 * TIGHT.minute_bytes()
    assert fleet.core("p0").counts["lost: sends nothing"] == 0


@pytest.mark.parametrize("dead", [0, 3])
@pytest.mark.parametrize("how", ["kill", "pause"])
def test_a_change_is_in_force_within_the_bound(dead: int, how: str) -> None:
    worst = 0.0
    for seed in range(4):
        fleet = settled(relays=6, seed=seed, proxies=3, rules=Rules(return_s=5.0))
        mine = fleet.core("p0").choices
        fleet.until(lambda fleet=fleet, mine=mine: fleet.relay_of("p0") == mine[0].name, 100)  # type: ignore[misc]
        fleet.run(seed * 0.3)
        for place in mine[:dead]:
            (fleet.lab.kill if how == "kill" else fleet.lab.pause)(place.name)
        changed(fleet, "new")
        worst = max(worst, fleet.until(lambda fleet=fleet: fleet.right("p0"), 60, step=0.02))  # type: ignore[misc]
    assert worst <= Rules().staleness_s(dead, 0.0)
    assert dead == 0 or how == "kill" or worst > Rules().silence_s  # it was put to the test


# Slow subscribers


def queue_of(fleet: Fleet, name: str) -> tuple[relay.Relay, relay.Session]:
    host = fleet.lab.hosts[fleet.relay_of(name)]
    assert isinstance(host, RelayHost)
    one = host.node.relay
    return one, next(s for s in one.sessions.values() if s.name == name)


def test_a_subscriber_that_reads_slowly_costs_names_only_and_catches_up() -> None:
    fleet = settled(proxies=1)
    one, session = queue_of(fleet, "p0")
    host = fleet.lab.hosts[fleet.relay_of("p0")]
    host.on_relay_event(relay.Paused(session.number))
    at = session.credit
    for n in range(300):
        changed(fleet, f"{n}")
        fleet.run(0.02)
        assert set(session.dirty) <= set(fleet.names["p0"]) and session.plan is None
    fleet.run(1)
    assert session.credit == at and not fleet.exact("p0")
    fleet.wire.clear()
    host.on_relay_event(relay.Drained(session.number))
    fleet.settle(1)
    assert fleet.wire.sent["p0", Begin] == 1 and fleet.wire.parts["p0", Kind.DELTA] == 6


def test_a_subscriber_that_grants_nothing_costs_names_only_and_catches_up() -> None:
    fleet = settled(proxies=1)
    deaf = [True]

    def alter(stream: Stream, to: str, message: Message) -> list[Message]:
        return [] if deaf[0] and isinstance(message, Credit) and stream.subscriber == "p0" else [message]

    fleet.wire.alter = alter
    one, session = queue_of(fleet, "p0")
    sent = 0
    for _ in range(80):
        big = {f"n{k}": fleet.lab.rng.randbytes(1500) for k in range(8)}
        fleet.commit(*(ObjectChange(name, big) for name in OBJECTS))
        fleet.run(0.1)
        assert set(session.dirty) <= set(fleet.names["p0"])
        sent = sum(c for (to, _), c in fleet.wire.parts.items() if to == "p0")
    assert session.credit < fleet.rules.part_bytes + 2000 and sent < 10
    assert session.number not in one.busy
    deaf[0] = False
    fleet.settle(30)


def test_a_flood_of_changes_while_a_batch_is_on_its_way_keeps_the_batch_whole() -> None:
    """Objects are replaced, never altered: what is sent late is what it was when the batch began."""
    rules = Rules(rate=20_000.0, burst=45_000.0, window=40_000.0)
    fleet = settled(relays=1, rules=rules, proxies=2)
    for _ in range(60):
        big = {f"n{k}": fleet.lab.rng.randbytes(1200) for k in range(8)}
        fleet.commit(*(ObjectChange(name, big) for name in OBJECTS))
        fleet.run(0.25)
        fleet.watch.check_all()
    fleet.settle(60)
    assert fleet.core("p0").counts["batches"] > 3
    assert not [why for why in fleet.core("p0").counts if why.startswith(("refused", "lost"))]


def test_a_first_snapshot_that_takes_long_is_not_told_as_a_lack_of_relays() -> None:
    fleet = Fleet(1, relays=2, rules=Rules(rate=1000.0, burst=30_000.0, window=20_000.0))
    fleet.commit(*(ObjectChange(name, {f"n{k}": bytes(900) for k in range(8)}) for name in OBJECTS))
    fleet.proxy("p", *OBJECTS)
    took = fleet.settle(100)
    fleet.run(3)
    assert took > 40 and not fleet.told("p")
    assert not [why for why in fleet.core("p").counts if why.startswith("refused") or "sends nothing" in why]


# Who asks for too much


def test_a_proxy_that_asks_for_everything_is_turned_away_and_tells_once() -> None:
    fleet = settled(proxies=1)
    host = fleet.proxy("greedy")
    host.subscriber.everything = True
    fleet.run(30)
    assert not host.subscriber.store.objects
    assert fleet.told("greedy").count("delivery: a relay does not let us follow everything") == 1
    counted = 0
    for name in fleet.places:
        node = fleet.lab.hosts[name]
        assert isinstance(node, RelayHost)
        refused = node.node.relay.counts["refused: a proxy that follows everything"]
        assert len([text for text in fleet.told(name) if "follows everything" in text]) == min(refused, 1)
        counted += refused
    assert 5 < counted < 40


def test_names_over_the_bound_are_told_absent_and_the_rest_is_served() -> None:
    fleet = settled(proxies=1)
    absent: list[str] = []
    fleet.watch.told.append(
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
    assert len([text for text in fleet.told("many") if "over its bound" in text]) == 1


def test_a_relay_with_a_lower_bound_leaves_names_out_and_says_which() -> None:
    fleet = Fleet(1, relays=2, rules=Rules(most_names=5))
    fleet.commit(*(ObjectChange(name, {"n": b"x"}) for name in OBJECTS))
    host = fleet.proxy("p", *OBJECTS, rules=Rules())
    fleet.run(3)
    assert list(host.subscriber.names) == list(OBJECTS[:5])
    fleet.names["p"] = OBJECTS[:5]
    fleet.settle(3)
    assert host.subscriber.counts["refused: a subscription over its bound"] == 1


def test_answers_to_pings_are_counted_in_the_bound() -> None:
    fleet = settled(proxies=1)
    core = fleet.core("p0")
    core.step(fleet.now, subscriber.Tick())
    assert core.main is not None
    before, pong = core.tokens, Pong(0, 1, 1, False)
    for _ in range(100):
        core.step(fleet.now, subscriber.Received(core.main.number, pong))
    assert core.tokens == pytest.approx(before - 100 * size_of(pong))


def test_who_asks_is_answered_before_more_is_sent_to_others() -> None:
    """Each event was a turn of sending: a relay with much to send fell behind, and all found it silent."""
    store = Store()
    store.commit([ObjectChange(f"s{n}", {"a": bytes(16_000)}) for n in range(100)])
    made = relay.Relay("r", store, Rules(), lambda now: 0.0)
    for number in (1, 2, 3):
        made.step(0.0, relay.Accepted(number))
    hello = Hello("below", Role.RELAY, "", "", 0, True)
    greeted = made.step(0.0, relay.Received(1, hello))
    assert [type(a.message) for a in sent(greeted)] == [Welcome] and greeted[-1] == relay.Again()
    assert made.step(0.0, relay.Received(1, Credit(1 << 30))) == []  # a turn is asked for already
    first = made.step(0.0, relay.Go())
    assert len(sent(first)) > 10 and first[-1] == relay.Again()  # a turn, and more to send
    for message, answer in ((hello, Welcome), (Ping(1), Pong)):
        (action,) = made.step(0.1, relay.Received(2, message))  # and no second turn is asked for
        assert isinstance(action, relay.Transmit)
        assert isinstance(action.message, answer) and action.session == 2
    for event in (relay.Tick(), relay.Committed(("s1",)), relay.Received(2, Credit(1 << 30))):
        assert made.step(0.1, event) == []
    assert made.step(1.2, relay.Tick()) == [relay.Again()]  # one whose turn never came asks anew
    assert sent(made.step(1.3, relay.Go()))  # and then the rest goes on


def sent(actions: list[relay.Action]) -> list[relay.Transmit]:
    return [action for action in actions if isinstance(action, relay.Transmit)]
