"""Reads the configuration of delivery's own processes: the [delivery] table of origin, relay and follower.

[delivery]                            of all three processes; also name, key_file, region, zone
bind = "10.0.0.3:7950"                of the origin and a relay
source = "objects.json"               of the origin: the watched file of objects
keep = "objects.json.kept"            of the origin: its state file, by default source with .kept
origin = "10.0.0.2:7950"              of a relay
source_host = "10.0.0.3"              of a relay and a follower: local address of connections
names = ["service/answers"]           of a follower: objects to subscribe to
[[delivery.relays]]                   of a follower: name, address, region, zone
[delivery.rules]                      must be equal in all processes for the bounds on the delay to hold
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, replace

from flintlatch.config import read_config_file, resolve_config_path
from flintlatch.config.reader import InvalidConfig, Problem, Reader, check_address, format_value
from flintlatch.config.tables import (
    DAY_S,
    MAX_OBJECT_NAME_BYTES,
    check_unique,
    read_ip_address,
    read_region,
    read_relay,
)
from flintlatch.delivery.model import RELAY_RULES, Participant, Rules
from flintlatch.delivery.wire import MAX_FRAME_BYTES
from flintlatch.peers.seal import InvalidKeyFile, read_keys

MAX_KEY_FILE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class CommonSettings:
    """Settings of all three processes."""

    identity: Participant  # of the process itself
    keys: tuple[bytes, ...]
    rules: Rules  # between relays and proxies
    upstream_rules: Rules  # between relays and the origin


@dataclass(frozen=True, slots=True)
class OriginTable:
    common: CommonSettings
    bind: str
    source_path: str  # absolute
    state_path: str  # absolute


@dataclass(frozen=True, slots=True)
class RelayTable:
    common: CommonSettings
    bind: str
    origin: Participant
    source_host: str


@dataclass(frozen=True, slots=True)
class FollowerTable:
    common: CommonSettings
    relays: tuple[Participant, ...]
    names: tuple[str, ...]
    source_host: str


def read_delivery_rules(reader: Reader) -> Rules:
    defaults = Rules()
    first_s, most_s = defaults.retry_s
    rules = Rules(
        gather_s=reader.number("gather_s", 0, 60, defaults.gather_s),
        ping_s=reader.number("ping_s", 0.1, 60, defaults.ping_s),
        silence_s=reader.number("silence_s", 0.2, 600, defaults.silence_s),
        connect_s=reader.number("connect_s", 0.1, 60, defaults.connect_s),
        spread_s=reader.number("spread_s", 0, 600, defaults.spread_s),
        retry_s=(
            reader.number("retry_first_s", 0.05, 60, first_s),
            reader.number("retry_most_s", 0.05, 600, most_s),
        ),
        stale_s=reader.number("stale_s", 0.2, 600, defaults.stale_s),
        return_s=reader.number("return_s", 0.5, DAY_S, defaults.return_s),
        bytes_per_s=reader.number("bytes_per_s", 100, 1e9, defaults.bytes_per_s),
        burst_bytes=reader.number("burst_bytes", MAX_FRAME_BYTES, 1e10, defaults.burst_bytes),
        window_bytes=reader.number("window_bytes", MAX_FRAME_BYTES, 1e9, defaults.window_bytes),
        most_names=reader.integer("most_names", 1, 1_000_000, defaults.most_names),
        most_sessions=reader.integer("most_sessions", 1, 100_000, defaults.most_sessions),
    )
    if rules.burst_bytes < rules.window_bytes:
        reader.add_problem(
            "burst_bytes", f"{rules.burst_bytes:g}", f"at least window_bytes, {rules.window_bytes:g}"
        )
    if rules.retry_s[1] < rules.retry_s[0]:
        reader.add_problem("retry_most_s", f"{rules.retry_s[1]:g}", "at least retry_first_s")
    reader.reject_unknown_keys()
    return rules


def to_upstream_rules(rules: Rules) -> Rules:
    """Returns the rules between relays and the origin: times of `rules`, amounts of data of RELAY_RULES."""
    defaults = RELAY_RULES
    return replace(rules, bytes_per_s=defaults.bytes_per_s, burst_bytes=defaults.burst_bytes,
                   window_bytes=defaults.window_bytes, batch_bytes=defaults.batch_bytes)  # fmt: skip


def _read_keys(reader: Reader) -> tuple[bytes, ...]:
    key_file = reader.string("key_file", None, "the path of a file with the key of delivery")
    if not key_file:
        return ()
    path = resolve_config_path(reader.file, key_file)
    try:
        with open(path) as file:
            return read_keys(file.read(MAX_KEY_FILE_BYTES), path)
    except OSError as error:
        reader.add_problem("key_file", f"{path}: {error.strerror}", "a file that can be read")
    except UnicodeDecodeError:
        reader.add_problem("key_file", f"{path}: not text", "64 hexadecimal digits a line")
    except InvalidKeyFile as error:
        # The text of the error has the position and the expected content, never the line: that may be a key.
        reader.add_problem("key_file", "an invalid key file", str(error))
    return ()


def _read_common(reader: Reader) -> CommonSettings:
    identity = Participant(reader.name("name"), read_region(reader), reader.string("zone", ""))
    rules = read_delivery_rules(reader.subtable("rules"))
    return CommonSettings(identity, _read_keys(reader), rules, to_upstream_rules(rules))


def _read_bind_address(reader: Reader) -> str:
    text = reader.string("bind", None, 'an address such as "10.0.0.3:7950"')
    return check_address(reader, "bind", text) if text else ""


def _read_origin(reader: Reader) -> Participant:
    text = reader.string("origin", None, 'the address of the origin such as "10.0.0.2:7950"')
    host_port = check_address(reader, "origin", text, "127.0.0.1:1") if text else ""
    if host_port.endswith(":0"):
        reader.add_problem("origin", repr(host_port), "a port from 1 to 65535")
    return Participant("origin", address=host_port)


def _read_names(reader: Reader, arguments: tuple[str, ...], max_names: int) -> tuple[str, ...]:
    """Reads the names of objects to subscribe to; `arguments` of the command line replace the file's."""
    names = reader.array("names", 'names of objects such as ["service/answers"]')
    names = list(arguments) or names
    if not names:
        reader.add_problem("names", "", 'names of objects such as ["service/answers"], here or as arguments')
    for index, name in enumerate(names):
        is_valid = isinstance(name, str) and 0 < len(name.encode()) <= MAX_OBJECT_NAME_BYTES
        if not is_valid or names.count(name) > 1:
            reader.add_problem(
                f"names[{index}]",
                format_value(name),
                f"a name of 1 to {MAX_OBJECT_NAME_BYTES} bytes, each once",
            )
    if len(names) > max_names:
        reader.add_problem("names", f"{len(names)} names", f"at most rules.most_names, {max_names}")
    return tuple(names)


def _open(path: str) -> tuple[Reader, list[Problem]]:
    """Returns a reader of the file's top level, and the list that collects its problems."""
    try:
        raw = tomllib.loads(read_config_file(path))
    except tomllib.TOMLDecodeError as error:
        raise InvalidConfig(
            [Problem(path, "file", str(error), "TOML (https://toml.io, version 1.0)")]
        ) from None
    problems: list[Problem] = []
    return Reader(path, "", raw, problems), problems


def _finish(root: Reader, reader: Reader, problems: list[Problem]) -> None:
    """Rejects unknown keys. Raises InvalidConfig if there are any problems."""
    reader.reject_unknown_keys()
    root.reject_unknown_keys()
    if problems:
        raise InvalidConfig(problems)


def load_origin(path: str) -> OriginTable:
    """Raises InvalidConfig with all problems; so do load_relay and load_follower."""
    root, problems = _open(path)
    reader = root.subtable("delivery")
    source = reader.string("source", None, "the path of the file with the objects")
    state_path = reader.string("keep", f"{source}.kept", "the path of a file to write")
    table = OriginTable(
        _read_common(reader),
        _read_bind_address(reader),
        resolve_config_path(path, source),
        resolve_config_path(path, state_path),
    )
    _finish(root, reader, problems)
    return table


def load_relay(path: str) -> RelayTable:
    root, problems = _open(path)
    reader = root.subtable("delivery")
    source_host = read_ip_address(reader, "source_host")
    table = RelayTable(_read_common(reader), _read_bind_address(reader), _read_origin(reader), source_host)
    _finish(root, reader, problems)
    return table


def load_follower(path: str, names: tuple[str, ...] = ()) -> FollowerTable:
    """`names` replace those of the file."""
    root, problems = _open(path)
    reader = root.subtable("delivery")
    common = _read_common(reader)
    rows = [read_relay(row) for row in reader.subtables("relays", min_items=1)]
    check_unique(reader, "relays.name", [row.name for row in rows])
    check_unique(reader, "relays.address", [row.address for row in rows])
    relays = tuple(Participant(row.name, row.region, row.zone, row.address) for row in rows)
    object_names = _read_names(reader, names, common.rules.most_names)
    table = FollowerTable(common, relays, object_names, read_ip_address(reader, "source_host"))
    _finish(root, reader, problems)
    return table
