"""Turns soft-state entries from the supervisor into events for the decision module of an instance.

The supervisor sets the expiry of an entry on the machine's clock when it sends the entry. The expiry is
checked before each step of the module. After it the instance uses its standalone value and, for the number of
proxies, logs that once. A decision module that is restarted after a fault gets all entries again before its
first request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from flintlatch.api import Ejection, Event, LimitAllocation, TierMembership


class ReceivedEntries:
    def __init__(
        self,
        instance_number: int,
        standalone_proxies: TierMembership,
        limits: Iterable[LimitAllocation],
        clock: Callable[[], float],
        log: Callable[[str], None],
    ) -> None:
        """`instance_number`: index of this instance in its fleet. `standalone_proxies` and `limits` are used
        while there is no valid entry."""
        self.instance_number, self.standalone_proxies, self.clock, self.log = (
            instance_number,
            standalone_proxies,
            clock,
            log,
        )
        self.agreed_proxies, self.proxies_expire_at = standalone_proxies, 0.0
        self.applied_proxies = standalone_proxies
        self.standalone = True
        self.module_life = -1  # of the module that received the events
        self.standalone_limits = {limit.limit: limit for limit in limits}
        self.leases: dict[
            str, tuple[LimitAllocation, float, list[int]]
        ] = {}  # by limit: share, expiry, id of the lease
        self.sent_limits: dict[str, LimitAllocation] = {}
        self.applied_leases: dict[str, list[int]] = {}  # by limit: id of the lease in use; empty if none
        self.next_expiry, self.limits_changed = 0.0, True
        self.ejected: set[str] = set()  # as sent to the module
        self.ejections: tuple[set[str], float] = set(), 0.0  # as received, and their expiry
        self.reported_servers: set[str] = (
            set()
        )  # an observer reports failures; this instance's view is wanted
        self.ejections_changed = False

    def on_entry(self, entry: dict[str, Any]) -> None:
        """Stores an entry; one of an unknown kind is ignored.

        Raises KeyError, TypeError or ValueError if the entry is malformed."""
        if entry["about"] == "proxies":
            proxies, first = map(int, entry["value"])
            self.agreed_proxies = TierMembership(max(proxies, 1), max(first, 0) + self.instance_number)
            self.proxies_expire_at = float(entry["until"])
        elif entry["about"] == "shun":
            self.ejections = set(map(str, entry["value"])), float(entry["until"])
            self.reported_servers = set(map(str, entry["accused"]))
            self.ejections_changed = True
        elif entry["about"] == "limit" and entry["limit"] in self.standalone_limits:
            per_s, burst, *mark = entry["value"]
            standalone = self.standalone_limits[entry["limit"]]
            lease = standalone._replace(per_s=float(per_s), burst=float(burst))
            self.leases[lease.limit] = lease, float(entry["until"]), [int(component) for component in mark]
            self.limits_changed = True

    def pending_events(self, module_life: int) -> list[Event]:
        """Events for what has changed or expired since the last call. `module_life` changes when the decision
        module is restarted, which then gets everything."""
        now = self.clock()
        if module_life != self.module_life:
            self.module_life, self.sent_limits, self.limits_changed = module_life, {}, True
            self.ejected, self.ejections_changed = set(), True
        events: list[Event] = []
        if self.limits_changed or now >= self.next_expiry:
            events += self._limit_events(now)
        if self.ejections_changed or self.ejected:
            events += self._ejection_events(now)
        standalone = now >= self.proxies_expire_at
        proxies = self.standalone_proxies if standalone else self.agreed_proxies
        if standalone and not self.standalone:
            self.log(
                f"the entry on other fleets has expired: counting {proxies.proxies} proxies, as configured"
            )
        self.standalone = standalone
        if proxies != self.applied_proxies:
            self.applied_proxies = proxies
            events.append(proxies)
        return events

    def _ejection_events(self, now: float) -> list[Event]:
        servers, expires_at = self.ejections
        if not self.ejections_changed:
            if now >= expires_at:  # the ejections expire in the module as well
                self.ejected = set()
            return []
        self.ejections_changed = False
        remaining_ms = max(expires_at - now, 0.0) * 1000
        servers_to_eject = servers if remaining_ms else set()
        lifted = [Ejection(server, 0.0) for server in sorted(self.ejected - servers_to_eject)]
        self.ejected = set(servers_to_eject)
        return [*lifted, *(Ejection(server, remaining_ms) for server in sorted(servers_to_eject))]

    def _limit_events(self, now: float) -> list[Event]:
        self.limits_changed, self.next_expiry = False, inf
        events: list[Event] = []
        for name, standalone in self.standalone_limits.items():
            limit, expires_at, mark = self.leases.get(name, (standalone, 0.0, []))
            if now >= expires_at:
                limit, mark = standalone, []
            else:
                self.next_expiry = min(self.next_expiry, expires_at)
            if limit != self.sent_limits.get(name):
                self.sent_limits[name] = limit
                events.append(limit)
            self.applied_leases[name] = mark
        return events
