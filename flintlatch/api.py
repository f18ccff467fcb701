"""The interface of the decision module: settings in, events in, actions out. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple


class Effect(Enum):
    """How far a request may be repeated once it may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The servers that drop repeats of a keyed request between them."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    NO_ROOM = "no_room"  # this proxy lacked a connection or a descriptor for it: not the server's doing
    INVALID = "invalid"  # the server finds the request itself at fault: another one would, too


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NO_ROOM})


class ServerState(Enum):
    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a server list event holds: changes, everything, a saved copy, or a failed call."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim_ms: float  # an answer inside this earns the full worth
    deadline_ms: float  # the client's whole wait over all its tries
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL  # keyed only
    window_ms: float = 0.0  # keyed only: how long repeats are remembered
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth after the aim
    stream: bool = False  # its answers are long: limits on transfers hold for it from the start


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    proxies: int = 1  # instances of this tier, this one included
    me: int = 0
    zone: int = 0
    zones: int = 1  # each zone's clients come to the proxies of their own zone
    quotas: tuple[float, ...] = ()  # requests per second inside a tenant's share, all proxies together
    over_share_worth: float = 1.0  # worth of a request beyond the share, as a part of the usual
    tick_ms: float = 1.0  # shortest time between two calls
    ask_for_list: bool = False  # the list must be asked for
    must_ask_ms: float = 10000.0  # longest silence towards the list service without a subscription
    may_cancel: bool = False
    may_duplicate: bool = False
    may_probe: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    refuse_unsent: bool = False  # one that never ran and whose time is over is refused, not failed
    node_transfers: int = 1 << 30  # bodies on their way to or from one server, through this proxy
    node_transfer_bytes: int = 1 << 60  # that those may hold here
    all_transfers: int = 1 << 30  # the same with all servers together
    all_transfer_bytes: int = 1 << 60
    max_attempts: int = 1
    key_affinity: bool = False  # servers do less work for a key met recently
    weights_report_load: bool = (
        False  # a server's weight is its size / (1 + requests it holds a core), some time ago
    )
    start_capacity: float = 1.0  # part of its capacity that a server starts with, at least
    cold_ms: float = 0.0  # a server is warm no later than this after its start
    fall_multiple: float = 2.0  # a cold server falls over when sent more than this times its capacity
    fall_ms: float = 1000.0  # for this long

    def check(self) -> None:
        """Raise ValueError for settings that no deployment can have."""
        if not self.classes:
            raise ValueError("classes: settings name no request class")
        for number, spec in enumerate(self.classes):
            at = f"class {number}"
            for name in ("aim_ms", "deadline_ms"):
                if not 0 < getattr(spec, name) < inf:
                    raise ValueError(f"{at}: {name} must be above 0 and finite")
            for name in ("worth", "late_worth", "window_ms"):
                if not 0 <= getattr(spec, name) < inf:
                    raise ValueError(f"{at}: {name} must not be negative or infinite")
            if not isinstance(spec.effect, Effect):
                raise ValueError(f"{at}: effect is unknown: {spec.effect!r}")
            if not isinstance(spec.scope, Scope):
                raise ValueError(f"{at}: scope is unknown: {spec.scope!r}")
        if not any(spec.worth > 0 for spec in self.classes):
            raise ValueError("worth: no class is worth anything")
        limits = ("node_transfers", "node_transfer_bytes", "all_transfers", "all_transfer_bytes")
        for name in ("proxies", "max_attempts", "zones", *limits):
            if not getattr(self, name) >= 1:
                raise ValueError(f"{name} must be at least 1")
        for name in ("tick_ms", "must_ask_ms", "fall_ms", "fall_multiple"):
            if not 0 < getattr(self, name) < inf:
                raise ValueError(f"{name} must be above 0 and finite")
        for name in ("me", "cold_ms", "max_retry_after_ms", "over_share_worth", "start_capacity"):
            if not 0 <= getattr(self, name) < inf:
                raise ValueError(f"{name} must not be negative or infinite")
        if not all(0 <= quota < inf for quota in self.quotas):
            raise ValueError("quotas must not be negative or infinite")


class ServerInfo(NamedTuple):
    """One line of the server list."""

    server: str
    state: ServerState = ServerState.ACTIVE
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started: float | None = None  # clock time of the latest start; None: long ago
    weight: float = 1.0  # registered size, for comparison with other servers; 1 where it tells nothing


# Events


class Arrival(NamedTuple):
    request: str
    cls: int
    tenant: int
    key: int | None
    client_deadline: float  # clock time at which the client stops waiting for this try
    is_retry: bool = False  # marked by the client as another try of a request
    after_ms: float = inf  # how long the client waits once its request is here whole; never past `client_deadline`
    uploading: bool = False  # its body is still on the way
    holds: int = 0  # bytes that its bodies may take up here


class Outcome(NamedTuple):
    """The end of one attempt."""

    request: str
    attempt: int
    result: Result
    latency_ms: float
    finished: bool  # the request is over, by this outcome or before it


class ResponseStarted(NamedTuple):
    """The answer has begun: the server's work on a request that it has whole is over, a transfer follows."""

    request: str
    attempt: int
    latency_ms: float  # since the server had the whole request
    result: Result = Result.OK  # as far as the head tells: OK, ERROR or INVALID


class BodyReceived(NamedTuple):
    """The request's body is here whole."""

    request: str


class BodyForwarded(NamedTuple):
    """The server of this attempt has the whole request, which was still on the way when it was sent."""

    request: str
    attempt: int


class BodyDiscarded(NamedTuple):
    """A part of the request's body is no longer held: no attempt may follow the one that has it."""

    request: str


class ClientDisconnected(NamedTuple):
    request: str


class ServerList(NamedTuple):
    kind: ListKind
    entries: tuple[ServerInfo, ...] = ()


class DiscoveryServiceChanged(NamedTuple):
    """Lists come from another service from now on, which has not been asked yet."""


class TierMembership(NamedTuple):
    """How many instances of this tier there are now, and which of them this one is."""

    proxies: int
    me: int


class LimitAllocation(NamedTuple):
    """This instance's part of a limit on requests taken, from now on. Beyond it they are refused."""

    limit: str  # its name
    cls: int  # of that class alone; -1: of any
    tenant: int  # likewise
    per_s: float
    burst: float  # that may come at once


class Ejection(NamedTuple):
    """Others find this server bad, and some of them go on trying it: leave it to them for so long, unless it
    answers us."""

    server: str
    for_ms: float  # 0: no longer


class ProbeResult(NamedTuple):
    server: str
    result: Result
    latency_ms: float


class TimerFired(NamedTuple):
    token: int


Event = (
    Arrival | Outcome | ResponseStarted | BodyReceived | BodyForwarded | BodyDiscarded | ClientDisconnected | ServerList
    | DiscoveryServiceChanged | TierMembership | LimitAllocation | Ejection | ProbeResult | TimerFired
)  # fmt: skip

# Actions


class Send(NamedTuple):
    request: str
    server: str
    attempt_timeout_ms: float
    write_within_ms: float = inf  # written later than this it must not be: it never ran then


class SetAttemptTimeout(NamedTuple):
    """The attempt that is out may take so long from now on."""

    request: str
    attempt: int
    attempt_timeout_ms: float


class Refuse(NamedTuple):
    """Final: not done and harmless to try again."""

    request: str
    retry_after_ms: float


class Fail(NamedTuple):
    """Final: no promise about the effect."""

    request: str


class Cancel(NamedTuple):
    request: str
    attempt: int


class Probe(NamedTuple):
    server: str


class Watch(NamedTuple):
    """Ask the list service for changes from now on."""


class SetTimer(NamedTuple):
    delay_ms: float
    token: int


class Log(NamedTuple):
    text: str


Action = Send | SetAttemptTimeout | Refuse | Fail | Cancel | Probe | Watch | SetTimer | Log
