"""An origin, relays and followers as real processes, and faults between them: each follower ends with just
the last versions, none goes back or holds half a commit, and each age that one tells is true.

Times are those of `QUICK`. `LOADED_S` is what a machine with more to do than cores may add to a bound.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine, Iterator
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from flintlatch.config.delivery import read_delivery_rules
from flintlatch.config.reader import Reader
from flintlatch.delivery.model import Place, rank
from flintlatch.delivery.source import LOOK_S
from flintlatch.standin.delivery import QUICK, Delivered, delivered

LIMIT_S = 90.0  # far beyond what any of these needs; only a hang comes near it
LOADED_S = 4.0
RULES = read_delivery_rules(Reader("quick", "rules", QUICK, []))
# From a relay that is up but cut off from the origin: its age is seen, then one after the other is tried.
STALE_S = RULES.stale_s + 2 * (RULES.stale_s + RULES.ping_s + RULES.connect_s)
# After relays have come back: an attempt that just failed, the wait before the next, and the way down.
BACK_S = RULES.detect_s() + RULES.connect_s + RULES.retry_s[1]
RELAYS = ("r0", "r1", "r2")
NO_NEWS = "delivery: no relay with news"


def bound(dead: int = 0) -> float:
    """From the file's replacement until the change is in force, with so many relays lost just then."""
    return RULES.staleness_s(dead, 0.0) + LOOK_S + LOADED_S


def at(made: Delivered, relay: str) -> tuple[str, ...]:
    return tuple(name for name in made.follows if made.relay_of(name) == relay)


def busiest(made: Delivered) -> str:
    """The relay with the most followers."""
    return max(RELAYS, key=lambda relay: len(at(made, relay)))


async def settled(made: Delivered) -> None:
    """Each is at the relay that it likes best."""
    places = {n: Place(n, p.zone, p.zone) for n, p in made.links.places.items()}
    relays = tuple(places[name] for name in RELAYS)
    best = {name: rank(places[name], relays)[0].name for name in made.follows}
    await made.until(
        lambda: all(made.relay_of(name) == best[name] for name in best), "the best relay for each"
    )


async def mended(made: Delivered) -> None:
    """All is as at the start but for the revision: nothing is cut, all run, all services are there."""
    made.links.heal()
    for child in made.children.values():
        if child.paused:
            child.wake()
    await asyncio.gather(*(made.start(name) for name in made.links.places if name not in made.children))
    for number in range(8):
        made.objects.setdefault(f"s{number}", {f"i{k}": {"weight": k} for k in range(20)})
    await made.commit()
    await made.all_hold()
    await settled(made)


Test = Callable[[Delivered], Coroutine[Any, Any, None]]


class Stage:
    """Processes that serve all tests here, mended after each; started anew after one that fails."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.starts = folder, 0
        self.runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.context: AbstractAsyncContextManager[Delivered] | None = None
        self.made: Delivered | None = None

    def run(self, test: Test) -> None:
        self.runner.run(asyncio.wait_for(self._run(test), LIMIT_S))

    async def _run(self, test: Test) -> None:
        try:
            if self.made is None:
                self.starts += 1
                folder = self.folder / str(self.starts)
                folder.mkdir()
                self.context = delivered(folder)
                self.made = await self.context.__aenter__()
                await settled(self.made)
            else:
                await mended(self.made)
            await test(self.made)
            self.made.check()
        except BaseException:
            await self.close()
            raise

    async def close(self) -> None:
        context, self.context, self.made = self.context, None, None
        if context is not None:
            await context.__aexit__(None, None, None)


@pytest.fixture(scope="module")
def stage(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Stage]:
    made = Stage(tmp_path_factory.mktemp("delivery"))
    yield made
    made.runner.run(made.close())
    made.runner.close()


def test_a_relay_that_is_killed_costs_its_followers_one_move_and_no_other_anything(stage: Stage) -> None:
    async def test(made: Delivered) -> None:
        for turn in range(3):
            await made.commit(f"s{turn}")
            await made.all_hold(bound())
        lost = busiest(made)
        theirs = at(made, lost)
        others = tuple(name for name in made.follows if name not in theirs)
        told = sum(made.told(name, NO_NEWS) for name in made.follows)
        assert theirs and others
        await made.kill(lost)
        await made.commit("s1")
        await made.all_hold(bound(), others)
        await made.all_hold(bound(2), theirs)
        # An item more, an item less, an object less: all of it as deltas at relays that they just met.
        await made.commit("s1", {"only": 1})
        await made.all_hold(bound())
        del made.objects["s2"]
        await made.commit()
        await made.all_hold(bound())
        await made.start(lost)
        await made.until(lambda: bool(at(made, lost)), "a return to the better choice")
        await made.commit("s3")
        await made.all_hold(bound())
        assert sum(made.told(name, NO_NEWS) for name in made.follows) == told

    stage.run(test)


def test_paused_with_old_deltas_in_its_buffers_neither_relay_nor_follower_brings_them_back(
    stage: Stage,
) -> None:
    async def test(made: Delivered) -> None:
        stopped = busiest(made)
        theirs = at(made, stopped)
        assert theirs
        await made.commit("s0")  # on its way as the relay stops
        made.children[stopped].pause()
        slow = next(name for name in made.follows if name not in theirs)
        for turn in range(4):
            await made.commit(f"s{turn}")
            if turn == 1:
                made.children[slow].pause()
        awake = tuple(name for name in made.follows if name != slow)
        await made.all_hold(bound(2), awake)
        made.children[stopped].wake()
        made.children[slow].wake()
        await made.all_hold(BACK_S + bound(2))
        for turn in range(4):  # by relay and follower that have what lay in their buffers
            await made.commit(f"s{turn}")
            await made.all_hold(bound())

    stage.run(test)


def test_cut_off_one_way_and_from_the_origin_they_move_to_a_relay_with_news(stage: Stage) -> None:
    async def test(made: Delivered) -> None:
        first = busiest(made)
        theirs = at(made, first)
        made.links.cut(first, theirs, both=False)  # it hears them, and they don't hear it
        await made.commit("s0")
        await made.all_hold(bound(2))
        assert not any(made.relay_of(name) == first for name in theirs)
        made.links.heal()
        await made.commit("s1")
        await made.all_hold(bound(1))
        second = busiest(made)
        made.links.cut(at(made, second), second, both=False)  # it does not hear them
        await made.commit("s2")
        await made.all_hold(bound(2))
        made.links.heal()
        stale = busiest(made)
        made.links.cut("origin", stale, both=False)  # up and answering, without news
        await made.commit("s3")
        await made.all_hold(STALE_S + bound(1))
        made.links.heal()
        await made.commit("s4")
        await made.all_hold(BACK_S + bound(1))

    stage.run(test)


def test_a_relay_that_holds_less_is_not_gone_back_to_when_the_others_are_lost(stage: Stage) -> None:
    async def test(made: Delivered) -> None:
        made.links.cut("origin", "r1")
        last = await made.commit("s0")
        await made.all_hold(STALE_S + bound(1))
        await asyncio.gather(made.kill("r0"), made.kill("r2"))  # now there is only the one that holds less
        held = {name: len(made.children[name].rows) for name in made.follows}
        rows = RULES.detect_s() + 3 * RULES.retry_s[1]  # one a second
        await made.until(lambda: all(len(made.children[n].rows) > held[n] + rows for n in held), "attempts")
        assert all(made.holds(name, last) for name in made.follows)  # and the audit: none went back
        assert not any(made.relay_of(name) for name in made.follows)
        made.links.heal()
        await made.commit("s1")
        await made.all_hold(BACK_S + bound(2))
        assert len(at(made, "r1")) == len(made.follows)

    stage.run(test)


def test_all_relays_and_then_the_origin_start_anew_and_nobody_has_to_forget(stage: Stage) -> None:
    async def test(made: Delivered) -> None:
        ended = await asyncio.gather(*(made.kill(relay, signal.SIGTERM) for relay in RELAYS))
        assert ended == [0, 0, 0]
        await made.commit("s1")  # while there is none: followers serve on
        await asyncio.gather(*map(made.start, RELAYS))
        await made.all_hold(BACK_S + bound(2))
        assert await made.kill("origin", signal.SIGTERM) == 0
        del made.objects["s3"]  # one gone, one changed, while nobody watches
        made.put("s2", {"while": "away"})
        await made.start("origin")
        await made.taken()
        await made.all_hold(BACK_S + bound(1))
        await made.commit("s4")
        await made.all_hold(BACK_S + bound(1))
        await made.kill("origin")  # without a word; its file is as it was
        origin = await made.start("origin")
        await origin.said("revision ")
        await made.commit("s5")
        await made.all_hold(BACK_S + bound(1))

    stage.run(test)


def test_a_zone_cut_off_while_the_other_side_changes_catches_up_and_tells_of_it_once(stage: Stage) -> None:
    async def test(made: Delivered) -> None:
        inside = tuple(n for n in made.follows if made.links.places[n].zone == "a")
        outside = tuple(n for n in made.follows if n not in inside)
        assert inside and outside
        told = {name: (made.told(name, NO_NEWS), made.told(name, "again")) for name in made.follows}
        made.links.cut("zone:a", "zone:b")
        before = len(made.audit.commits) - 1
        for turn in range(4):
            await made.commit(f"s{turn}")
        await made.all_hold(bound(2), outside)
        await made.until(lambda: all(made.told(n, NO_NEWS) > told[n][0] for n in inside), "a word on it")
        assert not any(made.holds(name, before + 1) for name in inside)
        await asyncio.sleep(RULES.stale_s)  # time in which they could say it again
        made.links.heal()
        await made.commit("s5")
        await made.all_hold(BACK_S + bound(1))
        await made.until(lambda: all(made.told(n, "again") > told[n][1] for n in inside), "a word on its end")
        assert all(made.told(name, NO_NEWS) == told[name][0] + 1 for name in inside)
        assert all(made.told(name, NO_NEWS) == told[name][0] for name in outside)

    stage.run(test)
