"""gRPC over HTTP/2: the parts that need no socket.

These are message framing, metadata, timeouts, statuses, and the outcome of an attempt by the way in which it
ended. The client's and the node's side of an exchange are not implemented yet (docs/design/grpc.md). The
package is not imported unless the configuration names gRPC.
"""

from flintlatch.grpc.framing import FramingError, MessageFramer, MessageTooLarge
from flintlatch.grpc.metadata import (
    MetadataError,
    format_timeout,
    forwarded_metadata,
    is_grpc_content_type,
    parse_timeout,
)
from flintlatch.grpc.outcome import (
    AttemptOutcome,
    AttemptStage,
    outcome_of_connection_loss,
    outcome_of_goaway,
    outcome_of_http,
    outcome_of_reset,
    outcome_of_status,
    proxy_status,
)
from flintlatch.grpc.status import Code, Status, decode_message, encode_message, read_status

__all__ = [
    "AttemptOutcome",
    "AttemptStage",
    "Code",
    "FramingError",
    "MessageFramer",
    "MessageTooLarge",
    "MetadataError",
    "Status",
    "decode_message",
    "encode_message",
    "format_timeout",
    "forwarded_metadata",
    "is_grpc_content_type",
    "outcome_of_connection_loss",
    "outcome_of_goaway",
    "outcome_of_http",
    "outcome_of_reset",
    "outcome_of_status",
    "parse_timeout",
    "proxy_status",
    "read_status",
]
