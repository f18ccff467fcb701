"""A short run of each benchmark and of the demo, so that they keep working between long runs."""

from __future__ import annotations

import subprocess
import sys

import pytest

RUNS = {
    "fleet": ["-m", "bench.fleet", "--seed", "5", "--instances", "3", "--seconds", "4"],
    "bodies": ["-m", "bench.bodies", "--seed", "5", "--quick", "--only", "digests"],
    "stalls": ["-m", "bench.bodies", "--seed", "5", "--quick", "--only", "stalls"],
    "reload": ["-m", "bench.bodies", "--seed", "5", "--quick", "--only", "reload"],
    "orphans": ["-m", "bench.orphans", "--seed", "5", "--times", "2", "--rate", "50"],
    "spread": ["-m", "bench.spread", "--seed", "5", "--instances", "3", "--clients", "90"],
    "membership": [
        "-m",
        "bench.membership",
        "--seed",
        "5",
        "--nodes",
        "200",
        "--instances",
        "2",
        "--seconds",
        "4",
    ],
    "many": ["-m", "bench.many", "--seed", "5", "--proxies", "24", "--servers", "16", "--seconds", "10"],
    "operations": ["-m", "bench.operations", "--seed", "5", "--times", "1", "--rate", "60"],
    "demo": ["-m", "flintlatch", "demo", "--seed", "5", "--instances", "2", "--seconds", "4"],
}


@pytest.mark.parametrize("name", RUNS)
def test_a_short_run_meets_its_limits(name: str) -> None:
    command = [sys.executable, *RUNS[name]]
    done = subprocess.run(command, capture_output=True, text=True, timeout=100, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "held" in done.stdout.splitlines()[-1]
