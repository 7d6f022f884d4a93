"""Capacity orders: how many samplers, in which zones, and when that changes."""

from __future__ import annotations

import testtools

from stileloom.api.duties import CapacityOrder
from stileloom.api.routes import Autoscale
from stileloom.autoscaling.capacity_planner import (
    DECREASE_DELAY_S,
    DEMAND_WINDOW_S,
    MEASURING_S,
    SETTLING_MARGIN_S,
    CapacityPlanner,
)
from stileloom.autoscaling.demand import PeakDemand
from stileloom.autoscaling.zone_plan import ZoneState, distribute

SERVICE = "engines"
SLOTS = 8
BOOT_S = 4.0
LIMITS = Autoscale(1, 15, BOOT_S, {"a": 1.0, "b": 0.8, "c": 1.25})
STEP_S = 0.5


class ZonePlanTest(testtools.TestCase):
    """Distribution over zones."""

    def test_the_zone_with_the_cheapest_events_is_filled_first(self) -> None:
        zones = {zone: ZoneState(8, 0.05) for zone in "abc"}
        self.assertEqual({"a": 5, "b": 15, "c": 1}, distribute(20, LIMITS, zones))

    def test_a_slow_zone_counts_as_expensive(self) -> None:
        zones = {"a": ZoneState(8, 0.05), "b": ZoneState(8, 0.07), "c": ZoneState(8, 0.03)}
        self.assertEqual({"a": 4, "b": 1, "c": 15}, distribute(19, LIMITS, zones))

    def test_every_zone_stays_within_its_limits(self) -> None:
        zones = {zone: ZoneState(8) for zone in "abc"}
        self.assertEqual({"a": 1, "b": 1, "c": 1}, distribute(0, LIMITS, zones))
        self.assertEqual({"a": 15, "b": 15, "c": 15}, distribute(500, LIMITS, zones))


class PeakDemandTest(testtools.TestCase):
    """Peak within a window."""

    def test_a_peak_counts_until_it_leaves_the_window(self) -> None:
        demand = PeakDemand(10.0)
        for now, value in ((0.0, 5.0), (1.0, 50.0), (2.0, 20.0), (3.0, 30.0)):
            demand.record(now, value)
        self.assertEqual(50.0, demand.peak(11.0))
        self.assertEqual(30.0, demand.peak(11.5))
        self.assertEqual(0.0, demand.peak(20.0))


class Fleet:
    """A service whose orders take effect after the start time, in virtual time."""

    def __init__(self) -> None:
        self.planner = CapacityPlanner(SERVICE)
        self.listed = {"a": 7, "b": 8, "c": 8}
        self.sent: list[tuple[float, CapacityOrder]] = []
        self.lost_orders = 0
        self._pending: list[tuple[float, str, int]] = []

    def step(self, now: float, open_items: int) -> None:
        for due in [pending for pending in self._pending if pending[0] <= now]:
            self._pending.remove(due)
            self.listed[due[1]] = due[2]
        zones = {zone: ZoneState(count, 0.05) for zone, count in self.listed.items()}
        for order in self.planner.plan(now, open_items, SLOTS, LIMITS, zones):
            self.sent.append((now, order))
            self.planner.record(order, now)
            if self.lost_orders:
                self.lost_orders -= 1
            else:
                self._pending.append((now + BOOT_S, order.zone, order.samplers))

    def play(self, seconds: float, open_items: int, start: float = 0.0) -> None:
        now = start
        while now < start + seconds:
            self.step(now, open_items)
            now += STEP_S


class CapacityPlannerTest(testtools.TestCase):
    """Orders over time."""

    def test_nothing_is_ordered_before_there_is_demand(self) -> None:
        fleet = Fleet()
        fleet.play(60.0, 0)
        self.assertEqual([], fleet.sent)

    def test_a_burst_has_slots_for_all_its_items_once_samplers_have_started(self) -> None:
        fleet = Fleet()
        fleet.play(MEASURING_S + BOOT_S + 2.0, 240)
        self.assertGreaterEqual(sum(fleet.listed.values()) * SLOTS, 240)
        self.assertLess(fleet.sent[0][0], MEASURING_S + 2 * STEP_S)

    def test_a_pause_between_two_steps_orders_no_sampler_away(self) -> None:
        fleet = Fleet()
        for step in range(20):
            fleet.play(2.0, 240, start=step * 4.0)
            fleet.play(2.0, 20, start=step * 4.0 + 2.0)
        counts = [order.samplers for _, order in fleet.sent if order.zone == "b"]
        self.assertEqual([15], counts)

    def test_capacity_falls_once_less_was_enough_for_long(self) -> None:
        fleet = Fleet()
        fleet.play(30.0, 240)
        calm_at = 30.0
        fleet.play(DEMAND_WINDOW_S + DECREASE_DELAY_S + 5.0, 40, start=calm_at)
        first_decrease_at = min(now for now, order in fleet.sent if now > calm_at)
        peak_left_at = calm_at + DEMAND_WINDOW_S - STEP_S
        self.assertGreaterEqual(first_decrease_at, peak_left_at + DECREASE_DELAY_S)
        fleet.play(20.0, 40, start=80.0)
        self.assertEqual(9, sum(fleet.listed.values()))

    def test_an_order_that_took_no_effect_is_sent_again_after_a_while(self) -> None:
        fleet = Fleet()
        fleet.lost_orders = 1
        fleet.play(2 * (BOOT_S + SETTLING_MARGIN_S) + 5.0, 240)
        self.assertEqual(15, fleet.listed["b"])
        times = [now for now, order in fleet.sent if order.zone == fleet.sent[0][1].zone]
        self.assertEqual(2, len(times))
        self.assertGreaterEqual(times[1] - times[0], BOOT_S + SETTLING_MARGIN_S)

    def test_an_order_of_unknown_outcome_is_due_at_once(self) -> None:
        fleet = Fleet()
        fleet.play(2.0, 240)
        (order, *_) = [order for _, order in fleet.sent if order.zone == "b"]
        fleet.planner.record(order, None)
        zones = {zone: ZoneState(count, 0.05) for zone, count in fleet.listed.items()}
        self.assertIn(order, fleet.planner.plan(2.5, 240, SLOTS, LIMITS, zones))
