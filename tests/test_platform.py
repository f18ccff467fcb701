"""The platform's proxy imports only the listed modules, and none of the fleet."""

from __future__ import annotations

import asyncio
import importlib.util
import re
import sys
from pathlib import Path

from tests.loopback import ScriptedServer, configuration, run, target
from tests.test_program import write_config

PROJECT_MODULES = {
    "flintlatch",
    "flintlatch.api",
    "flintlatch.choice",
    "flintlatch.exchange",
    "flintlatch.exchange.arrival",
    "flintlatch.exchange.core",
    "flintlatch.exchange.memory",
    "flintlatch.exchange.messages",
    "flintlatch.exchange.sides",
    "flintlatch.exchange.terms",
    "flintlatch.exchange.transfer",
    "flintlatch.handover",
    "flintlatch.program",
    "flintlatch.settings",
    "flintlatch.net",
    "flintlatch.net.addresses",
    "flintlatch.net.backends",
    "flintlatch.net.client",
    "flintlatch.net.clock",
    "flintlatch.net.connections",
    "flintlatch.net.counts",
    "flintlatch.net.discovery",
    "flintlatch.net.engine",
    "flintlatch.net.frontend",
    "flintlatch.net.guard",
    "flintlatch.net.http1",
    "flintlatch.net.listener",
    "flintlatch.net.listing",
    "flintlatch.net.log",
    "flintlatch.net.relay",
    "flintlatch.net.polling",
    "flintlatch.net.process_memory",
    "flintlatch.net.receiving",
    "flintlatch.net.recent_ids",
    "flintlatch.net.request",
    "flintlatch.net.sending",
    "flintlatch.net.starts",
    "flintlatch.net.transient",
    "flintlatch.net.turns",
    "flintlatch.net.without_tls",
    "flintlatch.ops",
    "flintlatch.ops.admin",
    "flintlatch.ops.calls",
    "flintlatch.ops.figures",
    "flintlatch.ops.reload",
    "flintlatch.ops.staff",
    "flintlatch.ops.succession",
    "flintlatch.platform",
    "flintlatch.platform.build",
    "flintlatch.platform.engine",
    "flintlatch.platform.front",
    "flintlatch.platform.limits",
    "flintlatch.platform.memory",
    "flintlatch.platform.node",
}
ALLOWED_PACKAGES = {"httptools", "orjson", "uvloop"}
FORBIDDEN_STDLIB = {"argparse", "tomllib", "multiprocessing", "sqlite3", "http.client"}  # expensive to import


def is_installed_package(name: str) -> bool:
    """Whether a top-level module belongs to a package that pip installed."""
    if name in sys.stdlib_module_names or name == "sitecustomize" or name.startswith("_"):
        return False
    spec = importlib.util.find_spec(name)
    return spec is not None and "site-packages" in (spec.origin or "")


def test_the_proxy_imports_the_listed_modules_and_no_other(tmp_path: Path) -> None:
    names: set[str] = set()

    async def test() -> None:
        backend = await ScriptedServer().open()
        env = write_config(tmp_path, configuration("127.0.0.1:1", target("s", backend.address)))
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-X", "importtime", "-m", "flintlatch", env=env, stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        line = ""
        while "listens on" not in line:
            line = (await program.stderr.readline()).decode()
            assert line, "the program ended before it listened"
            if found := re.fullmatch(r"import time:.*\| +(\S+)\n", line):
                names.add(found[1])
        program.terminate()
        await program.communicate()
        backend.close()

    run(test())
    assert {name for name in names if name.partition(".")[0] == "flintlatch"} == PROJECT_MODULES
    top_level = {name.partition(".")[0] for name in names} - {"flintlatch"}
    assert {name for name in top_level if is_installed_package(name)} <= ALLOWED_PACKAGES
    assert not names & FORBIDDEN_STDLIB
