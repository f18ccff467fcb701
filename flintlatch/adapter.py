"""Adapter between the simulator's wire and the decision module: framing, JSON and names. No decisions."""

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
    Result,
    Send,
    ServerInfo,
    ServerList,
    ServerState,
    SetTimer,
    ResponseStarted,
    TimerFired,
    Watch,
)
from flintlatch.choice import Balancer
from flintlatch.settings import (
    Malformed,
    Message,
require_choice,
require_array,
require_object,
require_number,
    read_settings,
require_string,
require_integer,
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
    "INCREMENTAL": ListKind.CHANGES,
    "FULL": ListKind.FULL,
    "SAVED": ListKind.SAVED,
    "FAILED": ListKind.FAILED,
}
STATES = {"active": ServerState.ACTIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
REPEAT_BIT = 2


def read_arrival(raw: Message, classes: int) -> Event:
    cls, key = raw["Lane"], raw.get("Subject")
    if type(cls) is not int or not 0 <= cls < classes:
        raise Malformed(f"Lane is no known class: {cls!r}")
    if key is not None:
        key = require_integer(key, "Subject")
    tenant = require_integer(raw.get("Tenant") or 0, "Tenant")
    give_up, bits = require_number(raw["GiveUpAtMs"], "GiveUpAtMs"), require_integer(raw.get("Bitmap") or 0, "Bitmap")
    return Arrival(require_string(raw["Call"], "Call"), cls, tenant, key, give_up, bool(bits & REPEAT_BIT))


def read_outcome(raw: Message, _: int) -> Event:
    return Outcome(
        require_string(raw["Call"], "Call"),
        require_integer(raw["Leg"], "Leg"),
        require_choice(RESULTS, raw["How"], "How"),
        require_number(raw["DelaySeenMs"], "DelaySeenMs"),
        raw["Finished"] is True,
    )


def read_started(raw: Message, _: int) -> Event:
    delay = require_number(raw["DelaySeenMs"], "DelaySeenMs")
    return ResponseStarted(require_string(raw["Call"], "Call"), require_integer(raw["Leg"], "Leg"), delay)


def read_gone(raw: Message, _: int) -> Event:
    return ClientDisconnected(require_string(raw["Call"], "Call"))


def read_entry(raw: Message) -> ServerInfo:
    started = raw.get("LastStartMs")
    return ServerInfo(
        require_string(raw["Backend"], "Backend"),
        require_choice(STATES, raw["State"], "State"),
        require_integer(raw.get("RackZone") or 0, "RackZone"),
        require_integer(raw.get("Shape") or 0, "Shape"),
        require_integer(raw.get("Cohort") or 0, "Cohort"),
        require_number(started, "LastStartMs") if started else None,
        require_number(raw.get("Rating") or 1, "Rating"),
    )


def read_list(raw: Message, _: int) -> Event:
    kind = require_choice(LIST_KINDS, raw["Mode"], "Mode")
    entries = require_array(raw.get("Records") or [], "Records")
    return ServerList(kind, tuple(read_entry(require_object(e, "Records")) for e in entries))


def read_probe(raw: Message, _: int) -> Event:
    # A probe may fail for a cause with no name of its own here; only success is told apart.
    result = RESULTS.get(require_string(raw["How"], "How"), Result.ERROR)
    return ProbeResult(require_string(raw["Backend"], "Backend"), result, require_number(raw["DelaySeenMs"], "DelaySeenMs"))


def read_ring(raw: Message, _: int) -> Event:
    return TimerFired(require_integer(raw["Ref"], "Ref"))


READERS: dict[str, Callable[[Message, int], Event] | None] = {
    "Incoming": read_arrival,
    "Reply": read_outcome,
    "Started": read_started,
    "CancelledByClient": read_gone,
    "PeersKnown": read_list,
    "ProbeDone": read_probe,
    "Ring": read_ring,
    "FromPeer": None,  # peers are not used
}
WRITERS: dict[type[Any], Callable[[Any], Message]] = {
    Send: lambda a: {"what": "Deliver", "Call": a.request, "Backend": a.server, "LimitMs": a.attempt_timeout_ms},
    Refuse: lambda a: {"what": "NotNow", "Call": a.request, "ComeBackMs": a.retry_after_ms},
    Fail: lambda a: {"what": "GiveUp", "Call": a.request},
    Cancel: lambda a: {"what": "AbortAttempt", "Call": a.request, "Leg": a.attempt},
    Probe: lambda a: {"what": "SoundOut", "Backend": a.server},
    Watch: lambda a: {"what": "Subscribe", "Want": True},
    SetTimer: lambda a: {"what": "Schedule", "OffsetMs": a.delay_ms, "Ref": a.token},
    Log: lambda a: {"what": "NoteDown", "Msg": a.text},
}


class Host:
    """One Balancer per instance; nothing is shared between them."""

    def __init__(self) -> None:
        self.instances: dict[int, tuple[Balancer, int]] = {}

    def batch(self, line: bytes) -> bytes:
        try:
            message = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise Malformed(f"line is not JSON: {error}") from None
        message = require_object(message, "batch")
        for member in ("TsMs", "news"):
            if member not in message:
                raise Malformed(f"batch without {member}")
        now = require_number(message["TsMs"], "TsMs")
        pending: dict[int, list[Event]] = {}
        replies: list[Message] = []
        for raw in require_array(message["news"], "news"):
            self.take(now, require_object(raw, "news entry"), pending, replies)
        for proxy in list(pending):
            self.flush(now, proxy, pending, replies)
        return orjson.dumps({"cmds": replies})

    def take(self, now: float, raw: Message, pending: dict[int, list[Event]], replies: list[Message]) -> None:
        what, proxy = raw.get("what"), raw.get("ProxyId")
        try:
            if "what" not in raw or "ProxyId" not in raw:
                raise KeyError("what" if "what" not in raw else "ProxyId")
            if type(proxy) is not int:
                raise Malformed(f"ProxyId is not a whole number: {proxy!r}")
            if what == "Provision":
                seed, info = require_integer(raw["Entropy"], "Entropy"), require_object(raw["Info"], "Info")
                # What an instance held before a new start is void: its unread events go with it.
                pending[proxy] = []
                settings = read_settings(info)
                self.instances[proxy] = (Balancer(settings, seed), len(settings.classes))
                return
            if proxy not in self.instances:
                raise Malformed("instance was never provisioned")
            if what == "Exit":
                pending.pop(proxy, None)
                del self.instances[proxy]
                return
            if not isinstance(what, str) or what not in READERS:
                raise Malformed("unknown event")
            reader = READERS[what]
            if reader is not None:
                pending.setdefault(proxy, []).append(reader(raw, self.instances[proxy][1]))
        except KeyError as error:
            raise Malformed(f"{what} for instance {proxy}: {error.args[0]} is missing") from None
        except (Malformed, ValueError) as error:
            raise Malformed(f"{what} for instance {proxy}: {error}") from None

    def flush(self, now: float, proxy: int, pending: dict[int, list[Event]], replies: list[Message]) -> None:
        try:
            actions: list[Action] = self.instances[proxy][0].step(now, pending.pop(proxy))
        except Exception as error:  # whatever broke in the module, the host of the wire is told and stops
            text = f"{type(error).__name__}: {error}"
            replies.append({"what": "GiveIn", "ProxyId": proxy, "Msg": text})
            return
        for action in actions:
            message = WRITERS[type(action)](action)
            message["ProxyId"] = proxy
            replies.append(message)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    host = Host()
    for line in source:
        try:
            reply = host.batch(line)
        except Malformed as error:
            print(f"flintlatch: {error}", file=sys.stderr)
            return 2
        sink.write(reply + b"\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
