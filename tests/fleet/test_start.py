"""Start of a fleet, its errors at startup, the control socket, and the protocols of the service manager."""

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
STATIC_CONFIG = """
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


def write_config(folder: Path, listen: str = "127.0.0.1:0", control: str = "c.sock") -> Path:
    path = folder / "fleet.toml"
    path.write_text(STATIC_CONFIG.format(listen=listen, control=control))
    return path


def run_fleet(path: Path, **options: Any) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "flintlatch", "fleet", str(path)]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False, **options)


def assert_single_error(
    completed: subprocess.CompletedProcess[str], exit_code: int, expected_text: str
) -> None:
    lines = [line for line in completed.stderr.splitlines() if ": info: " not in line]
    assert completed.returncode == exit_code and len(lines) == 1, completed.stderr
    assert expected_text in lines[0]


def test_start_fails_if_the_port_is_in_use(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = write_config(tmp_path, f"127.0.0.1:{taken.getsockname()[1]}")
        path.write_text(path.read_text() + "[start]\nbind_wait_s = 0.1\n")
        assert_single_error(run_fleet(path), 1, "Address already in use")
    assert not list(tmp_path.glob("*.sock*"))


def test_start_fails_without_a_readable_configuration(tmp_path: Path) -> None:
    assert_single_error(
        run_fleet(tmp_path / "none.toml"), 2, "none.toml: file: found No such file or directory"
    )
    (tmp_path / "fleet.toml").write_bytes(b"\xff")
    assert_single_error(run_fleet(tmp_path / "fleet.toml"), 2, "byte 0 that is no UTF-8")


def test_start_fails_if_the_control_path_is_not_usable(tmp_path: Path) -> None:
    assert_single_error(
        run_fleet(write_config(tmp_path, control="none/c.sock")), 1, "c.sock: No such file or directory"
    )
    (tmp_path / "file").write_text("precious")
    assert_single_error(
        run_fleet(write_config(tmp_path, control="file")), 1, "file: the path exists and is not a socket"
    )
    assert (tmp_path / "file").read_text() == "precious"


def test_start_fails_with_too_few_file_descriptors() -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        completed = run_fleet(
            write_config(Path(folder)),
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
        )
    assert_single_error(completed, 1, "descriptors: at most 40 allowed")


def test_start_fails_if_the_registry_is_not_reachable(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(configuration("127.0.0.1:1", start={"ready_s": 0.6}))
    completed = run_fleet(path)
    assert completed.returncode == 1
    assert "error: registry 127.0.0.1:1: no list within 0.6 s: ConnectionRefusedError" in completed.stderr
    assert not list(tmp_path.glob("*.sock*"))


def test_control_path_of_a_running_fleet_is_refused_and_that_of_a_dead_one_reused(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with daemon(tmp_path, fleet={"instances": 1}) as harness:
            completed = await asyncio.to_thread(run_fleet, harness.rig.config)
            assert_single_error(completed, 1, "a fleet runs there already")
            await harness.pids_now()
            os.kill(harness.fleet.process.pid, signal.SIGKILL)
            await harness.fleet.process.wait()
            assert (tmp_path / "c.sock").exists()
            successor = await (await FleetProcess(harness.rig.config).start()).ready()
            assert (await successor.status())["pid"] == successor.process.pid
            assert await successor.stop() == 0
            assert not (tmp_path / "c.sock").exists()

    run(test())


def test_control_socket_is_private_and_rejects_unknown_or_malformed_requests(tmp_path: Path) -> None:
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
            writer.write(
                b"x" * 200_000
            )  # a line that is too long: the connection is closed, the fleet serves on
            assert await reader.read() == b""
            writer.close()
            status = await asyncio.to_thread(send_control_request, path, {"do": "status"})
            (instance,) = status["instances"]
            assert (instance["state"], instance["in_flight"], instance["number"]) == ("serving", 0, 0)
            assert status["generations"][0]["nodes"]["count"] == 3

    run(test())


def test_service_manager_is_notified_of_each_state_change(tmp_path: Path) -> None:
    async def test() -> None:
        manager = NotifySocket(str(tmp_path / "notify"))
        env = {"NOTIFY_SOCKET": manager.path, "WATCHDOG_USEC": "400000"}
        rig = await Rig(tmp_path, 1).open(1)
        fleet = FleetProcess(rig.write(fleet={"instances": 2}), env)
        try:
            await fleet.start()
            position = await manager.wait_for("READY", "1")
            ready = manager.messages[position - 1]
            assert ready["MAINPID"] == str(fleet.process.pid)
            assert ready["STATUS"] == "generation 1: 2 of 2 instances serve"
            await manager.wait_for("WATCHDOG", "1", await manager.wait_for("WATCHDOG", "1"))
            fleet.signal(signal.SIGHUP)
            position = await manager.wait_for("RELOADING", "1", position)
            assert int(manager.messages[position - 1]["MONOTONIC_USEC"]) > 0
            position = await manager.wait_for("READY", "1", position)
            assert manager.messages[position - 1]["STATUS"] == "generation 2: 2 of 2 instances serve"
            answer = await fleet.ask("upgrade")
            position = await manager.wait_for("MAINPID", str(answer["pid"]), position)
            assert await fleet.process.wait() == 0
            # The predecessor's exit is not the end of the service.
            assert not any("STOPPING" in message for message in manager.messages)
            os.kill(answer["pid"], signal.SIGTERM)
            await manager.wait_for("STOPPING", "1", position)
            await fleet.wait_for_log("(end of the log)")
        finally:
            await fleet.close()
            rig.close()
            manager.close()

    run(test())


def test_notifications_to_an_abstract_socket_and_to_a_missing_manager() -> None:
    name = f"flintlatch-test-{os.getpid()}"
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as manager:
        manager.bind("\0" + name)
        Notifier({"NOTIFY_SOCKET": "@" + name}, 1).status("fine")
        assert manager.recv(100) == b"STATUS=fine"
    Notifier({"NOTIFY_SOCKET": "@" + name}, 1).status("no receiver")
    assert Notifier({"WATCHDOG_USEC": "1000000", "WATCHDOG_PID": "2"}, 1).watchdog_s == 0


def start_activated(path: Path, sock: socket.socket) -> subprocess.Popen[str]:
    """Starts a fleet by socket activation: the socket at descriptor 3, LISTEN_PID the id of the new
    process."""
    code = (
        "import os, sys; fd = int(sys.argv[1]); os.dup2(fd, 3); os.set_inheritable(3, True);"
        "os.environ.update(LISTEN_PID=str(os.getpid()), LISTEN_FDS='1');"
        "os.execv(sys.executable, [sys.executable, '-m', 'flintlatch', 'fleet', sys.argv[2]])"
    )
    command = [sys.executable, "-c", code, str(sock.fileno()), str(path)]
    return subprocess.Popen(command, pass_fds=[sock.fileno()], stderr=subprocess.PIPE, text=True)


def test_sockets_of_the_service_manager_are_used_with_their_accept_queue(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = sock.getsockname()
        early = socket.create_connection(address)  # before any process accepts
        early.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        process = start_activated(write_config(tmp_path, f"127.0.0.1:{address[1]}"), sock)
        early.settimeout(TIMEOUT_S)
        assert early.recv(100).startswith(b"HTTP/1.1 200 ")
        early.close()
        process.terminate()
        assert process.wait(TIMEOUT_S) == 0
        assert process.stderr is not None
        process.stderr.close()


def test_activated_socket_that_is_not_configured_is_refused(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        process = start_activated(write_config(tmp_path), sock)
        _, errors = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 1 and "is not among the addresses in fleet.listen" in errors


@pytest.mark.parametrize("arguments", [["--help"], ["fleet", "--help"], ["standin", "node", "--help"]])
def test_help_is_printed(arguments: list[str]) -> None:
    command = [sys.executable, "-m", "flintlatch", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    assert completed.returncode == 0 and completed.stdout.startswith("usage: flintlatch")


def test_missing_dependencies_are_named_with_the_install_command() -> None:
    code = (
        "import sys; sys.modules['structlog'] = None; from flintlatch.cli import main; main(['fleet', 'f'])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=True
    )
    assert completed.stderr == (
        "flintlatch fleet: error: structlog is not installed; expected pip install flintlatch[fleet]\n"
    )
