"""From what each fleet sees of servers to what all do about it. No I/O, no clock: what holds now goes in.

Voices are words of the topic `seen` (one of each fleet and server that it finds bad), so each ends by itself,
and so does every verdict that rests on them. Everybody judges by the same rule on the words that it holds;
nobody is asked, nobody leads, and a fleet that hears nothing is where it would be alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from zlib import crc32

from flintlatch.peers import Merge, Topic
from flintlatch.verdicts.rows import EjectionRules

MOST_VOICES = 256  # servers that one fleet may call bad at once
EACH_MOST = 3  # failures that one voice counts for: after so many it rests the server by itself
LEAST_SERVERS = 3  # below so many a part says nothing of who is ill


def observation_topic(life_s: float) -> Topic:  # noqa: N802
    """The topic of voices: subject a server, any value."""
    return Topic(
        "seen", Merge.PER_MEMBER, life_s, max_per_member=MOST_VOICES, max_entries=32 * MOST_VOICES, weight=2.0
    )


@dataclass(frozen=True, slots=True)
class Ejection:
    server: str
    reporters: tuple[str, ...]  # fleets that say so, those that count
    zone: str  # for the fleets of this zone alone: its way there, not the server; empty: for all
    probers: tuple[str, ...]  # fleets that go on trying it: the rest hear


@dataclass(frozen=True, slots=True)
class EjectionDecision:
    ejected: dict[str, Ejection] = field(default_factory=dict)
    unreliable: frozenset[str] = frozenset()  # fleets whose own voices count for nothing
    suppressed: int = 0  # servers that would be out and are all used again, since they are too many

    def ejected_for(self, fleet: str, zone: str) -> list[str]:
        """Servers that this fleet leaves to others for now."""
        return [
            one.server
            for one in self.ejected.values()
            if fleet not in one.probers and fleet not in self.unreliable and one.zone in ("", zone)
        ]


def decide_ejections(
    voices: Mapping[str, Mapping[str, int]],
    good: Mapping[str, set[str]],
    fleets: Mapping[str, str],
    servers: int,
    rules: EjectionRules,
) -> EjectionDecision:
    """`voices`: by server the fleets that it failed, with how often in a row; `good`: those that it answered
    a moment ago, of servers that somebody finds bad. Who says nothing does not use it. `fleets`: those that
    are there, with their zones."""
    bad: dict[str, int] = dict.fromkeys(fleets, 0)
    for named in voices.values():
        for fleet in named.keys() & fleets.keys():
            bad[fleet] += 1
    ill = frozenset(_ill(bad, servers, rules))
    sound = {fleet: zone for fleet, zone in fleets.items() if fleet not in ill}
    found: dict[str, Ejection] = {}
    for server, named in sorted(voices.items()):
        against = {fleet: count for fleet, count in sorted(named.items()) if fleet in sound}
        verdict = _verdict(server, against, good.get(server, set()) & sound.keys(), sound, rules)
        if verdict is not None:
            found[server] = verdict
    most = int(rules.most_out * servers)
    if len(found) > most:
        # So many at once are no matter of single servers: it is load, or something that all of us share.
        return EjectionDecision({}, ill, len(found))
    return EjectionDecision(found, ill, 0)


def _ill(bad: Mapping[str, int], servers: int, rules: EjectionRules) -> list[str]:
    """Those that find most servers bad while most others don't: what they reach is what ails them."""
    if servers < LEAST_SERVERS:
        return []
    most = rules.itself * servers
    found = [fleet for fleet, count in bad.items() if count > most]
    return found if 2 * len(found) < len(bad) else []


def _verdict(
    server: str, against: Mapping[str, int], good: set[str], sound: Mapping[str, str], rules: EjectionRules
) -> Ejection | None:
    """For all, if those that it fails are over twice those that it answers; else for the first zone by name
    of which that holds: their way there."""
    for zone in ("", *sorted({sound[fleet] for fleet in against})):
        here = {fleet: n for fleet, n in against.items() if zone in ("", sound[fleet])}
        fine = {fleet for fleet in good if zone in ("", sound[fleet])}
        weight = sum(min(count, EACH_MOST) for count in here.values())
        enough = max(rules.strikes, rules.part * len(sound))
        if len(here) >= rules.quorum and weight >= enough and 2 * len(fine) < len(here):
            those = [fleet for fleet, where in sound.items() if zone in ("", where)]
            return Ejection(server, tuple(here), zone, turns(server, list(here), those, rules.quorum + 1))
    return None


def turns(server: str, users: list[str], those: list[str], most: int) -> tuple[str, ...]:
    """Who goes on trying it: of those that use it one more than a verdict needs, so that one may die; others
    fill up where they are fewer. By rendezvous: the same wherever the same is heard, and few change as fleets
    come and go."""

    def rank(fleet: str) -> tuple[int, str]:
        return crc32(f"{server} {fleet}".encode()), fleet

    ranked = sorted(users, key=rank, reverse=True)
    ranked += sorted(set(those) - set(users), key=rank, reverse=True)
    return tuple(sorted(ranked[:most]))
