"""Saves the accepted versions of one source, one after another, and again while the disk fails."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintlatch.membership.files import save_version
from flintlatch.membership.model import Version

RETRY_INTERVAL_S = 1.0


class VersionSaver:
    """Keeps the newest version that is not saved yet. A restart uses what was saved last, so a save that
    fails is repeated, and two saves never overtake each other."""

    def __init__(self, path: str, on_failure: Callable[[str], None]) -> None:
        """`on_failure` is called with the reason of the first failure of each version."""
        self.path, self.on_failure = path, on_failure
        self.unsaved: Version | None = None
        self.task: asyncio.Task[None] | None = None

    def save(self, version: Version) -> None:
        self.unsaved = version
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        reported: Version | None = None
        while (version := self.unsaved) is not None:
            try:
                await asyncio.to_thread(save_version, self.path, version)
            except OSError as error:
                if reported is not version:
                    self.on_failure(f"version {version.number} not saved: {error}; tried again")
                reported = version
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if self.unsaved is version:
                self.unsaved = None

    def close(self) -> None:
        """Ends the repetition; a save that runs is completed by its thread."""
        if self.task is not None:
            self.task.cancel()
