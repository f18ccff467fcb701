"""Makes every decision of the balancer: admission, server choice, retries, ejection and slow start.

The types, events and actions are defined in api.py. Times are clock times and durations in milliseconds.

Each call of `step` handles one batch of events:
  1. Events, in their order. An arrival is admitted or refused. An outcome updates the statistics of its
     server and class and may lead to a retry. A server list adds, changes and removes servers. The
     housekeeping tick expires queued requests, refills the slow-start budgets and subscribes to the server
     list.
  2. Dispatch. While a request is queued and a ready server has capacity, the head of a queue that has waited
     the largest fraction of its latency target is sent next, to a server chosen by `pick`.

The constants below are the only tuning parameters. Everything else comes from the settings of the deployment
or from observation.

A tier is "large" if it has more than INITIAL_LIMIT proxies. A proxy's share of INITIAL_LIMIT is then below
one request: it gets too few responses from each server to estimate the state of that server alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from heapq import heappop, heappush, nlargest
from math import inf, log, sqrt
from random import Random
from zlib import crc32

from flintlatch.api import (
    NEVER_RAN,
    Action,
    Arrival,
    BodyDiscarded,
    BodyForwarded,
    BodyReceived,
    Cancel,
    ClientDisconnected,
    DiscoveryServiceChanged,
    Effect,
    Ejection,
    EndReason,
    Event,
    Fail,
    LimitAllocation,
    ListKind,
    Log,
    Outcome,
    Refuse,
    RequestClass,
    ResponseStarted,
    Result,
    Scope,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    SetAttemptTimeout,
    SetTimer,
    Settings,
    TierMembership,
    TimerFired,
    Watch,
)

HOUSEKEEPING_INTERVAL_MS = 25.0  # expiry and recovery need no finer resolution

# Overload detection and load shedding
DETECTOR_WINDOW_FRACTION = 0.5  # of the latency target; short enough for shedding to help in time
DETECTOR_WINDOW_MIN_SENDS = 8  # with fewer the window is extended: the minimum of few waits is unreliable
WAIT_THRESHOLD_FRACTION = 0.08  # of (latency target - usual latency): the minimum wait that means overload
READMISSION_SPAN_RANGE = (0.5, 4.0)  # latency targets after an overload until level 4 is fully admitted again
STRICT_READMISSION_SPAN = 1.0  # latency targets; above it level 4 is refused even if no request is queued
RECURRENCE_FRACTION = 0.5  # of (span + 1) latency targets: an overload that returns sooner is a recurrence
PROPORTIONAL_SHED_LEVEL, FIRST_SHED_LEVEL = 3, 4  # levels 1 and 2 are never shed
PROPORTIONAL_SHED_RATIO = 3  # overload ratio from which level 3 is shed, in full at twice this ratio
LEVEL_WORTH_BOUNDS = (0.75, 0.5, 0.25)  # least worth relative to the best class of levels 1, 2 and 3
QUOTA_BURST_S = 1.0  # seconds of quota that a tenant may use at once before it counts as over its quota
USAGE_SMOOTHING = 0.3  # EWMA weight of one second: a few seconds even out random variation

# Server choice
REWARD_SMOOTHING = 0.1  # EWMA weight of one outcome: about the last ten outcomes count
EXPLORATION_WEIGHT = 0.2  # of the UCB term: lets servers without recent outcomes be tried again
OUTCOME_DECAY_PER_S = 0.8  # of the outcome counts: a reward outlives its outcomes by ten seconds at most
REWARD_TIE_MARGIN = 0.1  # scores closer than this are equal: a single outcome changes a reward by as much

# Recognition of retries that clients send
FIRST_TRY_SHORTFALL_FRACTION = 0.1  # of the latency target; the network takes some of a client's wait
# Retries that this proxy expects; they may come from clients that another proxy rejected.
EXPECTED_RETRIES_PER_REJECTION, EXPECTED_RETRIES_MAX = 2.0, 200.0
# Of a client's wait, after which an unsent request is ended: the client still has time for a retry.
UNSENT_WAIT_FRACTION = 0.45

# Concurrency limits of servers. The limits are for all proxies together; each proxy takes an even share.
INITIAL_LIMIT = 4.0  # requests in flight at a server without any statistics
LATENCY_SMOOTHING = 1 / 16  # EWMA weight of one response: outliers must not drive the limit
BASE_LATENCY_DRIFT = 1 / 400  # upward pull of one response: a lasting slowdown becomes the new base
SERVER_QUEUE_LOW, SERVER_QUEUE_HIGH = 2.0, 4.0  # requests queued in a server: raise below, lower above
CONGESTED_MEAN_FRACTION = 1 / 5  # of the latency target: a higher mean latency cuts the limit
MIN_LIMIT = 2.0  # requests
# Larger, because the independent choices of many proxies leave some servers idle beside full ones.
MIN_LIMIT_LARGE_TIER = 5.0
CONGESTION_LIMIT_FACTOR = 0.75  # applied to the limit when too many requests queue in a server
OVERLOAD_FAILURE_LIMIT_FACTOR = 0.8  # applied to the limit after a failure that indicates load
ORDINARY_LATENCY_DEVIATIONS = 3.0  # mean deviations above the mean latency: exceeded by few attempts
HANG_LATENCIES = 2.0  # usual latencies without a response after which a busy server may be hanging

# Outlier detection
OWN_RESPONSE_PRECEDENCE_MS = 2000.0  # for this long a response of a server outweighs reports of other proxies
FAILURE_EVIDENCE_MS = 10_000.0  # a failure is evidence for as long as it affects the reward
EJECTION_FAILURES = 3  # consecutive failures
EJECTION_MS_RANGE = (500.0, 8000.0)  # first and longest ejection time: doubled each time, with jitter

# Retry budget
RETRIES_PER_ARRIVAL = 0.1  # retries can't add more than this fraction to any load
RETRY_BUDGET_MAX = 10.0  # retries

# Calls to the list service. The proxy is obliged to know a new list 6 s after its publication; a call takes
# up to 2.2 s of that (net/discovery.py).
WATCH_STAGGER_MS, WATCH_STAGGER_MAX_MS = 200.0, 3000.0  # per proxy; in all
WATCH_RETRY_MS_RANGE = (250.0, 800.0)  # first and longest delay after a failed call: doubled each time
WATCH_RETRY_MS_PER_PROXY = 10.0  # least delay after a failed call, for each proxy of the tier
DISCOVERY_CHANGE_MS = 4000.0  # after a change of the list service, time until its list counts as known
DISCOVERY_CHANGE_RETRY_MAX_MS = 200.0  # longest delay after a failed call in that time, in a small tier

# Slow start
WARM_RATE_DECAY_PER_S = 0.9  # of the rate known for warm servers, while none is left to observe
# Factor on a cold server's fraction of a warm server's load; at most half of `fall_multiple`.
SLOW_START_LOAD_FACTOR = 1.2
# The same in a large tier, up to this many proxies. Beyond, it falls with the square root of their number.
SLOW_START_LOAD_FACTOR_LARGE_TIER, SLOW_START_FACTOR_PROXIES = 1.4, 60.0
SLOW_START_MIN_REWARD = 0.4  # of a cold server that is still sent requests: one failure leaves 0.5
SUSPECTED_RESTART_OUTAGE_MS = 1000.0  # a server that failed for this long may have restarted
SUSPECTED_RESTART_MS = 6000.0  # by then a server list would have reported a restart
# A server counts as warm after this number of responses, each within this number of base latencies.
WARM_EVIDENCE_RESPONSES, WARM_EVIDENCE_LATENCIES = 2, 2.0
SLOW_START_DEVIATIONS = 4.0  # standard deviations of the arrivals in a window that must fit into the budget

# Balancing by the load that server lists report
LOAD_SMOOTHING = 0.3  # EWMA weight of one report: evens out random variation of the requests in progress
KEY_SHARE_EXPONENT = 0.3  # one report multiplies the key share by (mean load / load) to this power
IN_FLIGHT_SMOOTHING = 0.03  # EWMA weight of one tick: about the second that reports take
LIMIT_SCALE_MAX = 8.0  # times an even share that one proxy may have in flight
KEY_SHARE_MIN = 0.05  # some requests must still reach a server to show when it has recovered

# Key affinity
RANKING_LENGTH = 12  # servers in the rendezvous ranking of a key: some have capacity, or all servers are full
KEY_COUNT_DECAY_PER_S, KEY_COUNT_MIN = 0.97, 0.25  # arrivals per key; a key with a lower count is dropped
POPULAR_KEY_MIN_COUNT = 1.5  # recent arrivals; a lower count may be coincidence
RANKING_CACHE_KEYS = 512

# Large tiers
PREFERRED_SERVERS = 6  # of the proxy's own zone: enough to choose from, few enough to have statistics on each
# Per response. At a limit of 1 they balance when 0.8 of the responses are congested.
TOTAL_LIMIT_INCREASE, TOTAL_LIMIT_DECREASE = 0.1, 0.025
TOTAL_LIMIT_BURST = 4.0  # requests beyond the total limit that may be in flight at once after an idle time
TOTAL_LIMIT_MIN = 0.05  # at the least, one request in twenty usual latencies still probes the servers
# A response is congested if its latency is above this fraction of the target or this many base latencies.
CONGESTED_TARGET_FRACTION, CONGESTED_BASE_LATENCIES = 0.85, 3.0
REWARD_RECOVERY_PER_S = 0.1  # fraction of the way back to the usual reward in a second without outcomes
QUOTA_BURST_MIN_REQUESTS = 5.0  # so that a random cluster of arrivals does not count as over the quota

ABANDONED = (Result.TIMEOUT, Result.CANCELLED)  # this proxy stopped waiting


class Server:
    """The state and statistics that this proxy keeps for one server."""

    def __init__(self, info: ServerInfo, proxies: int) -> None:
        self.proxies = proxies
        self.id, self.hash = info.server, crc32(info.server.encode())
        self.started: float | None
        self.state, self.zone, self.kind, self.cell = info.state, info.zone, info.kind, info.cell
        self.inflight, self.rank, self.weight = 0, 0, 1.0  # inflight: requests that the server works on
        self.nominal_weight = 0.0  # largest weight seen: the weight without load, where weights report load
        self.size = 1.0  # weight in the rendezvous ranking of keys
        self.transfers, self.transfer_bytes = 0, 0  # bodies in transit, which cost the server no work
        self.reset()

    def reset(self) -> None:
        """Resets all statistics: a restarted process shares none of them with its predecessor."""
        self.limit, self.peak_inflight, self.limit_samples = INITIAL_LIMIT / self.proxies, 0, 0
        self.latency, self.base_latency, self.responses = 0.0, 0.0, 0
        self.latency_to_target = 0.0  # smoothed latency as a fraction of the latency target
        self.reward, self.recent_outcomes = 1.0, 0.0
        self.consecutive_failures, self.ejected_until, self.ejection_ms = 0, 0.0, EJECTION_MS_RANGE[0]
        self.responses_this_second, self.response_rate, self.slow_start_tokens = 0, 0.0, 0.0
        self.first_failure_at, self.last_failure_at = 0.0, -inf  # first of the consecutive ones; last of all
        self.peer_ejected_until, self.last_success_at = 0.0, -inf  # ejected on reports of other proxies
        self.restart_suspected_until, self.quick_responses = 0.0, 0  # after an outage; responses since
        self.slow_start_fraction = 0.0  # large tier: fraction of its traffic that it is sent while cold
        self.load, self.key_share = 0.0, 1.0  # requests per core, of all proxies; fraction of its keys
        self.silent_since = 0.0  # last response, or a later send while it had no request of this proxy
        self.started, self.cold_until = None, 0.0

    def has_capacity(self, now: float, min_limit: float = 0.0) -> bool:
        """Whether a request may be sent now; `min_limit` applies if the limit is lower."""
        if self.ejected_until > now or self.peer_ejected_until > now:
            return False
        # Half-open after an ejection: one probe request at a time, not a full load.
        if self.consecutive_failures >= EJECTION_FAILURES or self.peer_ejected_until:
            return self.inflight == 0
        if self.is_cold(now) and self.slow_start_tokens < 1.0 and not self.slow_start_fraction:
            return False
        return self.inflight < max(self.limit, min_limit)

    def is_cold(self, now: float) -> bool:
        """Whether the server is in its slow start or may have restarted."""
        return self.cold_until > now or self.restart_suspected_until > now

    def observe_latency(self, latency: float, fraction_of_target: float) -> None:
        """Adapts the limit to the requests of this proxy that queue in the server.

        Their number is estimated as limit x (1 - base latency / latency).
        """
        self.responses += 1
        smoothing = max(LATENCY_SMOOTHING, 1 / self.responses)
        self.latency += (min(latency, 2 * (self.latency or latency)) - self.latency) * smoothing
        self.latency_to_target += (fraction_of_target - self.latency_to_target) * smoothing
        if self.responses <= 1 / LATENCY_SMOOTHING:  # a base from one fast response would last for long
            self.base_latency = self.latency
        self.base_latency = min(
            self.base_latency + (self.latency - self.base_latency) * BASE_LATENCY_DRIFT, self.latency
        )
        self.limit_samples += 1
        if self.limit_samples < max(8, self.limit):
            return
        queued = min(self.peak_inflight, self.limit) * (1 - self.base_latency / self.latency) * self.proxies
        if queued > SERVER_QUEUE_HIGH or self.latency_to_target > CONGESTED_MEAN_FRACTION:
            self.cut_limit(CONGESTION_LIMIT_FACTOR)
        elif queued < SERVER_QUEUE_LOW and self.peak_inflight + 1 > self.limit:
            self.limit += min(1.0, 2 / self.proxies)
        self.limit_samples, self.peak_inflight = 0, self.inflight

    def cut_limit(self, factor: float) -> None:
        """Multiplies the limit by `factor`, but keeps it above this proxy's share of the minimum limit.

        All proxies together may always have one request in progress and one that follows. Otherwise the
        server would be idle between two requests.
        """
        minimum = MIN_LIMIT_LARGE_TIER if self.proxies > INITIAL_LIMIT else MIN_LIMIT
        self.limit = min(self.limit, max(minimum / self.proxies, self.limit * factor))


class TokenBucket:
    """This instance's allocation of a rate limit on accepted requests.

    When the allocation shrinks, tokens beyond its new burst are dropped.
    """

    def __init__(self, allocation: LimitAllocation, now: float) -> None:
        self.allocation, self.tokens, self.refilled_at, self.demand = allocation, 0.0, now, 0

    def refill(self, now: float) -> float:
        """Adds the tokens since the last refill and returns how many there are."""
        # The bucket must hold one token or no request would ever pass. The documented bound on the number of
        # accepted requests includes one token for each instance.
        capacity = max(self.allocation.burst, 1.0 if self.allocation.per_s else 0.0)
        self.tokens = min(capacity, self.tokens + (now - self.refilled_at) * self.allocation.per_s / 1000)
        self.refilled_at = now
        return self.tokens

    def wait_ms(self) -> float:
        """Returns the time until the next whole token."""
        return max(0.0, 1 - self.tokens) * 1000 / self.allocation.per_s if self.allocation.per_s else inf


class Attempt:
    """One send of a request to a server.

    An open attempt is executing or a transfer: of the request's body before the server has it whole, and of
    the response's body after the response has started.
    """

    def __init__(self, server: Server, sent_at: float, complete: bool) -> None:
        self.server, self.sent_at, self.open, self.may_have_run = server, sent_at, True, True
        self.forwarded_at = sent_at if complete else inf  # when the server had the whole request
        self.executing, self.response_started = complete, False
        self.zone, self.cell = server.zone, server.cell  # at the send: a later list may change them


class Request:
    """A request from its arrival until its last attempt has ended."""

    def __init__(
        self,
        event: Arrival,
        spec: RequestClass,
        queue: ClassQueue,
        now: float,
        first_tried_at: float,
        slow_start_draw: float,
    ) -> None:
        self.id, self.cls, self.key = event.request, event.cls, event.key
        self.spec, self.queue, self.arrived_at = spec, queue, now
        self.client_deadline, self.response_wait_ms = event.client_deadline, event.response_wait_ms
        self.uploading, self.buffered_bytes = event.uploading, event.buffered_bytes
        # If late responses have a worth, so has a late retry; failing it would only cause another retry.
        self.start_response_clock(now, now if spec.late_worth > 0 else first_tried_at)
        self.attempts: list[Attempt] = []
        self.send_by = self.deadline  # latest time of the next send
        self.open_attempts = 0
        self.slow_start_draw = slow_start_draw
        self.is_queued = self.finished = self.streaming = False
        self.hedge_at = inf  # time of a hedged request beside the first attempt
        self.body_discarded = False  # no further attempt is possible

    def start_response_clock(self, now: float, target_from: float) -> None:
        """Starts the time allowed for sending and answering; the time of an upload is not part of it."""
        self.deadline = min(self.client_deadline, now + self.response_wait_ms)
        self.target_deadline = target_from + self.spec.aim_ms
        # A later response is worth nothing, or the client has disconnected.
        self.useful_until = (
            self.deadline if self.spec.late_worth > 0 else min(self.deadline, self.target_deadline)
        )

    def is_transfer(self) -> bool:
        """Whether the request is known to be a long transfer before it is sent."""
        return self.uploading or self.spec.stream

    def first_execution(self) -> Attempt | None:
        """Returns the earliest attempt that may have run; the idempotency window starts with it."""
        return next((a for a in self.attempts if a.may_have_run), None)


class ClassQueue:
    """The FIFO queue of all classes with the same latency target, and its overload detector."""

    def __init__(self, target_ms: float, tick_ms: float) -> None:
        self.target_ms, self.tick_ms = target_ms, tick_ms
        self.pending: deque[Request] = deque()
        self.latency = 0.0  # smoothed time from send to response
        self.half_window_at, self.last_send_at, self.overloaded_at = 0.0, 0.0, -1e9
        self.overloaded, self.readmission_span = False, READMISSION_SPAN_RANGE[0]
        # Minimum waits of the current and of the previous half window; sends in the current one.
        self.min_wait, self.previous_min_wait, self.sends = 0.0, 0.0, 0

    def record_send(self, now: float, wait: float) -> None:
        """Adds the wait of a sent request to the minimum of the current half window."""
        if (
            self.sends >= DETECTOR_WINDOW_MIN_SENDS / 2
            and now - self.half_window_at >= self.target_ms * DETECTOR_WINDOW_FRACTION / 2
        ):
            self.previous_min_wait, self.sends, self.half_window_at = self.min_wait, 0, now
        self.min_wait = wait if self.sends == 0 else min(self.min_wait, wait)
        self.sends += 1
        self.last_send_at = now

    def set_overloaded(self, now: float, overloaded: bool) -> None:
        """Records whether the queue is overloaded and adapts the time of readmission.

        A single overload may be random and is over soon. If it recurs at once, clients demand more than there
        is capacity for: readmitting level 4 as fast as before would cause the next overload again and again.
        """
        if overloaded and not self.overloaded:
            recurred = (
                now - self.overloaded_at < RECURRENCE_FRACTION * (self.readmission_span + 1) * self.target_ms
            )
            self.readmission_span = (
                min(2 * self.readmission_span, READMISSION_SPAN_RANGE[1])
                if recurred
                else READMISSION_SPAN_RANGE[0]
            )
        self.overloaded = overloaded
        if overloaded:
            self.overloaded_at = now

    def head(self) -> Request | None:
        """Returns the first queued request; drops entries that are no longer queued."""
        while self.pending and not self.pending[0].is_queued:
            self.pending.popleft()
        return self.pending[0] if self.pending else None

    def overload_ratio(self, now: float) -> float:
        """Returns the minimum wait of the window over its threshold; above 1 the queue is overloaded."""
        head = self.head()
        if head is None:
            return 0.0  # nothing is queued: whatever the last window shows, the next request is sent at once
        wait = min(self.min_wait, self.previous_min_wait)
        if now - self.last_send_at > self.target_ms * DETECTOR_WINDOW_FRACTION:
            wait = now - head.arrived_at  # nothing is sent: a blocked queue must not pass for an idle one
        return wait / self.wait_threshold_ms()

    def wait_threshold_ms(self) -> float:
        """Returns the minimum wait above which the queue is overloaded."""
        return max(WAIT_THRESHOLD_FRACTION * (self.target_ms - self.latency), 2 * self.tick_ms)


class Balancer:
    """The decisions of one proxy: it has to be given every event, and every action has to be carried out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings, self.rng = settings, Random(seed)
        # A proxy of a large tier keeps to a subset of the servers. With key affinity it does not: all proxies
        # have to send a key to the same two servers, which gains more than good statistics on a few servers.
        self.large_tier = settings.proxies > INITIAL_LIMIT
        self.uses_subset = self.large_tier and not settings.key_affinity
        by_target = {
            target: ClassQueue(target, settings.tick_ms)
            for target in sorted({c.aim_ms for c in settings.classes})
        }
        self.queues = list(by_target.values())
        self.queue_of_class = [by_target[c.aim_ms] for c in settings.classes]
        self.longest_wait = [0.0] * len(settings.classes)  # longest remaining client wait seen, by class
        self.best_worth = max(c.worth for c in settings.classes)
        self.quota_tokens = [q / settings.proxies * QUOTA_BURST_S for q in settings.quotas]
        self.quota_refilled_at = [0.0] * len(settings.quotas)
        self.traffic_fraction = 1 / settings.proxies  # of the tier's traffic that this proxy receives
        self.tenant_arrivals = [0] * len(settings.quotas)  # first tries of each tenant in this second
        self.tenant_usage = [0.0] * len(settings.quotas)  # smoothed rate of first tries / quota
        self.class_latency = [(0.0, 0.0)] * len(settings.classes)  # smoothed latency and mean deviation
        self.overall_latency = 0.0
        self.latency_to_target, self.latency_samples = 0.0, 0  # smoothed, of all servers
        self.servers: dict[str, Server] = {}
        self.active: list[Server] = []
        self.key_counts: dict[int, float] = {}  # recent arrivals by key, in a large tier
        self.key_count_total = 0.0
        self.rankings: dict[int, list[Server]] = {}  # by key, its first servers in the rendezvous ranking
        self.preferred: list[Server] = []  # servers it sends to: all active ones, or its subset
        self.preferred_per_zone, self.min_server_limit = 0, 0.0
        self.total_limit = 1.0  # requests in flight at all servers, if it uses a subset
        # Request-milliseconds that may still be executed under the total limit, which adds `total_limit` of
        # them per ms; starts unbounded, as the first refill caps it. Then: requests that servers are
        # executing.
        self.credit_ms, self.credit_at, self.in_flight = 1e9, 0.0, 0
        # Mean of `in_flight` over about a second; factor on the limits of the servers.
        self.mean_in_flight, self.limit_scale = 0.0, 1.0
        self.transfers, self.transfer_bytes = 0, 0  # open at all servers (see `Settings.node_transfers`)
        self.class_base_latency = [0.0] * len(settings.classes)  # latency without congestion
        self.warm_base_latency: dict[int, float] = {}  # the same of a warm server, by kind
        self.warm_rate: dict[int, float] = {}  # responses per second of a warm server, by kind
        self.requests: dict[str, Request] = {}
        self.scoped_retries: list[Request] = []  # queued ones that only one idempotency scope may receive
        self.timers: list[tuple[float, int, Request]] = []  # when to look at a request again
        self.recent_outcomes = 1.0  # of all servers, decayed like those of each server
        self.cold_servers: list[Server] = []
        # Fraction of the admitted requests to send to a cold server.
        self.cold_traffic: dict[Server, float] = {}
        # Requests admitted in this second; smoothed number of them per second.
        self.admitted, self.admission_rate = 0, 0.0
        self.timer_sequence, self.retry_budget = 0, RETRY_BUDGET_MAX
        self.buckets: dict[str, TokenBucket] = {}  # by name, of the limits that all fleets share
        self.expected_retries = RETRY_BUDGET_MAX  # of clients that were rejected
        self.running, self.second_at, self.tick_at = False, 0.0, 0.0
        self.watch_at: float | None = None
        self.watch_failures, self.discovery_changed_at = 0, -inf
        # Of several changes of the list service in a row, the first that no list has followed.
        self.first_change_at: float | None = None
        self.actions: list[Action] = []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        """Handles a batch of events at clock time `now` and returns the actions to carry out, in order."""
        self.actions = []
        if not self.running and events:
            self.start(now)
        for event in events:
            if isinstance(event, Arrival):
                self.on_arrival(now, event)
            elif isinstance(event, Outcome):
                self.on_outcome(now, event)
            elif isinstance(event, TimerFired):
                self.on_tick(now)
            elif isinstance(event, ClientDisconnected):
                self.on_client_disconnected(event)
            elif isinstance(event, ServerList):
                self.on_list(now, event)
            elif isinstance(event, DiscoveryServiceChanged):
                self.on_discovery_service_changed(now)
            elif isinstance(event, TierMembership):
                self.on_tier_membership(now, event)
            elif isinstance(event, LimitAllocation):
                self.on_limit_allocation(now, event)
            elif isinstance(event, Ejection):
                self.on_ejection(now, event)
            elif isinstance(event, ResponseStarted):
                self.on_response_started(now, event)
            elif isinstance(event, BodyForwarded):
                self.on_body_forwarded(now, event)
            elif (
                isinstance(event, BodyReceived) and (request := self.requests.get(event.request)) is not None
            ):
                request.uploading = False
            elif (
                isinstance(event, BodyDiscarded) and (request := self.requests.get(event.request)) is not None
            ):
                request.body_discarded = True
        if self.scoped_retries:
            self.send_scoped_retries(now)
        self.dispatch(now)
        self.run_timers(now)
        return self.actions

    def start(self, now: float) -> None:
        self.running = True
        self.second_at = self.tick_at = self.credit_at = now
        self.quota_refilled_at = [now] * len(self.quota_refilled_at)
        self.actions.append(SetTimer(HOUSEKEEPING_INTERVAL_MS, 0))
        if self.settings.ask_for_list:
            # Proxies that restart together must not call the list service at the same moment, so their calls
            # are staggered. They have to end within `must_ask_ms`: after that time a proxy must not
            # send to draining servers, even if no list has reported them.
            self.watch_at = now + self.watch_stagger_ms()

    def unavailable(self, now: float) -> int:
        """Counts the listed servers that get no new requests: draining, ejected or half-open."""
        return sum(
            s.state is not ServerState.ACTIVE
            or s.ejected_until > now
            or s.consecutive_failures >= EJECTION_FAILURES
            for s in self.servers.values()
        )

    # 1. Events

    def on_arrival(self, now: float, event: Arrival) -> None:
        """Admits a request to its queue, or refuses it."""
        spec, queue = self.settings.classes[event.cls], self.queue_of_class[event.cls]
        level = self.priority_level(now, spec, event.tenant)
        if event.tenant < len(self.tenant_arrivals) and not event.is_retry:
            self.tenant_arrivals[event.tenant] += 1
        self.retry_budget = min(RETRY_BUDGET_MAX, self.retry_budget + RETRIES_PER_ARRIVAL)
        # Detects retries that the client does not mark. A client's wait spans all its tries, so a request
        # with less time left than the longest wait seen in its class is taken for a retry, and its latency
        # target counts from the first try.
        remaining = min(event.client_deadline - now, event.response_wait_ms)
        self.longest_wait[event.cls] = max(self.longest_wait[event.cls], remaining)
        waited = self.longest_wait[event.cls] - remaining
        if waited > FIRST_TRY_SHORTFALL_FRACTION * queue.target_ms and not event.is_retry:
            # Each rejection explains one retry. Requests beyond these are first tries of clients with a
            # shorter wait. Taken for retries past their latency target, they would fail unsent while servers
            # are idle.
            if self.expected_retries < 1:
                waited = 0.0
            self.expected_retries = max(self.expected_retries - 1, 0.0)
        if self.large_tier and event.key is not None:
            self.key_counts[event.key] = self.key_counts.get(event.key, 0.0) + 1
            self.key_count_total += 1
        request = Request(
            event, spec, queue, now, now - waited, self.rng.random() if self.large_tier else 0.0
        )
        self.requests[event.request] = request
        if self.buckets and (limit_wait_ms := self.take_limit_tokens(now, event)):
            self.refuse(request, EndReason.RATE_LIMIT, limit_wait_ms)
            return
        if level >= PROPORTIONAL_SHED_LEVEL:
            ratio = queue.overload_ratio(now)
            # With a subset the queue is mostly empty and shows few waits. The wait is then estimated as the
            # time in which the total limit refills a negative credit.
            if self.uses_subset:
                wait = -self.refill_credit(now) * self.overall_latency / self.total_limit
                ratio = max(ratio, wait / queue.wait_threshold_ms())
            queue.set_overloaded(now, ratio > 1)
            # Level 3 is refused with a probability that grows linearly from 0 at 3 times the wait threshold
            # to 1 at 6 times. Level 4 is refused as soon as the queue is overloaded and readmitted gradually:
            # admitted at once, it would cause the next overload.
            readmitted = (now - queue.overloaded_at) / (queue.readmission_span * queue.target_ms)
            # After a single overload, level 4 is shed only while requests wait: with an empty queue, refusing
            # it would leave servers idle.
            shed = ratio > 0 or queue.readmission_span > STRICT_READMISSION_SPAN
            if self.rng.random() < (
                1 - readmitted if level == FIRST_SHED_LEVEL and shed else ratio / PROPORTIONAL_SHED_RATIO - 1
            ):
                self.refuse(request, EndReason.SHED)
                return
        if request.is_transfer() and not self.accepts_transfer(request):
            self.refuse(request, EndReason.TRANSFER_LIMIT)
        elif request.useful_until <= now + 2 * self.settings.tick_ms:
            # No later batch could answer it in time.
            self.end_request(request, EndReason.NO_TIME)
        else:
            self.admitted += 1
            if not (self.large_tier and self.send_to_cold(now, request)):
                self.enqueue(request, False)

    def on_ejection(self, now: float, event: Ejection) -> None:
        """Ejects a server on reports of other proxies, or ends that ejection.

        A recent response to this proxy outweighs the reports, so such a server stays in use. After the
        ejection the server is half-open, as after an ejection by this proxy.
        """
        server = self.servers.get(event.server)
        if server is None or now - server.last_success_at < OWN_RESPONSE_PRECEDENCE_MS:
            return
        if event.duration_ms or server.peer_ejected_until:
            server.peer_ejected_until = now + event.duration_ms

    def failing_servers(self, now: float) -> dict[str, int]:
        """Returns the servers that failed this proxy and have not responded since.

        The values are their consecutive failures, at most EJECTION_FAILURES.
        """
        failing = (s for s in self.active if s.consecutive_failures and s.last_success_at < s.last_failure_at)
        recent = (
            s for s in failing if s.ejected_until > now or now - s.last_failure_at < FAILURE_EVIDENCE_MS
        )
        return {s.id: min(s.consecutive_failures, EJECTION_FAILURES) for s in recent}

    def healthy_servers(self, now: float, reported: Iterable[str]) -> list[str]:
        """Returns those of the reported servers that responded recently and have not failed since."""
        known = (s for name in reported if (s := self.servers.get(name)) is not None)
        return [
            s.id
            for s in known
            if s.last_failure_at < s.last_success_at and now - s.last_success_at < OWN_RESPONSE_PRECEDENCE_MS
        ]

    def on_limit_allocation(self, now: float, event: LimitAllocation) -> None:
        bucket = self.buckets.setdefault(event.limit, TokenBucket(event, now))
        bucket.refill(now)
        bucket.allocation = event
        bucket.refill(now)

    def take_limit_tokens(self, now: float, event: Arrival) -> float:
        """Takes one token from each limit that applies and returns 0.

        If a limit has no token, takes none and returns the time in ms until all of them have one.
        """
        applicable = [
            bucket
            for bucket in self.buckets.values()
            if bucket.allocation.cls in (-1, event.cls) and bucket.allocation.tenant in (-1, event.tenant)
        ]
        wait_ms = 0.0
        for bucket in applicable:
            bucket.demand += 1
            if bucket.refill(now) < 1:
                wait_ms = max(wait_ms, bucket.wait_ms())
        if not wait_ms:
            for bucket in applicable:
                bucket.tokens -= 1
        return wait_ms

    def accepts_transfer(self, request: Request) -> bool:
        """Whether the limits on transfers, in all and of at least one preferred server, admit another one."""
        settings = self.settings
        if self.transfers >= settings.all_transfers:
            return False
        if self.transfer_bytes + request.buffered_bytes > settings.all_transfer_bytes:
            return False
        return not self.preferred or any(self.fits_transfer(request, server) for server in self.preferred)

    def fits_transfer(self, request: Request, server: Server) -> bool:
        """Whether the server's limits on transfers admit the request; a short request always fits."""
        if not request.is_transfer():
            return True
        free_bytes = self.settings.node_transfer_bytes - server.transfer_bytes
        return server.transfers < self.settings.node_transfers and request.buffered_bytes <= free_bytes

    def priority_level(self, now: float, spec: RequestClass, tenant: int) -> int:
        """Returns the level for load shedding and uses up quota: 1 and 2 are never shed, 4 is shed first."""
        worth = spec.worth / self.best_worth
        if tenant < len(self.quota_tokens):
            rate = self.settings.quotas[tenant] * self.traffic_fraction  # of the quota of all proxies
            tokens = self.quota_tokens[tenant] + (now - self.quota_refilled_at[tenant]) * rate / 1000
            tokens = min(tokens, max(rate * QUOTA_BURST_S, QUOTA_BURST_MIN_REQUESTS))
            self.quota_refilled_at[tenant] = now
            if tokens >= 1:
                tokens -= 1
            else:
                worth *= self.settings.over_share_worth
            self.quota_tokens[tenant] = tokens
        return 1 + sum(worth < bound for bound in LEVEL_WORTH_BOUNDS)

    def enqueue(self, request: Request, at_front: bool) -> None:
        """Queues a request and sets the time until which sending it is useful."""
        request.is_queued, pending = True, request.queue.pending
        (pending.appendleft if at_front else pending.append)(request)
        # A request sent later than this would be answered too late. The time reserved for the response is at
        # most half the target: with an estimated latency above the target nothing would be sent, and the
        # estimate could never be updated.
        reserved = self.ordinary_latency(request)
        request.send_by = min(
            request.useful_until - reserved,
            request.deadline - HOUSEKEEPING_INTERVAL_MS - 2 * self.settings.tick_ms,
        )
        if not request.attempts:
            unsent_until = request.arrived_at + UNSENT_WAIT_FRACTION * (request.deadline - request.arrived_at)
            request.send_by = min(request.send_by, unsent_until)
        self.schedule(min(request.send_by, request.target_deadline - reserved), request)

    def ordinary_latency(self, request: Request) -> float:
        """Returns an upper bound on the latency of most attempts of the class: mean and some deviations.

        It is at most half the latency target.
        """
        mean, deviation = self.class_latency[request.cls]
        return min(mean + ORDINARY_LATENCY_DEVIATIONS * deviation, request.queue.target_ms / 2)

    def on_outcome(self, now: float, event: Outcome) -> None:
        """Ends an attempt, learns from it, and finishes or retries its request."""
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open, attempt.may_have_run = False, event.result not in NEVER_RAN
        request.open_attempts -= 1
        latency = (
            event.latency_ms
            if attempt.forwarded_at == attempt.sent_at
            else max(now - attempt.forwarded_at, 0.0)
        )
        # An abandoned attempt also counts as ended at its server, which stops its work when the connection
        # closes.
        self.remove_attempt(request, attempt, latency)
        if attempt.response_started:
            self.observe_transfer_end(now, attempt.server, event.result, attempt.response_started)
        elif attempt.forwarded_at < inf:
            self.observe_outcome(now, request, attempt, event.result, latency)
        else:  # the server did not get the whole body
            self.observe_transfer_end(now, attempt.server, event.result, attempt.response_started)
            request.start_response_clock(now, now)  # the time so far was the upload's
        if event.finished or request.finished:
            if not request.finished:
                self.cancel_other_attempts(request)
            self.finish(request)
            return
        if request.open_attempts == 0:
            self.retry_or_end(now, request, event.result)

    def cancel_other_attempts(self, request: Request) -> None:
        """Cancels the attempts without a response, now that another attempt has brought one."""
        if self.settings.may_cancel:
            others = [n for n, a in enumerate(request.attempts) if a.open and not a.response_started]
            self.actions.extend(Cancel(request.id, n) for n in others)

    def add_attempt(self, request: Request, attempt: Attempt) -> None:
        """Counts an attempt in its present state: executing at its server, or a transfer."""
        server = attempt.server
        if attempt.executing:
            self.in_flight += 1
            server.inflight += 1
            server.peak_inflight = max(server.peak_inflight, server.inflight)
        else:
            self.count_transfer(request, server, 1)

    def remove_attempt(self, request: Request, attempt: Attempt, latency: float) -> None:
        """Reverses `add_attempt`; an executing attempt uses up `latency` ms of the total limit's credit."""
        if attempt.executing:
            self.in_flight -= 1
            self.credit_ms -= latency
            attempt.server.inflight -= 1
        else:
            self.count_transfer(request, attempt.server, -1)

    def count_transfer(self, request: Request, server: Server, sign: int) -> None:
        server.transfers += sign
        server.transfer_bytes += sign * request.buffered_bytes
        self.transfers += sign
        self.transfer_bytes += sign * request.buffered_bytes

    def observe_transfer_end(
        self, now: float, server: Server, result: Result, response_started: bool
    ) -> None:
        """Learns from the end of a transfer whether the server works; it says nothing about latency."""
        if result is Result.OK:
            server.consecutive_failures, server.ejection_ms = 0, EJECTION_MS_RANGE[0]
        elif result in (Result.RESET, Result.TIMEOUT, Result.CONNECT_FAILED, Result.FULL):
            server.recent_outcomes = min(server.recent_outcomes + 1, 1 / REWARD_SMOOTHING)
            self.recent_outcomes += 1
            # The failure of a started response counts twice, since its start was counted as a success.
            server.reward *= (1 - REWARD_SMOOTHING) ** (2 if response_started else 1)
            self.record_failure(now, server)

    def observe_outcome(
        self, now: float, request: Request, attempt: Attempt, result: Result, latency: float
    ) -> None:
        """Updates all statistics from the end of an execution, which took `latency` ms."""
        server = attempt.server
        # A latency of 0, below the resolution of the clock, must not become a divisor.
        latency = max(latency, 0.001)
        if result in ABANDONED:
            # Abandoned attempts count too. With responses alone, which are the faster attempts, the estimate
            # would fall, and each abandoned attempt would let the next request be sent even later.
            ordinary = self.ordinary_latency(request)
            self.observe_class_latency(request.cls, latency)
            if latency < ordinary:
                return  # abandoned before most responses would have come: says nothing about the server
        if result in (Result.CANCELLED, Result.NOT_SENT, Result.NO_ROOM, Result.INVALID):
            return  # caused by this proxy or by the client
        server.recent_outcomes = min(server.recent_outcomes + 1, 1 / REWARD_SMOOTHING)
        self.recent_outcomes += 1
        # The latency target counts from the send here: the server did not cause the time in this proxy's
        # queue.
        on_time = result is Result.OK and latency <= request.queue.target_ms
        if self.uses_subset:
            self.adjust_total_limit(request, server, result, latency)
        # In a large tier a proxy sees few outcomes of a server, so each counts for more; otherwise the
        # rewards of the servers would hardly differ. `large_tier` is 1 or 0 here.
        smoothing = max(REWARD_SMOOTHING, self.large_tier / (1 + server.recent_outcomes))
        server.reward += ((1.0 if on_time else 0.0) - server.reward) * smoothing
        if result is Result.OK:
            server.silent_since = server.last_success_at = now
            server.peer_ejected_until = 0.0
            self.update_restart_suspicion(
                now, server, latency <= WARM_EVIDENCE_LATENCIES * self.class_base_latency[request.cls]
            )
            if not attempt.response_started:  # otherwise the end of the response will tell
                server.consecutive_failures, server.ejection_ms = 0, EJECTION_MS_RANGE[0]
            server.responses_this_second += 1
            queue = request.queue
            queue.latency = smoothed(queue.latency, latency)
            class_mean = self.observe_class_latency(request.cls, latency)
            self.overall_latency = smoothed(self.overall_latency, latency)
            fraction_of_target = min(latency / queue.target_ms, 1.0)
            if not self.uses_subset:
                self.observe_congestion(fraction_of_target)
            # Classes differ in work. Scaled to the mean of all, a run of long requests is no congestion.
            server.observe_latency(latency * self.overall_latency / class_mean, fraction_of_target)
            return
        if result in (Result.FULL, Result.TIMEOUT):
            server.cut_limit(OVERLOAD_FAILURE_LIMIT_FACTOR)
        self.record_failure(now, server, self.large_tier and result is Result.CONNECT_FAILED)

    def update_restart_suspicion(self, now: float, server: Server, quick: bool) -> None:
        """Starts or ends the suspicion, on a response of the server, that the server has restarted.

        After an outage it may have restarted although no list has reported that yet. In a large tier it is
        then treated as cold until it responds as quickly as others, or until a list would have reported the
        restart.
        """
        if server.restart_suspected_until > now:
            server.quick_responses += quick
            if server.quick_responses >= WARM_EVIDENCE_RESPONSES:
                server.restart_suspected_until = 0.0
        elif (
            self.large_tier
            and server.consecutive_failures >= EJECTION_FAILURES
            and now - server.first_failure_at >= SUSPECTED_RESTART_OUTAGE_MS
        ):
            server.restart_suspected_until, server.quick_responses = now + SUSPECTED_RESTART_MS, int(quick)

    def record_failure(self, now: float, server: Server, certain: bool = False) -> None:
        """Counts a failure and ejects the server after EJECTION_FAILURES consecutive ones.

        `certain`: one failure is enough. A server that accepts no connection serves no client, and if each
        proxy of a large tier needed three failures to see it, a server that is gone would cost a hundred
        attempts.
        """
        server.last_failure_at = now
        if not server.consecutive_failures:
            server.first_failure_at = now
        server.consecutive_failures = EJECTION_FAILURES if certain else server.consecutive_failures + 1
        if server.consecutive_failures >= EJECTION_FAILURES and server.ejected_until <= now:
            self.eject(now, server, certain)

    def observe_congestion(self, fraction_of_target: float) -> None:
        """Cuts the limits of all servers when the latency of all of them together shows congestion.

        One of several proxies sees too few responses of each server to cut the limits in time.
        """
        self.latency_to_target += (fraction_of_target - self.latency_to_target) * LATENCY_SMOOTHING
        self.latency_samples += 1
        if self.latency_samples >= max(1 / LATENCY_SMOOTHING, sum(s.limit for s in self.active)):
            self.latency_samples = 0
            for server in self.active if self.latency_to_target > CONGESTED_MEAN_FRACTION else ():
                server.cut_limit(CONGESTION_LIMIT_FACTOR)

    def adjust_total_limit(self, request: Request, server: Server, result: Result, latency: float) -> None:
        """Raises or lowers the limit on all requests of this proxy in flight.

        A proxy of a large tier has less than one request at each server. Only a limit on all its requests in
        flight can follow the load, and only the outcomes of all servers together are enough to adapt it.
        """
        congested_from = min(
            CONGESTED_BASE_LATENCIES * (self.class_base_latency[request.cls] or 1e9),
            CONGESTED_TARGET_FRACTION * request.queue.target_ms,
        )
        if result in (Result.FULL, Result.TIMEOUT) or latency > congested_from:
            if server.reward > self.usual_reward() / 2:  # a failing server says nothing about the others
                self.total_limit = max(TOTAL_LIMIT_MIN, self.total_limit * (1 - TOTAL_LIMIT_DECREASE))
        elif result is Result.OK and self.total_limit < 2 + 2 * self.in_flight:
            self.total_limit += TOTAL_LIMIT_INCREASE * sqrt(self.total_limit)

    def observe_class_latency(self, cls: int, latency: float) -> float:
        """Updates the mean, deviation and base of the class's latency and returns the mean."""
        mean, deviation = self.class_latency[cls]
        deviation = deviation + (abs(latency - mean) - deviation) * LATENCY_SMOOTHING if mean else latency / 2
        mean = smoothed(mean, latency)
        self.class_latency[cls] = (mean, deviation)
        base = self.class_base_latency[cls] or mean
        self.class_base_latency[cls] = min(base + (mean - base) * BASE_LATENCY_DRIFT, mean)
        return mean

    def eject(self, now: float, server: Server, certain: bool) -> None:
        """Ejects a server, or resets its failures if it is not an outlier.

        If all servers are slow, this one is not the cause: at most half of them are ejected at a time, and
        none with an ordinary reward unless `certain`.
        """
        others = sum(
            1 for s in self.active if s.consecutive_failures >= EJECTION_FAILURES and s is not server
        )
        ordinary = not certain and server.reward > self.usual_reward() / 2
        if 2 * (others + 1) > len(self.active) or ordinary:
            server.consecutive_failures = 0
            return
        server.ejected_until = now + server.ejection_ms * self.rng.uniform(0.75, 1.25)
        server.ejection_ms = min(2 * server.ejection_ms, EJECTION_MS_RANGE[1])
        self.actions.append(Log(f"ejected {server.id}: {server.consecutive_failures} failures in a row"))

    def usual_reward(self) -> float:
        """Returns the mean reward of the preferred servers."""
        return sum(s.reward for s in self.preferred) / max(len(self.preferred), 1)

    def retry_or_end(self, now: float, request: Request, result: Result) -> None:
        """Retries, refuses or fails a request whose last open attempt has failed."""
        spec, executed = request.spec, request.first_execution()
        if result in (Result.NOT_SENT, Result.INVALID) or not self.may_retry(now, request):
            self.end_request(request, EndReason.NOT_RETRIED)
        elif executed is None:
            self.enqueue(request, True)
        elif self.retry_budget < 1:
            self.end_request(request, EndReason.RETRY_BUDGET)
        elif spec.effect is Effect.SAFE:
            self.retry_budget -= 1
            self.enqueue(request, True)
        else:
            self.retry_budget -= 1
            request.is_queued = True
            self.scoped_retries.append(request)
            usual_latency = min(self.class_latency[request.cls][0], spec.aim_ms / 2)
            request.send_by = min(
                request.useful_until - usual_latency,
                executed.sent_at + spec.window_ms - HOUSEKEEPING_INTERVAL_MS,
            )
            self.schedule(request.send_by, request)

    def send_scoped_retries(self, now: float) -> None:
        """Sends the retries of keyed requests within their idempotency scope, once it has capacity."""
        queued, self.scoped_retries = self.scoped_retries, []
        for request in queued:
            executed = request.first_execution()
            if not request.is_queued or executed is None:
                continue
            candidates = self.scope_candidates(now, request, executed)
            if candidates and now < request.send_by:
                request.is_queued = False
                self.send(now, request, self.pick(request, candidates))
            else:
                self.scoped_retries.append(request)

    def end_request(self, request: Request, reason: EndReason) -> None:
        """Gives the final answer to a request that will not be sent again."""
        if self.settings.refuse_unsent and request.first_execution() is None:
            self.refuse(request, reason)
            return
        self.actions.append(Fail(request.id, reason))
        self.finish(request)

    def refuse(self, request: Request, reason: EndReason, limit_wait_ms: float = 0.0) -> None:
        """Refuses a request and advises the client when to retry.

        That is when the rate limit that rejected it has a token (`limit_wait_ms`), or else the time over
        which the low levels are readmitted.
        """
        wait = min(
            limit_wait_ms or request.queue.readmission_span * request.queue.target_ms,
            self.settings.max_retry_after_ms,
        )
        self.expected_retries = min(
            self.expected_retries + EXPECTED_RETRIES_PER_REJECTION, EXPECTED_RETRIES_MAX
        )
        self.actions.append(Refuse(request.id, wait if self.settings.retry_after else 0.0, reason))
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Marks a request as finished; it is kept only until its open attempts have ended."""
        request.finished, request.is_queued = True, False
        if request.open_attempts == 0:
            del self.requests[request.id]

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        if (request := self.requests.get(event.request)) is None:
            return
        self.expected_retries = min(
            self.expected_retries + EXPECTED_RETRIES_PER_REJECTION, EXPECTED_RETRIES_MAX
        )
        if self.settings.may_cancel:
            self.actions.extend(Cancel(request.id, n) for n, a in enumerate(request.attempts) if a.open)
        self.finish(request)

    def open_attempt(self, request_id: str, number: int) -> tuple[Request, Attempt] | None:
        """Returns the request and its attempt, or None if the attempt is unknown or has ended."""
        request = self.requests.get(request_id)
        if request is None or number >= len(request.attempts) or not request.attempts[number].open:
            return None
        return request, request.attempts[number]

    def on_body_forwarded(self, now: float, event: BodyForwarded) -> None:
        """Starts the execution of an attempt and its timeout, whether or not the server has capacity left."""
        found = self.open_attempt(event.request, event.attempt)
        if found is None or found[1].forwarded_at < inf:
            return
        request, attempt = found
        attempt.forwarded_at = now
        request.uploading = False
        if not attempt.response_started:
            self.remove_attempt(request, attempt, 0.0)
            attempt.executing = True
            if attempt.server.inflight == 0:
                attempt.server.silent_since = now
            self.add_attempt(request, attempt)
        if not request.finished:
            request.start_response_clock(now, now)
            self.actions.append(
                SetAttemptTimeout(request.id, event.attempt, self.attempt_timeout_ms(now, request))
            )

    def on_response_started(self, now: float, event: ResponseStarted) -> None:
        """Ends the execution of an attempt and starts the transfer of its response."""
        found = self.open_attempt(event.request, event.attempt)
        if found is None or found[1].response_started:
            return
        request, attempt = found
        request.streaming, request.is_queued = True, False
        attempt.response_started = True
        self.cancel_other_attempts(request)
        if attempt.executing:
            self.remove_attempt(request, attempt, event.latency_ms)
            attempt.executing = False
            self.add_attempt(request, attempt)
            self.observe_outcome(now, request, attempt, event.result, event.latency_ms)

    def on_list(self, now: float, event: ServerList) -> None:
        """Applies a server list, or schedules the next call after a failed one."""
        if event.kind is ListKind.FAILED:
            self.watch_failures += 1
            # Hundreds of proxies must not call at once. Still, the delay has a bound however often calls
            # fail: the next answer has to arrive before the proxy is expected to know the list.
            first_delay, longest_delay = WATCH_RETRY_MS_RANGE
            least_delay = WATCH_RETRY_MS_PER_PROXY * self.settings.proxies
            delay = max(first_delay * 2.0 ** min(self.watch_failures - 1, 10), least_delay)
            delay = min(delay, self.settings.must_ask_ms / 2, longest_delay)
            if now < self.discovery_changed_at + DISCOVERY_CHANGE_MS and not self.large_tier:
                delay = DISCOVERY_CHANGE_RETRY_MAX_MS
            self.watch_at = now + delay * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.SAVED:
            self.watch_failures, self.watch_at, self.discovery_changed_at = 0, None, -inf
            self.first_change_at = None
        if event.kind is not ListKind.DELTA:
            listed = {e.server for e in event.entries}
            for name in [name for name in self.servers if name not in listed]:
                self.servers[name].state = ServerState.GONE
                del self.servers[name]
        for entry in event.entries:
            self.on_entry(now, entry)
        before, self.active = self.active, [s for s in self.servers.values() if s.state is ServerState.ACTIVE]
        self.update_sizes(self.active != before)
        if self.large_tier and self.settings.weights_report_load and event.kind is not ListKind.SAVED:
            self.update_key_shares(now)
        if not self.preferred:
            self.total_limit = max(TOTAL_LIMIT_MIN, INITIAL_LIMIT * len(self.active) / self.settings.proxies)
        self.choose_preferred(now)

    def update_sizes(self, changed: bool) -> None:
        """Sets the size of each server, by which keys are placed, and drops the cached rankings on a change.

        Where weights report load, the size is the largest weight without load that any server of the same
        kind has shown. So it is the same at every proxy shortly after the proxies have started.
        """
        largest: dict[int, float] = {}
        for s in self.active:
            largest[s.kind] = max(s.nominal_weight, largest.get(s.kind, 0.0))
        for s in self.active:
            size = largest[s.kind] if self.settings.weights_report_load else s.nominal_weight
            changed, s.size = changed or size != s.size, size
        if changed:
            self.rankings.clear()

    def update_key_shares(self, now: float) -> None:
        """Moves keys away from servers whose reported load is above the mean.

        A weight reports load as: nominal weight / (1 + requests per core). A proxy of a large tier sees too
        little of a server to measure its load. All proxies get the same reports and change the shares alike,
        so each report changes them only a little.
        """
        for s in self.active:
            s.load += (s.nominal_weight / s.weight - 1 - s.load) * LOAD_SMOOTHING
        # Cold servers have few requests by design.
        warm_loads = [s.load for s in self.active if s.cold_until <= now]
        mean = 1 + sum(warm_loads) / max(len(warm_loads), 1)
        for s in self.active:
            s.key_share = min(
                1.0, max(KEY_SHARE_MIN, s.key_share * (mean / (1 + s.load)) ** KEY_SHARE_EXPONENT)
            )
        self.update_limit_scale()

    def update_limit_scale(self) -> None:
        """Scales this proxy's limits by its fraction of the traffic, which is split unevenly over the tier.

        With a limit for an even share, a proxy with more traffic would queue requests while servers are idle
        and other proxies leave their limits unused. Its fraction is its number of requests in flight divided
        by the number that the servers report, so the limits of all proxies together are reached only when the
        servers have as many requests as all proxies may send.
        """
        mean_load = sum(s.load for s in self.active) / max(len(self.active), 1)
        even_share = sum(s.limit for s in self.active)
        share = MIN_LIMIT_LARGE_TIER * self.mean_in_flight / max(mean_load, 1.0)
        self.limit_scale = min(max(share / max(even_share, 0.001), 1.0), LIMIT_SCALE_MAX)

    def on_discovery_service_changed(self, now: float) -> None:
        """Forgets the failures of the old list service and subscribes to the new one.

        The drains that the new service lists count as known after DISCOVERY_CHANGE_MS.
        """
        self.watch_failures, self.discovery_changed_at = 0, now
        if self.first_change_at is None:
            self.first_change_at = now
        # All proxies are notified at once. Unstaggered, most of their calls would time out and be repeated.
        if self.large_tier:
            # Counted from the first change: a series of them must not put the call off for ever.
            self.watch_at = max(now, self.first_change_at + self.watch_stagger_ms())
            return
        self.watch_at = now + self.settings.must_ask_ms / 2  # if the call brings no answer
        self.actions.append(Watch())

    def watch_stagger_ms(self) -> float:
        """Returns the delay of this proxy's call to the list service when all proxies call it."""
        proxies, me = self.settings.proxies, self.settings.me
        span = min(WATCH_STAGGER_MS * proxies, WATCH_STAGGER_MAX_MS, self.settings.must_ask_ms / 2)
        return span * (me % proxies + self.rng.random()) / proxies

    def on_tier_membership(self, now: float, event: TierMembership) -> None:
        """Scales this proxy's shares of all common limits to a new number of proxies; all statistics stay."""
        before = self.settings
        self.settings = settings = replace(before, proxies=max(event.proxies, 1), me=event.me)
        self.large_tier = settings.proxies > INITIAL_LIMIT
        self.uses_subset = self.large_tier and not settings.key_affinity
        factor = before.proxies / settings.proxies
        for server in self.servers.values():
            server.proxies, server.limit = settings.proxies, server.limit * factor
            server.rank = rendezvous_hash(settings.me + 1, server)
        self.total_limit *= factor
        self.quota_tokens = [tokens * factor for tokens in self.quota_tokens]
        self.traffic_fraction = min(1.0, max(self.traffic_fraction * factor, 1 / settings.proxies))
        self.choose_preferred(now)

    def choose_preferred(self, now: float) -> None:
        """Chooses the servers that this proxy sends to: all active ones, or a subset by rendezvous hash.

        The subset grows with the traffic. On few servers the statistics are soon meaningful, and each server
        has few connections. Cold servers belong to it only in the proxy's own zone, because their slow-start
        budget is a fraction of the load there.
        """
        self.preferred = self.active
        self.preferred_per_zone = len(self.active)
        if self.uses_subset:
            zone, size = self.settings.zone, max(PREFERRED_SERVERS, int(self.total_limit + 1))
            ranked = sorted(self.active, key=lambda s: s.rank)
            local = [s for s in ranked if s.zone == zone][:size]
            remote = [s for s in ranked if s.zone != zone and s.cold_until <= now][:size]
            self.preferred, self.preferred_per_zone = local + remote, size
            self.min_server_limit = max(1.0, self.total_limit / max(len(local), 1))

    def on_entry(self, now: float, entry: ServerInfo) -> None:
        """Adds, updates or removes a server by its entry; a restarted server starts cold."""
        server = self.servers.get(entry.server)
        if server is None:
            if entry.state is ServerState.GONE:
                return
            server = self.servers[entry.server] = Server(entry, self.settings.proxies)
            server.rank = rendezvous_hash(self.settings.me + 1, server)
        server.state, server.zone, server.kind, server.cell = entry.state, entry.zone, entry.kind, entry.cell
        server.weight = entry.weight if entry.weight > 0.01 else 0.01  # 0.01 also for NaN
        server.nominal_weight = max(server.nominal_weight, server.weight)
        if entry.state is ServerState.GONE:
            del self.servers[entry.server]
            return
        if entry.started != server.started:
            server.reset()
            server.started = entry.started
            if entry.started is not None and entry.started + self.settings.cold_ms > now:
                server.cold_until = entry.started + self.settings.cold_ms
                server.limit = min(1.0, server.limit)
                server.slow_start_tokens = 0.0

    def on_tick(self, now: float) -> None:
        """Does the periodic housekeeping and sets the timer for the next tick."""
        self.actions.append(SetTimer(HOUSEKEEPING_INTERVAL_MS, 0))
        self.run_timers(now)
        self.cold_servers = [s for s in self.preferred if s.is_cold(now)]
        for server in self.cold_servers:
            self.refill_slow_start(now, server)
        self.tick_at = now
        self.mean_in_flight += (self.in_flight - self.mean_in_flight) * IN_FLIGHT_SMOOTHING
        if self.watch_at is not None and now >= self.watch_at:
            self.actions.append(Watch())
            # If the call brings no answer, call again before this proxy is expected to know the list.
            self.watch_at = now + self.settings.must_ask_ms / 2
        if now - self.second_at >= 1000:
            self.every_second(now)

    def run_timers(self, now: float) -> None:
        """Handles the due timers of queued requests and of requests that may be hedged."""
        while self.timers and self.timers[0][0] <= now:
            request = heappop(self.timers)[2]
            if request.is_queued:
                self.on_queue_timer(now, request)
            elif request.open_attempts == 1 and not request.finished and now >= request.hedge_at:
                self.hedge(now, request)

    def may_hedge(self, request: Request) -> bool:
        """Whether a hedged request may run beside the first attempt.

        It needs servers that drop duplicates and a large tier, where a proxy can't know which of the servers
        are full. In a small tier a proxy does know, and a hedged request would only add load.
        """
        keyed = request.spec.effect is Effect.KEYED and not request.is_transfer()
        return keyed and self.large_tier and self.settings.may_duplicate and self.settings.may_cancel

    def hedge(self, now: float, request: Request) -> None:
        """Sends a hedged request in the same idempotency scope when the first attempt is unusually slow.

        It uses the retry budget and is not sent while any request is queued: under overload it would take the
        capacity of a first attempt.
        """
        if self.retry_budget < 1 or request.streaming or not self.may_retry(now, request):
            return
        executed = request.first_execution()
        if executed is None or any(queue.head() is not None for queue in self.queues):
            return
        if candidates := self.scope_candidates(now, request, executed):
            self.retry_budget -= 1
            self.send(now, request, self.pick(request, candidates))
        else:
            self.schedule(now + 2 * HOUSEKEEPING_INTERVAL_MS, request)

    def scope_candidates(self, now: float, request: Request, executed: Attempt) -> list[Server]:
        """Returns the ready servers in the scope of an executed attempt that don't have the request now."""
        scope = [s for s in self.active if in_same_scope(request.spec.scope, s, executed)]
        in_use = [a.server for a in request.attempts if a.open]
        scope = [s for s in scope if s not in in_use and s.has_capacity(now, self.min_server_limit)]
        return [
            s
            for s in scope
            if not (self.large_tier and s.is_cold(now)) or request.slow_start_draw < s.slow_start_fraction
        ]

    def schedule(self, when: float, request: Request) -> None:
        self.timer_sequence += 1
        heappush(self.timers, (when, self.timer_sequence, request))

    def on_queue_timer(self, now: float, request: Request) -> None:
        """Ends a queued request that can no longer meet its latency target.

        If a late response has a worth, the request stays queued while there is no overload. Under overload it
        would take the capacity of a request that can still be on time.
        """
        if request.queue.overload_ratio(now) > 1 or now >= request.send_by:
            self.end_request(request, EndReason.QUEUE_TIMEOUT if self.active else EndReason.NO_SERVER)
        else:
            self.schedule(min(now + 2 * HOUSEKEEPING_INTERVAL_MS, request.send_by), request)

    def may_retry(self, now: float, request: Request) -> bool:
        """Whether another attempt is permitted by the effect of the class and still useful."""
        spec, executed = request.spec, request.first_execution()
        usual_latency = min(self.class_latency[request.cls][0], spec.aim_ms / 2)
        if request.body_discarded or len(request.attempts) >= self.settings.max_attempts:
            return False
        if now + usual_latency > request.useful_until:
            return False
        if executed is None or spec.effect is Effect.SAFE:
            return True
        return (
            spec.effect is Effect.KEYED
            and now + 2 * self.settings.tick_ms < executed.sent_at + spec.window_ms
        )

    def every_second(self, now: float) -> None:
        """Decays the counts and updates the rates that are kept per second."""
        seconds, self.second_at = (now - self.second_at) / 1000, now
        self.recent_outcomes = 1 + self.recent_outcomes * OUTCOME_DECAY_PER_S
        self.expected_retries *= OUTCOME_DECAY_PER_S
        self.key_count_total *= KEY_COUNT_DECAY_PER_S
        self.key_counts = {
            key: n * KEY_COUNT_DECAY_PER_S for key, n in self.key_counts.items() if n > KEY_COUNT_MIN
        }
        self.update_traffic_fraction(seconds)
        rate = self.admitted / seconds
        self.admission_rate += (rate - self.admission_rate) * (USAGE_SMOOTHING if self.admission_rate else 1)
        self.admitted = 0
        self.update_cold_traffic(now)
        warm: dict[int, list[Server]] = {}
        self.choose_preferred(now)
        usual = self.usual_reward()
        for server in self.active:
            server.recent_outcomes *= OUTCOME_DECAY_PER_S
            # Without recovery, under light load a server that once failed would never be chosen again.
            if server.recent_outcomes < 1:
                server.reward += max(usual - server.reward, 0.0) * (
                    REWARD_RECOVERY_PER_S if self.large_tier else 1
                )
            rate = server.responses_this_second / seconds
            # In a large tier the first second counts in full.
            server.response_rate, server.responses_this_second = (
                (server.response_rate + rate) / 2 if self.warm_rate or not self.large_tier else rate,
                0,
            )
            observed = not self.uses_subset or (
                server.zone == self.settings.zone and server in self.preferred
            )
            # A proxy of a large tier has not used most servers yet: counting only those that it has used
            # would overstate the rate of the others.
            counted = server.latency or (self.large_tier and not server.consecutive_failures)
            if not server.is_cold(now) and counted and observed:
                warm.setdefault(server.kind, []).append(server)
        # The faster half of the servers shows the capacity of their kind: slow and ejected ones would hide
        # it. In a large tier the counts are mostly 0 or 1, and the mean of that half would be twice the real
        # rate. The rates decay slowly, for times when a release leaves no warm server to observe.
        before = self.warm_rate
        self.warm_rate = {kind: rate * WARM_RATE_DECAY_PER_S for kind, rate in self.warm_rate.items()}
        for kind, servers in warm.items():
            rates = sorted(s.response_rate for s in servers)
            counted_rates = rates if self.large_tier else rates[len(rates) // 2 :]
            mean = sum(counted_rates) / len(counted_rates)
            # The larger of two noisy means is biased upwards, so a large tier smooths the rate instead.
            previous = before.get(kind, mean)
            smoothed_rate = previous + (mean - previous) * USAGE_SMOOTHING
            self.warm_rate[kind] = (
                smoothed_rate if self.large_tier else max(self.warm_rate.get(kind, 0.0), mean)
            )
            base_latencies = [s.base_latency for s in servers if s.latency]
            self.warm_base_latency[kind] = sum(base_latencies) / max(len(base_latencies), 1)

    def update_traffic_fraction(self, seconds: float) -> None:
        """Estimates this proxy's fraction of the tier's traffic from the tenants' usage.

        Traffic is seldom split evenly. A proxy that is alone in its zone would judge all tenants to be over
        their quota. So the median tenant is assumed to keep to its quota, if that makes the fraction larger
        than 1 / proxies.
        """
        for tenant, quota in enumerate(self.settings.quotas):
            usage = self.tenant_arrivals[tenant] / seconds / max(quota, 0.001)
            self.tenant_usage[tenant] += (usage - self.tenant_usage[tenant]) * USAGE_SMOOTHING
            self.tenant_arrivals[tenant] = 0
        if len(self.tenant_usage) > 1 and self.settings.zones > 1:
            # At most the fraction of a whole zone: in a flood the median tenant is over its quota, too.
            median = min(
                sorted(self.tenant_usage)[(len(self.tenant_usage) - 1) // 2], 1 / self.settings.zones
            )
            self.traffic_fraction = max(median, 1 / self.settings.proxies)

    def update_cold_traffic(self, now: float) -> None:
        """Estimates for each cold server the fraction of admitted requests that it would get if it were warm.

        That is an even share of all keys but the popular ones, and its share of each popular key's arrivals.
        """
        cold = {s for s in self.active if s.is_cold(now)}
        self.cold_traffic = {}
        if not (cold and self.large_tier and self.key_count_total):
            return
        popular = {
            key: n / self.key_count_total for key, n in self.key_counts.items() if n >= POPULAR_KEY_MIN_COUNT
        }
        even_share = (1 - sum(popular.values())) / len(self.active)
        self.cold_traffic = dict.fromkeys(cold, even_share)
        for key, fraction in popular.items():
            ranked = self.ranking(key)[: self.ranking_width(key)]
            for server in cold.intersection(ranked):
                self.cold_traffic[server] += fraction / len(ranked)

    def refill_slow_start(self, now: float, server: Server) -> None:
        """Sets the slow-start budget of a cold server to a fraction of what this proxy sends to a warm one.

        The warm load of all proxies together is below a server's capacity. So the sum of their budgets is
        below the `fall_multiple` of a cold server's capacity, however the traffic is split.
        """
        settings = self.settings
        warmed = max(0.0, 1 - (server.cold_until - now) / max(settings.cold_ms, 1.0))
        suspected = server.restart_suspected_until > now  # the statistics may be of the previous process
        fraction = settings.start_capacity + (1 - settings.start_capacity) * (0.0 if suspected else warmed)
        if (
            server.responses * LATENCY_SMOOTHING >= 1
            and server.kind in self.warm_base_latency
            and not suspected
        ):
            # Its latency is known: compare it with the base latency of warm servers of its kind.
            fraction = max(fraction, min(1.0, self.warm_base_latency[server.kind] / server.latency))
        known_rates = (
            [self.warm_rate[server.kind]] if server.kind in self.warm_rate else self.warm_rate.values()
        )
        cold_rate = min(known_rates, default=0.0) * fraction / 1000  # requests per ms
        if not self.large_tier:
            # With nothing observed yet: one request in `fall_ms`.
            rate = max(
                cold_rate * min(SLOW_START_LOAD_FACTOR, settings.fall_multiple / 2), 1 / settings.fall_ms
            )
            burst = max(1.0, rate * settings.fall_ms / 4)
            server.slow_start_tokens = min(burst, server.slow_start_tokens + rate * (now - self.tick_at))
            return
        # Saved tokens of many proxies would all be spent at once when the other servers are full. So a cold
        # server receives a fraction of the traffic that a warm one in its place would get, and nothing else.
        # Arrivals are random: their mean and some deviations have to fit into one window's budget of all
        # proxies that send to this server.
        sharers = max(1.0, settings.proxies * self.preferred_per_zone / max(len(self.active), 1))
        window = settings.fall_ms * sharers
        budget = settings.fall_multiple * cold_rate * window
        fitting = (sqrt(budget + SLOW_START_DEVIATIONS**2 / 4) - SLOW_START_DEVIATIONS / 2) ** 2
        load_factor = SLOW_START_LOAD_FACTOR_LARGE_TIER * min(
            1.0, sqrt(SLOW_START_FACTOR_PROXIES / settings.proxies)
        )
        # With nothing observed yet: one request in a window.
        rate = max(min(load_factor * cold_rate, fitting / window), 1 / window)
        warm_traffic = (
            self.admission_rate * self.cold_traffic.get(server, 1 / max(len(self.preferred), 1)) / 1000
        )
        server.slow_start_fraction = min(1.0, rate * server.key_share / warm_traffic) if warm_traffic else 0.0

    # 2. Dispatch

    def dispatch(self, now: float) -> None:
        """Sends queued requests while ready servers and the limits have capacity."""
        heads = [(q, h) for q in self.queues if (h := q.head()) is not None]
        if not heads:
            return
        ready = [
            s
            for s in self.preferred
            if s.has_capacity(now, self.min_server_limit) and not (self.large_tier and s.is_cold(now))
        ]
        if not ready and self.uses_subset:  # no request waits while any server is ready
            ready = [
                s for s in self.active if not s.is_cold(now) and s.has_capacity(now, self.min_server_limit)
            ]
        # In a tier of many proxies a limit may be below one request. One request at every server would be too
        # many, so the sum of the limits counts. Servers that hang must not use up that sum: a server that has
        # been silent for long takes nothing from the others.
        silent_before = now - HANG_LATENCIES * (self.overall_latency or self.queues[-1].target_ms)
        spare = self.refill_credit(now)
        if not self.uses_subset:
            limit_scale = self.limit_scale
            spare = sum(
                max(limit_scale * s.limit - s.inflight, -1.0 if s.silent_since > silent_before else 0.0)
                for s in self.preferred
            )
        while heads and ready and spare > 0:
            # The head that has waited the largest fraction of its latency target goes first. A shortage of
            # servers therefore delays all queues alike, and the overload detector of each queue sheds the
            # load of its own classes.
            queue, request = max(heads, key=lambda qh: (now - qh[1].arrived_at) / qh[0].target_ms)
            queue.pending.popleft()
            request.is_queued = False
            fitting = (
                ready if not request.is_transfer() else [s for s in ready if self.fits_transfer(request, s)]
            )
            if fitting:
                if not request.attempts:
                    queue.record_send(now, now - request.arrived_at)
                server = self.pick(request, fitting)
                spare -= not request.uploading
                self.send(now, request, server)
            else:  # no server fits: in the queue it would block requests that do fit
                self.end_request(request, EndReason.TRANSFER_LIMIT)
            if fitting and not server.has_capacity(now, self.min_server_limit):
                ready.remove(server)
            heads = [(q, h) for q in self.queues if (h := q.head()) is not None]

    def send_to_cold(self, now: float, request: Request) -> bool:
        """Sends the request at once if its home server is cold and has slow-start budget left.

        The home server is the one that its key, or a random choice, maps to. A cold server never gets a
        request of another home server, however full the others are.
        """
        if not self.cold_servers or request.is_transfer():
            return False
        home = self.home_server(request)
        if home is None or not home.is_cold(now) or not home.has_capacity(now, self.min_server_limit):
            return False
        if request.slow_start_draw >= home.slow_start_fraction or home.reward <= SLOW_START_MIN_REWARD:
            return False
        self.send(now, request, home)
        return True

    def home_server(self, request: Request) -> Server | None:
        """Draws the server that the request would be sent to if all had capacity."""
        key = request.key
        servers = self.preferred
        if self.settings.key_affinity and key is not None:
            servers = self.ranking(key)[: self.ranking_width(key)]
        return self.rng.choice(servers) if servers else None

    def refill_credit(self, now: float) -> float:
        """Refills the credit of the total limit and returns how many requests may be sent now.

        The total limit holds on average and not at each moment: with a limit near 1, two requests that arrive
        together must not wait for each other.
        """
        usual_latency = self.overall_latency or self.queues[0].target_ms / 4
        full = (TOTAL_LIMIT_BURST + self.total_limit) * usual_latency
        self.credit_ms = min(self.credit_ms + self.total_limit * (now - self.credit_at), full)
        self.credit_at = now
        return self.credit_ms / usual_latency - self.in_flight

    def pick(self, request: Request, candidates: list[Server]) -> Server:
        """Chooses one of the candidates: draws two of them and takes the one with the better score.

        With equal scores, the one with fewer requests in flight is taken. Servers that the request has not
        been sent to come first.
        """
        if request.attempts:
            tried = [a.server for a in request.attempts]
            candidates = [s for s in candidates if s not in tried] or candidates
        if len(candidates) == 1:
            return candidates[0]
        if self.settings.key_affinity and (key := request.key) is not None:
            a, b = self.draw_by_key(key, candidates)
        elif self.uses_subset:
            local = [s for s in candidates if s.zone == self.settings.zone]
            a = self.draw_by_weight(local or candidates)
            b = self.draw_by_weight([s for s in candidates if s is not a])
            # Crossing zones has a cost: neither a tie nor exploration justifies it.
            if b.zone != a.zone:
                return b if b.reward - self.score(a) > REWARD_TIE_MARGIN else a
        else:
            first = int(self.rng.random() * len(candidates))
            second = int(self.rng.random() * (len(candidates) - 1))
            a, b = candidates[first], candidates[second + (second >= first)]
        difference = self.score(a) - self.score(b)
        if abs(difference) < REWARD_TIE_MARGIN:
            return b if b.inflight < a.inflight else a
        return a if difference > 0 else b

    def draw_by_key(self, key: int, candidates: list[Server]) -> list[Server]:
        """Draws two servers that have probably received the key recently.

        Servers do less work for a key that they have received recently. So every proxy draws from the same
        first servers of the key's ranking, or from the next ones if those get more than they can handle.
        """
        fitting: list[Server] = []
        width = self.ranking_width(key)
        for s in self.ranking(key):
            if s in candidates and (s.key_share >= 1 or self.rng.random() < s.key_share):
                fitting.append(s)
                if len(fitting) == width:
                    break
        # Too few in the ranking: the same hash over all candidates, each weighted by its key share, so that
        # loaded servers still get less.
        if len(fitting) < 2:
            return nlargest(2, candidates, key=lambda s: self.placement_score(key, s) / s.key_share)
        return self.rng.sample(fitting, 2) if len(fitting) > 2 else fitting

    def ranking(self, key: int) -> list[Server]:
        """Returns the first RANKING_LENGTH servers of the key's rendezvous ranking, cached by key."""
        ranking = self.rankings.get(key)
        if ranking is None:
            if len(self.rankings) >= RANKING_CACHE_KEYS:
                del self.rankings[next(iter(self.rankings))]
            ranking = self.rankings[key] = nlargest(
                RANKING_LENGTH, self.active, key=lambda s: self.placement_score(key, s)
            )
        return ranking

    def ranking_width(self, key: int) -> int:
        """Returns from how many servers of its ranking the key is served.

        That is two, or as many as are needed for the key alone to load each of them no more than an average
        server. A proxy of a large tier sees a sample of the tier's arrivals, in which a single arrival of a
        key says nothing about the key.
        """
        fraction = max(self.key_counts.get(key, 0.0) - 1, 0.0) / max(self.key_count_total, 1.0)
        return max(2, min(1 + int(fraction * len(self.active)), RANKING_LENGTH))

    def placement_score(self, key: int, server: Server) -> float:
        """Weighted rendezvous hash: a server gets keys in proportion to its size, the same at every proxy."""
        return log((rendezvous_hash(key, server) + 0.5) / 2.0**64) / server.size

    def draw_by_weight(self, servers: list[Server]) -> Server:
        """Draws a server in proportion to its weight.

        With few requests in flight most comparisons end in a tie, which would load small servers like large
        ones.
        """
        remaining = self.rng.random() * sum(s.weight for s in servers)
        for server in servers:
            remaining -= server.weight
            if remaining < 0:
                break
        return server

    def score(self, server: Server) -> float:
        """Returns the upper confidence bound (UCB) of the server's reward."""
        return server.reward + EXPLORATION_WEIGHT * sqrt(
            log(1 + self.recent_outcomes) / (1 + server.recent_outcomes)
        )

    def send(self, now: float, request: Request, server: Server) -> None:
        """Sends an attempt and, for the first one, sets the time at which it may be hedged."""
        executed = request.first_execution() if request.attempts else None
        write_within_ms = inf
        if executed is not None and request.spec.effect is Effect.KEYED:
            write_within_ms = executed.sent_at + request.spec.window_ms - now
        attempt = Attempt(server, now, not request.uploading)
        request.attempts.append(attempt)
        request.open_attempts += 1
        if server.inflight == 0:
            server.silent_since = now
        self.add_attempt(request, attempt)
        if server.is_cold(now):
            server.slow_start_tokens -= not self.large_tier
        self.actions.append(
            Send(request.id, server.id, self.attempt_timeout_ms(now, request), write_within_ms)
        )
        if executed is None and self.may_hedge(request):
            request.hedge_at = now + (self.ordinary_latency(request) or request.queue.target_ms / 2)
            self.schedule(request.hedge_at, request)

    def attempt_timeout_ms(self, now: float, request: Request) -> float:
        """Returns how long an attempt that is sent now may take."""
        if request.uploading:  # the time for the response starts when the server has the whole request
            return max(request.client_deadline - now, 1.0)
        return max(min(request.useful_until - self.settings.tick_ms, request.deadline) - now, 1.0)


def smoothed(mean: float, value: float) -> float:
    """Returns the EWMA `mean` updated with `value`; a mean of 0 has no value yet and takes it in full."""
    return mean + (value - mean) * (LATENCY_SMOOTHING if mean else 1)


def rendezvous_hash(key: int, server: Server) -> int:
    """Highest-random-weight hash: the ranking of servers for a key is the same at every proxy.

    When a server leaves, the order of the others stays.
    """
    mixed = (key * 0x9E3779B97F4A7C15 ^ server.hash * 0xC2B2AE3D27D4EB4F) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 32


def in_same_scope(scope: Scope, a: Server, b: Attempt) -> bool:
    if scope is Scope.ALL:
        return True
    return a.zone == b.zone if scope is Scope.ZONE else a.cell == b.cell
