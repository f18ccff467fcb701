"""Runs tests that start complete fleets one after another, and passes over the known failures.

In parallel the fleets would take the cores from each other, and they check time limits, such as 2 s for an
incomplete head.

KNOWN-RED.txt lists tests that fail because of a known fault, one unindented line with the test's id and
indented lines that describe the failure. These tests run and must fail: one that passes fails the run, so
that its entry is removed.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from flintlatch.net.log import log, request_log

SERIAL_FILES = ("tests/fleet/test_daemon", "tests/fleet/test_heir", "tests/test_bench", "test_fleet.py")
KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture(autouse=True)
def whole_log_allowance() -> None:
    """Gives each test the lines per second of the process's log, which tests before it may have used up."""
    for logger in (log, request_log):
        logger.second, logger.lines, logger.dropped = 0, 0, 0


def known_red_tests() -> list[str]:
    """The ids of the listed tests."""
    if not KNOWN_RED_FILE.exists():
        return []
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line and not line[0].isspace() and not line.startswith("#")]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red = set(known_red_tests())
    for item in items:
        if any(name in item.nodeid for name in SERIAL_FILES):
            item.add_marker(pytest.mark.xdist_group("fleets"))
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test in known_red_tests():
        terminalreporter.write_line(f"known red: {test}")
