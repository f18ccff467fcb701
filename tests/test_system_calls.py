"""System calls that fail for a moment, as Linux documents, cost no request and no start."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from flintlatch.net import transient
from flintlatch.net.frontend import AcceptResult
from flintlatch.net.transient import retry_transient
from flintlatch.standin.shim import CallFault, Shim, compile_shim
from tests.loopback import Client, ScriptedServer, configuration, proxy, run, target
from tests.test_program import write_config

ACCEPT_ERRNOS = [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR, errno.EPROTO]

SHORTEST_DEADLINE_S = 0.75  # of the classes of the soak


class FailingListener:
    """A listening socket whose `accept` fails before each connection that it accepts."""

    def __init__(self, sock: socket.socket, error: int) -> None:
        self.sock, self.error, self.fails = sock, error, True

    def accept(self) -> tuple[socket.socket, object]:
        self.fails = not self.fails
        if not self.fails:
            raise OSError(self.error, os.strerror(self.error))
        return self.sock.accept()

    def fileno(self) -> int:
        return self.sock.fileno()

    def close(self) -> None:
        self.sock.close()


@pytest.mark.parametrize("error", ACCEPT_ERRNOS)
def test_connections_queued_at_the_end_of_a_stop_are_served_although_accept_fails(error: int) -> None:
    async def test() -> None:
        async with proxy() as p:
            p.frontend._pause_accepting()
            clients = [await p.client() for _ in range(5)]
            for client in clients:
                client.send("/health/ready", "GET")
            p.frontend.listeners = [FailingListener(p.frontend.listeners[0], error)]  # type: ignore[list-item]
            p.frontend.disable_keep_alive()
            stop = asyncio.create_task(p.frontend.finish(2.0))
            assert [(await client.reply()).status for client in clients] == [503] * 5
            await stop

    run(test())


@pytest.mark.parametrize("error", ACCEPT_ERRNOS)
def test_a_crowd_is_accepted_in_time_although_accept_fails_for_each_connection(error: int) -> None:
    # Guards against a pause for each failure that adds up over those who wait in the accept queue.
    async def test() -> None:
        async with proxy() as p:
            p.frontend._pause_accepting()
            clients = [await p.client() for _ in range(30)]
            for client in clients:
                client.send("/health/ready", "GET")
            p.frontend.listeners = [FailingListener(p.frontend.listeners[0], error)]  # type: ignore[list-item]
            p.frontend._resume_accepting()
            async with asyncio.timeout(SHORTEST_DEADLINE_S):
                assert [(await client.reply()).status for client in clients] == [200] * len(clients)

    run(test())


def test_a_lasting_lack_of_descriptors_is_looked_at_rarely(monkeypatch: pytest.MonkeyPatch) -> None:
    calls = 0

    async def test() -> None:
        nonlocal calls
        async with proxy() as p:
            p.frontend._pause_accepting()
            client = await p.client()
            client.send("/health/ready", "GET")
            accept_one = p.frontend._accept_one

            def fail(_: socket.socket) -> AcceptResult:
                nonlocal calls
                calls += 1
                return AcceptResult.FAILED

            monkeypatch.setattr(p.frontend, "_accept_one", fail)
            p.frontend._resume_accepting()
            await asyncio.sleep(0.5)
            monkeypatch.setattr(p.frontend, "_accept_one", accept_one)
            assert (await client.reply()).status == 200

    run(test())
    assert 5 < calls < 20


def test_an_operation_is_repeated_while_it_fails_with_a_transient_error() -> None:
    failures = [errno.ENFILE, errno.EINTR, errno.EIO]

    def operation() -> str:
        if failures:
            raise OSError(failures.pop(0), "for a moment")
        return "done"

    assert retry_transient(operation) == "done" and not failures


def test_a_lasting_error_is_raised(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transient, "RETRY_FOR_S", 0.05)
    calls = []

    def operation(error: int) -> None:
        calls.append(error)
        raise OSError(error, "always")

    with pytest.raises(OSError, match="always"):
        retry_transient(lambda: operation(errno.EACCES))
    assert calls == [errno.EACCES]
    with pytest.raises(OSError, match="always"):
        retry_transient(lambda: operation(errno.ENFILE))
    assert calls.count(errno.ENFILE) >= 2


PROGRAM_WITH_FAILING_START = """
import builtins, errno, os, socket, sys
from flintlatch import program

FAILURES = {"socket": 3, "open": 3}

def failing(name, call):
    def wrapped(*args, **kwargs):
        if FAILURES[name] and (name != "open" or args[0] == os.environ["LB_CONFIG"]):
            FAILURES[name] -= 1
            raise OSError(errno.ENFILE, "Too many open files in system")
        return call(*args, **kwargs)
    return wrapped

real_listener = program.open_listener
program.open_listener = failing("socket", real_listener)
builtins.open = failing("open", open)
sys.exit(program.main())
"""


def test_a_start_outlasts_a_lack_of_descriptors(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        env = write_config(tmp_path, configuration("127.0.0.1:1", target("s", backend.address)))
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-c", PROGRAM_WITH_FAILING_START, env=env, stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        line = (await program.stderr.readline()).decode()
        assert "listens on" in line
        client = await Client.open(line.split()[-1])
        assert (await client.ask("/health/ready", "GET")).status == 200
        program.terminate()
        assert await program.wait() == 0
        backend.close()

    run(test())


PROGRAM_THAT_POLLS = """
import os, select
from flintlatch.net.polling import has_event

reading, writing = os.pipe()
os.write(writing, b"x")
print(sum(has_event(reading, select.POLLIN) for _ in range(2000)))
"""


def test_bytes_are_found_although_waits_are_interrupted(tmp_path: Path) -> None:
    """A request that is overlooked is reset with its connection, and a client that has left is sent on."""
    shim = Shim(compile_shim(tmp_path), tmp_path / "control", 1)
    shim.set_probability(CallFault.INTERRUPT, 0.02)
    program = subprocess.run(
        [sys.executable, "-c", PROGRAM_THAT_POLLS],
        env=dict(os.environ) | shim.environment(),
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert shim.injected()[CallFault.INTERRUPT] > 10
    assert int(program.stdout) == 2000
    shim.close()
