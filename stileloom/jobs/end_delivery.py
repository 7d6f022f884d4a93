"""Delivers the ends of jobs to the ledger's leader on behalf of a gateway's callers.

An end stops work, so it must not depend on the patience of its caller: a gateway that has received
one delivers it even if the caller disconnects or is told that the outcome is unknown. Ends are
idempotent, so several gateways may deliver the same one.
"""

from __future__ import annotations

import asyncio
from functools import partial

from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.client import RETRY_AFTER_S
from stileloom.jobs.messages import EndJobCall, JobReply
from stileloom.jobs.result_reader import JobCaller
from stileloom.logging import EventLog

CALL_DEADLINE_S = 4.0
"""Deadline of one call to the ledger; calls are repeated until `DELIVERY_TIMEOUT_S`."""
DELIVERY_TIMEOUT_S = 60.0
"""Time after which a delivery is abandoned and only a repetition by the caller ends the job."""
MAX_DELIVERIES = 4096


class EndDelivery:
    """Ends that one gateway has received and the leader has not answered, by job id."""

    def __init__(self, client: JobCaller, log: EventLog) -> None:
        self._client = client
        self._log = log
        self._deliveries: dict[str, asyncio.Task[JobReply]] = {}

    def __len__(self) -> int:
        """Returns the number of pending deliveries."""
        return len(self._deliveries)

    async def end(self, job_id: str, timeout_s: float) -> JobReply:
        """Returns the leader's answer; the delivery continues if this call is cancelled.

        Raises `StileloomError`: LEDGER_UNAVAILABLE with an unknown outcome if there is no answer
        within `timeout_s`, OVERLOADED if too many deliveries are pending.
        """
        delivery = self._deliveries.get(job_id) or self._start(job_id)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(delivery)
        except TimeoutError as error:
            detail = "no ledger leader answered in time; the end is still being delivered"
            raise StileloomError(
                ErrorKind.LEDGER_UNAVAILABLE, detail, Outcome.UNKNOWN, RETRY_AFTER_S
            ) from error

    def stop(self) -> None:
        """Cancels all deliveries."""
        for delivery in self._deliveries.values():
            delivery.cancel()

    def _start(self, job_id: str) -> asyncio.Task[JobReply]:
        if len(self._deliveries) >= MAX_DELIVERIES:
            detail = f"{MAX_DELIVERIES} ends of jobs wait for the ledger"
            raise StileloomError(ErrorKind.OVERLOADED, detail, Outcome.NOT_RUN, RETRY_AFTER_S)
        delivery = asyncio.get_running_loop().create_task(self._deliver(job_id))
        self._deliveries[job_id] = delivery
        delivery.add_done_callback(partial(self._on_delivered, job_id, steady_time()))
        return delivery

    async def _deliver(self, job_id: str) -> JobReply:
        deadline = steady_time() + DELIVERY_TIMEOUT_S
        while True:
            try:
                return await self._client.call(EndJobCall(job_id), job_id, CALL_DEADLINE_S)
            except StileloomError:
                if steady_time() >= deadline:
                    raise

    def _on_delivered(
        self, job_id: str, started_at: float, delivery: asyncio.Task[JobReply]
    ) -> None:
        del self._deliveries[job_id]
        if delivery.cancelled():
            outcome = "cancelled"
        elif (error := delivery.exception()) is not None:
            outcome = repr(error)
        else:
            outcome = type(delivery.result()).__name__
        waited_ms = round((steady_time() - started_at) * 1000)
        fields: dict[str, object] = {"job": job_id, "outcome": outcome, "waited_ms": waited_ms}
        self._log.emit(LogEvent.JOB_END_DELIVERED, fields)
