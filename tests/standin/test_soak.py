"""A short soak: one run of the program for each family of faults, and the audit that decides the runs."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from flintlatch.api import Effect, RequestClass
from flintlatch.net.http1 import split_address
from flintlatch.net.listener import open_listener
from flintlatch.standin.ledger import Execution, Ledger, RequestRecord
from flintlatch.standin.process import unaccepted_ports
from flintlatch.standin.proxy import ReservedAddress, free_address
from flintlatch.standin.shim import compile_shim
from flintlatch.standin.soak import Family, Schedule, SoakRun
from flintlatch.standin.soak.audit import Audit, slow_start_limit
from flintlatch.standin.soak.clients import KILLED, SoakClients
from flintlatch.standin.soak.run import program_folder
from tests.loopback import run

SEED = 3
MIN_SERVED_FRACTION = 0.1


@pytest.mark.parametrize("family", Family, ids=lambda family: family.value)
def test_no_rule_is_broken_under_a_family_of_faults(family: Family, tmp_path: Path) -> None:
    schedule = Schedule.draw(SEED, (family,))

    async def test() -> None:
        report = await SoakRun(schedule, tmp_path, compile_shim(tmp_path), program_folder()).play()
        print(report.line())
        assert not report.violations
        assert report.served > MIN_SERVED_FRACTION * report.requests > 0

    run(test())


def test_a_reserved_address_is_given_to_nobody_but_a_proxy() -> None:
    """Soak seed 704: the program did not start, `Address already in use`: a connection of another process had
    been given the port that was free a moment before."""
    free, reserved = free_address(), ReservedAddress()
    with socket.create_server(("127.0.0.1", 0)) as server, socket.socket() as connection:
        connection.bind(split_address(free))
        connection.connect(server.getsockname())
        with pytest.raises(OSError, match="in use"):
            open_listener(free, shared=True)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(split_address(str(reserved)))
        for _ in range(2):  # a restart
            open_listener(str(reserved), shared=True).close()
    reserved.close()


# The clients


@pytest.mark.parametrize("ask_first", [False, True], ids=["connecting", "in the accept queue"])
def test_a_request_that_the_process_has_not_accepted_is_excused_at_a_kill(ask_first: bool) -> None:
    # Guards against requests in the kernel alone that are held against a process that was killed.
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            clients = soak_clients(listener)
            request = clients.ask("answer")
            if ask_first:
                await asyncio.sleep(0.05)
            port = listener.getsockname()[1]
            assert unaccepted_ports(port) == {connection.port for connection in clients.connections}
            clients.on_kill(unaccepted_ports(port))
        await clients.all_answered.wait()
        assert not request.answers and request.excused == KILLED

    run(test())


def test_a_request_that_the_process_closed_before_a_kill_is_not_excused() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            clients = soak_clients(listener)
            request = clients.ask("answer")
            await asyncio.sleep(0.05)
            accepted, _ = listener.accept()
            accepted.close()
            clients.on_kill(unaccepted_ports(listener.getsockname()[1]))
            await clients.all_answered.wait()
            assert request.failure and not request.excused

    run(test())


def soak_clients(listener: socket.socket) -> SoakClients:
    address = "{}:{}".format(*listener.getsockname())
    return SoakClients(address, {"answer": RequestClass(300, 900, Effect.SAFE)}, audited(), seed=1)


# The audit


def audited(effect: Effect = Effect.SAFE) -> Audit:
    """An audit with one request, asked at 0 with a deadline of 500 ms."""
    audit = Audit(Ledger(drain_grace_ms=1e12))
    spec = RequestClass(300, 500, effect, window_ms=750)
    audit.ledger.ask(RequestRecord("r", spec, None, 0.0, 500.0))
    return audit


def rules(audit: Audit) -> set[str]:
    return set(audit.counts())


def answered(audit: Audit, at_ms: float = 100.0) -> Audit:
    audit.ledger.answer("r", 503, at_ms)
    return audit


@pytest.mark.parametrize(("at_ms", "broken"), [(1300.0, False), (1301.0 + 300, True)])
def test_an_attempt_after_the_grace_of_a_told_drain_is_found(at_ms: float, broken: bool) -> None:
    audit = answered(audited())
    audit.registry.on_change("s", 900.0)
    audit.registry.on_told("s", 1000.0)
    audit.on_attempt("s", "r", at_ms, None)
    assert rules(audit) == ({"drain"} if broken else set())


@pytest.mark.parametrize(("at_ms", "broken"), [(7200.0, False), (7400.0, True)])
def test_a_drain_that_was_never_written_counts_as_told_after_six_seconds(at_ms: float, broken: bool) -> None:
    audit = answered(audited())
    audit.registry.on_change("s", 1000.0)
    audit.on_attempt("s", "r", at_ms, None)
    assert rules(audit) == ({"drain"} if broken else set())


def test_an_outage_or_a_new_process_starts_the_six_seconds_anew() -> None:
    audit = answered(audited())
    audit.registry.on_change("s", 1000.0)
    audit.registry.on_unreachable(5000.0)
    audit.on_attempt("s", "r", 11_000.0, None)
    audit.registry.on_told("s", 11_000.0)
    audit.registry.on_new_process(12_000.0)
    audit.on_attempt("s", "r", 17_000.0, None)
    assert not rules(audit)


@pytest.mark.parametrize(("at_ms", "broken"), [(240.0, False), (260.0, True)])
def test_an_attempt_for_a_client_that_has_left_is_found(at_ms: float, broken: bool) -> None:
    audit = answered(audited())
    audit.closed_ms["r"] = 100.0
    audit.on_attempt("s", "r", at_ms, None)
    assert rules(audit) == ({"lost"} if broken else set())


@pytest.mark.parametrize(("budget_ms", "broken"), [(549.0, False), (551.0, True)])
def test_a_budget_above_what_is_left_is_found(budget_ms: float, broken: bool) -> None:
    audit = answered(audited())
    audit.on_attempt("s", "r", 100.0, budget_ms)
    assert rules(audit) == ({"budget"} if broken else set())


@pytest.mark.parametrize(("at_ms", "broken"), [(999.0, False), (1001.0, True)])
def test_an_answer_half_a_second_after_its_time_is_lost(at_ms: float, broken: bool) -> None:
    assert rules(answered(audited(), at_ms)) == ({"lost"} if broken else set())


def test_a_missing_answer_and_a_repeated_unsafe_request_are_found() -> None:
    audit = audited(Effect.UNSAFE)
    for at_ms in (1.0, 2.0):
        audit.ledger.run(Execution("r", None, "s", 0, 0, at_ms, True))
    assert rules(audit) == {"lost", "repeated"}


@pytest.mark.parametrize(("allowed", "limit"), [(4.0, 13.0), (25.0, 43.0), (36.0, 50.0), (100.0, 122.0)])
def test_the_slow_start_limit_is_that_of_the_protocol(allowed: float, limit: float) -> None:
    assert slow_start_limit(allowed) == limit
