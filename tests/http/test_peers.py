"""Interoperability with aiohttp and httpx as client and node, and with the curl command."""

from __future__ import annotations

import asyncio
import hashlib
import shutil
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import httpx
import pytest
from aiohttp import web

from flintlatch.standin.bulk import PATTERN, digest
from tests.fleet.support import TEST_TIMEOUT_S, daemon, run

MIB = 1024 * 1024
HTTP: dict[str, Any] = {"safe_class": "answer", "other_class": "grade", "idle_s": 5.0}
SIZE = 5 * MIB + 17
SLOW_S = 1.2  # more than twice the latency target of "grade", 500 ms


async def upload(request: web.Request) -> web.Response:
    hasher, byte_count = hashlib.sha256(), 0
    async for data in request.content.iter_any():
        hasher.update(data)
        byte_count += len(data)
    return web.json_response({"bytes": byte_count, "sha256": hasher.hexdigest()})


async def export(request: web.Request) -> web.StreamResponse:
    size = int(request.match_info["size"])
    response = web.StreamResponse()
    if "length" in request.query:
        response.content_length = size
    await response.prepare(request)
    for position in range(0, size, len(PATTERN)):
        await response.write(PATTERN[: min(len(PATTERN), size - position)])
    return response


async def echo_head(request: web.Request) -> web.Response:
    return web.json_response(
        {"method": request.method, "path": request.path_qs, "headers": dict(request.headers)}
    )


@asynccontextmanager
async def fleet_before_aiohttp(folder: Path, instances: int = 2) -> AsyncIterator[str]:
    """Runs a fleet before one aiohttp node and yields its URL."""
    app = web.Application(client_max_size=64 * MIB)
    app.router.add_route("*", "/upload", upload)
    app.router.add_get("/export/{size}", export)
    app.router.add_route("*", "/{rest:.*}", echo_head)
    runner = web.AppRunner(app)
    await runner.setup()
    listener = web.TCPSite(runner, "127.0.0.1", 0)
    await listener.start()
    port = runner.addresses[0][1]
    async with daemon(folder, 1) as made:
        made.rig.registry.drop(made.rig.nodes[0])
        made.rig.registry.put("aiohttp", f"127.0.0.1:{port}", "active")
        made.rig.write(fleet={"instances": instances}, http=HTTP)
        assert (await made.fleet.ask("reload"))["ok"]
        yield f"http://{made.fleet.address}"
    await runner.cleanup()


async def slow_body(size: int, seconds: float) -> AsyncIterator[bytes]:
    steps = 12
    for step in range(steps):
        yield body(size)[size * step // steps : size * (step + 1) // steps]
        await asyncio.sleep(seconds / steps)


def body(size: int) -> bytes:
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


def test_httpx_and_aiohttp_clients_with_an_aiohttp_node(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet_before_aiohttp(tmp_path) as url:
            async with httpx.AsyncClient(base_url=url, timeout=TEST_TIMEOUT_S) as client:
                for content in (body(SIZE), slow_body(100_000, SLOW_S)):
                    reply = await client.put("/upload", content=content)
                    size = SIZE if isinstance(content, bytes) else 100_000
                    assert (reply.status_code, reply.json()["sha256"]) == (200, digest(size))
                for query in ("", "?length"):
                    reply = await client.get(f"/export/{SIZE}{query}")
                    assert hashlib.sha256(reply.content).hexdigest() == digest(SIZE)
                seen = (await client.get("/a%20b?c=%2F", headers={"X-Mine": "1"})).json()
                assert (seen["method"], seen["path"]) == ("GET", "/a%20b?c=%2F")
                assert "flintlatch" in seen["headers"]["Via"]
            async with aiohttp.ClientSession(url) as session:
                async with session.post("/upload", data=slow_body(100_000, SLOW_S)) as response:
                    assert (response.status, (await response.json())["sha256"]) == (200, digest(100_000))
                async with session.put("/upload", data=body(SIZE), expect100=True) as response:
                    assert (response.status, (await response.json())["bytes"]) == (200, SIZE)
                async with session.get(f"/export/{SIZE}") as response:
                    hasher = hashlib.sha256()
                    async for data in response.content.iter_any():
                        hasher.update(data)
                    assert hasher.hexdigest() == digest(SIZE)
                async with session.head("/x") as response:
                    assert response.status == 200 and not await response.read()
                replies = await asyncio.gather(
                    *(session.post("/upload", data=slow_body(50_000, SLOW_S)) for _ in range(20))
                )
                assert [response.status for response in replies] == [200] * 20

    run(test())


@pytest.mark.skipif(shutil.which("curl") is None, reason="no curl on this machine")
def test_curl(tmp_path: Path) -> None:
    async def curl(*arguments: str) -> str:
        process = await asyncio.create_subprocess_exec(
            "curl", "-sS", "--max-time", str(TEST_TIMEOUT_S), *arguments, stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        assert process.returncode == 0
        return out.decode()

    async def test() -> None:
        source, got = tmp_path / "up", tmp_path / "down"
        source.write_bytes(body(SIZE))
        folder = tmp_path / "site"
        folder.mkdir()
        async with fleet_before_aiohttp(folder) as url:
            for options in (
                (),
                ("-H", "Transfer-Encoding: chunked"),
                ("-H", "Expect: 100-continue"),
                ("--http1.0",),
            ):
                assert digest(SIZE) in await curl("-T", str(source), *options, f"{url}/upload")
            small = tmp_path / "small"
            small.write_bytes(body(60_000))
            # Takes about 1.5 s because of curl's rate limit.
            assert digest(60_000) in await curl("-T", str(small), "--limit-rate", "40000", f"{url}/upload")
            for options in ((), ("--http1.0",)):
                await curl("-o", str(got), *options, f"{url}/export/{SIZE}")
                assert hashlib.sha256(got.read_bytes()).hexdigest() == digest(SIZE)
            assert "200" in await curl("-I", f"{url}/x")

    run(test())
