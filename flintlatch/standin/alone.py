"""Implements `flintlatch standin PART`: runs a single stand-in until it is interrupted."""

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


async def wait_for_signal() -> None:
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def node(args: argparse.Namespace) -> int:
    ledger = Ledger(DRAIN_GRACE_MS)
    shape = Shape(slots=args.slots, work_ms=args.work_ms)
    stand_in = await Node(args.uid, shape, ledger, args.seed).open(args.listen)
    print(f"node {stand_in.uid} listens on {stand_in.address}", flush=True)
    await wait_for_signal()
    print(f"{stand_in.served} requests answered")
    stand_in.crash()
    return 0


async def registry(args: argparse.Namespace) -> int:
    stand_in = Registry()
    for cell, text in enumerate(args.nodes):
        uid, equals, address = text.partition("=")
        if not equals or not uid or not address.rpartition(":")[2].isdigit():
            print(f"{text!r}: expected UID=HOST:PORT")
            return 2
        stand_in.put(uid, address, "active", cell=cell)
    await stand_in.open(args.listen)
    print(f"registry of {len(stand_in.entries)} nodes listens on {stand_in.address}", flush=True)
    await wait_for_signal()
    stand_in.close()
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
    run_part = {"node": node, "registry": registry, "client": client}[args.part]
    return uvloop.run(run_part(args))
