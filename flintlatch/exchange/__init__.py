"""Exchanges: one request and its response, passed between a client's side and a node's side.

The package is independent of the protocol and does no I/O. A front end implements `ClientSide`, a connection
to a node implements `NodeSide`, and the host of the exchanges, which asks the decision module, implements
`Owner`. Times are seconds of one monotonic clock.
"""

from flintlatch.exchange.core import BodyTooLarge, Exchange, Owner, Phase
from flintlatch.exchange.memory import MIN_SHARE_BYTES, NO_LIMIT_BYTES, Budget, MemoryAccount
from flintlatch.exchange.messages import Ending, Fields, Piece, ProxyResponse, Request, Response, RoutingInfo
from flintlatch.exchange.sides import ClientSide, NodeSide
from flintlatch.exchange.terms import ExchangeLimits
from flintlatch.exchange.transfer import Pipe, ProgressLimits, Side, Stall, Upload

__all__ = [
    "BodyTooLarge",
    "Budget",
    "ClientSide",
    "Ending",
    "Exchange",
    "ExchangeLimits",
    "Fields",
    "MIN_SHARE_BYTES",
    "MemoryAccount",
    "NO_LIMIT_BYTES",
    "NodeSide",
    "Owner",
    "Phase",
    "Piece",
    "Pipe",
    "ProgressLimits",
    "ProxyResponse",
    "Request",
    "Response",
    "RoutingInfo",
    "Side",
    "Stall",
    "Upload",
]
