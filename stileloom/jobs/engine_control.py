"""Calls to a sampler's control side: reports and orders."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from stileloom.api.dialect import Dialect, EngineCall, LoadOrder, SamplerReport
from stileloom.http1.caller import CallAnswer, NotSent
from stileloom.http1.caller import call as http1_call
from stileloom.http1.pool import ConnectionPool

CONTROL_TIMEOUT_S = 1.0


class OrderOutcome(enum.Enum):
    """What a sampler said to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    """Another order is under way, or one came in between."""
    FENCED = "fenced"
    REFUSED = "refused"
    GONE = "gone"
    """Another sampler has the address."""
    UNKNOWN = "unknown"
    """No answer: it may be reused out, even seconds later."""


_OUTCOMES = {
    200: OrderOutcome.HOLDS_ALREADY,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.GONE,
}


class ControlTarget(msgspec.Struct, frozen=True):
    """A sampler's incarnation and address."""

    sampler_id: str
    address: tuple[str, int]


class EngineControl:
    """Sends control calls over kept connections."""

    def __init__(self, dialect: Dialect, pool: ConnectionPool) -> None:
        self._dialect = dialect
        self._pool = pool

    async def report(self, target: ControlTarget) -> SamplerReport | None:
        """The sampler's report, or None where it gave none."""
        answer = await self._call(target, self._dialect.report_call())
        if answer is None or answer.head.status != 200:
            return None
        return self._dialect.decode_report(answer.body)

    async def order(
        self, target: ControlTarget, order: LoadOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Gives an order; `may_send` is asked right before the first byte leaves."""
        try:
            answer = await self._call(target, self._dialect.order_call(order), may_send)
        except NotSent:
            return OrderOutcome.REFUSED
        if answer is None:
            return OrderOutcome.UNKNOWN
        status = answer.head.status
        if status >= 500:
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(status, OrderOutcome.REFUSED)

    async def _call(
        self,
        target: ControlTarget,
        call: EngineCall,
        may_send: Callable[[], bool] = lambda: True,
    ) -> CallAnswer | None:
        headers = [(self._dialect.names.expect_sampler, target.sampler_id)]
        return await http1_call(
            self._pool,
            target.sampler_id,
            target.address,
            call.method,
            call.target,
            headers,
            call.body,
            CONTROL_TIMEOUT_S,
            may_send,
        )
