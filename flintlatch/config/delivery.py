"""The configuration of delivery's own processes: one [delivery] table each for origin, relay and follower.

[delivery]                            of all three: name, key_file, region, zone
bind = "10.0.0.3:7950"                of the origin and a relay
source = "objects.json"               of the origin: the file that it watches
origin = "10.0.0.2:7950"              of a relay
source_host = "10.0.0.3"              of a relay and a follower: where connections come from
names = ["service/answers"]           of a follower
[[delivery.relays]]                   of a follower: name, address, region, zone
[delivery.rules]                      the same for all processes, or none of the bounds holds
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, replace

from flintlatch.config import read_file, resolve_config_path
from flintlatch.config.reader import InvalidConfig, Problem, Reader, address, shown
from flintlatch.config.tables import (
    DAY_S,
    SERVICE_MOST,
    ip_address_of,
    read_region,
    read_relay,
    unique,
)
from flintlatch.delivery.model import RELAY_RULES, Place, Rules
from flintlatch.delivery.wire import FRAME_MOST
from flintlatch.peers.seal import InvalidKeyFile, read_keys

KEY_MOST = 65_536  # bytes of a key file


@dataclass(frozen=True, slots=True)
class Common:
    me: Place
    keys: tuple[bytes, ...]
    rules: Rules  # of a proxy
    relay_rules: Rules  # of a relay, as it follows the origin


@dataclass(frozen=True, slots=True)
class OriginTable:
    common: Common
    bind: str
    source_path: str  # paths, whole
    state_path: str


@dataclass(frozen=True, slots=True)
class RelayTable:
    common: Common
    bind: str
    origin: Place
    source_host: str


@dataclass(frozen=True, slots=True)
class FollowTable:
    common: Common
    relays: tuple[Place, ...]
    names: tuple[str, ...]
    source_host: str


def read_delivery_rules(reader: Reader) -> Rules:
    usual = Rules()
    first, most = usual.retry_s
    rules = Rules(
        gather_s=reader.number("gather_s", 0, 60, usual.gather_s),
        ping_s=reader.number("ping_s", 0.1, 60, usual.ping_s),
        silence_s=reader.number("silence_s", 0.2, 600, usual.silence_s),
        connect_s=reader.number("connect_s", 0.1, 60, usual.connect_s),
        spread_s=reader.number("spread_s", 0, 600, usual.spread_s),
        retry_s=(
            reader.number("retry_first_s", 0.05, 60, first),
            reader.number("retry_most_s", 0.05, 600, most),
        ),
        stale_s=reader.number("stale_s", 0.2, 600, usual.stale_s),
        return_s=reader.number("return_s", 0.5, DAY_S, usual.return_s),
        rate=reader.number("bytes_per_s", 100, 1e9, usual.rate),
        burst=reader.number("burst_bytes", FRAME_MOST, 1e10, usual.burst),
        window=reader.number("window_bytes", FRAME_MOST, 1e9, usual.window),
        most_names=reader.whole("most_names", 1, 1_000_000, usual.most_names),
        most_sessions=reader.whole("most_sessions", 1, 100_000, usual.most_sessions),
    )
    if rules.burst < rules.window:
        reader.problem("burst_bytes", f"{rules.burst:g}", f"at least window_bytes, {rules.window:g}")
    if rules.retry_s[1] < rules.retry_s[0]:
        reader.problem("retry_most_s", f"{rules.retry_s[1]:g}", "at least retry_first_s")
    reader.done()
    return rules


def upward(rules: Rules) -> Rules:
    """A relay's way to the origin: the same times, its own amounts."""
    usual = RELAY_RULES
    return replace(rules, rate=usual.rate, burst=usual.burst, window=usual.window,
                   batch_bytes=usual.batch_bytes)  # fmt: skip


def _keys(reader: Reader) -> tuple[bytes, ...]:
    name = reader.text("key_file", None, "the path of a file with the key of delivery")
    if not name:
        return ()
    path = resolve_config_path(reader.file, name)
    try:
        with open(path) as file:
            return read_keys(file.read(KEY_MOST), path)
    except OSError as error:
        reader.problem("key_file", f"{path}: {error.strerror}", "a file that can be read")
    except UnicodeDecodeError:
        reader.problem("key_file", f"{path}: no text", "64 hexadecimal digits a line")
    except InvalidKeyFile as error:
        reader.problem("key_file", "a file without keys", str(error))
    return ()


def _common(reader: Reader) -> Common:
    me = Place(reader.name("name"), read_region(reader), reader.text("zone", ""))
    rules = read_delivery_rules(reader.sub("rules"))
    return Common(me, _keys(reader), rules, upward(rules))


def _bind(reader: Reader) -> str:
    text = reader.text("bind", None, 'an address such as "10.0.0.3:7950"')
    return address(reader, "bind", text) if text else ""


def _origin_place(reader: Reader) -> Place:
    text = reader.text("origin", None, 'the address of the origin such as "10.0.0.2:7950"')
    where = address(reader, "origin", text, "127.0.0.1:1") if text else ""
    if where.endswith(":0"):
        reader.problem("origin", repr(where), "a port from 1 to 65535")
    return Place("origin", address=where)


def _names(reader: Reader, instead: tuple[str, ...], most: int) -> tuple[str, ...]:
    """`instead`: of the command line."""
    names = reader.items("names", 'names of objects such as ["service/answers"]')
    names = list(instead) or names
    if not names:
        reader.problem("names", "", 'names of objects such as ["service/answers"], here or as arguments')
    for place, name in enumerate(names):
        good = isinstance(name, str) and 0 < len(name.encode()) <= SERVICE_MOST
        if not good or names.count(name) > 1:
            reader.problem(f"names[{place}]", shown(name), f"a name of 1 to {SERVICE_MOST} bytes, each once")
    if len(names) > most:
        reader.problem("names", f"{len(names)} names", f"at most rules.most_names, {most}")
    return tuple(names)


def _top(path: str) -> tuple[Reader, list[Problem]]:
    try:
        raw = tomllib.loads(read_file(path))
    except tomllib.TOMLDecodeError as error:
        raise InvalidConfig(
            [Problem(path, "file", str(error), "TOML (https://toml.io, version 1.0)")]
        ) from None
    problems: list[Problem] = []
    return Reader(path, "", raw, problems), problems


def _end(top: Reader, reader: Reader, problems: list[Problem]) -> None:
    reader.done()
    top.done()
    if problems:
        raise InvalidConfig(problems)


def load_origin(path: str) -> OriginTable:
    """Raises InvalidConfig with all that is wrong; the others too."""
    top, problems = _top(path)
    reader = top.sub("delivery")
    source = reader.text("source", None, "the path of the file with the objects")
    kept = reader.text("keep", f"{source}.kept", "the path of a file to be written")
    table = OriginTable(
        _common(reader), _bind(reader), resolve_config_path(path, source), resolve_config_path(path, kept)
    )
    _end(top, reader, problems)
    return table


def load_relay(path: str) -> RelayTable:
    top, problems = _top(path)
    reader = top.sub("delivery")
    host = ip_address_of(reader, "source_host")
    table = RelayTable(_common(reader), _bind(reader), _origin_place(reader), host)
    _end(top, reader, problems)
    return table


def load_follow(path: str, names: tuple[str, ...] = ()) -> FollowTable:
    """`names`: in place of those in the file."""
    top, problems = _top(path)
    reader = top.sub("delivery")
    common = _common(reader)
    rows = [read_relay(row) for row in reader.subs("relays", least=1)]
    unique(reader, "relays.name", [row.name for row in rows])
    unique(reader, "relays.address", [row.address for row in rows])
    relays = tuple(Place(row.name, row.region, row.zone, row.address) for row in rows)
    followed = _names(reader, names, common.rules.most_names)
    table = FollowTable(common, relays, followed, ip_address_of(reader, "source_host"))
    _end(top, reader, problems)
    return table
