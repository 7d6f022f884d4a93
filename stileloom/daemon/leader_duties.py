"""Starts the duties of one leadership: usage reports and capacity orders."""

from __future__ import annotations

import msgspec

from stileloom.api.dialect import Dialect
from stileloom.api.duties import DutyHolder
from stileloom.background import BackgroundTasks
from stileloom.clock import steady_time
from stileloom.daemon.directory import Directory
from stileloom.daemon.ledger_driver import LedgerDriver
from stileloom.duties.caller import DutyCaller
from stileloom.duties.capacity import CapacityDuty
from stileloom.duties.lost_fences import LostFences
from stileloom.duties.metrics import DutyMetrics
from stileloom.duties.usage import UsageDuty
from stileloom.jobs.order_window import OrderWindow
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.logging import EventLog
from stileloom.metering.authority import UsageAuthority
from stileloom.metering.window_clock import WindowClock
from stileloom.service_settings import DutySettings, ServiceSettings
from stileloom.settings_file import split_address


class DutyDependencies(msgspec.Struct, frozen=True):
    """What duties need of their process; one per process."""

    metrics: DutyMetrics
    lost_fences: LostFences
    window_clock: WindowClock | None
    """None if usage is not reported."""


class LeaderDuties:
    """The duties of one leadership; nothing is started without settings for them."""

    def __init__(
        self,
        settings: ServiceSettings,
        holder: DutyHolder,
        earliest_call_at: float,
        driver: LedgerDriver,
        directory: Directory,
        scheduler: ItemScheduler,
        dialect: Dialect,
        log: EventLog,
        dependencies: DutyDependencies,
    ) -> None:
        """`earliest_call_at` is when no call of an earlier holder can count against this one."""
        self.usage: UsageAuthority | None = None
        """Set if usage is reported."""
        self._holder = holder
        self._driver = driver
        self._directory = directory
        self._scheduler = scheduler
        self._dialect = dialect
        self._log = log
        self._dependencies = dependencies
        self._tasks = BackgroundTasks(log)
        duties = settings.duties
        if duties is None:
            return
        window = OrderWindow(settings.node_id, driver, settings.switches.order_windows)
        self._caller = DutyCaller(
            split_address(duties.address),
            duties.calls_per_s,
            window,
            earliest_call_at,
            log,
            dependencies.metrics,
        )
        if duties.orders_capacity:
            self._start_capacity_orders()
        if dependencies.window_clock is not None:
            self.usage = self._start_usage_reports(duties, dependencies.window_clock)

    def stop(self) -> None:
        """Stops all duties."""
        self._tasks.cancel()

    def _start_capacity_orders(self) -> None:
        duty = CapacityDuty(
            self._holder,
            self._directory.routes,
            self._directory.samplers,
            self._scheduler,
            self._driver,
            self._caller,
            self._dependencies.lost_fences,
            self._dialect,
            self._log,
        )
        self._tasks.spawn(duty.run())

    def _start_usage_reports(self, duties: DutySettings, clock: WindowClock) -> UsageAuthority:
        registry = self._driver.state.usage
        authority = UsageAuthority(
            lambda: registry, clock, duties.usage_window_s, duties.usage_due_s, steady_time()
        )
        duty = UsageDuty(
            self._holder,
            registry,
            authority,
            self._driver,
            self._caller,
            self._dependencies.lost_fences,
            self._dialect,
            self._log,
        )
        self._tasks.spawn(duty.run())
        return authority
