"""Every decision of the balancer. Its types, events and actions are in api.py.

Order of decisions, one call of `step` per batch of events:
  1. Events in order: arrivals are judged (admit or refuse), outcomes teach and may ask for another
     attempt, the list moves servers in and out, the beat expires, refills cold budgets and asks the list.
  2. Dispatch: while a buffer holds work and a ready server has room, the head that has waited the
     largest part of its aim goes first; the pick chooses its server.
Settings (unit, reason). All else comes from the deployment's settings or from what was observed.
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
    NEVER_RAN, Action, Arrival, BodyReceived, BodyDiscarded, BodyForwarded, Cancel, ClientDisconnected, Effect, Event, Fail, SetAttemptTimeout,
    ListKind, Log, Outcome, LimitAllocation, TierMembership, Refuse, RequestClass, Result, Scope, Send, ServerInfo, ServerList,
    ServerState, DiscoveryServiceChanged, SetTimer, Settings, Ejection, ResponseStarted, TimerFired, Watch,
)  # fmt: skip

BEAT_MS = 25.0  # ms between housekeeping rounds: expiry and recovery need no finer grain
WINDOW_OF_AIM = 0.5  # part of the aim: the detector's window, so a verdict comes while it still helps
WINDOW_SENDS = 8  # sends a window must hold: fewer say nothing, so a sparse window is stretched
WAIT_OF_SLACK = 0.08  # part of (aim - usual latency) that the least wait may take before the flag is set
RELEASE_AIMS = (0.5, 4.0)  # aims after the flag over which level 4 is let in again, shortest and longest
RELEASE_STRICT = 1.0  # aims: a longer release keeps level 4 out also while nothing waits
SOON = 0.5  # part of (release + 1) aims after the flag within which one that is back has come back soon
LEVELS = (0.75, 0.5, 0.25)  # worth relative to the best class: at or above is level 1, 2, 3; below is 4
OVER_BURST_S = 1.0  # s of quota that a tenant may use at once before it counts as beyond its share
USAGE_STEP = 0.3  # weight of one second in a tenant's usage: some seconds even out chance
PAYOFF_STEP = 0.1  # weight of one outcome in a server's payoff: the last ten or so count
BONUS = 0.2  # payoff given to a server with no recent outcomes per root of log total: re-tries the idle
PLAYS_KEEP = 0.8  # part of a server's outcome count kept each second: a verdict lasts ten seconds at most
TIE = 0.1  # payoffs closer than this are equal: one outcome moves a payoff by as much
SHORT_OF_AIM = 0.1  # part of the aim that a first try may lack: the way here takes some of a client's wait
AWAY_EACH, AWAY_MOST = 2.0, 200.0  # repeats to expect for one turned away, here or by another proxy; in all
UNSENT_PART = (
    0.45  # part of its wait after which a request never sent is refused: its client can still come again
)
START_LIMIT = 4.0  # requests of all proxies in flight at a server nothing is known of
LATENCY_STEP = 1 / 16  # weight of one answer in a server's latency: tails must not steer the limit
FLOOR_DRIFT = 1 / 400  # pull of one answer on the uncrowded latency: a slow spell is believed in the end
QUEUE_LOW, QUEUE_HIGH = 2.0, 4.0  # of all proxies, waiting inside a server: below, raise; above, lower
CROWD = 1 / 5  # part of the aim that answers of one server may take on average before its limit is cut
FLOOR_LIMIT = 2.0  # requests of all proxies: the least limit of a server
FLOOR_OF_MANY = 5.0  # the same of many: they choose apart, and some servers stand idle beside full ones
LIMIT_CUT = 0.75  # factor on the limit when too many wait there
FAIL_CUT = 0.8  # factor on the limit after a failure that tells of load
FAIR_SPREADS = 3.0  # mean deviations above the usual latency that an attempt needs to have a fair chance
SILENT = 2.0  # usual latencies without an answer after which a server that holds requests may hang
OWN_MS = 2000.0  # ms for which an answer of a server counts for more than others' word on it
EVIDENCE_MS = (
    10_000.0  # ms for which a failure with no answer since is evidence: as long as a payoff tells of it
)
STRIKES = 3  # failures in a row after which a server rests
REST_MS = (500.0, 8000.0)  # ms, first rest and the longest: doubled each time, jittered
RETRY_SHARE = 0.1  # attempts beyond the first per arrival: retries can't add more than this to any load
RETRY_BURST = 10.0  # retries saved up at most
# What the list service has counts as told 6 s later; a call takes up to 2.2 s of that (net/discovery.py).
ASK_TURN_MS, ASK_SPAN_MS = 200.0, 3000.0  # ms of each proxy's turn at the list, of all their first calls
ASK_RETRY_MS = (250.0, 800.0)  # ms until a failed call is made again: at first, doubled each time; at most
ASK_RETRY_TURN_MS = 10.0  # ms of each proxy's turn at that
MOVED_MS = 4000.0  # ms after a move to another list service in which its news counts as told
MOVED_RETRY_MS = 200.0  # ms at most until a failed call to it is made again in that time, by one of few
WARM_KEEP = 0.9  # part of the load known of a warm server that is kept each second without one to look at
COLD_HEAT = 1.2  # times its part of a warm server's load that a cold one gets, or half the rule's multiple
COLD_OF_MANY, COLD_UP_TO = 1.4, 60.0  # the same of so many proxies; of more less, by the root of their number
FAIR_PAYOFF = 0.4  # least payoff of a cold server that takes its turns: one failure leaves half
DOUBT_OUT_MS = 1000.0  # ms for which a server must have failed to be one that may have started anew since
DOUBT_MS = 6000.0  # ms after which a start that no list has told of was none: so late it counts as told
DOUBT_SIGNS, DOUBT_SLOW = 2, 2.0  # answers, in uncrowded latencies, that tell that it is as warm as others
CHANCE = 4.0  # deviations of what all proxies send in a window that a cold server's budget leaves room for

LOAD_STEP = 0.3  # weight of one report in a server's load: some even out what is in work by chance
SHARE_STEP = 0.3  # power of (mean load / its load) by which a server's share moves at each report
OUT_STEP = 0.03  # weight of one beat in what this proxy has in flight: about the second that reports take
REACH_MOST = 8.0  # even parts that one proxy may have in flight, by the load that lists tell
SHARE_LEAST = 0.05  # least share of what would come to a server: some must tell when it is better

# "One of many" is a proxy whose part of START_LIMIT is under one request: it cannot judge a server alone.
PLACES = 12  # servers of a key that are looked at in turn: of so many some have room, or all are full
MET_KEEP, MET_LEAST = 0.97, 0.25  # part of a key's count kept each second; below this it is forgotten
MET_POPULAR = 1.5  # arrivals of late that make a key popular: of fewer, chance tells more than the key
ORDERS = 512  # keys whose servers are kept at hand
NEAR = 6  # servers of its own zone that such a proxy keeps to: enough to choose from, few enough to know
ALLOW_UP, ALLOW_DOWN = 0.1, 0.025  # steps of its limit on all in flight: at one, level where 0.8 are spoilt
ALLOW_BURST = 4.0  # requests, beyond the limit, that may be in flight at once after idling
ALLOW_LEAST = 0.05  # least such limit: one request in twenty usual latencies still looks
SPOILT, CROWDED = 0.85, 3.0  # part of the aim, times the uncrowded latency: beyond either it was crowded
FORGET = 0.1  # part of the way back to the usual payoff in a second without outcomes
OVER_LEAST = 5.0  # least requests of quota that a tenant may use at once: chance must not look like excess

GIVEN_UP = (Result.TIMEOUT, Result.CANCELLED)  # we stopped waiting


class Server:
    """What this proxy knows of one server."""

    def __init__(self, info: ServerInfo, proxies: int) -> None:
        self.proxies = proxies
        self.id, self.hash = info.server, crc32(info.server.encode())
        self.started: float | None
        self.state, self.zone, self.kind, self.cell = info.state, info.zone, info.kind, info.cell
        self.inflight, self.rank, self.weight = 0, 0, 1.0  # in flight: at work there
        self.nominal = 0.0  # its weight with nothing to do, where weights tell of load
        self.size = 1.0  # by which keys are placed
        self.transfers, self.transfer_bytes = 0, 0  # bodies on their way, which cost it no work
        self.forget()

    def forget(self) -> None:
        """A process that has just started shares nothing with the one before it."""
        self.limit, self.peak, self.samples = START_LIMIT / self.proxies, 0, 0
        self.latency, self.floor, self.heard_count = 0.0, 0.0, 0
        self.crowd = 0.0  # smoothed latency as a part of the aim
        self.reward, self.plays = 1.0, 0.0
        self.consecutive_failures, self.rest_until, self.rest_ms = 0, 0.0, REST_MS[0]
        self.answered, self.rate, self.tokens = 0, 0.0, 0.0
        self.failing_from, self.failed_at = 0.0, -inf  # the first failure of those in a row, the last of all
        self.shunned_until, self.good_at = 0.0, -inf  # by others' word; its last answer to us
        self.doubt_until, self.signs = 0.0, 0  # it was away and may have started anew; quick answers since
        self.takes = 0.0  # as one of many: part of what would come to it that it takes while it is cold
        self.load, self.share = 0.0, 1.0  # requests a core it holds, of all; part of its keys it is given
        self.silent_from = 0.0  # its last answer, or the first send since it held nothing of ours
        self.started, self.cold_until = None, 0.0

    def has_capacity(self, now: float, each: float = 0.0) -> bool:
        if self.rest_until > now or self.shunned_until > now:
            return False
        if self.consecutive_failures >= STRIKES or self.shunned_until:  # back from a rest: one on trial, not a full load
            return self.inflight == 0
        if self.cold(now) and self.tokens < 1.0 and not self.takes:
            return False
        return self.inflight < max(self.limit, each)

    def cold(self, now: float) -> bool:
        """Not known to be warm."""
        return self.cold_until > now or self.doubt_until > now

    def learn_latency(self, latency: float, part_of_aim: float) -> None:
        """The limit follows the requests of ours that wait inside the server: limit x (1 - floor/latency)."""
        self.heard_count += 1
        step = max(LATENCY_STEP, 1 / self.heard_count)
        self.latency += (min(latency, 2 * (self.latency or latency)) - self.latency) * step
        self.crowd += (part_of_aim - self.crowd) * step
        if self.heard_count <= 1 / LATENCY_STEP:  # a floor from one lucky answer would last for long
            self.floor = self.latency
        self.floor = min(self.floor + (self.latency - self.floor) * FLOOR_DRIFT, self.latency)
        self.samples += 1
        if self.samples < max(8, self.limit):
            return
        waiting = min(self.peak, self.limit) * (1 - self.floor / self.latency) * self.proxies
        if waiting > QUEUE_HIGH or self.crowd > CROWD:
            self.cut(LIMIT_CUT)
        elif waiting < QUEUE_LOW and self.peak + 1 > self.limit:
            self.limit += min(1.0, 2 / self.proxies)
        self.samples, self.peak = 0, self.inflight

    def cut(self, factor: float) -> None:
        """Each proxy is one of several. Together they never go below one request at work and one to follow,
        or the server would stand idle between two."""
        least = FLOOR_OF_MANY if self.proxies > START_LIMIT else FLOOR_LIMIT
        self.limit = min(self.limit, max(least / self.proxies, self.limit * factor))


class Bucket:
    """This proxy's part of a limit on requests taken. What it was lent before is not kept beyond the new
    burst."""

    def __init__(self, part: LimitAllocation, now: float) -> None:
        self.part, self.tokens, self.at, self.demand = part, 0.0, now, 0

    def refill(self, now: float) -> float:
        # At least one, or none would ever be whole: the stated bound has one for each instance.
        most = max(self.part.burst, 1.0 if self.part.per_s else 0.0)
        self.tokens = min(most, self.tokens + (now - self.at) * self.part.per_s / 1000)
        self.at = now
        return self.tokens

    def lack_ms(self) -> float:
        """Until the next whole one."""
        return max(0.0, 1 - self.tokens) * 1000 / self.part.per_s if self.part.per_s else inf


class Attempt:
    """While open it is at work, or a transfer: of its request before that, of its answer after it."""

    def __init__(self, server: Server, sent: float, whole: bool) -> None:
        self.server, self.sent, self.open, self.maybe_ran = server, sent, True, True
        self.whole_at = sent if whole else inf  # when the server had the whole request
        self.at_work, self.begun = whole, False
        self.zone, self.cell = server.zone, server.cell  # where it ran: a later list may move the server


class Request:
    def __init__(
        self, event: Arrival, spec: RequestClass, place: Endpoint, now: float, first: float, coin: float
    ) -> None:
        self.id, self.cls, self.key = event.request, event.cls, event.key
        self.spec, self.endpoint, self.arrived = spec, place, now
        self.latest, self.after_ms = event.client_deadline, event.after_ms
        self.uploading, self.holds = event.uploading, event.holds
        # Where late answers earn something a late repeat still does; failing it brings it back once more.
        self.time_from(now, now if spec.late_worth > 0 else first)
        self.attempts: list[Attempt] = []
        self.last_call = self.give_up  # the last moment to send it
        self.open = 0  # attempts without an outcome
        self.coin = coin
        self.is_queued = self.over = self.stream = False
        self.hedge_at = inf  # when a second copy may follow the first
        self.sealed = False  # its body can't be sent again

    def time_from(self, now: float, aim_from: float) -> None:
        """Its time to be sent and answered runs from now: an upload's own is no part of it."""
        self.give_up = min(self.latest, now + self.after_ms)
        self.aim_end = aim_from + self.spec.aim_ms
        # After this an answer is worth nothing, or the client has left.
        self.useful = self.give_up if self.spec.late_worth > 0 else min(self.give_up, self.aim_end)

    def long(self) -> bool:
        """Known to be a transfer before it is sent."""
        return self.uploading or self.spec.stream

    def first_run(self) -> Attempt | None:
        """The earliest attempt that may have run: what the class allows counts from it."""
        return next((a for a in self.attempts if a.maybe_ran), None)


class Endpoint:
    """Classes with one aim: a first-come buffer and its overload detector."""

    def __init__(self, aim: float, tick: float) -> None:
        self.aim, self.tick = aim, tick
        self.queue: deque[Request] = deque()
        self.latency = 0.0  # usual time from send to answer
        self.slice_at, self.last_send, self.flagged_at = 0.0, 0.0, -1e9
        self.flagged, self.release = False, RELEASE_AIMS[0]
        self.low, self.low_before, self.count = 0.0, 0.0, 0  # least wait in this half window and the last

    def note_send(self, now: float, wait: float) -> None:
        if self.count >= WINDOW_SENDS / 2 and now - self.slice_at >= self.aim * WINDOW_OF_AIM / 2:
            self.low_before, self.count, self.slice_at = self.low, 0, now
        self.low = wait if self.count == 0 else min(self.low, wait)
        self.count += 1
        self.last_send = now

    def flag(self, now: float, overloaded: bool) -> None:
        """One flag may be chance, and is soon over. Where it returns at once, clients ask for more than there
        is: let in as fast as before, they would bring it back again and again."""
        if overloaded and not self.flagged:
            soon = now - self.flagged_at < 0.5 * (self.release + 1) * self.aim
            self.release = min(2 * self.release, RELEASE_AIMS[1]) if soon else RELEASE_AIMS[0]
        self.flagged = overloaded
        if overloaded:
            self.flagged_at = now

    def head(self) -> Request | None:
        while self.queue and not self.queue[0].is_queued:
            self.queue.popleft()
        return self.queue[0] if self.queue else None

    def excess(self, now: float) -> float:
        """The windowed minimum wait over its threshold; above 1 the endpoint is overloaded."""
        head = self.head()
        if head is None:
            return 0.0  # nothing waits: whatever an old window says, the next request leaves at once
        low = min(self.low, self.low_before)
        if now - self.last_send > self.aim * WINDOW_OF_AIM:
            low = now - head.arrived  # nothing leaves: a stuck queue must not look like a calm one
        return low / self.threshold()

    def threshold(self) -> float:
        return max(WAIT_OF_SLACK * (self.aim - self.latency), 2 * self.tick)  # ms


class Balancer:
    """One proxy's decisions. Feed it every event; carry out every action."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings, self.rng = settings, Random(seed)
        # One of many keeps to a few servers, but not where they know keys: there a key must meet the same two
        # from every proxy, which is worth more than knowing few of them well.
        self.many = settings.proxies > START_LIMIT
        self.sparse = self.many and not settings.key_affinity
        by_aim = {a: Endpoint(a, settings.tick_ms) for a in sorted({c.aim_ms for c in settings.classes})}
        self.endpoints = list(by_aim.values())
        self.endpoint_of = [by_aim[c.aim_ms] for c in settings.classes]
        self.patience = [0.0] * len(settings.classes)  # longest wait left to a client seen, by class
        self.best_worth = max(c.worth for c in settings.classes)
        self.quota_left = [q / settings.proxies * OVER_BURST_S for q in settings.quotas]
        self.quota_at = [0.0] * len(settings.quotas)
        self.part = 1 / settings.proxies  # of the deployment's traffic that comes to this proxy
        self.asked = [0] * len(settings.quotas)  # first tries of each tenant in this second
        self.usage = [0.0] * len(settings.quotas)  # smoothed rate of first tries over the quota
        self.class_latency = [(0.0, 0.0)] * len(settings.classes)  # smoothed latency and deviation
        self.all_latency = 0.0
        self.crowd, self.crowd_samples = 0.0, 0  # smoothed latency as a part of the aim, all servers
        self.servers: dict[str, Server] = {}
        self.active: list[Server] = []
        self.met: dict[int, float] = {}  # arrivals of late by key, as one of many proxies
        self.met_all = 0.0
        self.orders: dict[int, list[Server]] = {}  # by key, the servers that it meets first
        self.preferred: list[Server] = []  # those it sends to: all active, or as one of many its own few
        self.near_size, self.each = 0, 0.0  # servers of each zone among them; least limit of one
        self.allow = 1.0  # limit on all requests in flight, as one of many proxies
        self.credit, self.credit_at, self.out_count = 1e9, 0.0, 0  # ms in flight still to use; at work
        self.usual_out, self.reach = 0.0, 1.0  # at work over the last second; how far beyond an even part
        self.transfers, self.transfer_bytes = 0, 0  # with all servers
        self.class_floor = [0.0] * len(settings.classes)  # uncrowded latency
        self.warm_floor: dict[int, float] = {}  # uncrowded latency of a warm server, by kind
        self.warm_rate: dict[int, float] = {}  # answers per second of a warm server, by kind
        self.requests: dict[str, Request] = {}
        self.bound: list[Request] = []  # held ones that only one group may see again
        self.due: list[tuple[float, int, Request]] = []  # held ones, by the time at which to look again
        self.outcomes = 1.0  # all outcomes lately, decayed like each server's plays
        self.colds: list[Server] = []  # those not known to be warm
        self.comes: dict[Server, float] = {}  # by cold server, the part of first tries that would come to it
        self.heads, self.heads_rate = 0, 0.0  # first tries let in, in this second and usually
        self.order, self.retries = 0, RETRY_BURST
        self.buckets: dict[str, Bucket] = {}  # by limit, our parts of those that all fleets share
        self.turned_away = RETRY_BURST  # repeats still to be expected
        self.beating, self.second_at, self.beat_at = False, 0.0, 0.0
        self.ask_at: float | None = None
        self.ask_failures, self.moved_at = 0, -inf
        self.actions: list[Action] = []

    def step(self, now: float, events: list[Event]) -> list[Action]:
        self.actions = []
        if not self.beating and events:
            self.start(now)
        for event in events:
            if isinstance(event, Arrival):
                self.on_arrival(now, event)
            elif isinstance(event, Outcome):
                self.on_outcome(now, event)
            elif isinstance(event, TimerFired):
                self.on_beat(now)
            elif isinstance(event, ClientDisconnected):
                self.on_client_gone(event)
            elif isinstance(event, ServerList):
                self.on_list(now, event)
            elif isinstance(event, DiscoveryServiceChanged):
                self.on_moved(now)
            elif isinstance(event, TierMembership):
                self.on_proxies(now, event)
            elif isinstance(event, LimitAllocation):
                self.on_part(now, event)
            elif isinstance(event, Ejection):
                self.on_shun(now, event)
            elif isinstance(event, ResponseStarted):
                self.on_stream(now, event)
            elif isinstance(event, BodyForwarded):
                self.on_body_sent(now, event)
            elif isinstance(event, BodyReceived) and (request := self.requests.get(event.request)) is not None:
                request.uploading = False
            elif isinstance(event, BodyDiscarded) and (request := self.requests.get(event.request)) is not None:
                request.sealed = True
        if self.bound:
            self.send_bound(now)
        self.dispatch(now)
        self.expire(now)
        return self.actions

    def start(self, now: float) -> None:
        self.beating = True
        self.second_at = self.beat_at = self.credit_at = now
        self.quota_at = [now] * len(self.quota_at)
        self.actions.append(SetTimer(BEAT_MS, 0))
        if self.settings.ask_for_list:
            # Proxies restarted together must not call the list service in the same moment: each has its
            # turn. Past the time the settings oblige, a proxy counts as told of drains it never heard of.
            self.ask_at = now + self.turn()

    def unavailable(self, now: float) -> int:
        """Servers on the list that get nothing new for now: draining, resting, or on trial after a rest."""
        return sum(
            s.state is not ServerState.ACTIVE or s.rest_until > now or s.consecutive_failures >= STRIKES
            for s in self.servers.values()
        )

    # 1. Events

    def on_arrival(self, now: float, event: Arrival) -> None:
        spec, endpoint = self.settings.classes[event.cls], self.endpoint_of[event.cls]
        level = self.level_of(now, spec, event.tenant)
        if event.tenant < len(self.asked) and not event.is_retry:
            self.asked[event.tenant] += 1
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        # A client's wait runs over all its tries: one that has less of it left than others had is a repeat,
        # and its aim counts from the first. Clients don't say so everywhere.
        left = min(event.client_deadline - now, event.after_ms)
        self.patience[event.cls] = max(self.patience[event.cls], left)
        waited = self.patience[event.cls] - left
        if waited > SHORT_OF_AIM * endpoint.aim and not event.is_retry:
            # Only as many are repeats as were turned away. Others just come with less time: taken for
            # repeats whose aim has passed they would fail unsent beside idle servers.
            if self.turned_away < 1:
                waited = 0.0
            self.turned_away = max(self.turned_away - 1, 0.0)
        if self.many and event.key is not None:
            self.met[event.key] = self.met.get(event.key, 0.0) + 1
            self.met_all += 1
        request = Request(event, spec, endpoint, now, now - waited, self.rng.random() if self.many else 0.0)
        self.requests[event.request] = request
        if self.buckets and (lack := self.over_limits(now, event)):
            self.refuse(request, lack)
            return
        if level >= 3:
            excess = endpoint.excess(now)
            if self.sparse:  # its buffer is mostly empty, and few waits are seen: the wait to come counts
                wait = -self.refill_credit(now) * self.all_latency / self.allow
                excess = max(excess, wait / endpoint.threshold())
            endpoint.flag(now, excess > 1)
            # Level 3 goes in proportion to the wait beyond the flag. Level 4 goes as soon as it is set and
            # comes back by degrees: let in at once, it would fill the servers up to the next flag.
            cleared = (now - endpoint.flagged_at) / (endpoint.release * endpoint.aim)
            # After a lone flag it is let in beside an empty buffer: refused there, it leaves servers idle.
            kept_out = excess > 0 or endpoint.release > RELEASE_STRICT
            if self.rng.random() < (1 - cleared if level == 4 and kept_out else excess / 3 - 1):
                self.refuse(request)
                return
        if request.long() and not self.may_transfer(request):
            self.refuse(request)
        elif request.useful <= now + 2 * self.settings.tick_ms:
            self.end(request)  # its time is over as it comes: no later batch could answer it
        else:
            self.heads += 1
            if not (self.many and self.to_cold(now, request)):
                self.hold(request, False)

    def on_shun(self, now: float, event: Ejection) -> None:
        """What others saw is less than what we see: one that answered us a moment ago is used on. One that is
        back from it begins with one request on trial, as from a rest."""
        server = self.servers.get(event.server)
        if server is None or now - server.good_at < OWN_MS:
            return
        if event.for_ms or server.shunned_until:
            server.shunned_until = now + event.for_ms

    def failing_servers(self, now: float) -> dict[str, int]:
        """Servers that failed ourselves and have not answered since, with how often, up to a rest."""
        own = (s for s in self.active if s.consecutive_failures and s.good_at < s.failed_at)
        mine = (s for s in own if s.rest_until > now or now - s.failed_at < EVIDENCE_MS)
        return {s.id: min(s.consecutive_failures, STRIKES) for s in mine}

    def healthy_servers(self, now: float, accused: Iterable[str]) -> list[str]:
        """Of those that somebody finds bad the ones that answered us a moment ago, and did not fail since."""
        known = (s for name in accused if (s := self.servers.get(name)) is not None)
        return [s.id for s in known if s.failed_at < s.good_at and now - s.good_at < OWN_MS]

    def on_part(self, now: float, event: LimitAllocation) -> None:
        bucket = self.buckets.setdefault(event.limit, Bucket(event, now))
        bucket.refill(now)
        bucket.part = event
        bucket.refill(now)

    def over_limits(self, now: float, event: Arrival) -> float:
        """Take one of each limit that holds for it; ms until all have one again, and none is taken, if
        not."""
        under = [
            bucket
            for bucket in self.buckets.values()
            if bucket.part.cls in (-1, event.cls) and bucket.part.tenant in (-1, event.tenant)
        ]
        lack = 0.0
        for bucket in under:
            bucket.demand += 1
            if bucket.refill(now) < 1:
                lack = max(lack, bucket.lack_ms())
        if not lack:
            for bucket in under:
                bucket.tokens -= 1
        return lack

    def may_transfer(self, request: Request) -> bool:
        settings = self.settings
        if self.transfers >= settings.all_transfers:
            return False
        if self.transfer_bytes + request.holds > settings.all_transfer_bytes:
            return False
        return not self.preferred or any(self.takes(request, server) for server in self.preferred)

    def takes(self, request: Request, server: Server) -> bool:
        """A transfer goes where those in progress leave it room. What is short may always go."""
        if not request.long():
            return True
        room = self.settings.node_transfer_bytes - server.transfer_bytes
        return server.transfers < self.settings.node_transfers and request.holds <= room

    def level_of(self, now: float, spec: RequestClass, tenant: int) -> int:
        worth = spec.worth / self.best_worth
        if tenant < len(self.quota_left):
            rate = self.settings.quotas[tenant] * self.part  # the quota is for all proxies together
            left = self.quota_left[tenant] + (now - self.quota_at[tenant]) * rate / 1000
            left = min(left, max(rate * OVER_BURST_S, OVER_LEAST))
            self.quota_at[tenant] = now
            if left >= 1:
                left -= 1
            else:
                worth *= self.settings.over_share_worth
            self.quota_left[tenant] = left
        return 1 + sum(worth < bound for bound in LEVELS)

    def hold(self, request: Request, front: bool) -> None:
        request.is_queued, queue = True, request.endpoint.queue
        (queue.appendleft if front else queue.append)(request)
        # Sent later than this it can't be useful. At most half its time is set aside: were the usual
        # latency above the aim, nothing would ever be sent again and the latency never be corrected.
        spare = self.fair_chance(request)
        request.last_call = min(request.useful - spare, request.give_up - BEAT_MS - 2 * self.settings.tick_ms)
        if not request.attempts:
            half = request.arrived + UNSENT_PART * (request.give_up - request.arrived)
            request.last_call = min(request.last_call, half)
        self.at(min(request.last_call, request.aim_end - spare), request)

    def fair_chance(self, request: Request) -> float:
        """How long an attempt may take and still be an ordinary one."""
        mean, spread = self.class_latency[request.cls]
        return min(mean + FAIR_SPREADS * spread, request.endpoint.aim / 2)

    def on_outcome(self, now: float, event: Outcome) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open, attempt.maybe_ran = False, event.result not in NEVER_RAN
        request.open -= 1
        delay = event.latency_ms if attempt.whole_at == attempt.sent else max(now - attempt.whole_at, 0.0)
        # Also of one given up: work stops when its connection closes.
        self.leave(request, attempt, delay)
        if attempt.begun:
            self.learn_end(now, attempt.server, event.result, attempt.begun)
        elif attempt.whole_at < inf:
            self.learn(now, request, attempt, event.result, delay)
        else:
            self.learn_end(now, attempt.server, event.result, attempt.begun)
            request.time_from(now, now)  # what it took was the upload's time
        if event.finished or request.over:
            if not request.over:
                self.call_off(request)
            self.close(request)
            return
        if request.open == 0:
            self.again(now, request, event.result)

    def call_off(self, request: Request) -> None:
        """Its answer is here, or has begun: another copy is of no more use."""
        if self.settings.may_cancel:
            rest = [n for n, a in enumerate(request.attempts) if a.open and not a.begun]
            self.actions.extend(Cancel(request.id, n) for n in rest)

    def enter(self, request: Request, attempt: Attempt) -> None:
        """Count it where it is now: at work at its server, or a transfer."""
        server = attempt.server
        if attempt.at_work:
            self.out_count += 1
            server.inflight += 1
            server.peak = max(server.peak, server.inflight)
        else:
            self.move(request, server, 1)

    def leave(self, request: Request, attempt: Attempt, delay: float) -> None:
        if attempt.at_work:
            self.out_count -= 1
            self.credit -= delay
            attempt.server.inflight -= 1
        else:
            self.move(request, attempt.server, -1)

    def move(self, request: Request, server: Server, sign: int) -> None:
        server.transfers += sign
        server.transfer_bytes += sign * request.holds
        self.transfers += sign
        self.transfer_bytes += sign * request.holds

    def learn_end(self, now: float, server: Server, result: Result, begun: bool) -> None:
        """The end of a transfer tells whether the server holds, and nothing of its speed."""
        if result is Result.OK:
            server.consecutive_failures, server.rest_ms = 0, REST_MS[0]
        elif result in (Result.RESET, Result.TIMEOUT, Result.CONNECT_FAILED, Result.FULL):
            server.plays = min(server.plays + 1, 1 / PAYOFF_STEP)
            self.outcomes += 1
            # For what was begun, once more: its beginning was taken for a win.
            server.reward *= (1 - PAYOFF_STEP) ** (2 if begun else 1)
            self.strike(now, server)

    def learn(self, now: float, request: Request, attempt: Attempt, result: Result, delay: float) -> None:
        server = attempt.server
        # A delay of nothing, below the clock's grain, must not become a latency to divide by.
        delay = max(delay, 0.001)
        if result in GIVEN_UP:
            # Were only the answers counted, each attempt given up would make the next look later still.
            fair = self.fair_chance(request)
            self.learn_class(request.cls, delay)
            if delay < fair:
                return  # sent too late to have a fair chance: says nothing of the server
        if result in (Result.CANCELLED, Result.NOT_SENT, Result.NO_ROOM, Result.INVALID):
            return  # our own doing, likewise, or the client's
        server.plays = min(server.plays + 1, 1 / PAYOFF_STEP)
        self.outcomes += 1
        # The aim counts from the send here: a server isn't blamed for the wait in our buffer.
        won = result is Result.OK and delay <= request.endpoint.aim
        if self.sparse:
            self.learn_allow(request, server, result, delay)
        # Of few outcomes each counts for more, or one of many proxies would never tell servers apart.
        step = max(PAYOFF_STEP, self.many / (1 + server.plays))
        server.reward += ((1.0 if won else 0.0) - server.reward) * step
        if result is Result.OK:
            server.silent_from = server.good_at = now
            server.shunned_until = 0.0
            self.doubt(now, server, delay <= DOUBT_SLOW * self.class_floor[request.cls])
            if not attempt.begun:  # else its end will tell
                server.consecutive_failures, server.rest_ms = 0, REST_MS[0]
            server.answered += 1
            endpoint = request.endpoint
            endpoint.latency = smooth(endpoint.latency, delay)
            mean = self.learn_class(request.cls, delay)
            self.all_latency = smooth(self.all_latency, delay)
            part_of_aim = min(delay / endpoint.aim, 1.0)
            if not self.sparse:
                self.learn_crowd(part_of_aim)
            # Classes differ in work: scale to the mix, so a run of long ones doesn't look like a queue.
            server.learn_latency(delay * self.all_latency / mean, part_of_aim)
            return
        if result in (Result.FULL, Result.TIMEOUT):
            server.cut(FAIL_CUT)
        self.strike(now, server, self.many and result is Result.CONNECT_FAILED)

    def doubt(self, now: float, server: Server, quick: bool) -> None:
        """It answers. After an outage it may have started anew and no list has told so yet: one of many feeds
        it as one that has, until its answers are as quick as those of others, or a list would have told."""
        if server.doubt_until > now:
            server.signs += quick
            if server.signs >= DOUBT_SIGNS:
                server.doubt_until = 0.0
        elif self.many and server.consecutive_failures >= STRIKES and now - server.failing_from >= DOUBT_OUT_MS:
            server.doubt_until, server.signs = now + DOUBT_MS, int(quick)

    def strike(self, now: float, server: Server, sure: bool = False) -> None:
        """`sure`: one failure is enough. What takes no connection serves nobody, and where each of many
        proxies needs three to see it, a server that has gone costs all of them a hundred."""
        server.failed_at = now
        if not server.consecutive_failures:
            server.failing_from = now
        server.consecutive_failures = STRIKES if sure else server.consecutive_failures + 1
        if server.consecutive_failures >= STRIKES and server.rest_until <= now:
            self.rest(now, server, sure)

    def learn_crowd(self, part_of_aim: float) -> None:
        """All servers together: one of several proxies sees too few answers of each to cut limits in time."""
        self.crowd += (part_of_aim - self.crowd) * LATENCY_STEP
        self.crowd_samples += 1
        if self.crowd_samples >= max(1 / LATENCY_STEP, sum(s.limit for s in self.active)):
            self.crowd_samples = 0
            for server in self.active if self.crowd > CROWD else ():
                server.cut(LIMIT_CUT)

    def learn_allow(self, request: Request, server: Server, result: Result, delay: float) -> None:
        """One of many proxies has less than one request at each server: only a limit on all it has in flight
        can follow the load, and only outcomes of all servers together are enough to learn it from."""
        usual = min(CROWDED * (self.class_floor[request.cls] or 1e9), SPOILT * request.endpoint.aim)
        if result in (Result.FULL, Result.TIMEOUT) or delay > usual:
            if server.reward > self.usual_payoff() / 2:  # a server known to be bad tells nothing of the rest
                self.allow = max(ALLOW_LEAST, self.allow * (1 - ALLOW_DOWN))
        elif result is Result.OK and self.allow < 2 + 2 * self.out_count:
            self.allow += ALLOW_UP * sqrt(self.allow)

    def learn_class(self, cls: int, delay: float) -> float:
        mean, spread = self.class_latency[cls]
        spread = spread + (abs(delay - mean) - spread) * LATENCY_STEP if mean else delay / 2
        mean = smooth(mean, delay)
        self.class_latency[cls] = (mean, spread)
        floor = self.class_floor[cls] or mean
        self.class_floor[cls] = min(floor + (mean - floor) * FLOOR_DRIFT, mean)
        return mean

    def rest(self, now: float, server: Server, sure: bool) -> None:
        # When all are slow the trouble is not this server: more than half never rest, nor does a usual one.
        resting = sum(1 for s in self.active if s.consecutive_failures >= STRIKES and s is not server)
        usual = not sure and server.reward > self.usual_payoff() / 2
        if 2 * (resting + 1) > len(self.active) or usual:
            server.consecutive_failures = 0
            return
        server.rest_until = now + server.rest_ms * self.rng.uniform(0.75, 1.25)
        server.rest_ms = min(2 * server.rest_ms, REST_MS[1])
        self.actions.append(Log(f"rest {server.id}: {server.consecutive_failures} failures in a row"))

    def usual_payoff(self) -> float:
        return sum(s.reward for s in self.preferred) / max(len(self.preferred), 1)

    def again(self, now: float, request: Request, result: Result) -> None:
        """An attempt failed and none is out: another one, a refusal or a failure."""
        spec, ran = request.spec, request.first_run()
        if result in (Result.NOT_SENT, Result.INVALID) or not self.may_follow(now, request):
            self.end(request)
        elif ran is None:
            self.hold(request, True)
        elif self.retries < 1:
            self.end(request)
        elif spec.effect is Effect.SAFE:
            self.retries -= 1
            self.hold(request, True)
        else:
            self.retries -= 1
            request.is_queued = True
            self.bound.append(request)
            usual = min(self.class_latency[request.cls][0], spec.aim_ms / 2)
            request.last_call = min(request.useful - usual, ran.sent + spec.window_ms - BEAT_MS)
            self.at(request.last_call, request)

    def send_bound(self, now: float) -> None:
        """Only the group that drops a keyed request's repeats may see it again, as soon as it has room."""
        waiting, self.bound = self.bound, []
        for request in waiting:
            ran = request.first_run()
            if not request.is_queued or ran is None:
                continue
            group = self.group_of(now, request, ran)
            if group and now < request.last_call:
                request.is_queued = False
                self.send(now, request, self.pick(request, group))
            else:
                self.bound.append(request)

    def end(self, request: Request) -> None:
        """The final answer for a request that will not be sent again."""
        if self.settings.refuse_unsent and request.first_run() is None:
            self.refuse(request)
            return
        self.actions.append(Fail(request.id))
        self.close(request)

    def refuse(self, request: Request, lack: float = 0.0) -> None:
        """Low levels are let in again over the endpoint's release, what a limit turns away once that has room
        (`lack`): that is when to come back."""
        wait = min(lack or request.endpoint.release * request.endpoint.aim, self.settings.max_retry_after_ms)
        self.turned_away = min(self.turned_away + AWAY_EACH, AWAY_MOST)
        self.actions.append(Refuse(request.id, wait if self.settings.retry_after else 0.0))
        self.close(request)

    def close(self, request: Request) -> None:
        """It is over; it is kept only until the attempts still out have ended."""
        request.over, request.is_queued = True, False
        if request.open == 0:
            del self.requests[request.id]

    def on_client_gone(self, event: ClientDisconnected) -> None:
        if (request := self.requests.get(event.request)) is None:
            return
        self.turned_away = min(self.turned_away + AWAY_EACH, AWAY_MOST)
        if self.settings.may_cancel:
            self.actions.extend(Cancel(request.id, n) for n, a in enumerate(request.attempts) if a.open)
        self.close(request)

    def open_attempt(self, request_id: str, number: int) -> tuple[Request, Attempt] | None:
        request = self.requests.get(request_id)
        if request is None or number >= len(request.attempts) or not request.attempts[number].open:
            return None
        return request, request.attempts[number]

    def on_body_sent(self, now: float, event: BodyForwarded) -> None:
        """The server's work begins, and the time for it. It has a place whether or not there is one left."""
        found = self.open_attempt(event.request, event.attempt)
        if found is None or found[1].whole_at < inf:
            return
        request, attempt = found
        attempt.whole_at = now
        request.uploading = False
        if not attempt.begun:
            self.leave(request, attempt, 0.0)
            attempt.at_work = True
            if attempt.server.inflight == 0:
                attempt.server.silent_from = now
            self.enter(request, attempt)
        if not request.over:
            request.time_from(now, now)
            self.actions.append(SetAttemptTimeout(request.id, event.attempt, self.limit_ms(now, request)))

    def on_stream(self, now: float, event: ResponseStarted) -> None:
        found = self.open_attempt(event.request, event.attempt)
        if found is None or found[1].begun:
            return
        request, attempt = found
        request.stream, request.is_queued = True, False
        attempt.begun = True
        self.call_off(request)
        if attempt.at_work:
            self.leave(request, attempt, event.latency_ms)
            attempt.at_work = False
            self.enter(request, attempt)
            self.learn(now, request, attempt, event.result, event.latency_ms)

    def on_list(self, now: float, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            self.ask_failures += 1
            # Hundreds must not call as one, but a failed call lengthens nothing: the next answer has to be
            # here before its news counts as told.
            first, most = ASK_RETRY_MS
            turns = ASK_RETRY_TURN_MS * self.settings.proxies
            wait = max(first * 2.0 ** min(self.ask_failures - 1, 10), turns)
            wait = min(wait, self.settings.must_ask_ms / 2, most)
            if now < self.moved_at + MOVED_MS and not self.many:
                wait = MOVED_RETRY_MS
            self.ask_at = now + wait * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.SAVED:
            self.ask_failures, self.ask_at, self.moved_at = 0, None, -inf
        if event.kind is not ListKind.CHANGES:
            listed = {e.server for e in event.entries}
            for name in [name for name in self.servers if name not in listed]:
                self.servers[name].state = ServerState.GONE
                del self.servers[name]
        for entry in event.entries:
            self.on_entry(now, entry)
        before, self.active = self.active, [s for s in self.servers.values() if s.state is ServerState.ACTIVE]
        self.size_up(self.active != before)
        if self.many and self.settings.weights_report_load and event.kind is not ListKind.SAVED:
            self.weigh(now)
        if not self.preferred:
            self.allow = max(ALLOW_LEAST, START_LIMIT * len(self.active) / self.settings.proxies)
        self.choose_near(now)

    def size_up(self, changed: bool) -> None:
        """Keys are placed by size. Where weights tell of load, a server's size is the largest that any of its
        kind has shown with nothing to do: the same at every proxy within moments of its start."""
        largest: dict[int, float] = {}
        for s in self.active:
            largest[s.kind] = max(s.nominal, largest.get(s.kind, 0.0))
        for s in self.active:
            size = largest[s.kind] if self.settings.weights_report_load else s.nominal
            changed, s.size = changed or size != s.size, size
        if changed:
            self.orders.clear()

    def weigh(self, now: float) -> None:
        """Weights tell how much each server holds: nominal size / (1 + requests held a core). One of many
        proxies sees too little of a server to tell; what all hear alike moves all alike, bit by bit."""
        for s in self.active:
            s.load += (s.nominal / s.weight - 1 - s.load) * LOAD_STEP
        warm = [s.load for s in self.active if s.cold_until <= now]  # cold ones hold few, and are to
        mean = 1 + sum(warm) / max(len(warm), 1)
        for s in self.active:
            s.share = min(1.0, max(SHARE_LEAST, s.share * (mean / (1 + s.load)) ** SHARE_STEP))
        self.find_reach()

    def find_reach(self) -> None:
        """Traffic is split unevenly: a limit as an even part holds one proxy's requests back beside idle
        servers, and others never use theirs. What it has in flight, of all that servers hold, tells its part;
        so all limits together bind only once servers hold as much as all may send."""
        held = sum(s.load for s in self.active) / max(len(self.active), 1)
        even = sum(s.limit for s in self.active)
        part = FLOOR_OF_MANY * self.usual_out / max(held, 1.0)
        self.reach = min(max(part / max(even, 0.001), 1.0), REACH_MOST)

    def on_moved(self, now: float) -> None:
        """Failures of the old service say nothing of the new one, and its drains count as told soon."""
        self.ask_failures, self.moved_at = 0, now
        if self.many:  # all are told at once: most of their calls would wait too long, fail, and come again
            self.ask_at = now + self.turn()
            return
        self.ask_at = now + self.settings.must_ask_ms / 2  # should no word come back
        self.actions.append(Watch())

    def turn(self) -> float:
        """In how many ms this proxy calls the list service, if all do so."""
        proxies, me = self.settings.proxies, self.settings.me
        span = min(ASK_TURN_MS * proxies, ASK_SPAN_MS, self.settings.must_ask_ms / 2)
        return span * (me % proxies + self.rng.random()) / proxies

    def on_proxies(self, now: float, event: TierMembership) -> None:
        """Others have come or gone: what is a part of something that all share becomes another part of it.
        Nothing that was learned is forgotten."""
        before = self.settings
        self.settings = settings = replace(before, proxies=max(event.proxies, 1), me=event.me)
        self.many = settings.proxies > START_LIMIT
        self.sparse = self.many and not settings.key_affinity
        factor = before.proxies / settings.proxies
        for server in self.servers.values():
            server.proxies, server.limit = settings.proxies, server.limit * factor
            server.rank = affinity(settings.me + 1, server)
        self.allow *= factor
        self.quota_left = [left * factor for left in self.quota_left]
        self.part = min(1.0, max(self.part * factor, 1 / settings.proxies))
        self.choose_near(now)

    def choose_near(self, now: float) -> None:
        """Of many proxies each keeps to a few servers by hash, more with more traffic: few are soon known and
        have few connections each. Cold ones only of the own zone: their budget is part of the load there."""
        self.preferred = self.active
        self.near_size = len(self.active)
        if self.sparse:
            zone, size = self.settings.zone, max(NEAR, int(self.allow + 1))
            ranked = sorted(self.active, key=lambda s: s.rank)
            own = [s for s in ranked if s.zone == zone][:size]
            far = [s for s in ranked if s.zone != zone and s.cold_until <= now][:size]
            self.preferred, self.near_size = own + far, size
            self.each = max(1.0, self.allow / max(len(own), 1))

    def on_entry(self, now: float, entry: ServerInfo) -> None:
        server = self.servers.get(entry.server)
        if server is None:
            if entry.state is ServerState.GONE:
                return
            server = self.servers[entry.server] = Server(entry, self.settings.proxies)
            server.rank = affinity(self.settings.me + 1, server)
        server.state, server.zone, server.kind, server.cell = entry.state, entry.zone, entry.kind, entry.cell
        server.weight = entry.weight if entry.weight > 0.01 else 0.01  # also where it is no number
        server.nominal = max(server.nominal, server.weight)
        if entry.state is ServerState.GONE:
            del self.servers[entry.server]
            return
        if entry.started != server.started:
            server.forget()
            server.started = entry.started
            if entry.started is not None and entry.started + self.settings.cold_ms > now:
                server.cold_until = entry.started + self.settings.cold_ms
                server.limit = min(1.0, server.limit)
                server.tokens = 0.0

    def on_beat(self, now: float) -> None:
        self.actions.append(SetTimer(BEAT_MS, 0))
        self.expire(now)
        self.colds = [s for s in self.preferred if s.cold(now)]
        for server in self.colds:
            self.refill(now, server)
        self.beat_at = now
        self.usual_out += (self.out_count - self.usual_out) * OUT_STEP
        if self.ask_at is not None and now >= self.ask_at:
            self.actions.append(Watch())
            # Should no word come back, ask anew before this proxy counts as told of what it never heard.
            self.ask_at = now + self.settings.must_ask_ms / 2
        if now - self.second_at >= 1000:
            self.every_second(now)

    def expire(self, now: float) -> None:
        while self.due and self.due[0][0] <= now:
            request = heappop(self.due)[2]
            if request.is_queued:
                self.time_up(now, request)
            elif request.open == 1 and not request.over and now >= request.hedge_at:
                self.hedge(now, request)

    def may_hedge(self, request: Request) -> bool:
        """A second copy beside the first, where servers drop repeats and one of many proxies can't know which
        of them is full. Few proxies do know, and there a copy only costs."""
        keyed = request.spec.effect is Effect.KEYED and not request.long()
        return keyed and self.many and self.settings.may_duplicate and self.settings.may_cancel

    def hedge(self, now: float, request: Request) -> None:
        """Its attempt has had its fair chance: another one to the same group, as long as retries are left and
        nobody waits to be sent at all. Under overload a second copy takes the place of a first."""
        if self.retries < 1 or request.stream or not self.may_follow(now, request):
            return
        ran = request.first_run()
        if ran is None or any(endpoint.head() is not None for endpoint in self.endpoints):
            return
        if group := self.group_of(now, request, ran):
            self.retries -= 1
            self.send(now, request, self.pick(request, group))
        else:
            self.at(now + 2 * BEAT_MS, request)

    def group_of(self, now: float, request: Request, ran: Attempt) -> list[Server]:
        """Ready servers that drop repeats of what ran there, other than those that have it."""
        group = [s for s in self.active if same_group(request.spec.scope, s, ran)]
        out = [a.server for a in request.attempts if a.open]
        group = [s for s in group if s not in out and s.has_capacity(now, self.each)]
        return [s for s in group if not (self.many and s.cold(now)) or request.coin < s.takes]

    def at(self, when: float, request: Request) -> None:
        self.order += 1
        heappush(self.due, (when, self.order, request))

    def time_up(self, now: float, request: Request) -> None:
        """A held request has reached the end of its use; a late answer, if worth something, is only for
        times when there are servers to spare: under overload it costs a request that is still in time."""
        if request.endpoint.excess(now) > 1 or now >= request.last_call:
            self.end(request)
        else:
            self.at(min(now + 2 * BEAT_MS, request.last_call), request)

    def may_follow(self, now: float, request: Request) -> bool:
        """Whether another attempt is allowed and of use if those so far may have run."""
        spec, ran = request.spec, request.first_run()
        usual = min(self.class_latency[request.cls][0], spec.aim_ms / 2)
        if request.sealed or len(request.attempts) >= self.settings.max_attempts:
            return False
        if now + usual > request.useful:
            return False
        if ran is None or spec.effect is Effect.SAFE:
            return True
        return spec.effect is Effect.KEYED and now + 2 * self.settings.tick_ms < ran.sent + spec.window_ms

    def every_second(self, now: float) -> None:
        seconds, self.second_at = (now - self.second_at) / 1000, now
        self.outcomes = 1 + self.outcomes * PLAYS_KEEP
        self.turned_away *= PLAYS_KEEP
        self.met_all *= MET_KEEP
        self.met = {key: n * MET_KEEP for key, n in self.met.items() if n > MET_LEAST}
        self.find_part(seconds)
        rate = self.heads / seconds
        self.heads_rate += (rate - self.heads_rate) * (USAGE_STEP if self.heads_rate else 1)
        self.heads = 0
        self.find_comes(now)
        warm: dict[int, list[Server]] = {}
        self.choose_near(now)
        usual = self.usual_payoff()
        for server in self.active:
            server.plays *= PLAYS_KEEP
            if server.plays < 1:  # under light load a server once bad would otherwise never be drawn again
                server.reward += max(usual - server.reward, 0.0) * (FORGET if self.many else 1)
            rate = server.answered / seconds  # of many the first second counts whole
            server.rate, server.answered = (
                (server.rate + rate) / 2 if self.warm_rate or not self.many else rate,
                0,
            )
            mine = not self.sparse or (server.zone == self.settings.zone and server in self.preferred)
            # One of many has not met most of them yet: counting only those it has would overstate the rest.
            known = server.latency or (self.many and not server.consecutive_failures)
            if not server.cold(now) and known and mine:
                warm.setdefault(server.kind, []).append(server)
        # The better half tells what a server of this kind carries: slow and resting ones hide it. Not to one
        # of many proxies: of counts that are nearly all none or one a second that half is twice the mean.
        # Held for a while, for when a release leaves no warm server to look at.
        before = self.warm_rate
        self.warm_rate = {kind: rate * WARM_KEEP for kind, rate in self.warm_rate.items()}
        for kind, servers in warm.items():
            rates = sorted(s.rate for s in servers)
            half = rates if self.many else rates[len(rates) // 2 :]
            mean = sum(half) / len(half)
            # The larger of two means by chance is too large: one of many evens out what it sees instead.
            seen = before.get(kind, mean)
            even = seen + (mean - seen) * USAGE_STEP
            self.warm_rate[kind] = even if self.many else max(self.warm_rate.get(kind, 0.0), mean)
            floors = [s.floor for s in servers if s.latency]
            self.warm_floor[kind] = sum(floors) / max(len(floors), 1)

    def find_part(self, seconds: float) -> None:
        """Traffic is seldom split evenly: a proxy alone in its zone would judge all beyond their share. So
        the tenant in the middle is taken to keep its share, if that makes the part more than one in N."""
        for tenant, quota in enumerate(self.settings.quotas):
            usage = self.asked[tenant] / seconds / max(quota, 0.001)
            self.usage[tenant] += (usage - self.usage[tenant]) * USAGE_STEP
            self.asked[tenant] = 0
        if len(self.usage) > 1 and self.settings.zones > 1:
            # No more than a whole zone's part: in a flood all are beyond their share, the middle one too.
            middle = min(sorted(self.usage)[(len(self.usage) - 1) // 2], 1 / self.settings.zones)
            self.part = max(middle, 1 / self.settings.proxies)

    def find_comes(self, now: float) -> None:
        """What would come to each cold server, as a part of all that is sent: an even one, and of the popular
        keys, which are few, as much as they bring."""
        cold = {s for s in self.active if s.cold(now)}
        self.comes = {}
        if not (cold and self.many and self.met_all):
            return
        popular = {key: n / self.met_all for key, n in self.met.items() if n >= MET_POPULAR}
        even = (1 - sum(popular.values())) / len(self.active)
        self.comes = dict.fromkeys(cold, even)
        for key, part in popular.items():
            first = self.order_of(key)[: self.width(key)]
            for server in cold.intersection(first):
                self.comes[server] += part / len(first)

    def refill(self, now: float, server: Server) -> None:
        """A cold server's budget: its part of what we send to a warm one. What all proxies carry is under
        a server's capacity, so the sum of their parts is under the rule, however traffic is split."""
        settings = self.settings
        age = max(0.0, 1 - (server.cold_until - now) / max(settings.cold_ms, 1.0))
        doubted = server.doubt_until > now  # what was known of it may be of the process before
        part = settings.start_capacity + (1 - settings.start_capacity) * (0.0 if doubted else age)
        if server.heard_count * LATENCY_STEP >= 1 and server.kind in self.warm_floor and not doubted:
            # It has shown its speed: measured against the uncrowded latency of warm ones of its kind.
            part = max(part, min(1.0, self.warm_floor[server.kind] / server.latency))
        known = [self.warm_rate[server.kind]] if server.kind in self.warm_rate else self.warm_rate.values()
        warm = min(known, default=0.0) * part / 1000
        if not self.many:
            # Nothing observed yet: one request a window.
            rate = max(warm * min(COLD_HEAT, settings.fall_multiple / 2), 1 / settings.fall_ms)
            burst = max(1.0, rate * settings.fall_ms / 4)
            server.tokens = min(burst, server.tokens + rate * (now - self.beat_at))
            return
        # Saved up, what each may send would come from all at once when the others are full. So it takes a
        # part of what would come to it, and of nothing else. What comes is a matter of chance: the mean and
        # some deviations of it have to fit into a window of all who keep to this server.
        sharers = max(1.0, settings.proxies * self.near_size / max(len(self.active), 1))
        window = settings.fall_ms * sharers
        budget = settings.fall_multiple * warm * window
        fits = (sqrt(budget + CHANCE**2 / 4) - CHANCE / 2) ** 2
        heat = COLD_OF_MANY * min(1.0, sqrt(COLD_UP_TO / settings.proxies))
        rate = max(min(heat * warm, fits / window), 1 / window)  # nothing observed yet: one a window
        comes = self.heads_rate * self.comes.get(server, 1 / max(len(self.preferred), 1)) / 1000
        server.takes = min(1.0, rate * server.share / comes) if comes else 0.0

    # 2. Dispatch

    def dispatch(self, now: float) -> None:
        heads = [(e, h) for e in self.endpoints if (h := e.head()) is not None]
        if not heads:
            return
        room = [s for s in self.preferred if s.has_capacity(now, self.each) and not (self.many and s.cold(now))]
        if not room and self.sparse:  # nothing waits beside a ready server
            room = [s for s in self.active if not s.cold(now) and s.has_capacity(now, self.each)]
        # Limits below one, the part of many proxies, add up: one each at every server would be too many. But
        # a few servers that hang must not use up the sum: a silent one takes nothing from the others.
        silent = now - SILENT * (self.all_latency or self.endpoints[-1].aim)
        spare = self.refill_credit(now)
        if not self.sparse:
            reach = self.reach
            spare = sum(
                max(reach * s.limit - s.inflight, -1.0 if s.silent_from > silent else 0.0) for s in self.preferred
            )
        while heads and room and spare > 0:
            # The one clear rule: the head that has waited the largest part of its aim goes first. So all
            # endpoints feel a shortage of servers alike, and each one's flag sheds its own.
            endpoint, request = max(heads, key=lambda eh: (now - eh[1].arrived) / eh[0].aim)
            endpoint.queue.popleft()
            request.is_queued = False
            fit = room if not request.long() else [s for s in room if self.takes(request, s)]
            if fit:
                if not request.attempts:
                    endpoint.note_send(now, now - request.arrived)
                server = self.pick(request, fit)
                spare -= not request.uploading
                self.send(now, request, server)
            else:  # kept, it would stand in the way of those that fit
                self.end(request)
            if fit and not server.has_capacity(now, self.each):
                room.remove(server)
            heads = [(e, h) for e in self.endpoints if (h := e.head()) is not None]

    def to_cold(self, now: float, request: Request) -> bool:
        """Every request would come to one server, by its key or by chance. If that is a cold one, it takes it
        at once or not at all: it gets nothing that would come to others, however full they are."""
        if not self.colds or request.long():
            return False
        home = self.home(request)
        if home is None or not home.cold(now) or not home.has_capacity(now, self.each):
            return False
        if request.coin >= home.takes or home.reward <= FAIR_PAYOFF:
            return False
        self.send(now, request, home)
        return True

    def home(self, request: Request) -> Server | None:
        key = request.key
        servers = self.preferred
        if self.settings.key_affinity and key is not None:
            servers = self.order_of(key)[: self.width(key)]
        return self.rng.choice(servers) if servers else None

    def refill_credit(self, now: float) -> float:
        """The limit on all in flight holds on average, not at each moment: with a limit near one, two
        requests that come together must not wait for one another. Returns the sends left."""
        usual = self.all_latency or self.endpoints[0].aim / 4
        full = (ALLOW_BURST + self.allow) * usual
        self.credit = min(self.credit + self.allow * (now - self.credit_at), full)
        self.credit_at = now
        return self.credit / usual - self.out_count

    def pick(self, request: Request, room: list[Server]) -> Server:
        if request.attempts:
            tried = [a.server for a in request.attempts]
            room = [s for s in room if s not in tried] or room
        if len(room) == 1:
            return room[0]
        if self.settings.key_affinity and (key := request.key) is not None:
            a, b = self.places(key, room)
        elif self.sparse:
            own = [s for s in room if s.zone == self.settings.zone]
            a = self.draw(own or room)
            b = self.draw([s for s in room if s is not a])
            if b.zone != a.zone:  # crossing has its price: neither a tie nor the wish to know is a reason
                return b if b.reward - self.score(a) > TIE else a
        else:
            first = int(self.rng.random() * len(room))
            second = int(self.rng.random() * (len(room) - 1))
            a, b = room[first], room[second + (second >= first)]
        gap = self.score(a) - self.score(b)
        if abs(gap) < TIE:
            return b if b.inflight < a.inflight else a
        return a if gap > 0 else b

    def places(self, key: int, room: list[Server]) -> list[Server]:
        """Servers do less work for a key met lately: every proxy draws from the same few for it, or the next
        where more comes to them than they carry."""
        fit: list[Server] = []
        width = self.width(key)
        for s in self.order_of(key):
            if s in room and (s.share >= 1 or self.rng.random() < s.share):
                fit.append(s)
                if len(fit) == width:
                    break
        if len(fit) < 2:  # the same hash over all with room, each by its share: not the full ones after all
            return nlargest(2, room, key=lambda s: self.place(key, s) / s.share)
        return self.rng.sample(fit, 2) if len(fit) > 2 else fit

    def order_of(self, key: int) -> list[Server]:
        order = self.orders.get(key)
        if order is None:
            if len(self.orders) >= ORDERS:
                del self.orders[next(iter(self.orders))]
            order = self.orders[key] = nlargest(PLACES, self.active, key=lambda s: self.place(key, s))
        return order

    def width(self, key: int) -> int:
        """Servers to draw from: two, or as many as this key's requests would fill with the usual number. What
        one of many proxies sees is a sample of what all send; a single arrival tells nothing of a key."""
        part = max(self.met.get(key, 0.0) - 1, 0.0) / max(self.met_all, 1.0)
        return max(2, min(1 + int(part * len(self.active)), PLACES))

    def place(self, key: int, server: Server) -> float:
        """Weighted rendezvous hash: a server gets keys in proportion to its size, the same at every proxy."""
        return log((affinity(key, server) + 0.5) / 2.0**64) / server.size

    def draw(self, servers: list[Server]) -> Server:
        """In proportion to registered size: few in flight, ties alone would load small servers like large."""
        left = self.rng.random() * sum(s.weight for s in servers)
        for server in servers:
            left -= server.weight
            if left < 0:
                break
        return server

    def score(self, server: Server) -> float:
        return server.reward + BONUS * sqrt(log(1 + self.outcomes) / (1 + server.plays))

    def send(self, now: float, request: Request, server: Server) -> None:
        ran = request.first_run() if request.attempts else None
        within = inf
        if ran is not None and request.spec.effect is Effect.KEYED:
            within = ran.sent + request.spec.window_ms - now
        attempt = Attempt(server, now, not request.uploading)
        request.attempts.append(attempt)
        request.open += 1
        if server.inflight == 0:
            server.silent_from = now
        self.enter(request, attempt)
        if server.cold(now):
            server.tokens -= not self.many
        self.actions.append(Send(request.id, server.id, self.limit_ms(now, request), within))
        if ran is None and self.may_hedge(request):
            request.hedge_at = now + (self.fair_chance(request) or request.endpoint.aim / 2)
            self.at(request.hedge_at, request)

    def limit_ms(self, now: float, request: Request) -> float:
        if request.uploading:  # the time for an answer begins when the server has it whole
            return max(request.latest - now, 1.0)
        return max(min(request.useful - self.settings.tick_ms, request.give_up) - now, 1.0)


def smooth(mean: float, value: float) -> float:
    """The first value is taken whole, later ones by their weight."""
    return mean + (value - mean) * (LATENCY_STEP if mean else 1)


def affinity(key: int, server: Server) -> int:
    """Rendezvous hash: the order of servers for a key is the same at every proxy, also as some leave."""
    mixed = (key * 0x9E3779B97F4A7C15 ^ server.hash * 0xC2B2AE3D27D4EB4F) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return mixed ^ mixed >> 32


def same_group(scope: Scope, a: Server, b: Attempt) -> bool:
    if scope is Scope.ALL:
        return True
    return a.zone == b.zone if scope is Scope.ZONE else a.cell == b.cell
