"""What long bodies may cost on the platform."""

from __future__ import annotations

from flintlatch.exchange import Pace, Terms
from flintlatch.net.frontend import PARSE_CHUNK_BYTES
from flintlatch.net.http1 import MAX_BODY

MOST_BODY = 40 * 1024 * 1024  # bytes of any body: 32 MB occur, and what says 60 MB is nobody's request
HELD_BYTES = (
    MAX_BODY + 2 * PARSE_CHUNK_BYTES
)  # of an upload that are kept for another attempt: a short body and a read
KERNEL_BYTES = 128 * 1024  # of the kernel's buffer for a server's connection; it doubles them, socket(7)
SEND_BYTES = 128 * 1024  # of the kernel's buffer for a client that is sent a long answer; doubled too
HIGH_BYTES = 64 * 1024  # of a client's write buffer, before its server is held back
FEED_BYTES = 64 * 1024  # of an upload that are parsed at once
IDLE_S = 15.0  # s without a byte from the side that is waited for
UPLOAD_MS = 600_000.0  # ms that an upload may take: 32 MB at 64 kB a second, and as much again in hand
UPLOAD_PART = 0.3  # part of the memory limit that the uploads' bodies may hold
GATHER_S = 0.05  # s for the end of an answer that does not tell its length: most are short and come at once

TERMS = Terms(Pace(IDLE_S, 0.0), UPLOAD_MS, HELD_BYTES, HIGH_BYTES + 2 * KERNEL_BYTES, MOST_BODY, FEED_BYTES)
