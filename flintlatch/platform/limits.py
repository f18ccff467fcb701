"""Limits on the memory and time of long bodies in the platform's protocol."""

from __future__ import annotations

from flintlatch.exchange import ExchangeLimits, ProgressLimits
from flintlatch.net.client import PARSE_CHUNK_BYTES
from flintlatch.net.connections import OUTPUT_STALL_TIMEOUT_S
from flintlatch.net.http1 import MAX_BODY

# Between 32 MB, the largest valid body, and 60 MB, which is certainly invalid.
MAX_LONG_BODY_BYTES = 40 * 1024 * 1024
# Bytes of an upload that are kept for a retry. An upload may start with a short body and up to one parsed
# chunk over that (`PlatformClient.on_body`); the second chunk leaves room to continue it.
RETRY_BUFFER_BYTES = MAX_BODY + 2 * PARSE_CHUNK_BYTES
SERVER_RECEIVE_BUFFER_BYTES = 128 * 1024  # SO_RCVBUF of a server connection; the kernel doubles it, socket(7)
CLIENT_SEND_BUFFER_BYTES = 128 * 1024  # SO_SNDBUF of a client that is sent a long response; doubled too
CLIENT_WRITE_BUFFER_BYTES = 64 * 1024  # in the process, above which reading from the server is paused
UPLOAD_PARSE_BYTES = 64 * 1024  # parsed at once of an upload; PARSE_CHUNK_BYTES applies before it starts
TRANSFER_IDLE_TIMEOUT_S = OUTPUT_STALL_TIMEOUT_S  # without a byte from the side that has to send
UPLOAD_TIMEOUT_MS = 600_000.0  # 32 MB at 64 kB/s take 500 s, and the rest is a margin
UPLOAD_MEMORY_FRACTION = 0.3  # of the memory limit, for the bodies of uploads
GATHER_TIMEOUT_S = 0.05  # for the end of a response without a length: most are short and arrive at once

EXCHANGE_LIMITS = ExchangeLimits(
    ProgressLimits(TRANSFER_IDLE_TIMEOUT_S, 0.0),  # no minimum rate
    UPLOAD_TIMEOUT_MS,
    RETRY_BUFFER_BYTES,
    # The client's write buffer, and what one read may add to it: the kernel doubles SO_RCVBUF.
    CLIENT_WRITE_BUFFER_BYTES + 2 * SERVER_RECEIVE_BUFFER_BYTES,
    MAX_LONG_BODY_BYTES,
    UPLOAD_PARSE_BYTES,
)
