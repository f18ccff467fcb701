"""What an exchange asks of its two sides. Nothing here calls back into it at once, except `NodeSide.send_upload`
and `ClientSide.resume_upload`, which may take and bring bytes there and then."""

from __future__ import annotations

from typing import Protocol

from flintlatch.exchange.messages import Fields, Piece, ProxyResponse, Response


class ClientSide(Protocol):
    """A front's end of one request. Calls come in this order: `interim` any number of times, then either
    `own` once, or `begin`, `pieces` any number of times and `end`; `reset` may come once after `begin`."""

    def interim(self, head: Response) -> None:
        """An answer of 1xx, RFC 9110 section 15.2."""

    def begin(self, head: Response) -> None:
        """The final answer's head."""

    def pieces(self, pieces: list[Piece], size: int) -> None:
        """Some of its body, `size` bytes in all."""

    def end(self, trailers: Fields) -> None:
        """All of the answer has been given."""

    def send_proxy_response(self, answer: ProxyResponse) -> None:
        """The proxy's answer, whole."""

    def reset(self) -> None:
        """The answer has begun and can't be finished: the client must see that it is broken."""

    def resume_upload(self) -> None:
        """There is room again for what the client sends."""

    def unsent_bytes(self) -> int:
        """Bytes of the answer that this side holds still."""

    def gone(self) -> bool:
        """Whether nobody waits there any more, by what the system knows at this moment."""


class NodeSide(Protocol):
    """An attempt's end at its node."""

    def send_upload(self) -> None:
        """Of the request's body there is more to take, or its end."""

    def set_reading_paused(self, hold: bool) -> None:
        """Read no more of the answer for now; or do again."""
