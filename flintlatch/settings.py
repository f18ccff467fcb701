"""Reads the deployment's settings from JSON, for the simulator's adapter and for the proxy on sockets."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from flintlatch.api import Effect, RequestClass, Scope, Settings

EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
JsonObject = dict[str, Any]


class Malformed(Exception):
    """Input that violates the format; the text is for operators."""


def require_choice(table: dict[str, Any], value: object, member: str) -> Any:
    """Returns the entry of the table under `value`; `member` names the JSON member in the error."""
    if not isinstance(value, str) or value not in table:
        raise Malformed(f"unknown {member} {value!r}, expected one of {sorted(table)}")
    return table[value]


def require_number(value: object, member: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise Malformed(f"{member} is not a number: {value!r}")
    return float(value)


def require_integer(value: object, member: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise Malformed(f"{member} is not a whole number: {value!r}")
    return value


def require_string(value: object, member: str) -> str:
    if not isinstance(value, str):
        raise Malformed(f"{member} is not a string: {value!r}")
    return value


def require_object(value: object, member: str) -> JsonObject:
    if not isinstance(value, dict):
        raise Malformed(f"{member} is not an object but {type(value).__name__}")
    return value


def require_array(value: object, member: str) -> list[Any]:
    if not isinstance(value, list):
        raise Malformed(f"{member} is not an array but {type(value).__name__}")
    return value


def read_class(raw: JsonObject) -> RequestClass:
    return RequestClass(
        aim_ms=require_number(raw["AimMs"], "AimMs"),
        deadline_ms=require_number(raw["HardLimitMs"], "HardLimitMs"),
        effect=require_choice(EFFECTS, raw["Effect"], "Effect"),
        scope=require_choice({s.value: s for s in Scope}, raw.get("KeyScope") or "all", "KeyScope"),
        window_ms=require_number(raw.get("KeyTtlMs") or 0, "KeyTtlMs"),
        worth=require_number(raw.get("Points", 1), "Points"),
        late_worth=require_number(raw.get("LateWorth") or 0, "LateWorth"),
        stream=bool(raw.get("Stream")),
    )


def read_settings(info: JsonObject) -> Settings:
    """Raises Malformed for values of a wrong type and KeyError for a missing member."""
    limits = require_object(info.get("Limits") or {}, "Limits")
    obligations = require_object(info.get("Obligations") or {}, "Obligations")
    domain = require_object(info.get("Domain") or {}, "Domain")
    tenants = [require_object(t, "Projects") for t in require_array(info.get("Projects") or [], "Projects")]
    return Settings(
        classes=tuple(read_class(require_object(c, "Lanes")) for c in require_array(info["Lanes"], "Lanes")),
        proxies=require_integer(info.get("Balancers", 1), "Balancers"),
        me=require_integer(info.get("Me", 0), "Me"),
        zone=require_integer(info.get("Az") or 0, "Az"),
        zones=max(1, len(require_array(info.get("Dcs") or [], "Dcs"))),
        quotas=tuple(require_number(t["QuotaPerS"], "QuotaPerS") for t in tenants),
        over_share_worth=require_number(info.get("OverShareWorth", 1), "OverShareWorth"),
        tick_ms=require_number(info.get("TickMs", 1), "TickMs"),
        ask_for_list=info.get("Discovery") == "ask",
        must_ask_ms=require_number(obligations.get("MustAskInMs", 10000), "MustAskInMs"),
        may_cancel=bool(limits.get("MayCancel")),
        may_duplicate=bool(limits.get("MayDuplicate")),
        may_probe=bool(limits.get("Probes")),
        retry_after=bool(limits.get("RetryAfter")),
        max_retry_after_ms=require_number(limits.get("MaxRetryAfterMs") or 0, "MaxRetryAfterMs"),
        max_attempts=require_integer(limits.get("MostTries", 1), "MostTries"),
        key_affinity=bool(domain.get("WarmKeys")),
        weights_report_load=info.get("Weights") == "live",
        start_capacity=require_number(obligations.get("StartCapacity", 1), "StartCapacity"),
        cold_ms=require_number(obligations.get("ColdMs") or 0, "ColdMs"),
        fall_multiple=require_number(obligations.get("FallMultiple", 2), "FallMultiple"),
        fall_ms=require_number(obligations.get("OverloadForMs", 1000), "OverloadForMs"),
    )


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """Settings that only a proxy on sockets needs: names that clients and discovery use, and timeouts.

    Each mapping gives the index that the decision module uses for a name.
    """

    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    connect_timeout_ms: float
    conn_idle_ms: float
    source_host: str = ""  # local address of connections to backends and discovery; empty: any


def index_by_name(names: list[Any], member: str) -> dict[str, int]:
    """Maps each name to its position in the list."""
    return {require_string(name, member): index for index, name in enumerate(names)}


def read_socket_settings(info: JsonObject) -> SocketSettings:
    """Raises Malformed for values of a wrong type or out of range and KeyError for a missing member."""
    limits = require_object(info.get("Limits") or {}, "Limits")
    classes = [require_object(c, "Lanes") for c in require_array(info["Lanes"], "Lanes")]
    tenants = [require_object(t, "Projects") for t in require_array(info.get("Projects") or [], "Projects")]
    sockets = SocketSettings(
        classes=index_by_name([c["Name"] for c in classes], "Name"),
        tenants=index_by_name([t["Name"] for t in tenants], "Name"),
        zones=index_by_name(require_array(info.get("Dcs") or [], "Dcs"), "Dcs"),
        kinds=index_by_name(require_array(info.get("Kinds") or [], "Kinds"), "Kinds"),
        connect_timeout_ms=require_number(limits.get("ConnectTimeoutMs", 250), "ConnectTimeoutMs"),
        conn_idle_ms=require_number(limits.get("ConnIdleMs", 15000), "ConnIdleMs"),
    )
    for name in ("connect_timeout_ms", "conn_idle_ms"):
        if not 0 < getattr(sockets, name) < inf:
            raise Malformed(f"{name} must be above 0 and finite, not {getattr(sockets, name)!r}")
    return sockets
