"""Length-Prefixed-Messages (gRPC over HTTP/2, "Requests"): a byte that tells whether the message is
compressed, four bytes of length, the message. Messages are opaque and pass on as they come; only their frames
are looked at."""

from __future__ import annotations

PREFIX_BYTES = 5
PLAIN, COMPRESSED = 0, 1


class FramingError(Exception):
    """What came is no sequence of messages; the text says what, and where in the stream."""


class TooLarge(FramingError):
    """A message is longer than allowed: RESOURCE_EXHAUSTED, and known from its prefix alone."""


class Frames:
    """Follows the messages of one direction of a call through its bytes, however they are cut. Holds no byte
    of a message, and at most four of a prefix."""

    def __init__(self, most_bytes: int, most_messages: int | None = None) -> None:
        """`most_bytes`: of one message. `most_messages`: 1 where the call is unary in this direction."""
        if most_bytes < 0:
            raise ValueError("most_bytes must not be negative")
        self.most_bytes, self.most_messages = most_bytes, most_messages
        self.messages = 0  # that have come whole
        self.compressed = 0  # of them and of the one that comes
        self.offset = 0  # bytes seen
        self._prefix = bytearray()
        self._left = 0  # bytes of the message that comes

    @property
    def between(self) -> bool:
        """Whether the stream may end here."""
        return not self._prefix and not self._left

    def feed(self, data: bytes | memoryview) -> int:
        """Take bytes; how many messages became whole with them. Raises FramingError or TooLarge, after which
        the stream can't be read on."""
        before, at, view = self.messages, 0, memoryview(data)
        while at < len(view):
            if self._left:
                step = min(self._left, len(view) - at)
                self._left -= step
                at += step
                self.offset += step
                if not self._left:
                    self.messages += 1
                continue
            step = min(PREFIX_BYTES - len(self._prefix), len(view) - at)
            self._prefix += view[at : at + step]
            at += step
            self.offset += step
            if self._prefix[0] not in (PLAIN, COMPRESSED):
                start = self.offset - len(self._prefix)
                raise FramingError(f"byte {start}: flag {self._prefix[0]}, expected 0 or 1")
            if len(self._prefix) == PREFIX_BYTES:
                self._begin()
        return self.messages - before

    def _begin(self) -> None:
        start, length = self.offset - PREFIX_BYTES, int.from_bytes(self._prefix[1:], "big")
        if self.most_messages is not None and self.messages >= self.most_messages:
            raise FramingError(f"byte {start}: another message, expected at most {self.most_messages}")
        if length > self.most_bytes:
            raise TooLarge(f"byte {start}: a message of {length} bytes, expected at most {self.most_bytes}")
        self.compressed += self._prefix[0]
        self._prefix.clear()
        self._left = length
        if not length:
            self.messages += 1

    def end(self) -> None:
        """The stream has ended. Raises FramingError if it ended inside a message."""
        if self._prefix:
            raise FramingError(
                f"byte {self.offset}: ended in a prefix, {len(self._prefix)} of {PREFIX_BYTES} bytes"
            )
        if self._left:
            raise FramingError(f"byte {self.offset}: ended {self._left} bytes before the end of a message")
