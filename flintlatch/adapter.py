"""Translates between the simulator's JSON Lines protocol and the decision module; makes no decisions."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from flintlatch.api import (
    Action,
    Arrival,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    ResponseStarted,
    Result,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    SetTimer,
    TimerFired,
    Watch,
)
from flintlatch.choice import Balancer
from flintlatch.settings import (
    JsonObject,
    Malformed,
    read_settings,
    require_array,
    require_choice,
    require_integer,
    require_number,
    require_object,
    require_string,
)

RESULTS = {
    "ok": Result.OK,
    "error": Result.ERROR,
    "full": Result.FULL,
    "timeout": Result.TIMEOUT,
    "connect_failed": Result.CONNECT_FAILED,
    "reset": Result.RESET,
    "cancelled": Result.CANCELLED,
    "moot": Result.NOT_SENT,
}
LIST_KINDS = {
    "INCREMENTAL": ListKind.DELTA,
    "FULL": ListKind.SNAPSHOT,
    "SAVED": ListKind.SAVED,
    "FAILED": ListKind.FAILED,
}
STATES = {"active": ServerState.ACTIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
RETRY_BIT = 2  # of `Bitmap`: the client marks the request as a retry


def read_arrival(raw: JsonObject, class_count: int) -> Event:
    cls, key = raw["Lane"], raw.get("Subject")
    if type(cls) is not int or not 0 <= cls < class_count:
        raise Malformed(f"Lane is not the number of a class: {cls!r}, expected 0 to {class_count - 1}")
    if key is not None:
        key = require_integer(key, "Subject")
    tenant = require_integer(raw.get("Tenant") or 0, "Tenant")
    client_deadline, flags = (
        require_number(raw["GiveUpAtMs"], "GiveUpAtMs"),
        require_integer(raw.get("Bitmap") or 0, "Bitmap"),
    )
    return Arrival(
        require_string(raw["Call"], "Call"), cls, tenant, key, client_deadline, bool(flags & RETRY_BIT)
    )


def read_outcome(raw: JsonObject, _: int) -> Event:
    return Outcome(
        require_string(raw["Call"], "Call"),
        require_integer(raw["Leg"], "Leg"),
        require_choice(RESULTS, raw["How"], "How"),
        require_number(raw["DelaySeenMs"], "DelaySeenMs"),
        raw["Finished"] is True,
    )


def read_response_started(raw: JsonObject, _: int) -> Event:
    latency = require_number(raw["DelaySeenMs"], "DelaySeenMs")
    return ResponseStarted(require_string(raw["Call"], "Call"), require_integer(raw["Leg"], "Leg"), latency)


def read_client_disconnected(raw: JsonObject, _: int) -> Event:
    return ClientDisconnected(require_string(raw["Call"], "Call"))


def read_entry(raw: JsonObject) -> ServerInfo:
    started = raw.get("LastStartMs")  # 0, like no value: long ago
    return ServerInfo(
        require_string(raw["Backend"], "Backend"),
        require_choice(STATES, raw["State"], "State"),
        require_integer(raw.get("RackZone") or 0, "RackZone"),
        require_integer(raw.get("Shape") or 0, "Shape"),
        require_integer(raw.get("Cohort") or 0, "Cohort"),
        require_number(started, "LastStartMs") if started else None,
        require_number(raw.get("Rating") or 1, "Rating"),  # 0, like no value: no weight given
    )


def read_list(raw: JsonObject, _: int) -> Event:
    kind = require_choice(LIST_KINDS, raw["Mode"], "Mode")
    entries = require_array(raw.get("Records") or [], "Records")
    return ServerList(kind, tuple(read_entry(require_object(e, "Records")) for e in entries))


def read_probe_result(raw: JsonObject, _: int) -> Event:
    # A probe may fail with a result that is not in the table; all of them count as ERROR.
    result = RESULTS.get(require_string(raw["How"], "How"), Result.ERROR)
    return ProbeResult(
        require_string(raw["Backend"], "Backend"), result, require_number(raw["DelaySeenMs"], "DelaySeenMs")
    )


def read_timer(raw: JsonObject, _: int) -> Event:
    return TimerFired(require_integer(raw["Ref"], "Ref"))


# All readers take the number of classes; only `read_arrival` uses it.
READERS: dict[str, Callable[[JsonObject, int], Event] | None] = {
    "Incoming": read_arrival,
    "Reply": read_outcome,
    "Started": read_response_started,
    "CancelledByClient": read_client_disconnected,
    "PeersKnown": read_list,
    "ProbeDone": read_probe_result,
    "Ring": read_timer,
    "FromPeer": None,  # ignored: the instances of this adapter exchange no messages
}
WRITERS: dict[type[Any], Callable[[Any], JsonObject]] = {
    Send: lambda a: {
        "what": "Deliver",
        "Call": a.request,
        "Backend": a.server,
        "LimitMs": a.attempt_timeout_ms,
    },
    Refuse: lambda a: {"what": "NotNow", "Call": a.request, "ComeBackMs": a.retry_after_ms},
    Fail: lambda a: {"what": "GiveUp", "Call": a.request},
    Cancel: lambda a: {"what": "AbortAttempt", "Call": a.request, "Leg": a.attempt},
    Probe: lambda a: {"what": "SoundOut", "Backend": a.server},
    Watch: lambda a: {"what": "Subscribe", "Want": True},
    SetTimer: lambda a: {"what": "Schedule", "OffsetMs": a.delay_ms, "Ref": a.token},
    Log: lambda a: {"what": "NoteDown", "Msg": a.text},
}


class SimulatorHost:
    """Hosts the instances of one simulation: a Balancer for each, with no shared state."""

    def __init__(self) -> None:
        self.instances: dict[int, tuple[Balancer, int]] = {}

    def handle_batch(self, line: bytes) -> bytes:
        """Handles one line of input and returns the line of replies; raises Malformed."""
        try:
            message = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise Malformed(f"line is not JSON: {error}") from None
        message = require_object(message, "batch")
        for member in ("TsMs", "news"):
            if member not in message:
                raise Malformed(f"batch: {member} is missing")
        now = require_number(message["TsMs"], "TsMs")
        events: dict[int, list[Event]] = {}  # by instance (`ProxyId`)
        replies: list[JsonObject] = []
        for raw in require_array(message["news"], "news"):
            self.handle_event(now, require_object(raw, "news entry"), events, replies)
        for instance in list(events):
            self.run_step(now, instance, events, replies)
        return orjson.dumps({"cmds": replies})

    def handle_event(
        self, now: float, raw: JsonObject, events: dict[int, list[Event]], replies: list[JsonObject]
    ) -> None:
        """Adds an event to its instance's events, or starts or ends the instance."""
        what, instance = raw.get("what"), raw.get("ProxyId")
        try:
            if "what" not in raw or "ProxyId" not in raw:
                raise KeyError("what" if "what" not in raw else "ProxyId")
            if type(instance) is not int:
                raise Malformed(f"ProxyId is not a whole number: {instance!r}")
            if what == "Provision":
                seed, info = require_integer(raw["Entropy"], "Entropy"), require_object(raw["Info"], "Info")
                # A new start discards the instance's earlier state and its earlier events of this batch.
                events[instance] = []
                settings = read_settings(info)
                self.instances[instance] = (Balancer(settings, seed), len(settings.classes))
                return
            if instance not in self.instances:
                raise Malformed("the instance was never provisioned")
            if what == "Exit":
                events.pop(instance, None)
                del self.instances[instance]
                return
            if not isinstance(what, str) or what not in READERS:
                raise Malformed("unknown event")
            reader = READERS[what]
            if reader is not None:
                events.setdefault(instance, []).append(reader(raw, self.instances[instance][1]))
        except KeyError as error:
            raise Malformed(f"{what} for instance {instance}: {error.args[0]} is missing") from None
        except (Malformed, ValueError) as error:
            raise Malformed(f"{what} for instance {instance}: {error}") from None

    def run_step(
        self, now: float, instance: int, events: dict[int, list[Event]], replies: list[JsonObject]
    ) -> None:
        """Passes the instance's events to its Balancer and appends its actions to the replies."""
        try:
            actions: list[Action] = self.instances[instance][0].step(now, events.pop(instance))
        except (
            Exception
        ) as error:  # any fault of the decision module is reported to the simulator, which then stops
            text = f"{type(error).__name__}: {error}"
            replies.append({"what": "GiveIn", "ProxyId": instance, "Msg": text})
            return
        for action in actions:
            message = WRITERS[type(action)](action)
            message["ProxyId"] = instance
            replies.append(message)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers one line for each line of `source` and returns the exit code: 2 for malformed input."""
    host = SimulatorHost()
    for line in source:
        try:
            reply = host.handle_batch(line)
        except Malformed as error:
            print(f"flintlatch: {error}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
