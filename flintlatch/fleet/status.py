"""Status of a fleet: the report of the control command `status`, and the line for the service manager."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from flintlatch.config import Config
from flintlatch.fleet import core
from flintlatch.fleet.channel import ChannelMessage
from flintlatch.fleet.nodes import NodeList
from flintlatch.net.clock import now_ms


class StatusSource(Protocol):
    """The part of the supervisor that the report reads."""

    @property
    def core(self) -> core.Fleet: ...
    @property
    def config(self) -> Config: ...
    @property
    def ready_after_s(self) -> float: ...
    @property
    def last_reload(self) -> ChannelMessage: ...
    @property
    def recent_warnings(self) -> list[str]: ...
    @property
    def nodes(self) -> Mapping[int, NodeList]: ...
    @property
    def processes(self) -> Mapping[int, Any]: ...
    def addresses(self) -> list[str]: ...


def summary(fleet: core.Fleet) -> str:
    """One line that says how many instances of the current generation serve."""
    current = fleet.current
    if current is None:
        return fleet.phase.value
    serving_workers = [w for w in fleet.workers.values() if w.state is core.WorkerState.SERVING]
    serving_count = sum(w.generation == current.number for w in serving_workers)
    given_up = sum(s.state is core.SlotState.GIVEN_UP for s in current.slots)
    text = f"generation {current.number}: {serving_count} of {len(current.slots)} instances serve"
    return text + (f", {given_up} given up" if given_up else "")


def report(supervisor: StatusSource, pid: int, now_s: float) -> dict[str, Any]:
    """The whole status, to be sent as JSON. Ages are in seconds; unknown values are null."""
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
                "nodes": node_list_row(supervisor, generation.number),
                "slots": [slot_row(slot, now_s) for slot in generation.slots],
            }
            for generation in fleet.generations.values()
        ],
        "instances": [instance_row(supervisor, worker, now_s) for worker in fleet.workers.values()],
    }


def slot_row(slot: core.Slot, now_s: float) -> dict[str, Any]:
    is_waiting = slot.state is core.SlotState.WAITING
    return {
        "number": slot.number,
        "state": slot.state.value,
        "worker": slot.worker,
        "restarts": slot.restarts,
        "crashes_in_a_row": slot.consecutive_crashes,
        "last_crash": slot.last_crash,
        "starts_in_s": round(slot.restart_at_s - now_s, 3) if is_waiting else None,
    }


def node_list_row(supervisor: StatusSource, generation: int) -> dict[str, Any]:
    node_list = supervisor.nodes.get(generation)
    if node_list is None:
        return {}
    age_s = (now_ms() - node_list.last_update_ms) / 1000
    return {
        "count": len(node_list.targets),
        "rev": node_list.rev,
        "age_s": round(age_s, 1),
        "failure": node_list.failure,
        **node_list.rejections(),
    }


def _revisions_behind(supervisor: StatusSource, generation: int, rev: int | None) -> int | None:
    """How many revisions of the list an instance has not confirmed yet; None if it has confirmed none."""
    node_list = supervisor.nodes.get(generation)
    return None if node_list is None or rev is None else max(node_list.rev - rev, 0)


def instance_row(supervisor: StatusSource, worker: core.Worker, now_s: float) -> dict[str, Any]:
    process = supervisor.processes.get(worker.id)
    subprocess = process.process if process is not None else None
    heartbeat = process.last_heartbeat if process is not None else {}
    return {
        "worker": worker.id,
        "generation": worker.generation,
        "number": worker.number,
        "pid": subprocess.pid if subprocess is not None else None,
        "state": worker.state.value,
        "age_s": round(now_s - worker.started_s, 1),
        "heard_s": round(now_s - worker.last_message_s, 2),
        "in_flight": heartbeat.get("in_flight"),
        "clients": heartbeat.get("clients"),
        "rss_mb": heartbeat.get("rss_mb"),
        "rev": heartbeat.get("rev"),
        "behind": _revisions_behind(supervisor, worker.generation, heartbeat.get("rev")),
        "nodes": heartbeat.get("nodes"),
        "proxies": heartbeat.get("proxies"),
        "access_log": heartbeat.get("access_log"),
    }
