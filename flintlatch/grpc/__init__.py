"""gRPC over HTTP/2, on the same exchanges and before the same decision module as every other front.

Here is what needs no socket: framing of messages, metadata, time-outs, statuses, and what each end of an
attempt means. The sides of an exchange come next (docs/design/grpc.md). Nothing of this is imported unless
the configuration names gRPC.
"""

from flintlatch.grpc.framing import Frames, FramingError, TooLarge
from flintlatch.grpc.metadata import MetadataError, content_type_ok, from_client, parse_timeout, timeout
from flintlatch.grpc.outcome import Ended, Verdict, of_broken, of_goaway, of_http, of_reset, of_status, own
from flintlatch.grpc.status import Code, Status, decode_message, encode_message, read_status

__all__ = [
    "Code",
    "Ended",
    "Frames",
    "FramingError",
    "MetadataError",
    "Status",
    "TooLarge",
    "Verdict",
    "content_type_ok",
    "decode_message",
    "encode_message",
    "from_client",
    "of_broken",
    "of_goaway",
    "of_http",
    "of_reset",
    "of_status",
    "own",
    "parse_timeout",
    "read_status",
    "timeout",
]
