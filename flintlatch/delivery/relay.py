"""The state machine of a relay or the origin: sends each subscriber batches of changes, within its credit.

Per subscriber only the names of outdated objects are kept, so a slow subscriber does not build up a queue,
and an object that changed ten times is sent once. A batch contains the objects as they were when it began,
so its content is consistent. Each subscriber has at most one batch in flight; the next one begins after the
subscriber applied or refused it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

from flintlatch.delivery.model import (
    MAX_NAME_BYTES,
    REVISION_LIMIT,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    Kind,
    NamesRejected,
    ObjectPart,
    Ping,
    Pong,
    Refused,
    Rejected,
    RejectReason,
    Role,
    Rules,
    Subscribe,
    Unsubscribe,
    Welcome,
    wire_size,
)
from flintlatch.delivery.store import Store, StoredObject

TURN_BYTES = 256 * 1024  # sent to all subscribers in one step; bounds how long the event loop is blocked
TURN_TIMEOUT_S = 1.0  # a RequestTurn without its SendTurn is repeated after this time
IDLE_TIMEOUT_FACTOR = 4.0  # times `silence_s` without a message, after which a session is ended
MAX_CREDIT_BYTES = 1 << 30
# After an origin restart: other relays may hold revisions above that of the relay that connects first, by
# fewer than this.
REVISION_LEAP = 1 << 32


# Events


class Accepted(NamedTuple):
    session: int


class Closed(NamedTuple):
    session: int


class Received(NamedTuple):
    session: int
    message: FromSubscriber


class ProtocolError(NamedTuple):
    """The connection was ended because of a frame that is invalid, forged or too large."""

    session: int
    reason: str


class Paused(NamedTuple):
    """The socket's write buffer is full."""

    session: int


class Writable(NamedTuple):
    """The socket's write buffer has drained."""

    session: int


class Committed(NamedTuple):
    """The store has new versions of these objects."""

    names: tuple[str, ...]


class Tick(NamedTuple):
    """Expected at least every 0.1 s."""


class SendTurn(NamedTuple):
    """The answer to RequestTurn."""


Event = Accepted | Closed | Received | ProtocolError | Paused | Writable | Committed | Tick | SendTurn


# Actions


class Transmit(NamedTuple):
    session: int
    message: FromRelay


class Disconnect(NamedTuple):
    session: int


class RequestTurn(NamedTuple):
    """There may be more to send: the caller handles other events first and then steps with SendTurn."""


class LogLine(NamedTuple):
    text: str


Action = Transmit | Disconnect | RequestTurn | LogLine


class Session:
    def __init__(self, number: int, now: float) -> None:
        self.number, self.last_received_at = number, now
        self.name = ""
        self.welcomed = self.all_objects = self.paused = False
        self.names: set[str] = set()
        self.held_revision = 0  # of the state that the subscriber holds, as it reported
        self.dirty: dict[str, None] = {}  # names of objects of which it may lack a change, in order
        self.needs_snapshot: set[str] = set()  # those of the dirty names that it does not hold
        self.needs_full_batch = False
        # No batch begins without credit. The first Credit message follows the whole first subscription.
        self.credit = 0
        self.held_as_of: float | None = None  # a time at which the origin's state was that at `held_revision`
        self.batch_as_of: float | None = None  # the same for the state that the current batch leads to
        self.next_batch_at = now
        self.batch: Iterator[FromRelay] | None = None  # the messages of the batch in progress
        self.next_message: FromRelay | None = None  # taken from the batch, but larger than the credit
        self.unconfirmed: set[str] = set()  # names whose snapshots are in the current batch
        self.pending_ack: int | None = None  # revision of a batch that was sent in full and is unanswered

    def up_to_date(self) -> bool:
        return not (
            self.dirty or self.needs_full_batch or self.pending_ack is not None or self.batch is not None
        )


class Relay:
    """`age` returns an upper bound, in seconds, on the time since the store equalled the origin's state, or
    None if it never did.

    With `is_origin` there is no relay above. If a relay holds a higher revision than the origin, the origin
    was restarted, and it continues above that revision. It rejects subscribers before its first commit, which
    has to contain all objects: an empty store would make the fleet delete everything. Its store should start
    (`Store.restamp`) at a revision that no earlier run can have reached, for example one derived from the
    wall clock.
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
        self.send_queue: dict[int, None] = {}  # sessions that may have something to send, round-robin
        self.turn_requested_at = -inf  # of a RequestTurn that has not been answered by a SendTurn
        self.counts: Counter[str] = Counter()
        self.actions: list[Action] = []

    def step(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        if isinstance(event, Received):
            if (session := self.sessions.get(event.session)) is not None:
                session.last_received_at = now
                self._received(now, session, event.message)
        elif isinstance(event, Committed):
            self._committed(now, event.names)
        elif isinstance(event, Tick):
            self._tick(now)
        elif isinstance(event, Accepted):
            self.sessions[event.session] = Session(event.session, now)
        elif isinstance(event, Closed):
            self._end(event.session)
        elif isinstance(event, ProtocolError):
            self._count_refusal(event.reason)
            self._drop(event.session)
        elif (
            isinstance(event, Paused | Writable) and (session := self.sessions.get(event.session)) is not None
        ):
            session.paused = isinstance(event, Paused)
            self.send_queue[session.number] = None
        # Batches are sent only on SendTurn. If every event triggered a turn of sending, a relay with much to
        # send would fall behind in reading, and its subscribers would consider it lost.
        if isinstance(event, SendTurn):
            self.turn_requested_at = -inf
            self._send_turn(now)
        if self.send_queue and now - self.turn_requested_at > TURN_TIMEOUT_S:
            self.turn_requested_at = now
            self.actions.append(RequestTurn())
        return self.actions

    def _send(self, session: Session, message: FromRelay) -> None:
        self.actions.append(Transmit(session.number, message))

    def _count_refusal(self, reason: str) -> None:
        self.counts[f"refused: {reason}"] += 1
        if self.counts[f"refused: {reason}"] == 1:
            self.actions.append(LogLine(f"delivery: refused {reason}; told once, then counted"))

    # Sessions

    def _end(self, number: int) -> None:
        session = self.sessions.pop(number, None)
        self.send_queue.pop(number, None)
        if session is not None:
            self._unfollow(session, tuple(session.names))

    def _drop(self, number: int) -> None:
        if number in self.sessions:
            self.actions.append(Disconnect(number))
            self._end(number)

    def _tick(self, now: float) -> None:
        idle_timeout_s = IDLE_TIMEOUT_FACTOR * self.rules.silence_s
        for session in [s for s in self.sessions.values() if now - s.last_received_at > idle_timeout_s]:
            self.counts["quiet"] += 1
            self._drop(session.number)
        for session in self.sessions.values():
            if session.dirty or session.needs_full_batch:
                self.send_queue[session.number] = None

    def _received(self, now: float, session: Session, message: FromSubscriber) -> None:
        if isinstance(message, Hello):
            self._hello(now, session, message)
        elif not session.welcomed:
            self._count_refusal("a message before the hello")
            self._drop(session.number)
        elif isinstance(message, Ping):
            age_ms = self._age_ms(now)
            revision = self.store.revision if session.up_to_date() else session.held_revision
            held_age_ms = -1 if session.held_as_of is None else int((now - session.held_as_of) * 1000) + 1
            self._send(session, Pong(message.number, revision, age_ms, session.up_to_date(), held_age_ms))
        elif isinstance(message, Credit):
            session.credit = min(MAX_CREDIT_BYTES, session.credit + max(0, message.bytes))
            self.send_queue[session.number] = None
        elif isinstance(message, Subscribe):
            self._subscribe(now, session, message)
        elif isinstance(message, Unsubscribe):
            self._unfollow(session, message.names)
        elif isinstance(message, Applied):
            self._applied(now, session, message.revision)
        else:
            self._refused(now, session, message)

    def _age_ms(self, now: float) -> int:
        age = self.age(now)
        return min(int((age or 0.0) * 1000) + 1, REVISION_LIMIT)

    def _hello(self, now: float, session: Session, hello: Hello) -> None:
        reason = None
        if (
            session.welcomed
            or not 0 <= hello.held_revision < REVISION_LIMIT
            or len(hello.name.encode()) > MAX_NAME_BYTES
        ):
            self._count_refusal("a hello out of bounds")
            self._drop(session.number)
            return
        has_state = self.age(now) is not None
        if self.is_origin:
            has_state = bool(self.store.objects) or self.store.revision > self.store.deletion_floor
            if has_state and hello.role == Role.RELAY and hello.held_revision > self.store.revision:
                self._leap_above(hello.held_revision)
        if not has_state or hello.held_revision > self.store.revision:
            reason = RejectReason.BEHIND
        elif hello.all_objects and hello.role != Role.RELAY:
            reason = RejectReason.EVERYTHING
            self._count_refusal("a proxy that follows everything")
        elif sum(s.welcomed for s in self.sessions.values()) >= self.rules.most_sessions:
            reason = RejectReason.BUSY
        if reason is not None:
            self.counts[f"turned away: {reason.name.lower()}"] += 1
            self._send(session, Rejected(reason, self.store.revision))
            self._drop(session.number)
            return
        session.name, session.all_objects, session.welcomed = hello.name, hello.all_objects, True
        session.held_revision, session.next_batch_at = hello.held_revision, now
        self._send(session, Welcome(self.name, self.store.revision, self._age_ms(now)))
        if session.all_objects:
            self._mark_outdated(session)
            self.send_queue[session.number] = None

    def _leap_above(self, held_revision: int) -> None:
        """Continues far above this revision: other relays may hold even higher ones of the origin's earlier
        run, whose content is not known here."""
        self.store.restamp(held_revision + REVISION_LEAP)
        self.actions.append(
            LogLine(
                f"delivery: a relay holds revision {held_revision}; "
                f"going on from {held_revision + REVISION_LEAP}"
            )
        )
        for session in self.sessions.values():
            if session.welcomed:
                self._mark_outdated(session)

    def _mark_outdated(self, session: Session) -> None:
        """Marks all objects in the session's scope that have changed since its held revision."""
        store = self.store
        if not session.all_objects:
            session.dirty.update(
                (n, None) for n in session.names if store.has_changed_since(n, session.held_revision)
            )
        elif session.held_revision < store.deletion_floor or not session.held_revision:
            session.needs_full_batch = True
        else:
            session.dirty.update((n, None) for n in store.names_changed_since(session.held_revision))

    # Names

    def _subscribe(self, now: float, session: Session, message: Subscribe) -> None:
        rejected = []
        for name, new in [(n, False) for n in message.resumed] + [(n, True) for n in message.new]:
            if name in session.names:
                continue
            if len(session.names) >= self.rules.most_names or not 0 < len(name.encode()) <= MAX_NAME_BYTES:
                rejected.append(name)
                continue
            session.names.add(name)
            self.followers.setdefault(name, set()).add(session.number)
            if new:
                session.needs_snapshot.add(name)
            if new or self.store.has_changed_since(name, session.held_revision):
                session.dirty[name] = None
        if rejected:
            self._count_refusal("a subscription over its bound")
            self._send(session, NamesRejected(tuple(rejected)))
        self.send_queue[session.number] = None

    def _unfollow(self, session: Session, names: tuple[str, ...]) -> None:
        for name in names:
            session.names.discard(name)
            session.needs_snapshot.discard(name)
            session.dirty.pop(name, None)
            followers = self.followers.get(name)
            if followers is not None:
                followers.discard(session.number)
                if not followers:
                    del self.followers[name]

    # Batches

    def _committed(self, now: float, names: tuple[str, ...]) -> None:
        for_all_objects = [s for s in self.sessions.values() if s.all_objects and s.welcomed]
        for session in for_all_objects:
            self._mark_dirty(now, session, names)
        for name in names:
            for number in self.followers.get(name, ()):
                self._mark_dirty(now, self.sessions[number], (name,))

    def _mark_dirty(self, now: float, session: Session, names: tuple[str, ...]) -> None:
        if session.up_to_date():  # the first change in a while: waits for others to join the batch
            session.next_batch_at = now + self.rules.gather_s
        for name in names:
            session.dirty[name] = None
        self.send_queue[session.number] = None

    def _applied(self, now: float, session: Session, revision: int) -> None:
        if revision != session.pending_ack:
            self._count_refusal("an answer to no batch")
            return
        session.pending_ack, session.held_revision, session.held_as_of = None, revision, session.batch_as_of
        session.unconfirmed.clear()
        session.next_batch_at = now + self.rules.gather_s
        self.send_queue[session.number] = None

    def _refused(self, now: float, session: Session, message: Refused) -> None:
        if session.batch is None and session.pending_ack is None:
            self._count_refusal("an answer to no batch")
            return
        self.counts["batches refused"] += 1
        if not 0 <= message.held_revision <= self.store.revision:
            self._drop(session.number)
            return
        session.batch = session.next_message = None
        session.pending_ack, session.held_revision, session.next_batch_at = (
            None,
            message.held_revision,
            now + self.rules.gather_s,
        )
        for name in (*message.names, *session.unconfirmed):
            if session.all_objects or name in session.names:
                session.needs_snapshot.add(name)
                session.dirty[name] = None
        session.unconfirmed.clear()
        self._mark_outdated(session)
        self.send_queue[session.number] = None

    def _start_batch(self, session: Session) -> Iterator[FromRelay]:
        store, base_revision, full = self.store, session.held_revision, session.needs_full_batch
        names = list(store.objects) if full else list(session.dirty)
        selected: list[tuple[str, StoredObject | None, int | None]] = []
        for name in names:
            since = None if full or name in session.needs_snapshot else base_revision
            selected.append((name, store.objects.get(name), since))
        session.unconfirmed, session.needs_snapshot = session.needs_snapshot, set()
        session.dirty, session.needs_full_batch = {}, False
        return self._messages(base_revision, store.revision, full, selected)

    def _messages(
        self,
        base_revision: int,
        target_revision: int,
        full: bool,
        selected: list[tuple[str, StoredObject | None, int | None]],
    ) -> Iterator[FromRelay]:
        yield Begin(base_revision, target_revision, full)
        part_count = 0
        for name, stored, since in selected:
            if stored is None:
                part_count += 1
                yield ObjectPart(name, Kind.DELETED, target_revision, {}, (), 0, 0, False)
                continue
            for part in stored.to_parts(name, since, self.rules.part_bytes):
                part_count += 1
                yield part
        yield End(target_revision, part_count)

    def _send_turn(self, now: float) -> None:
        """Sends one message to each queued session in turn, until the turn's bytes are used up."""
        remaining_bytes = TURN_BYTES
        while self.send_queue and remaining_bytes > 0:
            number = next(iter(self.send_queue))
            del self.send_queue[number]
            session = self.sessions.get(number)
            if session is None or session.paused or session.pending_ack is not None:
                continue
            if session.batch is None:
                if (
                    now < session.next_batch_at
                    or not (session.dirty or session.needs_full_batch)
                    or not session.credit
                ):
                    continue
                age = self.age(now)
                session.batch_as_of = None if age is None else now - age
                session.batch = self._start_batch(session)
            message = session.next_message or next(session.batch)
            size = wire_size(message)
            if size > session.credit:
                session.next_message = message
                continue
            session.next_message = None
            session.credit -= size
            remaining_bytes -= size
            self._send(session, message)
            self.counts["frames"] += 1
            if isinstance(message, End):
                session.batch, session.pending_ack = None, message.target_revision
                self.counts["batches"] += 1
            else:
                self.send_queue[number] = None
