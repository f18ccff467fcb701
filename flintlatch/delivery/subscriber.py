"""A subscriber: follows names at one relay after another, and holds them as of one revision.

Events and a time in, actions out. It never goes back: a relay that holds less is left for another. What it
takes in any minute is bounded by the credit that it gives, whichever relay sends. Where no relay can be had
it keeps what it has, knows how old that may be, and says so once.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from flintlatch.delivery.model import (
    ITEM_MOST,
    REVISION_MOST,
    Applied,
    Begin,
    Credit,
    End,
    FromRelay,
    FromSubscriber,
    Hello,
    LeftOut,
    ObjectChange,
    ObjectPart,
    Participant,
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
    rank,
    wire_size,
)
from flintlatch.delivery.staging import Staging, Torn
from flintlatch.delivery.store import Store
from flintlatch.peers.model import Chance

REFUSALS_MOST = 3  # batches of one relay that are refused on end, before it is left for another
TRIES_AT_ONCE = 3  # relays tried one behind the other; then there are pauses
PINGS_KEPT = 8
NAMES_A_MESSAGE = 256
MIN_CREDIT_BYTES = 1024  # bytes: less is not worth a message
CONTROL_BYTES = 2048  # of tokens that are never granted: answers to pings and the like come without credit


# Events


class Tick(NamedTuple):
    """At least every 0.1 s."""


class Connected(NamedTuple):
    session: int


class Closed(NamedTuple):
    session: int


class Received(NamedTuple):
    session: int
    message: FromRelay


class Unreadable(NamedTuple):
    """A frame that is none of ours, or over the size bound; the session is over."""

    session: int
    why: str


class Follow(NamedTuple):
    names: tuple[str, ...]


class Unfollow(NamedTuple):
    names: tuple[str, ...]


Event = Tick | Connected | Closed | Received | Unreadable | Follow | Unfollow


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
    """In force from now on, all at once. `whole`: the store's objects were replaced."""

    revision: int
    changes: tuple[ObjectChange, ...]


class Absent(NamedTuple):
    """Names followed of which the origin has no object, or which are over a bound: now, not for good."""

    names: tuple[str, ...]


class LogLine(NamedTuple):
    """A line for the log."""

    text: str


Action = Connect | Disconnect | Transmit | Changed | Absent | LogLine


class State(Enum):
    """Of a session: OPENING -> GREETING -> LIVE, and from each to its end."""

    OPENING = "opening"  # the connection is not up
    GREETING = "greeting"  # our hello is out
    LIVE = "live"


class Session:
    def __init__(self, number: int, relay: Participant, now: float) -> None:
        self.number, self.relay, self.started_at = number, relay, now
        self.state = State.OPENING
        self.pings: OrderedDict[int, float] = OrderedDict()  # unanswered, with when they were sent
        self.last_ping_at = now
        self.staging: Staging | None = None
        self.refusing = False  # what comes of a batch refused, up to its end
        self.refusals = 0  # on end
        self.as_of = now  # a moment at which the relay's own state was the origin's
        self.moved = now  # when it last sent of a batch, or had nothing to send
        self.applied = -1  # the last batch that was taken
        self.left: dict[str, float] = {}  # names not followed any more, of which a delta may be on its way


class Subscriber:
    def __init__(
        self,
        me: Participant,
        role: Role,
        relays: Iterable[Participant],
        rules: Rules,
        rng: Chance,
        now: float,
        everything: bool = False,
    ) -> None:
        self.me, self.role, self.rules, self.rng, self.everything = me, role, rules, rng, everything
        self.choices = rank(me, tuple(relays))
        self.store = Store()
        self.names: dict[str, bool] = {}  # followed; whether what is held of it is of the store's revision
        self.doubtful: set[str] = set()  # which did not add up: the next relay sends them whole
        self.active_session: Session | None = None
        self.candidate_session: Session | None = None  # another relay that is tried while the main one lasts
        self.choice = 0  # of the main session or of the next attempt
        self.tried = 0  # choices that failed in a row
        self.next_at = now  # an attempt is not made before
        self.trial_at = now + self._return_s()  # of a better choice
        self.other_at = now  # of any other, while this one's state is old
        self.number = self.pings = 0
        self.tokens, self.filled = rules.burst_bytes, now  # bytes that may yet be granted
        self.outstanding_credit = 0.0  # bytes granted to the main session that have not come
        self.as_of = -1.0  # a moment at which the state held was the origin's; below 0: none yet
        self.started_at = now
        self.told_stale = False
        self.counts: Counter[str] = Counter()
        self.out: list[Action] = []

    # What may be asked

    def age(self, now: float) -> float:
        """Seconds since the state held was surely the origin's."""
        return now - (self.as_of if self.as_of >= 0 else self.started_at)

    def ready(self) -> bool:
        """All that is followed has been answered at least once."""
        return self.as_of >= 0 and (self.everything or all(self.names.values()))

    def step(self, now: float, event: Event) -> list[Action]:
        self.out = []
        if isinstance(event, Received):
            self._received(now, event)
        elif isinstance(event, Tick):
            self._tick(now)
        elif isinstance(event, Connected):
            self._connected(now, event.session)
        elif isinstance(event, Closed):
            if (session := self._session(event.session)) is not None:
                self._lost(now, session, "closed")
        elif isinstance(event, Unreadable):
            if (session := self._session(event.session)) is not None:
                self._refuse_count(event.why)
                self._leave(now, session, event.why)
        elif isinstance(event, Follow):
            self._follow(event.names)
        else:
            self._unfollow(now, event.names)
        return self.out

    def _session(self, number: int) -> Session | None:
        """None: of a session that is over, whose frames count for nothing."""
        for session in (self.active_session, self.candidate_session):
            if session is not None and session.number == number:
                return session
        return None

    def _send(self, session: Session, message: FromSubscriber) -> None:
        self.out.append(Transmit(session.number, message))

    # Names

    def _follow(self, names: tuple[str, ...]) -> None:
        fresh = []
        for name in names:
            if name in self.names:
                continue
            if len(self.names) >= self.rules.most_names:
                self._refuse_count("a subscription over its bound")
                self.out.append(Absent((name,)))
                continue
            self.names[name] = False
            fresh.append(name)
        if fresh and self.active_session is not None and self.active_session.state is State.LIVE:
            self._subscribe(self.active_session, [], fresh)

    def _unfollow(self, now: float, names: tuple[str, ...]) -> None:
        mine = tuple(n for n in names if self.names.pop(n, None) is not None)
        for name in mine:
            self.store.forget(name)
            self.doubtful.discard(name)
        if mine and self.active_session is not None and self.active_session.state is State.LIVE:
            self.active_session.left.update((name, now) for name in mine)
            self._send(self.active_session, Unsubscribe(mine))

    def _subscribe(self, session: Session, held: list[str], fresh: list[str]) -> None:
        for at in range(0, max(len(held), len(fresh)), NAMES_A_MESSAGE):
            until = at + NAMES_A_MESSAGE
            self._send(session, Subscribe(tuple(held[at:until]), tuple(fresh[at:until])))

    # Sessions

    def _tick(self, now: float) -> None:
        rules = self.rules
        self._fill(now)
        for session in (self.active_session, self.candidate_session):
            if session is None:
                continue
            if session.state is not State.LIVE:
                if now - session.started_at > rules.connect_s:
                    self._leave(now, session, "did not answer")
                continue
            if session.pings and now - next(iter(session.pings.values())) > rules.silence_s:
                self._leave(now, session, "fell silent")
            elif now - session.moved > 2 * rules.stale_s and session is self.active_session:
                self._leave(now, session, "sends nothing")
            elif now - session.last_ping_at >= rules.ping_s and len(session.pings) < PINGS_KEPT:
                self._ping(now, session)
        if self.active_session is None and now >= self.next_at and self.choices:
            self.active_session = self._open(now, self.choice % len(self.choices))
        elif (
            self.active_session is not None
            and self.active_session.state is State.LIVE
            and self.candidate_session is None
        ):
            self._try_another(now)
        if self.active_session is not None and self.active_session.state is State.LIVE:
            self._grant(now, self.active_session)
        if not self.told_stale and self.age(now) > 2 * rules.stale_s and not self._loading(now):
            self.told_stale = True
            held = f"serving on with revision {self.store.revision}" if self.as_of >= 0 else "nothing is held"
            self.out.append(LogLine(f"delivery: no relay with news for {self.age(now):.0f} s; {held}"))

    def _loading(self, now: float) -> bool:
        """What is held is old, but the relay's state is young and on its way."""
        main = self.active_session
        return main is not None and main.state is State.LIVE and now - main.as_of <= 2 * self.rules.stale_s

    def _try_another(self, now: float) -> None:
        """A better choice in turn, or any other where this relay's own state is old."""
        main = self.active_session
        assert main is not None
        if len(self.choices) < 2 or main.staging is not None:
            return
        place = self.choice % len(self.choices)
        if now - main.as_of > self.rules.stale_s and now >= self.other_at:
            self.other_at = now + self.rules.stale_s * (0.5 + self.rng.random() / 2)
            self.tried += 1
            self.candidate_session = self._open(
                now, (place + 1 + self.tried % (len(self.choices) - 1)) % len(self.choices)
            )
        elif place and now >= self.trial_at:
            self.trial_at = now + self._return_s()
            self.candidate_session = self._open(now, int(self.rng.random() * place))

    def _return_s(self) -> float:
        return self.rules.return_s * (0.5 + self.rng.random())

    def _open(self, now: float, choice: int) -> Session:
        self.number += 1
        session = Session(self.number, self.choices[choice], now)
        self.out.append(Connect(session.number, session.relay))
        return session

    def _connected(self, now: float, number: int) -> None:
        session = self._session(number)
        if session is None or session.state is not State.OPENING:
            return
        session.state = State.GREETING
        me, held = self.me, self.store.revision
        if self.everything and len(self.doubtful) > NAMES_A_MESSAGE:
            held = 0
        self._send(session, Hello(me.name, self.role, me.region, me.zone, held, self.everything))

    def _leave(self, now: float, session: Session, why: str) -> None:
        self.out.append(Disconnect(session.number))
        self._lost(now, session, why)

    def _lost(self, now: float, session: Session, why: str) -> None:
        self.counts[f"lost: {why}"] += 1
        if session is self.candidate_session:
            self.candidate_session = None
            return
        self.outstanding_credit = 0.0  # it may be on its way still: the tokens for it do not come back
        was_live, self.active_session = session.state is State.LIVE, None
        if self.candidate_session is not None:  # what was being tried is the next choice
            self.active_session, self.candidate_session = self.candidate_session, None
            self.choice = self.choices.index(self.active_session.relay)
            return
        self.choice = (self.choices.index(session.relay) + 1) % len(self.choices)
        if was_live:
            self.tried = 0
            self.next_at = now + self.rng.random() * self.rules.spread_s
            return
        self.tried += 1
        if self.tried >= TRIES_AT_ONCE:
            least, most = self.rules.retry_s
            wait = min(most, least * 2 ** min(self.tried - TRIES_AT_ONCE, 8))
            self.next_at = now + wait * (0.5 + self.rng.random() / 2)

    def _ping(self, now: float, session: Session) -> None:
        self.pings += 1
        session.last_ping_at = now
        session.pings[self.pings] = now
        self._send(session, Ping(self.pings))

    # Credit

    def _fill(self, now: float) -> None:
        rules = self.rules
        full = (
            rules.burst_bytes - self.outstanding_credit
        )  # what is granted may come later than what is spared
        self.tokens = min(full, self.tokens + (now - self.filled) * rules.bytes_per_s)
        self.filled = now

    def _grant(self, now: float, session: Session) -> None:
        """All that may come within the bound, up to a window: what one that is lost leaves unsent is lost."""
        spare = int(min(self.tokens - CONTROL_BYTES, self.rules.window_bytes - self.outstanding_credit))
        if spare >= MIN_CREDIT_BYTES:
            if (
                self.outstanding_credit < self.rules.part_bytes + ITEM_MOST
            ):  # until now it may have had too little
                session.moved = now
            self.tokens -= spare
            self.outstanding_credit += spare
            self._send(session, Credit(spare))

    # What relays say

    def _received(self, now: float, event: Received) -> None:
        session, message = self._session(event.session), event.message
        if session is None:
            self.counts["of a session that is over"] += 1
            return
        if not isinstance(message, Begin | ObjectPart | End):
            self._fill(now)
            self.tokens -= wire_size(message)
        if session.state is not State.LIVE:
            if isinstance(message, Welcome) and session.state is State.GREETING:
                self._welcome(now, session, message)
            elif isinstance(message, Turned):
                known = message.why in list(Why)
                why = Why(message.why).name.lower() if known else "turned away"
                if why == "everything":
                    self._tell_once("delivery: a relay does not let us follow everything")
                self._leave(now, session, why)
            else:
                self._refuse_count("a message before the welcome")
                self._leave(now, session, "out of order")
            return
        if isinstance(message, Begin | ObjectPart | End):
            size = wire_size(message)
            self.outstanding_credit = max(0.0, self.outstanding_credit - size)
            self._batch(now, session, message, size)
            if self.outstanding_credit < self.rules.window_bytes / 2 and self.active_session is session:
                self._fill(now)
                self._grant(now, session)
        elif isinstance(message, Pong):
            self._pong(now, session, message)
        elif isinstance(message, LeftOut):
            self._refuse_count("a subscription over its bound")
            for name in message.names:
                self.names.pop(name, None)
                self.store.forget(name)
                self.doubtful.discard(name)
            self.out.append(Absent(message.names))

    def _welcome(self, now: float, session: Session, welcome: Welcome) -> None:
        if welcome.revision < self.store.revision:
            self._leave(now, session, "behind")
            return
        if session is self.candidate_session:
            before = self.active_session
            assert before is not None
            age = now - before.as_of
            if age > self.rules.stale_s and welcome.age_ms / 1000 + self.rules.ping_s >= age:
                self._leave(now, session, "no younger")
                return
            self.candidate_session = None
            self.out.append(Disconnect(before.number))
            self.outstanding_credit = 0.0
        session.state, session.moved = State.LIVE, now
        session.as_of = session.started_at - welcome.age_ms / 1000
        self.active_session = session
        self.choice, self.tried = self.choices.index(session.relay), 0
        self.trial_at = now + self._return_s()
        if not self.everything:
            fresh = [n for n, known in self.names.items() if not known or n in self.doubtful]
            held = [n for n, known in self.names.items() if known and n not in self.doubtful]
            self._subscribe(session, held, fresh)
        self._fill(now)
        self._grant(now, session)
        self._ping(now, session)

    def _pong(self, now: float, session: Session, pong: Pong) -> None:
        asked = session.pings.pop(pong.number, None)
        while session.pings and next(iter(session.pings)) < pong.number:
            session.pings.popitem(last=False)
        if asked is None:
            return
        session.as_of = max(session.as_of, asked - pong.age_ms / 1000)
        if pong.held_ms >= 0 and pong.revision <= self.store.revision:
            self._known(now, asked - pong.held_ms / 1000)
        if not pong.current:
            return
        session.moved = now
        session.left = {name: at for name, at in session.left.items() if at >= asked}
        if session.staging is not None:  # it has nothing more to send: a Begin that was none
            self._refuse_count("a batch without its end")
        session.staging, session.refusing = None, False
        if pong.revision < self.store.revision:
            self._refuse_count("an older revision")
            self._leave(now, session, "went back")
            return
        self.store.revision = pong.revision
        self._known(now, asked - pong.age_ms / 1000)

    def _known(self, now: float, as_of: float) -> None:
        """What is held was the origin's at that moment, or is newer."""
        self.as_of = max(self.as_of, as_of)
        age = self.age(now)
        if self.told_stale and age <= self.rules.stale_s:
            self.told_stale = False
            self.out.append(
                LogLine(f"delivery: revision {self.store.revision} again {age:.1f} s old at most")
            )

    def _batch(self, now: float, session: Session, message: Begin | ObjectPart | End, size: int) -> None:
        session.moved = now
        try:
            if isinstance(message, Begin):
                self._begin(session, message)
            elif session.refusing:
                session.refusing = not isinstance(message, End)
            elif session.staging is None:
                # No part is answered: the batch's end is, unless it is one that was taken.
                if isinstance(message, ObjectPart) or message.to == session.applied:
                    self._refuse_count("a part of no batch")
                else:
                    raise Torn("an end of no batch")
            elif isinstance(message, ObjectPart):
                session.staging.add(message, size)
            else:
                self._end(session, session.staging, message)
        except Torn as torn:
            self._refuse(now, session, torn, message)

    def _begin(self, session: Session, begin: Begin) -> None:
        if session.staging is not None:
            session.staging = None
            raise Torn("a batch within a batch")
        session.refusing = False
        if begin.to < self.store.revision:
            raise Torn("an older revision")
        if begin.to >= REVISION_MOST:
            raise Torn("a revision out of bounds")
        if begin.base > self.store.revision:
            raise Torn("a gap")
        if begin.whole and not self.everything:
            raise Torn("a whole batch for a part")
        session.staging = Staging(begin, self.rules, self.store)

    def _end(self, session: Session, staging: Staging, end: End) -> None:
        if not self.everything:  # names that are followed no more, or that nobody named
            self.counts["not followed"] += staging.drop_unknown(self.names)
            staging.drop_left([name for name in session.left if not self.names.get(name, True)])
        taken = staging.end(end)
        session.staging, session.applied = None, end.to
        session.refusals = 0
        self.store.put(taken.objects, end.to)
        if staging.begin.whole:  # of what was gone before, this relay has said nothing
            self.store.gone.clear()
            self.store.deletion_floor = end.to
        self.doubtful.difference_update(name for name, _ in taken.objects)
        absent = []
        if not self.everything:
            for name, one in taken.objects:
                self.names[name] = True
                if one is None:
                    absent.append(name)
        self._send(session, Applied(end.to))
        self.counts["batches"] += 1
        if taken.changes:
            self.out.append(Changed(end.to, taken.changes))
        if absent:
            self.out.append(Absent(tuple(absent)))

    def _refuse(self, now: float, session: Session, torn: Torn, message: Begin | ObjectPart | End) -> None:
        """The batch is not taken, nothing of it; the objects named come as snapshots."""
        self._refuse_count(torn.why)
        to = session.staging.begin.to if session.staging is not None else self.store.revision
        if isinstance(message, Begin):
            to = message.to
        session.staging = None
        session.refusing = not isinstance(message, End)
        session.refusals += 1
        known = self.store.objects if self.everything else self.names
        self.doubtful.update(name for name in torn.names if name in known)
        if session.refusals >= REFUSALS_MOST or len(torn.names) > NAMES_A_MESSAGE:
            self._leave(now, session, "refused")
            return
        self._send(session, Refused(self.store.revision, to, torn.names))

    def _refuse_count(self, why: str) -> None:
        self.counts[f"refused: {why}"] += 1
        if self.counts[f"refused: {why}"] == 1:
            self.out.append(LogLine(f"delivery: refused {why}; told once, then counted"))

    def _tell_once(self, text: str) -> None:
        self.counts[text] += 1
        if self.counts[text] == 1:
            self.out.append(LogLine(text))
