"""What happens in a run of the soak, and when, drawn from its seed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

RUN_S = 12.0  # before the stop
MIN_EVENTS, MAX_EVENTS = 10, 16
EMPTY_S = (0.5, 3.5)  # for which no server is active


class Family(Enum):
    """A family of faults."""

    REGISTRY = "registry"
    SERVERS = "servers"
    CLIENTS = "clients"
    PROCESS = "process"
    CLOCKS = "clocks"
    CALLS = "calls"
    TRANSFERS = "transfers"
    PIECES = "pieces"
    LOAD = "load"


class Kind(Enum):
    """One event of a run."""

    DRAIN_ONE = "drain one"
    DRAIN_ALL = "drain all"
    REMOVE_ONE = "remove one"
    REMOVE_ALL = "remove all"
    RETURN_ALL = "return all"
    RESTART_COLD = "restart one cold"
    REPLACE_ALL = "replace all"
    RENUMBER = "registry renumbers"
    OUTAGE = "registry outage"
    BAD_ANSWERS = "bad answers of the registry"
    HANG_SOME = "servers hang"
    FAIL_SOME = "servers fail"
    REFUSE_SOME = "servers refuse"
    CLOSE_IDLE = "servers close idle connections"
    LEAVE = "clients leave"
    BURST = "burst"
    BAD_CLIENTS = "bad clients"
    CROWD = "crowd"
    HUP_SERIES = "SIGHUP in series"
    BROKEN_CONFIG = "SIGHUP with a file half-written"
    KILL = "SIGKILL and restart"
    HOLD_UP = "held up"
    STEP_CLOCK = "wall clock stepped"
    CALL_FAULTS = "system calls fail"
    STAYING_CLIENTS = "clients stay behind bytes that can't be read"
    SLOW_READERS = "long responses are read slowly"
    UPLOADS = "connections are reset under uploads"
    SMALL_CHUNKS = "uploads in small chunks"
    PIPELINES = "many pipelined requests at full speed"
    HOLDING_CROWD = "many clients at once that each hold something"
    FLOOD = "several connections at full speed"


LIST_KINDS = (
    Kind.DRAIN_ONE, Kind.DRAIN_ALL, Kind.REMOVE_ONE, Kind.REMOVE_ALL, Kind.RETURN_ALL, Kind.RESTART_COLD,
    Kind.REPLACE_ALL,
)  # fmt: skip
FAMILY_KINDS = {
    Family.REGISTRY: (Kind.RENUMBER, Kind.OUTAGE, Kind.BAD_ANSWERS, Kind.BAD_ANSWERS),
    Family.SERVERS: (Kind.HANG_SOME, Kind.FAIL_SOME, Kind.REFUSE_SOME, Kind.CLOSE_IDLE),
    Family.CLIENTS: (Kind.LEAVE, Kind.BURST, Kind.BAD_CLIENTS, Kind.CROWD),
    Family.PROCESS: (Kind.HUP_SERIES, Kind.BROKEN_CONFIG, Kind.KILL, Kind.HOLD_UP),
    Family.CLOCKS: (Kind.STEP_CLOCK,),
    Family.CALLS: (Kind.CALL_FAULTS,),
    Family.TRANSFERS: (Kind.STAYING_CLIENTS, Kind.SLOW_READERS, Kind.UPLOADS, Kind.CLOSE_IDLE),
    Family.PIECES: (Kind.SMALL_CHUNKS, Kind.PIPELINES),
    Family.LOAD: (Kind.HOLDING_CROWD, Kind.FLOOD, Kind.HOLDING_CROWD, Kind.KILL),
}
# Drawn without being asked for. A fixed list, so that a seed stands for the same run when a family is added.
DRAWN_FAMILIES = (
    Family.REGISTRY, Family.SERVERS, Family.CLIENTS, Family.PROCESS, Family.CLOCKS, Family.CALLS,
    Family.TRANSFERS,
)  # fmt: skip


class Event(NamedTuple):
    at_s: float
    kind: Kind


@dataclass(frozen=True)
class Schedule:
    """The events of one run, in the order of their time."""

    seed: int
    families: tuple[Family, ...]
    events: tuple[Event, ...]
    rate: float  # requests per second
    term_signals: int  # SIGTERMs at the end
    clock_at_start_s: float = 0.0  # step of the wall clock before the process starts
    has_crowd: bool = field(default=False)

    @classmethod
    def draw(cls, seed: int, families: tuple[Family, ...] = ()) -> Schedule:
        """`families`: those to draw from; without any, one to three are drawn too."""
        random = Random(f"{seed}/soak")
        drawn = families or tuple(random.sample(DRAWN_FAMILIES, random.randint(1, 3)))
        kinds = [kind for family in drawn for kind in FAMILY_KINDS[family]]
        events = []
        for _ in range(random.randint(MIN_EVENTS, MAX_EVENTS)):
            kind = random.choice(kinds if random.random() < 0.5 else LIST_KINDS)
            event = Event(random.uniform(0.5, RUN_S - 0.5), kind)
            events.append(event)
            if kind in (Kind.DRAIN_ALL, Kind.REMOVE_ALL):  # so that there is traffic to audit again
                events.append(Event(event.at_s + random.uniform(*EMPTY_S), Kind.RETURN_ALL))
        step_s = random.choice((0.0, 3600.0, -3600.0, 5.0, -5.0)) if Family.CLOCKS in drawn else 0.0
        return cls(
            seed,
            drawn,
            tuple(sorted(events, key=lambda event: event.at_s)),
            random.choice((30.0, 80.0, 150.0)),
            random.randint(1, 3),
            step_s,
            any(event.kind is Kind.CROWD for event in events),
        )
