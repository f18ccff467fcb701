"""Defines the interface of the decision module: the settings, the events it gets and the actions it returns.

All times and durations are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import NamedTuple


class Effect(Enum):
    """Whether a request may be retried after it may have run, by the effect of its execution.

    SAFE: it may be retried at any server. KEYED: it may be retried within its window, at servers of the same
    idempotency scope. UNSAFE: it may not be retried.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """The servers that together drop duplicates of a keyed request (the idempotency scope)."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """The result of an attempt or of a probe."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    NO_ROOM = "no_room"  # this proxy had no free connection or file descriptor; the server is not at fault
    INVALID = "invalid"  # the server rejects the request itself, as any other server would


# Results of attempts that the server has certainly not executed.
NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NO_ROOM})


class EndReason(Enum):
    """Why a request was refused or failed."""

    RATE_LIMIT = "rate_limit"  # no token of a limit that all fleets share
    SHED = "shed"  # overload
    TRANSFER_LIMIT = "transfer_limit"
    NO_TIME = "no_time"  # it arrived with too little time left
    NO_SERVER = "no_server"  # it waited while the list had no active server
    QUEUE_TIMEOUT = "queue_timeout"  # it waited too long for a server with capacity
    NOT_RETRIED = "not_retried"  # its last attempt failed, and another one is not permitted or not useful
    RETRY_BUDGET = "retry_budget"  # its last attempt failed, and the retry budget is used up
    DEADLINE = "deadline"  # the client's deadline passed
    MODULE_FAILED = "module_failed"  # the decision module was replaced


class ServerState(Enum):
    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The content of a server list event: a delta, a snapshot, a saved snapshot, or none after a failed
    call of the discovery service."""

    DELTA = "changes"
    SNAPSHOT = "full"
    SAVED = "saved"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim_ms: float  # latency target: a response within it has the full worth
    deadline_ms: float  # how long a client waits in total, over all its tries
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL  # of keyed requests
    window_ms: float = 0.0  # of keyed requests: how long servers remember a key to drop duplicates
    worth: float = 1.0
    late_worth: float = 0.0  # fraction of the worth that a response after the latency target has
    stream: bool = False  # responses are long: the limits on transfers are checked at each send


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    proxies: int = 1  # instances in this tier, including this one
    me: int = 0  # index of this instance in the tier
    zone: int = 0
    zones: int = 1  # number of zones; clients connect to the proxies of their own zone
    quotas: tuple[float, ...] = ()  # requests per second by tenant, for all proxies together
    over_share_worth: float = 1.0  # factor on the worth of a request over its tenant's quota
    tick_ms: float = 1.0  # shortest time between two calls of `step`
    ask_for_list: bool = False  # the server list comes only after a subscription
    must_ask_ms: float = 10000.0  # a subscription to the server list is due within this time
    may_cancel: bool = False
    may_duplicate: bool = False
    may_probe: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    refuse_unsent: bool = False  # a request that never ran and has expired is refused instead of failed
    # A transfer is an attempt whose request body is still arriving or whose response body is being sent, in
    # contrast to one that the server is executing. The defaults below are no limit in practice.
    node_transfers: int = 1 << 30  # transfers between this proxy and one server
    node_transfer_bytes: int = 1 << 60  # buffer space in this proxy for the transfers of one server
    all_transfers: int = 1 << 30  # transfers with all servers together
    all_transfer_bytes: int = 1 << 60  # buffer space in this proxy for all transfers
    max_attempts: int = 1
    key_affinity: bool = False  # servers do less work for a key that they have received recently
    # True: a server's weight in the list is its size / (1 + requests per core), reported with a delay.
    weights_report_load: bool = False
    start_capacity: float = 1.0  # least fraction of its capacity that a server starts with
    cold_ms: float = 0.0  # slow start: a server is warm at the latest this long after its start
    # A cold server fails if its load exceeds `fall_multiple` times its capacity for `fall_ms`.
    fall_multiple: float = 2.0
    fall_ms: float = 1000.0

    def check(self) -> None:
        """Raises ValueError if a setting is out of its range."""
        if not self.classes:
            raise ValueError("classes: the settings define no request class; expected at least one")
        for number, spec in enumerate(self.classes):
            where = f"class {number}"
            for name in ("aim_ms", "deadline_ms"):
                if not 0 < getattr(spec, name) < inf:
                    raise ValueError(
                        f"{where}: {name} must be above 0 and finite, not {getattr(spec, name)!r}"
                    )
            for name in ("worth", "late_worth", "window_ms"):
                if not 0 <= getattr(spec, name) < inf:
                    raise ValueError(
                        f"{where}: {name} must be finite and not negative, not {getattr(spec, name)!r}"
                    )
            if not isinstance(spec.effect, Effect):
                raise ValueError(f"{where}: effect must be an Effect, not {spec.effect!r}")
            if not isinstance(spec.scope, Scope):
                raise ValueError(f"{where}: scope must be a Scope, not {spec.scope!r}")
        if not any(spec.worth > 0 for spec in self.classes):
            raise ValueError("worth must be above 0 for at least one class")
        limits = ("node_transfers", "node_transfer_bytes", "all_transfers", "all_transfer_bytes")
        for name in ("proxies", "max_attempts", "zones", *limits):
            if not getattr(self, name) >= 1:
                raise ValueError(f"{name} must be at least 1, not {getattr(self, name)!r}")
        for name in ("tick_ms", "must_ask_ms", "fall_ms", "fall_multiple"):
            if not 0 < getattr(self, name) < inf:
                raise ValueError(f"{name} must be above 0 and finite, not {getattr(self, name)!r}")
        for name in ("me", "cold_ms", "max_retry_after_ms", "over_share_worth", "start_capacity"):
            if not 0 <= getattr(self, name) < inf:
                raise ValueError(f"{name} must be finite and not negative, not {getattr(self, name)!r}")
        if not all(0 <= quota < inf for quota in self.quotas):
            raise ValueError(f"quotas must be finite and not negative, not {self.quotas!r}")


class ServerInfo(NamedTuple):
    """One entry of the server list."""

    server: str
    state: ServerState = ServerState.ACTIVE
    zone: int = 0
    kind: int = 0  # servers of the same kind have similar latencies and response rates
    cell: int = 0
    started: float | None = None  # clock time of the latest start; None: long ago
    weight: float = 1.0  # relative to other servers; 1 if the list has no weights


# Events. In events and actions, `request` and `server` are identifiers.


class Arrival(NamedTuple):
    request: str
    cls: int
    tenant: int
    key: int | None
    client_deadline: float  # clock time at which the client stops waiting for this try
    is_retry: bool = False  # marked as a retry by the client
    # How long the client waits after the whole request has arrived, at the latest until `client_deadline`.
    response_wait_ms: float = inf
    uploading: bool = False  # the body has not arrived in full
    buffered_bytes: int = 0  # buffer space that its bodies may use in this proxy


class Outcome(NamedTuple):
    """The end of one attempt."""

    request: str
    attempt: int
    result: Result
    latency_ms: float
    finished: bool  # the request was answered, by this attempt or earlier, or its client disconnected


class ResponseStarted(NamedTuple):
    """The response has started: the server has executed the request, and the transfer of the body follows."""

    request: str
    attempt: int
    latency_ms: float  # since the server had the whole request
    result: Result = Result.OK  # by the response head: OK, ERROR or INVALID


class BodyReceived(NamedTuple):
    """The body of the request has arrived in full."""

    request: str


class BodyForwarded(NamedTuple):
    """The server of this attempt has the whole request, whose body was still arriving when it was sent."""

    request: str
    attempt: int


class BodyDiscarded(NamedTuple):
    """A part of the request's body is no longer buffered, so no further attempt is possible."""

    request: str


class ClientDisconnected(NamedTuple):
    request: str


class ServerList(NamedTuple):
    kind: ListKind
    entries: tuple[ServerInfo, ...] = ()


class DiscoveryServiceChanged(NamedTuple):
    """Server lists come from another service from now on; this proxy has not subscribed to it yet."""


class TierMembership(NamedTuple):
    """The number of instances in this tier and the index of this one, from now on."""

    proxies: int
    me: int


class LimitAllocation(NamedTuple):
    """This instance's allocation of a rate limit, from now on; requests beyond it are refused."""

    limit: str  # its name
    cls: int  # the class that it applies to; -1: any
    tenant: int  # the tenant that it applies to; -1: any
    per_s: float  # requests per second
    burst: float  # requests at once


class Ejection(NamedTuple):
    """Ejects a server that other proxies have found to be an outlier; some of them keep sending it requests.

    The ejection has no effect on a proxy that the server has responded to recently.
    """

    server: str
    duration_ms: float  # 0: the ejection ends now


class ProbeResult(NamedTuple):
    server: str
    result: Result
    latency_ms: float


class TimerFired(NamedTuple):
    token: int  # of `SetTimer`; the decision module has one timer, with token 0


Event = (
    Arrival | Outcome | ResponseStarted | BodyReceived | BodyForwarded | BodyDiscarded | ClientDisconnected
    | ServerList | DiscoveryServiceChanged | TierMembership | LimitAllocation | Ejection | ProbeResult
    | TimerFired
)  # fmt: skip

# Actions


class Send(NamedTuple):
    request: str
    server: str
    attempt_timeout_ms: float
    write_within_ms: float = inf  # not written by then, the attempt ends and counts as never executed


class SetAttemptTimeout(NamedTuple):
    """Sets the time that an open attempt may still take, from now on."""

    request: str
    attempt: int
    attempt_timeout_ms: float


class Refuse(NamedTuple):
    """Final answer: the request was not executed, and a retry is safe."""

    request: str
    retry_after_ms: float
    reason: EndReason = EndReason.NOT_RETRIED


class Fail(NamedTuple):
    """Final answer: the request may have been executed."""

    request: str
    reason: EndReason = EndReason.NOT_RETRIED


class Cancel(NamedTuple):
    request: str
    attempt: int


class Probe(NamedTuple):
    server: str


class Watch(NamedTuple):
    """Subscribes to changes of the server list."""


class SetTimer(NamedTuple):
    delay_ms: float
    token: int


class Log(NamedTuple):
    text: str


Action = Send | SetAttemptTimeout | Refuse | Fail | Cancel | Probe | Watch | SetTimer | Log
