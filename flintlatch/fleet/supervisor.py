"""The supervisor process of a fleet: applies the decisions of core.py to processes, sockets and signals."""

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
from flintlatch.config import Config, InvalidConfig, load
from flintlatch.fleet import core, log, spread
from flintlatch.fleet.channel import Channel, ChannelMessage, open_channel
from flintlatch.fleet.control import Control, ControlError, check_path
from flintlatch.fleet.listeners import ListenError, Listeners, bound_address
from flintlatch.fleet.nodes import NodeList, encode_listing
from flintlatch.fleet.notify import Notifier, sockets_from_manager
from flintlatch.fleet.status import report, summary
from flintlatch.metrics import Totals
from flintlatch.net.clock import now_ms
from flintlatch.net.listing import Listing
from flintlatch.net.recent_ids import SharedIds

if TYPE_CHECKING:
    from flintlatch.fleet.agreed import PeerService
    from flintlatch.fleet.delivered import DeliveryFeeds

TAKEOVER_VARIABLE = "FLINTLATCH_TAKEOVER"  # descriptor of a successor's channel to its predecessor
SUPERVISOR_DESCRIPTORS = 48  # interpreter, event loop, registry, control socket and its connections
DESCRIPTORS_PER_INSTANCE = 2 * 3  # both ends of the channel and a pidfd, for each of two generations
LEVELS = ("error", "warning", "info", "debug")
MAX_RECENT_WARNINGS = 20  # log lines shown by `status`


class StartupError(Exception):
    """The fleet can't start; the text is the one line that is printed, `code` the exit code."""

    def __init__(self, text: str, code: int = 1) -> None:
        super().__init__(text)
        self.code = code


class Process:
    """A worker's process, the channel to it and its last heartbeat."""

    def __init__(self, worker: int) -> None:
        self.worker = worker
        self.process: asyncio.subprocess.Process | None = None
        self.channel: Channel | None = None
        self.queued_messages: list[ChannelMessage] = []  # sent once the channel is open
        self.killed = False
        self.last_heartbeat: ChannelMessage = {}

    def send(self, message: ChannelMessage) -> None:
        if self.channel is None:
            self.queued_messages.append(message)
        else:
            self.channel.send(message)

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
        self.control = Control(config.control_path, self.on_control_request)
        self.configs: dict[int, Config] = {}  # by generation
        self.nodes: dict[int, NodeList] = {}  # by generation
        self.processes: dict[int, Process] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.wake_timer: asyncio.TimerHandle | None = None
        self.pending_reloads: dict[int, tuple[asyncio.Future[core.ReloadDone], Config, NodeList]] = {}
        self.last_ticket = 0
        self.reload_lock = asyncio.Lock()  # held while a reload is read and prepared; the core queues it then
        self.opening_addresses: tuple[str, ...] = ()  # listen addresses of the reload being prepared
        self.scheduled_reload: asyncio.Task[ChannelMessage] | None = None  # requested, its file not read yet
        self.last_reload: ChannelMessage = {}
        self.recent_warnings: list[str] = []
        self.spread_fd = spread.create_page()
        self.spread = spread.ConnectionSpread(self.spread_fd, 0)
        self.recent_ids = SharedIds()  # of all instances: an id that comes again may reach another one
        self.logger: tuple[str, Any] = "", None  # the log format that it writes, and the logger
        self.totals = Totals()
        self.metrics_page: Any = None
        self.peer_service: PeerService | None = None
        self.delivery_feeds: DeliveryFeeds | None = None  # shared by all generations
        self.orphan_paths: list[str] = []  # handover sockets of the workers of a supervisor that died
        self.exit_code: asyncio.Future[int] = self.loop.create_future()
        self.serving = self.stop_requested = False
        self.started_ms = now_ms()
        self.ready_after_s = 0.0
        self.predecessor: Channel | None = None
        self.successor: asyncio.subprocess.Process | None = None
        self.handed_over = False

    def log(self, level: str, text: str) -> None:
        if LEVELS.index(level) <= LEVELS.index(self.config.fleet.log_level):
            if self.logger[0] != self.config.fleet.log_format:
                log_format = self.config.fleet.log_format
                fields = {"fleet": self.config.fleet.name, "pid": os.getpid()}
                self.logger = log_format, log.make_logger(log_format, "debug", "flintlatch fleet", **fields)
            # A closed standard error must not interrupt the actions of a decision halfway.
            with suppress(OSError, ValueError):
                getattr(self.logger[1], level)(text)
        if level in ("error", "warning"):
            self.recent_warnings = [*self.recent_warnings[1 - MAX_RECENT_WARNINGS :], f"{level}: {text}"]
            if self.serving and not self.handed_over:
                self.notifier.status(summary(self.core))

    def create_task(self, coroutine: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log("error", f"bug: {error!r}")

    # Start and end

    async def run(self) -> int:
        """Serves until told to stop, and returns the exit code. Raises StartupError if nothing can serve."""
        for number, handler in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self.on_sighup),
            (signal.SIGUSR2, self.on_sigusr2),
        ):
            self.loop.add_signal_handler(number, handler)
        try:
            await self._start()
            return await self.exit_code
        finally:
            self._close()

    async def _start(self) -> None:
        config = self.config
        check_descriptors(config)
        await self._take_over()
        activated_sockets: list[socket.socket] = []
        try:
            if self.predecessor is None:
                check_path(config.control_path)
                activated_sockets = sockets_from_manager(self.env, os.getpid())
            self.listeners.adopt(config.fleet.listen, activated_sockets)
            if self.predecessor is None and not activated_sockets:
                await self.loop.run_in_executor(None, self._inherit_listeners)
            await self.control.open()
            await self.listeners.open(config.fleet.listen, config.start.bind_wait_s)
        except (ControlError, ListenError, ValueError) as error:
            raise StartupError(str(error)) from None
        for address in self.addresses():
            self.log("info", f"listens on {address}")
        self._open_metrics_page(config)
        self._open_peer_service(config)
        node_list = self._open_nodes(config)
        try:
            await self._wait_for_first_list(node_list)
        except TimeoutError:
            node_list.close()
            raise StartupError(self._no_list_error(config, node_list)) from None
        if self.stop_requested:
            node_list.close()
            self.exit_code.set_result(0)
            return
        self._request_generation(config, node_list)
        if self.notifier.watchdog_s:
            self._notify_watchdog()

    def _open_nodes(self, config: Config) -> NodeList:
        """Starts to follow the node list of a new generation."""
        if config.delivery is not None and self.delivery_feeds is None:
            try:
                from flintlatch.fleet.delivered import DeliveryFeeds  # imported only if configured

                self.delivery_feeds = DeliveryFeeds(self.log)
            except ImportError as error:
                self.log("error", f"delivery: {error.name} is not installed: pip install flintlatch[peers]")
        return NodeList(config, self._on_listing, self.log, self.delivery_feeds)

    async def _wait_for_first_list(self, node_list: NodeList) -> None:
        """Raises TimeoutError if no list has come within `ready_s`."""
        first = self.loop.create_task(node_list.wait_for_first())
        try:
            async with asyncio.timeout(self.config.start.ready_s):
                while not first.done() and not self.stop_requested:
                    await asyncio.wait((first,), timeout=0.05)
        finally:
            first.cancel()

    @staticmethod
    def _no_list_error(config: Config, node_list: NodeList) -> str:
        limit = f"{config.start.ready_s:g} s"
        table = config.nodes
        source_names = {"registry": f"registry {table.registry}", "catalogue": f"catalogue {table.catalogue}"}
        source_names["delivery"] = f"delivery of {table.service}"
        source = source_names.get(table.source, ", ".join(table.files))
        return f"{source}: no list within {limit}: {node_list.failure or 'no answer'}"

    async def _take_over(self) -> None:
        """If a predecessor started this process, receive its listening sockets over the channel that later
        tells it that this process serves."""
        descriptor_number = self.env.pop(TAKEOVER_VARIABLE, "")
        if not descriptor_number:
            return
        received: asyncio.Future[ChannelMessage] = self.loop.create_future()

        def on_message(message: ChannelMessage) -> None:
            if not received.done():
                received.set_result(message)

        def on_closed() -> None:
            if not received.done():
                received.set_exception(StartupError("the predecessor is gone"))

        self.predecessor = await open_channel(
            socket.socket(fileno=int(descriptor_number)), on_message, on_closed
        )
        message = await received
        for address, index, descriptor in message["listeners"]:
            sock = socket.socket(fileno=descriptor)
            sock.set_inheritable(False)
            self.listeners.sockets[address, index] = sock
        self.listeners.keep_only(self.config.fleet.listen)
        if "recent_ids" in message:  # not from an older version
            os.set_inheritable(message["recent_ids"], False)
            self.recent_ids = SharedIds(message["recent_ids"])
        # Continue the predecessor's numbering, so that ids are unique in a log that both processes write.
        self.core.last_generation, self.core.last_worker_id = message["generation"], message["worker"]

    def _open_metrics_page(self, config: Config) -> None:
        """Opens the metrics page. A failure is logged only, since the fleet can serve without it."""
        if not config.fleet.metrics:
            return
        try:
            from flintlatch.metrics.page import MetricsServer  # imported only if configured

            self.metrics_page = MetricsServer(config.fleet.metrics, self.metrics_snapshot)
        except (OSError, ImportError) as error:
            self.log("error", f"metrics {config.fleet.metrics}: {error}")
        else:
            self.log("info", f"metrics at {self.metrics_page.address}")

    def _open_peer_service(self, config: Config) -> None:
        if config.peers is None:
            return
        try:
            from flintlatch.fleet.agreed import PeerService  # imported only if configured
        except ImportError as error:
            self.log("error", f"peers: {error.name} is not installed: pip install flintlatch[peers]")
            return
        self.peer_service = PeerService(
            config, config.peers, self._send_to_all, self._send_to_worker, self._listed_servers, self.log
        )
        self.peer_service.start()

    def _send_to_all(self, message: ChannelMessage) -> None:
        for process in self.processes.values():
            if process.channel is not None:  # a worker without one gets the current state when it starts
                process.channel.send(message)

    def _listed_servers(self) -> set[str]:
        """Uids of the nodes on the current generation's list."""
        current = self.core.current
        node_list = self.nodes.get(current.number) if current is not None else None
        return set(node_list.targets) if node_list is not None else set()

    def _send_to_worker(self, worker: int, message: ChannelMessage) -> None:
        if (process := self.processes.get(worker)) is not None and process.channel is not None:
            process.channel.send(message)

    def metrics_snapshot(self) -> Any:
        """Called in the thread of the metrics page: reads each value once and copies what may change."""
        from flintlatch.metrics.page import FleetSnapshot

        heartbeats = [process.last_heartbeat for process in list(self.processes.values())]
        workers_by_state = Counter(worker.state.value for worker in list(self.core.workers.values()))
        lost_records = sum((heartbeat.get("access_log") or {}).get("lost", 0) for heartbeat in heartbeats)
        in_flight, clients = (
            sum(heartbeat.get(name) or 0 for heartbeat in heartbeats) for name in ("in_flight", "clients")
        )
        members_by_state, peer_counts = (
            (self.peer_service.members_by_state(), self.peer_service.counts())
            if self.peer_service is not None
            else ({}, {})
        )
        return FleetSnapshot(
            self.totals.fleet_counts(),
            dict(workers_by_state),
            in_flight,
            clients,
            lost_records,
            members_by_state,
            peer_counts,
        )

    def _inherit_listeners(self) -> None:
        """Takes over the listening sockets, with their accept queues, from the workers of a dead
        supervisor."""
        for path in handover.find_offers(self.config.control_path):
            sockets = handover.receive_listeners(path)
            if not sockets:
                continue
            self.orphan_paths.append(path)
            for sock in self.listeners.inherit(self.config.fleet.listen, sockets):
                self.log("info", f"inherited the listening socket {bound_address(sock)}")

    def _notify_orphans(self) -> None:
        paths, self.orphan_paths = self.orphan_paths, []
        for path in paths:
            self.loop.run_in_executor(None, handover.notify_serving, path)

    def _notify_watchdog(self) -> None:
        self.notifier.alive()
        self.loop.call_later(self.notifier.watchdog_s / 2, self._notify_watchdog)

    def _close(self) -> None:
        if self.wake_timer is not None:
            self.wake_timer.cancel()
        if self.metrics_page is not None:
            self.metrics_page.close()
        if self.peer_service is not None:
            self.peer_service.close()
        for node_list in self.nodes.values():
            node_list.close()
        if self.delivery_feeds is not None:
            self.delivery_feeds.close()
        for process in self.processes.values():
            process.kill()
        self.listeners.close(list(self.listeners.sockets))
        self.control.close()

    def stop(self) -> None:
        self.stop_requested = True  # read during startup, before the core knows any generation
        if self.last_ticket:
            self._step(core.StopRequested())

    def on_sighup(self) -> None:
        self.create_task(self.reload())

    def on_sigusr2(self) -> None:
        self.create_task(self.upgrade())

    # Decisions

    def _step(self, event: core.Event) -> None:
        for action in self.core.step(self.loop.time(), event):
            self._perform(action)

    def _perform(self, action: core.Action) -> None:
        if isinstance(action, core.Spawn):
            self._spawn(action)
        elif isinstance(action, core.Accept):
            self.processes[action.worker].send({"kind": "accept"})
        elif isinstance(action, core.Drain):
            message = {"kind": "drain", "limit_s": action.limit_s, "last": action.accept_backlog}
            self.processes[action.worker].send(message)
        elif isinstance(action, core.Kill):
            self.processes[action.worker].kill()
        elif isinstance(action, core.GenerationServing):
            self._on_serving(action)
        elif isinstance(action, core.ReloadDone):
            self._on_reload_done(action)
        elif isinstance(action, core.GenerationEnded):
            self.nodes.pop(action.generation).close()
            del self.configs[action.generation]
        elif isinstance(action, core.Stopping):
            self.log("info", f"stopping: {action.reason}")
            if not self.handed_over:
                self.notifier.stopping(action.reason)
            if self.peer_service is not None:
                self.peer_service.close() if self.handed_over else self.peer_service.leave()
            if self.successor is not None and not self.handed_over:
                self.successor.terminate()
            # The workers keep the sockets open; the address is free once the last of them has closed it.
            self.listeners.close(list(self.listeners.sockets))
        elif isinstance(action, core.Stopped):
            if not self.exit_code.done():
                self.log("info", "stopped")
                self.exit_code.set_result(1 if action.failed else 0)
        elif isinstance(action, core.LogLine):
            self.log(action.level, action.text)
        elif isinstance(action, core.WakeAt):
            if self.wake_timer is not None:
                self.wake_timer.cancel()
            self.wake_timer = self.loop.call_at(
                max(action.at_s, self.loop.time() + 0.001), self._step, core.Tick()
            )

    def _request_generation(self, config: Config, node_list: NodeList) -> asyncio.Future[core.ReloadDone]:
        self.last_ticket += 1
        done: asyncio.Future[core.ReloadDone] = self.loop.create_future()
        self.pending_reloads[self.last_ticket] = (done, config, node_list)
        self._step(core.ReloadRequested(generation_settings(config), self.last_ticket))
        return done

    def _on_serving(self, action: core.GenerationServing) -> None:
        first = not self.serving
        self.config = self.configs[action.generation]
        self.serving = True
        if self.peer_service is not None and not first:
            self.peer_service.reconfigure(self.config)
        elif self.peer_service is None and not first:
            self._open_peer_service(self.config)
        if first:
            self.ready_after_s = (now_ms() - self.started_ms) / 1000
            try:
                self.control.publish()
            except ControlError as error:
                self.log("error", str(error))
            if self.predecessor is not None:
                self.predecessor.send({"kind": "serving", "pid": os.getpid()})
            self._notify_orphans()
        self.notifier.ready(summary(self.core))
        incomplete = "" if action.complete else ", not complete"
        self.log(
            "info",
            f"ready: generation {action.generation}, {self.config.fleet.instances} instances{incomplete}",
        )

    def _on_reload_done(self, action: core.ReloadDone) -> None:
        done, _, node_list = self.pending_reloads.pop(action.ticket)
        if not action.generation:  # no generation was started
            node_list.close()
        self._close_unused_listeners()
        if not done.done():
            done.set_result(action)

    def _close_unused_listeners(self) -> None:
        """Closes the listening sockets that neither the current configuration nor a pending reload names."""
        if self.serving and self.core.phase is core.Phase.SERVING:
            pending = [config.fleet.listen for _, config, _ in self.pending_reloads.values()]
            self.listeners.keep_only(self.config.fleet.listen, self.opening_addresses, *pending)

    # Workers

    def _spawn(self, action: core.Spawn) -> None:
        generation = action.generation
        if generation not in self.configs:
            _, config, node_list = self.pending_reloads[self.core.generations[generation].ticket]
            self.configs[generation], self.nodes[generation] = config, node_list
        process = self.processes[action.worker] = Process(action.worker)
        self.create_task(self._run_worker(action, process))

    async def _run_worker(self, action: core.Spawn, process: Process) -> None:
        """Starts a worker and waits for its end, which is reported to the core in any case."""
        try:
            # If it was killed before its process was started, the listening sockets may be closed already.
            exit_status = "not started" if process.killed else await self._start_and_wait(action, process)
        except OSError as error:
            exit_status = f"not started: {error.strerror or error}"
        except Exception as error:  # the core must learn of the end after any failure
            exit_status = f"not started: {error!r}"
        if process.channel is not None:
            process.channel.close()
        self.spread.clear(action.worker)
        self.totals.on_instance_ended(action.worker)
        del self.processes[action.worker]
        if self.peer_service is not None:
            self.peer_service.remove_instance(action.worker)
        self._step(core.WorkerExited(action.worker, exit_status))

    async def _start_and_wait(self, action: core.Spawn, process: Process) -> str:
        config, node_list = self.configs[action.generation], self.nodes[action.generation]
        sockets = self.listeners.sockets_for(config.fleet.listen)
        supervisor_end, worker_end = socket.socketpair()
        try:
            with worker_end:
                process.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "flintlatch.fleet.worker",
                    str(worker_end.fileno()),
                    stdin=asyncio.subprocess.DEVNULL,
                    pass_fds=(
                        worker_end.fileno(),
                        self.spread_fd,
                        self.recent_ids.descriptor,
                        *(sock.fileno() for sock in sockets),
                    ),
                    env=self.worker_env(),
                    # Limits the interpreter's start even if the supervisor dies: a worker that hangs there
                    # would keep the address in use forever. A pending alarm is preserved across exec
                    # (alarm(2)).
                    preexec_fn=partial(signal.alarm, ceil(config.start.ready_s) + 1),
                )
            if process.killed:
                process.process.kill()
            process.channel = await open_channel(
                supervisor_end, lambda message: self._on_worker_message(action.worker, message), lambda: None
            )
        except BaseException:
            supervisor_end.close()
            raise
        process.channel.send(
            {
                "kind": "hello",
                "generation": action.generation,
                "number": action.number,
                "seed": self.random.getrandbits(48),
                "path": config.path,
                "config": config.text,
                "list": encode_listing(node_list.snapshot()),
                "listeners": [sock.fileno() for sock in sockets],
                "spread": self.spread_fd,
                "recent_ids": self.recent_ids.descriptor,
                "worker": action.worker,
                "words": self.peer_service.entries() if self.peer_service is not None else [],
            }
        )
        for message in process.queued_messages:
            process.channel.send(message)
        code = await process.process.wait()
        return f"signal {-code}" if code < 0 else f"exit code {code}"

    def worker_env(self) -> dict[str, str]:
        """The environment without the service manager's variables: only the supervisor notifies it."""
        names = (
            "NOTIFY_SOCKET",
            "WATCHDOG_USEC",
            "WATCHDOG_PID",
            "LISTEN_FDS",
            "LISTEN_PID",
            "LISTEN_FDNAMES",
        )
        return {name: value for name, value in self.env.items() if name not in names}

    def _on_worker_message(self, worker: int, message: ChannelMessage) -> None:
        kind = message.get("kind")
        if kind == "ready":
            self._step(core.WorkerReady(worker))
        elif kind == "beat":
            if worker in self.processes:
                self.processes[worker].last_heartbeat = message
                if message.get("counts") is not None:
                    self.totals.replace_report(worker, message["counts"])
            self._step(core.WorkerHeartbeat(worker, float(message.get("rss_mb", 0))))
        elif kind == "limits":
            if (
                self.peer_service is not None
                and self.peer_service.limiter is not None
                and worker in self.processes
            ):
                self.peer_service.limiter.on_instance_report(worker, message)
        elif kind == "seen":
            if (
                self.peer_service is not None
                and self.peer_service.ejector is not None
                and worker in self.processes
            ):
                self.peer_service.ejector.on_instance_report(worker, message)
        elif kind == "failed":
            self._step(core.WorkerFailed(worker, str(message.get("reason"))))

    def _on_listing(self, node_list: NodeList, listing: Listing) -> None:
        """Sends a changed list to the workers of the generations that use it."""
        message = {"kind": "list", "list": encode_listing(listing)}
        for generation in [number for number, other in self.nodes.items() if other is node_list]:
            for worker in self.core.workers.values():
                if worker.generation == generation and worker.id in self.processes:
                    self.processes[worker.id].send(message)

    # Reload and upgrade

    async def reload(self) -> ChannelMessage:
        """Reads the configuration file again and starts a generation with it; returns the outcome. Calls that
        come before the file is read share one reload."""
        if self.scheduled_reload is None:
            self.scheduled_reload = self.create_task(self._reload())
        return await asyncio.shield(self.scheduled_reload)

    async def _reload(self) -> ChannelMessage:
        started = self.loop.time()
        async with self.reload_lock:
            self.scheduled_reload = None
            prepared = await self._prepare_reload()
        if isinstance(prepared, str):
            generation, reason = 0, prepared
            self._close_unused_listeners()
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

    async def _prepare_reload(self) -> asyncio.Future[core.ReloadDone] | str:
        """Checks what can be checked before a worker is started. Returns a future of the core's result, or
        the reason why the reload failed."""
        if self.core.phase is not core.Phase.SERVING:
            return f"the fleet is {self.core.phase.value}"
        if self.successor is not None:
            return "an upgrade is under way"
        try:
            config = load(self.config.path)
            check_descriptors(config)
        except (InvalidConfig, StartupError) as error:
            return str(error).replace("\n", "; ")
        if config.control_path != self.config.control_path:
            return f"{config.path}: fleet.control: can't change while the fleet runs; restart or upgrade it"
        self.notifier.reloading()
        try:
            await self.listeners.open(config.fleet.listen)
        except ListenError as error:
            return str(error)
        self.opening_addresses = config.fleet.listen
        node_list = self._open_nodes(config)
        try:
            async with asyncio.timeout(config.start.ready_s):
                await node_list.wait_for_first()
        except TimeoutError:
            node_list.close()
            return self._no_list_error(config, node_list)
        finally:
            self.opening_addresses = ()
        return self._request_generation(config, node_list)

    async def upgrade(self) -> ChannelMessage:
        """Starts a successor, possibly of a new version, on the same listening sockets (hot restart). This
        fleet drains once the successor serves."""
        if self.successor is not None or self.core.phase is not core.Phase.SERVING:
            return {"ok": False, "reason": "the fleet is starting, stopping or already being upgraded"}
        predecessor_end, successor_end = socket.socketpair()
        serving: asyncio.Future[int] = self.loop.create_future()

        def on_message(message: ChannelMessage) -> None:
            if message.get("kind") == "serving" and not serving.done():
                serving.set_result(int(message["pid"]))

        def on_closed() -> None:
            if not serving.done():
                serving.set_result(0)

        sockets = self.listeners.sockets
        env = self.env | {TAKEOVER_VARIABLE: str(successor_end.fileno())}
        self.log("info", "upgrade: starting the successor")
        try:
            with successor_end:
                self.successor = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "flintlatch",
                    "fleet",
                    self.config.path,
                    stdin=asyncio.subprocess.DEVNULL,
                    pass_fds=(
                        successor_end.fileno(),
                        self.recent_ids.descriptor,
                        *(sock.fileno() for sock in sockets.values()),
                    ),
                    env=env,
                )
        except OSError as error:
            predecessor_end.close()
            return {"ok": False, "reason": f"upgrade: {error.strerror}"}
        channel = await open_channel(predecessor_end, on_message, on_closed)
        channel.send(
            {
                "kind": "takeover",
                "listeners": [[address, index, sock.fileno()] for (address, index), sock in sockets.items()],
                "recent_ids": self.recent_ids.descriptor,
                "generation": self.core.last_generation,
                "worker": self.core.last_worker_id,
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
            reason = "the successor did not start serving; going on as before"
            self.log("error", f"upgrade: {reason}")
            return {"ok": False, "reason": reason}
        self.handed_over = True
        self.log("info", f"upgrade: process {pid} has taken over")
        self._step(core.StopRequested(f"process {pid} has taken over", True))
        return {"ok": True, "pid": pid}

    # Control

    async def on_control_request(self, request: ChannelMessage) -> ChannelMessage:
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
            return self._on_nodes_request(request)
        if command in ("peers", "note"):
            return self._on_peers_request(request)
        if command == "limits":
            limiter = self.peer_service.limiter if self.peer_service is not None else None
            if limiter is None:
                return {"ok": False, "reason": "no [[limit]] with [peers] here"}
            return {"ok": True, "limits": limiter.report()}
        if command == "verdicts":
            ejector = self.peer_service.ejector if self.peer_service is not None else None
            if ejector is None:
                return {"ok": False, "reason": "no [verdicts] with [peers] here"}
            return {"ok": True, **ejector.report()}
        expected = "status, reload, upgrade, stop, nodes, confirm, peers, note, limits, verdicts"
        return {"ok": False, "reason": f"expected 'do' to be one of {expected}"}

    def _on_peers_request(self, request: ChannelMessage) -> ChannelMessage:
        """Reports the members, or publishes a note to all fleets."""
        if self.peer_service is None:
            return {"ok": False, "reason": "no [peers] here"}
        if request["do"] == "peers":
            return self.peer_service.report()
        try:
            subject, text = str(request["subject"]), str(request["text"])
            return self.peer_service.publish_note(subject, text, float(request["for_s"]))
        except (KeyError, ValueError, TypeError):
            return {"ok": False, "reason": "expected subject, text and for_s"}

    def _on_nodes_request(self, request: ChannelMessage) -> ChannelMessage:
        """Reports the current list with its sources, or confirms a version that is on hold."""
        current = self.core.current
        node_list = self.nodes.get(current.number) if current is not None else None
        if node_list is None:
            return {"ok": False, "reason": "no generation serves"}
        if request["do"] == "nodes":
            sources = node_list.node_sources.report() if node_list.node_sources is not None else []
            return {"ok": True, "list": encode_listing(node_list.snapshot()), "sources": sources}
        if node_list.node_sources is None:
            return {"ok": False, "reason": "the node source of this fleet has no versions to confirm"}
        try:
            return node_list.node_sources.confirm(str(request["source"]), int(request["version"]))
        except (KeyError, ValueError, TypeError):
            return {"ok": False, "reason": "expected source and version"}

    def addresses(self) -> list[str]:
        return [bound_address(sock) for sock in self.listeners.sockets.values()]


def generation_settings(config: Config) -> core.GenerationSettings:
    start, drain = config.start, config.drain
    return core.GenerationSettings(
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
    """Raises the soft limit on file descriptors to what two generations need at once.

    Raises StartupError if the hard limit is lower."""
    needed = (
        SUPERVISOR_DESCRIPTORS
        + DESCRIPTORS_PER_INSTANCE * config.fleet.instances
        + 2 * len(config.fleet.listen)
    )
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise StartupError(
            f"descriptors: at most {hard} allowed (ulimit -Hn), at least {needed} needed for "
            f"{config.fleet.instances} instances"
        )
    if soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def run(path: str, env: Mapping[str, str]) -> int:
    """Runs a fleet with the configuration at `path` until it is told to stop, and returns the exit code.

    2: the configuration is invalid. 1: the fleet can't start, or every instance is given up."""
    try:
        config = load(path)
    except InvalidConfig as error:
        print(error, file=sys.stderr)
        return 2

    async def supervise() -> int:
        return await Supervisor(config, env).run()

    try:
        return uvloop.run(supervise())
    except StartupError as error:
        print(f"flintlatch fleet: error: {error}", file=sys.stderr)
        return error.code
