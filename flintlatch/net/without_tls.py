"""Keeps OpenSSL out of a process that speaks no TLS: it takes a sixth of the least memory limit.

asyncio goes on without the module `ssl`. uvloop asks it for some names when it is imported, and uses them for
TLS connections only. hashlib has functions of its own.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType
from typing import Any

ABSENT_MODULES = ("ssl", "_hashlib")


class PlaceholderModule(ModuleType):
    """Has every name that a module takes from `ssl`: numbers for constants, and exception classes."""

    def __getattr__(self, name: str) -> Any:
        if name.startswith("__"):
            raise AttributeError(name)
        return 0 if name.isupper() else type(name, (Exception,), {})


@contextmanager
def without_tls() -> Iterator[None]:
    """Imports asyncio and uvloop, and whatever its body imports, without loading OpenSSL. Whoever imports
    `ssl` later gets the real one."""
    hidden = [name for name in ABSENT_MODULES if name not in sys.modules]
    modules: dict[str, ModuleType | None] = sys.modules  # type: ignore[assignment]
    try:
        modules.update(dict.fromkeys(hidden))
        import asyncio  # noqa: F401

        if "ssl" in hidden:
            modules["ssl"] = PlaceholderModule("ssl")
        import uvloop  # noqa: F401

        modules.update(dict.fromkeys(hidden))
        yield
    finally:
        for name in hidden:
            del modules[name]
