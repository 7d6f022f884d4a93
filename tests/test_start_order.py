"""The order in which items start, on chains of overlapping steps in virtual time."""

from __future__ import annotations

from statistics import mean
from unittest import mock

import testtools

from stileloom.jobs import scheduler as scheduler_module
from stileloom.jobs.open_items import ItemSize, OpenItem
from tests.chain_simulation import ChainSimulation, Load
from tests.test_item_scheduler import SchedulerFixture, entry, record

SECONDS = 44.0
SEEDS = range(6)
PAUSE_AT_S = 20.0
PAUSE_S = 4.0
FEW_SAMPLERS = Load(samplers=3, groups=4)


def by_step(items: list[OpenItem], interval_s: float) -> list[OpenItem]:
    """All items of an earlier step first, the longest of each step first."""
    return sorted(items, key=lambda item: (not item.reused, item.step, -item.expected_tokens))


def lateness_at_the_end(load: Load, seed: int) -> float:
    """How late the last step is asked 20 s after a pause of all samplers."""
    simulation = ChainSimulation(load, seed)
    simulation.run(SECONDS, {PAUSE_AT_S: PAUSE_S})
    return simulation.lateness_s(len(simulation.asked_at) - 1)


class StartOrderTest(testtools.TestCase):
    """Starts of two steps that overlap."""

    def test_a_long_item_of_the_next_step_starts_before_short_ones_of_this_step(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=1))
        fixture.adopt(record("j", 3, step=1), now=0.0)
        fixture.adopt(record("k", 1, step=2), now=4.0, sizes={"k-i0": ItemSize(9000.0)})
        self.assertEqual(["k-i0"], list(fixture.starts(4.0)))

    def test_items_of_equal_length_start_in_the_order_of_their_jobs(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=1))
        fixture.adopt(record("k", 1, step=2), now=4.0)
        fixture.adopt(record("j", 1, step=1), now=0.0)
        self.assertEqual(["j-i0"], list(fixture.starts(4.0)))

    def test_a_short_item_is_not_passed_by_ever_new_long_ones(self) -> None:
        """Guards against an item that never starts while long ones keep coming."""
        fixture = SchedulerFixture(entry("a", slots=1))
        fixture.adopt(record("j", 1, step=1), now=0.0, sizes={"j-i0": ItemSize(50.0)})
        for step in range(2, 12):
            sizes = {f"k{step}-i0": ItemSize(9000.0)}
            fixture.adopt(record(f"k{step}", 1, step=step), now=4.0 * step, sizes=sizes)
        order = [item.item.item_id for item in fixture.scheduler.waiting_items("m")]
        self.assertLess(order.index("j-i0"), 3)

    def test_a_chain_that_was_held_up_for_four_seconds_is_less_late_twenty_seconds_later(
        self,
    ) -> None:
        now = [lateness_at_the_end(FEW_SAMPLERS, seed) for seed in SEEDS]
        with mock.patch.object(scheduler_module, "start_order", by_step):
            before = [lateness_at_the_end(FEW_SAMPLERS, seed) for seed in SEEDS]
        self.assertLess(mean(now), 0.8 * mean(before))

    def test_a_chain_that_is_on_time_stays_on_time(self) -> None:
        for seed in SEEDS:
            simulation = ChainSimulation(FEW_SAMPLERS, seed)
            simulation.run(SECONDS)
            last = len(simulation.asked_at) - 1
            self.assertLess(simulation.lateness_s(last), 0.5)
