"""Simulates a fleet of members in virtual time: the cores of `flintlatch.peers` on the simulated network.

Messages have the size of their real encoding, with encryption and packet headers. Each member has a clock of
its own, which can run at a rate of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from flintlatch.lab.engine import Engine
from flintlatch.lab.network import Network
from flintlatch.peers import (
    Changed,
    DatagramReceived,
    EntriesReceived,
    Entry,
    Leave,
    Member,
    Peers,
    Record,
    Rules,
    SendDatagram,
    State,
    Sync,
    SyncMessage,
    Tick,
    Topic,
)
from flintlatch.peers.member import Action, Event
from flintlatch.peers.wire import pack, pack_sync

TICK_S = 0.1
# Overhead of a datagram: 37 bytes of encryption, 28 of IPv4 and UDP headers. Overhead of a sync: the
# handshakes and the encryption of its stream.
DATAGRAM_OVERHEAD_BYTES, SYNC_OVERHEAD_BYTES = 37 + 28, 400
SYNC_MESSAGE_DELAY_S = 0.0025  # delay of each of the three messages of a sync


class MemberSimulation:
    """A fleet of members, each identified by its name and its address.

    `on_view_changed` is called with (name, now, change) for each new view of a member, and `on_entries` with
    (name, now, entries) for the entries that a member receives. `now` is the virtual time, not that of the
    member's clock.
    """

    def __init__(
        self,
        seed: int,
        rules: Rules | None = None,
        tick_s: float = TICK_S,
        topics: tuple[Topic, ...] = (),
        drift: float = 0.0,
    ) -> None:
        """`drift`: the largest relative deviation of a member's clock rate from 1."""
        self.rng, self.rules, self.tick_s = Random(seed), rules or Rules(), tick_s
        self.topics, self.drift = topics, drift
        self.engine = Engine()
        self.network = Network(self.engine, Random(seed + 1), self._deliver)
        self.members: dict[str, Member] = {}  # by address
        self.clocks: dict[str, tuple[float, float]] = {}  # by address: rate, and offset at virtual time 0
        self.addresses: dict[str, str] = {}  # by name
        self.runs: dict[str, int] = {}  # number of starts by address; ticks of an earlier run are ignored
        self.sent_bytes = 0
        self.on_entries: Callable[[str, float, tuple[Entry, ...]], None] = lambda name, now, entries: None
        self.on_view_changed: Callable[[str, float, Changed], None] = lambda name, now, change: None

    def start(self, name: str, seeds: tuple[str, ...] = (), address: str = "", zone: str = "") -> Peers:
        address = address or f"{name}:7946"
        run_id = self.rng.getrandbits(48)
        me = Record(name, address, 0, State.ALIVE, run_id, zone=zone)
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
        """Starts n members at the same time, with the first `seeds` of them as seeds. Returns their names."""
        names = [f"f{i}" for i in range(n)]
        for name in names:
            self.start(name, tuple(f"{seed}:7946" for seed in names[:seeds]))
        return names

    def core(self, name: str) -> Peers:
        return self.member(name).peers

    def member(self, name: str) -> Member:
        return self.members[self.addresses[name]]

    def now(self, address: str) -> float:
        """The time that the member's own clock shows."""
        rate, offset = self.clocks.get(address, (1.0, 0.0))
        return rate * self.engine.now + offset

    def publish(self, name: str, topic: str, subject: str, value: bytes, ttl_s: float = 0.0) -> None:
        address = self.addresses[name]
        self.members[address].entry_store.publish(self.now(address), topic, subject, value, ttl_s)

    def read_values(self, name: str, topic: str) -> dict[tuple[str, str], bytes]:
        """The values that a member's unexpired entries have at this moment, by (origin, subject)."""
        address = self.addresses[name]
        entries = self.members[address].entry_store.read(self.now(address), topic)
        return {(entry.origin, entry.subject): entry.value for entry in entries}

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
            if isinstance(action, SendDatagram):
                self.sent_bytes += DATAGRAM_OVERHEAD_BYTES + len(pack(action.envelope))
                self.network.send(address, action.address, action.envelope)
            elif isinstance(action, Sync):
                self._sync(address, action.address)
            elif isinstance(action, Changed):
                self.on_view_changed(name, self.engine.now, action)
            elif isinstance(action, EntriesReceived):
                self.on_entries(name, self.engine.now, action.entries)

    def converged(self, names: list[str]) -> bool:
        """Whether these members agree on a view in which exactly they are alive."""
        cores = [self.core(name) for name in names]
        same = len({core.digest() for core in cores}) == 1
        return same and {record.name for record in cores[0].active_records()} == set(names)

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Runs until the condition holds. Returns the seconds it took; raises AssertionError on timeout."""
        start = self.engine.now
        while not condition():
            if self.engine.now - start > timeout_s:
                raise AssertionError(f"the condition does not hold after {timeout_s} s")
            self.run(self.tick_s)
        return self.engine.now - start

    def _tick(self, address: str, run: int) -> None:
        if self.runs[address] != run:
            return
        if address not in self.network.paused:
            self.step(address, Tick())
        self.engine.after(self.tick_s, lambda: self._tick(address, run))

    def _deliver(self, source: str, target: str, message: Any) -> None:
        if target in self.members:
            self.step(target, DatagramReceived(message))

    def _sync(self, source: str, target: str) -> None:
        """Exchanges snapshots over TCP, which needs both directions: a cut of one prevents the connection."""
        initiator, responder = self.members.get(source), self.members.get(target)
        if initiator is None or responder is None or not self._connected(source, target):
            return
        offer, offered_at = initiator.offer(self.now(source)), self.now(source)
        self.sent_bytes += SYNC_OVERHEAD_BYTES + len(pack_sync(offer))

        def still_connected() -> bool:
            """Whether both processes still run, without a restart, and reach each other."""
            same = self.members.get(source) is initiator and self.members.get(target) is responder
            return same and self._connected(source, target)

        def on_offer() -> None:
            if still_connected():
                replied_at = self.now(target)
                reply = responder.on_offer(replied_at, offer)
                self.sent_bytes += len(pack_sync(reply))
                self.engine.after(SYNC_MESSAGE_DELAY_S, lambda: on_reply(reply, replied_at))

        def on_reply(reply: SyncMessage, replied_at: float) -> None:
            if still_connected():
                content, actions = initiator.on_reply(self.now(source), reply, offered_at)
                self.sent_bytes += len(pack_sync(content))
                self._carry_out(source, actions)
                self.engine.after(SYNC_MESSAGE_DELAY_S, lambda: on_content(content, replied_at))

        def on_content(content: SyncMessage, replied_at: float) -> None:
            if still_connected():
                self._carry_out(target, responder.on_content(self.now(target), content, replied_at))

        self.engine.after(SYNC_MESSAGE_DELAY_S, on_offer)

    def _connected(self, source: str, target: str) -> bool:
        reaches = self.network.reaches
        return reaches(source, target) and reaches(target, source)
