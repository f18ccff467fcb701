"""Tests of the simulator's adapter, mostly as a child process: valid, unusual and malformed input."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from flintlatch.adapter import SimulatorHost
from flintlatch.choice import Balancer

INFO: dict[str, Any] = {
    "Balancers": 2,
    "Lanes": [{"AimMs": 300, "HardLimitMs": 900, "Effect": "read_like", "Points": 1, "Odd": [1]}],
    "NewThing": {"x": 1},
}
ENTRY = {"Backend": "10.0.0.1:80", "State": "active", "RackZone": 0, "Rating": 1, "LastStartMs": None}
START = [
    {"what": "Provision", "ProxyId": 3, "Entropy": 7, "Info": INFO},
    {"what": "PeersKnown", "ProxyId": 3, "Rev": 1, "Mode": "SAVED", "Records": [ENTRY]},
]
CALL = {"what": "Incoming", "ProxyId": 3, "Call": "ab", "Lane": 0, "Tenant": 0, "Subject": None,
        "GiveUpAtMs": 900.0, "EffortMs": None, "Bitmap": 0}  # fmt: skip
REPLY = {"what": "Reply", "ProxyId": 3, "Call": "ab", "Leg": 0, "Backend": "10.0.0.1:80", "How": "ok",
         "DelaySeenMs": 9.5, "Finished": True, "ServerStats": {"new": 1}}  # fmt: skip


def run(*lines: str) -> tuple[int, list[dict[str, Any]], str]:
    process = subprocess.run(
        [sys.executable, "-m", "flintlatch.adapter"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        check=False,
    )
    return process.returncode, [json.loads(line) for line in process.stdout.splitlines()], process.stderr


def batch(now: float, *events: dict[str, Any]) -> str:
    return json.dumps({"TsMs": now, "news": events})


def test_the_end_of_input_exits_with_code_zero() -> None:
    assert run() == (0, [], "")


def test_a_request_is_sent_and_empty_batches_are_answered() -> None:
    code, replies, errors = run(batch(0), batch(1, *START, CALL), batch(11, REPLY), batch(12))
    assert (code, errors) == (0, "")
    assert replies[0] == replies[3] == {"cmds": []}
    sends = [c for c in replies[1]["cmds"] if c["what"] == "Deliver"]
    assert [(c["Call"], c["Backend"], c["ProxyId"]) for c in sends] == [("ab", "10.0.0.1:80", 3)]


def test_an_instance_can_exit_and_start_again_in_one_batch() -> None:
    stop = {"what": "Exit", "ProxyId": 3}
    code, replies, errors = run(batch(1, *START, CALL), batch(5, REPLY, stop, *START, CALL | {"Call": "cd"}))
    assert (code, errors) == (0, "")
    assert [c["Call"] for c in replies[1]["cmds"] if c["what"] == "Deliver"] == ["cd"]


def test_an_exception_in_the_module_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise ZeroDivisionError("by a latency of nothing")

    host = SimulatorHost()
    host.handle_batch(batch(1, *START).encode())
    monkeypatch.setattr(Balancer, "step", broken)
    reply = json.loads(host.handle_batch(batch(2, CALL).encode()))
    assert reply["cmds"] == [
        {"what": "GiveIn", "ProxyId": 3, "Msg": "ZeroDivisionError: by a latency of nothing"}
    ]


def test_the_weight_of_a_server_is_read() -> None:
    host = SimulatorHost()
    host.handle_batch(batch(1, START[0], START[1] | {"Records": [ENTRY | {"Rating": 2.5}]}).encode())
    assert [s.weight for s in host.instances[3][0].active] == [2.5]


def without(event: dict[str, Any], member: str) -> dict[str, Any]:
    return {k: v for k, v in event.items() if k != member}


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("{", ["not JSON"]),
        ("[]", ["batch", "object"]),
        (json.dumps({"news": []}), ["TsMs"]),
        (json.dumps({"TsMs": 1, "news": 5}), ["news"]),
        (json.dumps({"TsMs": "soon", "news": []}), ["TsMs"]),
        (batch(2, {"what": "Surprise", "ProxyId": 3}), ["Surprise", "instance 3", "unknown event"]),
        (batch(2, CALL | {"ProxyId": 9}), ["instance 9", "never provisioned"]),
        (batch(2, without(CALL, "ProxyId")), ["ProxyId", "missing"]),
        (batch(2, without(CALL, "what")), ["what", "missing"]),
        (batch(2, CALL | {"Lane": 4}), ["Lane", "instance 3"]),
        (batch(2, CALL | {"GiveUpAtMs": "late"}), ["GiveUpAtMs", "instance 3"]),
        (batch(2, REPLY | {"How": "perhaps"}), ["How", "perhaps", "instance 3"]),
        (batch(2, {"what": "PeersKnown", "ProxyId": 3, "Mode": "ODD", "Records": []}), ["Mode", "ODD"]),
        (batch(2, START[1] | {"Records": [without(ENTRY, "Backend")]}), ["Backend", "missing"]),
        (batch(2, START[0] | {"Info": {"Lanes": []}}), ["no request class", "instance 3"]),
        (batch(2, START[0] | {"Info": {}}), ["Lanes", "missing"]),
    ]
    + [(batch(2, without(CALL, m)), [m, "missing", "instance 3"]) for m in ("Call", "Lane", "GiveUpAtMs")]
    + [(batch(2, without(REPLY, m)), [m, "missing"]) for m in ("Leg", "How", "DelaySeenMs", "Finished")]
    + [(batch(2, {"what": "Ring", "ProxyId": 3}), ["Ref", "missing"])],
)
def test_malformed_input_gets_one_error_line_and_a_failing_exit_code(line: str, expected: list[str]) -> None:
    code, replies, errors = run(batch(1, *START), line)
    assert code != 0
    assert len(replies) == 1  # for the valid batch only
    assert errors.count("\n") == 1 and "Traceback" not in errors
    for text in expected:
        assert text in errors
