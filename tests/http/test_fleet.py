"""Ordinary HTTP through a real fleet: configuration, streaming, and draining by a reload."""

from __future__ import annotations

import asyncio
import hashlib
from pathlib import Path

import httpx
import pytest

from flintlatch.config import InvalidConfig, parse
from flintlatch.http.build import routing_rules
from flintlatch.http.head import read_request_head
from flintlatch.standin.rig import configuration
from tests.fleet.support import TEST_TIMEOUT_S, daemon, run
from tests.http.support import ScriptedNode, read_head

HTTP = {"safe_class": "answer", "other_class": "grade", "idle_s": 20.0}
RULE = '\n[[http.rule]]\nclass = "purchase"\npath = "/buy/*"\nmethods = ["POST"]\n'


def test_http_table_is_read_and_its_errors_name_the_key() -> None:
    config = parse(configuration("127.0.0.1:1", http=HTTP) + RULE, "f.toml")
    assert config.http is not None
    rules = routing_rules(config, config.http, 7)
    head = read_request_head(b"POST /buy/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n\r\n")
    assert (rules.routing_of(head).cls, rules.routing_of(head).id) == (1, "7-2")
    for change, message in (
        ({"safe_class": "none"}, "http.safe_class: found 'none', expected one of \"answer\""),
        ({"trusted": ["10.0.0.1/8"]}, "http.trusted[0]: found '10.0.0.1/8'"),
        ({"colour": 1}, "http.colour: found 1, expected no such key"),
        ({"upload_bytes": 3}, "http.upload_bytes: found 3"),
    ):
        with pytest.raises(InvalidConfig, match="f.toml") as caught:
            parse(configuration("127.0.0.1:1", http=HTTP | change), "f.toml")
        assert message in str(caught.value)
    with pytest.raises(InvalidConfig, match="no request is served"):
        parse(configuration("127.0.0.1:1", http={}), "f.toml")
    with pytest.raises(
        InvalidConfig, match='http.rule.0..path: found .buy.*expected a path that starts with "/"'
    ):
        parse(configuration("127.0.0.1:1", http=HTTP) + RULE.replace("/buy/*", "buy"), "f.toml")


def test_transfer_completes_while_a_reload_changes_the_generation(tmp_path: Path) -> None:
    block, blocks, reloaded = b"0123456789abcdef" * 4096, 160, asyncio.Event()

    async def node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_line, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            if not request_line.startswith("GET /export"):
                writer.write(b"HTTP/1.1 201 Made\r\nContent-Length: 4\r\n\r\nmade")
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for number in range(blocks):
                if number == blocks // 2:
                    await reloaded.wait()
                writer.write(b"%x\r\n%b\r\n" % (len(block), block))
                await writer.drain()
            writer.write(b"0\r\n\r\n")

    async def test() -> None:
        async with daemon(tmp_path, 1, fleet={"instances": 2}) as made:
            scripted = await ScriptedNode(node).open()
            made.rig.registry.drop(made.rig.nodes[0])
            made.rig.registry.put("n", f"127.0.0.1:{scripted.port}", "active")
            made.rig.write(fleet={"instances": 2}, http=HTTP)
            assert (await made.fleet.ask("reload"))["ok"]
            url = f"http://{made.fleet.address}"
            async with httpx.AsyncClient(base_url=url, timeout=TEST_TIMEOUT_S) as client:
                reply = await client.put("/deck/7", content=b"x" * 300_000)
                assert (reply.status_code, reply.content) == (201, b"made")
                digest, received_bytes = hashlib.sha256(), 0
                async with client.stream("GET", "/export") as response:
                    assert response.status_code == 200
                    async for data in response.aiter_bytes():
                        digest.update(data)
                        received_bytes += len(data)
                        if not reloaded.is_set():
                            assert (await made.fleet.ask("reload"))["ok"]
                            reloaded.set()
                assert received_bytes == blocks * len(block)
                assert digest.digest() == hashlib.sha256(block * blocks).digest()
            scripted.close()

    run(test())
