"""One instance of the proxy, as a supervisor starts it: `python -m flintlatch.fleet.worker FD`.

FD is its end of the channel. It is told by `hello` what it is, says `ready` once it holds a list with a
node that takes requests, accepts from `accept` on, and ends after `drain`, or when its supervisor is gone.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import sys
import threading
import time
from typing import TYPE_CHECKING, Any

import uvloop

from flintlatch.api import TierMembership
from flintlatch.config import Config, Unusable, parse
from flintlatch.fleet.channel import Channel, Message, open_channel
from flintlatch.fleet.spread import REST_S, Spread
from flintlatch.handover import Offer
from flintlatch.net.backends import split_descriptors
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import read_listing
from flintlatch.net.engine import Engine, log
from flintlatch.net.frontend import ACCEPTS_PER_TURN_SHARED, Frontend
from flintlatch.net.request import Reader
from flintlatch.settings import Malformed

if TYPE_CHECKING:
    from flintlatch.fleet.heard import Heard
    from flintlatch.fleet.observe import Observer

BEATS = 5  # signs of life within the watchdog's time: one that comes late must not count as silence
SEEN_S = 0.1  # s between two words on servers that failed
LIMITS_S = 0.1  # s between two words on what limits were asked for
MOST_UNREAD = 16 * 1024  # bytes that wait for a supervisor which does not read
LAST_WORDS_S = 0.3  # s for the answers written at the limit to leave
LAST_RECORDS_S = 1.0  # s that the access log may take for what waits
PARENT_LOOK_S = 0.5  # s between looks at whether the supervisor still lives, should the loop hang
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def resident_mb() -> float:
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE_MB


class Worker:
    def __init__(self) -> None:
        self.channel: Channel
        self.engine: Engine | None = None
        self.frontend: Frontend | None = None
        self.observer: Observer | None = None
        self.spread: Spread | None = None
        self.offer: Offer | None = None
        self.heard: Heard | None = None
        self.seen = False  # whether it has said that some server is bad
        self.config: Config
        self.socks: list[socket.socket] = []
        self.ready_said = self.accepting = False
        self.exit_code = 0
        self.hard_limit_s = 1.0  # s from the supervisor's end to this process's own, come what may
        self.draining: asyncio.Task[None] | None = None
        self.limit = asyncio.Event()  # the drain's time is over
        self.limit_timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    # From the supervisor

    def on_message(self, message: Message) -> None:
        try:
            kind = message["kind"]
            if kind == "hello":
                self.hello(message)
            elif kind == "list":
                self.take_list(message["list"])
            elif kind == "word" and self.heard is not None:
                self.heard.on_word(message)
                if message["about"] == "limit" and self.engine is not None:
                    # The module goes by it from its next step on, and only then is it said to be followed.
                    self.engine.wake()
                    self.loop.call_soon(self.say_followed)
            elif kind == "accept":
                self.accept()
            elif kind == "drain":
                self.drain(float(message["limit_s"]), bool(message["last"]))
        except (Unusable, Malformed, KeyError, OSError, ValueError) as error:
            self.fail(f"{type(error).__name__}: {error}")

    def on_end(self) -> None:
        """The supervisor is gone. Nobody watches this process any more, and nobody would stop it: it serves
        on for a stated time, holds the listening sockets out to a successor, finishes and ends."""
        if self.engine is None or self.ended.is_set():
            self.ended.set()
        elif self.draining is None and self.accepting and self.config.drain.orphan_s and self._offer():
            log("the supervisor is gone: serving on until a successor does")
            self.loop.call_later(self.config.drain.orphan_s, self.drain, self.config.drain.limit_s, True)
        else:
            if self.draining is None:
                log("the supervisor is gone: draining")
            self.drain(self.config.drain.limit_s, True)

    def _offer(self) -> bool:
        """Hold the listening sockets out to whoever comes next; false if that can't be."""
        try:
            self.offer = Offer(self.config.control_path, self.socks, self._on_successor)
        except OSError as error:
            log(f"the listening sockets can't be handed on: {error}")
            return False
        return True

    def _on_successor(self) -> None:
        if self.draining is None:
            log("a successor serves: draining")
            self.drain(self.config.drain.limit_s, False)

    def on_term(self) -> None:
        """Somebody ends this one process: the supervisor starts another in its place."""
        if self.engine is None:
            self.ended.set()
        else:
            self.drain(self.config.drain.limit_s, False)

    def hello(self, message: Message) -> None:
        self.config = parse(message["config"], message["path"])
        limits, number = self.config.limits, int(message["number"])
        self.hard_limit_s = self.config.drain.limit_s + self.config.drain.orphan_s + 1.0
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = limits.sockets if hard == resource.RLIM_INFINITY else min(limits.sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, hard))
        to_backends, to_clients = split_descriptors(sockets)
        if self.config.fleet.log_format == "json":
            from flintlatch.fleet.log import make  # only where it is wanted

            told = make("json", "debug", "flintlatch", instance=number, pid=os.getpid())
            log.write = lambda line: told.info(line)  # type: ignore[method-assign]
        settings, wire, seed = self.config.settings(number), self.config.wire(), int(message["seed"])
        self.socks = [socket.socket(fileno=fd) for fd in message["listeners"]]
        if self.config.http is not None:
            from flintlatch.http.build import build  # only where it is wanted

            self.engine, self.frontend = build(
                self.config, self.config.http, number, seed, to_backends, to_clients, ACCEPTS_PER_TURN_SHARED
            )
        else:
            self.engine = Engine(settings, wire, seed, to_backends)
            self.frontend = Frontend(self.engine, Reader(settings, wire), to_clients, ACCEPTS_PER_TURN_SHARED)
        if self.config.access_log is not None or self.config.fleet.metrics:
            from flintlatch.fleet.observe import Observer  # only where it is wanted

            self.observer = Observer(self.config, number)
            self.observer.watch(self.engine)
        if self.config.peers is not None:
            from flintlatch.fleet.heard import Heard  # only where it is wanted
            from flintlatch.peers.clock import clock

            place = TierMembership(settings.proxies, settings.me)
            self.heard = Heard(number, place, self.config.parts_alone(), clock, log)
            for word in message.get("words", ()):
                self.heard.on_word(word)
            self.engine.agreed_events = self.heard.due
            if self.config.shared:
                self.say_limits()
            if self.config.verdicts is not None:
                self.say_seen()
        if message.get("spread") is not None and self.config.fleet.instances > 1:
            self.spread = Spread(message["spread"], int(message["worker"]))
            self.frontend.on_connection_count, self.frontend.should_pause_accepting = (
                self.spread.tell,
                self.spread.should_rest,
            )
            self.frontend.accept_pause_s = REST_S
        self.take_list(message["list"])
        self.beat(self.config.start.watchdog_s / BEATS)

    def take_list(self, raw: Any) -> None:
        assert self.engine is not None
        self.engine.on_list(read_listing(raw, self.config.wire()))
        if not self.ready_said and self.engine.backends.active() > 0:
            self.ready_said = True
            # The module has met the list in the loop's next turn, before any client can be accepted.
            self.loop.call_soon(self.channel.say, {"kind": "ready"})

    def accept(self) -> None:
        if not self.accepting and self.draining is None and self.frontend is not None:
            self.accepting = True
            if self.spread is not None:
                self.spread.tell(0)
            gc.collect()
            gc.freeze()
            self.frontend.serve_on(self.socks)

    def drain(self, limit_s: float, last: bool) -> None:
        """Told again with less time, it hurries."""
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        self.limit_timer = self.loop.call_later(max(limit_s - LAST_WORDS_S, 0.0), self.limit.set)
        if self.draining is None:
            self.draining = self.loop.create_task(self._drain(last))

    async def _drain(self, last: bool) -> None:
        engine, frontend = self.engine, self.frontend
        if engine is None or frontend is None or not self.accepting:
            self.ended.set()
            return
        if self.spread is not None:
            self.spread.leave()
        # Who asks on a connection of before hears of the address, not of this process.
        frontend.disable_keep_alive(address_still_served=not last)
        if not last:
            frontend.stop_accepting()
        idle = self.loop.create_task(asyncio.sleep(self.config.drain.idle_s))
        await self._unless_over(idle)
        # The last process at this address accepts what waits there, and closes nothing that has been asked:
        # `finish` looks at both.
        await self._unless_over(self.loop.create_task(frontend.finish(self.config.drain.limit_s)))
        if self.limit.is_set():
            engine.fail_all()
            await asyncio.sleep(LAST_WORDS_S / 2)
        engine.close()
        self.ended.set()

    async def _unless_over(self, task: asyncio.Task[None]) -> None:
        over = self.loop.create_task(self.limit.wait())
        await asyncio.wait((task, over), return_when=asyncio.FIRST_COMPLETED)
        over.cancel()
        task.cancel()
        await asyncio.gather(task, over, return_exceptions=True)

    # To the supervisor

    def beat(self, every_s: float) -> None:
        self.loop.call_later(every_s, self.beat, every_s)
        self.say_beat()

    def say_beat(self) -> None:
        engine, frontend = self.engine, self.frontend
        assert engine is not None and frontend is not None
        if self.channel.unread() > MOST_UNREAD:
            return  # the supervisor hangs; what it missed then is of no use to it
        self.channel.say(
            {
                "kind": "beat",
                "in_flight": engine.open_requests(),
                "clients": frontend.connection_count,
                "rss_mb": round(resident_mb(), 1),
                "rev": engine.list_revision,
                "nodes": len(engine.backends.backends),
                "access_log": self._access_log(),
                "proxies": self.heard.used.proxies if self.heard is not None else None,
                "counts": self.observer.counts.as_json() if self.observer is not None else None,
            }
        )

    def say_limits(self) -> None:
        self.loop.call_later(LIMITS_S, self.say_limits)
        self.say_followed()

    def say_seen(self) -> None:
        """Which servers failed this instance and have not answered it since."""
        self.loop.call_later(SEEN_S, self.say_seen)
        engine = self.engine
        if engine is not None and self.channel.unread() <= MOST_UNREAD:
            now = now_ms()
            bad = engine.balancer.failing_servers(now)
            accused = self.heard.accused if self.heard is not None else ()
            good = engine.balancer.healthy_servers(now, accused)
            if bad or good or self.seen:
                self.channel.say({"kind": "seen", "bad": bad, "good": good})
            self.seen = bool(bad or good)

    def say_followed(self) -> None:
        """What was asked for so far by limit, and the grants that the module goes by."""
        engine, heard = self.engine, self.heard
        if engine is None or heard is None or self.channel.unread() > MOST_UNREAD:
            return
        asked = {name: bucket.demand for name, bucket in engine.balancer.buckets.items()}
        self.channel.say({"kind": "limits", "asked": asked, "follows": heard.follows})

    def _access_log(self) -> dict[str, Any] | None:
        if self.observer is None or self.observer.log is None:
            return None
        log = self.observer.log
        return {"written": log.written, "lost": log.lost, "failure": log.failure}

    def fail(self, reason: str) -> None:
        """What it was told is of no use, or it lacks what it needs: the supervisor decides what follows."""
        self.channel.say({"kind": "failed", "reason": reason})
        self.exit_code = 1
        self.loop.call_soon(self.ended.set)


def watch_parent(parent: int, worker: Worker) -> None:
    """A loop that hangs never hears that the supervisor is gone; without it nobody would end this process."""

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_LOOK_S)
        time.sleep(worker.hard_limit_s)
        os._exit(3)

    threading.Thread(target=watch, daemon=True, name="parent").start()


async def work(fd: int) -> int:
    parent = os.getppid()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log(f"bug: {context.get('message')}: {context.get('exception')!r}")
    )
    worker = Worker()
    # A terminal's Ctrl-C goes to the whole group: what it means is the supervisor's to say.
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGUSR2):
        signal.signal(number, signal.SIG_IGN)
    early: list[Message] = []
    worker.channel = await open_channel(socket.socket(fileno=fd), early.append, worker.on_end)
    worker.channel.on_message = worker.on_message
    for message in early:
        worker.on_message(message)
    loop.add_signal_handler(signal.SIGTERM, worker.on_term)
    watch_parent(parent, worker)
    await worker.ended.wait()
    await asyncio.sleep(0)
    if worker.offer is not None:
        worker.offer.close()
    if worker.engine is not None:
        worker.say_beat()  # its last counts
    if worker.observer is not None and worker.observer.log is not None:
        await asyncio.to_thread(worker.observer.log.close, LAST_RECORDS_S)
    worker.channel.close()
    return worker.exit_code


def main() -> int:
    signal.alarm(0)  # see the supervisor: from here on this process ends by itself if nobody is there
    return uvloop.run(work(int(sys.argv[1])))


if __name__ == "__main__":
    sys.exit(main())
