"""What an instance was told that the fleets agree on: words with an end, as events to the decision module.

The end is a moment of the machine's clock, set by the supervisor no later than its saying, and is tested
before each step of the module. Past it the instance is where it would be alone, and says so once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flintlatch.api import Event, Proxies


class Heard:
    def __init__(
        self, number: int, alone: Proxies, clock: Callable[[], float], log: Callable[[str], None]
    ) -> None:
        """`number`: of this instance in its fleet. `alone`: what holds with no word."""
        self.number, self.alone, self.clock, self.log = number, alone, clock, log
        self.place, self.until = alone, 0.0
        self.used = alone
        self.lone = True

    def on_word(self, word: dict[str, Any]) -> None:
        """Raises KeyError, TypeError or ValueError for what is no word. One about something else is left."""
        if word["about"] == "proxies":
            proxies, first = map(int, word["value"])
            self.place = Proxies(max(proxies, 1), max(first, 0) + self.number)
            self.until = float(word["until"])

    def due(self) -> list[Event]:
        lone = self.clock() >= self.until
        wanted = self.alone if lone else self.place
        if lone and not self.lone:
            self.log(f"the word on other fleets has ended: counting {wanted.proxies} proxies, as configured")
        self.lone = lone
        if wanted == self.used:
            return []
        self.used = wanted
        return [wanted]
