"""The ledger: what clients asked and got, what nodes ran and were told, and which rules that broke. No I/O.

Times are milliseconds of one clock. The four rules (DESIGN and PROTOCOL pages of the deployment):
every request that was taken ends with one final answer before its deadline and nothing follows it;
no effect happens twice (unsafe: runs once; keyed: again only inside its scope and window); nothing new
goes to a draining node past the grace; no cold node is pushed over.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from flintlatch.api import Effect, RequestClass, Scope

GRACE_MS = 50.0  # added to each time limit, as on the platform's sockets: one machine's scheduling


@dataclass(slots=True)
class Asked:
    """A request as its client sees it."""

    id: str
    spec: RequestClass
    key: str | None
    sent_ms: float
    deadline_ms: float  # the moment, not the span
    status: int | None = None
    answered_ms: float = 0.0
    answers: int = 0
    followed: int = 0  # bytes behind its answer that belong to nothing
    close_races: int = 0  # times that a kept connection closed before anything of it was read
    broken: str = ""  # how its connection ended without an answer
    excused: str = ""  # the process that held it was killed outright


@dataclass(frozen=True, slots=True)
class Run:
    """One time that a node began the work of a request."""

    id: str
    key: str | None
    node: str
    zone: int
    cell: int
    at_ms: float
    effect: bool  # false for a repeat that the node knew by its key, and answered without doing it again


@dataclass(frozen=True, slots=True)
class Broken:
    rule: str
    about: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.about}"


@dataclass
class Ledger:
    drain_grace_ms: float
    requests: dict[str, Asked] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    received: Counter[str] = field(default_factory=Counter)  # attempts that reached a node whole, by id
    drain_announced_ms: dict[str, float] = field(default_factory=dict)  # node: when the registry told
    sent_after_drain_grace: list[tuple[str, str, float]] = field(
        default_factory=list
    )  # node, id, ms after that
    fallen: list[tuple[str, float]] = field(default_factory=list)  # cold nodes pushed over, when

    # Clients

    def ask(self, request: Asked) -> None:
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
        told = self.drain_announced_ms.get(node)
        if told is not None and first_byte_ms - told > self.drain_grace_ms + GRACE_MS:
            self.sent_after_drain_grace.append((node, request_id, first_byte_ms - told))

    def run(self, run: Run) -> None:
        self.runs.append(run)

    # Verdict

    def violations(self) -> list[Broken]:
        """Every breach, in the order of the rules."""
        found = [b for request in self.requests.values() for b in self._of_request(request)]
        found += self._repeats()
        found += [
            Broken("drained", f"{node} got {request} {ms:.0f} ms after it was told to drain")
            for node, request, ms in self.sent_after_drain_grace
        ]
        found += [Broken("pushed over", f"{node} was cold and fell") for node, _ in self.fallen]
        return found

    def _of_request(self, request: Asked) -> list[Broken]:
        found = []
        if request.answers == 0 and not request.excused:
            found.append(Broken("lost", f"{request.id}: {request.broken or 'no answer'}"))
        if request.answers > 1:
            found.append(Broken("doubled", f"{request.id}: {request.answers} answers"))
        if request.followed:
            found.append(Broken("followed", f"{request.id}: {request.followed} bytes behind its answer"))
        if request.answers and request.answered_ms > request.deadline_ms + GRACE_MS:
            late = request.answered_ms - request.deadline_ms
            found.append(Broken("late", f"{request.id}: answered {late:.0f} ms past its deadline"))
        if request.status == 200 and not self.received[request.id]:
            found.append(Broken("invented", f"{request.id}: served, and no node has seen it"))
        return found

    def _repeats(self) -> list[Broken]:
        found = []
        by_id: dict[str, list[Run]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.at_ms):
            by_id[run.id].append(run)
        for request_id, runs in by_id.items():
            request = self.requests.get(request_id)
            if request is None:
                found.append(Broken("invented", f"{request_id}: run, and no client has asked it"))
                continue
            spec, first = request.spec, runs[0]
            for later in runs[1:]:
                if spec.effect is Effect.UNSAFE:
                    found.append(Broken("repeated", f"{request_id}: unsafe, run {len(runs)} times"))
                    break
                if spec.effect is Effect.KEYED and (why := outside(spec, first, later)):
                    found.append(Broken("repeated", f"{request_id}: keyed, run again {why}"))
                    break
        return found

    def counts(self) -> dict[str, int]:
        """Figures for a person, by name."""
        asked = list(self.requests.values())
        broken = Counter(b.rule for b in self.violations())
        return {
            "requests": len(asked),
            "served": sum(r.status == 200 for r in asked),
            "refused": sum(r.status in (429, 503) for r in asked),
            "failed": sum(r.status not in (None, 200, 429, 503) for r in asked),
            "excused by a kill": sum(not r.answers and bool(r.excused) for r in asked),
            "crossed a close": sum(r.close_races > 0 for r in asked),
            "attempts at nodes": sum(self.received.values()),
            "lost": broken["lost"],
            "doubled": broken["doubled"] + broken["followed"] + broken["invented"],
            "late": broken["late"],
            "repeated": broken["repeated"],
            "to drained nodes": broken["drained"],
            "nodes pushed over": broken["pushed over"],
        }

    def table(self) -> str:
        rows = [f"{name:<20} {count:>8}" for name, count in self.counts().items()]
        return "\n".join(rows)


def outside(spec: RequestClass, first: Run, later: Run) -> str:
    """Why a keyed request's later run was not allowed; empty if it was."""
    if later.at_ms - first.at_ms > spec.window_ms + GRACE_MS:
        return f"{later.at_ms - first.at_ms:.0f} ms after its first run"
    if spec.scope is Scope.ZONE and later.zone != first.zone:
        return "in another zone"
    if spec.scope is Scope.CELL and later.cell != first.cell:
        return "in another cell"
    return ""
