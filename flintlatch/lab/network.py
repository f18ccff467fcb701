"""A network in virtual time: for each ordered pair of places delay, loss, duplication, and cuts of either way."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from flintlatch.lab.engine import Engine


@dataclass(frozen=True, slots=True)
class Link:
    """From one place to another. Parts are from 0 to 1; a delay is uniform, so order is lost."""

    min_delay_s: float = 0.0005
    max_delay_s: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0  # part of what arrives that arrives twice
    cut: bool = False

    def __post_init__(self) -> None:
        if not 0 <= self.min_delay_s <= self.max_delay_s:
            raise ValueError(
                f"a delay of {self.min_delay_s} to {self.max_delay_s} s, expected 0 <= least <= most"
            )
        for name in ("loss", "duplication"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f"{name} is {getattr(self, name)}, expected 0 to 1")


class Network:
    """`deliver` gets (from, to, what) for what arrives. Cuts are by ordered pair; the paused keep theirs."""

    def __init__(self, engine: Engine, rng: Random, deliver: Callable[[str, str, Any], None]) -> None:
        self.engine, self.rng, self.deliver = engine, rng, deliver
        self.default_link = Link()
        self.links: dict[tuple[str, str], Link] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.paused: dict[str, list[tuple[str, Any]]] = {}  # what waits in the buffers of those that are
        self.sent = 0

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        others = tuple(other)
        for a in one:
            self.cuts.update((a, b) for b in others if a != b)
            if both:
                self.cuts.update((b, a) for b in others if a != b)

    def heal(self) -> None:
        self.cuts.clear()

    def pause(self, place: str) -> None:
        self.paused.setdefault(place, [])

    def resume(self, place: str) -> None:
        """It finds in its buffers what came meanwhile, old as it is."""
        for source, what in self.paused.pop(place, []):
            self.deliver(source, place, what)

    def reaches(self, source: str, target: str) -> bool:
        return (source, target) not in self.cuts and target not in self.paused

    def send(self, source: str, target: str, what: Any) -> None:
        self.sent += 1
        link = self.links.get((source, target), self.default_link)
        if (source, target) in self.cuts or self.rng.random() < link.loss:
            return
        for _ in range(1 + (self.rng.random() < link.duplication)):
            self.engine.after(
                self.rng.uniform(link.min_delay_s, link.max_delay_s),
                lambda: self._arrive(source, target, what),
            )

    def _arrive(self, source: str, target: str, what: Any) -> None:
        if (source, target) in self.cuts:
            return
        if target in self.paused:
            if len(self.paused[target]) < 200:  # a socket's buffer
                self.paused[target].append((source, what))
            return
        self.deliver(source, target, what)
