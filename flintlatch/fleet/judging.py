"""Outlier ejection shared by all fleets, in the supervisor.

Publishes which servers fail its instances, evaluates the observations of all fleets, and tells the instances
which servers to avoid.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from flintlatch.fleet.channel import ChannelMessage
from flintlatch.peers.clock import clock
from flintlatch.peers.shell import Shell
from flintlatch.peers.words import EntryStore
from flintlatch.verdicts.api import EjectionDecision, EjectionRules, decide_ejections

RENEWALS_PER_TTL = 4  # of the published observations and of the entries sent to the instances
RECOVERED_VALUE = b"0"  # the value of an observation is the number of consecutive failures; 0 after a success


class OutlierEjector:
    """`broadcast` sends a message to every instance. `listed_servers` returns the uids on the own node list:
    observations of other servers are ignored, so ejection never adds a server."""

    def __init__(
        self,
        rules: EjectionRules,
        shell: Callable[[], Shell | None],
        broadcast: Callable[[ChannelMessage], None],
        listed_servers: Callable[[], set[str]],
        log: Callable[[str, str], None],
    ) -> None:
        self.rules, self.shell, self.broadcast, self.listed_servers, self.log = (
            rules,
            shell,
            broadcast,
            listed_servers,
            log,
        )
        self.failures_by_instance: dict[int, dict[str, int]] = {}  # consecutive failures by server
        self.recovered_by_instance: dict[int, set[str]] = {}  # servers that have answered since they failed
        # By server: the published value, and when to renew it.
        self.published: dict[str, tuple[bytes, float]] = {}
        self.detected = EjectionDecision()
        self.ejected: list[str] = []
        self.reported_servers: list[str] = []
        self.next_broadcast_at = 0.0
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.timer = self.loop.call_later(self.rules.life_s / RENEWALS_PER_TTL / 2, self.start)
        self.step()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def on_instance_report(self, worker: int, message: ChannelMessage) -> None:
        previous = self.failures_by_instance.get(worker), self.recovered_by_instance.get(worker)
        self.failures_by_instance[worker] = {str(name): int(count) for name, count in message["bad"].items()}
        self.recovered_by_instance[worker] = set(map(str, message["good"]))
        if (self.failures_by_instance[worker], self.recovered_by_instance[worker]) != previous:
            self.step()

    def remove_instance(self, worker: int) -> None:
        self.failures_by_instance.pop(worker, None)
        self.recovered_by_instance.pop(worker, None)

    def step(self) -> None:
        """Publishes the own observations, evaluates those of all fleets, and sends the result to the
        instances."""
        shell = self.shell()
        if shell is None:
            return
        now, listed = clock(), self.listed_servers()
        self._publish_observations(now, shell, listed)
        failing: dict[str, dict[str, int]] = {}
        recovered: dict[str, set[str]] = {}
        for entry in shell.member.entry_store.read(now, "seen"):
            if entry.subject not in listed or not entry.value.isdigit():
                continue
            if entry.value == RECOVERED_VALUE:
                recovered.setdefault(entry.subject, set()).add(entry.origin)
            else:
                failing.setdefault(entry.subject, {})[entry.origin] = int(entry.value[:4])
        zones = {record.name: record.zone for record in shell.member.peers.active_records()}
        previous, self.detected = (
            self.detected,
            decide_ejections(failing, recovered, zones, len(listed), self.rules),
        )
        me = shell.member.me
        self._log_changes(previous, me.name)
        ejected, reported = sorted(self.detected.ejected_for(me.name, me.zone)), sorted(failing)
        if (ejected, reported) != (self.ejected, self.reported_servers) or (
            ejected and now >= self.next_broadcast_at
        ):
            self.ejected, self.reported_servers = ejected, reported
            self.next_broadcast_at = now + self.rules.life_s / RENEWALS_PER_TTL
            expires_at = now + self.rules.life_s
            self.broadcast(
                {"kind": "word", "about": "shun", "value": ejected, "accused": reported, "until": expires_at}
            )

    def _publish_observations(self, now: float, shell: Shell, listed: set[str]) -> None:
        """Publishes one observation per server for the whole fleet: the most consecutive failures that an
        instance reports, or, if none does, that the server has recovered."""
        worst: dict[str, int] = {}
        for failures in self.failures_by_instance.values():
            for server in failures.keys() & listed:
                worst[server] = max(worst.get(server, 0), failures[server])
        recovered = set().union(*self.recovered_by_instance.values()) - worst.keys()
        for server in self.published.keys() - worst.keys() - recovered:
            del self.published[server]  # not observed any more: the published entry expires
        for server in sorted(worst.keys() | recovered):
            value = b"%d" % worst[server] if server in worst else RECOVERED_VALUE
            published_value, renew_at = self.published.get(server, (b"", 0.0))
            if value == published_value and now < renew_at:
                continue
            with suppress(ValueError):  # more servers than one fleet may report
                shell.publish("seen", server, value, self.rules.life_s, renew=False)
                self.published[server] = value, now + self.rules.life_s / RENEWALS_PER_TTL

    def _log_changes(self, previous: EjectionDecision, own_name: str) -> None:
        """Logs one line for each change."""
        for server, verdict in self.detected.ejected.items():
            if server not in previous.ejected:
                scope = f"for zone {verdict.zone}" if verdict.zone else "for all"
                change = (
                    f"found bad {scope} by {', '.join(verdict.reporters)}; "
                    f"tried on by {', '.join(verdict.probers)}"
                )
                self.log("info", f"{server}: {change}")
        for server in previous.ejected.keys() - self.detected.ejected.keys():
            self.log("info", f"{server}: no longer found bad together")
        if own_name in self.detected.unreliable - previous.unreliable:
            self.log("warning", "most servers fail here and not elsewhere: our voice counts for nothing")
        if self.detected.suppressed and not previous.suppressed:
            text = (
                f"{self.detected.suppressed} servers found bad together are more than may be out: "
                "all are used"
            )
            self.log("warning", text)

    def report(self) -> dict[str, Any]:
        shell, now = self.shell(), clock()
        observers: dict[str, list[str]] = {}
        if shell is not None:
            for entry in shell.member.entry_store.read(now, "seen"):
                if entry.value != RECOVERED_VALUE:
                    observers.setdefault(entry.subject, []).append(entry.origin)
        rows = []
        for server, names in sorted(observers.items()):
            verdict = self.detected.ejected.get(server)
            rows.append(
                {
                    "server": server,
                    "out": verdict is not None,
                    "zone": verdict.zone if verdict is not None else "",
                    "voices": sorted(names),
                    "tries": list(verdict.probers) if verdict is not None else [],
                    "shunned_here": server in self.ejected,
                }
            )
        return {
            "servers": rows,
            "ill": sorted(self.detected.unreliable),
            "many": self.detected.suppressed,
            "alone_within_s": round(2 * EntryStore.staleness_bound_s(self.rules.life_s), 2),
        }
