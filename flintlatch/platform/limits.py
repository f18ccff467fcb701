"""Limits on the memory and time of long bodies in the platform's protocol."""

from __future__ import annotations

from flintlatch.exchange import ExchangeLimits, ProgressLimits
from flintlatch.net.client import PARSE_CHUNK_BYTES
from flintlatch.net.connections import OUTPUT_STALL_TIMEOUT_S
from flintlatch.net.http1 import MAX_BODY
from flintlatch.net.turns import MAX_READ_BYTES

# Between 32 MB, the largest valid body, and 60 MB, which is certainly invalid.
MAX_LONG_BODY_BYTES = 40 * 1024 * 1024
# Bytes of an upload that are kept for a retry. An upload may start with a short body and up to one parsed
# chunk over that (`PlatformClient.on_body`); the second chunk leaves room to continue it.
RETRY_BUFFER_BYTES = MAX_BODY + 2 * PARSE_CHUNK_BYTES
SERVER_RECEIVE_BUFFER_BYTES = 128 * 1024  # SO_RCVBUF of a server connection; the kernel doubles it, socket(7)
# SO_SNDBUF of a client that is sent a long response, doubled too. By default the kernel buffers up to 4 MB
# and reports room only after a third of that has been sent: a slow reader would look like one that reads
# nothing.
SEND_BUFFER_BYTES = 128 * 1024
CLIENT_WRITE_BUFFER_BYTES = 64 * 1024  # in the process, above which reading from the server is paused
UPLOAD_PARSE_BYTES = 64 * 1024  # parsed at once of an upload; PARSE_CHUNK_BYTES applies before it starts
UPLOAD_IDLE_TIMEOUT_S = 15.0  # without a byte from the client or to the server, whichever is waited for
RESPONSE_IDLE_TIMEOUT_S = 120.0  # without a byte from a server that has to send
UPLOAD_TIMEOUT_MS = 600_000.0  # 32 MB at 64 kB/s take 500 s, and the rest is a margin
GATHER_TIMEOUT_S = 0.05  # for the end of a response without a length: most are short and arrive at once

EXCHANGE_LIMITS = ExchangeLimits(
    ProgressLimits(UPLOAD_IDLE_TIMEOUT_S, 0.0),  # no minimum rate, here and below
    UPLOAD_TIMEOUT_MS,
    RETRY_BUFFER_BYTES,
    # The client's write buffer, what one read may add to it, and the kernel's: it doubles SO_SNDBUF.
    CLIENT_WRITE_BUFFER_BYTES + MAX_READ_BYTES + 2 * SEND_BUFFER_BYTES,
    MAX_LONG_BODY_BYTES,
    UPLOAD_PARSE_BYTES,
    ProgressLimits(RESPONSE_IDLE_TIMEOUT_S, 0.0),
    ProgressLimits(OUTPUT_STALL_TIMEOUT_S, 0.0),
)
