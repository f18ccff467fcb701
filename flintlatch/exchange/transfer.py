"""A body on its way from one side to the other: what may be read, what is held, and who keeps it waiting.

No I/O and no clock: the shell reports bytes with the time, obeys `may_read`, and asks `stalled` now and
then. At each moment one side is waited for: the sink while bytes are held for it, else the source. Time
counts against that side alone, so a node is not blamed for a client that crawls, nor the other way round.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from flintlatch.exchange.messages import Piece

RESUME_PART = 0.5  # part of the cap below which reading goes on: at each byte, it would flutter
MOST_PIECES = 64  # of a body that are held apart
LEAST_READ = 1  # bytes: a pipe that may read at all may read this much


class Side(Enum):
    CLIENT = "client"
    NODE = "node"


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """What one side owes while it is waited for."""

    idle_s: float  # longest time without a byte
    least_bytes_per_s: float  # over `window_s` of waiting for it; 0 asks for none
    window_s: float = 10.0

    def __post_init__(self) -> None:
        for name in ("idle_s", "window_s"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        if not self.least_bytes_per_s >= 0:
            raise ValueError("least_bytes_per_s must not be negative")


class Stall(Enum):
    """How a transfer that no side moves any more ends; each names the side to blame."""

    CLIENT_SENDS_NOT = "client stalls in its upload"  # 408 while there is no answer, else an abort
    CLIENT_READS_NOT = "client does not read its answer"  # an abort: the answer has begun
    NODE_READS_NOT = "node does not read the upload"  # 504 if no attempt may follow
    NODE_SENDS_NOT = "node stalls in its answer"  # an abort: the answer has begun

    @property
    def side(self) -> Side:
        return Side.CLIENT if self in (Stall.CLIENT_SENDS_NOT, Stall.CLIENT_READS_NOT) else Side.NODE


class _Wait:
    """The time that was spent waiting for one side, and what it moved in that time."""

    __slots__ = ("bytes", "idle_s", "pace", "window_s")

    def __init__(self, pace: ProgressLimits) -> None:
        self.pace = pace
        self.idle_s = self.window_s = 0.0
        self.bytes = 0

    def moved(self, count: int) -> None:
        self.idle_s = 0.0
        self.bytes += count

    def too_slow(self) -> bool:
        pace = self.pace
        if self.idle_s >= pace.idle_s:
            return True
        if self.window_s < pace.window_s:
            return False
        slow = self.bytes < pace.least_bytes_per_s * self.window_s
        # The next window begins with half of this one: a short burst must not pay for a long crawl.
        self.window_s, self.bytes = self.window_s / 2, self.bytes // 2
        return slow


class Pipe:
    """One direction. `cap`: bytes held at most, in this process and for this pipe; a read may go over it by
    no more than the shell reads at once, and so the shell reads no more than `room`."""

    def __init__(
        self, source: Side, cap: int, source_pace: ProgressLimits, sink_pace: ProgressLimits, now_s: float
    ) -> None:
        if cap < LEAST_READ:
            raise ValueError(f"cap must be at least {LEAST_READ}")
        self.source, self.cap = source, cap
        self.arrived_bytes = self.taken_bytes = 0
        self.most_held = 0
        self.source_ended = False
        self.source_free = True  # it may send, as far as whoever reads it is concerned
        self.sink_there = True  # somebody takes what is held; without anybody it just waits
        self._reading = True
        self._now_s = now_s
        self._from, self._to = _Wait(source_pace), _Wait(sink_pace)

    @property
    def held(self) -> int:
        return self.arrived_bytes - self.taken_bytes

    @property
    def done(self) -> bool:
        return self.source_ended and not self.held

    @property
    def room(self) -> int:
        return 0 if self.source_ended else self.cap - self.held

    @property
    def may_read(self) -> bool:
        """Whether the source should be read: paused at the cap, and resumed at half of it."""
        if self.source_ended or self.held >= self.cap:
            self._reading = False
        elif self.held <= self.cap * RESUME_PART:
            self._reading = True
        return self._reading

    def arrived(self, now_s: float, count: int) -> None:
        """So many bytes came from the source. Raises ValueError beyond `room`: the cap is a promise."""
        if count > self.room:
            raise ValueError(f"{count} bytes, and room for {self.room}")
        self._pass(now_s)
        self._from.moved(count)
        self.arrived_bytes += count
        self.most_held = max(self.most_held, self.held)

    def taken(self, now_s: float, count: int) -> None:
        """So many of the bytes held went out to the sink."""
        if count > self.held:
            raise ValueError(f"{count} bytes, and {self.held} held")
        self._pass(now_s)
        self._to.moved(count)
        self.taken_bytes += count

    def ended(self, now_s: float) -> None:
        """The source has sent all."""
        self._pass(now_s)
        self.source_ended = True

    def stalled(self, now_s: float) -> Stall | None:
        """Who is to blame, if a side has been waited for too long."""
        self._pass(now_s)
        if self.done:
            return None
        if self._for_sink():
            if self._to.too_slow():
                upload = self.source is Side.CLIENT
                return Stall.NODE_READS_NOT if upload else Stall.CLIENT_READS_NOT
        elif self._for_source() and self._from.too_slow():
            return Stall.CLIENT_SENDS_NOT if self.source is Side.CLIENT else Stall.NODE_SENDS_NOT
        return None

    def _pass(self, now_s: float) -> None:
        seconds, self._now_s = now_s - self._now_s, now_s
        held = self.arrived_bytes - self.taken_bytes
        if held > 0 and self.sink_there:
            wait = self._to
        elif not self.source_ended and self.source_free and held < self.cap:
            wait = self._from
        else:
            return
        wait.idle_s += seconds
        wait.window_s += seconds

    def _for_sink(self) -> bool:
        return self.held > 0 and self.sink_there

    def _for_source(self) -> bool:
        return self.source_free and self.room > 0

    def ends(self, now_s: float, source: bool, sink: bool) -> None:
        """Whether the source may send, and whether a sink is there. A new sink is judged by itself alone."""
        if source is self.source_free and sink is self.sink_there:
            return
        self._pass(now_s)
        if sink and not self.sink_there:
            self._to = _Wait(self._to.pace)
        self.source_free, self.sink_there = source, sink


class Budget:
    """Bytes that the bodies of all connections may hold together."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.used_bytes = self.peak_bytes = 0

    def reserve(self, count: int) -> bool:
        """Take a pipe's cap out of the budget; false if it does not hold so much, and nothing is taken."""
        if self.used_bytes + count > self.most:
            return False
        self.used_bytes += count
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return True

    def release(self, count: int) -> None:
        if count > self.used_bytes:
            raise ValueError(f"{count} bytes given back, and {self.used_bytes} are out")
        self.used_bytes -= count


class Upload:
    """A request's body on its way to whichever node gets it. Held whole up to `cap`, so that another attempt
    may begin anew; beyond that, what an attempt has taken is let go for good.

    Of what is not yet taken no more than `cap` bytes are held; `room` says how much may be read."""

    def __init__(self, cap: int, flow: int = 0) -> None:
        """`flow`: bytes that may wait once a part was let go, if that is more than `cap`: one read of the
        shell's, so that it need not be cut up."""
        self.cap, self.flow = cap, max(cap, flow)
        self.discarded = False  # a part of it was let go: no attempt may begin
        self.complete = False
        self.total_bytes = 0
        self._pieces: list[Piece] = []
        self._size = 0  # bytes in `_pieces`
        self._next = 0  # of the pieces, which the attempt takes next
        self._waiting = 0  # bytes from there on

    @property
    def held(self) -> int:
        return self._size

    @property
    def untaken_bytes(self) -> int:
        """Bytes that the attempt has not taken."""
        return self._waiting

    @property
    def room(self) -> int:
        """Bytes that may come. With an attempt that takes them, what it took gives way."""
        if self.complete:
            return 0
        if self.discarded:
            return self.flow - self._waiting
        return self.cap - (self._waiting if self._next else self._size)

    def add(self, pieces: list[Piece], size: int) -> bool:
        """`size` bytes in all. True if with them a part was let go just now. ValueError beyond `room`."""
        if size > self.room:
            raise ValueError(f"{size} bytes, and room for {self.room}")
        self._pieces += pieces
        if len(self._pieces) > MOST_PIECES:
            # A byte a piece, each an object of its own: as one, they cost no more than they say.
            old, new = self._pieces[: self._next], self._pieces[self._next :]
            self._pieces = [b"".join(part) for part in (old, new) if part]
            self._next = min(self._next, 1)
        self._size += size
        self._waiting += size
        self.total_bytes += size
        if not self.discarded and self._size > self.cap:
            self.discarded = True
            self._trim()
            return True
        return False

    def end(self) -> None:
        self.complete = True

    def begin(self) -> None:
        """A new attempt takes it from its first byte. Raises ValueError if that is not held any more."""
        if self.discarded:
            raise ValueError("a part of the body was let go")
        self._next, self._waiting = 0, self._size

    def take(self) -> tuple[list[Piece], int]:
        """All that the attempt does not have, and its size."""
        if self._next >= len(self._pieces):
            return [], 0
        pieces, size = (self._pieces[self._next :] if self._next else self._pieces), self._waiting
        if self.discarded:
            self._pieces, self._size, self._next = [], 0, 0
        else:
            pieces, self._next = list(pieces), len(self._pieces)
        self._waiting = 0
        return pieces, size

    @property
    def fully_taken(self) -> bool:
        """The attempt has all of it."""
        return self.complete and not self._waiting

    def _trim(self) -> None:
        self._size -= sum(map(len, self._pieces[: self._next]))
        del self._pieces[: self._next]
        self._next = 0
