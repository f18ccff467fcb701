"""Reads the server lists of the discovery service. No I/O.

A list is read entry by entry: an entry that can't be read takes no other entry with it, because the others
may drain servers.
"""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import NamedTuple

import orjson

from flintlatch.api import ServerInfo, ServerState
from flintlatch.net.http1 import split_address
from flintlatch.settings import (
    JsonObject,
    Malformed,
    SocketSettings,
    require_array,
    require_choice,
    require_integer,
    require_number,
    require_object,
    require_string,
)

SERVER_STATES = {"active": ServerState.ACTIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
COMPLETE_ENTRY = re.compile(rb"\{[^{}]*\}")  # entries contain no objects


class Target(NamedTuple):
    """A server on the list with its address."""

    uid: str
    host: str
    port: int
    info: ServerInfo


class Listing(NamedTuple):
    """A snapshot of the list, or a delta with the servers that changed."""

    revision: int
    is_snapshot: bool
    targets: tuple[Target, ...]
    # Servers that the list names without telling anything that can be used: they stay as they are.
    unchanged: frozenset[str] = frozenset()
    faults: tuple[str, ...] = ()  # of the entries that can't be read
    is_partial: bool = False  # only what a list takes away; the service has not confirmed the rest


def zone_or_kind_number(names: dict[str, int], value: object, member: str) -> int:
    """The number of a zone or kind. A name that the settings do not list gets the next free number."""
    if value is None:
        return 0
    return value if type(value) is int else names.setdefault(require_string(value, member), len(names))


def read_target(raw: object, wire: SocketSettings) -> Target:
    entry = require_object(raw, "targets")
    uid, started = require_string(entry["uid"], "uid"), entry.get("boot_ms")
    state = require_choice(SERVER_STATES, entry["state"], "state")
    host, port = read_endpoint(entry, state)
    info = ServerInfo(
        uid,
        state,
        zone_or_kind_number(wire.zones, entry.get("az"), "az"),
        zone_or_kind_number(wire.kinds, entry.get("model"), "model"),
        require_integer(entry.get("pod_group") or 0, "pod_group"),
        require_number(started, "boot_ms") if started else None,
        require_number(entry.get("capacity_hint") or 1, "capacity_hint"),
    )
    return Target(uid, host, port, info)


def read_endpoint(entry: JsonObject, state: ServerState) -> tuple[str, int]:
    """The address of an entry. Raises Malformed, ValueError or KeyError."""
    host, port = split_address(require_string(entry["endpoint"], "endpoint"))
    try:
        ip_address(host)
    except ValueError:
        # A host name that has to be looked up would block the proxy.
        raise Malformed(f"endpoint {host!r} is not an IP address") from None
    return host, port


def read_listing(raw: object, wire: SocketSettings) -> Listing:
    """Checks a decoded list and converts it. Raises Malformed if it is no list, or has entries and none of
    them can be read."""
    try:
        data = require_object(raw, "list")
        entries = require_array(data["targets"], "targets")
        revision, is_snapshot = require_integer(data["rev"], "rev"), data["all"] is True
    except KeyError as error:
        raise Malformed(f"list: {error.args[0]} is missing") from None
    except Malformed as error:
        raise Malformed(f"list: {error}") from None
    targets: list[Target] = []
    unchanged: set[str] = set()
    faults: list[str] = []
    for entry in entries:
        try:
            targets.append(read_target(entry, wire))
        except (KeyError, ValueError, Malformed) as error:
            fault = f"{error.args[0]} is missing" if isinstance(error, KeyError) else str(error)
            faults.append(fault)
            drained = read_drain(entry)
            if drained is not None:
                targets.append(drained)
            elif isinstance(entry, dict) and isinstance(entry.get("uid"), str):
                unchanged.add(entry["uid"])
    if faults and not targets:
        raise Malformed(f"list: {faults[0]}")
    return Listing(revision, is_snapshot, tuple(targets), frozenset(unchanged), tuple(faults))


def write_listing(listing: Listing, wire: SocketSettings) -> JsonObject:
    """A list in the form that `read_listing` reads."""
    zones = {number: name for name, number in wire.zones.items()}
    kinds = {number: name for name, number in wire.kinds.items()}
    state_names = {state: name for name, state in SERVER_STATES.items()}
    targets = [
        {
            "uid": target.uid,
            "endpoint": f"{target.host}:{target.port}",
            "az": zones.get(target.info.zone),
            "model": kinds.get(target.info.kind),
            "pod_group": target.info.cell,
            "state": state_names[target.info.state],
            "capacity_hint": target.info.weight,
            "boot_ms": target.info.started or 0,
        }
        for target in listing.targets
    ]
    return {"rev": listing.revision, "all": listing.is_snapshot, "targets": targets}


def read_drain(entry: object) -> Target | None:
    """The target of an entry that drains or removes a server, whatever else the entry lacks; None for any
    other entry. Neither needs an address."""
    if not isinstance(entry, dict) or not isinstance(entry.get("uid"), str):
        return None
    state = entry.get("state")
    if state not in ("leaving", "left"):
        return None
    return Target(entry["uid"], "", 0, ServerInfo(entry["uid"], SERVER_STATES[state]))


def restricted(listing: Listing) -> Listing:
    """The part of a list that only takes servers away. It is safe to apply also when the rest of the list is
    in doubt."""
    drained = tuple(target for target in listing.targets if target.info.state is not ServerState.ACTIVE)
    active = {target.uid for target in listing.targets if target.info.state is ServerState.ACTIVE}
    return listing._replace(targets=drained, unchanged=listing.unchanged | active)


def read_incomplete_listing(body: bytes, revision: int) -> Listing | None:
    """The drains and removals that the beginning of a list names completely, as a delta at `revision`; None
    if it names none."""
    drained = []
    for match in COMPLETE_ENTRY.finditer(body):
        try:
            target = read_drain(orjson.loads(match.group()))
        except orjson.JSONDecodeError:
            continue
        if target is not None:
            drained.append(target)
    return Listing(revision, False, tuple(drained), is_partial=True) if drained else None
