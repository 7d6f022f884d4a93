"""Decides when the number of ordered samplers changes. Performs no I/O and reads no clock.

Answers a load of batch jobs: all items of a step arrive at once, and the trainer waits for nearly
all of them, so an item that waits for a slot delays the step. Capacity follows the peak of open
items, not their mean.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from stileloom.api.duties import CapacityOrder
from stileloom.api.routes import Autoscale
from stileloom.autoscaling.demand import PeakDemand
from stileloom.autoscaling.zone_plan import ZoneState, distribute, samplers_for

DEMAND_WINDOW_S = 20.0
"""Covers several steps; a pause between two steps orders no sampler away."""
SPARE_SHARE = 0.25
"""Slots beyond the peak, as a share of it: some samplers load weights or fail at any time."""
MEASURING_S = 0.8
"""Time from the first demand until zones are compared: by then runs have shown their speed."""
DECREASE_DELAY_S = 20.0
"""Hysteresis: fewer samplers are ordered only if fewer were enough for this long."""
SETTLING_MARGIN_S = 4.0
"""Time beyond the start of a sampler in which the listing may differ from what was ordered."""


class ZoneOrder(msgspec.Struct):
    """The newest order for one zone."""

    samplers: int
    sent_at: float | None = None
    """None until the service has acknowledged the order."""


class CapacityPlanner:
    """Orders for one service during one leadership."""

    def __init__(self, service: str) -> None:
        self._service = service
        self._demand = PeakDemand(DEMAND_WINDOW_S)
        self._first_demand_at: float | None = None
        self._orders: dict[str, ZoneOrder] = {}
        self._lower_since: dict[str, float] = {}

    def plan(
        self,
        now: float,
        open_items: int,
        slots_per_sampler: int,
        autoscale: Autoscale,
        zones: Mapping[str, ZoneState],
    ) -> list[CapacityOrder]:
        """Returns the orders that are due now."""
        self._demand.record(now, open_items)
        if open_items and self._first_demand_at is None:
            self._first_demand_at = now
        if self._first_demand_at is None or now < self._first_demand_at + MEASURING_S:
            return []
        slots = self._demand.peak(now) * (1.0 + SPARE_SHARE)
        wanted = distribute(samplers_for(slots, slots_per_sampler), autoscale, zones)
        due: list[CapacityOrder] = []
        for zone, samplers in wanted.items():
            target = self._with_hysteresis(now, zone, samplers, zones[zone].listed)
            if self._is_due(now, zone, target, zones[zone].listed, autoscale.boot_s):
                due.append(CapacityOrder(self._service, zone, target))
        return due

    def _with_hysteresis(self, now: float, zone: str, wanted: int, listed: int) -> int:
        order = self._orders.get(zone)
        current = order.samplers if order is not None else listed
        if wanted >= current:
            self._lower_since.pop(zone, None)
            return wanted
        since = self._lower_since.setdefault(zone, now)
        return wanted if now >= since + DECREASE_DELAY_S else current

    def _is_due(self, now: float, zone: str, target: int, listed: int, boot_s: float) -> bool:
        order = self._orders.get(zone)
        if order is None:
            return target != listed
        if order.samplers != target or order.sent_at is None:
            return True
        # A lost order, or an earlier one that was carried out late, shows in the listing only.
        return listed != target and now >= order.sent_at + boot_s + SETTLING_MARGIN_S

    def record(self, order: CapacityOrder, acknowledged_at: float | None) -> None:
        """Records an order that was sent; `acknowledged_at` is None if its outcome is unknown."""
        self._orders[order.zone] = ZoneOrder(order.samplers, acknowledged_at)
