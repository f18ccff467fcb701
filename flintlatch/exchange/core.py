"""The state machine of one exchange: a request and its response. Its rules:

1. The client gets one final response and nothing after it. Until a node's response begins, any attempt may
   provide it. After that, it comes from this attempt, and either ends complete or is visibly aborted.
2. A request is offered to the decision module when it is complete, or earlier if the rest may take long: when
   the upload buffer is full, when the client waits for 100 Continue, or when `offer` is called.
3. The buffered bytes stay within the limits in both directions; a side whose reading was paused is notified
   when there is room again.
4. A side that stalls the transfer is reported once. The time that the client takes to upload never counts
   against the node.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from flintlatch.exchange.arrival import WriteEstimate
from flintlatch.exchange.messages import Ending, Fields, Piece, ProxyResponse, Request, Response, RoutingInfo
from flintlatch.exchange.sides import ClientSide, NodeSide
from flintlatch.exchange.terms import ExchangeLimits
from flintlatch.exchange.transfer import Pipe, Side, Stall, Upload

HELD_BACK_BYTES = 64 * 1024  # unread of an upload: more than what is on its way between two reads


class BodyTooLarge(Exception):
    """The request's body is longer than its limit; answered with status 413."""


class Phase(Enum):
    GATHERING = "gathering"  # the request is arriving and was not offered to the decision module yet
    AWAITING_RESPONSE = "waiting"  # the decision module has it; no part of a final response was sent
    RESPONDING = "begun"  # a node's response has begun; it ends complete or is aborted
    ENDED = "over"


class Owner(Protocol):
    """The host of exchanges: asks the decision module for servers, starts attempts and ends them."""

    def request_server(self, exchange: Exchange, uploading: bool) -> None:
        """Offers the exchange to the decision module. `uploading`: its body is not complete yet."""

    def on_body_received(self, exchange: Exchange) -> None:
        """The body of an upload is complete."""

    def on_request_arrived(self, exchange: Exchange) -> None:
        """The rest of an upload has reached this machine and can't be read yet."""

    def on_body_discarded(self, exchange: Exchange) -> None:
        """A part of the body is no longer buffered: no attempt may follow the current one."""

    def on_request_sent(self, exchange: Exchange, node: NodeSide) -> None:
        """The complete request was sent to the node of this attempt."""

    def on_response_begun(self, exchange: Exchange, node: NodeSide, head: Response) -> None:
        """The final response has begun; it comes from the attempt at this node."""

    def cancel_attempts(self, exchange: Exchange) -> None:
        """The client no longer waits: ends all attempts, without a failure of any node."""

    def time_out_attempt(self, exchange: Exchange, node: NodeSide) -> None:
        """The node stalls: ends its attempt with a timeout, which is reported to the decision module."""

    def on_exchange_ended(self, exchange: Exchange) -> None:
        """The exchange has ended; `exchange.ending` is the way in which it ended."""


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
        """The caller calls `receive_end` at once for a request without a body."""
        self.request, self.routing, self.limits = request, routing, limits
        self.client, self.owner = client, owner
        self.phase = Phase.GATHERING
        self.ending: Ending | None = None
        self.status = 0  # of the final response; 0: none
        self.upload = Upload(limits.upload_bytes, limits.flow_bytes)
        self.trailers: Fields = []  # trailer fields of the request
        self.node: NodeSide | None = None  # the node's side of the current attempt
        self.arrived_s = now_s  # this and the next three are points in time, not durations
        # First byte of the response (of a node or of the proxy), last byte of the request, end of the
        # exchange; 0: not yet.
        self.first_byte_s = self.request_complete_s = self.ended_s = 0.0
        # Since when the client may have written the whole request, even if it was not read then.
        self.written_whole_s: float | None = None
        self.write_estimate = WriteEstimate()
        self.upload_pipe = Pipe(
            Side.CLIENT,
            self.upload.max_bytes + self.upload.flow_bytes,
            limits.progress,
            limits.progress,
            now_s,
        )
        self.upload_pipe.set_waiting_sides(now_s, True, False)
        self.response_pipe: Pipe | None = None
        self._request_sent_reported = False  # `on_request_sent` was called for the current attempt

    @property
    def has_ended(self) -> bool:
        return self.phase is Phase.ENDED

    # Called by the client's side

    @property
    def room(self) -> int:
        """Bytes of the request's body that may be passed to `receive_body` now."""
        return 0 if self.has_ended else self.upload.room

    def receive_body(self, now_s: float, pieces: list[Piece]) -> None:
        """Takes the next pieces of the request's body, of `room` bytes at most. Raises BodyTooLarge."""
        if self.has_ended:
            return
        size = sum(map(len, pieces))
        if self.upload.total_bytes + size > self.limits.body_bytes:
            raise BodyTooLarge(f"a body of more than {self.limits.body_bytes} bytes")
        self.upload_pipe.add_arrived(now_s, size)
        discarded = self.upload.add(pieces, size)
        if self.upload.room <= 0:
            self.write_estimate.buffer_full(now_s, self.upload.total_bytes)
        self._update_waiting_sides(now_s)
        if self.phase is Phase.GATHERING:
            if self.upload.room <= 0:
                self.offer(now_s)
        elif discarded and self.phase is Phase.AWAITING_RESPONSE:
            self.owner.on_body_discarded(self)

    def receive_end(self, now_s: float, trailers: Fields | None = None) -> None:
        if self.has_ended:
            return
        self.trailers, self.request_complete_s = trailers or [], now_s
        if self.written_whole_s is None:
            self._set_written_whole(now_s, self.upload.total_bytes)
        self.upload_pipe.end_source(now_s)
        self.upload.end()
        if self.phase is Phase.GATHERING:
            self.offer(now_s)
        else:
            self.owner.on_body_received(self)

    def look_for_end(self, now_s: float) -> None:
        """Finds out whether the client may have written the whole request although its end was not read yet
        for lack of room: the client waits from then on."""
        if self.written_whole_s is not None or self.has_ended:
            return
        if self._end_is_unread():
            self._set_written_whole(now_s - self.client.s_since_last_byte(), self._arrived_bytes())
            self.owner.on_request_arrived(self)
            return
        written_since_s = self.write_estimate.written_since(self._least_total_bytes())
        if written_since_s is not None and (now_s - written_since_s) * 1000 >= self.routing.budget_ms:
            self.written_whole_s = written_since_s
            self.owner.on_request_arrived(self)

    def _arrived_bytes(self) -> int:
        """Bytes of the body that have reached this machine, read or not."""
        return self.upload.total_bytes + self.client.unread_body_bytes()

    def _observe_arrival(self, now_s: float) -> None:
        if self.written_whole_s is not None or self.phase in (Phase.RESPONDING, Phase.ENDED):
            return
        unread_bytes = self.client.unread_body_bytes()
        window_closed = unread_bytes >= HELD_BACK_BYTES and self.client.receive_buffer_is_full()
        arrived_bytes = self.upload.total_bytes + unread_bytes
        self.write_estimate.observe(now_s, arrived_bytes, self.upload.room <= 0, window_closed)

    def _set_written_whole(self, arrived_s: float, total_bytes: int) -> None:
        """`arrived_s`: when the last byte of the request reached this machine. Of a client that was held back
        until then it was written earlier."""
        written_since_s = self.write_estimate.written_since(total_bytes)
        self.written_whole_s = arrived_s if written_since_s is None else min(arrived_s, written_since_s)

    def _end_is_unread(self) -> bool:
        if self.request.length is None:
            return self.client.last_chunk_is_unread()
        return self._arrived_bytes() >= self.request.length

    def told_ms(self, now_s: float) -> float:
        """What a server may be told of the time that is left: the least that the client may have, by what is
        known of its request at this moment."""
        self._observe_arrival(now_s)
        self.look_for_end(now_s)
        if self.written_whole_s is not None:
            return self.left_ms(now_s)
        written_since_s = self.write_estimate.written_since(self._least_total_bytes())
        waited_s = 0.0 if written_since_s is None else now_s - written_since_s
        return self.routing.budget_ms - waited_s * 1000

    def _least_total_bytes(self) -> int:
        """Of the body: its length, or more than what has arrived of one whose length is not known."""
        length = self.request.length
        return self._arrived_bytes() + 1 if length is None else length

    def left_ms(self, now_s: float) -> float:
        """How long the client still waits for the response; all of its time while it sends the request."""
        if self.written_whole_s is None:
            return self.routing.budget_ms
        return self.routing.budget_ms - (now_s - self.written_whole_s) * 1000

    def offer(self, now_s: float) -> None:
        """Offers the request to the decision module without waiting for the rest of it."""
        if self.phase is Phase.GATHERING:
            self.phase = Phase.AWAITING_RESPONSE
            self.owner.request_server(self, not self.upload.complete)

    def notify_node(self) -> None:
        """Lets the node take what `receive_body` and `receive_end` have added."""
        if self.node is not None and not self.has_ended:
            self.node.send_upload()

    def client_left(self, now_s: float) -> None:
        self._end(now_s, Ending.CLIENT_LEFT)

    def reject_request(self, now_s: float, status: int) -> None:
        """Answers with `status`, because the rest of the request can't be read or will not be read."""
        self._respond_or_abort(now_s, status, Ending.CLIENT_FAULT)

    def set_client_blocked(self, blocked: bool) -> None:
        """Backpressure: stops reading from the node while the client's write buffer is full."""
        if self.phase is Phase.RESPONDING and self.node is not None:
            self.node.set_reading_paused(blocked)

    # Called by a node's side; `node` is the node's side of one attempt

    def attach(self, now_s: float, node: NodeSide) -> None:
        """Starts an attempt, which takes the request from its first byte."""
        self.upload.rewind()
        self.node, self._request_sent_reported = node, False
        self._update_waiting_sides(now_s)

    def take(self, now_s: float) -> tuple[list[Piece], int]:
        """The pieces of the request's body that this attempt has not taken, and their size in bytes."""
        pieces, size = self.upload.take()
        if size and not self.upload_pipe.done:
            # Bytes that an earlier attempt has taken are not counted again.
            self.upload_pipe.add_taken(now_s, min(size, self.upload_pipe.buffered_bytes))
            self._update_waiting_sides(now_s)
        return pieces, size

    def mark_request_sent(self, now_s: float, node: NodeSide) -> None:
        """The complete request was sent to this node."""
        if node is self.node and not self._request_sent_reported and not self.has_ended:
            self._request_sent_reported = True
            self.owner.on_request_sent(self, node)

    def interim(self, head: Response) -> None:
        if self.phase is Phase.AWAITING_RESPONSE:
            self.client.interim(head)

    def begin(self, now_s: float, node: NodeSide, head: Response) -> None:
        """Starts the final response. A response of another attempt is ignored from now on."""
        if self.phase is not Phase.AWAITING_RESPONSE:
            return
        self.phase, self.node, self.status, self.first_byte_s = Phase.RESPONDING, node, head.status, now_s
        limits = self.limits
        self.response_pipe = Pipe(
            Side.NODE,
            limits.answer_bytes,
            limits.writer_progress or limits.progress,
            limits.reader_progress or limits.progress,
            now_s,
        )
        self.owner.on_response_begun(self, node, head)
        self.client.begin(head)

    def pieces(self, now_s: float, node: NodeSide, pieces: list[Piece]) -> None:
        if self.phase is not Phase.RESPONDING or node is not self.node or self.response_pipe is None:
            return
        size = sum(map(len, pieces))
        # The kernel is asked for it: not for each piece, unless a rate is measured.
        if size > self.response_pipe.room or self.limits.progress.least_bytes_per_s:
            self._record_client_reads(now_s)
        # The pipe counts no more bytes than it has room for; the client's side gets all of them.
        self.response_pipe.add_arrived(now_s, min(size, self.response_pipe.room))
        self.client.pieces(pieces, size)

    def finish(self, now_s: float, node: NodeSide, trailers: Fields | None = None) -> None:
        """The response of this node is complete."""
        if self.phase is Phase.RESPONDING and node is self.node:
            self.phase, self.ending, self.node, self.ended_s = Phase.ENDED, Ending.ANSWERED, None, now_s
            self.upload.drop()
            self.client.end(trailers or [])
            self.owner.on_exchange_ended(self)

    def detach(self, now_s: float, node: NodeSide) -> None:
        """The attempt at this node has ended without a complete response."""
        if node is not self.node:
            return
        if self.phase is Phase.RESPONDING:
            self._end(now_s, Ending.NODE_BROKE)
            return
        self.node = None
        if not self.upload.discarded:
            self.upload.rewind()  # the next attempt needs what this one has taken
        self._update_waiting_sides(now_s)

    # Called by the owner

    def answer(self, now_s: float, answer: ProxyResponse) -> None:
        """Answers with a response of the proxy: the decision module rejected the request, or its deadline has
        passed."""
        self._respond_or_abort(now_s, answer.status, Ending.PROXY_RESPONSE, answer.retry_after_ms)

    # Stalls

    def tick(self, now_s: float) -> Stall | None:
        """Ends the exchange or the attempt if one side has stalled, and returns the stall. Called at regular
        intervals."""
        self._observe_arrival(now_s)
        self.look_for_end(now_s)
        stall = self._find_stall(now_s)
        if stall is None:
            return None
        if stall.side is Side.CLIENT:
            self._respond_or_abort(now_s, 408, Ending.CLIENT_STALLED)
        elif self.node is not None:
            node, responding = self.node, self.phase is Phase.RESPONDING
            if responding:
                self._end(now_s, Ending.NODE_STALLED, node)
            else:
                self.owner.time_out_attempt(self, node)
        return stall

    def _find_stall(self, now_s: float) -> Stall | None:
        if self.phase is Phase.RESPONDING and self.response_pipe is not None:
            self._record_client_reads(now_s)
            stall = self.response_pipe.find_stall(now_s)
            # A node that responds while it still reads the request may be waiting for the client's next
            # bytes. If the client doesn't send them, the stall is the client's; otherwise the node has
            # stalled only if the upload has stalled too.
            if stall is Stall.NODE_NOT_SENDING and not self.upload.complete:
                upload_stall = self.upload_pipe.find_stall(now_s)
                return (
                    upload_stall
                    if upload_stall is Stall.CLIENT_NOT_SENDING
                    else stall
                    if upload_stall is not None
                    else None
                )
            return stall
        if self.has_ended or self.upload_pipe.done:
            return None
        return self.upload_pipe.find_stall(now_s)

    def _update_waiting_sides(self, now_s: float) -> None:
        """Updates which sides the upload may be waiting for."""
        self.upload_pipe.set_waiting_sides(now_s, self.upload.room > 0, self.node is not None)

    def _record_client_reads(self, now_s: float) -> None:
        """Records how much of the response's body the client's machine has taken."""
        if (
            self.response_pipe is not None
            and (read_bytes := self.response_pipe.buffered_bytes - self.client.unsent_bytes()) > 0
        ):
            self.response_pipe.add_taken(now_s, read_bytes)

    # End of the exchange

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
        """`stalled_node`: its attempt is ended with a timeout, which is reported to the decision module. If
        it is None, the attempts are cancelled."""
        if self.has_ended:
            return
        responding, offered = self.phase is Phase.RESPONDING, self.phase is not Phase.GATHERING
        self.phase, self.ending, self.node, self.ended_s = Phase.ENDED, ending, None, now_s
        self.upload.drop()
        if responding and ending is not Ending.CLIENT_LEFT:
            self.client.reset()
        if stalled_node is not None:
            self.owner.time_out_attempt(self, stalled_node)
        elif offered:
            self.owner.cancel_attempts(self)
        self.owner.on_exchange_ended(self)
