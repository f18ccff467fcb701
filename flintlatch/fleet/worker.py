"""One instance of the proxy, started by the supervisor as `python -m flintlatch.fleet.worker FD`.

FD is the worker's end of the channel to the supervisor. The message `hello` brings the configuration. The
worker sends `ready` once its list has a node that takes requests, accepts connections after `accept`, and
exits after `drain` or when the supervisor is gone.
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
from flintlatch.config import Config, InvalidConfig, parse
from flintlatch.fleet.channel import Channel, ChannelMessage, open_channel
from flintlatch.fleet.spread import YIELD_S, ConnectionSpread
from flintlatch.handover import Offer
from flintlatch.net.backends import split_descriptors
from flintlatch.net.clock import now_ms
from flintlatch.net.engine import Engine
from flintlatch.net.frontend import ACCEPTS_PER_TURN_SHARED, Frontend
from flintlatch.net.listing import read_listing
from flintlatch.net.log import log
from flintlatch.net.request import Reader
from flintlatch.settings import Malformed

if TYPE_CHECKING:
    from flintlatch.fleet.heard import ReceivedEntries
    from flintlatch.fleet.observe import Observer

HEARTBEATS_PER_WATCHDOG = 5  # within watchdog_s, so that a late heartbeat does not count as a hang
SERVER_REPORT_INTERVAL_S = 0.1
LIMIT_REPORT_INTERVAL_S = 0.1
MAX_UNSENT_BYTES = 16 * 1024  # periodic messages are skipped while the supervisor reads too slowly
FINAL_RESPONSES_S = 0.3  # of the drain limit, kept to send the responses to requests that it ends
ACCESS_LOG_CLOSE_S = 1.0  # for writing the queued records
PARENT_POLL_INTERVAL_S = 0.5
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
        self.spread: ConnectionSpread | None = None
        self.listener_offer: Offer | None = None
        self.entries: ReceivedEntries | None = None
        self.server_report_sent = False  # whether the last report named any server
        self.config: Config
        self.listeners: list[socket.socket] = []
        self.ready_sent = self.accepting = False
        self.exit_code = 0
        self.exit_limit_s = 1.0  # after the supervisor has ended, this process exits within this time
        self.drain_task: asyncio.Task[None] | None = None
        self.drain_expired = asyncio.Event()  # the drain limit has passed
        self.drain_timer: asyncio.TimerHandle | None = None
        self.finished = asyncio.Event()
        self.loop = asyncio.get_running_loop()

    # From the supervisor

    def on_message(self, message: ChannelMessage) -> None:
        try:
            kind = message["kind"]
            if kind == "hello":
                self.on_hello(message)
            elif kind == "list":
                self.on_list(message["list"])
            elif kind == "word" and self.entries is not None:
                self.entries.on_entry(message)
                if message["about"] == "limit" and self.engine is not None:
                    # The lease is applied in the decision module's next step; only then is it acknowledged.
                    self.engine.wake()
                    self.loop.call_soon(self.send_limit_report)
            elif kind == "accept":
                self.start_accepting()
            elif kind == "drain":
                self.drain(float(message["limit_s"]), bool(message["last"]))
        except (InvalidConfig, Malformed, KeyError, OSError, ValueError) as error:
            self.fail(f"{type(error).__name__}: {error}")

    def on_supervisor_lost(self) -> None:
        """The supervisor is gone, so no process monitors or stops this one. It offers its listening sockets
        to a successor, serves for up to `orphan_s`, then drains and exits."""
        if self.engine is None or self.finished.is_set():
            self.finished.set()
        elif (
            self.drain_task is None
            and self.accepting
            and self.config.drain.orphan_s
            and self._offer_listeners()
        ):
            log("the supervisor is gone: serving on until a successor does")
            self.loop.call_later(self.config.drain.orphan_s, self.drain, self.config.drain.limit_s, True)
        else:
            if self.drain_task is None:
                log("the supervisor is gone: draining")
            self.drain(self.config.drain.limit_s, True)

    def _offer_listeners(self) -> bool:
        """Offers the listening sockets to a successor; False if that fails."""
        try:
            self.listener_offer = Offer(self.config.control_path, self.listeners, self._on_successor)
        except OSError as error:
            log(f"the listening sockets can't be offered to a successor: {error}")
            return False
        return True

    def _on_successor(self) -> None:
        if self.drain_task is None:
            log("a successor serves: draining")
            self.drain(self.config.drain.limit_s, False)

    def on_sigterm(self) -> None:
        """This process alone is to end; the supervisor starts another in its place."""
        if self.engine is None:
            self.finished.set()
        else:
            self.drain(self.config.drain.limit_s, False)

    def on_hello(self, message: ChannelMessage) -> None:
        self.config = parse(message["config"], message["path"])
        limits, number = self.config.limits, int(message["number"])
        self.exit_limit_s = self.config.drain.limit_s + self.config.drain.orphan_s + 1.0
        _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = (
            limits.sockets if hard_limit == resource.RLIM_INFINITY else min(limits.sockets, hard_limit)
        )
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard_limit))
        to_backends, to_clients = split_descriptors(descriptors)
        if self.config.fleet.log_format == "json":
            from flintlatch.fleet.log import make_logger  # imported only if configured

            logger = make_logger("json", "debug", "flintlatch", instance=number, pid=os.getpid())
            log.write = lambda line: logger.info(line)  # type: ignore[method-assign]
        settings, wire, seed = (
            self.config.settings(number),
            self.config.socket_settings(),
            int(message["seed"]),
        )
        self.listeners = [socket.socket(fileno=fd) for fd in message["listeners"]]
        if self.config.http is not None:
            from flintlatch.http.build import build  # imported only if configured

            self.engine, self.frontend = build(
                self.config, self.config.http, number, seed, to_backends, to_clients, ACCEPTS_PER_TURN_SHARED
            )
        else:
            self.engine = Engine(settings, wire, seed, to_backends)
            self.frontend = Frontend(self.engine, Reader(settings, wire), to_clients, ACCEPTS_PER_TURN_SHARED)
        if "recent_ids" in message:  # not from a supervisor of an older version
            self.engine.recent_ids.join(message["recent_ids"])
        if self.config.access_log is not None or self.config.fleet.metrics:
            from flintlatch.fleet.observe import Observer  # imported only if configured

            self.observer = Observer(self.config, number)
            self.observer.attach(self.engine)
        if self.config.peers is not None:
            from flintlatch.fleet.heard import ReceivedEntries  # imported only if configured
            from flintlatch.peers.clock import clock

            position = TierMembership(settings.proxies, settings.me)
            self.entries = ReceivedEntries(number, position, self.config.fallback_allocations(), clock, log)
            for entry in message.get("words", ()):
                self.entries.on_entry(entry)
            self.engine.agreed_events = self.entries.pending_events
            if self.config.shared_limits:
                self.send_limit_reports()
            if self.config.ejection_rules is not None:
                self.send_server_reports()
        if message.get("spread") is not None and self.config.fleet.instances > 1:
            self.spread = ConnectionSpread(message["spread"], int(message["worker"]))
            self.frontend.on_connection_count, self.frontend.should_pause_accepting = (
                self.spread.publish,
                self.spread.should_yield,
            )
            self.frontend.accept_pause_s = YIELD_S
        self.on_list(message["list"])
        self.send_heartbeats(self.config.start.watchdog_s / HEARTBEATS_PER_WATCHDOG)

    def on_list(self, listing: Any) -> None:
        assert self.engine is not None
        self.engine.on_list(read_listing(listing, self.config.socket_settings()))
        if not self.ready_sent and self.engine.backends.active() > 0:
            self.ready_sent = True
            # The decision module processes the list in the event loop's next iteration, before any connection
            # is accepted.
            self.loop.call_soon(self.channel.send, {"kind": "ready"})

    def start_accepting(self) -> None:
        if not self.accepting and self.drain_task is None and self.frontend is not None:
            self.accepting = True
            if self.spread is not None:
                self.spread.publish(0)
            gc.collect()
            gc.freeze()
            self.frontend.serve_on(self.listeners)

    def drain(self, limit_s: float, accept_backlog: bool) -> None:
        """Starts to drain; a repeated call changes the time limit."""
        if self.drain_timer is not None:
            self.drain_timer.cancel()
        self.drain_timer = self.loop.call_later(max(limit_s - FINAL_RESPONSES_S, 0.0), self.drain_expired.set)
        if self.drain_task is None:
            self.drain_task = self.loop.create_task(self._drain(accept_backlog))

    async def _drain(self, accept_backlog: bool) -> None:
        engine, frontend = self.engine, self.frontend
        if engine is None or frontend is None or not self.accepting:
            self.finished.set()
            return
        if self.spread is not None:
            self.spread.clear()
        # The readiness check on open connections reports whether the address is served, not this process.
        frontend.disable_keep_alive(address_still_served=not accept_backlog)
        if not accept_backlog:
            frontend.stop_accepting()
        idle_wait = self.loop.create_task(asyncio.sleep(self.config.drain.idle_s))
        await self._run_until_drain_limit(idle_wait)
        # The last process on this address accepts the connections that wait in the kernel's queue and answers
        # every request that has arrived; `finish` waits for both.
        await self._run_until_drain_limit(self.loop.create_task(frontend.finish(self.config.drain.limit_s)))
        if self.drain_expired.is_set():
            engine.fail_all()
            await asyncio.sleep(FINAL_RESPONSES_S / 2)
        engine.close()
        self.finished.set()

    async def _run_until_drain_limit(self, task: asyncio.Task[None]) -> None:
        expired = self.loop.create_task(self.drain_expired.wait())
        await asyncio.wait((task, expired), return_when=asyncio.FIRST_COMPLETED)
        expired.cancel()
        task.cancel()
        await asyncio.gather(task, expired, return_exceptions=True)

    # To the supervisor

    def send_heartbeats(self, interval_s: float) -> None:
        self.loop.call_later(interval_s, self.send_heartbeats, interval_s)
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        engine, frontend = self.engine, self.frontend
        assert engine is not None and frontend is not None
        if self.channel.unsent_bytes() > MAX_UNSENT_BYTES:
            return  # the supervisor hangs; it has no use for outdated heartbeats
        self.channel.send(
            {
                "kind": "beat",
                "in_flight": engine.open_requests(),
                "clients": frontend.connection_count,
                "rss_mb": round(resident_mb(), 1),
                "rev": engine.list_revision,
                "nodes": len(engine.backends.backends),
                "access_log": self._access_log(),
                "proxies": self.entries.applied_proxies.proxies if self.entries is not None else None,
                "counts": self.observer.counts.as_json() if self.observer is not None else None,
            }
        )

    def send_limit_reports(self) -> None:
        self.loop.call_later(LIMIT_REPORT_INTERVAL_S, self.send_limit_reports)
        self.send_limit_report()

    def send_server_reports(self) -> None:
        """Reports the servers that failed requests of this instance and have not answered since, and those
        under suspicion that have answered."""
        self.loop.call_later(SERVER_REPORT_INTERVAL_S, self.send_server_reports)
        engine = self.engine
        if engine is not None and self.channel.unsent_bytes() <= MAX_UNSENT_BYTES:
            now = now_ms()
            bad = engine.balancer.failing_servers(now)
            reported = self.entries.reported_servers if self.entries is not None else ()
            good = engine.balancer.healthy_servers(now, reported)
            if bad or good or self.server_report_sent:
                self.channel.send({"kind": "seen", "bad": bad, "good": good})
            self.server_report_sent = bool(bad or good)

    def send_limit_report(self) -> None:
        """Reports by limit how many requests have arrived, and the leases that the decision module
        applies."""
        engine, entries = self.engine, self.entries
        if engine is None or entries is None or self.channel.unsent_bytes() > MAX_UNSENT_BYTES:
            return
        asked = {name: bucket.demand for name, bucket in engine.balancer.buckets.items()}
        self.channel.send({"kind": "limits", "asked": asked, "follows": entries.applied_leases})

    def _access_log(self) -> dict[str, Any] | None:
        if self.observer is None or self.observer.log is None:
            return None
        log = self.observer.log
        return {"written": log.written, "lost": log.lost, "failure": log.failure}

    def fail(self, reason: str) -> None:
        """Reports that this process can't serve, and exits; the supervisor decides what follows."""
        self.channel.send({"kind": "failed", "reason": reason})
        self.exit_code = 1
        self.loop.call_soon(self.finished.set)


def watch_parent(parent_pid: int, worker: Worker) -> None:
    """Exits when the supervisor is gone, even if the event loop hangs and does not notice the closed channel.

    A thread polls the parent process id and allows the worker `exit_limit_s` to exit by itself."""

    def poll() -> None:
        while os.getppid() == parent_pid:
            time.sleep(PARENT_POLL_INTERVAL_S)
        time.sleep(worker.exit_limit_s)
        os._exit(3)

    threading.Thread(target=poll, daemon=True, name="parent").start()


async def work(fd: int) -> int:
    parent_pid = os.getppid()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log(f"bug: {context.get('message')}: {context.get('exception')!r}")
    )
    worker = Worker()
    # A terminal sends Ctrl-C to the whole process group; only the supervisor reacts to it.
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGUSR2):
        signal.signal(number, signal.SIG_IGN)
    early_messages: list[ChannelMessage] = []
    worker.channel = await open_channel(
        socket.socket(fileno=fd), early_messages.append, worker.on_supervisor_lost
    )
    worker.channel.on_message = worker.on_message
    for message in early_messages:
        worker.on_message(message)
    loop.add_signal_handler(signal.SIGTERM, worker.on_sigterm)
    watch_parent(parent_pid, worker)
    await worker.finished.wait()
    await asyncio.sleep(0)
    if worker.listener_offer is not None:
        worker.listener_offer.close()
    if worker.engine is not None:
        worker.send_heartbeat()  # with the final counts
    if worker.observer is not None and worker.observer.log is not None:
        await asyncio.to_thread(worker.observer.log.close, ACCESS_LOG_CLOSE_S)
    worker.channel.close()
    return worker.exit_code


def main() -> int:
    signal.alarm(0)  # set by the supervisor; from here on `watch_parent` limits this process's lifetime
    return uvloop.run(work(int(sys.argv[1])))


if __name__ == "__main__":
    sys.exit(main())
