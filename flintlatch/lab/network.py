"""Simulates a datagram network in virtual time, with faults for each ordered pair of addresses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from flintlatch.lab.engine import Engine

PAUSED_BUFFER_DATAGRAMS = 200  # what the socket buffer of a paused process holds


@dataclass(frozen=True, slots=True)
class Link:
    """The faults of one direction between two addresses.

    `loss` and `duplication` are fractions from 0 to 1. The delay of each datagram is uniformly distributed,
    so datagrams can be reordered.
    """

    min_delay_s: float = 0.0005
    max_delay_s: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0  # of the datagrams that are not lost
    cut: bool = False

    def __post_init__(self) -> None:
        if not 0 <= self.min_delay_s <= self.max_delay_s:
            raise ValueError(
                f"delay is {self.min_delay_s} to {self.max_delay_s} s, expected 0 <= minimum <= maximum"
            )
        for name in ("loss", "duplication"):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f"{name} is {getattr(self, name)}, expected 0 to 1")


class Network:
    """Calls `deliver` with (source, target, message) for each datagram that arrives.

    Cuts apply to ordered pairs of addresses. Datagrams for a paused process are buffered.
    """

    def __init__(self, engine: Engine, rng: Random, deliver: Callable[[str, str, Any], None]) -> None:
        self.engine, self.rng, self.deliver = engine, rng, deliver
        self.default_link = Link()
        self.links: dict[tuple[str, str], Link] = {}  # by source and target, instead of the default link
        self.cuts: set[tuple[str, str]] = set()
        self.paused: dict[str, list[tuple[str, Any]]] = {}  # buffered (source, message) by paused address
        self.sent = 0  # datagrams

    def cut(self, sources: Iterable[str], targets: Iterable[str], both: bool = True) -> None:
        """Drops all datagrams from sources to targets and, if `both`, from targets to sources."""
        all_targets = tuple(targets)
        for source in sources:
            self.cuts.update((source, target) for target in all_targets if source != target)
            if both:
                self.cuts.update((target, source) for target in all_targets if source != target)

    def heal(self) -> None:
        """Removes all cuts."""
        self.cuts.clear()

    def pause(self, address: str) -> None:
        self.paused.setdefault(address, [])

    def resume(self, address: str) -> None:
        """Ends a pause and delivers the buffered datagrams, however old they are."""
        for source, message in self.paused.pop(address, []):
            self.deliver(source, address, message)

    def reaches(self, source: str, target: str) -> bool:
        return (source, target) not in self.cuts and target not in self.paused

    def send(self, source: str, target: str, message: Any) -> None:
        self.sent += 1
        link = self.links.get((source, target), self.default_link)
        if (source, target) in self.cuts or self.rng.random() < link.loss:
            return
        for _ in range(1 + (self.rng.random() < link.duplication)):
            self.engine.after(
                self.rng.uniform(link.min_delay_s, link.max_delay_s),
                lambda: self._arrive(source, target, message),
            )

    def _arrive(self, source: str, target: str, message: Any) -> None:
        if (source, target) in self.cuts:
            return
        if target in self.paused:
            if len(self.paused[target]) < PAUSED_BUFFER_DATAGRAMS:
                self.paused[target].append((source, message))
            return
        self.deliver(source, target, message)
