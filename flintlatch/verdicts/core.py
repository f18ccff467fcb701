"""Decides from the observations of all fleets which servers are ejected everywhere. No I/O, no clock.

Observations are soft-state entries of the topic `seen`: one for each pair of a fleet and a server whose
responses to that fleet failed. They expire, and so does every ejection that is based on them. Each fleet
applies the same rule to the entries that it holds. There is no leader and no request to other fleets, and a
fleet that receives nothing behaves as if it were alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from zlib import crc32

from flintlatch.peers import Merge, Topic
from flintlatch.verdicts.rows import EjectionRules

MAX_OBSERVATIONS = 256  # servers that one fleet may report at the same time
MAX_COUNTED_FAILURES = 3  # per observer; it ejects the server itself after choice.EJECTION_FAILURES = 3
MIN_SERVERS = 3  # with fewer servers, a reported fraction does not show that the observer is at fault


def observation_topic(ttl_s: float) -> Topic:
    """The topic of observations. The subject is a server; any value is allowed."""
    return Topic(
        "seen",
        Merge.PER_MEMBER,
        ttl_s,
        max_per_member=MAX_OBSERVATIONS,
        max_entries=32 * MAX_OBSERVATIONS,  # enough for 32 fleets that each report the maximum
        weight=2.0,  # twice the share of a datagram that a topic has by default
    )


@dataclass(frozen=True, slots=True)
class EjectedServer:
    server: str
    reporters: tuple[str, ...]  # fleets whose reports count
    zone: str  # empty: for all fleets; otherwise only for this zone, whose path to the server fails
    probers: tuple[str, ...]  # fleets that keep sending to the server; their observations decide when it ends


@dataclass(frozen=True, slots=True)
class EjectionDecision:
    ejected: dict[str, EjectedServer] = field(default_factory=dict)
    unreliable: frozenset[str] = frozenset()  # fleets whose observations are ignored
    suppressed: int = 0  # servers whose ejection was dropped because there were too many

    def ejected_for(self, fleet: str, zone: str) -> list[str]:
        """The servers that this fleet does not use for now."""
        return [
            ejection.server
            for ejection in self.ejected.values()
            if fleet not in ejection.probers and fleet not in self.unreliable and ejection.zone in ("", zone)
        ]


def decide_ejections(
    failures: Mapping[str, Mapping[str, int]],
    successes: Mapping[str, set[str]],
    fleets: Mapping[str, str],
    servers: int,
    rules: EjectionRules,
) -> EjectionDecision:
    """Applies the rules to all current observations.

    `failures`: consecutive failures by server and reporting fleet. `successes`: by reported server, the
    fleets that got a response from it recently. A fleet in neither has no recent evidence on the server.
    `fleets`: the live fleets with their zones. `servers`: the number of all servers."""
    reported: dict[str, int] = dict.fromkeys(fleets, 0)
    for reports in failures.values():
        for fleet in reports.keys() & fleets.keys():
            reported[fleet] += 1
    unreliable = frozenset(_unreliable_fleets(reported, servers, rules))
    reliable = {fleet: zone for fleet, zone in fleets.items() if fleet not in unreliable}
    ejected: dict[str, EjectedServer] = {}
    for server, reports in sorted(failures.items()):
        counted = {fleet: count for fleet, count in sorted(reports.items()) if fleet in reliable}
        ejection = _ejection(server, counted, successes.get(server, set()) & reliable.keys(), reliable, rules)
        if ejection is not None:
            ejected[server] = ejection
    max_ejected = int(rules.most_out * servers)
    if len(ejected) > max_ejected:
        # That many failing servers indicate overload or a shared cause, not faults of single servers.
        return EjectionDecision({}, unreliable, len(ejected))
    return EjectionDecision(ejected, unreliable, 0)


def _unreliable_fleets(reported: Mapping[str, int], servers: int, rules: EjectionRules) -> list[str]:
    """The fleets that report more than the fraction `itself` of the servers, if fewer than half of the fleets
    do.

    Their own network path is then at fault rather than the servers."""
    if servers < MIN_SERVERS:
        return []
    max_reported = rules.itself * servers
    found = [fleet for fleet, count in reported.items() if count > max_reported]
    return found if 2 * len(found) < len(reported) else []


def _ejection(
    server: str,
    failures: Mapping[str, int],
    successes: set[str],
    reliable: Mapping[str, str],
    rules: EjectionRules,
) -> EjectedServer | None:
    """Ejects the server for all fleets if the quorum of them reports it, the reported failures reach the
    required weight, and more than twice as many fleets report failures as successes.

    Otherwise ejects it for the first zone, by name, whose fleets meet these conditions: the path from that
    zone fails. The required weight counts all reliable fleets, also for a single zone."""
    for zone in ("", *sorted({reliable[fleet] for fleet in failures})):
        zone_failures = {fleet: n for fleet, n in failures.items() if zone in ("", reliable[fleet])}
        zone_successes = {fleet for fleet in successes if zone in ("", reliable[fleet])}
        weight = sum(min(count, MAX_COUNTED_FAILURES) for count in zone_failures.values())
        required = max(rules.strikes, rules.part * len(reliable))
        if (
            len(zone_failures) >= rules.quorum
            and weight >= required
            and 2 * len(zone_successes) < len(zone_failures)
        ):
            candidates = [fleet for fleet, fleet_zone in reliable.items() if zone in ("", fleet_zone)]
            return EjectedServer(
                server,
                tuple(zone_failures),
                zone,
                # One more than the quorum, so that one prober may fail.
                choose_probers(server, list(zone_failures), candidates, rules.quorum + 1),
            )
    return None


def choose_probers(server: str, reporters: list[str], candidates: list[str], count: int) -> tuple[str, ...]:
    """The fleets that keep sending requests to an ejected server.

    They are `count` fleets: first those that report failures of the server, then other candidates. Rendezvous
    hashing gives the same result in every fleet with the same observations, and few probers change when
    fleets join or leave."""

    def rank(fleet: str) -> tuple[int, str]:
        return crc32(f"{server} {fleet}".encode()), fleet

    ranked = sorted(reporters, key=rank, reverse=True)
    ranked += sorted(set(candidates) - set(reporters), key=rank, reverse=True)
    return tuple(sorted(ranked[:count]))
