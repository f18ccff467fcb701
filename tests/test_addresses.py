"""A new server at the address of one that the list still names."""

from __future__ import annotations

import asyncio
import time

import pytest

from flintlatch.api import ServerInfo, ServerState
from flintlatch.net.addresses import AddressOwners
from flintlatch.net.listing import Listing, Target
from tests.loopback import proxy, run
from tests.test_clock import SteppedTime

OLD, NEW = "old", "new"
LONG_AGO, NOW_MS = None, 1_700_000_000_000.0


def entry(
    uid: str, state: ServerState = ServerState.ACTIVE, started: float | None = LONG_AGO, port: int = 80
) -> Target:
    return Target(uid, "127.0.0.1", port, ServerInfo(uid, state, started=started))


def delta(*targets: Target) -> Listing:
    return Listing(2, False, targets)


def snapshot(*targets: Target) -> Listing:
    return Listing(2, True, targets)


def uids(owners: AddressOwners, listing: Listing) -> list[str]:
    return [target.uid for target in owners.resolve(listing).listing.targets]


@pytest.mark.parametrize("form", [delta, snapshot])
def test_a_new_server_replaces_the_one_whose_address_it_has(form: type) -> None:
    owners = AddressOwners()
    assert uids(owners, snapshot(entry(OLD), entry("other", port=81))) == [OLD, "other"]
    listing = form(entry(OLD), entry(NEW, started=NOW_MS), entry("other", port=81))
    assert owners.resolve(listing).replaced == {OLD: NEW}
    for _ in range(2):  # also while the list goes on naming it
        assert uids(owners, listing) == [NEW, "other"]
    assert uids(owners, delta(entry(NEW, ServerState.DRAINING, NOW_MS))) == [NEW]
    assert uids(owners, listing) == [NEW, "other"]


def test_of_two_servers_that_are_told_at_once_the_later_start_counts() -> None:
    for order in (1, -1):
        entries = [entry(OLD), entry(NEW, started=NOW_MS)][::order]
        assert uids(AddressOwners(), snapshot(*entries)) == [NEW]


def test_servers_without_a_later_start_may_share_an_address() -> None:
    owners = AddressOwners()
    assert uids(owners, snapshot(entry(OLD), entry(NEW))) == [OLD, NEW]
    assert uids(owners, delta(entry("third"))) == ["third"]


def test_an_entry_counts_again_once_it_has_the_address_alone_or_has_started_anew() -> None:
    owners = AddressOwners()
    owners.resolve(snapshot(entry(OLD)))
    owners.resolve(delta(entry(NEW, started=NOW_MS)))
    assert uids(owners, delta(entry(OLD, started=NOW_MS + 1))) == [OLD]
    assert uids(owners, delta(entry(NEW, started=NOW_MS))) == []
    assert uids(owners, delta(entry(OLD, ServerState.GONE))) == [OLD]  # for the pools, which drop it
    assert uids(owners, delta(entry(NEW, started=NOW_MS))) == [NEW]
    assert uids(owners, delta(entry(NEW, started=NOW_MS, port=81), entry(OLD))) == [NEW, OLD]


@pytest.mark.parametrize("waiting", [False, True])
def test_nothing_is_sent_to_a_new_server_by_the_entry_of_the_one_that_died(waiting: bool) -> None:
    # Operators' picture (e): a new process came up at the address of one that had gone, and was taken for it.
    async def test() -> None:
        async with proxy() as p:
            (old,) = p.engine.backends.backends.values()
            client = await p.client()
            if waiting:
                client.send(x_call_id="waiting")
                (await p.backends[0].requests.get()).reply()
                assert (await client.reply()).status == 200
                assert old.idle_connections
            info = old.target.info._replace(server=NEW, cell=old.target.info.cell + 1, started=NOW_MS)
            p.engine.on_list(delta(old.target._replace(uid=NEW, info=info)))
            assert list(p.engine.backends.backends) == [NEW]
            assert not old.idle_connections
            client.send(x_call_id="next")
            (await p.backends[0].requests.get()).reply()
            assert (await client.reply()).status == 200
            (new,) = p.engine.backends.backends.values()
            await asyncio.sleep(0.01)
            assert len(new.idle_connections) == 1

    run(test())


@pytest.mark.parametrize("step_ms", [-3_600_000.0, 3_600_000.0])
def test_a_step_of_the_wall_clock_does_not_make_the_new_server_the_older_one(
    step_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against comparing starts that the list tells as times of a clock that was stepped between them.
    stepped = SteppedTime(monkeypatch)

    async def test() -> None:
        async with proxy() as p:
            (old,) = p.engine.backends.backends.values()
            for uid in (OLD, NEW):
                info = old.target.info._replace(server=uid, started=time.time() * 1000)
                p.engine.on_list(delta(old.target._replace(uid=uid, info=info)))
                await asyncio.sleep(0.05)
                stepped.step(step_ms)
            assert list(p.engine.backends.backends) == [NEW]

    run(test())
