"""SIGHUP: reads the address of the list service from the replaced configuration file.

Only that address may change while the proxy runs, so nothing else of the file has to be valid. A file that
can't be used may be half-written or unreadable for a moment: it is read again for a while, because until then
the proxy follows a service that may know less than the new one.
"""

from __future__ import annotations

import asyncio

import orjson

from flintlatch.net.engine import Engine
from flintlatch.net.http1 import split_address
from flintlatch.net.log import log
from flintlatch.settings import Malformed, require_object, require_string

RETRY_INTERVAL_S = 0.1
RETRIES = 30  # the list of a new service counts as known 4 s after SIGHUP


def read_list_address(path: str) -> str:
    """The address of the list service in a configuration file. Raises Malformed."""
    try:
        with open(path, "rb") as file:
            address = require_string(
                require_object(orjson.loads(file.read()), "configuration")["discovery"], "discovery"
            )
        split_address(address)
    except OSError as error:
        raise Malformed(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise Malformed(f"{path}: not JSON: {error}") from None
    except KeyError as error:
        raise Malformed(f"{path}: {error.args[0]} is missing") from None
    except ValueError as error:
        raise Malformed(f"{path}: {error}") from None
    return address


class ConfigReloader:
    """Handles each SIGHUP of one proxy."""

    def __init__(self, engine: Engine, path: str) -> None:
        """`path`: of the configuration file. The address in it takes precedence over the environment, which
        can't change."""
        self.engine, self.path = engine, path
        self.retry_timer: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Follows the list service in the file; a file that can't be used is read again later."""
        self._attempt(0)

    def _attempt(self, failures: int) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        try:
            address = read_list_address(self.path)
        except Malformed as error:
            if failures == 0:
                log(f"reload: {error}; going on as before")
            if failures < RETRIES:
                loop = asyncio.get_running_loop()
                self.retry_timer = loop.call_later(RETRY_INTERVAL_S, self._attempt, failures + 1)
            else:
                log.event("reload_failed", failures=failures + 1, reason=str(error))
            return
        log.event("reload", discovery=address, failures=failures)
        self.engine.change_list_address(address)

    def close(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
