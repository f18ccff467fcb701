"""Runs one proxy: reads its configuration, starts its parts, and handles SIGHUP and SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
from dataclasses import replace
from typing import Any

import orjson
import uvloop

from flintlatch.api import ListKind, Settings
from flintlatch.net.backends import split_descriptors
from flintlatch.net.discovery import Discovery
from flintlatch.net.guard import bugs
from flintlatch.net.http1 import split_address
from flintlatch.net.listener import open_listener
from flintlatch.net.listing import Listing, read_listing
from flintlatch.net.log import log
from flintlatch.net.process_memory import ResidentSize, load_malloc_trim
from flintlatch.net.transient import retry_transient
from flintlatch.ops.admin import AdminServer
from flintlatch.ops.reload import ConfigReloader
from flintlatch.ops.staff import Operations
from flintlatch.ops.succession import HotRestart, find_predecessor
from flintlatch.platform import PROCESS_BYTES, PlatformEngine, PlatformFrontend, build
from flintlatch.settings import (
    Malformed,
    SocketSettings,
    read_settings,
    read_socket_settings,
    require_integer,
    require_object,
    require_string,
)

# After SIGTERM connections stay open for up to this time if a successor accepts new ones.
LINGER_WITH_SUCCESSOR_S = 1.5
# Clients still connect for a while after SIGTERM; includes a margin for a busy machine.
ACCEPT_AFTER_STOP_S = 0.55
# SIGKILL comes no sooner than the longest deadline, of at most MAX_DEADLINE_S, and 0.7 s more after SIGTERM.
# By then everything is answered, also if the process is held up for a moment.
MAX_DEADLINE_S, END_AFTER_DEADLINE_S = 3.0, 0.45


def read_file(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read()


class Config:
    """The checked configuration from the platform. Raises Malformed with a message for the operator."""

    def __init__(self, env: dict[str, str]) -> None:
        path = env.get("LB_CONFIG")
        if not path:
            raise Malformed("LB_CONFIG is not set")
        try:
            content = retry_transient(lambda: read_file(path))
            raw = require_object(orjson.loads(content), "configuration")
        except OSError as error:
            raise Malformed(f"{path}: {error.strerror}") from None
        except orjson.JSONDecodeError as error:
            raise Malformed(f"{path}: not JSON: {error}") from None
        try:
            info = require_object(raw["settings"], "settings")
            # This limit describes the simulator's clients; over HTTP every client understands Retry-After.
            self.settings: Settings = replace(read_settings(info), retry_after=True)
            self.settings.check()
            self.wire: SocketSettings = read_socket_settings(info)
            self.saved_list: Listing = read_listing(raw["known"], self.wire)
            self.name = env.get("LB_NAME") or require_string(raw["name"], "name")
            self.listen = env.get("LB_LISTEN") or require_string(raw["listen"], "listen")
            self.discovery = env.get("LB_DISCOVERY") or require_string(raw["discovery"], "discovery")
            self.seed = int(require_string(raw["seed"], "seed"), 16)
            limits: dict[str, Any] = require_object(raw.get("limits") or {}, "limits")
            sockets = require_integer(limits.get("sockets", 1024), "sockets")
            self.memory_mb = float(require_integer(limits.get("memory_mb", 64), "memory_mb"))
            self.sockets = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
            self.admin = env.get("LB_ADMIN") or require_string(raw.get("admin") or "", "admin")
            self.handover_folder = env.get("TMPDIR") or ""  # for the handover to a successor
            for address in (self.listen, self.discovery, *filter(None, [self.admin])):
                split_address(address)
        except KeyError as error:
            raise Malformed(f"{path}: {error.args[0]} is missing") from None
        except ValueError as error:
            raise Malformed(f"{path}: {error}") from None


def start(
    config: Config,
    listeners: list[socket.socket] | None = None,
    inherited: Listing | None = None,
    process_bytes: int = 0,
) -> tuple[PlatformEngine, PlatformFrontend]:
    """Starts the parts and accepts clients. `listeners`, `inherited`: the sockets and the list of servers of
    the predecessor, if there is one. `process_bytes`: the size of this process; 0: not known."""
    to_backends, to_clients = split_descriptors(config.sockets)
    engine, frontend = build(
        config.settings,
        config.wire,
        config.seed,
        to_backends,
        to_clients,
        config.memory_mb,
        process_bytes or PROCESS_BYTES,
    )
    from_agent = not config.settings.ask_for_list
    # An agent sends a snapshot at no cost, and the predecessor may have followed another service.
    revision = None if from_agent or inherited else config.saved_list.revision
    engine.discovery = Discovery(
        config.discovery, config.wire, revision, engine.on_list, engine.on_list_failure, from_agent
    )
    if inherited is not None:
        engine.on_list(inherited, ListKind.SAVED)
    elif not from_agent:
        engine.on_list(config.saved_list, ListKind.SAVED)
    if from_agent:
        engine.watch_agent()
    if not listeners:
        listeners = [retry_transient(lambda: open_listener(config.listen, shared=True))]
    frontend.serve_on(listeners)
    return engine, frontend


def free_start_memory() -> int:
    """Gives back what only the start has needed. Returns the resident size of the process in bytes."""
    # What is left lives as long as the process: excluded from garbage collection during requests.
    gc.collect()
    gc.freeze()
    malloc_trim = load_malloc_trim()
    if malloc_trim is not None:
        malloc_trim(0)
    size = ResidentSize()
    size_bytes = size.read()
    size.close()
    return size_bytes


def stop_duration_s(settings: Settings) -> float:
    """The time from SIGTERM by which every request has its answer."""
    longest_deadline_s = max(c.deadline_ms for c in settings.classes) / 1000
    return min(longest_deadline_s, MAX_DEADLINE_S) + END_AFTER_DEADLINE_S


def linger_duration_s(settings: Settings) -> float:
    """The time from SIGTERM for which connections stay open beside a successor. It leaves the longest latency
    target for the requests that come last."""
    longest_target_s = max(c.aim_ms for c in settings.classes) / 1000
    latest_s = stop_duration_s(settings) - longest_target_s
    return max(ACCEPT_AFTER_STOP_S, min(LINGER_WITH_SUCCESSOR_S, latest_s))


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # An exception in the code of one connection ends that connection, not the process.
    loop.set_exception_handler(
        lambda _, context: bugs.report(str(context.get("message")), context.get("exception"))
    )
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    predecessor = retry_transient(lambda: find_predecessor(config.handover_folder, config.listen))
    listeners = predecessor.listeners if predecessor is not None else None
    inherited = predecessor.read_list(config.wire) if predecessor is not None else None
    engine, frontend = start(config, listeners, inherited, free_start_memory())
    # In the same loop turn as the start, so that the handler is set before a client can see the proxy as
    # ready.
    reloader = ConfigReloader(engine, os.environ["LB_CONFIG"])
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    restart = HotRestart(engine, frontend, config.sockets)
    if predecessor is not None:
        restart.share_recent_ids(predecessor)
        retry_transient(lambda: restart.join(predecessor))
    restart.offer_listeners(config.handover_folder, config.listen)
    admin = None
    if config.admin:
        operations = Operations(engine, frontend, list(config.wire.classes))
        admin = await AdminServer.open(config.admin, operations)
    log(f"{config.name} listens on {frontend.address}")
    log.event(
        "started", pid=os.getpid(), revision=engine.list_revision, servers=len(engine.backends.backends)
    )
    # Objects from the start live as long as the process: excluded from garbage collection during requests.
    gc.collect()
    gc.freeze()
    await stop.wait()
    end_at = loop.time() + stop_duration_s(config.settings)
    log("stopping")
    log.event("stopping", open_requests=engine.open_requests(), successor=restart.successor_serves)
    if restart.successor_serves:
        frontend.disable_keep_alive(address_still_served=True)
        restart.close()
        frontend.stop_accepting()
        await asyncio.sleep(linger_duration_s(config.settings))
    else:
        frontend.disable_keep_alive()
        await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        restart.close()
    await frontend.finish(end_at - loop.time())
    reloader.close()
    engine.close()
    if admin is not None:
        admin.close()
    # The loop's handler ends with the loop: a late SIGHUP must not terminate the process with another exit
    # code.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    log("stopped")


def main() -> int:
    """Runs the proxy and returns its exit code."""
    # Blocked until the loop has its handler, because the file may be replaced right after it is read below.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = Config(dict(os.environ))
    except Malformed as error:
        log(str(error))
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as error:  # the listening address is not available
        log(str(error))
        return 2
    return 0
