"""The commands `origin`, `relay` and `follow`: their configuration, their output and their exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop

from flintlatch.cli import main
from flintlatch.config import InvalidConfig
from flintlatch.config.delivery import load_follower, load_origin, load_relay
from flintlatch.delivery.model import RELAY_RULES, Participant, Rules
from flintlatch.standin.delivery import delivery_deployment

KEY = "ab" * 32
ORIGIN = '[delivery]\nname = "o"\nbind = "127.0.0.1:0"\nkey_file = "key"\nsource = "objects.json"\n'
RELAY = '[delivery]\nname = "r0"\nbind = "127.0.0.1:0"\nkey_file = "key"\norigin = "10.0.0.2:7950"\n'
FOLLOW = '[delivery]\nname = "p0"\nkey_file = "key"\nnames = ["a"]\n'
ROW = '[[delivery.relays]]\nname = "r0"\naddress = "10.0.0.3:7950"\nregion = "eu"\nzone = "z"\n'
LOADERS: dict[str, Any] = {"origin": load_origin, "relay": load_relay, "follow": load_follower}


def write(folder: Path, text: str, key: str = KEY) -> str:
    (folder / "key").write_text(key)
    path = folder / "d.toml"
    path.write_text(text)
    return str(path)


def test_valid_configurations_are_loaded(tmp_path: Path) -> None:
    origin = load_origin(write(tmp_path, ORIGIN + "keep = 'k'\n"))
    assert origin.common.identity == Participant("o") and origin.common.keys == (bytes.fromhex(KEY),)
    assert (origin.source_path, origin.state_path) == (str(tmp_path / "objects.json"), str(tmp_path / "k"))
    assert load_origin(write(tmp_path, ORIGIN)).state_path == str(tmp_path / "objects.json.kept")
    relay = load_relay(
        write(tmp_path, RELAY + 'region = "eu"\n[delivery.rules]\nping_s = 0.5\nburst_bytes = 1e6')
    )
    assert (
        relay.origin == Participant("origin", address="10.0.0.2:7950")
        and relay.common.identity.region == "eu"
    )
    assert (relay.common.rules.ping_s, relay.common.rules.burst_bytes) == (0.5, 1e6)
    assert (relay.common.upstream_rules.ping_s, relay.common.upstream_rules.burst_bytes) == (
        0.5,
        RELAY_RULES.burst_bytes,
    )
    follow = load_follower(write(tmp_path, FOLLOW + ROW))
    assert follow.relays == (Participant("r0", "eu", "z", "10.0.0.3:7950"),) and follow.names == ("a",)
    assert follow.common.rules == Rules() and follow.source_host == ""
    assert load_follower(write(tmp_path, FOLLOW + ROW), ("x", "y")).names == ("x", "y")


@pytest.mark.parametrize(
    ("command", "text", "words"),
    [
        ("origin", "", "delivery.bind: missing"),
        ("origin", ORIGIN.replace('source = "objects.json"', ""), "delivery.source: missing"),
        ("origin", ORIGIN.replace("127.0.0.1:0", "here"), "delivery.bind: found 'here'"),
        ("origin", ORIGIN + "pace = 3", "delivery.pace: found 3, expected no such key"),
        ("origin", ORIGIN + "[other]", "other: found a table, expected no such key"),
        ("origin", ORIGIN.replace('"key"', '"none"'), "none: No such file"),
        ("relay", RELAY.replace(":7950", ":0"), "delivery.origin: found '10.0.0.2:0', expected a port"),
        ("relay", RELAY + 'source_host = "x"', "delivery.source_host: found 'x', expected an IP address"),
        (
            "relay",
            RELAY + "[delivery.rules]\nping_s = 0",
            "delivery.rules.ping_s: found 0, expected a number",
        ),
        ("relay", RELAY + "[delivery.rules]\nwindow_bytes = 1024", "rules.window_bytes: found 1024"),
        (
            "relay",
            RELAY + "[delivery.rules]\nwindow_bytes = 500000",
            "burst_bytes: found 300000, expected at",
        ),
        ("relay", RELAY + "[delivery.rules]\nretry_first_s = 9", "retry_most_s: found 4, expected at least"),
        ("relay", RELAY + "[delivery.rules]\ngather = 1", "delivery.rules.gather: found 1, expected no such"),
        ("follow", FOLLOW, "delivery.relays: missing"),
        ("follow", FOLLOW + ROW + ROW, "relays.name: found 'r0', expected each name once"),
        ("follow", FOLLOW.replace('["a"]', "[]") + ROW, "delivery.names: missing"),
        ("follow", FOLLOW.replace('["a"]', '["a", "a"]') + ROW, "delivery.names[0]: found 'a'"),
        ("follow", FOLLOW.replace('["a"]', "[3]") + ROW, "delivery.names[0]: found 3"),
        ("follow", FOLLOW + ROW + "[delivery.rules]\nmost_names = 0", "rules.most_names: found 0"),
        ("follow", "[delivery", "file: found"),
    ],
)
def test_configuration_errors_name_file_table_and_key(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], command: str, text: str, words: str
) -> None:
    path = write(tmp_path, text)
    with pytest.raises(InvalidConfig) as caught:
        LOADERS[command](path)
    assert all(str(problem).startswith(f"{path}: ") for problem in caught.value.problems)
    assert words in str(caught.value)
    assert main([command, path]) == 2
    assert words in capsys.readouterr().err


def test_too_many_names_and_invalid_keys_are_rejected(tmp_path: Path) -> None:
    rules = "[delivery.rules]\nmost_names = 2"
    with pytest.raises(InvalidConfig, match="3 names, expected at most rules.most_names, 2"):
        load_follower(write(tmp_path, FOLLOW.replace('["a"]', '["a", "b", "c"]') + ROW + rules))
    secret = "not a key at all"
    with pytest.raises(InvalidConfig, match="line 1: expected 64 hexadecimal digits") as caught:
        load_relay(write(tmp_path, RELAY, secret))
    assert secret not in str(caught.value)


def test_a_missing_package_is_reported(tmp_path: Path) -> None:
    path = write(tmp_path, ORIGIN)
    hide_package = "import sys; sys.modules['msgspec'] = None; from flintlatch.cli import main; "
    code = hide_package + f"sys.exit(main(['origin', {path!r}]))"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30, check=False
    )
    assert done.returncode == 1
    expected = "msgspec is not installed; expected pip install flintlatch[peers]"
    assert done.stderr == f"flintlatch origin: error: {expected}\n"


def test_delivery_is_imported_only_by_its_commands() -> None:
    """Neither the single-process program nor the command line's help imports it: the platform on which the
    program runs does not have the packages that delivery needs."""
    code = (
        "import sys, runpy\n"
        "sys.argv = ['flintlatch']\n"
        "try: runpy.run_module('flintlatch', run_name='__main__')\n"
        "except SystemExit: pass\n"
        "import flintlatch.cli; flintlatch.cli.build_parser().format_help()\n"
        "print(*[m for m in sys.modules if 'delivery' in m or m in ('msgspec', 'cryptography')])\n"
    )
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30, check=False, env=env
    )
    assert done.stdout == "\n"


def test_an_address_in_use_ends_the_process_with_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = write(tmp_path, RELAY.replace("127.0.0.1:0", f"127.0.0.1:{port}"))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "flintlatch", "relay", path, stderr=asyncio.subprocess.PIPE
        )
        _, log = await process.communicate()
        assert process.returncode == 1
        assert log.decode() == f"flintlatch relay r0: delivery 127.0.0.1:{port}: Address already in use\n"
        server.close()

    uvloop.run(asyncio.wait_for(test(), 30))


async def follow_command(config: Path, *more: str) -> tuple[int | None, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "flintlatch", "follow", str(config), *more,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    out, log = await process.communicate()
    return process.returncode, out.decode(), log.decode()


def test_follow_prints_the_state_its_age_and_the_bounds(tmp_path: Path) -> None:
    async def test() -> None:
        async with delivery_deployment(
            tmp_path, zones=("a",), relays=1, followers=1, services=2
        ) as deployment:
            config = tmp_path / "p0.toml"
            code, out, log = await follow_command(config, "s1", "none", "--once")
            assert (code, log) == (0, "")
            first, second, *rest = out.splitlines()
            assert first.startswith("revision ") and first.endswith(" s old, from r0")
            assert second.startswith("s1: 20 items, ") and rest[0] == '  i0 = {"weight":0}'
            code, out, _ = await follow_command(config, "--once", "--json")
            row = json.loads(out)
            assert row["objects"] == deployment.objects and row["ready"] and row["what"] == "held"

            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "flintlatch", "follow", str(config), "mark",
                stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            assert process.stdout is not None
            rules = deployment.rules
            bounds = (await process.stdout.readline()).decode()
            assert bounds.startswith("bounds: a change is here within 0.6 s, ")
            assert f"at most {Rules().max_bytes_per_minute():,.0f} bytes in a minute" in bounds and rules
            assert "mark: 1 items put, 0 removed" in (await process.stdout.readline()).decode()
            await deployment.commit("s0")
            assert "mark: 1 items put, 0 removed" in (await process.stdout.readline()).decode()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

            for name, words in (("r0", " at origin, at most "), ("origin", "; 1 subscribers, 0 of them")):
                child = deployment.children[name]
                start = len(child.log)
                child.process.send_signal(signal.SIGUSR1)
                status = child.log[await child.wait_for_log("revision ", start) - 1]
                assert words in status and "3 objects" in status and "0 foreign" in status
            await deployment.kill("r0")
            code, out, log = await follow_command(config, "--once")
            assert (code, out) == (1, "") and "no relay has answered for all names within 10 s" in log

    uvloop.run(asyncio.wait_for(test(), 90))
