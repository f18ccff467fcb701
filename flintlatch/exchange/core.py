"""The state machine of one exchange. Its rules:

1. One final answer, and nothing after it. Until a node's answer begins another attempt may still give it;
   from there on it is that attempt's, whole or visibly broken.
2. A request is offered to the decision module once it is here whole, or when it is plain that it will
   take its time: it is full to its cap, its client waits for a word, or `offer` says so.
3. Bytes held stay under the terms' caps, both ways; room regained is told.
4. A side that keeps the other waiting is blamed, once; an upload's time is never the node's.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from flintlatch.exchange.messages import Ending, Fields, Piece, ProxyResponse, Request, Response, RoutingInfo
from flintlatch.exchange.sides import ClientSide, NodeSide
from flintlatch.exchange.terms import ExchangeLimits
from flintlatch.exchange.transfer import Pipe, Side, Stall, Upload


class BodyTooLarge(Exception):
    """The request's body is longer than its terms allow: 413."""


class Phase(Enum):
    GATHERING = "gathering"  # the request comes, and nobody has been asked for a server
    AWAITING_RESPONSE = "waiting"  # the module has it; nothing of an answer has gone out
    RESPONDING = "begun"  # a node's answer has: it ends whole, or visibly broken
    ENDED = "over"


class Owner(Protocol):
    """Whoever hosts exchanges: asks the decision module, starts attempts and ends them."""

    def request_server(self, exchange: Exchange, uploading: bool) -> None:
        """It wants a server. `uploading`: its body is not here whole."""

    def on_body_received(self, exchange: Exchange) -> None:
        """An upload is here whole."""

    def on_body_discarded(self, exchange: Exchange) -> None:
        """A part of it is no longer held: no attempt may follow the one that has it."""

    def on_request_sent(self, exchange: Exchange, node: NodeSide) -> None:
        """This attempt's node has the whole request."""

    def on_response_begun(self, exchange: Exchange, node: NodeSide, head: Response) -> None:
        """This attempt's answer has begun, and is the final one."""

    def cancel_attempts(self, exchange: Exchange) -> None:
        """The client no longer waits: all attempts end, and no node is to blame."""

    def time_out_attempt(self, exchange: Exchange, node: NodeSide) -> None:
        """This attempt's node stalls: its attempt ends, and the module hears why."""

    def on_exchange_ended(self, exchange: Exchange) -> None:
        """The client has had its last byte, or is gone; `exchange.ending` says how."""


class Exchange:
    def __init__(
        self,
        request: Request,
        routing: RoutingInfo,
        limits: ExchangeLimits,
        client: ClientSide,
        owner: Owner,
        now_s: float,
    ) -> None:
        """A request without a body is to be told so at once, by `receive_end`."""
        self.request, self.routing, self.limits = request, routing, limits
        self.client, self.owner = client, owner
        self.phase = Phase.GATHERING
        self.ending: Ending | None = None
        self.status = 0  # of the final answer
        self.upload = Upload(limits.upload_bytes, limits.flow_bytes)
        self.trailers: Fields = []  # behind the request's body
        self.node: NodeSide | None = None  # that takes the upload, or gives the answer
        self.arrived_s = now_s
        self.first_byte_s = self.request_complete_s = self.ended_s = (
            0.0  # answer's first byte, request's last, the end; 0: not
        )
        self.upload_pipe = Pipe(
            Side.CLIENT, self.upload.cap + self.upload.flow_bytes, limits.pace, limits.pace, now_s
        )
        self.upload_pipe.set_waiting_sides(now_s, True, False)
        self.response_pipe: Pipe | None = None
        self._sent_reported = False  # of the present attempt

    @property
    def has_ended(self) -> bool:
        return self.phase is Phase.ENDED

    # From the client's side

    @property
    def room(self) -> int:
        """Bytes of the request's body that may come now."""
        return 0 if self.has_ended else self.upload.room

    def receive_body(self, now_s: float, pieces: list[Piece]) -> None:
        """Some of the request's body, at most `room` in all. Raises BodyTooLarge."""
        if self.has_ended:
            return
        size = sum(map(len, pieces))
        if self.upload.total_bytes + size > self.limits.body_bytes:
            raise BodyTooLarge(f"a body of more than {self.limits.body_bytes} bytes")
        self.upload_pipe.add_arrived(now_s, size)
        gone = self.upload.add(pieces, size)
        self._update_waiting_sides(now_s)
        if self.phase is Phase.GATHERING:
            if self.upload.room <= 0:
                self.offer(now_s)
        elif gone and self.phase is Phase.AWAITING_RESPONSE:
            self.owner.on_body_discarded(self)

    def receive_end(self, now_s: float, trailers: Fields | None = None) -> None:
        if self.has_ended:
            return
        self.trailers, self.request_complete_s = trailers or [], now_s
        self.upload_pipe.end_source(now_s)
        self.upload.end()
        if self.phase is Phase.GATHERING:
            self.offer(now_s)
        else:
            self.owner.on_body_received(self)

    def offer(self, now_s: float) -> None:
        """Wait no longer for the rest of the request."""
        if self.phase is Phase.GATHERING:
            self.phase = Phase.AWAITING_RESPONSE
            self.owner.request_server(self, not self.upload.complete)

    def push(self) -> None:
        """The client's side has brought what it had: the node may take it."""
        if self.node is not None and not self.has_ended:
            self.node.send_upload()

    def client_left(self, now_s: float) -> None:
        self._end(now_s, Ending.CLIENT_LEFT)

    def reject_request(self, now_s: float, status: int) -> None:
        """The rest of the request can't be read, or is not wanted."""
        self._respond_or_abort(now_s, status, Ending.CLIENT_FAULT)

    def set_client_blocked(self, full: bool) -> None:
        """What the client does not take, the node must keep."""
        if self.phase is Phase.RESPONDING and self.node is not None:
            self.node.set_reading_paused(full)

    # From a node's side

    def attach(self, now_s: float, node: NodeSide) -> None:
        """An attempt begins to take the request from its first byte."""
        self.upload.begin()
        self.node, self._sent_reported = node, False
        self._update_waiting_sides(now_s)

    def take(self, now_s: float) -> tuple[list[Piece], int]:
        """What is here of the request's body and not taken yet, and its size."""
        pieces, size = self.upload.take()
        if size and not self.upload_pipe.done:
            # What an attempt takes again after another does not count again.
            self.upload_pipe.add_taken(now_s, min(size, self.upload_pipe.held))
            self._update_waiting_sides(now_s)
        return pieces, size

    def sent(self, now_s: float, node: NodeSide) -> None:
        """This attempt's node has the whole request."""
        if node is self.node and not self._sent_reported and not self.has_ended:
            self._sent_reported = True
            self.owner.on_request_sent(self, node)

    def interim(self, head: Response) -> None:
        if self.phase is Phase.AWAITING_RESPONSE:
            self.client.interim(head)

    def begin(self, now_s: float, node: NodeSide, head: Response) -> None:
        """A final answer: from here on no other one can take its place."""
        if self.phase is not Phase.AWAITING_RESPONSE:
            return
        self.phase, self.node, self.status, self.first_byte_s = Phase.RESPONDING, node, head.status, now_s
        self.response_pipe = Pipe(
            Side.NODE, self.limits.answer_bytes, self.limits.pace, self.limits.pace, now_s
        )
        self.owner.on_response_begun(self, node, head)
        self.client.begin(head)

    def pieces(self, now_s: float, node: NodeSide, pieces: list[Piece]) -> None:
        if self.phase is not Phase.RESPONDING or node is not self.node or self.response_pipe is None:
            return
        self._record_client_reads(now_s)
        size = sum(map(len, pieces))
        self.response_pipe.add_arrived(now_s, min(size, self.response_pipe.room))
        self.client.pieces(pieces, size)

    def finish(self, now_s: float, node: NodeSide, trailers: Fields | None = None) -> None:
        """This node's answer is here whole."""
        if self.phase is Phase.RESPONDING and node is self.node:
            self.phase, self.ending, self.node, self.ended_s = Phase.ENDED, Ending.ANSWERED, None, now_s
            self.client.end(trailers or [])
            self.owner.on_exchange_ended(self)

    def detach(self, now_s: float, node: NodeSide) -> None:
        """This attempt has ended without a whole answer."""
        if node is not self.node:
            return
        if self.phase is Phase.RESPONDING:
            self._end(now_s, Ending.NODE_BROKE)
            return
        self.node = None
        self._update_waiting_sides(now_s)

    # From the owner

    def answer(self, now_s: float, answer: ProxyResponse) -> None:
        """The proxy's own: the module has given it up, or its time is over."""
        self._respond_or_abort(now_s, answer.status, Ending.OWN, answer.retry_after_ms)

    # Time

    def tick(self, now_s: float) -> Stall | None:
        """Ends what no side moves any more; the stall says which side is to blame."""
        stall = self._find_stall(now_s)
        if stall is None:
            return None
        if stall.side is Side.CLIENT:
            self._respond_or_abort(now_s, 408, Ending.CLIENT_STALLED)
        elif self.node is not None:
            node, begun = self.node, self.phase is Phase.RESPONDING
            if begun:
                self._end(now_s, Ending.NODE_STALLED, node)
            else:
                self.owner.time_out_attempt(self, node)
        return stall

    def _find_stall(self, now_s: float) -> Stall | None:
        if self.phase is Phase.RESPONDING and self.response_pipe is not None:
            self._record_client_reads(now_s)
            stall = self.response_pipe.find_stall(now_s)
            # A node that answers while it reads may wait for its client's next piece.
            if stall is Stall.NODE_NOT_SENDING and not self.upload.complete:
                up = self.upload_pipe.find_stall(now_s)
                return up if up is Stall.CLIENT_NOT_SENDING else stall if up is not None else None
            return stall
        if self.has_ended or self.upload_pipe.done:
            return None
        return self.upload_pipe.find_stall(now_s)

    def _update_waiting_sides(self, now_s: float) -> None:
        """Who may be waited for in the upload."""
        self.upload_pipe.set_waiting_sides(now_s, self.upload.room > 0, self.node is not None)

    def _record_client_reads(self, now_s: float) -> None:
        """What has left the client's side, as far as it was of this body."""
        if (
            self.response_pipe is not None
            and (gone := self.response_pipe.held - self.client.unsent_bytes()) > 0
        ):
            self.response_pipe.add_taken(now_s, gone)

    # The end

    def _respond_or_abort(
        self, now_s: float, status: int, ending: Ending, retry_after_ms: float = 0.0
    ) -> None:
        if self.phase is Phase.RESPONDING:
            self._end(now_s, ending)
        elif not self.has_ended:
            self.status, self.first_byte_s = status, now_s
            self.client.send_proxy_response(ProxyResponse(status, retry_after_ms))
            self._end(now_s, ending)

    def _end(self, now_s: float, ending: Ending, stalled_node: NodeSide | None = None) -> None:
        if self.has_ended:
            return
        begun, asked = self.phase is Phase.RESPONDING, self.phase is not Phase.GATHERING
        self.phase, self.ending, self.node, self.ended_s = Phase.ENDED, ending, None, now_s
        if begun and ending is not Ending.CLIENT_LEFT:
            self.client.reset()
        if stalled_node is not None:
            self.owner.time_out_attempt(self, stalled_node)
        elif asked:
            self.owner.cancel_attempts(self)
        self.owner.on_exchange_ended(self)
