"""One proxy on real sockets: reads its configuration, wires the parts, obeys SIGHUP and SIGTERM.

With arguments it is the command line instead, see cli.py.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import sys
from dataclasses import replace
from typing import Any

import orjson
import uvloop

from flintlatch.api import ListKind, Settings
from flintlatch.net.backends import share_out
from flintlatch.net.discovery import Discovery, Listing, read_listing
from flintlatch.net.engine import Engine, log
from flintlatch.net.frontend import Frontend
from flintlatch.net.http1 import split_address
from flintlatch.net.request import Reader
from flintlatch.settings import Malformed, Wire, mapping, read_settings, read_wire, text, whole

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
            self.sockets = whole(limits.get("sockets", 1024), "sockets")
            for address in (self.listen, self.discovery):
                split_address(address)
        except KeyError as error:
            raise Malformed(f"{path}: {error.args[0]} is missing") from None
        except ValueError as error:
            raise Malformed(f"{path}: {error}") from None


def start(config: Config) -> tuple[Engine, Frontend]:
    """Wire the parts; from here on clients are served."""
    to_backends, to_clients = share_out(min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]))
    engine = Engine(config.settings, config.wire, config.seed, to_backends)
    engine.discovery = Discovery(
        config.discovery, config.wire, config.known.rev, engine.on_list, engine.on_list_failure
    )
    engine.on_list(config.known, ListKind.SAVED)
    frontend = Frontend(engine, Reader(config.settings, config.wire), to_clients)
    frontend.listen(config.listen)
    return engine, frontend


def reload(engine: Engine, env: dict[str, str]) -> None:
    """SIGHUP: the file has been replaced. Only where the list comes from may change while the proxy runs,
    and there the file counts, since the environment can't change."""
    try:
        config = Config({name: value for name, value in env.items() if name != "LB_DISCOVERY"})
    except Malformed as error:
        log(f"reload: {error}; going on as before")
        return
    engine.move_list(config.discovery)


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    # A bug in the code of one connection ends that connection, not the program.
    loop.set_exception_handler(
        lambda _, context: log(f"bug: {context.get('message')}: {context.get('exception')!r}")
    )
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    engine, frontend = start(config)
    # In the same turn as the start: no client can have seen the proxy ready before.
    loop.add_signal_handler(signal.SIGHUP, reload, engine, dict(os.environ))
    log(f"{config.name} listens on {frontend.address}")
    # What start-up made stays for good: the collector need not walk it in the middle of a request.
    gc.collect()
    gc.freeze()
    await stop.wait()
    log("stopping")
    frontend.stop_keeping()
    await asyncio.sleep(ACCEPT_ON_S)
    await frontend.finish(max(c.deadline_ms for c in config.settings.classes) / 1000)
    engine.close()
    # The loop's handler goes with the loop: a SIGHUP in the last moment must not end the program in its way.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    log("stopped")


def main() -> int:
    if len(sys.argv) > 1:  # the platform gives no argument, and must not pay for the rest
        from flintlatch.cli import main as command_line

        return command_line(sys.argv[1:])
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop has its handler: the file is read below
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
