"""Sends a gateway's usage to the ledger's leader until its windows are closed."""

from __future__ import annotations

import asyncio
import random
import secrets

from stileloom.errors import StileloomError
from stileloom.jobs.client import JobClient
from stileloom.metering.messages import ReportUsageCall, UsageReported
from stileloom.metering.meter import UsageMeter

REPORT_INTERVAL_S = 1.0
"""Also bounds the requests that are missing from the reports if the process is killed."""
CALL_TIMEOUT_S = 1.5
MAX_FINAL_CALL_TIMEOUT_S = 2.0
FINAL_CALL_SHARE = 0.5
"""Of the time that is left to the process."""
SOURCE_BYTES = 4
NO_REQUEST_ID = ""


class UsageReporter:
    """Reports the usage of one gateway process."""

    def __init__(
        self, node_id: str, meter: UsageMeter, client: JobClient, rng: random.Random
    ) -> None:
        self._source = f"{node_id}/{secrets.token_hex(SOURCE_BYTES)}"
        self._meter = meter
        self._client = client
        self._rng = rng

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1))
            self._meter.observe_clock()
            await self._report(CALL_TIMEOUT_S, is_final=False)

    async def flush(self, left_s: float) -> None:
        """Commits the totals at the end of a process that is killed after `left_s` seconds."""
        timeout_s = min(MAX_FINAL_CALL_TIMEOUT_S, FINAL_CALL_SHARE * left_s)
        await self._report(timeout_s, is_final=True)

    async def _report(self, timeout_s: float, is_final: bool) -> None:
        totals = self._meter.tally.totals()
        if not totals:
            return
        call = ReportUsageCall(self._source, totals, is_final)
        try:
            reply = await self._client.call(call, NO_REQUEST_ID, timeout_s)
        except StileloomError:
            # The client has logged the failure; totals are sent again with the next report.
            return
        if isinstance(reply, UsageReported):
            self._meter.tally.close_before(reply.closed_before)
