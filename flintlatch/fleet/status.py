"""What a fleet tells of itself: the control socket's `status`, and the one line for the service manager."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from flintlatch.config import Config
from flintlatch.fleet import core
from flintlatch.fleet.channel import Message
from flintlatch.fleet.nodes import NodeList
from flintlatch.net.clock import now_ms


class Reported(Protocol):
    """What is told of, as far as it is told."""

    @property
    def core(self) -> core.Fleet: ...
    @property
    def config(self) -> Config: ...
    @property
    def ready_after_s(self) -> float: ...
    @property
    def last_reload(self) -> Message: ...
    @property
    def recent_warnings(self) -> list[str]: ...
    @property
    def nodes(self) -> Mapping[int, NodeList]: ...
    @property
    def processes(self) -> Mapping[int, Any]: ...
    def addresses(self) -> list[str]: ...


def summary(fleet: core.Fleet) -> str:
    """One line: how many of the current generation's instances serve."""
    current = fleet.current
    if current is None:
        return fleet.phase.value
    serving = [w for w in fleet.workers.values() if w.state is core.WorkerState.SERVING]
    mine = sum(w.generation == current.number for w in serving)
    given_up = sum(s.state is core.SlotState.GIVEN_UP for s in current.slots)
    text = f"generation {current.number}: {mine} of {len(current.slots)} instances serve"
    return text + (f", {given_up} given up" if given_up else "")


def report(supervisor: Reported, pid: int, now_s: float) -> dict[str, Any]:
    """All of it, as JSON. Ages in seconds; what is not known yet is null."""
    fleet = supervisor.core
    return {
        "ok": True,
        "name": supervisor.config.fleet.name,
        "pid": pid,
        "phase": fleet.phase.value,
        "summary": summary(fleet),
        "listen": supervisor.addresses(),
        "config": supervisor.config.path,
        "ready_after_s": round(supervisor.ready_after_s, 3),
        "last_reload": supervisor.last_reload,
        "news": supervisor.recent_warnings,
        "generations": [
            {
                "generation": generation.number,
                "state": generation.state.value,
                "nodes": nodes(supervisor, generation.number),
                "slots": [slot_row(slot, now_s) for slot in generation.slots],
            }
            for generation in fleet.generations.values()
        ],
        "instances": [instance(supervisor, worker, now_s) for worker in fleet.workers.values()],
    }


def slot_row(slot: core.Slot, now_s: float) -> dict[str, Any]:
    waits = slot.state is core.SlotState.WAITING
    return {
        "number": slot.number,
        "state": slot.state.value,
        "worker": slot.worker,
        "restarts": slot.restarts,
        "crashes_in_a_row": slot.consecutive_crashes,
        "last_crash": slot.last_crash,
        "starts_in_s": round(slot.restart_at_s - now_s, 3) if waits else None,
    }


def nodes(supervisor: Reported, generation: int) -> dict[str, Any]:
    source = supervisor.nodes.get(generation)
    if source is None:
        return {}
    age = (now_ms() - source.last_update_ms) / 1000
    return {
        "count": len(source.targets),
        "rev": source.rev,
        "age_s": round(age, 1),
        "failure": source.failure,
        **source.rejections(),
    }


def _behind(supervisor: Reported, generation: int, rev: int | None) -> int | None:
    """Versions of the list that an instance has not told of yet; None if it has told of none."""
    source = supervisor.nodes.get(generation)
    return None if source is None or rev is None else max(source.rev - rev, 0)


def instance(supervisor: Reported, worker: core.Worker, now_s: float) -> dict[str, Any]:
    process = supervisor.processes.get(worker.id)
    started = process.process if process is not None else None
    last = process.last_heartbeat if process is not None else {}
    return {
        "worker": worker.id,
        "generation": worker.generation,
        "number": worker.number,
        "pid": started.pid if started is not None else None,
        "state": worker.state.value,
        "age_s": round(now_s - worker.started_s, 1),
        "heard_s": round(now_s - worker.last_message_s, 2),
        "in_flight": last.get("in_flight"),
        "clients": last.get("clients"),
        "rss_mb": last.get("rss_mb"),
        "rev": last.get("rev"),
        "behind": _behind(supervisor, worker.generation, last.get("rev")),
        "nodes": last.get("nodes"),
        "proxies": last.get("proxies"),
        "access_log": last.get("access_log"),
    }
