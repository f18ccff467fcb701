"""Shared verdicts, in the supervisor: what its instances saw goes out, what all find together comes back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from flintlatch.fleet.channel import Message
from flintlatch.peers.clock import clock
from flintlatch.peers.shell import Shell
from flintlatch.peers.words import Carrier
from flintlatch.verdicts.api import Judgement, Rules, judge

RENEWALS_PER_TTL = 4  # times in a life that voices and words to the instances are said anew
GOOD = b"0"  # a voice is how often it failed in a row; nothing of that any more


class OutlierEjector:
    """`tell` says a message to every instance; `servers` are the uids that the own list names: a verdict only
    ever takes away."""

    def __init__(
        self,
        rules: Rules,
        shell: Callable[[], Shell | None],
        tell: Callable[[Message], None],
        servers: Callable[[], set[str]],
        log: Callable[[str, str], None],
    ) -> None:
        self.rules, self.shell, self.tell, self.servers, self.log = rules, shell, tell, servers, log
        self.instances: dict[int, dict[str, int]] = {}  # what failed each, and how often in a row
        self.answered: dict[int, set[str]] = {}  # what failed it and has answered it since
        # By server, what we say of it and when it is said anew.
        self.said: dict[str, tuple[bytes, float]] = {}
        self.detected = Judgement()
        self.shunned: list[str] = []
        self.accused: list[str] = []
        self.tell_at = 0.0
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.timer = self.loop.call_later(self.rules.life_s / RENEWALS_PER_TTL / 2, self.start)
        self.step()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def on_instance_report(self, worker: int, message: Message) -> None:
        before = self.instances.get(worker), self.answered.get(worker)
        self.instances[worker] = {str(name): int(count) for name, count in message["bad"].items()}
        self.answered[worker] = set(map(str, message["good"]))
        if (self.instances[worker], self.answered[worker]) != before:
            self.step()

    def remove_instance(self, worker: int) -> None:
        self.instances.pop(worker, None)
        self.answered.pop(worker, None)

    def step(self) -> None:
        shell = self.shell()
        if shell is None:
            return
        now, servers = clock(), self.servers()
        self._speak(now, shell, servers)
        voices: dict[str, dict[str, int]] = {}
        good: dict[str, set[str]] = {}
        for said in shell.member.carrier.read(now, "seen"):
            if said.subject not in servers or not said.value.isdigit():
                continue
            if said.value == GOOD:
                good.setdefault(said.subject, set()).add(said.origin)
            else:
                voices.setdefault(said.subject, {})[said.origin] = int(said.value[:4])
        there = {record.name: record.zone for record in shell.member.peers.alive()}
        before, self.detected = self.detected, judge(voices, good, there, len(servers), self.rules)
        me = shell.member.me
        self._report(before, me.name)
        shunned, accused = sorted(self.detected.shuns(me.name, me.zone)), sorted(voices)
        if (shunned, accused) != (self.shunned, self.accused) or (shunned and now >= self.tell_at):
            self.shunned, self.accused = shunned, accused
            self.tell_at = now + self.rules.life_s / RENEWALS_PER_TTL
            until = now + self.rules.life_s
            self.tell({"kind": "word", "about": "shun", "value": shunned, "accused": accused, "until": until})

    def _speak(self, now: float, shell: Shell, servers: set[str]) -> None:
        """One voice a fleet: what failed one of its instances most; good what did, and no longer does."""
        bad: dict[str, int] = {}
        for seen in self.instances.values():
            for server in seen.keys() & servers:
                bad[server] = max(bad.get(server, 0), seen[server])
        answered = set().union(*self.answered.values()) - bad.keys()
        for server in self.said.keys() - bad.keys() - answered:
            del self.said[server]  # nothing is known of it any more: what it said last runs out
        for server in sorted(bad.keys() | answered):
            wanted = b"%d" % bad[server] if server in bad else GOOD
            what, again = self.said.get(server, (b"", 0.0))
            if wanted == what and now < again:
                continue
            with suppress(ValueError):  # more than one fleet may speak of
                shell.say("seen", server, wanted, self.rules.life_s, renew=False)
                self.said[server] = wanted, now + self.rules.life_s / RENEWALS_PER_TTL

    def _report(self, before: Judgement, me: str) -> None:
        """Each change is one line."""
        for server, one in self.detected.out.items():
            if server not in before.out:
                where = f"for zone {one.zone}" if one.zone else "for all"
                told = f"found bad {where} by {', '.join(one.voices)}; tried on by {', '.join(one.tries)}"
                self.log("info", f"{server}: {told}")
        for server in before.out.keys() - self.detected.out.keys():
            self.log("info", f"{server}: no longer found bad together")
        if me in self.detected.ill - before.ill:
            self.log("warning", "most servers fail here and not elsewhere: our voice counts for nothing")
        if self.detected.many and not before.many:
            text = f"{self.detected.many} servers found bad together are more than may be out: all are used"
            self.log("warning", text)

    def report(self) -> dict[str, Any]:
        shell, now = self.shell(), clock()
        voices: dict[str, list[str]] = {}
        if shell is not None:
            for said in shell.member.carrier.read(now, "seen"):
                if said.value != GOOD:
                    voices.setdefault(said.subject, []).append(said.origin)
        rows = []
        for server, named in sorted(voices.items()):
            one = self.detected.out.get(server)
            rows.append(
                {
                    "server": server,
                    "out": one is not None,
                    "zone": one.zone if one is not None else "",
                    "voices": sorted(named),
                    "tries": list(one.tries) if one is not None else [],
                    "shunned_here": server in self.shunned,
                }
            )
        return {
            "servers": rows,
            "ill": sorted(self.detected.ill),
            "many": self.detected.many,
            "alone_within_s": round(2 * Carrier.stale_s(self.rules.life_s), 2),
        }
