"""The subscriber's state machine: follows names at one relay at a time and holds them as of one revision.

`step` takes an event and the current time and returns actions; there is no I/O here. The revision held never
decreases: a relay that holds an older one is left for another. The bytes received in any minute are bounded
by the credit that the subscriber grants, over all relays together. While no relay can be reached, the
subscriber keeps its state, tracks how old that may be, and logs the outage once.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from flintlatch.delivery.model import (
    MAX_ITEM_BYTES,
    REVISION_LIMIT,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    NamesRejected,
    ObjectChange,
    ObjectPart,
    Participant,
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
    rank_relays,
    wire_size,
)
from flintlatch.delivery.staging import BatchError, Staging
from flintlatch.delivery.store import Store
from flintlatch.peers.model import RandomSource

MAX_CONSECUTIVE_REFUSALS = 3  # refused batches of one relay after which it is left for another
ATTEMPTS_BEFORE_BACKOFF = 3
MAX_PENDING_PINGS = 8
MAX_NAMES_PER_MESSAGE = 256
MIN_CREDIT_BYTES = 1024  # a smaller grant does not justify a message
CONTROL_RESERVE_BYTES = 2048  # tokens never granted: pongs and other control messages are sent without credit


# Events


class Tick(NamedTuple):
    """Expected at least every 0.1 s."""


class Connected(NamedTuple):
    session: int


class Closed(NamedTuple):
    session: int


class Received(NamedTuple):
    session: int
    message: FromRelay


class ProtocolError(NamedTuple):
    """The connection was ended because of a frame that is invalid, forged or too large."""

    session: int
    reason: str


class Follow(NamedTuple):
    names: tuple[str, ...]


class Unfollow(NamedTuple):
    names: tuple[str, ...]


Event = Tick | Connected | Closed | Received | ProtocolError | Follow | Unfollow


# Actions


class Connect(NamedTuple):
    session: int
    relay: Participant


class Disconnect(NamedTuple):
    session: int


class Transmit(NamedTuple):
    session: int
    message: FromSubscriber


class Changed(NamedTuple):
    """The changes of one batch, already applied to the store, all at once."""

    revision: int
    changes: tuple[ObjectChange, ...]


class Absent(NamedTuple):
    """Followed names that the origin has no object for at present, or that exceed a limit."""

    names: tuple[str, ...]


class LogLine(NamedTuple):
    text: str


Action = Connect | Disconnect | Transmit | Changed | Absent | LogLine


class State(Enum):
    """A session goes from OPENING to GREETING to LIVE, and can end in each state."""

    OPENING = "opening"  # connecting
    GREETING = "greeting"  # the hello was sent, the welcome is awaited
    LIVE = "live"


class Session:
    def __init__(self, number: int, relay: Participant, now: float) -> None:
        self.number, self.relay, self.started_at = number, relay, now
        self.state = State.OPENING
        self.pings: OrderedDict[int, float] = OrderedDict()  # unanswered pings, with the time of sending
        self.last_ping_at = now
        self.staging: Staging | None = None
        self.skipping_batch = False  # the rest of a refused batch is ignored up to its end
        self.consecutive_refusals = 0
        self.as_of = now  # latest time at which the relay's own state is known to have equalled the origin's
        self.last_progress_at = now  # when it last sent part of a batch, or had nothing to send
        self.last_applied_revision = -1
        self.unfollowed_at: dict[str, float] = {}  # unfollowed names of which a delta may still be in flight


class Subscriber:
    def __init__(
        self,
        identity: Participant,
        role: Role,
        relays: Iterable[Participant],
        rules: Rules,
        rng: RandomSource,
        now: float,
        all_objects: bool = False,
    ) -> None:
        self.identity, self.role, self.rules, self.rng, self.all_objects = (
            identity,
            role,
            rules,
            rng,
            all_objects,
        )
        self.ranked_relays = rank_relays(identity, tuple(relays))
        self.store = Store()
        self.names: dict[str, bool] = {}  # followed names; True if held as of the store's revision
        self.needs_snapshot: set[str] = set()  # objects that failed verification: requested in full
        self.active_session: Session | None = None
        self.candidate_session: Session | None = None  # to another relay, while the active session continues
        self.relay_index = 0  # of the active session or of the next attempt
        self.failed_attempts = 0  # in a row
        self.next_attempt_at = now
        self.next_return_at = now + self._return_delay_s()  # to a better-ranked relay
        self.next_stale_switch_at = now  # to any other relay, while the active one's state is stale
        self.last_session_number = self.last_ping_number = 0
        self.tokens, self.tokens_updated_at = rules.burst_bytes, now  # token bucket, in bytes of credit
        self.outstanding_credit = 0.0  # bytes granted to the active session and not yet received
        self.as_of = -1.0  # latest time at which the held state equalled the origin's; negative: never yet
        self.started_at = now
        self.stale_logged = False
        self.counts: Counter[str] = Counter()
        self.actions: list[Action] = []

    # Queries

    def age(self, now: float) -> float:
        """Upper bound, in seconds, on the time since the held state equalled the origin's."""
        return now - (self.as_of if self.as_of >= 0 else self.started_at)

    def ready(self) -> bool:
        """Whether every followed name has been answered at least once."""
        return self.as_of >= 0 and (self.all_objects or all(self.names.values()))

    def step(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        if isinstance(event, Received):
            self._received(now, event)
        elif isinstance(event, Tick):
            self._tick(now)
        elif isinstance(event, Connected):
            self._connected(now, event.session)
        elif isinstance(event, Closed):
            if (session := self._session(event.session)) is not None:
                self._lost(now, session, "closed")
        elif isinstance(event, ProtocolError):
            if (session := self._session(event.session)) is not None:
                self._count_refusal(event.reason)
                self._leave(now, session, event.reason)
        elif isinstance(event, Follow):
            self._follow(event.names)
        else:
            self._unfollow(now, event.names)
        return self.actions

    def _session(self, number: int) -> Session | None:
        """The session with this number. None if it has ended; its late events are ignored."""
        for session in (self.active_session, self.candidate_session):
            if session is not None and session.number == number:
                return session
        return None

    def _send(self, session: Session, message: FromSubscriber) -> None:
        self.actions.append(Transmit(session.number, message))

    # Names

    def _follow(self, names: tuple[str, ...]) -> None:
        new = []
        for name in names:
            if name in self.names:
                continue
            if len(self.names) >= self.rules.most_names:
                self._count_refusal("a subscription over its bound")
                self.actions.append(Absent((name,)))
                continue
            self.names[name] = False
            new.append(name)
        if new and self.active_session is not None and self.active_session.state is State.LIVE:
            self._subscribe(self.active_session, [], new)

    def _unfollow(self, now: float, names: tuple[str, ...]) -> None:
        removed = tuple(n for n in names if self.names.pop(n, None) is not None)
        for name in removed:
            self.store.forget(name)
            self.needs_snapshot.discard(name)
        if removed and self.active_session is not None and self.active_session.state is State.LIVE:
            self.active_session.unfollowed_at.update((name, now) for name in removed)
            self._send(self.active_session, Unsubscribe(removed))

    def _subscribe(self, session: Session, resumed: list[str], new: list[str]) -> None:
        for start in range(0, max(len(resumed), len(new)), MAX_NAMES_PER_MESSAGE):
            end = start + MAX_NAMES_PER_MESSAGE
            self._send(session, Subscribe(tuple(resumed[start:end]), tuple(new[start:end])))

    # Sessions

    def _tick(self, now: float) -> None:
        rules = self.rules
        self._refill_tokens(now)
        for session in (self.active_session, self.candidate_session):
            if session is None:
                continue
            if session.state is not State.LIVE:
                if now - session.started_at > rules.connect_s:
                    self._leave(now, session, "did not answer")
                continue
            if session.pings and now - next(iter(session.pings.values())) > rules.silence_s:
                self._leave(now, session, "fell silent")
            elif now - session.last_progress_at > 2 * rules.stale_s and session is self.active_session:
                self._leave(now, session, "sends nothing")
            elif now - session.last_ping_at >= rules.ping_s and len(session.pings) < MAX_PENDING_PINGS:
                self._ping(now, session)
        if self.active_session is None and now >= self.next_attempt_at and self.ranked_relays:
            self.active_session = self._open(now, self.relay_index % len(self.ranked_relays))
        elif (
            self.active_session is not None
            and self.active_session.state is State.LIVE
            and self.candidate_session is None
        ):
            self._try_another_relay(now)
        if self.active_session is not None and self.active_session.state is State.LIVE:
            self._grant_credit(now, self.active_session)
        if not self.stale_logged and self.age(now) > 2 * rules.stale_s and not self._catching_up(now):
            self.stale_logged = True
            held = f"serving on with revision {self.store.revision}" if self.as_of >= 0 else "nothing is held"
            self.actions.append(LogLine(f"delivery: no relay with news for {self.age(now):.0f} s; {held}"))

    def _catching_up(self, now: float) -> bool:
        """Whether the held state is old only because the relay's fresh state is still being transferred."""
        active = self.active_session
        return (
            active is not None and active.state is State.LIVE and now - active.as_of <= 2 * self.rules.stale_s
        )

    def _try_another_relay(self, now: float) -> None:
        """Connects to any other relay if the active one's own state is stale, and from time to time to a
        better-ranked one."""
        active = self.active_session
        assert active is not None
        if len(self.ranked_relays) < 2 or active.staging is not None:
            return
        current = self.relay_index % len(self.ranked_relays)
        if now - active.as_of > self.rules.stale_s and now >= self.next_stale_switch_at:
            self.next_stale_switch_at = now + self.rules.stale_s * (0.5 + self.rng.random() / 2)
            self.failed_attempts += 1
            self.candidate_session = self._open(
                now,
                (current + 1 + self.failed_attempts % (len(self.ranked_relays) - 1))
                % len(self.ranked_relays),
            )
        elif current and now >= self.next_return_at:
            self.next_return_at = now + self._return_delay_s()
            self.candidate_session = self._open(now, int(self.rng.random() * current))

    def _return_delay_s(self) -> float:
        return self.rules.return_s * (0.5 + self.rng.random())

    def _open(self, now: float, relay_index: int) -> Session:
        self.last_session_number += 1
        session = Session(self.last_session_number, self.ranked_relays[relay_index], now)
        self.actions.append(Connect(session.number, session.relay))
        return session

    def _connected(self, now: float, number: int) -> None:
        session = self._session(number)
        if session is None or session.state is not State.OPENING:
            return
        session.state = State.GREETING
        identity, held_revision = self.identity, self.store.revision
        if self.all_objects and len(self.needs_snapshot) > MAX_NAMES_PER_MESSAGE:
            held_revision = 0  # requests a full batch, as a refusal cannot name that many objects
        self._send(
            session,
            Hello(identity.name, self.role, identity.region, identity.zone, held_revision, self.all_objects),
        )

    def _leave(self, now: float, session: Session, reason: str) -> None:
        self.actions.append(Disconnect(session.number))
        self._lost(now, session, reason)

    def _lost(self, now: float, session: Session, reason: str) -> None:
        self.counts[f"lost: {reason}"] += 1
        if session is self.candidate_session:
            self.candidate_session = None
            return
        self.outstanding_credit = 0.0  # bytes may still be in flight, so their tokens are not returned
        was_live, self.active_session = session.state is State.LIVE, None
        if self.candidate_session is not None:  # it takes the place of the lost session
            self.active_session, self.candidate_session = self.candidate_session, None
            self.relay_index = self.ranked_relays.index(self.active_session.relay)
            return
        self.relay_index = (self.ranked_relays.index(session.relay) + 1) % len(self.ranked_relays)
        if was_live:
            self.failed_attempts = 0
            self.next_attempt_at = now + self.rng.random() * self.rules.spread_s
            return
        self.failed_attempts += 1
        if self.failed_attempts >= ATTEMPTS_BEFORE_BACKOFF:
            first_s, longest_s = self.rules.retry_s
            backoff_s = min(longest_s, first_s * 2 ** min(self.failed_attempts - ATTEMPTS_BEFORE_BACKOFF, 8))
            self.next_attempt_at = now + backoff_s * (0.5 + self.rng.random() / 2)

    def _ping(self, now: float, session: Session) -> None:
        self.last_ping_number += 1
        session.last_ping_at = now
        session.pings[self.last_ping_number] = now
        self._send(session, Ping(self.last_ping_number))

    # Credit

    def _refill_tokens(self, now: float) -> None:
        rules = self.rules
        # Outstanding credit may arrive later, on top of the tokens saved until then.
        capacity = rules.burst_bytes - self.outstanding_credit
        self.tokens = min(capacity, self.tokens + (now - self.tokens_updated_at) * rules.bytes_per_s)
        self.tokens_updated_at = now

    def _grant_credit(self, now: float, session: Session) -> None:
        """Grants all available tokens, but leaves at most one window outstanding: credit that a lost relay
        has not used is forfeited."""
        grant = int(
            min(self.tokens - CONTROL_RESERVE_BYTES, self.rules.window_bytes - self.outstanding_credit)
        )
        if grant >= MIN_CREDIT_BYTES:
            # The credit so far may have been too small for the next part, so the lack of progress was ours.
            if self.outstanding_credit < self.rules.part_bytes + MAX_ITEM_BYTES:
                session.last_progress_at = now
            self.tokens -= grant
            self.outstanding_credit += grant
            self._send(session, Credit(grant))

    # Messages from relays

    def _received(self, now: float, event: Received) -> None:
        session, message = self._session(event.session), event.message
        if session is None:
            self.counts["of a session that is over"] += 1
            return
        if not isinstance(message, Begin | ObjectPart | End):
            self._refill_tokens(now)
            self.tokens -= wire_size(message)
        if session.state is not State.LIVE:
            if isinstance(message, Welcome) and session.state is State.GREETING:
                self._welcome(now, session, message)
            elif isinstance(message, Rejected):
                known = message.reason in list(RejectReason)
                reason = RejectReason(message.reason).name.lower() if known else "turned away"
                if reason == "everything":
                    self._log_once("delivery: a relay does not let us follow everything")
                self._leave(now, session, reason)
            else:
                self._count_refusal("a message before the welcome")
                self._leave(now, session, "out of order")
            return
        if isinstance(message, Begin | ObjectPart | End):
            size = wire_size(message)
            self.outstanding_credit = max(0.0, self.outstanding_credit - size)
            self._batch_message(now, session, message, size)
            if self.outstanding_credit < self.rules.window_bytes / 2 and self.active_session is session:
                self._refill_tokens(now)
                self._grant_credit(now, session)
        elif isinstance(message, Pong):
            self._pong(now, session, message)
        elif isinstance(message, NamesRejected):
            self._count_refusal("a subscription over its bound")
            for name in message.names:
                self.names.pop(name, None)
                self.store.forget(name)
                self.needs_snapshot.discard(name)
            self.actions.append(Absent(message.names))

    def _welcome(self, now: float, session: Session, welcome: Welcome) -> None:
        if welcome.revision < self.store.revision:
            self._leave(now, session, "behind")
            return
        if session is self.candidate_session:
            previous = self.active_session
            assert previous is not None
            age = now - previous.as_of
            if age > self.rules.stale_s and welcome.age_ms / 1000 + self.rules.ping_s >= age:
                self._leave(now, session, "no younger")
                return
            self.candidate_session = None
            self.actions.append(Disconnect(previous.number))
            self.outstanding_credit = 0.0
        session.state, session.last_progress_at = State.LIVE, now
        session.as_of = session.started_at - welcome.age_ms / 1000
        self.active_session = session
        self.relay_index, self.failed_attempts = self.ranked_relays.index(session.relay), 0
        self.next_return_at = now + self._return_delay_s()
        if not self.all_objects:
            new = [n for n, known in self.names.items() if not known or n in self.needs_snapshot]
            resumed = [n for n, known in self.names.items() if known and n not in self.needs_snapshot]
            self._subscribe(session, resumed, new)
        self._refill_tokens(now)
        self._grant_credit(now, session)
        self._ping(now, session)

    def _pong(self, now: float, session: Session, pong: Pong) -> None:
        sent_at = session.pings.pop(pong.number, None)
        while session.pings and next(iter(session.pings)) < pong.number:
            session.pings.popitem(last=False)
        if sent_at is None:
            return
        session.as_of = max(session.as_of, sent_at - pong.age_ms / 1000)
        if pong.held_age_ms >= 0 and pong.revision <= self.store.revision:
            self._update_as_of(now, sent_at - pong.held_age_ms / 1000)
        if not pong.up_to_date:
            return
        session.last_progress_at = now
        session.unfollowed_at = {name: at for name, at in session.unfollowed_at.items() if at >= sent_at}
        # The relay has nothing more to send, so the End of a batch in progress never comes.
        if session.staging is not None:
            self._count_refusal("a batch without its end")
        session.staging, session.skipping_batch = None, False
        if pong.revision < self.store.revision:
            self._count_refusal("an older revision")
            self._leave(now, session, "went back")
            return
        self.store.revision = pong.revision
        self._update_as_of(now, sent_at - pong.age_ms / 1000)

    def _update_as_of(self, now: float, as_of: float) -> None:
        """Records that the held state equalled the origin's at `as_of`, or is newer than that."""
        self.as_of = max(self.as_of, as_of)
        age = self.age(now)
        if self.stale_logged and age <= self.rules.stale_s:
            self.stale_logged = False
            self.actions.append(
                LogLine(f"delivery: revision {self.store.revision} again {age:.1f} s old at most")
            )

    def _batch_message(
        self, now: float, session: Session, message: Begin | ObjectPart | End, size: int
    ) -> None:
        session.last_progress_at = now
        try:
            if isinstance(message, Begin):
                self._begin(session, message)
            elif session.skipping_batch:
                session.skipping_batch = not isinstance(message, End)
            elif session.staging is None:
                # A stray part is not answered. A stray End is, unless it repeats the last applied batch's.
                if (
                    isinstance(message, ObjectPart)
                    or message.target_revision == session.last_applied_revision
                ):
                    self._count_refusal("a part of no batch")
                else:
                    raise BatchError("an end of no batch")
            elif isinstance(message, ObjectPart):
                session.staging.add(message, size)
            else:
                self._end(session, session.staging, message)
        except BatchError as error:
            self._refuse(now, session, error, message)

    def _begin(self, session: Session, begin: Begin) -> None:
        if session.staging is not None:
            session.staging = None
            raise BatchError("a batch within a batch")
        session.skipping_batch = False
        if begin.target_revision < self.store.revision:
            raise BatchError("an older revision")
        if begin.target_revision >= REVISION_LIMIT:
            raise BatchError("a revision out of bounds")
        if begin.base_revision > self.store.revision:
            raise BatchError("a gap")
        if begin.full and not self.all_objects:
            raise BatchError("a whole batch for a part")
        session.staging = Staging(begin, self.rules, self.store)

    def _end(self, session: Session, staging: Staging, end: End) -> None:
        if not self.all_objects:  # objects that were unfollowed meanwhile or never followed
            self.counts["not followed"] += staging.drop_unfollowed(self.names)
            staging.drop_stale_deltas([n for n in session.unfollowed_at if not self.names.get(n, True)])
        batch = staging.finish(end)
        session.staging, session.last_applied_revision = None, end.target_revision
        session.consecutive_refusals = 0
        self.store.put(batch.objects, end.target_revision)
        if staging.begin.full:  # a full batch does not name the objects that were deleted earlier
            self.store.deleted.clear()
            self.store.deletion_floor = end.target_revision
        self.needs_snapshot.difference_update(name for name, _ in batch.objects)
        absent = []
        if not self.all_objects:
            for name, stored in batch.objects:
                self.names[name] = True
                if stored is None:
                    absent.append(name)
        self._send(session, Applied(end.target_revision))
        self.counts["batches"] += 1
        if batch.changes:
            self.actions.append(Changed(end.target_revision, batch.changes))
        if absent:
            self.actions.append(Absent(tuple(absent)))

    def _refuse(
        self, now: float, session: Session, error: BatchError, message: Begin | ObjectPart | End
    ) -> None:
        """Discards the whole batch and asks for snapshots of the objects that failed."""
        self._count_refusal(error.reason)
        target_revision = (
            session.staging.begin.target_revision if session.staging is not None else self.store.revision
        )
        if isinstance(message, Begin):
            target_revision = message.target_revision
        session.staging = None
        session.skipping_batch = not isinstance(message, End)
        session.consecutive_refusals += 1
        known = self.store.objects if self.all_objects else self.names
        self.needs_snapshot.update(name for name in error.names if name in known)
        if (
            session.consecutive_refusals >= MAX_CONSECUTIVE_REFUSALS
            or len(error.names) > MAX_NAMES_PER_MESSAGE
        ):
            self._leave(now, session, "refused")
            return
        self._send(session, Refused(self.store.revision, target_revision, error.names))

    def _count_refusal(self, reason: str) -> None:
        self.counts[f"refused: {reason}"] += 1
        if self.counts[f"refused: {reason}"] == 1:
            self.actions.append(LogLine(f"delivery: refused {reason}; told once, then counted"))

    def _log_once(self, text: str) -> None:
        self.counts[text] += 1
        if self.counts[text] == 1:
            self.actions.append(LogLine(text))
