"""Limits on the time and memory of an exchange, which can differ by class."""

from __future__ import annotations

from dataclasses import dataclass

from flintlatch.exchange.transfer import ProgressLimits


@dataclass(frozen=True, slots=True)
class ExchangeLimits:
    progress: ProgressLimits  # for both sides of a request's body
    upload_ms: float  # time for the whole request to arrive; `progress` applies as well
    upload_bytes: int  # buffered of a request's body at most; a longer body can't be retried
    answer_bytes: int  # of a response's body that the client does not have yet, in process and kernel
    body_bytes: int  # maximum length of a request's body
    flow_bytes: int = 0  # buffered of a body that can't be retried; 0: as `upload_bytes`
    writer_progress: ProgressLimits | None = None  # for a node that sends a response; None: as `progress`
    # For a client that reads a response; None: as `progress`. Its machine acknowledges bytes in steps, which
    # depend on its receive buffer, and not with each read.
    reader_progress: ProgressLimits | None = None

    def __post_init__(self) -> None:
        for name in ("upload_ms", "upload_bytes", "answer_bytes"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        if not self.body_bytes >= 0:
            raise ValueError("body_bytes must not be negative")

    @property
    def max_upload_buffer_bytes(self) -> int:
        """Bytes of an upload that an exchange may buffer: those that are kept for a retry and those that wait
        to be taken."""
        return self.upload_bytes + max(self.upload_bytes, self.flow_bytes)

    def max_buffered_bytes(self, uploading: bool) -> int:
        """Bytes that an exchange may buffer."""
        if not uploading:
            return self.answer_bytes
        return self.answer_bytes + self.max_upload_buffer_bytes
