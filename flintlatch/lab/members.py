"""Members in virtual time: the cores of `flintlatch.peers` with the lab's network for a shell.

Bytes are those of the real encoding, with seal and heads. Each member has a clock of its own, at a rate of
its own if that is asked for.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from flintlatch.lab.engine import Engine
from flintlatch.lab.network import Network
from flintlatch.peers import (
    Changed,
    Leave,
    Member,
    News,
    Opened,
    Peers,
    Post,
    Record,
    Rules,
    State,
    Sync,
    Tick,
    Topic,
    Whole,
    Word,
)
from flintlatch.peers.member import Action, Event
from flintlatch.peers.wire import pack, pack_whole

TICK_S = 0.1
HEAD_BYTES, STREAM_BYTES = 37 + 28, 400  # seal, UDP and IP of a datagram; handshakes and seals of a stream
TRIP_S = 0.0025  # of each of the three messages of an exchange of whole views


class MemberSimulation:
    """Places are addresses. `changed` hears of each new view: (name, now, view)."""

    def __init__(
        self,
        seed: int,
        rules: Rules | None = None,
        tick_s: float = TICK_S,
        topics: tuple[Topic, ...] = (),
        drift: float = 0.0,
    ) -> None:
        """`drift`: each member's clock runs at a rate of its own, within so much of the true one."""
        self.rng, self.rules, self.tick_s = Random(seed), rules or Rules(), tick_s
        self.topics, self.drift = topics, drift
        self.engine = Engine()
        self.network = Network(self.engine, Random(seed + 1), self._deliver)
        self.members: dict[str, Member] = {}  # by address
        self.clocks: dict[str, tuple[float, float]] = {}  # by address: rate, and what it showed at the start
        self.addresses: dict[str, str] = {}  # addresses by name
        self.runs: dict[str, int] = {}  # starts of each address: what an earlier one asked for is void
        self.sent_bytes = 0
        self.on_entries: Callable[[str, float, tuple[Word, ...]], None] = lambda name, now, words: None
        self.on_view_changed: Callable[[str, float, Changed], None] = lambda name, now, change: None

    def start(self, name: str, seeds: tuple[str, ...] = (), address: str = "", zone: str = "") -> Peers:
        address = address or f"{name}:7946"
        life = self.rng.getrandbits(48)
        me = Record(name, address, 0, State.ALIVE, life, zone=zone)
        if self.drift:
            rate = 1 + self.rng.uniform(-self.drift, self.drift)
            self.clocks[address] = rate, self.rng.uniform(0, 1e6) - rate * self.engine.now
        now = self.now(address)
        member = Member(me, seeds, self.rules, self.topics, Random(self.rng.random()), now)
        self.members[address], self.addresses[name] = member, address
        run = self.runs[address] = self.runs.get(address, 0) + 1
        self.engine.after(self.rng.uniform(0, self.tick_s), lambda: self._tick(address, run))
        return member.peers

    def start_fleet(self, n: int, seeds: int = 3) -> list[str]:
        """n members that start at one moment; their names."""
        names = [f"f{i}" for i in range(n)]
        for name in names:
            self.start(name, tuple(f"{seed}:7946" for seed in names[:seeds]))
        return names

    def core(self, name: str) -> Peers:
        return self.member(name).peers

    def member(self, name: str) -> Member:
        return self.members[self.addresses[name]]

    def now(self, address: str) -> float:
        """What its own clock shows."""
        rate, start = self.clocks.get(address, (1.0, 0.0))
        return rate * self.engine.now + start

    def publish(self, name: str, topic: str, subject: str, value: bytes, life_s: float = 0.0) -> None:
        address = self.addresses[name]
        self.members[address].carrier.say(self.now(address), topic, subject, value, life_s)

    def read_values(self, name: str, topic: str) -> dict[tuple[str, str], bytes]:
        """What it believes at this moment: values by (member, subject)."""
        address = self.addresses[name]
        found = self.members[address].carrier.read(self.now(address), topic)
        return {(said.origin, said.subject): said.value for said in found}

    def kill(self, name: str) -> None:
        address = self.addresses.pop(name)
        del self.members[address]
        self.runs[address] += 1

    def leave(self, name: str) -> None:
        self.step(self.addresses[name], Leave())
        self.kill(name)

    def pause(self, name: str) -> None:
        self.network.pause(self.addresses[name])

    def resume(self, name: str) -> None:
        self.network.resume(self.addresses[name])

    def run(self, seconds: float) -> None:
        self.engine.run(self.engine.now + seconds)

    def step(self, address: str, event: Event) -> None:
        self._carry_out(address, self.members[address].step(self.now(address), event))

    def _carry_out(self, address: str, actions: list[Action]) -> None:
        name = self.members[address].me.name
        for action in actions:
            if isinstance(action, Post):
                self.sent_bytes += HEAD_BYTES + len(pack(action.envelope))
                self.network.send(address, action.address, action.envelope)
            elif isinstance(action, Sync):
                self._sync(address, action.address)
            elif isinstance(action, Changed):
                self.on_view_changed(name, self.engine.now, action)
            elif isinstance(action, News):
                self.on_entries(name, self.engine.now, action.words)

    def converged(self, names: list[str]) -> bool:
        """Whether all of these hold the same to be there, and it is these."""
        cores = [self.core(name) for name in names]
        same = len({core.digest() for core in cores}) == 1
        return same and {record.name for record in cores[0].alive()} == set(names)

    def run_until(self, what: Callable[[], bool], most_s: float) -> float:
        """Seconds until it holds; raises AssertionError past `most_s`."""
        start = self.engine.now
        while not what():
            if self.engine.now - start > most_s:
                raise AssertionError(f"not within {most_s} s")
            self.run(self.tick_s)
        return self.engine.now - start

    def _tick(self, address: str, run: int) -> None:
        if self.runs[address] != run:
            return
        if address not in self.network.paused:
            self.step(address, Tick())
        self.engine.after(self.tick_s, lambda: self._tick(address, run))

    def _deliver(self, source: str, target: str, what: Any) -> None:
        if target in self.members:
            self.step(target, Opened(what))

    def _sync(self, source: str, target: str) -> None:
        """Over TCP: both ways or not at all, and a place that is cut off is not connected to."""
        asker, asked = self.members.get(source), self.members.get(target)
        if asker is None or asked is None or not self._connected(source, target):
            return
        offered, at = asker.offer(self.now(source)), self.now(source)
        self.sent_bytes += STREAM_BYTES + len(pack_whole(offered))

        def alive() -> bool:
            """Both still run, as the same processes, and reach each other."""
            same = self.members.get(source) is asker and self.members.get(target) is asked
            return same and self._connected(source, target)

        def arrive() -> None:
            if alive():
                replied = self.now(target)
                reply = asked.on_offer(replied, offered)
                self.sent_bytes += len(pack_whole(reply))
                self.engine.after(TRIP_S, lambda: answer(reply, replied))

        def answer(reply: Whole, replied: float) -> None:
            if alive():
                mine, actions = asker.on_reply(self.now(source), reply, at)
                self.sent_bytes += len(pack_whole(mine))
                self._carry_out(source, actions)
                self.engine.after(TRIP_S, lambda: last(mine, replied))

        def last(mine: Whole, replied: float) -> None:
            if alive():
                self._carry_out(target, asked.on_last(self.now(target), mine, replied))

        self.engine.after(TRIP_S, arrive)

    def _connected(self, source: str, target: str) -> bool:
        reaches = self.network.reaches
        return reaches(source, target) and reaches(target, source)
