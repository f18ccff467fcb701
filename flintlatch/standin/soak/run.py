"""One run of the soak: starts the program, plays its schedule, stops it, and audits what happened."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.net.clock import now_ms
from flintlatch.standin.crowd import Crowd, CrowdKind, CrowdReport
from flintlatch.standin.flood import FloodKind, start_flood
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.memory import MemoryWatch
from flintlatch.standin.node import Fault, Shape
from flintlatch.standin.process import remote_ports, unaccepted_ports
from flintlatch.standin.proxy import ProxyProcess, ReservedAddress, configuration
from flintlatch.standin.shim import CallFault, Shim
from flintlatch.standin.soak.audit import Audit
from flintlatch.standin.soak.clients import BadClients, SoakClients
from flintlatch.standin.soak.registry import SoakRegistry
from flintlatch.standin.soak.schedule import RUN_S, Family, Kind, Schedule
from flintlatch.standin.soak.servers import SoakServer
from flintlatch.standin.soak.transfers import TransferClients

SERVERS = 6
CELLS = 2
SOCKETS = 256
MEMORY_MB = (32, 64, 192)
CROWD_CLIENTS, CROWD_HOLD_S = 80, 1.5
FLOOD_CONNECTIONS, FLOOD_S = 6, 1.5
CLASSES = {
    "answer": RequestClass(300, 900, Effect.SAFE, worth=1),
    "purchase": RequestClass(400, 1200, Effect.KEYED, Scope.CELL, 750, worth=12),
    "grade": RequestClass(300, 750, Effect.UNSAFE, worth=3),
}
MIX = {"answer": 0.4, "purchase": 0.3, "grade": 0.3}
OBLIGATIONS = {"ColdMs": 4000.0, "StartCapacity": 0.1, "FallMultiple": 3.0, "OverloadForMs": 1500.0}
LONGEST_DEADLINE_S = 1.2
KILL_AFTER_DEADLINE_S = 0.7  # the earliest SIGKILL after SIGTERM, on top of the longest deadline
NEW_CONNECTIONS_AFTER_TERM_S = (0.2, 0.4)
OUTAGE_S = 2.5
FAULT_S = 2.0  # for which servers hang, fail or refuse
HOLD_UP_S = 0.15
HANG_AT_STOP_FRACTION = 0.5  # of the runs: half of the servers hang through the stop
READY_TIMEOUT_S = 30.0
MAX_KNOWN_HISTORY = 8
ALLOWED_LOG = ("bug:", "Traceback", "decision module failed")


@dataclass
class Report:
    """The result of one run."""

    seed: int
    families: tuple[Family, ...]
    requests: int = 0
    served: int = 0
    violations: list[str] = field(default_factory=list)
    injected: dict[str, int] = field(default_factory=dict)

    def line(self) -> str:
        names = "+".join(family.value for family in self.families)
        verdict = f"{len(self.violations)} violations" if self.violations else "ok"
        return f"seed {self.seed} {names}: {self.requests} requests, {self.served} served, {verdict}"


class SoakRun:
    """Plays one schedule. `command_folder` holds the text of the program that is started."""

    def __init__(self, schedule: Schedule, folder: Path, library: Path, program_folder: Path) -> None:
        self.schedule, self.folder, self.program_folder = schedule, folder, program_folder
        self.random = Random(f"{schedule.seed}/run")
        self.ledger = Ledger(drain_grace_ms=1e12)  # the audit decides on drains
        self.audit = Audit(self.ledger)
        self.shim = Shim(library, folder / "control", schedule.seed)
        self.entries: dict[str, dict[str, Any]] = {}
        self.registries = [SoakRegistry(schedule.seed, self.audit.registry, self.entries) for _ in range(2)]
        self.registry = self.registries[0]
        self.known_history: list[dict[str, Any]] = []  # of the present numbering
        self.keys: list[dict[bytes, float]] = [{} for _ in range(CELLS)]
        self.servers: dict[str, SoakServer] = {}
        self.server_count = 0
        self.config = folder / "config.json"
        self.reserved_address = ReservedAddress()
        self.address = str(self.reserved_address)
        self.program: ProxyProcess
        self.log_reader: asyncio.Task[None] | None = None
        self.memory_mb = Random(f"{schedule.seed}/memory").choice(MEMORY_MB)
        self.memory_watches: list[MemoryWatch] = []  # of each process
        self.is_up = False
        self.tasks: set[asyncio.Task[None]] = set()
        leaving = 0.2 if any(event.kind is Kind.LEAVE for event in schedule.events) else 0.0
        self.clients = SoakClients(self.address, CLASSES, self.audit, schedule.seed, leaving)
        self.clients.has_crowd = schedule.has_crowd
        self.bad_clients = BadClients(self.address, schedule.seed)
        self.transfers = TransferClients(self.address, CLASSES, self.audit, schedule.seed)
        self.crowd = Crowd(self.address, schedule.seed)
        self.floods: list[asyncio.subprocess.Process] = []
        self.crowd_task: asyncio.Task[CrowdReport] | None = None

    async def play(self) -> Report:
        report = Report(self.schedule.seed, self.schedule.families)
        try:
            self.shim.step_wall_clock(self.schedule.clock_at_start_s)
            for registry in self.registries:
                await registry.open()
            for _ in range(SERVERS):
                await self._add_server()
            await self._start_program(self._known())
            traffic = asyncio.create_task(self._send_traffic())
            await self._play_events()
            traffic.cancel()
            await self._stop_program()
            await self.transfers.finish()
        finally:
            await self._close()
        self._audit_memory()
        report.requests = len(self.ledger.requests)
        report.served = sum(request.status == 200 for request in self.ledger.requests.values())
        report.violations = [str(violation) for violation in self.audit.violations()]
        report.injected = {fault.name: count for fault, count in self.shim.injected().items() if count}
        self.shim.close()
        return report

    def _audit_memory(self) -> None:
        for watch in self.memory_watches:
            watch.close()
            if max(watch.largest) > self.memory_mb * 1e6:
                self.audit.add("memory", f"{max(watch.largest) / 1e6:.1f} MB, {self.memory_mb} allowed")

    async def _close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.crowd_task is not None:
            self.crowd_task.cancel()
        self.clients.close()
        self.bad_clients.close()
        self.transfers.close()
        if hasattr(self, "program") and self.program.process.returncode is None:
            self.program.process.kill()
            await self.program.process.wait()
        for flood in self.floods:
            await flood.wait()
        self.reserved_address.close()
        if self.log_reader is not None:
            self.log_reader.cancel()
        for server in self.servers.values():
            server.crash()
        for registry in self.registries:
            registry.close()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Servers and their list

    def _unix_ms(self) -> float:
        """The present time of the stepped wall clock, which all machines read."""
        return now_ms() + self.shim.wall_offset_s * 1000

    async def _add_server(self, cold: bool = False) -> SoakServer:
        number, self.server_count = self.server_count, self.server_count + 1
        cell = number % CELLS
        shape = Shape(
            slots=2,
            queue=64,
            work_ms=25.0,
            cell=cell,
            cold_ms=OBLIGATIONS["ColdMs"],
            start_capacity=OBLIGATIONS["StartCapacity"],
            fall_multiple=OBLIGATIONS["FallMultiple"],
            fall_ms=OBLIGATIONS["OverloadForMs"],
        )
        server = SoakServer(f"s{number}", shape, self.ledger, self.schedule.seed, self.keys[cell], self.audit)
        await server.open()
        if not cold:
            server.started_ms -= shape.cold_ms
        self.servers[server.uid] = server
        self._put(server, "active", int(self._unix_ms()) if cold else 0)
        return server

    def _put(self, server: SoakServer, state: str, boot_ms: int | None = None) -> None:
        entry = self.entries.get(server.uid, {})
        boot_ms = entry.get("boot_ms", 0) if boot_ms is None else boot_ms
        if state == "active":
            self.audit.registry.on_active(server.uid)
        else:
            self.audit.registry.on_change(server.uid, now_ms())
        self.known_history = [*self.known_history[-MAX_KNOWN_HISTORY:], self._known()]
        for registry in self.registries:
            registry.put(server.uid, server.address, state, cell=server.shape.cell, boot_ms=boot_ms)

    def _active(self) -> list[SoakServer]:
        return [s for s in self.servers.values() if self.entries.get(s.uid, {}).get("state") == "active"]

    def _known(self) -> dict[str, Any]:
        return {"rev": self.registry.rev, "all": True, "targets": list(self.entries.values())}

    # The program

    def _write_config(self, known: dict[str, Any], discovery: str) -> None:
        config = configuration(self.address, discovery, CLASSES, [])
        config["known"] = known
        config["limits"] |= {"sockets": SOCKETS, "memory_mb": self.memory_mb}
        config["settings"]["Obligations"] = OBLIGATIONS
        config["settings"]["Limits"] |= {"ConnectTimeoutMs": 250, "MayDuplicate": True, "MostTries": 6}
        temporary = self.config.with_suffix(".new")
        temporary.write_text(json.dumps(config))
        temporary.rename(self.config)

    async def _start_program(self, known: dict[str, Any]) -> None:
        self._write_config(known, self.registry.address)
        self.audit.registry.on_new_process(now_ms())
        async with asyncio.timeout(READY_TIMEOUT_S):
            self.program = await ProxyProcess.start(
                self.config,
                LB_LISTEN=self.address,
                PYTHONPATH=str(self.program_folder),
                PYTHONSAFEPATH="1",  # the present folder may hold another text
                TMPDIR=str(self.folder),
                **self.shim.environment(),
            )
            self.memory_watches.append(MemoryWatch(self.program.process.pid))
            self.log_reader = asyncio.create_task(self._read_log(self.program))
            while not await self._is_ready():
                await asyncio.sleep(0.02)
        self.is_up = True

    async def _is_ready(self) -> bool:
        if not self._active():
            return True  # it is not ready without a server, and refuses
        host, _, port = self.address.rpartition(":")
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    async def _read_log(self, program: ProxyProcess) -> None:
        assert program.process.stderr is not None
        while line := (await program.process.stderr.readline()).decode(errors="replace"):
            program.lines.append(line)
            if any(text in line for text in ALLOWED_LOG):
                self.audit.add("crash", line.strip())

    async def _check_alive(self) -> None:
        code = self.program.process.returncode
        if self.is_up and code is not None:
            self.audit.add("crash", f"the program ended with {code}: {self.program.lines[-2:]}")
            self.is_up = False

    async def _kill_and_restart(self) -> None:
        """A crash of the program from outside; its open requests are excused."""
        if not self.is_up:
            return
        self.is_up = False
        process = self.program.process
        process.send_signal(signal.SIGSTOP)
        listen_port = int(self.address.rpartition(":")[2])
        self.clients.on_kill(remote_ports(process.pid) | unaccepted_ports(listen_port))
        self.audit.interrupted_ms = now_ms()
        process.kill()
        await process.wait()
        known = self._known()
        choice = self.random.choice(("present", "old", "damaged"))
        if choice == "old":
            known = self.random.choice(self.known_history)
        elif choice == "damaged" and known["targets"]:  # a list without a readable entry ends a start
            known["targets"] = [*known["targets"], {"uid": 5}, {"uid": "odd", "endpoint": "x"}]
        await asyncio.sleep(0.05)
        await self._start_program(known)

    async def _stop_program(self) -> None:
        """SIGTERM in series; clients go on using their open connections; SIGKILL at the earliest time."""
        await self._check_alive()
        if not self.is_up:
            return
        process = self.program.process
        if self.random.random() < HANG_AT_STOP_FRACTION:
            for server in self._active()[: SERVERS // 2]:
                server.hangs = True
        started_at = asyncio.get_running_loop().time()
        for _ in range(self.schedule.term_signals):
            process.send_signal(signal.SIGTERM)
            if self.random.random() < 0.5:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.0, 0.1))
        loop = asyncio.get_running_loop()
        kill_at = started_at + LONGEST_DEADLINE_S + KILL_AFTER_DEADLINE_S
        last_connect_at = started_at + self.random.uniform(*NEW_CONNECTIONS_AFTER_TERM_S)
        names, weights = list(MIX), list(MIX.values())
        while loop.time() < kill_at and process.returncode is None:
            name = self.random.choices(names, weights)[0]
            if loop.time() < last_connect_at:
                self.clients.ask(name)
            else:
                self.clients.reuse_only = True
                self.clients.drop_unsent()
                self.clients.ask_on_open_connection(name)
            await asyncio.sleep(1 / self.schedule.rate)
        self.is_up = False
        if process.returncode is None:
            self.audit.interrupted_ms = now_ms()
            process.kill()
        code = await process.wait()
        if code not in (0, -signal.SIGKILL):
            self.audit.add("crash", f"the program ended with {code} after SIGTERM")
        await asyncio.sleep(0.1)  # for the resets to arrive

    # Traffic and events

    async def _send_traffic(self) -> None:
        names, weights = list(MIX), list(MIX.values())
        while True:
            await asyncio.sleep(self.random.expovariate(self.schedule.rate))
            if self.is_up:
                self.clients.ask(self.random.choices(names, weights)[0])

    async def _play_events(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for event in self.schedule.events:
            await asyncio.sleep(max(started_at + event.at_s - loop.time(), 0.0))
            await self._check_alive()
            await self._play_event(event.kind)
        await asyncio.sleep(max(started_at + RUN_S - loop.time(), 0.0))

    async def _play_event(self, kind: Kind) -> None:
        active = self._active()
        one = self.random.choice(active) if active else None
        some = self.random.sample(active, len(active) // 2)
        if kind is Kind.DRAIN_ONE and one is not None:
            self._put(one, "leaving")
        elif kind is Kind.REMOVE_ONE and one is not None:
            self._put(one, "left")
        elif kind in (Kind.DRAIN_ALL, Kind.REMOVE_ALL):
            for server in active:
                self._put(server, "leaving" if kind is Kind.DRAIN_ALL else "left")
        elif kind is Kind.RETURN_ALL:
            for server in self.servers.values():
                if server not in active and server.server is not None:
                    self._put(server, "active")
        elif kind is Kind.RESTART_COLD and one is not None:
            self.audit.registry.start_told.discard(one.uid)
            await one.restart()
            self._spawn(self._announce_restart(one))
        elif kind is Kind.REPLACE_ALL:
            for server in active:
                self._put(server, "left")
            for _ in range(SERVERS // 2):
                await self._add_server(cold=True)
        else:
            await self._play_fault(kind, some)

    async def _announce_restart(self, server: SoakServer) -> None:
        """The registry notices a restart after a while."""
        boot_ms = int(self._unix_ms())
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        if self.entries.get(server.uid, {}).get("state") == "active":
            self._put(server, "active", boot_ms)

    async def _play_fault(self, kind: Kind, some: list[SoakServer]) -> None:
        if kind is Kind.RENUMBER:
            self.known_history = []
            for registry in self.registries:
                registry.renumber(self.random.randint(1, 5))
            self.known_history = [self._known()]
        elif kind is Kind.OUTAGE:
            self._spawn(self._outage())
        elif kind is Kind.BAD_ANSWERS:
            for registry in self.registries:
                registry.bad_fraction = self.random.choice((0.2, 0.5, 0.8))
        elif kind is Kind.HANG_SOME:
            self._spawn(self._hang(some))
        elif kind is Kind.FAIL_SOME:
            fault = self.random.choice([f for f in Fault if f is not Fault.NONE])
            self._spawn(self._fail(some, fault))
        elif kind is Kind.REFUSE_SOME:
            self._spawn(self._refuse(some[:1]))
        elif kind is Kind.CLOSE_IDLE:
            for server in self.servers.values():
                server.close_idle()
        elif kind is Kind.BURST:
            if self.is_up:
                for _ in range(60):
                    self.clients.ask(self.random.choice(list(MIX)))
        elif kind is Kind.BAD_CLIENTS:
            self.bad_clients.start_bad()
        elif kind is Kind.STAYING_CLIENTS:
            self.transfers.start_staying()
        elif kind is Kind.SLOW_READERS:
            self.transfers.start_slow_readers()
        elif kind is Kind.UPLOADS:
            self.transfers.start_uploads()
        elif kind is Kind.SMALL_CHUNKS:
            self.transfers.start_small_chunks()
        elif kind is Kind.PIPELINES:
            self.transfers.start_pipelines()
        elif kind is Kind.CROWD:
            self.bad_clients.start_crowd()
        elif kind is Kind.HOLDING_CROWD:
            self._start_crowd()
        elif kind is Kind.FLOOD:
            flood_kind = self.random.choice(list(FloodKind))
            self.floods.append(await start_flood(self.address, flood_kind, FLOOD_CONNECTIONS, FLOOD_S))
        else:
            await self._play_process_fault(kind)

    def _start_crowd(self) -> None:
        """One crowd at a time: clients hold a third of the descriptors at most for requests."""
        if self.crowd_task is None or self.crowd_task.done():
            chosen = self.random.sample(list(CrowdKind), 3)
            crowd = self.crowd.run(chosen, CROWD_CLIENTS, CROWD_HOLD_S, CROWD_HOLD_S)
            self.crowd_task = asyncio.create_task(crowd)

    async def _play_process_fault(self, kind: Kind) -> None:
        process = self.program.process
        if kind is Kind.STEP_CLOCK:
            self.shim.step_wall_clock(self.random.choice((3600.0, -3600.0, 30.0, -30.0, 3.0, -3.0)))
        elif kind is Kind.CALL_FAULTS:
            self._spawn(self._call_faults())
        elif kind is Kind.KILL:
            await self._kill_and_restart()
        elif not self.is_up:
            return
        elif kind is Kind.HOLD_UP:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HOLD_UP_S)
            process.send_signal(signal.SIGCONT)
        elif kind is Kind.HUP_SERIES:
            for _ in range(self.random.randint(1, 4)):
                self.registry = self.random.choice(self.registries)
                self._write_config(self._known(), self.registry.address)
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(self.random.uniform(0.0, 0.05))
        elif kind is Kind.BROKEN_CONFIG:
            whole = self.config.read_text()
            self.config.write_text(whole[: self.random.randint(0, len(whole) - 1)])
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
            self._write_config(self._known(), self.registry.address)

    async def _outage(self) -> None:
        for registry in self.registries:
            registry.down = True
        await asyncio.sleep(OUTAGE_S)
        for registry in self.registries:
            registry.down = False
        self.audit.registry.on_unreachable(now_ms())

    async def _hang(self, servers: list[SoakServer]) -> None:
        for server in servers:
            server.hangs = True
        await asyncio.sleep(FAULT_S)
        for server in servers:
            server.hangs = False

    async def _fail(self, servers: list[SoakServer], fault: Fault) -> None:
        for server in servers:
            server.shape.faults[fault] = 0.5
        await asyncio.sleep(FAULT_S)
        for server in servers:
            server.shape.faults.clear()

    async def _refuse(self, servers: list[SoakServer]) -> None:
        for server in servers:
            server.crash()
        await asyncio.sleep(FAULT_S)
        for server in servers:
            self.audit.registry.start_told.discard(server.uid)
            await server.restart()
            await self._announce_restart(server)

    async def _call_faults(self) -> None:
        """Some system calls fail for two seconds."""
        chances = {
            CallFault.ACCEPT: 0.2, CallFault.SOCKET: 0.2, CallFault.CONNECT: 0.2, CallFault.INTERRUPT: 0.1,
            CallFault.SHORT: 0.2, CallFault.BROKEN: 0.01, CallFault.HOLD: 0.001,
        }  # fmt: skip
        for fault in self.random.sample(list(chances), 3):
            self.shim.set_probability(fault, chances[fault])
        await asyncio.sleep(FAULT_S)
        self.shim.clear()


def summarize(reports: list[Report]) -> Counter[str]:
    """The violations of all runs by rule."""
    return Counter(text.partition(":")[0] for report in reports for text in report.violations)


def program_folder() -> Path:
    """The folder of the program that this harness belongs to."""
    return Path(os.fspath(__file__)).parent.parent.parent.parent
