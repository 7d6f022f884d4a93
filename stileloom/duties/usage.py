"""The duty of usage reports: closes windows and reports them, oldest first."""

from __future__ import annotations

import asyncio

from stileloom.api.dialect import Dialect
from stileloom.api.duties import DutyHolder, UsageReport
from stileloom.clock import steady_time
from stileloom.duties.caller import DutyCaller, DutyOutcome
from stileloom.duties.lost_fences import LostFences
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.ledger.commands import MarkUsageSent
from stileloom.logging import EventLog
from stileloom.metering.authority import UsageAuthority
from stileloom.metering.book import UsageRegistry

DUTY = "usage"
STEP_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.4


class UsageDuty:
    """Reports usage during one leadership."""

    def __init__(
        self,
        holder: DutyHolder,
        registry: UsageRegistry,
        authority: UsageAuthority,
        ledger: LeaderLedger,
        caller: DutyCaller,
        lost_fences: LostFences,
        dialect: Dialect,
        log: EventLog,
    ) -> None:
        self._holder = holder
        self._registry = registry
        self._authority = authority
        self._ledger = ledger
        self._caller = caller
        self._lost_fences = lost_fences
        self._dialect = dialect
        self._log = log

    async def run(self) -> None:
        """Runs until cancelled, or until a holder with a higher fence is known."""
        while (DUTY, self._holder.fence) not in self._lost_fences:
            await asyncio.sleep(STEP_INTERVAL_S)
            if not self._ledger.is_active_leader():
                continue
            try:
                await self._close_due_windows()
                outcome = await self._report_oldest()
            except StileloomError:
                # Leadership was lost for a moment or for good; what is committed stays.
                continue
            if outcome is DutyOutcome.CONFLICT:
                fields: dict[str, object] = {"duty": DUTY, "fence": self._holder.fence}
                self._log.emit(LogEvent.DUTY_LOST, fields)
                self._lost_fences.add(DUTY, self._holder.fence)
            elif outcome in (DutyOutcome.UNKNOWN, DutyOutcome.REFUSED):
                await asyncio.sleep(RETRY_DELAY_S)

    async def _close_due_windows(self) -> None:
        while (command := self._authority.next_close(steady_time())) is not None:
            await self._ledger.propose(command)
            fields: dict[str, object] = {
                "window": command.window,
                "tenants": len(command.counts),
                "requests": sum(command.counts.values()),
            }
            self._log.emit(LogEvent.USAGE_CLOSED, fields)

    async def _report_oldest(self) -> DutyOutcome | None:
        """Reports the oldest closed window; returns None if there is none."""
        window = min(self._registry.unsent, default=None)
        if window is None:
            return None
        report = UsageReport(window, self._registry.unsent[window])
        call = self._dialect.usage_call(report, self._holder)
        detail: dict[str, object] = {"window": window, "fence": self._holder.fence}
        outcome = await self._caller.call(DUTY, call, detail)
        if outcome is DutyOutcome.ACCEPTED:
            await self._ledger.propose(MarkUsageSent(window))
        return outcome
