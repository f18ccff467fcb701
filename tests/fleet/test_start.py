"""How a fleet starts, or says in one line why not; and what it tells the service manager."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import stat
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from flintlatch.fleet.control import send_control_request
from flintlatch.fleet.notify import Notifier
from flintlatch.standin.notify import NotifySocket
from flintlatch.standin.process import FleetProcess
from flintlatch.standin.rig import Rig, configuration
from tests.fleet.support import daemon, run

TIMEOUT_S = 60.0
STATIC = """
[fleet]
name = "t"
instances = 2
listen = ["{listen}"]
control = "{control}"
[drain]
limit_s = 5
[nodes]
source = "static"
[[nodes.static]]
uid = "a"
address = "127.0.0.1:9"
[[class]]
name = "answer"
aim_ms = 300
deadline_ms = 900
effect = "safe"
"""


def write(folder: Path, listen: str = "127.0.0.1:0", control: str = "c.sock") -> Path:
    path = folder / "fleet.toml"
    path.write_text(STATIC.format(listen=listen, control=control))
    return path


def fleet(path: Path, **more: Any) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "flintlatch", "fleet", str(path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False, **more)


def one_line(done: subprocess.CompletedProcess[str], code: int, words: str) -> None:
    lines = [line for line in done.stderr.splitlines() if ": info: " not in line]
    assert done.returncode == code and len(lines) == 1, done.stderr
    assert words in lines[0]


def test_a_port_that_is_taken(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = write(tmp_path, f"127.0.0.1:{taken.getsockname()[1]}")
        path.write_text(path.read_text() + "[start]\nbind_wait_s = 0.1\n")
        one_line(fleet(path), 1, "Address already in use")
    assert not list(tmp_path.glob("*.sock*"))


def test_a_configuration_that_is_not_there_or_is_none(tmp_path: Path) -> None:
    one_line(fleet(tmp_path / "none.toml"), 2, "none.toml: file: found No such file or directory")
    (tmp_path / "fleet.toml").write_bytes(b"\xff")
    one_line(fleet(tmp_path / "fleet.toml"), 2, "byte 0 that is no UTF-8")


def test_a_control_path_that_is_no_folder_or_taken_by_a_file(tmp_path: Path) -> None:
    one_line(fleet(write(tmp_path, control="none/c.sock")), 1, "c.sock: No such file or directory")
    (tmp_path / "file").write_text("precious")
    one_line(fleet(write(tmp_path, control="file")), 1, "another file is there")
    assert (tmp_path / "file").read_text() == "precious"


def test_too_few_descriptors() -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        done = fleet(
            write(Path(folder)), preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))
        )
    one_line(done, 1, "descriptors: at most 40 allowed")


def test_a_registry_that_is_not_there(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(configuration("127.0.0.1:1", start={"ready_s": 0.6}))
    done = fleet(path)
    assert done.returncode == 1
    assert "error: registry 127.0.0.1:1: no list within 0.6 s: ConnectionRefusedError" in done.stderr
    assert not list(tmp_path.glob("*.sock*"))


def test_a_second_fleet_on_the_same_control_path_is_refused_and_a_dead_ones_path_is_taken(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with daemon(tmp_path, fleet={"instances": 1}) as harness:
            done = await asyncio.to_thread(fleet, harness.rig.config)
            one_line(done, 1, "a fleet runs there already")
            await harness.pids_now()
            os.kill(harness.fleet.process.pid, signal.SIGKILL)
            await harness.fleet.process.wait()
            assert (tmp_path / "c.sock").exists()
            again = await (await FleetProcess(harness.rig.config).start()).ready()
            assert (await again.status())["pid"] == again.process.pid
            assert await again.stop() == 0
            assert not (tmp_path / "c.sock").exists()

    run(test())


def test_the_control_socket_is_private_and_understands_only_its_commands(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, fleet={"instances": 1}):
            path = str(tmp_path / "c.sock")
            assert stat.S_IMODE(os.lstat(path).st_mode) == 0o600
            assert not list(tmp_path.glob("c.sock.*"))
            answer = await asyncio.to_thread(send_control_request, path, {"do": "dance"})
            assert answer == {
                "ok": False,
                "reason": "expected 'do' to be one of status, reload, upgrade, stop, nodes, confirm, "
                "peers, note, limits, verdicts",
            }
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(b"not json\n")
            assert b"expected a JSON object" in await reader.readline()
            writer.write(b"x" * 200_000)  # no line within the bound: the call ends, the fleet goes on
            assert await reader.read() == b""
            writer.close()
            status = await asyncio.to_thread(send_control_request, path, {"do": "status"})
            (one,) = status["instances"]
            assert (one["state"], one["in_flight"], one["number"]) == ("serving", 0, 0)
            assert status["generations"][0]["nodes"]["count"] == 3

    run(test())


def test_the_service_manager_hears_of_each_step(tmp_path: Path) -> None:
    async def test() -> None:
        manager = NotifySocket(str(tmp_path / "notify"))
        env = {"NOTIFY_SOCKET": manager.path, "WATCHDOG_USEC": "400000"}
        rig = await Rig(tmp_path, 1).open(1)
        fleet = FleetProcess(rig.write(fleet={"instances": 2}), env)
        try:
            await fleet.start()
            place = await manager.wait_for("READY", "1")
            ready = manager.messages[place - 1]
            assert ready["MAINPID"] == str(fleet.process.pid)
            assert ready["STATUS"] == "generation 1: 2 of 2 instances serve"
            await manager.wait_for("WATCHDOG", "1", await manager.wait_for("WATCHDOG", "1"))
            fleet.signal(signal.SIGHUP)
            place = await manager.wait_for("RELOADING", "1", place)
            assert int(manager.messages[place - 1]["MONOTONIC_USEC"]) > 0
            place = await manager.wait_for("READY", "1", place)
            assert manager.messages[place - 1]["STATUS"] == "generation 2: 2 of 2 instances serve"
            answer = await fleet.ask("upgrade")
            place = await manager.wait_for("MAINPID", str(answer["pid"]), place)
            assert await fleet.process.wait() == 0
            # The predecessor's end is not the service's.
            assert not any("STOPPING" in message for message in manager.messages)
            os.kill(answer["pid"], signal.SIGTERM)
            await manager.wait_for("STOPPING", "1", place)
            await fleet.said("(end of the log)")
        finally:
            await fleet.close()
            rig.close()
            manager.close()

    run(test())


def test_an_abstract_notify_socket_and_a_manager_that_is_gone() -> None:
    name = f"flintlatch-test-{os.getpid()}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind("\0" + name)
        Notifier({"NOTIFY_SOCKET": "@" + name}, 1).status("fine")
        assert manager.recv(100) == b"STATUS=fine"
    Notifier({"NOTIFY_SOCKET": "@" + name}, 1).status("nobody hears")
    assert Notifier({"WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "2"}, 1).watchdog_s == 0


def activated_start(path: Path, sock: socket.socket) -> subprocess.Popen[str]:
    """As a service manager does it: the socket at descriptor 3, and the new process's own id."""
    code = (
        "import os, sys; fd = int(sys.argv[1]); os.dup2(fd, 3); os.set_inheritable(3, True);"
        "os.environ.update(LISTEN_PID=str(os.getpid()), LISTEN_FDS='1');"
        "os.execv(sys.executable, [sys.executable, '-m', 'flintlatch', 'fleet', sys.argv[2]])"
    )
    command = [sys.executable, "-c", code, str(sock.fileno()), str(path)]
    return subprocess.Popen(command, pass_fds=[sock.fileno()], stderr=subprocess.PIPE, text=True)


def test_sockets_from_the_service_manager_are_used_and_keep_what_waits(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = sock.getsockname()
        early = socket.create_connection(address)  # before anybody accepts
        early.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        process = activated_start(write(tmp_path, f"127.0.0.1:{address[1]}"), sock)
        early.settimeout(TIMEOUT_S)
        assert early.recv(100).startswith(b"HTTP/1.1 200 ")
        early.close()
        process.terminate()
        assert process.wait(TIMEOUT_S) == 0
        assert process.stderr is not None
        process.stderr.close()


def test_a_socket_that_the_configuration_does_not_name_is_refused(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        process = activated_start(write(tmp_path), sock)
        _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 1 and "is not among the addresses in fleet.listen" in errors


@pytest.mark.parametrize("arguments", [["--help"], ["fleet", "--help"], ["standin", "node", "--help"]])
def test_help_is_there(arguments: list[str]) -> None:
    command = [sys.executable, "-m", "flintlatch", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    assert done.returncode == 0 and done.stdout.startswith("usage: flintlatch")


def test_without_its_extra_it_says_what_to_install() -> None:
    code = (
        "import sys; sys.modules['structlog'] = None; from flintlatch.cli import main; main(['fleet', 'f'])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert done.stderr == (
        "flintlatch fleet: error: structlog is not installed; expected pip install flintlatch[fleet]\n"
    )
