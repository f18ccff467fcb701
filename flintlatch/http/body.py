"""Incremental parser of message bodies: with a length, chunked, or up to the end of the connection.

RFC 9112 sections 6 and 7. Only the size line of a chunk and the trailers are buffered, so memory is bounded
by MAX_LINE_BYTES and MAX_TRAILER_BYTES, independently of the body's size.
"""

from __future__ import annotations

import re
from enum import Enum

from flintlatch.exchange import Piece
from flintlatch.http.framing import TOKEN, BodyKind, Fields, Framing, HttpError, read_field_line

MAX_LINE_BYTES = 256  # a chunk's size line with a small extension; legitimate peers send no longer line
MAX_EXTENSION_BYTES = 16 * 1024  # all chunk extensions of a body; RFC 9112 section 7.1.1 asks for a limit
MAX_TRAILER_BYTES = 8 * 1024
SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,15})((?:[\t ]*;[\t ]*" + TOKEN + rb"(?:[\t ]*=[\t ]*(?:" + TOKEN
    + rb'|"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"))?)*)'
)  # fmt: skip
# Fields for framing, routing, authentication and content handling are not allowed in trailers (RFC 9110
# section 6.5.1), because a recipient that merges trailers into the header would act on them.
FORBIDDEN_TRAILERS = frozenset(
    (b"transfer-encoding", b"content-length", b"host", b"connection", b"keep-alive", b"te", b"trailer",
     b"upgrade", b"expect", b"max-forwards", b"authorization", b"proxy-authorization", b"cookie",
     b"set-cookie", b"content-encoding", b"content-type", b"content-range", b"cache-control", b"range",
     b"via", b"forwarded")
)  # fmt: skip


class State(Enum):
    DATA = "data"  # in a body with a length or up to the end of the connection
    SIZE = "size"  # in the size line of a chunk
    CHUNK = "chunk"  # in the data of a chunk
    CHUNK_END = "chunk end"  # in the CRLF after the data of a chunk
    TRAILERS = "trailers"
    DONE = "done"


INITIAL_STATE = {
    BodyKind.NONE: State.DONE,
    BodyKind.LENGTH: State.DATA,
    BodyKind.CHUNKED: State.SIZE,
    BodyKind.UNTIL_CLOSE: State.DATA,
}


class Body:
    """Parses the bytes after a head; `done` tells whether the message is complete, `trailers` are its
    trailers.

    Raises HttpError with status 400; the caller turns that into 502 for a node's response."""

    def __init__(self, framing: Framing) -> None:
        self.framing = framing
        self.remaining_bytes = framing.length  # of the body, or of the current chunk
        self.trailers: Fields = []
        self._partial_line = bytearray()  # a line whose end has not arrived
        self._extensions = self._trailer_bytes = 0
        self.state = INITIAL_STATE[framing.kind]
        if framing.kind is BodyKind.LENGTH and not framing.length:
            self.state = State.DONE

    @property
    def done(self) -> bool:
        return self.state is State.DONE

    def buffered_bytes(self) -> int:
        """Bytes of incomplete lines and of trailers."""
        return len(self._partial_line) + self._trailer_bytes

    def feed(self, data: bytes) -> tuple[list[Piece], bytes]:
        """Returns the pieces of the body in `data`, and the bytes after the end of the message."""
        if self.remaining_bytes > len(data) and self.state in (State.DATA, State.CHUNK):
            self.remaining_bytes -= len(data)  # the common case: everything belongs to the current part
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
        """Handles the end of the connection. Raises HttpError if the body is not complete."""
        if self.framing.kind is BodyKind.UNTIL_CLOSE:
            self.state = State.DONE
        if not self.done:
            raise HttpError(400, "the connection ended within the body")

    def _read_line(self, data: bytes, position: int) -> int:
        """Processes one line, or buffers the part that has arrived. Returns the position after it."""
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
    """Encodes one chunk. Returns nothing for empty data, because an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def last_chunk(trailers: Fields = ()) -> bytes:  # type: ignore[assignment]
    return b"0\r\n" + b"".join(b"%b: %b\r\n" % pair for pair in trailers) + b"\r\n"
