"""Runs tests that start complete fleets one after another.

In parallel they would take the cores from each other, and they check time limits, such as 2 s for an
incomplete head.
"""

from __future__ import annotations

import pytest

SERIAL_FILES = ("tests/fleet/test_daemon", "tests/fleet/test_heir", "tests/test_bench", "test_fleet.py")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if any(name in item.nodeid for name in SERIAL_FILES):
            item.add_marker(pytest.mark.xdist_group("fleets"))
