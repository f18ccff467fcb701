"""The log on standard error: free text, and events as `key=value` fields. Rate limited, so that a flood of
lines can't block the proxy.

An event line starts with `event=NAME t=SECONDS`, with the Unix time of the proxy's clock. No line contains a
body or a header of a request; a request is named by its id only.
"""

from __future__ import annotations

import re
import select
import sys

from flintlatch.net.clock import now_ms
from flintlatch.net.polling import has_event

MAX_LINES_PER_S = 20
MAX_REQUEST_LINES_PER_S = 5  # separate, so that many failing requests don't suppress the state transitions

MAX_LINE_CHARS = 4000  # below PIPE_BUF

# Other values are quoted.
PLAIN_VALUE = re.compile(r"[!#-<>-~]+")

Field = str | int | float | bool | None


class Logger:
    """Writes at most `max_lines_per_s` lines to standard error; the next line tells how many were dropped."""

    def __init__(self, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        self.max_lines_per_s = max_lines_per_s
        self.second, self.lines, self.dropped = 0, 0, 0

    def __call__(self, line: str) -> None:
        if not self._admit():
            return
        if self.dropped:
            line, self.dropped = f"{line} ({self.dropped} lines before this one were dropped)", 0
        self.write(line)

    def event(self, name: str, **fields: Field) -> None:
        """Writes one event; fields that are None are left out."""
        if not self._admit():
            return
        if self.dropped:
            fields["dropped_lines"], self.dropped = self.dropped, 0
        given = "".join(f" {key}={field_text(value)}" for key, value in fields.items() if value is not None)
        self.write(f"event={name} t={now_ms() / 1000:.3f}{given}")

    def _admit(self) -> bool:
        """Counts a line. False if the limit of this second is reached."""
        second = int(now_ms() / 1000)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        if self.lines <= self.max_lines_per_s:
            return True
        self.dropped += 1
        return False

    def write(self, line: str) -> None:
        """Writes a line, or counts it as dropped if standard error does not take it at once: a log that is
        closed or not read must neither fail nor delay what is logged."""
        try:
            if accepts_line():
                print(f"flintlatch: {line}"[:MAX_LINE_CHARS], file=sys.stderr, flush=True)
                return
        except (OSError, ValueError):  # closed
            pass
        self.dropped += 1


def accepts_line() -> bool:
    """Whether standard error takes MAX_LINE_CHARS without blocking. A pipe that can be written to at all
    takes PIPE_BUF bytes, pipe(7)."""
    try:
        descriptor = sys.stderr.fileno()
    except (OSError, ValueError):
        return True  # replaced by an object without a descriptor
    return has_event(descriptor, select.POLLOUT)


def field_text(value: Field) -> str:
    """The value as one word, or quoted."""
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value).lower() if isinstance(value, bool) else str(value)
    if PLAIN_VALUE.fullmatch(text):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


log = Logger()
request_log = Logger(MAX_REQUEST_LINES_PER_S)
