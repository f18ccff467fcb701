"""Logs and counts exceptions that no code expected."""

from __future__ import annotations

import traceback

from flintlatch.net.log import log


class BugReports:
    """Logs and counts unexpected exceptions. There is one object for the process, as of the log."""

    def __init__(self) -> None:
        self.count = 0

    def report(self, where: str, error: BaseException | None) -> None:
        self.count += 1
        text = "".join(traceback.format_exception(error)).strip() if error is not None else "no exception"
        log(f"bug: {where}: {text}")


bugs = BugReports()
