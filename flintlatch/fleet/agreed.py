"""Membership of this fleet among its peers, in the supervisor.

Runs the member on its sockets, the shared limits and the outlier ejection, counts the proxies of all fleets,
and sends what is agreed to the instances as soft-state entries.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from flintlatch.config import Config, resolve_config_path
from flintlatch.config.tables import PeersTable
from flintlatch.fleet.channel import ChannelMessage
from flintlatch.fleet.judging import OutlierEjector
from flintlatch.fleet.limiting import Limiter
from flintlatch.limits.api import limit_topics
from flintlatch.peers import Census, CensusView, Entry, FleetPosition, Merge, Rules, Topic, View
from flintlatch.peers.clock import clock
from flintlatch.peers.seal import InvalidKeyFile, read_keys
from flintlatch.peers.shell import BindError, Options, Shell
from flintlatch.peers.words import MAX_SUBJECT_CHARS, MAX_VALUE_BYTES, EntryStore
from flintlatch.verdicts.api import observation_topic

OPEN_RETRY_INTERVAL_S = 0.5  # the address may still be in use by a predecessor
RENEWALS_PER_TTL = 3  # of an entry sent to the instances
NOTES = Topic("notes", Merge.PER_MEMBER, ttl_s=3600.0, max_per_member=16)  # notes of operators to all fleets
MIN_NOTE_TTL_S = 1.0


class PeerService:
    """`broadcast` sends a message to every instance, `send_to_worker` to one; `servers` returns the uids on
    the node list. A failure here never keeps the fleet from serving."""

    def __init__(
        self,
        config: Config,
        table: PeersTable,
        broadcast: Callable[[ChannelMessage], None],
        send_to_worker: Callable[[int, ChannelMessage], None],
        servers: Callable[[], set[str]],
        log: Callable[[str, str], None],
    ) -> None:
        self.config, self.table, self.broadcast, self.log = config, table, broadcast, log
        self.loop = asyncio.get_running_loop()
        self.census = Census(config.fleet.instances, config.fleet.proxies, table.hold_s, clock())
        self.position: FleetPosition | None = None
        self.shell: Shell | None = None
        self.error = ""
        self.renew_timer: asyncio.TimerHandle | None = None
        self.open_task: asyncio.Task[None] | None = None
        self.closed = False
        self.limiter: Limiter | None = None
        if config.shared_limits:
            self.limiter = Limiter(
                config.shared_limits, config.lease_settings, lambda: self.shell, send_to_worker, log
            )
        self.ejector: OutlierEjector | None = None
        if config.ejection_rules is not None:
            self.ejector = OutlierEjector(config.ejection_rules, lambda: self.shell, broadcast, servers, log)

    def start(self) -> None:
        self.open_task = self.loop.create_task(self._open())
        self._renew()
        if self.limiter is not None:
            self.limiter.start()
        if self.ejector is not None:
            self.ejector.start()

    def topics(self) -> tuple[Topic, ...]:
        limits = limit_topics(self.config.lease_settings.term_s) if self.limiter is not None else ()
        observations = (
            (observation_topic(self.config.ejection_rules.life_s),)
            if self.config.ejection_rules is not None
            else ()
        )
        return (NOTES, *limits, *observations)

    def remove_instance(self, worker: int) -> None:
        """Called when an instance has exited."""
        if self.limiter is not None:
            self.limiter.remove_instance(worker)
        if self.ejector is not None:
            self.ejector.remove_instance(worker)

    async def _open(self) -> None:
        while not self.closed:
            try:
                shell = Shell(
                    self._options(), self.topics(), self._on_view, self._on_entries, self._on_warning
                )
                await shell.open()
            except (BindError, InvalidKeyFile, OSError) as error:
                self._report_error(str(error))
                await asyncio.sleep(OPEN_RETRY_INTERVAL_S)
                continue
            self.shell, self.error = shell, ""
            self.log("info", f"peers at {shell.host}:{shell.port}, known as {shell.address}")
            return

    def _report_error(self, text: str) -> None:
        if text != self.error:
            self.error = text
            self.log(
                "error", f"peers: {text}; serving without peers, retrying every {OPEN_RETRY_INTERVAL_S:g} s"
            )

    def _read_keys(self) -> tuple[bytes, ...]:
        """Reads the key file. Raises BadKeys or OSError."""
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
            self._read_keys(),
            self.config.nodes.zone,
            table.region,
            self.config.fleet.instances,
            rules,
        )

    def reconfigure(self, config: Config) -> None:
        """Applies a reloaded configuration. The number of instances, keys and limits change at once; a
        changed name or address needs a restart."""
        table = config.peers
        if table is None:
            self.log("warning", "peers: the table was removed; this fleet stays a member until a restart")
            return
        if (table.name, table.bind, table.advertise) != (
            self.table.name,
            self.table.bind,
            self.table.advertise,
        ):
            self.log("warning", "peers: a changed name or address takes effect at a restart or an upgrade")
        self.config, self.table = config, table
        self.census.own = config.fleet.instances
        if self.limiter is not None:
            self.limiter.reconfigure(config.shared_limits, config.lease_settings)
        elif config.shared_limits:
            self.log("warning", "limit: the first [[limit]] takes effect at a restart or an upgrade")
        if self.shell is not None:
            try:
                self.shell.change_keys(self._read_keys())
            except (InvalidKeyFile, OSError) as error:
                self.log("error", f"peers: {error}; going on with the keys of before")
            self.shell.set_instances(config.fleet.instances)

    def close(self) -> None:
        self.closed = True
        if self.renew_timer is not None:
            self.renew_timer.cancel()
        if self.open_task is not None:
            self.open_task.cancel()
        if self.limiter is not None:
            self.limiter.close()
        if self.ejector is not None:
            self.ejector.close()
        if self.shell is not None:
            self.shell.close()

    def leave(self) -> None:
        """Announces that this fleet leaves, so that the other members stop counting it at once, and
        closes."""
        if self.shell is not None:
            self.shell.leave()
        self.close()

    # From other members

    def _on_view(self, view: View) -> None:
        self._update_census()
        self._send_entries()

    def _update_census(self) -> None:
        if self.shell is None:
            return
        peers = self.shell.member.peers
        alive_members = peers.active_records()
        preceding_instances = sum(record.instances for record in alive_members if record.name < peers.me.name)
        self.census.update(clock(), CensusView(peers.instances(), preceding_instances, peers.is_uncertain()))

    def _on_entries(self, entries: tuple[Entry, ...]) -> None:
        if self.limiter is not None:
            self.limiter.on_entries_changed()
        if self.ejector is not None and any(entry.topic == "seen" for entry in entries):
            self.ejector.step()
        for entry in entries:
            if entry.topic == NOTES.name and entry.value:
                text = entry.value.decode("utf-8", "replace")
                self.log("info", f"note of {entry.origin}, for {entry.remaining_s:.0f} s: {text}")

    def _on_warning(self, text: str) -> None:
        self.log("warning", text)

    # To the instances

    def _renew(self) -> None:
        self.renew_timer = self.loop.call_later(self.table.word_s / RENEWALS_PER_TTL, self._renew)
        self._update_census()  # whether the view is certain can change while the view stays
        self._send_entries(renew=True)

    def _send_entries(self, renew: bool = False) -> None:
        position = self.census.read(clock())
        if renew or position != self.position:
            self.position = position
            for entry in self.entries():
                self.broadcast(entry)

    def entries(self) -> list[ChannelMessage]:
        """The currently valid entries; none while this fleet is not a member."""
        if self.shell is None:
            return []
        position, expires_at = self.census.read(clock()), clock() + self.table.word_s
        return [{"kind": "word", "about": "proxies", "value": list(position), "until": expires_at}]

    # Control requests

    def publish_note(self, subject: str, text: str, ttl_s: float) -> ChannelMessage:
        if self.shell is None:
            return {"ok": False, "reason": self.error or "not a member yet"}
        if not 1 <= len(text.encode()) <= MAX_VALUE_BYTES or not 1 <= len(subject) <= MAX_SUBJECT_CHARS:
            return {"ok": False, "reason": f"expected a text of 1 to {MAX_VALUE_BYTES} bytes"}
        if not MIN_NOTE_TTL_S <= ttl_s <= NOTES.ttl_s:
            return {"ok": False, "reason": f"expected {MIN_NOTE_TTL_S:g} to {NOTES.ttl_s:g} s"}
        try:
            self.shell.publish(NOTES.name, subject, text.encode(), ttl_s, renew=False)
        except ValueError as error:
            return {"ok": False, "reason": str(error)}
        return {"ok": True, "until_at_most_s": round(EntryStore.staleness_bound_s(ttl_s), 3)}

    def notes(self) -> list[dict[str, Any]]:
        if self.shell is None:
            return []
        now = clock()
        return [
            {
                "by": entry.origin,
                "subject": entry.subject,
                "text": entry.value.decode("utf-8", "replace"),
                "left_s": round(entry.expires_at - now, 3),
            }
            for entry in self.shell.member.entry_store.read(now, NOTES.name)
        ]

    def report(self) -> ChannelMessage:
        """Members with their states, last contact and round-trip times, the stated time bounds, and counts.
        Ages are in seconds."""
        position = self.census.read(clock())
        response: ChannelMessage = {
            "ok": True,
            "member": self.shell is not None,
            "complaint": self.error,
            "proxies": position.proxies,
            "first": position.first,
            "notes": self.notes(),
        }
        if self.shell is None:
            return response
        shell, now = self.shell, clock()
        member = shell.member
        peers, own_digest = member.peers, member.digest()
        rows = []
        for record in sorted(peers.view.values()):
            contact = member.contacts.get(record.name)
            is_self = record.name == peers.me.name
            digest_known = contact is not None and contact.digest != 0
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
                    "me": is_self,
                    "heard_s": round(now - contact.received_at, 2) if contact is not None else None,
                    "rtt_ms": round(contact.rtt * 1000, 2) if contact is not None and contact.rtt else None,
                    "agrees": True
                    if is_self
                    else contact.digest == own_digest
                    if digest_known and contact
                    else None,
                    "accusers": sorted(suspicion.reporters) if suspicion is not None else [],
                }
            )
        alive = len(peers.active_records())
        return response | {
            "name": peers.me.name,
            "address": shell.address,
            "bound": f"{shell.host}:{shell.port}",
            "digest": f"{own_digest:08x}",
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

    def members_by_state(self) -> dict[str, int]:
        """The number of members in each state."""
        if self.shell is None:
            return {}
        return dict(Counter(record.state.name.lower() for record in self.shell.member.peers.view.values()))

    def counts(self) -> dict[str, int]:
        """Counters of this member by name; each only grows."""
        if self.shell is None:
            return {}
        shell, member = self.shell, self.shell.member
        membership, entries = member.peers.counts, member.entry_store.counts
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
            "records_refused": membership.refused,
            "refuted": membership.refuted,
            "clashes": membership.name_conflicts,
            "suspected": membership.suspected,
            "died": membership.died,
            "words_taken": entries.accepted,
            "words_late": entries.expired,
            "words_refused": entries.refused,
        }
