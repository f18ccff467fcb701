"""Follows the Length-Prefixed-Messages of a gRPC stream (gRPC over HTTP/2, "Requests").

A message is preceded by a byte that tells whether it is compressed, and four bytes of length. Only these
prefixes are parsed; the messages are passed on unchanged.
"""

from __future__ import annotations

PREFIX_BYTES = 5
PLAIN, COMPRESSED = 0, 1


class FramingError(Exception):
    """The stream is not a sequence of messages; the text names the fault and its position in the stream."""


class MessageTooLarge(FramingError):
    """A message is longer than allowed, according to its prefix; answered with RESOURCE_EXHAUSTED."""


class MessageFramer:
    """Finds the messages in the bytes of one direction of a call, which may be split at any position. Buffers
    no byte of a message, and at most four bytes of a prefix."""

    def __init__(self, max_message_bytes: int, max_messages: int | None = None) -> None:
        """`max_message_bytes`: limit for one message. `max_messages`: 1 if the call is unary in this
        direction, None for no limit."""
        if max_message_bytes < 0:
            raise ValueError("max_message_bytes must not be negative")
        self.max_message_bytes, self.max_messages = max_message_bytes, max_messages
        self.messages = 0  # complete messages
        self.compressed_messages = 0  # including an incomplete one
        self.offset = 0  # position in the stream, in bytes
        self._prefix = bytearray()
        self._remaining_bytes = 0  # of the current message

    @property
    def at_boundary(self) -> bool:
        """Whether the stream may end here, because no message is incomplete."""
        return not self._prefix and not self._remaining_bytes

    def feed(self, data: bytes | memoryview) -> int:
        """Takes the next bytes and returns the number of messages that they complete. Raises FramingError or
        MessageTooLarge; after that, the stream can't be read any further."""
        before, position, view = self.messages, 0, memoryview(data)
        while position < len(view):
            if self._remaining_bytes:
                count = min(self._remaining_bytes, len(view) - position)
                self._remaining_bytes -= count
                position += count
                self.offset += count
                if not self._remaining_bytes:
                    self.messages += 1
                continue
            count = min(PREFIX_BYTES - len(self._prefix), len(view) - position)
            self._prefix += view[position : position + count]
            position += count
            self.offset += count
            if self._prefix[0] not in (PLAIN, COMPRESSED):
                start = self.offset - len(self._prefix)
                raise FramingError(f"byte {start}: flag {self._prefix[0]}, expected 0 or 1")
            if len(self._prefix) == PREFIX_BYTES:
                self._begin()
        return self.messages - before

    def _begin(self) -> None:
        start, length = self.offset - PREFIX_BYTES, int.from_bytes(self._prefix[1:], "big")
        if self.max_messages is not None and self.messages >= self.max_messages:
            raise FramingError(f"byte {start}: another message, expected at most {self.max_messages}")
        if length > self.max_message_bytes:
            raise MessageTooLarge(
                f"byte {start}: a message of {length} bytes, expected at most {self.max_message_bytes}"
            )
        self.compressed_messages += self._prefix[0]
        self._prefix.clear()
        self._remaining_bytes = length
        if not length:
            self.messages += 1

    def end(self) -> None:
        """Handles the end of the stream. Raises FramingError if a message is incomplete."""
        if self._prefix:
            raise FramingError(
                f"byte {self.offset}: ended in a prefix, {len(self._prefix)} of {PREFIX_BYTES} bytes"
            )
        if self._remaining_bytes:
            raise FramingError(
                f"byte {self.offset}: ended {self._remaining_bytes} bytes before the end of a message"
            )
