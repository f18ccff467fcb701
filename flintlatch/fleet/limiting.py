"""Rate limits shared by all fleets, in the supervisor.

Connects the decision cores of `flintlatch.limits` (lessor election, lessor, lease holder) to the soft-state
entries of the peers, and divides what this fleet is granted among its instances.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any
from zlib import crc32

from flintlatch.fleet.channel import ChannelMessage
from flintlatch.limits.api import (
    Leadership,
    LeaseHolder,
    LeaseRequest,
    LeaseSettings,
    LeaseVersion,
    Lessor,
    Limit,
    Malformed,
    PartitionPolicy,
    Vote,
    limit_topics,
    max_admitted,
    term_validity_s,
)
from flintlatch.limits.model import holder_id as holder_of
from flintlatch.limits.model import (
    read_lease,
    read_lease_request,
    read_vote,
    write_lease,
    write_lease_request,
    write_vote,
)
from flintlatch.peers import State
from flintlatch.peers.clock import clock
from flintlatch.peers.shell import Shell

TICK_INTERVAL_S = 0.1
COALESCE_S = 0.01  # delay of the step after a change, so that one step handles entries that come together
RATE_WINDOW_S = 0.5
RENEWALS_PER_TERM = 3  # of each published entry
SIGNIFICANT_CHANGE_FRACTION = 0.05  # of the limit: a change of the demand by more is published at once


class ArrivalRate:
    """Requests per second that arrived at one instance for one limit, over the last `RATE_WINDOW_S`."""

    def __init__(self) -> None:
        self.counts: deque[tuple[float, int]] = deque()

    def record(self, now: float, count: int) -> None:
        self.counts.append((now, count))
        while len(self.counts) > 2 and self.counts[1][0] <= now - RATE_WINDOW_S:
            self.counts.popleft()

    def per_s(self, now: float) -> float:
        if len(self.counts) < 2:
            return 0.0
        (start, first_count), (_, last_count) = self.counts[0], self.counts[-1]
        return (last_count - first_count) / max(now - start, RATE_WINDOW_S / 2)


class InstanceReports:
    """What one instance has reported, by limit."""

    def __init__(self) -> None:
        self.applied_leases: dict[str, LeaseVersion] = {}
        self.arrival_rates: dict[str, ArrivalRate] = {}


class LimitState:
    """State of one limit in this fleet: as a lease holder, and as its lessor while it is one."""

    def __init__(self, limit: Limit, terms: LeaseSettings, now: float) -> None:
        self.limit = limit
        fixed = limit.reserved_per_s(terms.fleets)
        self.holder, self.lessor = (
            LeaseHolder(limit, terms, fixed, now + term_validity_s(terms)),
            Lessor(limit, terms),
        )
        self.lessor_since: float | None = None  # of an open limit
        self.term_number = 0  # the highest leadership term seen; a new lessor takes a higher one
        self.last_request: LeaseRequest | None = None
        self.next_request_at = self.next_grant_at = self.next_share_at = 0.0
        self.mismatched_fleets: list[str] = []  # whose configured rate of this limit differs
        self.demand_exceeds_share = False


class Limiter:
    """`shell` returns the running member, or None; `send_to_worker` sends a message to one instance."""

    def __init__(
        self,
        limits: tuple[Limit, ...],
        terms: LeaseSettings,
        shell: Callable[[], Shell | None],
        send_to_worker: Callable[[int, ChannelMessage], None],
        log: Callable[[str, str], None],
    ) -> None:
        self.terms, self.shell, self.send_to_worker, self.log = terms, shell, send_to_worker, log
        self.rows = {limit.name: LimitState(limit, terms, clock()) for limit in limits}
        self.instances: dict[int, InstanceReports] = {}
        self.leadership: Leadership | None = None
        self.next_vote_at = 0.0
        self.last_vote: Vote | None = None
        self.loop = asyncio.get_running_loop()
        self.tick_timer: asyncio.TimerHandle | None = None
        self.soon_timer: asyncio.TimerHandle | None = None

    topics = staticmethod(limit_topics)

    def reconfigure(self, limits: tuple[Limit, ...], terms: LeaseSettings) -> None:
        """Applies a reloaded configuration. Granted leases stay valid: a lower limit takes full effect once
        they have been reduced or have expired."""
        if terms != self.terms:
            self.log("warning", "keepers: a change of voters or terms takes a restart of all fleets")
        for limit in limits:
            row = self.rows.setdefault(limit.name, LimitState(limit, self.terms, clock()))
            row.limit = row.holder.limit = row.lessor.limit = limit
            row.holder.reserved = limit.reserved_per_s(self.terms.fleets)
        for name in [name for name in self.rows if name not in {limit.name for limit in limits}]:
            del self.rows[name]

    def start(self) -> None:
        self.tick_timer = self.loop.call_later(TICK_INTERVAL_S, self.start)
        self.step()

    def close(self) -> None:
        for timer in (self.tick_timer, self.soon_timer):
            if timer is not None:
                timer.cancel()

    def on_entries_changed(self) -> None:
        """Takes a step soon, unless one is scheduled already."""
        if self.soon_timer is None:
            self.soon_timer = self.loop.call_later(COALESCE_S, self._step_soon)

    def _step_soon(self) -> None:
        self.soon_timer = None
        self.step()

    # Instances

    def on_instance_report(self, worker: int, message: ChannelMessage) -> None:
        """Takes the number of requests that have arrived at an instance, and the leases that it applies."""
        now, instance = clock(), self.instances.setdefault(worker, InstanceReports())
        for name, count in message["asked"].items():
            instance.arrival_rates.setdefault(name, ArrivalRate()).record(now, int(count))
        for name, lease_id in message["follows"].items():
            if lease_id:
                instance.applied_leases[name] = LeaseVersion(int(lease_id[0]), int(lease_id[1]))
        self.on_entries_changed()

    def remove_instance(self, worker: int) -> None:
        self.instances.pop(worker, None)

    # One step: read the entries, publish what has changed or is due

    def step(self) -> None:
        shell = self.shell()
        if shell is None:
            return
        now = clock()
        if self.leadership is None:
            self.leadership = Leadership(shell.member.me.name, self.terms, now)
        is_lessor = self._run_election(now, shell, self.leadership)
        peers_to_push: set[str] = set()
        for row in self.rows.values():
            self._use_lease(now, shell, row, peers_to_push)
            self._grant_leases(now, shell, row, is_lessor, peers_to_push)
        for name in peers_to_push:
            shell.push(name)

    def _liveness(self, shell: Shell) -> Callable[[str], bool]:
        view = shell.member.peers.view

        def is_alive(name: str) -> bool:
            record = view.get(name)
            return record is not None and record.state is State.ALIVE

        return is_alive

    def _run_election(self, now: float, shell: Shell, leadership: Leadership) -> bool:
        """Reads and publishes votes; whether this fleet is the lessor of the strict limits."""
        votes: dict[str, tuple[Vote, float]] = {}
        for entry in shell.member.entry_store.read(now, "vote"):
            try:
                vote = read_vote(entry.value)
            except Malformed:
                continue
            votes[entry.origin] = vote, entry.expires_at
            leadership.observe(vote)
        vote_to_publish = (
            leadership.vote(now, self._liveness(shell))
            if now >= self.next_vote_at or self.last_vote is None
            else self.last_vote
        )
        if vote_to_publish is not None and (vote_to_publish != self.last_vote or now >= self.next_vote_at):
            shell.publish("vote", "seat", write_vote(vote_to_publish), self.terms.term_s, renew=False)
            self.last_vote, self.next_vote_at = vote_to_publish, now + self.terms.term_s / RENEWALS_PER_TERM
            # Like those of the other voters, the own vote counts until the expiry that the carrier gave it.
            own_entries = shell.member.entry_store.read(now, "vote")
            votes |= {
                s.origin: (vote_to_publish, s.expires_at)
                for s in own_entries
                if s.origin == shell.member.me.name
            }
        elif vote_to_publish is None:
            self.last_vote = None
        lessor_before = leadership.leader_since
        is_lessor = leadership.update(now, votes)
        if is_lessor and lessor_before is None:
            self.log("info", f"limits: keeper of the strict ones, number {leadership.term}")
        elif lessor_before is not None and not is_lessor:
            self.log("info", "limits: no longer keeper of the strict ones")
        return is_lessor

    def _use_lease(self, now: float, shell: Shell, row: LimitState, peers_to_push: set[str]) -> None:
        """As a lease holder: read the lease, divide it among the instances, and ask for the next one."""
        limit, holder, me = row.limit, row.holder, shell.member.me
        own_subject = f"{holder_of(me.name, me.run_id)} {limit.name}"
        for entry in shell.member.entry_store.read(now, "grant", own_subject):
            try:
                holder.accept_lease(now, entry.origin, read_lease(entry.value), entry.expires_at)
            except Malformed:
                continue
        arrival_rates = {
            str(worker): instance.arrival_rates[limit.name].per_s(now)
            if limit.name in instance.arrival_rates
            else 0.0
            for worker, instance in self.instances.items()
        }
        applied_leases = {
            str(worker): instance.applied_leases[limit.name]
            for worker, instance in self.instances.items()
            if limit.name in instance.applied_leases
        }
        holder.record_demand(sum(arrival_rates.values()))
        shares_due = now >= row.next_share_at
        for worker, share in holder.allocate(
            now, applied_leases, arrival_rates, self.terms.term_s, shares_due
        ).items():
            self.send_to_worker(
                int(worker),
                lease_message(limit.name, [share.per_s, share.burst, *share.version], share.until),
            )
        if shares_due:
            row.next_share_at = now + self.terms.term_s / RENEWALS_PER_TERM
        lease_request = holder.request(now, self._lessor_of(shell, limit))._replace(run_id=me.run_id)
        if (
            now >= row.next_request_at
            or row.last_request is None
            or differs_significantly(row.last_request, lease_request, limit)
        ):
            shell.publish(
                "ask", limit.name, write_lease_request(lease_request), self.terms.term_s, renew=False
            )
            row.last_request, row.next_request_at = lease_request, now + self.terms.term_s / RENEWALS_PER_TERM
            if lease_request.lessor and lease_request.lessor != me.name:
                peers_to_push.add(lease_request.lessor)
        exceeded = holder.demand > holder.leased(now) + limit.reserved_per_s(self.terms.fleets) + 1e-9
        if exceeded != row.demand_exceeds_share:
            row.demand_exceeds_share = exceeded
            text = "more is asked for here than its part" if exceeded else "its part is enough again"
            self.log("info", f"limit {limit.name}: {text}")

    def _lessor_of(self, shell: Shell, limit: Limit) -> str:
        """The lessor of a strict limit is the elected leader, by the most votes; of an open limit, the first
        of the members that are alive by rendezvous ranking."""
        if limit.when_cut is PartitionPolicy.STRICT:
            lessors = [read_vote(s.value).candidate for s in shell.member.entry_store.read(clock(), "vote")]
            return max(set(lessors), key=lambda name: (lessors.count(name), name), default="")
        members = [record.name for record in shell.member.peers.active_records()]
        return max(members, key=lambda name: (crc32(f"{limit.name} {name}".encode()), name))

    def _grant_leases(
        self, now: float, shell: Shell, row: LimitState, is_lessor: bool, peers_to_push: set[str]
    ) -> None:
        """As the lessor, if this fleet is: grant leases to the holders that ask for one."""
        limit, me, leadership = row.limit, shell.member.me, self.leadership
        assert leadership is not None
        lease_requests: dict[str, tuple[str, LeaseRequest]] = {}
        for entry in shell.member.entry_store.read(now, "ask", limit.name):
            try:
                lease_request = read_lease_request(entry.value)
            except Malformed:
                continue
            lease_requests[holder_of(entry.origin, lease_request.run_id)] = entry.origin, lease_request
            row.term_number = max(row.term_number, lease_request.version.term)
        if limit.when_cut is PartitionPolicy.STRICT:
            if not is_lessor:
                return
            term_number, settled = leadership.term, leadership.predecessors_expired(now)
            leadership.highest_term = max(leadership.highest_term, row.term_number)
            received_requests = lease_requests
        else:
            received_requests = {
                name: pair for name, pair in lease_requests.items() if pair[1].lessor == me.name
            }
            if not received_requests:
                row.lessor_since = None
                return
            if row.lessor_since is None:
                row.lessor_since, row.term_number = now, row.term_number + 1
                row.lessor.term = 0
            term_number, settled = row.term_number, now >= row.lessor_since + term_validity_s(self.terms)
            if row.lessor.term:
                term_number = row.lessor.term
        view = shell.member.peers.view
        instances = sum(
            view[origin].instances if origin in view else 1 for origin, _ in received_requests.values()
        )
        configured_instances = max(self.terms.fleets * max(me.instances, 1), 1)
        capacity = row.lessor.capacity(
            instances,
            configured_instances,
            (lease_request for _, lease_request in received_requests.values()),
        )
        mismatched = sorted(
            {
                o
                for o, lease_request in received_requests.values()
                if lease_request.per_s and lease_request.per_s != limit.per_s
            }
        )
        if mismatched != row.mismatched_fleets:
            row.mismatched_fleets = mismatched
            if mismatched:
                text = (
                    f"{', '.join(mismatched)} have other rows than {limit.per_s:g} a second; the lowest holds"
                )
                self.log("warning", f"limit {limit.name}: {text}")
        renewal_due = now >= row.next_grant_at
        requests_by_holder = {name: lease_request for name, (_, lease_request) in received_requests.items()}
        for name, grant in row.lessor.step(
            now, me.name, term_number, settled, capacity, requests_by_holder, renewal_due
        ).items():
            shell.publish("grant", f"{name} {limit.name}", write_lease(grant), self.terms.term_s, renew=False)
            if received_requests[name][0] != me.name:
                peers_to_push.add(received_requests[name][0])
            else:
                self.on_entries_changed()
        if renewal_due:
            row.next_grant_at = now + self.terms.term_s / RENEWALS_PER_TERM

    # Control requests

    def report(self) -> list[dict[str, Any]]:
        shell, now = self.shell(), clock()
        rows = []
        for row in self.rows.values():
            limit, holder = row.limit, row.holder
            granted = row.lessor.ledger.outstanding(now)
            instances = shell.member.peers.instances() if shell is not None else 0
            rows.append(
                {
                    "limit": limit.name,
                    "tenant": limit.tenant,
                    "class": limit.cls,
                    "per_s": limit.per_s,
                    "burst": limit.burst,
                    "when_cut": limit.when_cut.value,
                    "keeper": holder.lessor if now < holder.expires_at else "",
                    "asked_here": round(holder.demand, 2),
                    "lent_here": round(holder.leased(now), 2),
                    "fixed_here": round(limit.reserved_per_s(self.terms.fleets), 2),
                    "alone_here": round(limit.fallback_per_s(self.terms), 2),
                    "granted": round(granted, 2) if granted else None,
                    "most_in_a_second": round(max_admitted(limit, self.terms, 1.0, instances), 2),
                    "most_without_cuts": round(max_admitted(limit, self.terms, 1.0, instances, cut=False), 2),
                    "follows_a_change_s": term_validity_s(self.terms),
                }
            )
        return rows


def lease_message(limit: str, value: list[float], expires_at: float) -> ChannelMessage:
    return {"kind": "word", "about": "limit", "limit": limit, "value": value, "until": expires_at}


def differs_significantly(previous: LeaseRequest, lease_request: LeaseRequest, limit: Limit) -> bool:
    """Whether the new entry has to be published before the next renewal."""
    if (previous.version, previous.lessor, previous.lease_lessor) != (
        lease_request.version,
        lease_request.lessor,
        lease_request.lease_lessor,
    ):
        return True
    return abs(previous.demand - lease_request.demand) > SIGNIFICANT_CHANGE_FRACTION * limit.per_s
