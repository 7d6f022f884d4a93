"""Executes planned weight loads: reads a report, sends a fenced order, polls until it is loaded."""

from __future__ import annotations

import asyncio

from stileloom.api.dialect import Dialect, LoadOrder
from stileloom.clock import steady_time
from stileloom.events import LogEvent
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.engine_control import ControlTarget, EngineControl, OrderOutcome
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.order_window import OrderWindow
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.jobs.version_planner import Load, VersionPlanner
from stileloom.logging import EventLog
from stileloom.proxy.sampler_table import SamplerTable

FIRST_REPORT_DELAY_S = 0.9
REPORT_INTERVAL_S = 0.3
LOAD_TIMEOUT_S = 4.0
ORDER_RETRY_S = 1.2
REPORT_RETRY_S = 0.2


class WeightLoader:
    """Load orders of one leadership, sent only within an open order window."""

    def __init__(
        self,
        node_id: str,
        epoch: int,
        scheduler: ItemScheduler,
        planner: VersionPlanner,
        samplers: SamplerTable,
        dialect: Dialect,
        pool: ConnectionPool,
        log: EventLog,
        metrics: JobMetrics,
        ledger: LeaderLedger,
        order_windows: bool = True,
    ) -> None:
        self._node_id = node_id
        self._epoch = epoch
        self._scheduler = scheduler
        self._planner = planner
        self._samplers = samplers
        self._control = EngineControl(dialect, pool, log)
        self._log = log
        self._metrics = metrics
        self._window = OrderWindow(node_id, ledger, order_windows)

    def record_versions(self, sampler_id: str, versions: dict[str, int]) -> None:
        """Records the versions of a sampler from a listing or report."""
        models = self._scheduler.models_of(sampler_id)
        for model, version in versions.items():
            models.record_version(model, version)
            self._metrics.sampler_version.labels(sampler_id, model).set(models.versions[model])

    def remove_sampler(self, sampler_id: str) -> None:
        """Removes the metrics of a sampler that is draining or gone."""
        for model in self._scheduler.models_of(sampler_id).versions:
            self._metrics.sampler_version.remove(sampler_id, model)

    async def load(self, load: Load) -> None:
        """Executes a load; the sampler is marked as loading until this returns."""
        models = self._scheduler.models_of(load.sampler_id)
        try:
            outcome = await self._send_order(load)
            self._metrics.orders.labels(outcome.value).inc()
            if outcome is OrderOutcome.ACCEPTED:
                await asyncio.sleep(FIRST_REPORT_DELAY_S)
            if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.BUSY, OrderOutcome.UNKNOWN):
                await self._await_version(load)
        finally:
            models.loading = None
            models.load_ended_at = steady_time()

    async def _send_order(self, load: Load) -> OrderOutcome:
        sampler = self._samplers.get(load.sampler_id)
        if sampler is None:
            return OrderOutcome.GONE
        target = ControlTarget(load.sampler_id, sampler.entry.address)
        report = await self._control.report(target)
        if report is None:
            self._planner.postpone(load.sampler_id, steady_time() + REPORT_RETRY_S)
            return OrderOutcome.REFUSED
        self.record_versions(load.sampler_id, report.model_versions)
        if report.model_versions.get(load.model, 0) >= load.version:
            return OrderOutcome.ALREADY_LOADED
        if report.busy:
            return OrderOutcome.BUSY
        order = LoadOrder(
            load.model,
            load.version,
            load.strategy,
            self._node_id,
            self._epoch,
            report.orders_taken,
        )
        if not await self._window.open():
            return OrderOutcome.REFUSED
        outcome = await self._control.order(target, order, self._window.is_open)
        self._log.emit(
            LogEvent.VERSION_ORDERED,
            {
                "sampler": load.sampler_id,
                "model": load.model,
                "version": load.version,
                "strategy": load.strategy.value,
                "fence": self._epoch,
                "expected": report.orders_taken,
                "outcome": outcome.value,
            },
        )
        if outcome is OrderOutcome.GONE:
            self._samplers.mark_draining(load.sampler_id)
        if outcome in (OrderOutcome.REFUSED, OrderOutcome.FENCED):
            self._planner.postpone(load.sampler_id, steady_time() + ORDER_RETRY_S)
        return outcome

    async def _await_version(self, load: Load) -> None:
        """Polls reports until the version is loaded, the sampler is idle, or a timeout expires."""
        deadline = steady_time() + LOAD_TIMEOUT_S
        idle_reports = 0
        while steady_time() < deadline:
            sampler = self._samplers.get(load.sampler_id)
            if sampler is None:
                return
            target = ControlTarget(load.sampler_id, sampler.entry.address)
            report = await self._control.report(target)
            if report is not None:
                self.record_versions(load.sampler_id, report.model_versions)
                if report.model_versions.get(load.model, 0) >= load.version:
                    return
                idle_reports = 0 if report.busy else idle_reports + 1
                if idle_reports >= 2:
                    return
            await asyncio.sleep(REPORT_INTERVAL_S)
