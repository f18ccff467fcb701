"""The program as the platform starts it: configuration, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import TEST_TIMEOUT_S, Client, ScriptedServer, configuration, listing, run, target

VALID_CONFIG = configuration("127.0.0.1:1")
COMMAND = [sys.executable, "-m", "flintlatch"]


def write_config(folder: Path, config: Any) -> dict[str, str]:
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_CONFIG": str(path)}


def without(name: str) -> dict[str, Any]:
    return {k: v for k, v in VALID_CONFIG.items() if k != name}


@pytest.mark.parametrize(
    ("config", "expected"),
    [
        ("{", "not JSON"),
        ("[]", "configuration"),
        (without("settings"), "settings"),
        (without("seed"), "seed"),
        (without("known"), "known"),
        (VALID_CONFIG | {"seed": "xyz"}, "base 16"),
        (VALID_CONFIG | {"listen": "here"}, "here"),
        (VALID_CONFIG | {"listen": "203.0.113.1:1"}, "assign"),
        (VALID_CONFIG | {"known": {"rev": 1, "all": True, "targets": [{}]}}, "uid"),
        (VALID_CONFIG | {"settings": {"Lanes": []}}, "class"),
        (VALID_CONFIG | {"settings": {}}, "Lanes"),
        (VALID_CONFIG | {"settings": VALID_CONFIG["settings"] | {"TickMs": 0}}, "tick_ms"),
        (
            VALID_CONFIG | {"settings": VALID_CONFIG["settings"] | {"Limits": {"ConnIdleMs": -1}}},
            "conn_idle_ms",
        ),
    ],
)
def test_an_invalid_configuration_ends_the_program_with_one_line(
    tmp_path: Path, config: Any, expected: str
) -> None:
    done = subprocess.run(
        COMMAND,
        env=write_config(tmp_path, config),
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and "Traceback" not in done.stderr
    assert expected in done.stderr


def test_a_missing_configuration_is_reported() -> None:
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    done = subprocess.run(
        COMMAND, env=env, capture_output=True, text=True, timeout=TEST_TIMEOUT_S, check=False
    )
    assert (done.returncode, done.stderr) == (2, "flintlatch: LB_CONFIG is not set\n")


def test_more_clients_than_descriptors_are_served_one_after_another(tmp_path: Path) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    async def test() -> None:
        backend = await ScriptedServer().open()
        program = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=write_config(tmp_path, configuration("127.0.0.1:1", target("s", backend.address))),
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit_descriptors,
        )
        assert program.stderr is not None
        address = (await program.stderr.readline()).decode().split()[-1]
        clients = []
        for _ in range(200):
            clients.append(await Client.open(address))
            assert (await clients[-1].ask("/health/ready", "GET")).status == 200
        concurrent = await asyncio.gather(*(Client.open(address) for _ in range(60)))
        for client in concurrent:
            client.send("/health/ready", "GET")
        statuses = [(await client.reply()).status for client in concurrent]
        assert statuses == [200] * 60
        program.send_signal(signal.SIGTERM)
        assert "Too many open files" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for client in clients + concurrent:
            client.close()
        backend.close()

    run(test())


def test_sigterm_ends_the_program_after_open_requests_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        config = configuration("127.0.0.1:1", target("s", backend.address))
        program = await asyncio.create_subprocess_exec(
            *COMMAND, env=write_config(tmp_path, config), stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        line = (await program.stderr.readline()).decode()
        assert line.startswith("flintlatch: n0 listens on 127.0.0.1:")
        address = line.split()[-1]
        client = await Client.open(address)
        client.send()
        received = await backend.requests.get()
        program.send_signal(signal.SIGTERM)
        while "stopping" not in (await program.stderr.readline()).decode():
            pass
        late = await Client.open(address)  # connections are still accepted and served for a while
        ready = await late.ask("/health/ready", "GET")
        assert (ready.status, ready.headers["connection"]) == (503, "close")
        received.reply(b"taken before")
        reply = await client.reply()
        assert (reply.status, reply.body) == (200, b"taken before")
        client.close()
        late.close()
        rest = (await program.stderr.read()).decode()
        assert await program.wait() == 0
        assert "bug" not in rest and "still open" not in rest
        backend.close()

    run(test())


def test_idle_clients_on_all_descriptors_do_not_block_discovery(tmp_path: Path) -> None:
    """The list service refuses connections at first. Once it is back, its list is applied, and a request is
    sent to the server on it."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    async def test() -> None:
        reserved = socket.socket()
        reserved.bind(("127.0.0.1", 0))  # the port is reserved, but not listening
        old, new = [await ScriptedServer().open() for _ in range(2)]
        service = "{}:{}".format(*reserved.getsockname())
        program = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=write_config(tmp_path, configuration(service, target("s", old.address))),
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit_descriptors,
        )
        assert program.stderr is not None
        address = (await program.stderr.readline()).decode().split()[-1]
        idle = [await Client.open(address) for _ in range(100)]  # more than the connection limit
        while "refused" not in (await program.stderr.readline()).decode():
            pass
        registry = ScriptedServer()
        registry.server = await asyncio.start_server(registry._serve, sock=reserved)
        received = await registry.requests.get()
        received.reply(json.dumps(listing(7, target("t", new.address))).encode())
        assert "?since=7&" in (await registry.requests.get()).line
        client = await Client.open(address)
        client.send()
        (await new.requests.get()).reply(b"by the new one")
        assert (await client.reply()).body == b"by the new one"
        program.send_signal(signal.SIGTERM)
        assert "Too many open files" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for connection in [client, *idle]:
            connection.close()
        for server in (old, new, registry):
            server.close()

    run(test())


PROGRAM_WITH_SIGHUP_DURING_START = """
import os, signal, sys
from flintlatch import program

class Config(program.Config):
    def __init__(self, env):
        super().__init__(env)
        os.replace(env["LB_CONFIG"] + ".next", env["LB_CONFIG"])
        os.kill(os.getpid(), signal.SIGHUP)

read, program.Config = program.Config, Config
start = program.start

def started(*given):
    program.Config = read
    return start(*given)

program.start = started
sys.exit(program.main())
"""


def test_a_sighup_right_after_the_first_read_of_the_file_is_handled(tmp_path: Path) -> None:
    async def test() -> None:
        first, second, backend = [await ScriptedServer().open() for _ in range(3)]
        listed = target("s", backend.address)
        env = write_config(tmp_path, configuration(second.address, listed))
        os.replace(env["LB_CONFIG"], env["LB_CONFIG"] + ".next")
        write_config(tmp_path, configuration(first.address, listed))
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-c", PROGRAM_WITH_SIGHUP_DURING_START, env=env, stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        assert (await second.requests.get()).line == "GET /registry/instances HTTP/1.1"
        program.send_signal(signal.SIGTERM)
        assert "bug" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for server in (first, second, backend):
            server.close()

    run(test())


PROGRAM_WITH_SIGNALS_AT_THE_END = """
import os, signal, sys, uvloop
from flintlatch import program

run = uvloop.run

def ended(main):
    run(main)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        os.kill(os.getpid(), number)

uvloop.run = ended
sys.exit(program.main())
"""


def test_signals_after_the_end_of_the_loop_do_not_change_the_exit_code(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        env = write_config(tmp_path, configuration("127.0.0.1:1", target("s", backend.address)))
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-c", PROGRAM_WITH_SIGNALS_AT_THE_END, env=env, stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        await program.stderr.readline()
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        assert (await program.stderr.read()).decode().endswith("stopped\n")
        assert await program.wait() == 0
        backend.close()

    run(test())


def test_sighup_polls_the_list_service_in_the_new_file(tmp_path: Path) -> None:
    # Guards against a SIGHUP that ends the program, against a poll with the revision of another service, and
    # against a first poll that fails and is repeated only after the usual delay.
    async def test() -> None:
        first, second, old, new = [await ScriptedServer().open() for _ in range(4)]
        listed = target("s", old.address)
        env = write_config(tmp_path, configuration(first.address, listed)) | {"LB_DISCOVERY": first.address}
        program = await asyncio.create_subprocess_exec(*COMMAND, env=env, stderr=asyncio.subprocess.PIPE)
        assert program.stderr is not None
        address = (await program.stderr.readline()).decode().split()[-1]
        poll = await first.requests.get()
        assert "?since=1&" in poll.line
        write_config(tmp_path, configuration(second.address, listed))
        program.send_signal(signal.SIGHUP)
        received = await second.requests.get()
        assert received.line == "GET /registry/instances HTTP/1.1"
        await poll.closed.wait()
        program.send_signal(signal.SIGHUP)  # the same address again: the poll continues
        received.reply(status=503)
        received = await second.requests.get()
        assert received.line == "GET /registry/instances HTTP/1.1"
        received.reply(json.dumps(listing(7, target("t", new.address))).encode())
        assert "?since=7&" in (await second.requests.get()).line
        client = await Client.open(address)
        client.send()
        (await new.requests.get()).reply(b"by the new one")
        assert (await client.reply()).body == b"by the new one"
        write_config(tmp_path, "{")
        program.send_signal(signal.SIGHUP)
        while "reload: " not in (line := (await program.stderr.readline()).decode()):
            assert "going on" not in line and "bug" not in line
        assert (await client.ask("/health/ready", "GET")).status == 200
        program.send_signal(signal.SIGTERM)
        while "stopping" not in (await program.stderr.readline()).decode():
            pass
        write_config(tmp_path, configuration(first.address, listed))
        program.send_signal(signal.SIGHUP)
        assert (await first.requests.get()).line == "GET /registry/instances HTTP/1.1"
        client.close()
        assert "bug" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for server in (first, second, old, new):
            server.close()

    run(test())


@pytest.mark.parametrize("first_content", ["", "{", '{"discovery": ', "missing"])
def test_a_sighup_during_the_replacement_of_the_file_is_followed_once_it_is_whole(
    tmp_path: Path, first_content: str
) -> None:
    async def test() -> None:
        first, second = [await ScriptedServer().open() for _ in range(2)]
        env = write_config(tmp_path, configuration(first.address))
        program = await asyncio.create_subprocess_exec(*COMMAND, env=env, stderr=asyncio.subprocess.PIPE)
        assert program.stderr is not None
        await first.requests.get()
        if first_content == "missing":
            os.unlink(env["LB_CONFIG"])
        else:
            write_config(tmp_path, first_content)
        program.send_signal(signal.SIGHUP)
        while "going on as before" not in (await program.stderr.readline()).decode():
            pass
        # Only the address has to be valid: the rest takes effect with a restart.
        write_config(tmp_path, {"discovery": second.address, "known": "damaged"})
        assert (await second.requests.get()).line == "GET /registry/instances HTTP/1.1"
        program.send_signal(signal.SIGTERM)
        assert "bug" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for server in (first, second):
            server.close()

    run(test())
