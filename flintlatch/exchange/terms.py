"""What an exchange may cost in time and memory; a class may have its own."""

from __future__ import annotations

from dataclasses import dataclass

from flintlatch.exchange.transfer import ProgressLimits


@dataclass(frozen=True, slots=True)
class ExchangeLimits:
    pace: ProgressLimits  # of the side that is waited for
    upload_ms: float  # how long a request may take to be here whole, beside its pace
    upload_bytes: int  # of a request's body held at most, and so what may be sent again
    answer_bytes: int  # of an answer's
    body_bytes: int  # of a request's body in all
    flow_bytes: int = 0  # of an upload that may wait beyond the part held; 0: as much as `upload_bytes`

    def __post_init__(self) -> None:
        for name in ("upload_ms", "upload_bytes", "answer_bytes"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        if not self.body_bytes >= 0:
            raise ValueError("body_bytes must not be negative")

    def max_buffered_bytes(self, uploading: bool) -> int:
        """Bytes that an exchange may hold; an upload is held twice over while an attempt begins anew."""
        if not uploading:
            return self.answer_bytes
        return self.answer_bytes + self.upload_bytes + max(self.upload_bytes, self.flow_bytes)
