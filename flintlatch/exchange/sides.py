"""The interfaces of an exchange to its two sides.

The methods must not call back into the exchange before they return. The exceptions are
`NodeSide.send_upload` and `ClientSide.resume_upload`, which may take and add bytes at once.
"""

from __future__ import annotations

from typing import Protocol

from flintlatch.exchange.messages import Fields, Piece, ProxyResponse, Response


class ClientSide(Protocol):
    """The front end's part of one request.

    The order of calls: `interim` any number of times, then either `send_proxy_response` once, or `begin`,
    `pieces` any number of times and `end`. `reset` may be called once after `begin`."""

    def interim(self, head: Response) -> None:
        """Sends an interim (1xx) response, RFC 9110 section 15.2."""

    def begin(self, head: Response) -> None:
        """Sends the head of the final response."""

    def pieces(self, pieces: list[Piece], size: int) -> None:
        """Sends the next pieces of the response's body, `size` bytes in total."""

    def end(self, trailers: Fields) -> None:
        """Completes the response."""

    def send_proxy_response(self, answer: ProxyResponse) -> None:
        """Sends a complete response of the proxy itself."""

    def reset(self) -> None:
        """Aborts a response that has begun, so that the client can detect that it is incomplete."""

    def resume_upload(self) -> None:
        """There is room again for the request's body."""

    def unsent_bytes(self) -> int:
        """Bytes written to the client that its machine does not have yet, also those in the kernel."""

    def response_room(self) -> int:
        """Bytes of the response that this side may take now without holding too much memory."""

    def unread_body_bytes(self) -> int:
        """Bytes of the request's body that the machine has and this side has not read or passed on yet."""

    def receive_buffer_is_full(self) -> bool:
        """Whether the client's machine can send nothing now, for lack of room here."""

    def last_chunk_is_unread(self) -> bool:
        """Whether what this side has not read ends with the last chunk of the request's body."""

    def s_since_last_byte(self) -> float:
        """Seconds since the machine received the last byte of the client; 0 if that is not known."""

    def gone(self) -> bool:
        """Whether the client has left, by what the operating system knows at this moment."""


class NodeSide(Protocol):
    """The node's part of one attempt."""

    def send_upload(self) -> None:
        """More of the request's body, or its end, can be taken."""

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading of the response."""
