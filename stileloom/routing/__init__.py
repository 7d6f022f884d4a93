"""Lookup routing: admission limits, sampler selection, retries and outcomes."""

from stileloom.routing.gateway import Gateway, GatewayView
from stileloom.routing.messages import AnswerReady, LookupAnswer, LookupRequest, TokensReady
from stileloom.routing.subset import PoolMachines, gateway_subset

__all__ = [
    "AnswerReady",
    "Gateway",
    "GatewayView",
    "LookupAnswer",
    "LookupRequest",
    "PoolMachines",
    "TokensReady",
    "gateway_subset",
]
