"""Connects the decision module with the sockets: posts events to it, executes its actions, and keeps the
requests and their attempts by id."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import NamedTuple

from flintlatch.api import (
    Action,
    Arrival,
    Cancel,
    ClientDisconnected,
    DiscoveryServiceChanged,
    EndReason,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    Result,
    Send,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    TierMembership,
    TimerFired,
    Watch,
)
from flintlatch.choice import Balancer
from flintlatch.exchange import NO_LIMIT_BYTES, Budget
from flintlatch.net.addresses import AddressOwners
from flintlatch.net.backends import Attempt, Backends
from flintlatch.net.clock import WallClock, now_ms
from flintlatch.net.counts import Counts, ListEvent, RetryEvent
from flintlatch.net.discovery import Discovery
from flintlatch.net.guard import bugs
from flintlatch.net.http1 import Response
from flintlatch.net.listing import Listing, Target
from flintlatch.net.log import log, request_log
from flintlatch.net.recent_ids import RecentIds
from flintlatch.net.starts import ServerStarts
from flintlatch.net.turns import TurnSchedule
from flintlatch.settings import SocketSettings

MODULE_RESTART_DELAY_S = 0.1  # between the failure of a decision module and the first step of the next
# After which a process is ready although its agent has told it no list: it refuses requests until then, but
# an outage of the list service may last, and a start may not.
READY_WITHOUT_LIST_S = 5.0
LIST_FAILURE_LOG_INTERVAL_MS = 1000.0  # between two log lines on failures with the same reason
# The headers that a client needs to read the body. All others concern only the proxy and the backend.
FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding", b"content-language")
PROBE_HEAD = b"GET /stats HTTP/1.1\r\nhost: backend.local\r\n"


class Answer(NamedTuple):
    """A complete response to a client."""

    status: int
    headers: bytes = b""  # complete lines, each with its CRLF
    body: bytes = b""
    retry_after_ms: float = 0.0  # as in `headers`; 0: none


class AcceptedRequest(NamedTuple):
    """A checked request. Its body is complete unless `uploading` is set."""

    id: str
    cls: int
    tenant: int
    key: int | None
    budget_ms: float
    is_retry: bool
    head: bytes  # request line and headers for the backend, without the final empty line
    body: bytes
    respond: Callable[[Answer], None]
    budget_after_upload_ms: float = inf  # time left once an upload is complete
    uploading: bool = False  # the body is not complete yet
    memory_bytes: int = 0  # memory reserved for its body


class PendingRequest:
    """A request, kept until it has a final answer and its last attempt has ended."""

    def __init__(self, accepted: AcceptedRequest) -> None:
        self.request = accepted
        self.attempts: list[Attempt] = []
        self.completed = False
        self.arrived_ms = now_ms()
        self.response_body_bytes = 0  # body of the final answer
        self.status, self.completed_ms = 0, 0.0  # of the final answer; status 0: the client left before it
        self.timer: asyncio.TimerHandle | None = None


class Engine:
    """Runs one proxy's decision module: events of one loop turn go to it in one step, and its actions are
    executed."""

    def __init__(
        self,
        settings: Settings,
        wire: SocketSettings,
        seed: int,
        max_connections: int,
        memory: Budget | None = None,
    ) -> None:
        self.memory = memory or Budget(NO_LIMIT_BYTES)
        self.settings, self.wire, self.seed = settings, wire, seed
        self.loop = asyncio.get_running_loop()
        self.turns = TurnSchedule(self.loop.call_soon, memory=self.memory)
        self.balancer = Balancer(settings, seed)
        self.backends = Backends(
            wire.connect_timeout_ms,
            wire.conn_idle_ms,
            max_connections,
            wire.source_host,
            self.turns,
            self.memory,
        )
        self.probe_timeout_ms = wire.connect_timeout_ms
        self.discovery: Discovery | None = None
        self.requests: dict[str, PendingRequest] = {}
        self.recent_ids = RecentIds()
        self.list_revision = 0  # of the present list
        self.list_received = False  # whole, from the service
        self.ready_without_list = False  # the first list has not come in time
        self.list_updated_ms = now_ms()  # when the service last confirmed the present list
        self.list_failure = ""  # reason of the last failed poll; empty after a success
        self.list_failures = 0  # failed polls in a row
        self.list_failure_logged_ms = -inf
        self.counts = Counts()
        self.wall_clock = WallClock()
        self.starts = ServerStarts(self.wall_clock)
        self.address_owners: AddressOwners | None = None  # where no two servers may share an address
        self.list_events: list[ServerList] = []
        self.events: list[Event] = []
        self.to_forget: list[PendingRequest] = []  # to be removed after the step that reports their end
        self.scheduled_step: asyncio.Handle | None = None
        self.module_generation = 0  # incremented when a failed module is replaced
        # Called with `module_generation` before each step, so that expiry is checked at the time of use.
        # Returns due events that carry the state agreed with other proxies.
        self.agreed_events: Callable[[int], list[Event]] | None = None
        # Called for each request once its attempts have ended.
        self.request_observer: Callable[[PendingRequest], None] | None = None
        # Called with class and status of each final answer.
        self.on_final_status: Callable[[int, int], None] = lambda cls, status: None

    # Events from the sockets and the list service

    def on_list(self, listing: Listing, kind: ListKind | None = None) -> None:
        """Applies a snapshot or a delta of the list. An empty snapshot removes all servers."""
        if not listing.is_partial:
            self.list_failure, self.list_failures = "", 0
        before = self._server_states()
        self._report_faults(listing)
        listing = self._resolve(listing)
        if self.address_owners is not None:
            listing = self._without_replaced(listing, self.address_owners)
        # The pools get a drain immediately, before any other request of this loop turn is written.
        self.list_revision = listing.revision
        self.backends.update(listing.targets, listing.is_snapshot)
        self.starts.forget(set(self.backends.backends))
        self.list_received = self.list_received or (kind is None and not listing.is_partial)
        kind = kind or (ListKind.SNAPSHOT if listing.is_snapshot else ListKind.DELTA)
        self.list_events.append(ServerList(kind, tuple(target.info for target in listing.targets)))
        self._schedule_step()
        self._report_list(kind, before, listing.is_partial)

    def _without_replaced(self, listing: Listing, owners: AddressOwners) -> Listing:
        """Takes servers as gone whose address another server of the list has now."""
        resolution, gone = owners.resolve(listing), []
        for uid, owner in resolution.replaced.items():
            held = self.backends.backends.get(uid)
            if held is not None:
                log.event("server_replaced", uid=uid, by=owner, revision=listing.revision)
                gone.append(held.target._replace(info=held.target.info._replace(state=ServerState.GONE)))
        if listing.is_snapshot:
            return resolution.listing  # it does not name them any more
        return resolution.listing._replace(targets=(*gone, *resolution.listing.targets))

    def _resolve(self, listing: Listing) -> Listing:
        """Completes the entries that lack an address, adds the servers that stay as they are, and converts
        start times to the proxy's clock."""
        self._sample_wall_clock()
        targets = []
        for target in listing.targets:
            held = self.backends.backends.get(target.uid)
            if target.host:
                targets.append(self._with_local_start(target))
            elif held is not None:
                info = held.target.info._replace(state=target.info.state)
                targets.append(held.target._replace(info=info))
        named = {target.uid for target in targets}
        for uid in listing.unchanged - named:
            held = self.backends.backends.get(uid)
            if held is not None:
                targets.append(held.target)
        return listing._replace(targets=tuple(targets))

    def _with_local_start(self, target: Target) -> Target:
        if target.info.started is None:
            return target
        previous_list_ms = self.list_updated_ms if self.list_received else None
        started = self.starts.local_ms(target.uid, target.info.started, previous_list_ms)
        return target._replace(info=target.info._replace(started=started))

    def list_snapshot(self) -> Listing:
        """The present list with the starts of servers as the service tells them, for another process."""
        targets = []
        for uid, backend in self.backends.backends.items():
            start = self.starts.by_uid.get(uid)
            info = backend.target.info._replace(started=start.unix_ms if start is not None else None)
            targets.append(backend.target._replace(info=info))
        return Listing(self.list_revision, True, tuple(targets))

    def _sample_wall_clock(self) -> None:
        step_ms = self.wall_clock.sample()
        if step_ms:
            log.event("wall_clock_stepped", by_ms=step_ms)

    def _report_faults(self, listing: Listing) -> None:
        for _ in listing.faults:
            self.counts.add(ListEvent.ENTRY_REJECTED)
        if listing.faults:
            log.event(
                "list_entries_rejected",
                revision=listing.revision,
                entries=len(listing.faults),
                first=listing.faults[0],
            )

    def _server_states(self) -> dict[str, ServerState]:
        return {uid: backend.target.info.state for uid, backend in self.backends.backends.items()}

    def _report_list(self, kind: ListKind, before: dict[str, ServerState], is_partial: bool) -> None:
        """Counts an applied list, and logs it if a server was added, changed its state or was removed."""
        self.counts.add(ListEvent.PARTIAL if is_partial else ListEvent.APPLIED)
        age_ms = now_ms() - self.list_updated_ms
        if not is_partial:
            self.list_updated_ms = now_ms()
        after = self._server_states()
        if after == before or kind is ListKind.SAVED:
            return
        log.event(
            "list_applied_in_part" if is_partial else "list_applied",
            revision=self.list_revision,
            kind=kind.value,
            servers=len(after),
            active=sum(state is ServerState.ACTIVE for state in after.values()),
            added=sum(uid not in before for uid in after),
            changed=sum(uid in before and before[uid] is not state for uid, state in after.items()),
            removed=sum(uid not in after for uid in before),
            previous_age_ms=age_ms,
        )

    def watch_agent(self) -> None:
        """Polls an agent on this machine. What the agent has counts as known to the proxy from its start on,
        so no server is used before it has answered: any of those on an older list may have drained since."""
        assert self.discovery is not None
        self.discovery.watch()
        self.loop.call_later(READY_WITHOUT_LIST_S, self._stop_waiting_for_list)

    def _stop_waiting_for_list(self) -> None:
        if not self.list_received:
            log.event("ready_without_list", waited_s=READY_WITHOUT_LIST_S, failures=self.list_failures)
            self.ready_without_list = True

    def has_servers(self) -> bool:
        """Whether clients may come: there is an active server, or no list to know one from for too long."""
        return self.backends.active() > 0 or (self.ready_without_list and not self.list_received)

    def on_list_failure(self, reason: str) -> None:
        self.counts.add(ListEvent.FAILED)
        self.list_failures += 1
        now = now_ms()
        if reason != self.list_failure or now - self.list_failure_logged_ms >= LIST_FAILURE_LOG_INTERVAL_MS:
            self.list_failure_logged_ms = now
            log.event(
                "list_failed",
                reason=reason,
                failures=self.list_failures,
                revision=self.list_revision,
                servers=len(self.backends.backends),
                age_ms=now - self.list_updated_ms,
            )
        self.list_failure = reason
        if self.settings.ask_for_list:
            self.list_events.append(ServerList(ListKind.FAILED))
            self._schedule_step()

    def change_list_address(self, address: str) -> None:
        """Polls another list service from now on; the present list stays in use until the first response."""
        if self.discovery is not None and self.discovery.change_address(address):
            log.event("list_service_changed", address=address, revision=self.list_revision)
            if self.settings.ask_for_list:
                self._post_event(DiscoveryServiceChanged())
            else:
                self.discovery.watch()

    def accept(self, accepted: AcceptedRequest) -> bool:
        """Adds a request. False if a request with this id is open or was recently, because ids must be
        unique."""
        if accepted.id in self.recent_ids or accepted.id in self.requests:
            return False
        self.recent_ids.add(accepted.id)
        # Capped at the deadline of the class: a larger budget would distort what the decision module learns.
        budget = accepted.budget_ms
        if not accepted.uploading:
            budget = min(budget, self.settings.classes[accepted.cls].deadline_ms)
        pending = self.requests[accepted.id] = PendingRequest(accepted)
        pending.timer = self.loop.call_later(max(budget, 0.0) / 1000, self._on_deadline, pending)
        key, is_retry = accepted.key, accepted.is_retry
        deadline = now_ms() + budget
        upload_fields = (accepted.budget_after_upload_ms, accepted.uploading, accepted.memory_bytes)
        self._post_event(
            Arrival(accepted.id, accepted.cls, accepted.tenant, key, deadline, is_retry, *upload_fields)
        )
        return True

    def client_gone(self, request_id: str) -> None:
        pending = self.requests.get(request_id)
        if pending is None or pending.completed:
            return
        self._complete(pending)
        self._post_event(ClientDisconnected(request_id))

    def _on_deadline(self, pending: PendingRequest) -> None:
        """Answers a request that the decision module has not answered within the client's budget."""
        if not pending.completed:
            self._count_unserved(pending, EndReason.DEADLINE)
            self._respond(pending, Answer(504))
            self._post_event(ClientDisconnected(pending.request.id))

    def _count_unserved(self, pending: PendingRequest, reason: EndReason) -> None:
        """Counts and logs a request that gets a final answer of the proxy's own."""
        self.counts.add(reason)
        attempts = pending.attempts
        request_log.event(
            "request_not_served",
            id=pending.request.id,
            reason=reason.value,
            attempts=len(attempts),
            last_server=attempts[-1].uid if attempts else None,
            last_result=attempts[-1].result.value if attempts and attempts[-1].result else None,
            age_ms=now_ms() - pending.arrived_ms,
        )

    def _count_attempt(self, pending: PendingRequest, number: int, attempt: Attempt) -> None:
        """Counts a new attempt if it is a further one, and logs it with the result of the previous one."""
        if not number:
            return
        self.counts.add(RetryEvent.SENT)
        previous = pending.attempts[number - 1]
        request_log.event(
            "retry",
            id=pending.request.id,
            attempt=number,
            server=attempt.uid,
            previous_server=previous.uid,
            previous_result=previous.result.value if previous.result else "open",
        )

    def fail_all(self) -> None:
        """Answers all open requests as expired, when the proxy stops."""
        for pending in list(self.requests.values()):
            self._on_deadline(pending)

    def unavailable_servers(self) -> int:
        """Servers on the list to which the decision module sends no new requests."""
        return self.balancer.unavailable(now_ms())

    def open_requests(self) -> int:
        return sum(not pending.completed for pending in self.requests.values())

    def _on_attempt_end(
        self,
        pending: PendingRequest,
        number: int,
        attempt: Attempt,
        result: Result,
        response: Response | None,
    ) -> None:
        if result is Result.OK and response is not None and not pending.completed:
            headers = b"".join(
                b"%b: %b\r\n" % pair for pair in response.headers if pair[0] in FORWARDED_RESPONSE_HEADERS
            )
            self._respond(pending, Answer(200, headers, response.body))
        delay = now_ms() - attempt.start_ms
        self.counts.add(result)
        self._post_event(Outcome(pending.request.id, number, result, delay, pending.completed))
        self._forget_if_finished(pending)

    def _on_probe(self, attempt: Attempt, result: Result, _: Response | None) -> None:
        self._post_event(ProbeResult(attempt.uid, result, now_ms() - attempt.start_ms))

    def _on_timer(self, token: int, generation: int) -> None:
        if generation == self.module_generation:
            self._post_event(TimerFired(token))

    # Steps of the decision module: one for each loop turn that has events

    def _post_event(self, event: Event) -> None:
        self.events.append(event)
        self._schedule_step()

    def wake(self) -> None:
        """Schedules a step for the next loop turn even without events."""
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self.scheduled_step is None:
            self.scheduled_step = self.loop.call_soon(self._step)

    def _step(self) -> None:
        self.scheduled_step = None
        self._sample_wall_clock()
        batch: list[Event] = [*self.list_events, *self.events]
        if self.agreed_events is not None and (agreed := self.agreed_events(self.module_generation)):
            batch = [*agreed, *batch]
            for event in agreed:
                if isinstance(
                    event, TierMembership
                ):  # the initial state of a module that replaces a failed one
                    self.settings = replace(self.settings, proxies=max(event.proxies, 1), me=event.me)
        self.list_events, self.events = [], []
        finished, self.to_forget = self.to_forget, []
        try:
            actions = self.balancer.step(now_ms(), batch)
        except Exception:
            self._restart_decision_module()
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:  # the other actions, such as the next timer, must still run
                bugs.report(f"{action} was not carried out", error)
                self._end_interrupted_attempt(action)
        for pending in finished:
            # Not earlier: in the step that reports the end, the decision module may have started another
            # attempt, and it must get an outcome for each attempt.
            if self.requests.get(pending.request.id) is pending and all(
                attempt.ended for attempt in pending.attempts
            ):
                del self.requests[pending.request.id]
                self.recent_ids.end(pending.request.id)
                if self.request_observer is not None:
                    self.request_observer(pending)

    def _end_interrupted_attempt(self, action: Action) -> None:
        """Gives the attempt of an action that raised an outcome."""
        pending = self.requests.get(action.request) if isinstance(action, Send) else None
        if pending is not None and pending.attempts and not pending.attempts[-1].ended:
            self.backends.fail(pending.attempts[-1])

    def _restart_decision_module(self) -> None:
        """Replaces a decision module that raised, because its state can't be trusted, and fails its
        requests."""
        log(f"the decision module failed and is replaced\n{traceback.format_exc()}")
        self.module_generation += 1
        self.balancer = Balancer(self.settings, self.seed + self.module_generation)
        entries = tuple(backend.target.info for backend in self.backends.backends.values())
        self.list_events, self.events, self.to_forget = [ServerList(ListKind.SAVED, entries)], [], []
        # A module that fails at once each time must leave time to answer requests.
        self.scheduled_step = self.loop.call_later(MODULE_RESTART_DELAY_S, self._step)
        # Answering a request may accept the next one on its connection, which belongs to the new module.
        failed, self.requests = self.requests, {}
        for pending in failed.values():
            self.recent_ids.end(pending.request.id)
            for attempt in pending.attempts:
                self.backends.cancel(attempt)
            if not pending.completed:
                self._count_unserved(pending, EndReason.MODULE_FAILED)
                self._respond(pending, Answer(500))

    def _execute(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, (Refuse, Fail)):
            pending = self.requests.get(action.request)
            if pending is not None and not pending.completed:
                self._count_unserved(pending, action.reason)
                self._respond(pending, refusal_answer(action) if isinstance(action, Refuse) else Answer(504))
        elif isinstance(action, Cancel):
            pending = self.requests.get(action.request)
            if pending is not None and action.attempt < len(pending.attempts):
                self.backends.cancel(pending.attempts[action.attempt])
        elif isinstance(action, SetTimer):
            self.loop.call_later(action.delay_ms / 1000, self._on_timer, action.token, self.module_generation)
        elif isinstance(action, Watch):
            if self.discovery is not None:
                self.discovery.watch()
        elif isinstance(action, Probe):
            self.backends.start(
                Attempt(action.server, PROBE_HEAD, b"", self.probe_timeout_ms, self._on_probe)
            )
        elif isinstance(action, Log):
            log(action.text)

    def _send(self, action: Send) -> None:
        pending = self.requests.get(action.request)
        if pending is None:
            return
        number, accepted = len(pending.attempts), pending.request
        attempt = Attempt(
            action.server,
            accepted.head,
            accepted.body,
            action.attempt_timeout_ms,
            lambda ended, result, response: self._on_attempt_end(pending, number, ended, result, response),
            action.write_within_ms,
        )
        pending.attempts.append(attempt)
        if pending.completed or number >= self.settings.max_attempts:
            attempt.end(Result.NOT_SENT)
        else:
            self._count_attempt(pending, number, attempt)
            self.backends.start(attempt)

    def close(self) -> None:
        self.backends.close()
        if self.discovery is not None:
            self.discovery.close()

    # End of a request

    def _respond(self, pending: PendingRequest, answer: Answer) -> None:
        pending.status, pending.response_body_bytes = answer.status, len(answer.body)
        self.on_final_status(pending.request.cls, answer.status)
        self._complete(pending)
        pending.request.respond(answer)

    def _complete(self, pending: PendingRequest) -> None:
        pending.completed, pending.completed_ms = True, now_ms()
        if pending.timer is not None:
            pending.timer.cancel()
        self._forget_if_finished(pending)

    def _forget_if_finished(self, pending: PendingRequest) -> None:
        if pending.completed and all(attempt.ended for attempt in pending.attempts):
            self.to_forget.append(pending)


def refusal_answer(action: Refuse) -> Answer:
    """503, with Retry-After if the decision module gave a delay."""
    if action.retry_after_ms <= 0:
        return Answer(503)
    line = b"retry-after: %.3f\r\n" % (action.retry_after_ms / 1000)
    return Answer(503, line, retry_after_ms=action.retry_after_ms)
