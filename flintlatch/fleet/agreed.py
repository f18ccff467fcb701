"""What the fleets agree on, in the supervisor: the member on its sockets, the census, and words to the
instances."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from flintlatch.config import Config, resolve_config_path
from flintlatch.config.tables import PeersTable
from flintlatch.fleet.channel import Message
from flintlatch.fleet.judging import Judging
from flintlatch.fleet.limiting import Limiting
from flintlatch.limits.api import limit_topics
from flintlatch.peers import Census, CensusView, Entry, FleetPosition, Merge, Rules, State, Topic, View
from flintlatch.peers.clock import clock
from flintlatch.peers.seal import InvalidKeyFile, read_keys
from flintlatch.peers.shell import BindError, Options, Shell
from flintlatch.peers.words import MAX_SUBJECT_CHARS, MAX_VALUE_BYTES, EntryStore
from flintlatch.verdicts.api import observation_topic

OPEN_AGAIN_S = 0.5  # until an address that a predecessor may still hold is tried again
RENEW = 3  # times in its life that a word to the instances is said anew
NOTES = Topic("notes", Merge.PER_MEMBER, ttl_s=3600.0, max_per_member=16)  # what people tell all fleets
NOTE_LEAST_S = 1.0


class Agreed:
    """`tell` says a message to every instance. Nothing here is a reason not to serve."""

    def __init__(
        self,
        config: Config,
        table: PeersTable,
        tell: Callable[[Message], None],
        tell_one: Callable[[int, Message], None],
        servers: Callable[[], set[str]],
        log: Callable[[str, str], None],
    ) -> None:
        self.config, self.table, self.tell, self.log = config, table, tell, log
        self.loop = asyncio.get_running_loop()
        self.census = Census(config.fleet.instances, config.fleet.proxies, table.hold_s, clock())
        self.place: FleetPosition | None = None
        self.shell: Shell | None = None
        self.complaint = ""
        self.timer: asyncio.TimerHandle | None = None
        self.opening: asyncio.Task[None] | None = None
        self.ended = False
        self.limiting: Limiting | None = None
        if config.shared_limits:
            self.limiting = Limiting(
                config.shared_limits, config.lease_settings, lambda: self.shell, tell_one, log
            )
        self.judging: Judging | None = None
        if config.ejection_rules is not None:
            self.judging = Judging(config.ejection_rules, lambda: self.shell, tell, servers, log)

    def start(self) -> None:
        self.opening = self.loop.create_task(self._open())
        self._beat()
        if self.limiting is not None:
            self.limiting.start()
        if self.judging is not None:
            self.judging.start()

    def topics(self) -> tuple[Topic, ...]:
        limits = limit_topics(self.config.lease_settings.term_s) if self.limiting is not None else ()
        seen = (
            (observation_topic(self.config.ejection_rules.life_s),)
            if self.config.ejection_rules is not None
            else ()
        )
        return (NOTES, *limits, *seen)

    def gone(self, worker: int) -> None:
        """An instance has ended."""
        if self.limiting is not None:
            self.limiting.gone(worker)
        if self.judging is not None:
            self.judging.gone(worker)

    async def _open(self) -> None:
        while not self.ended:
            try:
                shell = Shell(self._options(), self.topics(), self._on_view, self._on_news, self._on_told)
                await shell.open()
            except (BindError, InvalidKeyFile, OSError) as error:
                self._complain(str(error))
                await asyncio.sleep(OPEN_AGAIN_S)
                continue
            self.shell, self.complaint = shell, ""
            self.log("info", f"peers at {shell.host}:{shell.port}, known as {shell.address}")
            return

    def _complain(self, text: str) -> None:
        if text != self.complaint:
            self.complaint = text
            self.log("error", f"peers: {text}; serving alone, tried again each {OPEN_AGAIN_S:g} s")

    def _keys(self) -> tuple[bytes, ...]:
        """Raises InvalidKeyFile or OSError."""
        path = resolve_config_path(self.config.path, self.table.key_file)
        with open(path, encoding="ascii", errors="replace") as file:
            return read_keys(file.read(65536), path)

    def _options(self) -> Options:
        table = self.table
        rules = Rules(
            period_s=table.period_s,
            ack_s=table.ack_s,
            suspicion=table.suspicion,
            sync_s=table.sync_s,
            forget_s=table.forget_s,
        )
        return Options(
            table.name,
            table.bind,
            table.advertise,
            table.seeds,
            self._keys(),
            self.config.nodes.zone,
            table.region,
            self.config.fleet.instances,
            rules,
        )

    def reconfigure(self, config: Config) -> None:
        """A reload: numbers and keys follow; an address or a name takes a restart."""
        table = config.peers
        if table is None:
            self.log("warning", "peers: the table is gone; what it began goes on until a restart")
            return
        if (table.name, table.bind, table.advertise) != (
            self.table.name,
            self.table.bind,
            self.table.advertise,
        ):
            self.log("warning", "peers: a new name or address takes a restart or an upgrade")
        self.config, self.table = config, table
        self.census.own = config.fleet.instances
        if self.limiting is not None:
            self.limiting.reconfigure(config.shared_limits, config.lease_settings)
        elif config.shared_limits:
            self.log("warning", "limit: the first ones take a restart or an upgrade")
        if self.shell is not None:
            try:
                self.shell.change_keys(self._keys())
            except (InvalidKeyFile, OSError) as error:
                self.log("error", f"peers: {error}; going on with the keys of before")
            self.shell.set_instances(config.fleet.instances)

    def close(self) -> None:
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        if self.opening is not None:
            self.opening.cancel()
        if self.limiting is not None:
            self.limiting.close()
        if self.judging is not None:
            self.judging.close()
        if self.shell is not None:
            self.shell.close()

    def leave(self) -> None:
        """Told to stop: the others are to count without us at once."""
        if self.shell is not None:
            self.shell.leave()
        self.close()

    # What the members tell

    def _on_view(self, view: View) -> None:
        shell = self.shell
        if shell is None:
            return
        peers = shell.member.peers
        there = peers.active_records()
        before = sum(record.instances for record in there if record.name < peers.me.name)
        doubted = not peers.joined or any(record.state is State.SUSPECT for record in there)
        self.census.update(clock(), CensusView(peers.instances(), before, doubted))
        self._say()

    def _on_news(self, words: tuple[Entry, ...]) -> None:
        if self.limiting is not None:
            self.limiting.on_news()
        if self.judging is not None and any(word.topic == "seen" for word in words):
            self.judging.look()
        for word in words:
            if word.topic == NOTES.name and word.value:
                text = word.value.decode("utf-8", "replace")
                self.log("info", f"note of {word.origin}, for {word.remaining_s:.0f} s: {text}")

    def _on_told(self, text: str) -> None:
        self.log("warning", text)

    # What the instances are told

    def _beat(self) -> None:
        self.timer = self.loop.call_later(self.table.word_s / RENEW, self._beat)
        self._say(renew=True)

    def _say(self, renew: bool = False) -> None:
        place = self.census.read(clock())
        if renew or place != self.place:
            self.place = place
            for word in self.words():
                self.tell(word)

    def words(self) -> list[Message]:
        """What holds at this moment, each with its end. Nothing, while this fleet is no member."""
        if self.shell is None:
            return []
        place, until = self.census.read(clock()), clock() + self.table.word_s
        return [{"kind": "word", "about": "proxies", "value": list(place), "until": until}]

    # What people ask

    def note(self, subject: str, text: str, for_s: float) -> Message:
        if self.shell is None:
            return {"ok": False, "reason": self.complaint or "not a member yet"}
        if not 1 <= len(text.encode()) <= MAX_VALUE_BYTES or not 1 <= len(subject) <= MAX_SUBJECT_CHARS:
            return {"ok": False, "reason": f"expected a text of 1 to {MAX_VALUE_BYTES} bytes"}
        if not NOTE_LEAST_S <= for_s <= NOTES.ttl_s:
            return {"ok": False, "reason": f"expected {NOTE_LEAST_S:g} to {NOTES.ttl_s:g} s"}
        try:
            self.shell.publish(NOTES.name, subject, text.encode(), for_s, renew=False)
        except ValueError as error:
            return {"ok": False, "reason": str(error)}
        return {"ok": True, "until_at_most_s": round(EntryStore.staleness_bound_s(for_s), 3)}

    def notes(self) -> list[dict[str, Any]]:
        if self.shell is None:
            return []
        now = clock()
        return [
            {
                "by": said.origin,
                "subject": said.subject,
                "text": said.value.decode("utf-8", "replace"),
                "left_s": round(said.expires_at - now, 3),
            }
            for said in self.shell.member.entry_store.read(now, NOTES.name)
        ]

    def report(self) -> Message:
        """Members with states, ages and round-trips; doubts; bounds; counts. Ages in seconds."""
        place = self.census.read(clock())
        told: Message = {
            "ok": True,
            "member": self.shell is not None,
            "complaint": self.complaint,
            "proxies": place.proxies,
            "first": place.first,
            "notes": self.notes(),
        }
        if self.shell is None:
            return told
        shell, now = self.shell, clock()
        member = shell.member
        peers, mine = member.peers, member.digest()
        rows = []
        for record in sorted(peers.view.values()):
            contact = member.contacts.get(record.name)
            me = record.name == peers.me.name
            known = contact is not None and contact.digest != 0
            suspicion = peers.suspicions.get(record.name)
            rows.append(
                {
                    "name": record.name,
                    "address": record.address,
                    "state": record.state.name.lower(),
                    "incarnation": record.incarnation,
                    "instances": record.instances,
                    "zone": record.zone,
                    "region": record.region,
                    "me": me,
                    "heard_s": round(now - contact.received_at, 2) if contact is not None else None,
                    "rtt_ms": round(contact.rtt * 1000, 2) if contact is not None and contact.rtt else None,
                    "agrees": True if me else contact.digest == mine if known and contact else None,
                    "accusers": sorted(suspicion.reporters) if suspicion is not None else [],
                }
            )
        alive = len(peers.active_records())
        return told | {
            "name": peers.me.name,
            "address": shell.address,
            "bound": f"{shell.host}:{shell.port}",
            "digest": f"{mine:08x}",
            "joined": peers.joined,
            "health": peers.health,
            "members": rows,
            "bounds": {
                "found_dead_s": round(peers.death_bound_s(alive), 1),
                "number_falls_s": round(
                    Census.overcount_bound_s(peers.death_bound_s(alive), self.table.hold_s), 1
                ),
                "instances_alone_s": self.table.word_s,
                "words": {t.name: round(EntryStore.staleness_bound_s(t.ttl_s), 1) for t in shell.topics},
            },
            "counts": self.counts(),
        }

    def states(self) -> dict[str, int]:
        """Members by state."""
        if self.shell is None:
            return {}
        return dict(Counter(record.state.name.lower() for record in self.shell.member.peers.view.values()))

    def counts(self) -> dict[str, int]:
        """All that is counted of the member, by name; each only grows."""
        if self.shell is None:
            return {}
        shell, member = self.shell, self.shell.member
        of_peers, of_words = member.peers.counts, member.entry_store.counts
        return {
            "datagrams_in": shell.counts.received,
            "datagrams_out": shell.counts.sent,
            "bytes_in": shell.counts.received_bytes,
            "bytes_out": shell.counts.sent_bytes,
            "foreign": shell.counts.unauthenticated,
            "unreadable": shell.counts.unreadable,
            "flooded": shell.counts.over_budget,
            "streams": shell.counts.streams,
            "failed_streams": shell.counts.failed_streams,
            "replays": member.guard.replays,
            "strangers": member.guard.unverified,
            "records_refused": of_peers.refused,
            "refuted": of_peers.refuted,
            "clashes": of_peers.name_conflicts,
            "suspected": of_peers.suspected,
            "died": of_peers.died,
            "words_taken": of_words.accepted,
            "words_late": of_words.expired,
            "words_refused": of_words.refused,
        }
