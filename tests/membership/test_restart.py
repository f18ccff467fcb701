"""Versions after a restart: their numbers grow although the wall clock was stepped back meanwhile."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from flintlatch.membership.consul import ServiceWatch
from flintlatch.membership.core import Event, Membership, MembershipRules, VersionOffered, VersionRestored
from flintlatch.membership.files import make_file_source
from flintlatch.membership.model import Node, NodeState, Version
from flintlatch.membership.registry import RegistrySource
from flintlatch.net.clock import now_ms
from flintlatch.settings import SocketSettings
from flintlatch.standin.registry import Registry
from tests.loopback import run
from tests.membership.test_consul import headers, response_body

SAVED = (Node("n0", "127.0.0.1", 9000), Node("n1", "127.0.0.1", 9001))
SAVED_NUMBER = int(now_ms()) + 3_600_000  # saved before the clock went back by an hour
OFFER_TIMEOUT_S = 10.0


def assert_replaces_the_restored_version(offer: Event) -> Membership:
    assert isinstance(offer, VersionOffered)
    source = offer.version.source
    membership = Membership(MembershipRules((source,), max_removed_fraction=1.0))
    membership.step(0.0, VersionRestored(Version(source, SAVED_NUMBER, SAVED)))
    membership.step(1.0, offer)
    assert offer.version.number > SAVED_NUMBER
    assert membership.sources[source].current == offer.version
    return membership


def test_a_registry_replaces_the_restored_version_after_the_clock_went_back() -> None:
    async def test() -> None:
        registry = await Registry().open()
        registry.put("n0", "127.0.0.1:9000", "leaving")
        registry.put("n1", "127.0.0.1:9001", "active")
        offers: asyncio.Queue[Event] = asyncio.Queue()
        settings = SocketSettings({}, {}, {}, {}, 1000.0, 1000.0)
        source = RegistrySource("registry", registry.address, settings, offers.put_nowait, SAVED_NUMBER)
        offer = await asyncio.wait_for(offers.get(), OFFER_TIMEOUT_S)
        assert assert_replaces_the_restored_version(offer).nodes["n0"].state is NodeState.DRAINING
        source.close()
        registry.close()

    run(test())


def test_a_file_without_a_number_replaces_the_restored_version(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        rows = [{"uid": node.uid, "address": node.address, "weight": 2.0} for node in SAVED]
        path.write_text(json.dumps({"nodes": rows}))
        offers: asyncio.Queue[Event] = asyncio.Queue()
        source = make_file_source("file", str(path), offers.put_nowait, SAVED_NUMBER)
        assert_replaces_the_restored_version(await asyncio.wait_for(offers.get(), OFFER_TIMEOUT_S))
        source.close()

    run(test())


def test_a_catalogue_replaces_the_restored_version() -> None:
    watch = ServiceWatch("catalogue", "review", 30.0, 10.0, SAVED_NUMBER)
    offer, *_ = watch.on_response(now_ms(), 200, headers(7), response_body("n0", "n1"))
    assert_replaces_the_restored_version(offer)
