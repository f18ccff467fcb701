"""`flintlatch standin PART`: one stand-in by itself, until it is interrupted."""

from __future__ import annotations

import argparse
import asyncio
import signal

import uvloop

from flintlatch.standin.client import Clients
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.node import Node, Shape
from flintlatch.standin.registry import Registry
from flintlatch.standin.rig import CLASSES, DRAIN_GRACE_MS, MIX


async def until_stopped() -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()


async def node(args: argparse.Namespace) -> int:
    ledger = Ledger(DRAIN_GRACE_MS)
    shape = Shape(slots=args.slots, work_ms=args.work_ms)
    alone = await Node(args.uid, shape, ledger, args.seed).open(args.listen)
    print(f"node {alone.uid} listens on {alone.address}", flush=True)
    await until_stopped()
    print(f"{alone.served} requests answered")
    alone.die()
    return 0


async def registry(args: argparse.Namespace) -> int:
    alone = Registry()
    for place, text in enumerate(args.nodes):
        uid, equals, address = text.partition("=")
        if not equals or not uid or not address.rpartition(":")[2].isdigit():
            print(f"{text!r}: expected UID=HOST:PORT")
            return 2
        alone.put(uid, address, "active", cell=place)
    await alone.open(args.listen)
    print(f"registry of {len(alone.entries)} nodes listens on {alone.address}", flush=True)
    await until_stopped()
    alone.close()
    return 0


async def client(args: argparse.Namespace) -> int:
    ledger = Ledger(DRAIN_GRACE_MS)
    clients = Clients(args.address, CLASSES, ledger, args.seed)
    await clients.run(args.rate, args.seconds, MIX)
    clients.close()
    counts = ledger.counts()
    for name in ("requests", "served", "refused", "failed", "lost", "late", "crossed a close"):
        print(f"{name:<20} {counts[name]:>8}")
    return 1 if counts["lost"] or counts["late"] else 0


def run(args: argparse.Namespace) -> int:
    part = {"node": node, "registry": registry, "client": client}[args.part]
    return uvloop.run(part(args))
