"""One request with its answer, between a client's side and a node's side; no protocol owns it, and no I/O.

A front implements `ClientSide`, a node's connection implements `NodeSide`, and whoever hosts exchanges and
asks the decision module implements `Owner`. Times are seconds of one clock that only goes forward.
"""

from flintlatch.exchange.core import BodyTooLarge, Exchange, Owner, Phase
from flintlatch.exchange.messages import Ending, Fields, Piece, ProxyResponse, Request, Response, RoutingInfo
from flintlatch.exchange.sides import ClientSide, NodeSide
from flintlatch.exchange.terms import ExchangeLimits
from flintlatch.exchange.transfer import Budget, Pipe, ProgressLimits, Side, Stall, Upload

__all__ = [
    "BodyTooLarge",
    "Budget",
    "ClientSide",
    "Ending",
    "Exchange",
    "ExchangeLimits",
    "Fields",
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
