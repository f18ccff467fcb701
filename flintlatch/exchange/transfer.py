"""A body on its way from one side to the other: flow control, buffering and stall detection.

No I/O and no clock: the caller reports bytes together with the time, obeys `may_read`, and calls `find_stall`
regularly. At each moment the transfer waits for one side: for the sink while bytes are buffered for it, else
for the source. Time counts against that side only, so that a node is not blamed for a slow client, nor a
client for a slow node.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from flintlatch.exchange.messages import Piece

# Fraction of `max_bytes` at which reading resumes. Resuming at the first free byte would switch reading on
# and off all the time.
RESUME_FRACTION = 0.5
MAX_PIECES = 64  # pieces of a body that are buffered separately; more are joined
MIN_BUFFER_BYTES = 1


class Side(Enum):
    CLIENT = "client"
    NODE = "node"


@dataclass(frozen=True, slots=True)
class ProgressLimits:
    """The progress that one side must make while the transfer waits for it."""

    idle_s: float  # longest time without a byte
    least_bytes_per_s: float  # average over `window_s` of waiting for this side; 0: no minimum
    window_s: float = 10.0

    def __post_init__(self) -> None:
        for name in ("idle_s", "window_s"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        if not self.least_bytes_per_s >= 0:
            raise ValueError("least_bytes_per_s must not be negative")


class Stall(Enum):
    """Why a transfer makes no progress; `side` is the side that causes it."""

    CLIENT_NOT_SENDING = "client stalls in its upload"  # answered 408 before a response, else aborted
    CLIENT_NOT_READING = "client does not read its answer"  # aborted: the response has begun
    NODE_NOT_READING = "node does not read the upload"  # answered 504 if no retry is possible
    NODE_NOT_SENDING = "node stalls in its answer"  # aborted: the response has begun

    @property
    def side(self) -> Side:
        return Side.CLIENT if self in (Stall.CLIENT_NOT_SENDING, Stall.CLIENT_NOT_READING) else Side.NODE


class _WaitTime:
    """The time spent waiting for one side, and the bytes that it moved in that time."""

    __slots__ = ("bytes", "idle_s", "limits", "window_s")

    def __init__(self, limits: ProgressLimits) -> None:
        self.limits = limits
        self.idle_s = self.window_s = 0.0
        self.bytes = 0

    def add_bytes(self, count: int) -> None:
        self.idle_s = 0.0
        self.bytes += count

    def too_slow(self) -> bool:
        limits = self.limits
        if self.idle_s >= limits.idle_s:
            return True
        if self.window_s < limits.window_s:
            return False
        slow = self.bytes < limits.least_bytes_per_s * self.window_s
        # The next window starts with half of this one, so that a short burst doesn't compensate for a long
        # time below the minimum rate.
        self.window_s, self.bytes = self.window_s / 2, self.bytes // 2
        return slow


class Pipe:
    """One direction of a transfer, from a source to a sink.

    `max_bytes`: the most bytes that this process buffers for the transfer. The caller must not read more than
    `room` bytes at once."""

    def __init__(
        self,
        source: Side,
        max_bytes: int,
        source_limits: ProgressLimits,
        sink_limits: ProgressLimits,
        now_s: float,
    ) -> None:
        if max_bytes < MIN_BUFFER_BYTES:
            raise ValueError(f"max_bytes is {max_bytes}, expected at least {MIN_BUFFER_BYTES}")
        self.source, self.max_bytes = source, max_bytes
        self.arrived_bytes = self.taken_bytes = 0
        self.peak_buffered_bytes = 0
        self.source_ended = False
        self.source_may_send = True  # false while the proxy has paused reading from the source
        self.sink_attached = True  # false while nothing consumes the buffered bytes
        self._reading = True
        self._now_s = now_s
        self._source_wait, self._sink_wait = _WaitTime(source_limits), _WaitTime(sink_limits)

    @property
    def buffered_bytes(self) -> int:
        return self.arrived_bytes - self.taken_bytes

    @property
    def done(self) -> bool:
        return self.source_ended and not self.buffered_bytes

    @property
    def room(self) -> int:
        return 0 if self.source_ended else self.max_bytes - self.buffered_bytes

    @property
    def may_read(self) -> bool:
        """Whether to read from the source: pauses at `max_bytes`, resumes at RESUME_FRACTION of it."""
        if self.source_ended or self.buffered_bytes >= self.max_bytes:
            self._reading = False
        elif self.buffered_bytes <= self.max_bytes * RESUME_FRACTION:
            self._reading = True
        return self._reading

    def add_arrived(self, now_s: float, count: int) -> None:
        """Records `count` bytes from the source. Raises ValueError beyond `room`, so that `max_bytes` always
        holds."""
        if count > self.room:
            raise ValueError(f"{count} bytes arrived, expected no more than the room for {self.room}")
        self._account_waiting_time(now_s)
        self._source_wait.add_bytes(count)
        self.arrived_bytes += count
        self.peak_buffered_bytes = max(self.peak_buffered_bytes, self.buffered_bytes)

    def add_taken(self, now_s: float, count: int) -> None:
        """Records that the sink took `count` of the buffered bytes. Raises ValueError if fewer are
        buffered."""
        if count > self.buffered_bytes:
            raise ValueError(f"{count} bytes taken, expected no more than the {self.buffered_bytes} held")
        self._account_waiting_time(now_s)
        self._sink_wait.add_bytes(count)
        self.taken_bytes += count

    def end_source(self, now_s: float) -> None:
        """Records that the source has sent everything."""
        self._account_waiting_time(now_s)
        self.source_ended = True

    def find_stall(self, now_s: float) -> Stall | None:
        """The stall, if the transfer has waited too long for one side."""
        self._account_waiting_time(now_s)
        if self.done:
            return None
        if self._awaits_sink():
            if self._sink_wait.too_slow():
                upload = self.source is Side.CLIENT
                return Stall.NODE_NOT_READING if upload else Stall.CLIENT_NOT_READING
        elif self._awaits_source() and self._source_wait.too_slow():
            return Stall.CLIENT_NOT_SENDING if self.source is Side.CLIENT else Stall.NODE_NOT_SENDING
        return None

    def _account_waiting_time(self, now_s: float) -> None:
        seconds, self._now_s = now_s - self._now_s, now_s
        buffered_bytes = self.arrived_bytes - self.taken_bytes
        if buffered_bytes > 0 and self.sink_attached:
            wait = self._sink_wait
        elif not self.source_ended and self.source_may_send and buffered_bytes < self.max_bytes:
            wait = self._source_wait
        else:
            return
        wait.idle_s += seconds
        wait.window_s += seconds

    def _awaits_sink(self) -> bool:
        return self.buffered_bytes > 0 and self.sink_attached

    def _awaits_source(self) -> bool:
        return self.source_may_send and self.room > 0

    def set_waiting_sides(self, now_s: float, source: bool, sink: bool) -> None:
        """Sets whether the source may send and whether a sink is attached. The wait for a newly attached sink
        starts at zero: it is not charged for the sink before it."""
        if source is self.source_may_send and sink is self.sink_attached:
            return
        self._account_waiting_time(now_s)
        if sink and not self.sink_attached:
            self._sink_wait = _WaitTime(self._sink_wait.limits)
        self.source_may_send, self.sink_attached = source, sink


class Upload:
    """The buffer of a request's body on its way to a node.

    A body of up to `max_bytes` is kept whole, so that another attempt can send it from the start. From a
    longer body, the bytes that an attempt has taken are discarded, and no further attempt is possible. At
    most `max_bytes` wait to be taken; `room` is the number of bytes that may be read."""

    def __init__(self, max_bytes: int, flow_bytes: int = 0) -> None:
        """`flow_bytes`: bytes that may wait to be taken once a part was discarded, if that is more than
        `max_bytes`. It is the size of one read, so that a read need not be split."""
        self.max_bytes, self.flow_bytes = max_bytes, max(max_bytes, flow_bytes)
        self.discarded = False  # a part of the body was discarded: no further attempt may begin
        self.complete = False
        self.total_bytes = 0
        self._pieces: list[Piece] = []
        self._buffered_bytes = 0  # bytes in `_pieces`
        self._next_index = 0  # in `_pieces`, of the piece that the attempt takes next
        self._untaken_bytes = 0  # bytes in `_pieces` from there on

    @property
    def buffered_bytes(self) -> int:
        return self._buffered_bytes

    @property
    def untaken_bytes(self) -> int:
        """Bytes that the current attempt has not taken."""
        return self._untaken_bytes

    @property
    def room(self) -> int:
        """Bytes that may be added. Bytes that the current attempt has taken don't count, because they are
        discarded if the room is needed."""
        if self.complete:
            return 0
        if self.discarded:
            return self.flow_bytes - self._untaken_bytes
        return self.max_bytes - (self._untaken_bytes if self._next_index else self._buffered_bytes)

    def add(self, pieces: list[Piece], size: int) -> bool:
        """Appends `pieces`, of `size` bytes in total. Returns true if this call discarded the first part of
        the body. Raises ValueError beyond `room`."""
        if size > self.room:
            raise ValueError(f"{size} bytes added, expected no more than the room for {self.room}")
        self._pieces += pieces
        if len(self._pieces) > MAX_PIECES:
            # Each piece is an object with its own overhead. A body that arrives byte by byte would cost many
            # times its size if its pieces were not joined.
            taken, untaken = self._pieces[: self._next_index], self._pieces[self._next_index :]
            self._pieces = [b"".join(part) for part in (taken, untaken) if part]
            self._next_index = min(self._next_index, 1)
        self._buffered_bytes += size
        self._untaken_bytes += size
        self.total_bytes += size
        if not self.discarded and self._buffered_bytes > self.max_bytes:
            self.discarded = True
            self._discard_taken()
            return True
        return False

    def end(self) -> None:
        self.complete = True

    def rewind(self) -> None:
        """Starts a new attempt at the first byte. Raises ValueError if a part was discarded."""
        if self.discarded:
            raise ValueError("the body can't be sent again: a part of it was discarded")
        self._next_index, self._untaken_bytes = 0, self._buffered_bytes

    def take(self) -> tuple[list[Piece], int]:
        """All pieces that the current attempt has not taken, and their size in bytes."""
        if self._next_index >= len(self._pieces):
            return [], 0
        pieces, size = (
            (self._pieces[self._next_index :] if self._next_index else self._pieces),
            self._untaken_bytes,
        )
        if self.discarded:
            self._pieces, self._buffered_bytes, self._next_index = [], 0, 0
        else:
            pieces, self._next_index = list(pieces), len(self._pieces)
        self._untaken_bytes = 0
        return pieces, size

    def drop(self) -> None:
        """Frees the buffer: no attempt needs it any more."""
        self._pieces, self._next_index = [], 0
        self._buffered_bytes = self._untaken_bytes = 0

    @property
    def fully_taken(self) -> bool:
        """Whether the current attempt has taken the complete body."""
        return self.complete and not self._untaken_bytes

    def _discard_taken(self) -> None:
        self._buffered_bytes -= sum(map(len, self._pieces[: self._next_index]))
        del self._pieces[: self._next_index]
        self._next_index = 0
