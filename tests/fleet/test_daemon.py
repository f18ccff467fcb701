"""Reloads, crashes, hangs, stops and upgrades of a real fleet on loopback, with requests in flight."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from random import Random
from typing import Any

import pytest

from flintlatch.fleet.control import send_control_request
from flintlatch.net.clock import now_ms
from flintlatch.net.connections import REQUEST_READ_TIMEOUT_S
from flintlatch.standin.client import Prober
from flintlatch.standin.node import Shape
from flintlatch.standin.process import FleetProcess, alive, remote_ports
from flintlatch.standin.rig import MIX
from tests.fleet.support import Daemon, HeldCalls, daemon, none_left, run
from tests.loopback import Client

SMALL: dict[str, Any] = {"fleet": {"instances": 2}}


def test_reload_during_an_open_request_lets_it_finish_on_the_old_generation(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            held_calls = HeldCalls(*harness.rig.nodes)
            request = harness.clients.ask("exam")
            call = await held_calls.calls.get()
            old_pids = await harness.pids_now()
            first, second = await asyncio.gather(harness.fleet.ask("reload"), harness.fleet.ask("reload"))
            assert first["ok"] and second["ok"]
            status = await harness.fleet.status()
            states = {g["generation"]: g["state"] for g in status["generations"]}
            assert states[first["generation"]] in ("ending", "current") and 1 in states
            assert request.answers == 0 and any(map(alive, old_pids))
            later_request = harness.clients.ask("answer")  # served by the new generation
            while not later_request.answers:
                await asyncio.sleep(0.01)
            call.reply(200, b"done")
            await harness.clients.all_answered.wait()
            assert request.status == 200
            await none_left(set(old_pids))
            harness.assert_rules_kept()

    run(test())


def test_reload_during_a_stop_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            held_calls = HeldCalls(*harness.rig.nodes)
            request = harness.clients.ask("exam")
            call = await held_calls.calls.get()
            await harness.pids_now()
            harness.fleet.signal(signal.SIGTERM)
            await harness.fleet.wait_for_log("stopping")
            answer = await harness.fleet.ask("reload")
            assert (answer["ok"], answer["reason"]) == (False, "the fleet is stopping")
            harness.fleet.signal(signal.SIGHUP)
            await harness.fleet.wait_for_log("reload: the fleet is stopping")
            call.reply(200, b"done")
            assert await harness.fleet.wait_until_ended() == 0
            await harness.clients.all_answered.wait()
            assert request.status == 200
            harness.assert_rules_kept()

    run(test())


def test_second_sigterm_shortens_the_drain_and_open_requests_get_a_response(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            held_calls = HeldCalls(*harness.rig.nodes)
            request = harness.clients.ask("exam")
            await held_calls.calls.get()
            await harness.pids_now()
            harness.fleet.signal(signal.SIGTERM)
            await harness.fleet.wait_for_log("stopping")
            assert request.answers == 0
            harness.fleet.signal(signal.SIGTERM)
            assert await harness.fleet.wait_until_ended() == 0
            await harness.clients.all_answered.wait()
            assert request.status == 504  # the node may have run it, so the outcome is unknown to the client
            harness.assert_rules_kept()

    run(test())


def test_reload_of_an_invalid_configuration_changes_nothing_and_reports_the_reason(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            pids = await harness.pids_now()
            harness.rig.write(fleet={"instances": 0, "colour": "red"})
            answer = await harness.fleet.ask("reload")
            assert not answer["ok"]
            assert "fleet.instances: found 0, expected a whole number from 1 to 256" in answer["reason"]
            assert "fleet.colour: found 'red', expected no such key" in answer["reason"]
            harness.rig.write(fleet={"instances": 2, "listen": ["203.0.113.1:1"]})
            answer = await harness.fleet.ask("reload")
            assert "listen 203.0.113.1:1: Cannot assign" in answer["reason"]
            harness.rig.write(
                fleet={"instances": 2}, nodes={"registry": "127.0.0.1:1"}, start={"ready_s": 0.5}
            )
            answer = await harness.fleet.ask("reload")
            assert "registry 127.0.0.1:1: no list within 0.5 s" in answer["reason"]
            assert await harness.pids_now() == pids
            status = await harness.fleet.status()
            assert status["last_reload"]["reason"] == answer["reason"]

    run(test())


def test_reload_changes_the_listen_addresses_and_the_last_of_many_reloads_takes_effect(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            old_addresses = [harness.fleet.address, "127.0.0.1:0"]
            harness.rig.write(fleet={"instances": 1, "listen": ["[::1]:0", "127.0.0.1:0"]})
            assert (await harness.fleet.ask("reload"))["ok"]
            status = await harness.fleet.status()
            assert [address.rpartition(":")[0] for address in status["listen"]] == ["127.0.0.1", "[::1]"]
            assert harness.fleet.address in status["listen"]  # the socket was kept, with its accept queue
            for address in status["listen"]:
                host, _, port = address.rpartition(":")
                reader, writer = await asyncio.open_connection(host.strip("[]"), int(port))
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"
                writer.close()
            harness.rig.write(fleet={"instances": 3, "listen": ["[::1]:0"]})
            answers = await asyncio.gather(*(harness.fleet.ask("reload") for _ in range(12)))
            for _ in range(12):
                harness.fleet.signal(signal.SIGHUP)
            assert any(answer["ok"] for answer in answers)
            harness.rig.write(fleet={"instances": 2, "listen": ["[::1]:0"]})
            last_answer = await harness.fleet.ask("reload")
            assert last_answer["ok"]
            status = await harness.fleet.until(lambda s: len(s["generations"]) == 1)
            assert status["summary"].endswith("2 of 2 instances serve") and len(status["listen"]) == 1
            with pytest.raises(ConnectionRefusedError):
                await Client.open(old_addresses[0])

    run(test())


def test_reload_fails_when_the_new_generation_is_not_ready_within_its_limit(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            pids = await harness.pids_now()
            harness.fault.write_text("hang")
            harness.rig.write(fleet={"instances": 2}, start={"ready_s": 1.0})
            answer = await harness.fleet.ask("reload")
            assert answer["reason"] == "0 of 2 instances ready within 1 s" and answer["took_s"] < 10
            harness.clients.ask("answer")
            await harness.clients.all_answered.wait()
            status = await harness.fleet.until(lambda s: len(s["instances"]) == 2)
            assert [instance["pid"] for instance in status["instances"]] == pids
            harness.assert_rules_kept()

    run(test())


def test_killed_worker_loses_only_its_own_requests_and_is_replaced(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, 6, **SMALL) as harness:
            held_calls = HeldCalls(*harness.rig.nodes)
            requests = [harness.clients.ask("exam") for _ in range(6)]  # fewer than the limits allow
            calls = [await held_calls.calls.get() for _ in requests]
            victim, other = await harness.pids_now()
            lost_count = len(
                remote_ports(victim) & {connection.port for connection in harness.clients.connections}
            )
            await harness.fleet.kill_worker(victim, harness.clients)
            status = await harness.fleet.until(lambda s: s["generations"][0]["slots"][0]["restarts"] == 1)
            assert status["generations"][0]["slots"][0]["last_crash"] == "signal 9"
            for call in calls:
                call.reply(200, b"done")
            await harness.clients.all_answered.wait()
            assert sum(bool(request.excused) for request in requests) == lost_count
            assert sum(request.status == 200 for request in requests) == len(requests) - lost_count
            await harness.fleet.until(
                lambda s: [instance["state"] for instance in s["instances"]] == ["serving", "serving"]
            )
            assert other in await harness.pids_now()
            harness.assert_rules_kept()

    run(test())


def test_crash_loop_is_given_up_and_reported_until_a_reload(tmp_path: Path) -> None:
    async def test() -> None:
        start = {"restart_first_s": 0.05, "give_up_after": 3}
        async with daemon(tmp_path, fleet={"instances": 2}, start=start) as harness:
            victim, other = await harness.pids_now()
            harness.fault.write_text("exit")
            await harness.fleet.kill_worker(victim)
            status = await harness.fleet.until(lambda s: "given up" in s["summary"])
            assert status["summary"] == "generation 1: 1 of 2 instances serve, 1 given up"
            slot = status["generations"][0]["slots"][0]
            assert (slot["state"], slot["last_crash"]) == ("given up", "exit code 7")
            assert any("given up after 3 crashes" in line for line in status["news"])
            harness.clients.ask("answer")
            await harness.clients.all_answered.wait()
            harness.fault.unlink()
            assert (await harness.fleet.ask("reload"))["ok"]
            status = await harness.fleet.status()
            assert status["summary"] == "generation 2: 2 of 2 instances serve"
            harness.assert_rules_kept()

    run(test())


def test_hanging_worker_is_killed_and_restarted(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, fleet={"instances": 2}, start={"watchdog_s": 2.0}) as harness:
            victim, _ = await harness.pids_now()
            os.kill(victim, signal.SIGSTOP)
            status = await harness.fleet.until(lambda s: s["generations"][0]["slots"][0]["restarts"] == 1)
            crash = status["generations"][0]["slots"][0]["last_crash"]
            assert crash == "signal 9: no sign of life for 2 s"

    run(test())


def test_supervisor_killed_during_a_reload_leaves_no_process_and_loses_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            held_calls = HeldCalls(*harness.rig.nodes)
            request = harness.clients.ask("exam")
            call = await held_calls.calls.get()
            harness.fault.write_text("slow")
            reload = asyncio.create_task(harness.fleet.ask("reload"))
            status = await harness.fleet.until(lambda s: len(s["instances"]) == 4)
            states = [instance["state"] for instance in status["instances"]]
            assert states == ["serving", "serving", "starting", "starting"]
            pids = {instance["pid"] for instance in status["instances"] if instance["pid"]}
            os.kill(harness.fleet.process.pid, signal.SIGKILL)
            await asyncio.gather(reload, return_exceptions=True)
            # Requests are served until the old workers release the address; then a successor takes it.
            harness.clients.ask("answer")
            successor = FleetProcess(
                harness.rig.write(fleet={"instances": 1, "listen": [harness.fleet.address]})
            )
            harness.fault.unlink()
            await (await successor.start()).ready()
            assert request.answers == 0
            call.reply(200, b"done")
            await harness.clients.all_answered.wait()
            assert request.status == 200
            await none_left(pids)
            harness.clients.ask("grade")
            await harness.clients.all_answered.wait()
            assert await successor.stop() == 0
            harness.assert_rules_kept()

    run(test())


def test_idle_half_read_and_queued_connections_survive_a_change_of_generation(tmp_path: Path) -> None:
    async def test() -> None:
        # On a busy machine, idle_s must outlast the time until the requests on the idle connections below.
        async with daemon(tmp_path, fleet={"instances": 2}, drain={"idle_s": 5.0, "limit_s": 40}) as harness:
            prober = Prober(harness.fleet.address, 0.005)
            prober.start()
            harness.clients.keep_requests = 1  # a new connection each, through the accept queue
            traffic = asyncio.create_task(harness.clients.run(200, 6, {"answer": 1}))
            idle = [await Client.open(harness.fleet.address) for _ in range(8)]
            for number, client in enumerate(idle):
                client.send(
                    "/answer/1", "GET", x_call_id=f"idle-{number}", x_budget_ms="900", content_length=None
                )
                harness.rig.ledger.received[f"idle-{number}"] += 0
                assert (await client.reply()).status == 200
            half_read = [await Client.open(harness.fleet.address) for _ in range(8)]
            started_ms = now_ms()
            for client in half_read:
                client.writer.write(b"GET /health/ready HTTP/1.1\r\nHo")
                await client.writer.drain()
            old_pids = set(await harness.pids_now())
            assert (await harness.fleet.ask("reload"))["ok"]
            replies: list[tuple[Client, bool]] = []
            for client in half_read:
                client.writer.write(b"st: x\r\n\r\n")
                reply = await client.reply()
                # A draining instance reports ready as well, since others serve on the address. If the reload
                # takes longer than a request head may take, on a busy machine, the answer is 408.
                is_late = now_ms() - started_ms > 900 * REQUEST_READ_TIMEOUT_S
                assert reply.status == 200 or (is_late and reply.status == 408)
                replies.append((client, reply.headers.get("connection") == "close"))
            for number, client in enumerate(idle[:4]):
                client.send(
                    "/answer/1", "GET", x_call_id=f"again-{number}", x_budget_ms="900", content_length=None
                )
                reply = await client.reply()
                assert reply.status == 200
                replies.append((client, reply.headers.get("connection") == "close"))
            # Checked last: a connection answered before its instance began to drain is closed after idle_s,
            # as are that instance's idle connections.
            for client, closing in replies:
                assert closing or await client.ended()
            for client in idle[4:]:
                assert await client.ended()
            await none_left(old_pids)
            await traffic
            longest_gap_ms = prober.stop()
            assert not prober.failures, prober.failures[:3]
            assert longest_gap_ms < 5000
            for client in idle + half_read:
                client.close()
            harness.rig.ledger.runs = [
                r for r in harness.rig.ledger.runs if r.id in harness.rig.ledger.requests
            ]
            harness.assert_rules_kept()

    run(test())


def test_thirty_instances_that_start_together_do_not_overload_cold_nodes(tmp_path: Path) -> None:
    async def test() -> None:
        cold = Shape(slots=8, work_ms=10, cold_ms=20_000, start_capacity=0.25, fall_multiple=1.0)
        node_settings = {"cold_ms": 20_000, "start_capacity": 0.25, "fall_multiple": 1.0, "attempts": 3}
        started_ms = now_ms()
        async with daemon(tmp_path, 4, cold, fleet={"instances": 30}, nodes=node_settings) as harness:
            call_times_ms = [at - started_ms for at in harness.rig.registry.calls]
            # One client of the registry for all thirty: the first list, a check for changes, the watch.
            assert len(call_times_ms) <= 4
            await harness.clients.run(150, 4, MIX)
            assert sum(node.crashes for node in harness.rig.nodes) == 0
            assert harness.clients.statuses[200] > 0
            harness.assert_rules_kept()

    run(test())


def test_upgrade_hands_over_the_sockets_and_a_failed_upgrade_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon(tmp_path, **SMALL) as harness:
            prober = Prober(harness.fleet.address, 0.01)
            prober.start()
            traffic = asyncio.create_task(harness.clients.run(150, 4, MIX))
            old_pids = await harness.pids_now()
            config_text = harness.rig.config.read_text()
            harness.rig.config.write_text("nonsense")
            path = str(harness.rig.folder / "c.sock")
            answer = await asyncio.to_thread(send_control_request, path, {"do": "upgrade"})
            assert not answer["ok"] and "going on as before" in answer["reason"]
            harness.rig.config.write_text(config_text)
            assert await harness.pids_now() == old_pids
            answer = await harness.fleet.ask("upgrade")
            assert answer["ok"]
            assert await harness.fleet.process.wait() == 0  # the successor writes to the same log
            status = await harness.fleet.status()
            assert status["pid"] == answer["pid"] and status["listen"] == [harness.fleet.address]
            assert [g["generation"] for g in status["generations"]] == [2]
            await none_left(set(old_pids))
            await traffic
            assert prober.stop() < 5000 and not prober.failures
            await harness.pids_now()
            await harness.fleet.ask("stop")
            harness.pids.add(status["pid"])
            harness.assert_rules_kept()

    run(test())


def test_random_reloads_and_kills_lose_only_requests_of_killed_workers(tmp_path: Path) -> None:
    seed = int.from_bytes(os.urandom(3))
    print(f"seed {seed}")

    async def test() -> None:
        random = Random(seed)
        async with daemon(tmp_path, 4, None, seed, fleet={"instances": 8}) as harness:
            traffic = asyncio.create_task(harness.clients.run(250, 8, MIX))
            reloads = kills = 0
            while not traffic.done():
                await asyncio.sleep(random.uniform(0.2, 1.0))
                if random.random() < 0.5:
                    assert (await harness.fleet.ask("reload"))["ok"]
                    reloads += 1
                else:
                    status = await harness.fleet.status()
                    serving = [
                        instance["pid"] for instance in status["instances"] if instance["state"] == "serving"
                    ]
                    if len(serving) > 4:
                        await harness.fleet.kill_worker(random.choice(serving), harness.clients)
                        kills += 1
            await traffic
            print(f"{reloads} reloads, {kills} kills\n{harness.rig.ledger.table()}")
            assert reloads and kills
            harness.assert_rules_kept()

    run(test())


@pytest.mark.parametrize("instances", [1])
def test_list_changes_reach_every_worker_and_drains_are_kept(tmp_path: Path, instances: int) -> None:
    async def test() -> None:
        async with daemon(tmp_path, 3, fleet={"instances": instances + 2}) as harness:
            traffic = asyncio.create_task(harness.clients.run(200, 3, MIX))
            await asyncio.sleep(0.5)
            harness.rig.registry.drain(harness.rig.nodes[0])
            added = await harness.rig.add(Shape())
            await harness.fleet.until(
                lambda s: (
                    {(instance["rev"], instance["nodes"]) for instance in s["instances"]}
                    == {(s["generations"][-1]["nodes"]["rev"], 4)}
                )
            )
            await traffic
            assert added.served
            harness.assert_rules_kept()

    run(test())


@pytest.mark.parametrize("change", ["none", "reload", "upgrade"])
def test_an_id_that_comes_again_runs_once_in_all_processes_of_a_fleet(tmp_path: Path, change: str) -> None:
    # Operators' picture (c): the second request with an id may reach another instance, also of another
    # generation or of a successor.
    async def ask(harness: Daemon, number: int) -> int:
        client = await Client.open(harness.fleet.address)
        reply = await client.ask("/exam", x_call_id=f"again{number}", x_budget_ms="2000")
        client.close()
        return reply.status

    async def test() -> None:
        async with daemon(tmp_path, 3) as harness:
            assert [await ask(harness, number) for number in range(12)] == [200] * 12
            if change != "none":
                assert (await harness.fleet.ask(change))["ok"]
            assert [await ask(harness, number) for number in range(12)] == [400] * 12
            ids = [node_run.id for node_run in harness.rig.ledger.runs]
            assert len(ids) == len(set(ids)) >= 12
            if change == "upgrade":
                harness.pids.add((await harness.fleet.status())["pid"])
                await harness.pids_now()
                await harness.fleet.ask("stop")
                await harness.fleet.process.wait()

    run(test())
