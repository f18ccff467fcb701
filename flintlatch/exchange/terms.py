"""Limits on the time and memory of an exchange, which can differ by class."""

from __future__ import annotations

from dataclasses import dataclass

from flintlatch.exchange.transfer import ProgressLimits


@dataclass(frozen=True, slots=True)
class ExchangeLimits:
    progress: ProgressLimits  # for the side that a transfer waits for
    upload_ms: float  # time for the whole request to arrive; `progress` applies as well
    upload_bytes: int  # buffered of a request's body at most; a longer body can't be retried
    answer_bytes: int  # buffered of a response's body at most
    body_bytes: int  # maximum length of a request's body
    flow_bytes: int = 0  # buffered of a body that can't be retried; 0: as `upload_bytes`

    def __post_init__(self) -> None:
        for name in ("upload_ms", "upload_bytes", "answer_bytes"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        if not self.body_bytes >= 0:
            raise ValueError("body_bytes must not be negative")

    def max_buffered_bytes(self, uploading: bool) -> int:
        """Bytes that an exchange may buffer. An upload may take its buffer twice: for the bytes that are kept
        for a retry and for the bytes that wait to be taken."""
        if not uploading:
            return self.answer_bytes
        return self.answer_bytes + self.upload_bytes + max(self.upload_bytes, self.flow_bytes)
