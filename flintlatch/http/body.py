"""A body as it arrives: by length, in chunks, or up to the end of the connection. RFC 9112 sections 6 and 7.

Nothing is held back but a chunk's size line and the trailers, so memory is bounded by MAX_LINE_BYTES and
MAX_TRAILER_BYTES whatever the body's size.
"""

from __future__ import annotations

import re
from enum import Enum

from flintlatch.exchange import Piece
from flintlatch.http.framing import TOKEN, BodyKind, Fields, Framing, HttpError, read_field_line

MAX_LINE_BYTES = (
    256  # bytes of a chunk's size line: a size and a small extension; the rest is somebody's trick
)
MAX_EXTENSION_BYTES = (
    16 * 1024
)  # bytes of extensions in one body, RFC 9112 section 7.1.1 asks for such a limit
MAX_TRAILER_BYTES = 8 * 1024  # bytes
SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,15})((?:[\t ]*;[\t ]*" + TOKEN + rb"(?:[\t ]*=[\t ]*(?:" + TOKEN
    + rb'|"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"))?)*)'
)  # fmt: skip
# What says where a message ends, who it is for, or how to treat it has no position behind the body
# (RFC 9110 section 6.5.1): a reader that merges trailers would see it.
FORBIDDEN_TRAILERS = frozenset(
    (b"transfer-encoding", b"content-length", b"host", b"connection", b"keep-alive", b"te", b"trailer",
     b"upgrade", b"expect", b"max-forwards", b"authorization", b"proxy-authorization", b"cookie",
     b"set-cookie", b"content-encoding", b"content-type", b"content-range", b"cache-control", b"range",
     b"via", b"forwarded")
)  # fmt: skip


class State(Enum):
    DATA = "data"  # of the length, or up to the close
    SIZE = "size"  # a chunk's size line comes
    CHUNK = "chunk"  # its data
    CHUNK_END = "chunk end"  # the CRLF behind it
    TRAILERS = "trailers"
    DONE = "done"


INITIAL_STATE = {
    BodyKind.NONE: State.DONE,
    BodyKind.LENGTH: State.DATA,
    BodyKind.CHUNKED: State.SIZE,
    BodyKind.UNTIL_CLOSE: State.DATA,
}


class Body:
    """Feed it what comes behind the head; `done` says when the message is over, and `trailers` what followed.

    Raises HttpError(400); for a node's answer the caller makes that a 502."""

    def __init__(self, framing: Framing) -> None:
        self.framing = framing
        self.remaining_bytes = framing.length  # bytes of the body or of the chunk that are still to come
        self.trailers: Fields = []
        self._partial_line = bytearray()  # a line that is not here whole
        self._extensions = self._trailer_bytes = 0
        self.state = INITIAL_STATE[framing.kind]
        if framing.kind is BodyKind.LENGTH and not framing.length:
            self.state = State.DONE

    @property
    def done(self) -> bool:
        return self.state is State.DONE

    def buffered_bytes(self) -> int:
        """Bytes held back."""
        return len(self._partial_line) + self._trailer_bytes

    def feed(self, data: bytes) -> tuple[list[Piece], bytes]:
        """The pieces of the body in `data`, and what lies behind its end."""
        if self.remaining_bytes > len(data) and self.state in (State.DATA, State.CHUNK):
            self.remaining_bytes -= len(data)  # the common case: all of it belongs to what is open
            return [data], b""
        pieces: list[Piece] = []
        view, position = memoryview(data), 0
        while position < len(data) and self.state is not State.DONE:
            if self.state is State.DATA and self.framing.kind is BodyKind.UNTIL_CLOSE:
                pieces.append(view[position:])
                position = len(data)
            elif self.state in (State.DATA, State.CHUNK):
                piece = view[position : position + self.remaining_bytes]
                pieces.append(piece)
                position += len(piece)
                self.remaining_bytes -= len(piece)
                if not self.remaining_bytes:
                    self.state = State.DONE if self.state is State.DATA else State.CHUNK_END
            else:
                position = self._read_line(data, position)
        return pieces, bytes(view[position:])

    def end(self) -> None:
        """The connection has ended. Raises HttpError if the body has not."""
        if self.framing.kind is BodyKind.UNTIL_CLOSE:
            self.state = State.DONE
        if not self.done:
            raise HttpError(400, "the connection ended within the body")

    def _read_line(self, data: bytes, position: int) -> int:
        """Take one line, or hold the part that is here; the position behind it."""
        newline = data.find(b"\n", position)
        line_end = len(data) if newline < 0 else newline + 1
        max_bytes = 2 if self.state is State.CHUNK_END else MAX_LINE_BYTES
        if self.state is State.TRAILERS:
            max_bytes = MAX_TRAILER_BYTES - self._trailer_bytes
        if len(self._partial_line) + line_end - position > max_bytes:
            status = 431 if self.state is State.TRAILERS else 400
            raise HttpError(
                status, f"more than {max_bytes} bytes where a line should end ({self.state.value})"
            )
        if newline < 0:
            self._partial_line += data[position:line_end]
        else:
            line = data[position:line_end]
            if self._partial_line:
                line = bytes(self._partial_line) + line
                self._partial_line.clear()
            if not line.endswith(b"\r\n"):
                raise HttpError(400, "a line that ends without CR")
            self._process_line(line[:-2])
        return line_end

    def _process_line(self, line: bytes) -> None:
        if self.state is State.CHUNK_END:
            if line:
                raise HttpError(400, "a chunk longer than its size")
            self.state = State.SIZE
        elif self.state is State.SIZE:
            match = SIZE_LINE.fullmatch(line)
            if match is None:
                raise HttpError(400, f"chunk size {line[:40]!r}")
            self._extensions += len(match[2])
            if self._extensions > MAX_EXTENSION_BYTES:
                raise HttpError(400, f"more than {MAX_EXTENSION_BYTES} bytes of chunk extensions")
            self.remaining_bytes = int(match[1], 16)
            self.state = State.CHUNK if self.remaining_bytes else State.TRAILERS
        elif line:
            self._trailer_bytes += len(line) + 2
            name, value = read_field_line(line)
            if name.lower() in FORBIDDEN_TRAILERS:
                raise HttpError(400, f"trailer {name[:40]!r}")
            self.trailers.append((name, value))
        else:
            self.state = State.DONE


def chunk(data: bytes) -> bytes:
    """One chunk; empty data would end the body, and gives nothing."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def last_chunk(trailers: Fields = ()) -> bytes:  # type: ignore[assignment]
    return b"0\r\n" + b"".join(b"%b: %b\r\n" % pair for pair in trailers) + b"\r\n"
