"""The access log of a real fleet: one record per request, from any instance and any front end."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import httpx
import pytest

from flintlatch.config import InvalidConfig, parse
from flintlatch.standin.rig import configuration
from tests.fleet.support import TEST_TIMEOUT_S, daemon, run

LOG = {"file": "access.jsonl", "paths": "path"}
HTTP = {"safe_class": "answer", "other_class": "grade"}


def records(folder: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in (folder / "access.jsonl").read_text().splitlines()]


def test_every_request_of_a_fleet_is_logged_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, 2, fleet={"instances": 3}, http=HTTP, access_log=LOG) as made:
            url = f"http://{made.fleet.address}"
            async with httpx.AsyncClient(base_url=url, timeout=TEST_TIMEOUT_S) as client:
                for number in range(40):
                    headers = {"x-call-id": f"r{number}", "connection": "close"}
                    assert (await client.get(f"/answer/{number}?token=t", headers=headers)).status_code == 200
                assert (await client.request("TRACE", "/a")).status_code == 405
            assert await made.fleet.stop() == 0
            lines = records(tmp_path)
            served = {line["id"]: line for line in lines if line["id"]}
            assert sorted(served) == sorted(f"r{n}" for n in range(40)) and len(lines) == 41
            for number in range(40):
                line = served[f"r{number}"]
                assert (line["status"], line["class"], line["method"]) == (200, "answer", "GET")
                assert line["path"] == f"/answer/{number}" and line["ended"] == "answered"
                assert [attempt["result"] for attempt in line["attempts"]] == ["ok"]
                assert 0 <= line["attempts"][0]["sent_ms"] <= line["first_ms"] <= line["total_ms"]
            (rejected,) = (line for line in lines if not line["id"])
            assert (rejected["status"], rejected["ended"], rejected["method"]) == (405, "TRACE", "TRACE")

    run(test())


def test_request_of_the_platforms_protocol_is_logged(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, 1, fleet={"instances": 1}, access_log=LOG) as made:
            host, _, port = made.fleet.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"GET /answer/7 HTTP/1.1\r\nHost: x\r\nX-Budget-Ms: 900\r\nX-Call-Id: one\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            assert (await made.fleet.status())["instances"][0]["access_log"] is not None
            assert await made.fleet.stop() == 0
            (line,) = records(tmp_path)
            assert (line["id"], line["status"], line["path"], line["class"]) == (
                "one",
                200,
                "/answer/7",
                "answer",
            )
            assert len(line["attempts"]) == 1 and line["attempts"][0]["ran"]

    run(test())


def test_access_log_table_is_validated() -> None:
    with pytest.raises(InvalidConfig) as caught:
        parse(configuration("127.0.0.1:1", access_log={"paths": "some"}), "f.toml")
    assert "access_log.file" in str(caught.value)
    assert "access_log.paths: found 'some'" in str(caught.value)
