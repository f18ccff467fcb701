"""Decides a run of the soak by what clients, servers and the registry saw. No I/O.

All times are milliseconds of the harness's clock. The rules are those of the protocol page with its slack.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import sqrt

from flintlatch.standin.ledger import Ledger, Violation

DRAIN_GRACE_MS = 250.0
LATE_MS = 500.0  # after its deadline an answer counts as lost
LEAVE_SLACK_MS = 100.0  # from the close by a client to the last new attempt for it
BUDGET_SLACK_MS = 150.0  # of the time told to a server over what is left to the client
HOLD_SLACK_MS = 150.0  # a process may be held up so long between its clock and a write
PROPAGATION_MS = 6000.0  # a change counts as told so long after the reachable registry had it


@dataclass
class RegistryFacts:
    """When changes happened, and when they counted as told to the running process."""

    changed_ms: dict[str, float] = field(default_factory=dict)  # by uid: since when it drains or is gone
    told_ms: dict[str, float] = field(default_factory=dict)  # by uid: written to the process
    start_told: set[str] = field(default_factory=set)  # servers whose present start was written
    unreachable_until_ms: float = 0.0
    bad_answers_since: int = 0  # since the last good one

    def on_change(self, uid: str, now_ms: float) -> None:
        self.changed_ms.setdefault(uid, now_ms)

    def on_active(self, uid: str) -> None:
        self.changed_ms.pop(uid, None)
        self.told_ms.pop(uid, None)

    def on_told(self, uid: str, now_ms: float) -> None:
        if uid in self.changed_ms:
            self.told_ms.setdefault(uid, now_ms)

    def on_new_process(self, now_ms: float) -> None:
        """A new process knows what its saved list says; everything else has to be told to it."""
        self.told_ms.clear()
        self.start_told.clear()
        self.unreachable_until_ms = now_ms
        self.bad_answers_since = 0

    def on_unreachable(self, now_ms: float) -> None:
        self.unreachable_until_ms = now_ms

    def counts_as_told_ms(self, uid: str) -> float | None:
        """Since when the process counts as told that the server drains or is gone."""
        changed_ms = self.changed_ms.get(uid)
        if changed_ms is None:
            return None
        by_time_ms = max(changed_ms, self.unreachable_until_ms) + PROPAGATION_MS
        return min(self.told_ms.get(uid, by_time_ms), by_time_ms)


def slow_start_limit(allowed: float) -> float:
    """The requests that a cold server may get in its window, if `allowed` fit into it."""
    return allowed + (2 * sqrt(allowed) + 2 if allowed >= 30 else 3 * sqrt(allowed) + 3)


@dataclass
class Audit:
    """The findings of one run, beside those of its ledger."""

    ledger: Ledger
    registry: RegistryFacts = field(default_factory=RegistryFacts)
    closed_ms: dict[str, float] = field(default_factory=dict)  # by request: its client has closed
    found: list[Violation] = field(default_factory=list)
    interrupted_ms: float = 0.0  # when the harness last ended connections of a server or the program

    def on_attempt(self, node: str, request_id: str, first_byte_ms: float, budget_ms: float | None) -> None:
        """A server has read a request whole."""
        told_ms = self.registry.counts_as_told_ms(node)
        if told_ms is not None and first_byte_ms > told_ms + DRAIN_GRACE_MS + 50.0:
            late = first_byte_ms - told_ms
            self.add("drain", f"{node} got {request_id} {late:.0f} ms after it counted as told")
        closed_ms = self.closed_ms.get(request_id)
        if closed_ms is not None and first_byte_ms > closed_ms + LEAVE_SLACK_MS + 50.0:
            self.add("lost", f"{request_id}: sent {first_byte_ms - closed_ms:.0f} ms after its client left")
        request = self.ledger.requests.get(request_id)
        if request is not None and budget_ms is not None:
            left = request.deadline_ms - first_byte_ms
            if budget_ms > max(left, 0.0) + BUDGET_SLACK_MS:
                self.add("budget", f"{request_id}: told {budget_ms:.0f} ms, {left:.0f} ms were left")

    def add(self, rule: str, detail: str) -> None:
        self.found.append(Violation(rule, detail))

    def violations(self) -> list[Violation]:
        """All findings; of the ledger's time limits only what exceeds the slack of the protocol page."""
        from_ledger = [v for v in self.ledger.violations() if v.rule not in ("late", "drained")]
        late = [
            Violation("lost", f"{r.id}: answered {r.answered_ms - r.deadline_ms:.0f} ms late")
            for r in self.ledger.requests.values()
            if r.answers and not r.excused and r.answered_ms > r.deadline_ms + LATE_MS
        ]
        return [*self.found, *from_ledger, *late]

    def counts(self) -> Counter[str]:
        return Counter(violation.rule for violation in self.violations())
