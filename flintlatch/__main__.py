"""One proxy on real sockets: reads its configuration, wires the parts, obeys SIGHUP and SIGTERM.

With arguments it is the command line instead, see cli.py.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import sys
from dataclasses import replace
from typing import Any

import orjson
import uvloop

from flintlatch.api import ListKind, Settings
from flintlatch.net.backends import split_descriptors
from flintlatch.net.discovery import Discovery, Listing, read_listing
from flintlatch.net.engine import Engine, log
from flintlatch.net.frontend import open_listener
from flintlatch.net.http1 import split_address
from flintlatch.ops.admin import Admin
from flintlatch.ops.staff import Operations
from flintlatch.ops.succession import Succession, predecessor
from flintlatch.platform import PlatformEngine, PlatformFrontend, build
from flintlatch.settings import Malformed, Wire, mapping, read_settings, read_wire, text, whole

KEEP_ON_S = 1.5  # s after SIGTERM in which connections stay open where a successor accepts the new ones
ACCEPT_ON_S = 0.55  # s after SIGTERM in which connections still come, and a little more for a busy machine


class Config:
    """What the platform tells the proxy, checked; Malformed says what is wrong with it."""

    def __init__(self, env: dict[str, str]) -> None:
        path = env.get("LB_CONFIG")
        if not path:
            raise Malformed("LB_CONFIG is not set")
        try:
            with open(path, "rb") as file:
                raw = mapping(orjson.loads(file.read()), "configuration")
        except OSError as error:
            raise Malformed(f"{path}: {error.strerror}") from None
        except orjson.JSONDecodeError as error:
            raise Malformed(f"{path}: not JSON: {error}") from None
        try:
            info = mapping(raw["settings"], "settings")
            # The limit tells what the simulator's clients are given; HTTP has Retry-After for all of them.
            self.settings: Settings = replace(read_settings(info), retry_after=True)
            self.settings.check()
            self.wire: Wire = read_wire(info)
            self.known: Listing = read_listing(raw["known"], self.wire)
            self.name = env.get("LB_NAME") or text(raw["name"], "name")
            self.listen = env.get("LB_LISTEN") or text(raw["listen"], "listen")
            self.discovery = env.get("LB_DISCOVERY") or text(raw["discovery"], "discovery")
            self.seed = int(text(raw["seed"], "seed"), 16)
            limits: dict[str, Any] = mapping(raw.get("limits") or {}, "limits")
            sockets = whole(limits.get("sockets", 1024), "sockets")
            self.memory_mb = float(whole(limits.get("memory_mb", 64), "memory_mb"))
            self.sockets = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
            self.admin = env.get("LB_ADMIN") or text(raw.get("admin") or "", "admin")
            self.shared_folder = env.get("TMPDIR") or ""  # where a process and its successor meet
            for address in (self.listen, self.discovery, *filter(None, [self.admin])):
                split_address(address)
        except KeyError as error:
            raise Malformed(f"{path}: {error.args[0]} is missing") from None
        except ValueError as error:
            raise Malformed(f"{path}: {error}") from None


def start(
    config: Config, listeners: list[socket.socket] | None = None
) -> tuple[PlatformEngine, PlatformFrontend]:
    """Wire the parts; from here on clients are served, on `listeners` where another has opened them."""
    to_backends, to_clients = split_descriptors(config.sockets)
    engine, frontend = build(
        config.settings, config.wire, config.seed, to_backends, to_clients, config.memory_mb
    )
    pushed = not config.settings.ask_for_list
    rev = (
        None if pushed else config.known.revision
    )  # an agent's whole list costs nothing, and needs no older one
    engine.discovery = Discovery(
        config.discovery, config.wire, rev, engine.on_list, engine.on_list_failure, pushed
    )
    if pushed:
        engine.watch_agent(config.known)
    else:
        engine.on_list(config.known, ListKind.SAVED)
    frontend.serve_on(listeners or [open_listener(config.listen, shared=True)])
    return engine, frontend


def reload(engine: Engine, env: dict[str, str]) -> None:
    """SIGHUP: the file has been replaced. Only where the list comes from may change while the proxy runs,
    and there the file counts, since the environment can't change."""
    try:
        config = Config({name: value for name, value in env.items() if name != "LB_DISCOVERY"})
    except Malformed as error:
        log(f"reload: {error}; going on as before")
        return
    engine.change_list_address(config.discovery)


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # A bug in the code of one connection ends that connection, not the program.
    loop.set_exception_handler(
        lambda _, context: log(f"bug: {context.get('message')}: {context.get('exception')!r}")
    )
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    before = predecessor(config.shared_folder, config.listen)
    engine, frontend = start(config, before.listeners if before is not None else None)
    # In the same turn as the start: no client can have seen the proxy ready before.
    loop.add_signal_handler(signal.SIGHUP, reload, engine, dict(os.environ))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    succession = Succession(engine, frontend, config.sockets)
    if before is not None:
        succession.follow(before)
    succession.offer(config.shared_folder, config.listen)
    admin = None
    if config.admin:
        staff = Operations(engine, frontend, list(config.wire.classes))
        admin = await Admin.open(config.admin, staff)
    log(f"{config.name} listens on {frontend.address}")
    # What start-up made stays for good: the collector need not walk it in the middle of a request.
    gc.collect()
    gc.freeze()
    await stop.wait()
    log("stopping")
    if succession.succeeded:
        frontend.disable_keep_alive(address_still_served=True)
        succession.close()
        frontend.stop_accepting()
        await asyncio.sleep(KEEP_ON_S)
    else:
        frontend.disable_keep_alive()
        await asyncio.sleep(ACCEPT_ON_S)
        succession.close()
    await frontend.finish(max(c.deadline_ms for c in config.settings.classes) / 1000)
    engine.close()
    if admin is not None:
        admin.close()
    # The loop's handler goes with the loop: a SIGHUP in the last moment must not end the program in its way.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    log("stopped")


def main() -> int:
    if len(sys.argv) > 1:  # the platform gives no argument, and must not pay for the rest
        from flintlatch.cli import main as command_line

        return command_line(sys.argv[1:])
    # It waits until the loop has its handler: the file may be replaced just behind the reading below.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = Config(dict(os.environ))
    except Malformed as error:
        log(str(error))
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as error:  # the address to listen on is not to be had
        log(str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
