"""Makes the calls of one leadership to the operator's service, within open order windows."""

from __future__ import annotations

import asyncio
import enum

from stileloom.api.duties import DutyCall
from stileloom.clock import steady_time
from stileloom.duties.metrics import DutyMetrics
from stileloom.events import LogEvent
from stileloom.http1.caller import NotSent, send_request
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.order_window import OrderWindow
from stileloom.logging import EventLog

CALL_TIMEOUT_S = 1.0
RATE_SHARE = 0.5
"""Share of the service's rate that one holder uses, so that its successor is not refused too."""
PEER = "duties"


class DutyOutcome(enum.Enum):
    """The service's answer to a call."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    """Status 409: another holder with a higher fence has called, or there is no such capacity."""
    UNKNOWN = "unknown"
    """No answer, or one without a statement; the call may be carried out, even seconds later."""
    NOT_SENT = "not_sent"
    """This node may not call now."""
    REFUSED = "refused"
    """The call was not carried out; it may be repeated."""


class DutyCaller:
    """Serial calls of one leadership."""

    def __init__(
        self,
        address: tuple[str, int],
        calls_per_s: float,
        window: OrderWindow,
        earliest_at: float,
        log: EventLog,
        metrics: DutyMetrics,
    ) -> None:
        """`earliest_at` is when no call of an earlier holder can still count against this one."""
        self._address = address
        self._interval_s = 1.0 / (calls_per_s * RATE_SHARE)
        self._window = window
        self._earliest_at = earliest_at
        self._log = log
        self._metrics = metrics
        self._pool = ConnectionPool()
        self._last_call_at = float("-inf")

    async def call(self, duty: str, call: DutyCall, detail: dict[str, object]) -> DutyOutcome:
        """Makes a call of a duty; `detail` are log fields that say what it is about."""
        now = steady_time()
        if now < self._earliest_at:
            return DutyOutcome.NOT_SENT
        await asyncio.sleep(self._last_call_at + self._interval_s - now)
        if not await self._window.open():
            return DutyOutcome.NOT_SENT
        self._last_call_at = steady_time()
        outcome, status = await self._send(call)
        self._metrics.calls.labels(duty, outcome.value).inc()
        fields = {"duty": duty, **detail, "outcome": outcome.value, "status": status}
        self._log.emit(LogEvent.DUTY_CALLED, fields)
        return outcome

    async def _send(self, call: DutyCall) -> tuple[DutyOutcome, int]:
        try:
            answer = await send_request(
                self._pool,
                PEER,
                self._address,
                call.method,
                call.target,
                call.headers,
                call.body,
                CALL_TIMEOUT_S,
                self._window.is_open,
            )
        except NotSent:
            return DutyOutcome.NOT_SENT, 0
        if answer is None:
            return DutyOutcome.UNKNOWN, 0
        status = answer.head.status
        if status < 300:
            return DutyOutcome.ACCEPTED, status
        if status == 409:
            return DutyOutcome.CONFLICT, status
        return (DutyOutcome.REFUSED if 400 <= status < 500 else DutyOutcome.UNKNOWN), status
