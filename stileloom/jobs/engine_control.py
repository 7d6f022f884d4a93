"""Client of a sampler's control interface: reports and load orders."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from stileloom.api.dialect import Dialect, EngineCall, LoadOrder, SamplerReport
from stileloom.api.sampler_directory import MAX_VERSION
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.http1.caller import HttpResponse, NotSent, send_request
from stileloom.http1.pool import ConnectionPool
from stileloom.logging import EventLog

CONTROL_TIMEOUT_S = 1.0


class OrderOutcome(enum.Enum):
    """A sampler's answer to a load order."""

    ACCEPTED = "accepted"
    ALREADY_LOADED = "holds_already"
    BUSY = "busy"
    """Another order is in progress or was accepted since the report that this one refers to."""
    FENCED = "fenced"
    REFUSED = "refused"
    GONE = "gone"
    """The address belongs to another sampler."""
    UNKNOWN = "unknown"
    """No answer, or one that is neither an acceptance nor a rejection; the order may still be
    executed, even seconds later."""


_OUTCOMES = {
    200: OrderOutcome.ALREADY_LOADED,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.BUSY,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.GONE,
}


class ControlTarget(msgspec.Struct, frozen=True):
    """Incarnation and address of a sampler."""

    sampler_id: str
    address: tuple[str, int]


class EngineControl:
    """Sends control calls over keep-alive connections."""

    def __init__(self, dialect: Dialect, pool: ConnectionPool, log: EventLog) -> None:
        self._dialect = dialect
        self._pool = pool
        self._log = log

    async def report(self, target: ControlTarget) -> SamplerReport | None:
        """Returns the sampler's report, or None if there was no valid answer."""
        answer = await self._call(target, self._dialect.report_call())
        if answer is None or answer.head.status != 200:
            return None
        try:
            report = self._dialect.decode_report(answer.body)
            _check_report(report)
        except StileloomError as error:
            self._log.emit(
                LogEvent.OBJECT_NOT_UNDERSTOOD,
                {"what": "report", "name": target.sampler_id, "detail": error.detail},
            )
            return None
        return report

    async def order(
        self, target: ControlTarget, order: LoadOrder, may_send: Callable[[], bool]
    ) -> OrderOutcome:
        """Sends a load order; `may_send` is checked right before the first byte is written."""
        try:
            answer = await self._call(target, self._dialect.order_call(order), may_send)
        except NotSent:
            return OrderOutcome.REFUSED
        if answer is None:
            return OrderOutcome.UNKNOWN
        status = answer.head.status
        # Only a status of a rejected request says that the order is not executed.
        is_rejected = 400 <= status < 500
        return _OUTCOMES.get(status, OrderOutcome.REFUSED if is_rejected else OrderOutcome.UNKNOWN)

    async def _call(
        self,
        target: ControlTarget,
        call: EngineCall,
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpResponse | None:
        headers = [(self._dialect.names.expect_sampler, target.sampler_id)]
        return await send_request(
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


def _check_report(report: SamplerReport) -> None:
    """Raises `StileloomError` (OBJECT_INVALID) if a figure is out of range."""
    for figure in (report.orders_taken, *report.model_versions.values()):
        if not 0 <= figure <= MAX_VERSION:
            raise StileloomError(ErrorKind.OBJECT_INVALID, "a figure is out of range")
