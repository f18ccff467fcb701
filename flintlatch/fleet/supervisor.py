"""The supervisor's shell: processes, sockets, signals and clocks for the decisions of core.py."""

from __future__ import annotations

import asyncio
import os
import random
import resource
import signal
import socket
import sys
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from math import ceil
from typing import TYPE_CHECKING, Any

import uvloop

from flintlatch import handover
from flintlatch.config import Config, Unusable, load
from flintlatch.fleet import core, log, spread
from flintlatch.fleet.channel import Channel, Message, open_channel
from flintlatch.fleet.control import Control, Taken, check_path
from flintlatch.fleet.listeners import Listeners, NoListener, bound
from flintlatch.fleet.nodes import Nodes, described
from flintlatch.fleet.notify import Notifier, activated
from flintlatch.fleet.status import report, summary
from flintlatch.metrics import Totals
from flintlatch.net.clock import now_ms
from flintlatch.net.discovery import Listing

if TYPE_CHECKING:
    from flintlatch.fleet.agreed import Agreed
    from flintlatch.fleet.delivered import Supply

TAKEOVER = "FLINTLATCH_TAKEOVER"  # names the descriptor of a successor's channel to its predecessor
OWN_SOCKETS = 48  # descriptors of the supervisor itself: interpreter, loop, registry, control and its callers
EACH_SOCKETS = 2 * 3  # a worker's channel, both ends for a moment, a pidfd; twice, while two generations run
LEVELS = ("error", "warning", "info", "debug")
NEWS_KEPT = 20  # last lines for `status`


class CannotStart(Exception):
    """The fleet can't run; the text is the one line that says why."""

    def __init__(self, text: str, code: int = 1) -> None:
        super().__init__(text)
        self.code = code


class Process:
    """A worker's process and what it last said of itself."""

    def __init__(self, worker: int) -> None:
        self.worker = worker
        self.process: asyncio.subprocess.Process | None = None
        self.channel: Channel | None = None
        self.early: list[Message] = []  # said before the channel was up
        self.killed = False
        self.last: Message = {}

    def say(self, message: Message) -> None:
        if self.channel is None:
            self.early.append(message)
        else:
            self.channel.say(message)

    def kill(self) -> None:
        self.killed = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class Supervisor:
    def __init__(self, config: Config, env: Mapping[str, str]) -> None:
        self.config, self.env = config, dict(env)
        self.loop = asyncio.get_running_loop()
        self.random = random.SystemRandom()
        self.core = core.Fleet(self.random.uniform)
        self.notifier = Notifier(env, os.getpid())
        self.listeners = Listeners()
        self.control = Control(config.control_path, self.answer)
        self.configs: dict[int, Config] = {}  # of each generation
        self.nodes: dict[int, Nodes] = {}
        self.processes: dict[int, Process] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.wake: asyncio.TimerHandle | None = None
        self.tickets: dict[int, tuple[asyncio.Future[core.ReloadDone], Config, Nodes]] = {}
        self.last_ticket = 0
        self.reading = asyncio.Lock()  # a reload is read and prepared; the core keeps order from there on
        self.opening: tuple[str, ...] = ()  # addresses of that reload
        self.next_reload: asyncio.Task[Message] | None = None  # asked for, its file not read yet
        self.last_reload: Message = {}
        self.news: list[str] = []
        self.spread_fd = spread.make()
        self.spread = spread.Spread(self.spread_fd, 0)
        self.logger: tuple[str, Any] = "", None  # the form it is made for
        self.totals = Totals()
        self.page: Any = None  # of metrics
        self.agreed: Agreed | None = None
        self.supply: Supply | None = None  # of nodes by delivery, for all generations
        self.orphans: list[str] = []  # of a predecessor that died: where they wait for this one to serve
        self.done: asyncio.Future[int] = self.loop.create_future()
        self.serving = self.stop_early = False
        self.started_ms = now_ms()
        self.ready_after_s = 0.0
        self.predecessor: Channel | None = None
        self.successor: asyncio.subprocess.Process | None = None
        self.handed_over = False

    def log(self, level: str, text: str) -> None:
        if LEVELS.index(level) <= LEVELS.index(self.config.fleet.log_level):
            if self.logger[0] != self.config.fleet.log_format:
                form = self.config.fleet.log_format
                fields = {"fleet": self.config.fleet.name, "pid": os.getpid()}
                self.logger = form, log.make(form, "debug", "flintlatch fleet", **fields)
            # Nobody reads it any more: no reason to leave a decision half carried out.
            with suppress(OSError, ValueError):
                getattr(self.logger[1], level)(text)
        if level in ("error", "warning"):
            self.news = [*self.news[1 - NEWS_KEPT :], f"{level}: {text}"]
            if self.serving and not self.handed_over:
                self.notifier.status(summary(self.core))

    def task(self, coroutine: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log("error", f"bug: {error!r}")

    # Start and end

    async def run(self) -> int:
        """Serve until told to stop; the exit code. Raises CannotStart before anything serves."""
        for number, handler in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self.on_hup),
            (signal.SIGUSR2, self.on_usr2),
        ):
            self.loop.add_signal_handler(number, handler)
        try:
            await self._start()
            return await self.done
        finally:
            self._close()

    async def _start(self) -> None:
        config = self.config
        check_descriptors(config)
        await self._take_over()
        given: list[socket.socket] = []
        try:
            if self.predecessor is None:
                check_path(config.control_path)
                given = activated(self.env, os.getpid())
            self.listeners.adopt(config.fleet.listen, given)
            if self.predecessor is None and not given:
                await self.loop.run_in_executor(None, self._inherit)
            await self.control.open()
            await self.listeners.open(config.fleet.listen, config.start.bind_wait_s)
        except (Taken, NoListener, ValueError) as error:
            raise CannotStart(str(error)) from None
        for address in self.addresses():
            self.log("info", f"listens on {address}")
        self._open_page(config)
        self._open_agreed(config)
        nodes = self._draw(config)
        try:
            await self._first_list(nodes)
        except TimeoutError:
            nodes.close()
            raise CannotStart(self._no_list(config, nodes)) from None
        if self.stop_early:
            nodes.close()
            self.done.set_result(0)
            return
        self._ask_core(config, nodes)
        if self.notifier.watchdog_s:
            self._alive()

    def _draw(self, config: Config) -> Nodes:
        """The nodes of a generation to come."""
        if config.delivery is not None and self.supply is None:
            try:
                from flintlatch.fleet.delivered import Supply  # only where it is wanted

                self.supply = Supply(self.log)
            except ImportError as error:
                self.log("error", f"delivery: {error.name} is not installed: pip install flintlatch[peers]")
        return Nodes(config, self._on_news, self.log, self.supply)

    async def _first_list(self, nodes: Nodes) -> None:
        """Raises TimeoutError if the list has not come within the configuration's start limit."""
        first = self.loop.create_task(nodes.first())
        try:
            async with asyncio.timeout(self.config.start.ready_s):
                while not first.done() and not self.stop_early:
                    await asyncio.wait((first,), timeout=0.05)
        finally:
            first.cancel()

    @staticmethod
    def _no_list(config: Config, nodes: Nodes) -> str:
        limit = f"{config.start.ready_s:g} s"
        table = config.nodes
        named = {"registry": f"registry {table.registry}", "catalogue": f"catalogue {table.catalogue}"}
        named["delivery"] = f"delivery of {table.service}"
        where = named.get(table.source, ", ".join(table.files))
        return f"{where}: no list within {limit}: {nodes.failure or 'no answer'}"

    async def _take_over(self) -> None:
        """Started by a predecessor: its listening sockets, and a channel to tell it when it may go."""
        fd = self.env.pop(TAKEOVER, "")
        if not fd:
            return
        come: asyncio.Future[Message] = self.loop.create_future()

        def on_message(message: Message) -> None:
            if not come.done():
                come.set_result(message)

        def on_end() -> None:
            if not come.done():
                come.set_exception(CannotStart("the predecessor is gone"))

        self.predecessor = await open_channel(socket.socket(fileno=int(fd)), on_message, on_end)
        message = await come
        for address, place, number in message["listeners"]:
            sock = socket.socket(fileno=number)
            sock.set_inheritable(False)
            self.listeners.socks[address, place] = sock
        self.listeners.keep_only(self.config.fleet.listen)
        # Numbers go on, so that a log of both tells generations and workers apart.
        self.core.last_generation, self.core.last_worker = message["generation"], message["worker"]

    def _open_page(self, config: Config) -> None:
        """Metrics are no reason not to serve: an address that is taken is told of, and no more."""
        if not config.fleet.metrics:
            return
        try:
            from flintlatch.metrics.page import MetricsServer  # only where it is wanted

            self.page = MetricsServer(config.fleet.metrics, self.now)
        except (OSError, ImportError) as error:
            self.log("error", f"metrics {config.fleet.metrics}: {error}")
        else:
            self.log("info", f"metrics at {self.page.address}")

    def _open_agreed(self, config: Config) -> None:
        if config.peers is None:
            return
        try:
            from flintlatch.fleet.agreed import Agreed  # only where it is wanted
        except ImportError as error:
            self.log("error", f"peers: {error.name} is not installed: pip install flintlatch[peers]")
            return
        self.agreed = Agreed(config, config.peers, self._tell_all, self._tell_one, self._servers, self.log)
        self.agreed.start()

    def _tell_all(self, message: Message) -> None:
        for process in self.processes.values():
            if process.channel is not None:  # one that starts is told what holds then
                process.channel.say(message)

    def _servers(self) -> set[str]:
        """Uids that the current generation's list names."""
        current = self.core.current
        nodes = self.nodes.get(current.number) if current is not None else None
        return set(nodes.targets) if nodes is not None else set()

    def _tell_one(self, worker: int, message: Message) -> None:
        if (process := self.processes.get(worker)) is not None and process.channel is not None:
            process.channel.say(message)

    def now(self) -> Any:
        """For the page's thread: whole values, read once each."""
        from flintlatch.metrics.page import FleetSnapshot

        lasts = [process.last for process in list(self.processes.values())]
        states = Counter(worker.state.value for worker in list(self.core.workers.values()))
        lost = sum((last.get("access_log") or {}).get("lost", 0) for last in lasts)
        flight, clients = (sum(last.get(name) or 0 for last in lasts) for name in ("in_flight", "clients"))
        members, told = (self.agreed.states(), self.agreed.counts()) if self.agreed is not None else ({}, {})
        return FleetSnapshot(self.totals.fleet_counts(), dict(states), flight, clients, lost, members, told)

    def _inherit(self) -> None:
        """Take the listening sockets that a dead supervisor's workers hold, with all that waits there."""
        for path in handover.find_offers(self.config.control_path):
            socks = handover.receive_listeners(path)
            if not socks:
                continue
            self.orphans.append(path)
            for sock in self.listeners.inherit(self.config.fleet.listen, socks):
                self.log("info", f"inherited {bound(sock)}")

    def _tell_orphans(self) -> None:
        orphans, self.orphans = self.orphans, []
        for path in orphans:
            self.loop.run_in_executor(None, handover.notify_serving, path)

    def _alive(self) -> None:
        self.notifier.alive()
        self.loop.call_later(self.notifier.watchdog_s / 2, self._alive)

    def _close(self) -> None:
        if self.wake is not None:
            self.wake.cancel()
        if self.page is not None:
            self.page.close()
        if self.agreed is not None:
            self.agreed.close()
        for nodes in self.nodes.values():
            nodes.close()
        if self.supply is not None:
            self.supply.close()
        for process in self.processes.values():
            process.kill()
        self.listeners.close(list(self.listeners.socks))
        self.control.close()

    def stop(self) -> None:
        self.stop_early = True  # should nothing have been started yet
        if self.last_ticket:
            self._step(core.StopAsked())

    def on_hup(self) -> None:
        self.task(self.reload())

    def on_usr2(self) -> None:
        self.task(self.upgrade())

    # Decisions

    def _step(self, event: core.Event) -> None:
        for action in self.core.step(self.loop.time(), event):
            self._carry_out(action)

    def _carry_out(self, action: core.Action) -> None:
        if isinstance(action, core.Spawn):
            self._spawn(action)
        elif isinstance(action, core.Accept):
            self.processes[action.worker].say({"kind": "accept"})
        elif isinstance(action, core.Drain):
            message = {"kind": "drain", "limit_s": action.limit_s, "last": action.last}
            self.processes[action.worker].say(message)
        elif isinstance(action, core.Kill):
            self.processes[action.worker].kill()
        elif isinstance(action, core.GenerationServes):
            self._on_serving(action)
        elif isinstance(action, core.ReloadDone):
            self._on_reloaded(action)
        elif isinstance(action, core.GenerationGone):
            self.nodes.pop(action.generation).close()
            del self.configs[action.generation]
        elif isinstance(action, core.Stopping):
            self.log("info", f"stopping: {action.reason}")
            if not self.handed_over:
                self.notifier.stopping(action.reason)
            if self.agreed is not None:
                self.agreed.close() if self.handed_over else self.agreed.leave()
            if self.successor is not None and not self.handed_over:
                self.successor.terminate()
            # Workers hold the sockets; once the last of them lets go, the address is free.
            self.listeners.close(list(self.listeners.socks))
        elif isinstance(action, core.Stopped):
            if not self.done.done():
                self.log("info", "stopped")
                self.done.set_result(1 if action.failed else 0)
        elif isinstance(action, core.Say):
            self.log(action.level, action.text)
        elif isinstance(action, core.WakeAt):
            if self.wake is not None:
                self.wake.cancel()
            self.wake = self.loop.call_at(max(action.at_s, self.loop.time() + 0.001), self._step, core.Tick())

    def _ask_core(self, config: Config, nodes: Nodes) -> asyncio.Future[core.ReloadDone]:
        self.last_ticket += 1
        done: asyncio.Future[core.ReloadDone] = self.loop.create_future()
        self.tickets[self.last_ticket] = (done, config, nodes)
        self._step(core.ReloadAsked(limits(config), self.last_ticket))
        return done

    def _on_serving(self, action: core.GenerationServes) -> None:
        first = not self.serving
        self.config = self.configs[action.generation]
        self.serving = True
        if self.agreed is not None and not first:
            self.agreed.reconfigure(self.config)
        elif self.agreed is None and not first:
            self._open_agreed(self.config)
        if first:
            self.ready_after_s = (now_ms() - self.started_ms) / 1000
            try:
                self.control.publish()
            except Taken as error:
                self.log("error", str(error))
            if self.predecessor is not None:
                self.predecessor.say({"kind": "serving", "pid": os.getpid()})
            self._tell_orphans()
        self.notifier.ready(summary(self.core))
        lack = "" if action.complete else ", not complete"
        self.log(
            "info", f"ready: generation {action.generation}, {self.config.fleet.instances} instances{lack}"
        )

    def _on_reloaded(self, action: core.ReloadDone) -> None:
        done, _, nodes = self.tickets.pop(action.ticket)
        if not action.generation:  # its turn never came
            nodes.close()
        self._close_listeners()
        if not done.done():
            done.set_result(action)

    def _close_listeners(self) -> None:
        """Those of a reload that failed go, and those that the new generation no longer names."""
        if self.serving and self.core.phase is core.Phase.SERVING:
            waiting = [other.fleet.listen for _, other, _ in self.tickets.values()]
            self.listeners.keep_only(self.config.fleet.listen, self.opening, *waiting)

    # Workers

    def _spawn(self, action: core.Spawn) -> None:
        generation = action.generation
        if generation not in self.configs:
            _, config, nodes = self.tickets[self.core.generations[generation].ticket]
            self.configs[generation], self.nodes[generation] = config, nodes
        process = self.processes[action.worker] = Process(action.worker)
        self.task(self._run_worker(action, process))

    async def _run_worker(self, action: core.Spawn, process: Process) -> None:
        """Start one, hear it, and tell of its end."""
        try:
            # One that was given up before its turn came: its sockets may be closed by now.
            how = "not started" if process.killed else await self._worker_life(action, process)
        except OSError as error:
            how = f"not started: {error.strerror or error}"
        except Exception as error:  # whatever it was, the decisions must hear of the end
            how = f"not started: {error!r}"
        if process.channel is not None:
            process.channel.close()
        self.spread.leave(action.worker)
        self.totals.on_instance_ended(action.worker)
        del self.processes[action.worker]
        if self.agreed is not None:
            self.agreed.gone(action.worker)
        self._step(core.WorkerExited(action.worker, how))

    async def _worker_life(self, action: core.Spawn, process: Process) -> str:
        config, nodes = self.configs[action.generation], self.nodes[action.generation]
        socks = self.listeners.of(config.fleet.listen)
        mine, theirs = socket.socketpair()
        try:
            with theirs:
                process.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "flintlatch.fleet.worker",
                    str(theirs.fileno()),
                    stdin=asyncio.subprocess.DEVNULL,
                    pass_fds=(theirs.fileno(), self.spread_fd, *(sock.fileno() for sock in socks)),
                    env=self.worker_env(),
                    # A limit on the interpreter's start that needs nobody: should it hang there, and this
                    # process be gone, it would hold the address for good. An alarm outlives exec (alarm(2)).
                    preexec_fn=partial(signal.alarm, ceil(config.start.ready_s) + 1),
                )
            if process.killed:
                process.process.kill()
            process.channel = await open_channel(
                mine, lambda message: self._on_word(action.worker, message), lambda: None
            )
        except BaseException:
            mine.close()
            raise
        process.channel.say(
            {
                "kind": "hello",
                "generation": action.generation,
                "number": action.number,
                "seed": self.random.getrandbits(48),
                "path": config.path,
                "config": config.text,
                "list": described(nodes.whole()),
                "listeners": [sock.fileno() for sock in socks],
                "spread": self.spread_fd,
                "worker": action.worker,
                "words": self.agreed.words() if self.agreed is not None else [],
            }
        )
        for message in process.early:
            process.channel.say(message)
        code = await process.process.wait()
        return f"signal {-code}" if code < 0 else f"exit code {code}"

    def worker_env(self) -> dict[str, str]:
        """Nothing of the service manager's: what it expects is said by the supervisor alone."""
        names = (
            "NOTIFY_SOCKET",
            "WATCHDOG_USEC",
            "WATCHDOG_PID",
            "LISTEN_FDS",
            "LISTEN_PID",
            "LISTEN_FDNAMES",
        )
        return {name: value for name, value in self.env.items() if name not in names}

    def _on_word(self, worker: int, message: Message) -> None:
        kind = message.get("kind")
        if kind == "ready":
            self._step(core.WorkerReady(worker))
        elif kind == "beat":
            if worker in self.processes:
                self.processes[worker].last = message
                if message.get("counts") is not None:
                    self.totals.replace_report(worker, message["counts"])
            self._step(core.WorkerBeat(worker, float(message.get("rss_mb", 0))))
        elif kind == "limits":
            if self.agreed is not None and self.agreed.limiting is not None and worker in self.processes:
                self.agreed.limiting.on_instance(worker, message)
        elif kind == "seen":
            if self.agreed is not None and self.agreed.judging is not None and worker in self.processes:
                self.agreed.judging.on_instance(worker, message)
        elif kind == "failed":
            self._step(core.WorkerFailed(worker, str(message.get("reason"))))

    def _on_news(self, source: Nodes, news: Listing) -> None:
        """The list has changed for the workers of the generation that draws on this source."""
        message = {"kind": "list", "list": described(news)}
        for generation in [number for number, nodes in self.nodes.items() if nodes is source]:
            for worker in self.core.workers.values():
                if worker.generation == generation and worker.id in self.processes:
                    self.processes[worker.id].say(message)

    # Reload and upgrade

    async def reload(self) -> Message:
        """Read the file again and make it the next generation. Calls that come before the file is read share
        one reading; the answer says how it went."""
        if self.next_reload is None:
            self.next_reload = self.task(self._reload())
        return await asyncio.shield(self.next_reload)

    async def _reload(self) -> Message:
        started = self.loop.time()
        async with self.reading:
            self.next_reload = None
            prepared = await self._prepare()
        if isinstance(prepared, str):
            generation, reason = 0, prepared
            self._close_listeners()
        else:
            done = await prepared
            generation, reason = done.generation, done.reason
        self.last_reload = {
            "ok": not reason,
            "reason": reason,
            "generation": generation,
            "at": now_ms() / 1000,
            "took_s": round(self.loop.time() - started, 3),
        }
        if reason:
            self.log("error", f"reload: {reason}; going on as before")
        if self.serving and self.core.phase is core.Phase.SERVING:
            self.notifier.ready(summary(self.core))
        return self.last_reload

    async def _prepare(self) -> asyncio.Future[core.ReloadDone] | str:
        """Check all that can be checked before a worker is started; the core's answer to come, or why not."""
        if self.core.phase is not core.Phase.SERVING:
            return f"the fleet is {self.core.phase.value}"
        if self.successor is not None:
            return "an upgrade is under way"
        try:
            config = load(self.config.path)
            check_descriptors(config)
        except (Unusable, CannotStart) as error:
            return str(error).replace("\n", "; ")
        if config.control_path != self.config.control_path:
            return f"{config.path}: fleet.control: can't change while the fleet runs; restart or upgrade it"
        self.notifier.reloading()
        try:
            await self.listeners.open(config.fleet.listen)
        except NoListener as error:
            return str(error)
        self.opening = config.fleet.listen
        nodes = self._draw(config)
        try:
            async with asyncio.timeout(config.start.ready_s):
                await nodes.first()
        except TimeoutError:
            nodes.close()
            return self._no_list(config, nodes)
        finally:
            self.opening = ()
        return self._ask_core(config, nodes)

    async def upgrade(self) -> Message:
        """Start a new program on the same listening sockets; this one drains once that serves."""
        if self.successor is not None or self.core.phase is not core.Phase.SERVING:
            return {"ok": False, "reason": "not while it starts, stops, or upgrades already"}
        mine, theirs = socket.socketpair()
        serving: asyncio.Future[int] = self.loop.create_future()

        def on_message(message: Message) -> None:
            if message.get("kind") == "serving" and not serving.done():
                serving.set_result(int(message["pid"]))

        def on_end() -> None:
            if not serving.done():
                serving.set_result(0)

        socks = self.listeners.socks
        env = self.env | {TAKEOVER: str(theirs.fileno())}
        self.log("info", "upgrade: starting the successor")
        try:
            with theirs:
                self.successor = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "flintlatch",
                    "fleet",
                    self.config.path,
                    stdin=asyncio.subprocess.DEVNULL,
                    pass_fds=(theirs.fileno(), *(sock.fileno() for sock in socks.values())),
                    env=env,
                )
        except OSError as error:
            mine.close()
            return {"ok": False, "reason": f"upgrade: {error.strerror}"}
        channel = await open_channel(mine, on_message, on_end)
        channel.say(
            {
                "kind": "takeover",
                "listeners": [[address, place, sock.fileno()] for (address, place), sock in socks.items()],
                "generation": self.core.last_generation,
                "worker": self.core.last_worker,
            }
        )
        limit_s = 2 * self.config.start.ready_s + self.config.start.bind_wait_s
        try:
            async with asyncio.timeout(limit_s):
                pid = await serving
        except TimeoutError:
            pid = 0
        channel.close()
        if not pid:
            if self.successor.returncode is None:
                self.successor.kill()
            await self.successor.wait()
            self.successor = None
            reason = "the successor did not come to serve; going on as before"
            self.log("error", f"upgrade: {reason}")
            return {"ok": False, "reason": reason}
        self.handed_over = True
        self.log("info", f"upgrade: process {pid} has taken over")
        self._step(core.StopAsked(f"process {pid} has taken over", True))
        return {"ok": True, "pid": pid}

    # Control

    async def answer(self, request: Message) -> Message:
        command = request.get("do")
        if command == "status":
            return report(self, os.getpid(), self.loop.time())
        if command == "reload":
            return await self.reload()
        if command == "upgrade":
            return await self.upgrade()
        if command == "stop":
            self.loop.call_soon(self.stop)
            return {"ok": True}
        if command in ("nodes", "confirm"):
            return self._on_nodes(request)
        if command in ("peers", "note"):
            return self._on_peers(request)
        if command == "limits":
            limiting = self.agreed.limiting if self.agreed is not None else None
            if limiting is None:
                return {"ok": False, "reason": "no [[limit]] with [peers] here"}
            return {"ok": True, "limits": limiting.report()}
        if command == "verdicts":
            judging = self.agreed.judging if self.agreed is not None else None
            if judging is None:
                return {"ok": False, "reason": "no [verdicts] with [peers] here"}
            return {"ok": True, **judging.report()}
        expected = "status, reload, upgrade, stop, nodes, confirm, peers, note, limits, verdicts"
        return {"ok": False, "reason": f"expected 'do' to be one of {expected}"}

    def _on_peers(self, request: Message) -> Message:
        """Who is there, or a note for all of them."""
        if self.agreed is None:
            return {"ok": False, "reason": "no [peers] here"}
        if request["do"] == "peers":
            return self.agreed.report()
        try:
            subject, text = str(request["subject"]), str(request["text"])
            return self.agreed.note(subject, text, float(request["for_s"]))
        except (KeyError, ValueError, TypeError):
            return {"ok": False, "reason": "expected subject, text and for_s"}

    def _on_nodes(self, request: Message) -> Message:
        """The list in effect with its sources, or a confirmation of a version that is held."""
        current = self.core.current
        nodes = self.nodes.get(current.number) if current is not None else None
        if nodes is None:
            return {"ok": False, "reason": "no generation serves"}
        if request["do"] == "nodes":
            sources = nodes.members.report() if nodes.members is not None else []
            return {"ok": True, "list": described(nodes.whole()), "sources": sources}
        if nodes.members is None:
            return {"ok": False, "reason": "no source here holds versions"}
        try:
            return nodes.members.confirm(str(request["source"]), int(request["version"]))
        except (KeyError, ValueError, TypeError):
            return {"ok": False, "reason": "expected source and version"}

    def addresses(self) -> list[str]:
        return [bound(sock) for sock in self.listeners.socks.values()]


def limits(config: Config) -> core.Limits:
    start, drain = config.start, config.drain
    return core.Limits(
        config.fleet.instances,
        start.ready_s,
        start.restart_first_s,
        start.restart_most_s,
        start.stable_s,
        start.give_up_after,
        start.watchdog_s,
        drain.limit_s,
        drain.hurry_s,
        config.limits.memory_mb,
    )


def check_descriptors(config: Config) -> None:
    """Raise CannotStart if the process may not hold what two generations at once need."""
    need = OWN_SOCKETS + EACH_SOCKETS * config.fleet.instances + 2 * len(config.fleet.listen)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < need:
        raise CannotStart(
            f"descriptors: at most {hard} allowed (ulimit -Hn), at least {need} needed for "
            f"{config.fleet.instances} instances"
        )
    if soft < need:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def run(path: str, env: Mapping[str, str]) -> int:
    """Run a fleet from the configuration at `path` until it is told to stop; the exit code.

    2: the configuration can't be used. 1: it can't start, or every instance is given up."""
    try:
        config = load(path)
    except Unusable as error:
        print(error, file=sys.stderr)
        return 2

    async def supervise() -> int:
        return await Supervisor(config, env).run()

    try:
        return uvloop.run(supervise())
    except CannotStart as error:
        print(f"flintlatch fleet: error: {error}", file=sys.stderr)
        return error.code
