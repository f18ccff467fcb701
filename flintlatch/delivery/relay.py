"""What a relay, or the origin, does for its subscribers: batches of what each follows, within its credit.

Nothing waits for a subscriber but the names of what it lacks: of a slow one no queue grows, and an object
that has changed ten times goes out once. A batch holds the objects as they were when it began, so it is never
torn. One batch at a time is on its way to each; the next one begins once it was applied or refused.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from flintlatch.delivery.model import (
    MAX_NAME_BYTES,
    REVISION_MOST,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    Kind,
    LeftOut,
    ObjectPart,
    Ping,
    Pong,
    Refused,
    Role,
    Rules,
    Subscribe,
    Turned,
    Unsubscribe,
    Welcome,
    Why,
    wire_size,
)
from flintlatch.delivery.store import Store, StoredObject

TURN_BYTES = 256 * 1024  # sent in one step, of all subscribers: the loop is held for no longer
GO_S = 1.0  # after which an `Again` without its `Go` is said anew
QUIET = 4.0  # times the time of silence without a message after which a subscriber has gone
CREDIT_MOST = 1 << 30
LEAP = (
    1 << 32
)  # revisions that other relays may be ahead of the one that an origin hears first after a restart


# Events


class Accepted(NamedTuple):
    session: int


class Closed(NamedTuple):
    session: int


class Received(NamedTuple):
    session: int
    message: FromSubscriber


class Unreadable(NamedTuple):
    session: int
    why: str


class Paused(NamedTuple):
    """Its socket takes no more for now."""

    session: int


class Drained(NamedTuple):
    session: int


class Committed(NamedTuple):
    """The store holds news of these objects."""

    names: tuple[str, ...]


class Tick(NamedTuple):
    """At least every 0.1 s."""


class SendTurn(NamedTuple):
    """What `Again` asked for."""


Event = Accepted | Closed | Received | Unreadable | Paused | Drained | Committed | Tick | SendTurn


# Actions


class Transmit(NamedTuple):
    session: int
    message: FromRelay


class Disconnect(NamedTuple):
    session: int


class RequestTurn(NamedTuple):
    """There is more to send: step with `Go` once others have had their turn."""


class LogLine(NamedTuple):
    text: str


Action = Transmit | Disconnect | RequestTurn | LogLine


class Session:
    def __init__(self, number: int, now: float) -> None:
        self.number, self.heard = number, now
        self.name = ""
        self.greeted = self.everything = self.paused = False
        self.names: set[str] = set()
        self.cut = 0  # the revision whose state it holds, by its own word
        self.dirty: dict[str, None] = {}  # names of which it may lack something, in their order
        self.fresh: set[str] = set()  # of those, the ones of which it holds nothing
        self.whole = False  # it lacks all
        self.credit = 0  # no batch begins before there is some: all names of the first subscription are here
        self.held_at: float | None = None  # a moment at which the state at `cut` was the origin's
        self.planned_at: float | None = None  # the same of the batch that is on its way
        self.due = now  # no batch before
        self.plan: Iterator[FromRelay] | None = None
        self.next: FromRelay | None = None  # of the plan: made, and too large for the credit
        self.unproven: set[str] = set()  # fresh names of the batch that is on its way
        self.awaits: int | None = None  # the revision of a batch that was sent whole and is not answered

    def current(self) -> bool:
        return not (self.dirty or self.whole or self.awaits is not None or self.plan is not None)


class Relay:
    """`age`: seconds since its store was surely the origin's; None: never yet. An `authority` has no relay
    above it: where a relay holds more than it does, it was restarted, and goes on above that. It serves
    nobody before its first commit, which must be of all that it knows: it would empty the fleet. Its store
    should start (`Store.restamp`) at a revision that no life before can have had, as one counted from the
    time of day.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        rules: Rules,
        age: Callable[[float], float | None],
        is_origin: bool = False,
    ) -> None:
        self.name, self.store, self.rules, self.age, self.is_origin = name, store, rules, age, is_origin
        self.sessions: dict[int, Session] = {}
        self.followers: dict[str, set[int]] = {}
        self.busy: dict[int, None] = {}  # sessions that may have something to send, in turn
        self.asked_at = -inf  # when `Again` was said, while no `Go` has come since
        self.counts: Counter[str] = Counter()
        self.out: list[Action] = []

    def step(self, now: float, event: Event) -> list[Action]:
        self.out = []
        if isinstance(event, Received):
            if (session := self.sessions.get(event.session)) is not None:
                session.heard = now
                self._received(now, session, event.message)
        elif isinstance(event, Committed):
            self._committed(now, event.names)
        elif isinstance(event, Tick):
            self._tick(now)
        elif isinstance(event, Accepted):
            self.sessions[event.session] = Session(event.session, now)
        elif isinstance(event, Closed):
            self._end(event.session)
        elif isinstance(event, Unreadable):
            self._count(event.why)
            self._drop(event.session)
        elif (
            isinstance(event, Paused | Drained) and (session := self.sessions.get(event.session)) is not None
        ):
            session.paused = isinstance(event, Paused)
            self.busy[session.number] = None
        # One turn of sending for each `Go`, whatever else happens meanwhile: were each event a turn, a relay
        # with much to send would fall behind what it hears, and all would find it silent.
        if isinstance(event, SendTurn):
            self.asked_at = -inf
            self._pump(now)
        if self.busy and now - self.asked_at > GO_S:
            self.asked_at = now
            self.out.append(RequestTurn())
        return self.out

    def _send(self, session: Session, message: FromRelay) -> None:
        self.out.append(Transmit(session.number, message))

    def _count(self, why: str) -> None:
        self.counts[f"refused: {why}"] += 1
        if self.counts[f"refused: {why}"] == 1:
            self.out.append(LogLine(f"delivery: refused {why}; told once, then counted"))

    # Sessions

    def _end(self, number: int) -> None:
        session = self.sessions.pop(number, None)
        self.busy.pop(number, None)
        if session is not None:
            self._unfollow(session, tuple(session.names))

    def _drop(self, number: int) -> None:
        if number in self.sessions:
            self.out.append(Disconnect(number))
            self._end(number)

    def _tick(self, now: float) -> None:
        quiet = QUIET * self.rules.silence_s
        for session in [s for s in self.sessions.values() if now - s.heard > quiet]:
            self.counts["quiet"] += 1
            self._drop(session.number)
        for session in self.sessions.values():
            if session.dirty or session.whole:
                self.busy[session.number] = None

    def _received(self, now: float, session: Session, message: FromSubscriber) -> None:
        if isinstance(message, Hello):
            self._hello(now, session, message)
        elif not session.greeted:
            self._count("a message before the hello")
            self._drop(session.number)
        elif isinstance(message, Ping):
            age_ms = self._age_ms(now)
            revision = self.store.revision if session.current() else session.cut
            held_ms = -1 if session.held_at is None else int((now - session.held_at) * 1000) + 1
            self._send(session, Pong(message.number, revision, age_ms, session.current(), held_ms))
        elif isinstance(message, Credit):
            session.credit = min(CREDIT_MOST, session.credit + max(0, message.bytes))
            self.busy[session.number] = None
        elif isinstance(message, Subscribe):
            self._subscribe(now, session, message)
        elif isinstance(message, Unsubscribe):
            self._unfollow(session, message.names)
        elif isinstance(message, Applied):
            self._answered(now, session, message.revision)
        else:
            self._refused(now, session, message)

    def _age_ms(self, now: float) -> int:
        age = self.age(now)
        return min(int((age or 0.0) * 1000) + 1, REVISION_MOST)

    def _hello(self, now: float, session: Session, hello: Hello) -> None:
        why = None
        if (
            session.greeted
            or not 0 <= hello.held < REVISION_MOST
            or len(hello.name.encode()) > MAX_NAME_BYTES
        ):
            self._count("a hello out of bounds")
            self._drop(session.number)
            return
        knows = self.age(now) is not None
        if self.is_origin:
            knows = bool(self.store.objects) or self.store.revision > self.store.deletion_floor
            if knows and hello.role == Role.RELAY and hello.held > self.store.revision:
                self._go_on_above(hello.held)
        if not knows or hello.held > self.store.revision:
            why = Why.BEHIND
        elif hello.everything and hello.role != Role.RELAY:
            why = Why.EVERYTHING
            self._count("a proxy that follows everything")
        elif sum(s.greeted for s in self.sessions.values()) >= self.rules.most_sessions:
            why = Why.BUSY
        if why is not None:
            self.counts[f"turned away: {why.name.lower()}"] += 1
            self._send(session, Turned(why, self.store.revision))
            self._drop(session.number)
            return
        session.name, session.everything, session.greeted = hello.name, hello.everything, True
        session.cut, session.due = hello.held, now
        self._send(session, Welcome(self.name, self.store.revision, self._age_ms(now)))
        if session.everything:
            self._find_lack(session)
            self.busy[session.number] = None

    def _go_on_above(self, held: int) -> None:
        """Far above: another relay may hold more than this one, of a time that we know nothing of."""
        self.store.restamp(held + LEAP)
        self.out.append(LogLine(f"delivery: a relay holds revision {held}; going on from {held + LEAP}"))
        for session in self.sessions.values():
            if session.greeted:
                self._find_lack(session)

    def _find_lack(self, session: Session) -> None:
        """All of its scope that has changed since its cut."""
        store = self.store
        if not session.everything:
            session.dirty.update((n, None) for n in session.names if store.changed_since(n, session.cut))
        elif session.cut < store.deletion_floor or not session.cut:
            session.whole = True
        else:
            session.dirty.update((n, None) for n in store.newer(session.cut))

    # Names

    def _subscribe(self, now: float, session: Session, message: Subscribe) -> None:
        left_out = []
        for name, fresh in [(n, False) for n in message.held] + [(n, True) for n in message.fresh]:
            if name in session.names:
                continue
            if len(session.names) >= self.rules.most_names or not 0 < len(name.encode()) <= MAX_NAME_BYTES:
                left_out.append(name)
                continue
            session.names.add(name)
            self.followers.setdefault(name, set()).add(session.number)
            if fresh:
                session.fresh.add(name)
            if fresh or self.store.changed_since(name, session.cut):
                session.dirty[name] = None
        if left_out:
            self._count("a subscription over its bound")
            self._send(session, LeftOut(tuple(left_out)))
        self.busy[session.number] = None

    def _unfollow(self, session: Session, names: tuple[str, ...]) -> None:
        for name in names:
            session.names.discard(name)
            session.fresh.discard(name)
            session.dirty.pop(name, None)
            followers = self.followers.get(name)
            if followers is not None:
                followers.discard(session.number)
                if not followers:
                    del self.followers[name]

    # Batches

    def _committed(self, now: float, names: tuple[str, ...]) -> None:
        everyone = [s for s in self.sessions.values() if s.everything and s.greeted]
        for session in everyone:
            self._soil(now, session, names)
        for name in names:
            for number in self.followers.get(name, ()):
                self._soil(now, self.sessions[number], (name,))

    def _soil(self, now: float, session: Session, names: tuple[str, ...]) -> None:
        if session.current():  # the first news for a while: more of it may come
            session.due = now + self.rules.gather_s
        for name in names:
            session.dirty[name] = None
        self.busy[session.number] = None

    def _answered(self, now: float, session: Session, revision: int) -> None:
        if revision != session.awaits:
            self._count("an answer to no batch")
            return
        session.awaits, session.cut, session.held_at = None, revision, session.planned_at
        session.unproven.clear()
        session.due = now + self.rules.gather_s
        self.busy[session.number] = None

    def _refused(self, now: float, session: Session, message: Refused) -> None:
        if session.plan is None and session.awaits is None:
            self._count("an answer to no batch")
            return
        self.counts["batches refused"] += 1
        if not 0 <= message.held <= self.store.revision:
            self._drop(session.number)
            return
        session.plan = session.next = None
        session.awaits, session.cut, session.due = None, message.held, now + self.rules.gather_s
        for name in (*message.names, *session.unproven):
            if session.everything or name in session.names:
                session.fresh.add(name)
                session.dirty[name] = None
        session.unproven.clear()
        self._find_lack(session)
        self.busy[session.number] = None

    def _plan(self, session: Session) -> Iterator[FromRelay]:
        store, base, whole = self.store, session.cut, session.whole
        names = list(store.objects) if whole else list(session.dirty)
        picked: list[tuple[str, StoredObject | None, int | None]] = []
        for name in names:
            since = None if whole or name in session.fresh else base
            picked.append((name, store.objects.get(name), since))
        session.unproven, session.fresh = session.fresh, set()
        session.dirty, session.whole = {}, False
        return self._messages(base, store.revision, whole, picked)

    def _messages(
        self, base: int, to: int, whole: bool, picked: list[tuple[str, StoredObject | None, int | None]]
    ) -> Iterator[FromRelay]:
        yield Begin(base, to, whole)
        count = 0
        for name, one, since in picked:
            if one is None:
                count += 1
                yield ObjectPart(name, Kind.GONE, to, {}, (), 0, 0, False)
                continue
            for part in one.parts(name, since, self.rules.part_bytes):
                count += 1
                yield part
        yield End(to, count)

    def _pump(self, now: float) -> None:
        """Each in turn, a frame at a time and no more than the turn allows."""
        left = TURN_BYTES
        while self.busy and left > 0:
            number = next(iter(self.busy))
            del self.busy[number]
            session = self.sessions.get(number)
            if session is None or session.paused or session.awaits is not None:
                continue
            if session.plan is None:
                if now < session.due or not (session.dirty or session.whole) or not session.credit:
                    continue
                age = self.age(now)
                session.planned_at = None if age is None else now - age
                session.plan = self._plan(session)
            message = session.next or next(session.plan)
            size = wire_size(message)
            if size > session.credit:
                session.next = message
                continue
            session.next = None
            session.credit -= size
            left -= size
            self._send(session, message)
            self.counts["frames"] += 1
            if isinstance(message, End):
                session.plan, session.awaits = None, message.to
                self.counts["batches"] += 1
            else:
                self.busy[number] = None
