"""The daemon's log on standard error: plain text or JSON Lines, as `fleet.log_format` says."""

from __future__ import annotations

import sys
from typing import Any

import structlog

LEVELS = ("error", "warning", "info", "debug")


def render_line(_: Any, __: str, event: Any) -> str:
    """Renders an event as text: logger, level and message. The journal adds the time."""
    return f"{event['logger']}: {event['level']}: {event['event']}"


def make_logger(
    log_format: str, level: str, logger: str, **fields: Any
) -> structlog.typing.FilteringBoundLogger:
    """`log_format`: "text" or "json". `level`: the lowest level that is logged. `fields`: added to each JSON
    object."""
    renderer: structlog.typing.Processor = render_line
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer()
    structured_logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.EventRenamer("event"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        **fields,
    ).bind(logger=logger)
    return structured_logger
