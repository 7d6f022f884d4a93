"""The duty of capacity orders: how many samplers of each service run in each zone."""

from __future__ import annotations

import asyncio
import statistics

from stileloom.api.dialect import Dialect
from stileloom.api.duties import CapacityOrder, DutyHolder
from stileloom.api.routes import Autoscale, Service
from stileloom.autoscaling.capacity_planner import CapacityPlanner
from stileloom.autoscaling.zone_plan import ZoneState
from stileloom.clock import steady_time
from stileloom.duties.caller import DutyCaller, DutyOutcome
from stileloom.duties.lost_fences import LostFences
from stileloom.events import LogEvent
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.logging import EventLog
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SamplerTable

DUTY = "capacity"
STEP_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.4


class CapacityDuty:
    """Orders capacity for the batch jobs of one leadership."""

    def __init__(
        self,
        holder: DutyHolder,
        routes: RouteTable,
        samplers: SamplerTable,
        scheduler: ItemScheduler,
        ledger: LeaderLedger,
        caller: DutyCaller,
        lost_fences: LostFences,
        dialect: Dialect,
        log: EventLog,
    ) -> None:
        self._holder = holder
        self._routes = routes
        self._samplers = samplers
        self._scheduler = scheduler
        self._ledger = ledger
        self._caller = caller
        self._lost_fences = lost_fences
        self._dialect = dialect
        self._log = log
        self._planners: dict[str, CapacityPlanner] = {}

    async def run(self) -> None:
        """Runs until cancelled, or until a holder with a higher fence is known."""
        while (DUTY, self._holder.fence) not in self._lost_fences:
            await asyncio.sleep(STEP_INTERVAL_S)
            for order in self._due_orders():
                outcome = await self._send(order)
                if outcome is DutyOutcome.CONFLICT:
                    fields: dict[str, object] = {"duty": DUTY, "fence": self._holder.fence}
                    self._log.emit(LogEvent.DUTY_LOST, fields)
                    self._lost_fences.add(DUTY, self._holder.fence)
                    break
                if outcome in (DutyOutcome.UNKNOWN, DutyOutcome.REFUSED):
                    await asyncio.sleep(RETRY_DELAY_S)

    def _due_orders(self) -> list[CapacityOrder]:
        if not self._ledger.is_active_leader():
            return []
        orders: list[CapacityOrder] = []
        for service in self._routes.services():
            if service.autoscale is not None and service.engine is not None:
                orders += self._plan(service, service.autoscale, service.engine.slots)
        return orders

    def _plan(self, service: Service, autoscale: Autoscale, slots: int) -> list[CapacityOrder]:
        planner = self._planners.setdefault(service.name, CapacityPlanner(service.name))
        open_items = self._scheduler.open_items_of(service.name)
        zones = self._zone_states(service.name, autoscale)
        return planner.plan(steady_time(), open_items, slots, autoscale, zones)

    def _zone_states(self, service: str, autoscale: Autoscale) -> dict[str, ZoneState]:
        """Zones in which the service runs, with what their samplers have shown."""
        listed: dict[str, int] = dict.fromkeys(autoscale.zone_prices, 0)
        intervals: dict[str, list[float]] = {}
        for sampler in self._samplers.of_service(service):
            zone = sampler.entry.zone
            listed[zone] = listed.get(zone, 0) + 1
            stats = self._scheduler.stats(sampler.entry.sampler_id)
            if stats.measured:
                intervals.setdefault(zone, []).append(stats.interval_s)
        return {
            zone: ZoneState(
                count, statistics.median(intervals[zone]) if zone in intervals else None
            )
            for zone, count in listed.items()
        }

    async def _send(self, order: CapacityOrder) -> DutyOutcome:
        call = self._dialect.capacity_call(order, self._holder)
        detail: dict[str, object] = {
            "service": order.service,
            "zone": order.zone,
            "samplers": order.samplers,
            "fence": self._holder.fence,
        }
        outcome = await self._caller.call(DUTY, call, detail)
        if outcome in (DutyOutcome.ACCEPTED, DutyOutcome.UNKNOWN):
            acknowledged_at = steady_time() if outcome is DutyOutcome.ACCEPTED else None
            self._planners[order.service].record(order, acknowledged_at)
        return outcome
