"""Records the requests and answers of clients and the executions at nodes, and lists violated rules. No I/O.

All times are milliseconds of one clock. The four rules (DESIGN and PROTOCOL pages of the deployment):

- Every accepted request ends with exactly one final answer before its deadline, and no byte follows it.
- No effect happens twice: an unsafe request runs once; a keyed request runs again only within its
  idempotency scope and window.
- A draining node receives no new request after the drain grace period.
- No node in slow start is overloaded until it crashes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from flintlatch.api import Effect, RequestClass, Scope

GRACE_MS = 50.0  # tolerance on each time limit for scheduling delays, as on the platform's sockets


@dataclass(slots=True)
class RequestRecord:
    """A request as its client observes it."""

    id: str
    spec: RequestClass
    key: str | None
    sent_ms: float
    deadline_ms: float  # a time of the clock, not a duration
    status: int | None = None
    answered_ms: float = 0.0
    answers: int = 0
    trailing_bytes: int = 0  # bytes after the end of its answer, on an idle connection
    close_races: int = 0  # closes of a keep-alive connection that raced with this request
    failure: str = ""  # why it got no answer; empty if it got one
    excused: str = ""  # why a missing answer is no violation: the test killed the process that served it


@dataclass(frozen=True, slots=True)
class Execution:
    """The start of a request's work at a node."""

    id: str
    key: str | None
    node: str
    zone: int
    cell: int
    at_ms: float
    effect: bool  # false for a duplicate that the node recognised by its key and did not run again


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


@dataclass
class Ledger:
    drain_grace_ms: float
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    runs: list[Execution] = field(default_factory=list)
    received: Counter[str] = field(default_factory=Counter)  # by request id: attempts that a node read whole
    drain_announced_ms: dict[str, float] = field(default_factory=dict)  # by node
    # Node, request id, milliseconds since the registry announced the drain.
    sent_after_drain_grace: list[tuple[str, str, float]] = field(default_factory=list)
    # Node and time of each crash by overload in slow start.
    overload_crashes: list[tuple[str, float]] = field(default_factory=list)

    # Clients

    def ask(self, request: RequestRecord) -> None:
        if request.id in self.requests:
            raise ValueError(f"id asked twice: {request.id}")
        self.requests[request.id] = request

    def answer(self, request_id: str, status: int, now_ms: float) -> None:
        request = self.requests[request_id]
        request.answers += 1
        if request.answers == 1:
            request.status, request.answered_ms = status, now_ms

    # Nodes

    def receive(self, node: str, request_id: str, first_byte_ms: float) -> None:
        self.received[request_id] += 1
        announced_ms = self.drain_announced_ms.get(node)
        if announced_ms is not None and first_byte_ms - announced_ms > self.drain_grace_ms + GRACE_MS:
            self.sent_after_drain_grace.append((node, request_id, first_byte_ms - announced_ms))

    def run(self, run: Execution) -> None:
        self.runs.append(run)

    # Checks

    def violations(self) -> list[Violation]:
        """Return all violations, in the order of the rules."""
        violations = [v for request in self.requests.values() for v in self._request_violations(request)]
        violations += self._repeat_violations()
        violations += [
            Violation("drained", f"{node} got {request} {ms:.0f} ms after it was told to drain")
            for node, request, ms in self.sent_after_drain_grace
        ]
        violations += [
            Violation("pushed over", f"{node} was cold and fell") for node, _ in self.overload_crashes
        ]
        return violations

    def _request_violations(self, request: RequestRecord) -> list[Violation]:
        violations = []
        if request.answers == 0 and not request.excused:
            violations.append(Violation("lost", f"{request.id}: {request.failure or 'no answer'}"))
        if request.answers > 1:
            violations.append(Violation("doubled", f"{request.id}: {request.answers} answers"))
        if request.trailing_bytes:
            violations.append(
                Violation("followed", f"{request.id}: {request.trailing_bytes} bytes behind its answer")
            )
        if request.answers and request.answered_ms > request.deadline_ms + GRACE_MS:
            late = request.answered_ms - request.deadline_ms
            violations.append(Violation("late", f"{request.id}: answered {late:.0f} ms past its deadline"))
        if request.status == 200 and not self.received[request.id]:
            violations.append(Violation("invented", f"{request.id}: served, and no node has seen it"))
        return violations

    def _repeat_violations(self) -> list[Violation]:
        violations = []
        by_id: dict[str, list[Execution]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.at_ms):
            by_id[run.id].append(run)
        for request_id, runs in by_id.items():
            request = self.requests.get(request_id)
            if request is None:
                violations.append(Violation("invented", f"{request_id}: run, and no client has asked it"))
                continue
            spec, first = request.spec, runs[0]
            for later in runs[1:]:
                if spec.effect is Effect.UNSAFE:
                    violations.append(Violation("repeated", f"{request_id}: unsafe, run {len(runs)} times"))
                    break
                if spec.effect is Effect.KEYED and (reason := repeat_violation(spec, first, later)):
                    violations.append(Violation("repeated", f"{request_id}: keyed, run again {reason}"))
                    break
        return violations

    def counts(self) -> dict[str, int]:
        """Return the figures of the report, by the name that it prints."""
        requests = list(self.requests.values())
        violations = Counter(violation.rule for violation in self.violations())
        return {
            "requests": len(requests),
            "served": sum(r.status == 200 for r in requests),
            "refused": sum(r.status in (429, 503) for r in requests),
            "failed": sum(r.status not in (None, 200, 429, 503) for r in requests),
            "excused by a kill": sum(not r.answers and bool(r.excused) for r in requests),
            "crossed a close": sum(r.close_races > 0 for r in requests),
            "attempts at nodes": sum(self.received.values()),
            "lost": violations["lost"],
            "doubled": violations["doubled"] + violations["followed"] + violations["invented"],
            "late": violations["late"],
            "repeated": violations["repeated"],
            "to drained nodes": violations["drained"],
            "nodes pushed over": violations["pushed over"],
        }

    def table(self) -> str:
        rows = [f"{name:<20} {count:>8}" for name, count in self.counts().items()]
        return "\n".join(rows)


def repeat_violation(spec: RequestClass, first: Execution, later: Execution) -> str:
    """Return why the second execution of a keyed request was not allowed, or "" if it was."""
    if later.at_ms - first.at_ms > spec.window_ms + GRACE_MS:
        return f"{later.at_ms - first.at_ms:.0f} ms after its first run"
    if spec.scope is Scope.ZONE and later.zone != first.zone:
        return "in another zone"
    if spec.scope is Scope.CELL and later.cell != first.cell:
        return "in another cell"
    return ""
